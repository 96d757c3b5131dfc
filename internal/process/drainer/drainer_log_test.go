package drainer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
	"magnoliafront.dev/magnoliafront/internal/process/logger"
)

// lockedBuffer collects the log output. It is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// countLines returns the number of lines that contain a text.
func (b *lockedBuffer) countLines(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), text)
}

// serveStream starts a server whose handler begins an answer, and ends it once release is
// closed with the value of abort: the end of the answer, or of the connection without it.
func serveStream(t *testing.T, abort bool) (d *Drainer, caller net.Conn, release chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is := is.New(t)
	is.NoErr(err)
	release = make(chan struct{})
	d = Serve(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		closer.EndWithConnection(req.Context(), w.Header())
		_, _ = io.WriteString(w, "id: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		<-release
		if abort {
			panic(http.ErrAbortHandler)
		}
	})}, l, Options{})
	caller, err = net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	write(t, caller, requestStart+requestRest)
	assertRead(t, caller, "HTTP/1.1 200 OK")
	return d, caller, release
}

// The stop of the server closed connections within answers, and no line told that from an
// answer that had ended with its connection. An answer that ends, or whose handler aborts
// it, must not be told as one that the stop has cut off.
func TestConnectionClosedWithinAnswerIsLogged(t *testing.T) {
	const line, reset = `msg="connection closed within an answer" caller=127.0.0.1:`, " reset=true"
	for _, c := range []struct {
		name             string
		abort, stopFirst bool
		lines            int
	}{
		{"the stop cuts the answer off", false, true, 1},
		{"the answer ends with its connection", false, false, 0},
		{"the handler aborts the answer", true, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var log lockedBuffer
			logger.Setup(&log)
			t.Cleanup(klog.ClearLogger)
			d, caller, release := serveStream(t, c.abort)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if !c.stopFirst {
				close(release)
				_, _ = io.Copy(io.Discard, caller)
				is.New(t).NoErr(d.Stop(ctx))
			} else {
				cancel()
				is.New(t).True(d.Stop(ctx) != nil)
				close(release)
			}
			is.New(t).Equal(log.countLines(line), c.lines)
			is.New(t).Equal(log.countLines("connection closed"), c.lines)
			is.New(t).Equal(log.countLines(reset), c.lines)
		})
	}
}
