package drainer

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
)

// stallingConn is the connection of a caller who stops reading.
type stallingConn struct {
	*net.TCPConn
	// stall makes each write wait until the connection is closed. The first one closes
	// stalled.
	stall       chan struct{}
	stalled     chan struct{}
	closed      chan struct{}
	onceStalled sync.Once
	onceClosed  sync.Once
}

func (c *stallingConn) Write(p []byte) (int, error) {
	select {
	case <-c.stall:
		c.onceStalled.Do(func() { close(c.stalled) })
		<-c.closed
		return 0, net.ErrClosed
	default:
		return c.TCPConn.Write(p)
	}
}

func (c *stallingConn) Close() error {
	c.onceClosed.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// stallingListener accepts connections that stall once stall is closed.
type stallingListener struct {
	*net.TCPListener
	stall   chan struct{}
	stalled chan struct{}
}

func (l *stallingListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &stallingConn{TCPConn: conn, stall: l.stall, stalled: l.stalled, closed: make(chan struct{})}, nil
}

// The handler of an answer had returned, but the end of the answer was still in the buffer
// of the server, since the caller read slowly. At the exit, the connection was closed in an
// orderly way without it.
func TestUnsentEndOfUnframedAnswerLooksCut(t *testing.T) {
	for _, kind := range unframedKinds {
		t.Run(kind.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is := is.New(t)
			is.NoErr(err)
			l := &stallingListener{TCPListener: listener.(*net.TCPListener), stall: make(chan struct{}), stalled: make(chan struct{})}
			d := Serve(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if strings.HasPrefix(req.URL.Path, "/identity") {
					closer.EndWithConnection(req.Context(), w.Header())
				}
				_, _ = io.WriteString(w, firstEvent)
				_ = http.NewResponseController(w).Flush()
				close(l.stall)
				_, _ = io.WriteString(w, "id: 2\n\n")
			})}, l, Options{})
			stream := openStream(t, l.Addr().String(), kind.path, kind.protocol)
			<-l.stalled
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			is.True(d.Stop(ctx) != nil)
			assertLooksCut(t, stream)
		})
	}
}
