package bounder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/drainer"
	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// waitTimeout is the maximum wait for the server. A test fails when it is reached.
const waitTimeout = 30 * time.Second

// startServer starts a server whose heads share a budget. Its handler answers when release
// is closed.
func startServer(t *testing.T, heads *reserver.Budget, release <-chan struct{}) string {
	t.Helper()
	l, err := Listen(context.Background(), "127.0.0.1:0", Options{Heads: heads, Clock: timer.System{}})
	is.New(t).NoErr(err)
	d := drainer.Serve(&http.Server{MaxHeaderBytes: 64 << 10, Handler: Guard(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))}, l, drainer.Options{})
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.Stop(ctx)
	})
	return l.Addr().String()
}

// send sends the beginning of a request and returns its connection.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	is := is.New(t)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	is.NoErr(err)
	return conn
}

// awaitHeld waits until what is reserved for heads is as wanted.
func awaitHeld(t *testing.T, b *reserver.Budget, wanted func(held int64) bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !wanted(b.Stats().Held); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are reserved", b.Stats().Held)
		}
	}
}

func isZero(held int64) bool { return held == 0 }

// lines returns n header lines, each of a few bytes.
func lines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "A%d:\r\n", i)
	}
	return b.String()
}

const requestLine = "GET / HTTP/1.1\r\nHost: h\r\n"

// Heads of many short lines that did not end took many times their size in memory, in sum
// without a bound.
func TestHeadsStayWithinBudget(t *testing.T) {
	heads := reserver.NewBudget(1 << 20)
	address := startServer(t, heads, nil)
	for range 4 {
		send(t, address, requestLine+lines(2000))
	}
	awaitHeld(t, heads, func(held int64) bool { return held > 0 && heads.Stats().Refused > 0 })
	is.New(t).True(heads.Stats().Held <= heads.Stats().Limit)
}

// A caller whose head found no room must learn that its request has not run.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	heads := reserver.NewBudget(0)
	address := startServer(t, heads, nil)
	conn := send(t, address, requestLine+lines(100)+"\r\n")
	is := is.New(t)
	is.NoErr(conn.SetDeadline(time.Now().Add(waitTimeout)))
	answer, _ := io.ReadAll(conn)
	is.Equal(string(answer), refusal)
}

// What is reserved for a head must come back, and an ordinary head needs no reservation:
// otherwise a server refuses all after some time.
func TestHeadsAreReleased(t *testing.T) {
	t.Run("ordinary head", func(t *testing.T) {
		release := make(chan struct{})
		close(release)
		conn := send(t, startServer(t, reserver.NewBudget(0), release), requestLine+lines(10)+"\r\n")
		status := make([]byte, len("HTTP/1.1 200"))
		_, err := io.ReadFull(conn, status)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(string(status), "HTTP/1.1 200")
	})
	t.Run("after the answer", func(t *testing.T) {
		heads, release := reserver.NewBudget(1<<20), make(chan struct{})
		conn := send(t, startServer(t, heads, release), requestLine+lines(200)+"\r\n")
		awaitHeld(t, heads, func(held int64) bool { return held > 0 })
		close(release)
		_, err := io.ReadFull(conn, make([]byte, 1))
		is.New(t).NoErr(err)
		awaitHeld(t, heads, isZero)
	})
	t.Run("after the end of the connection", func(t *testing.T) {
		heads := reserver.NewBudget(1 << 20)
		conn := send(t, startServer(t, heads, nil), requestLine+lines(200))
		awaitHeld(t, heads, func(held int64) bool { return held > 0 })
		_ = conn.Close()
		awaitHeld(t, heads, isZero)
	})
	t.Run("beside a body of many lines", func(t *testing.T) {
		// What was counted for the body is given back when the request is served.
		heads, release := reserver.NewBudget(1<<20), make(chan struct{})
		address := startServer(t, heads, release)
		conn := send(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"+strings.Repeat("\n", 1999))
		defer func() { _ = conn.Close() }()
		defer close(release)
		ordinary := send(t, address, requestLine+lines(200))
		awaitHeld(t, heads, func(held int64) bool { return held > 0 })
		_ = ordinary.Close()
		awaitHeld(t, heads, isZero)
	})
}
