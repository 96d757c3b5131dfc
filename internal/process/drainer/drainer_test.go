package drainer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

const (
	requestStart = "POST /hold/1 HTTP/1.1\r\nHost: desk"
	requestRest  = ".example\r\nContent-Length: 2\r\n\r\nok"
	// waitTimeout bounds each wait of a test. Waits usually end long before.
	waitTimeout = 20 * time.Second
	// quietTime is how long a test watches a connection on which nothing may happen. A
	// fault that shows later is missed.
	quietTime = 100 * time.Millisecond
)

// pipeListener accepts the connections that dial makes in memory.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(t *testing.T) net.Conn {
	t.Helper()
	caller, server := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	is.New(t).NoErr(caller.SetDeadline(time.Now().Add(waitTimeout)))
	l.accepted <- server
	return caller
}

// serveEmpty starts a server that reads each request, begins an answer without a body, and
// ends it once release is closed. It does not wait for a nil release.
func serveEmpty(l net.Listener, release <-chan struct{}) *Drainer {
	return Serve(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		w.WriteHeader(http.StatusNoContent)
		if release != nil {
			<-release
		}
	})}, l, Options{})
}

// startStop stops d in the background and returns once it has begun. The function that
// it returns waits for the end.
func startStop(t *testing.T, d *Drainer, l *pipeListener) (wait func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	stopped := make(chan error, 1)
	go func() { stopped <- d.Stop(ctx) }()
	<-l.closed
	return func() {
		t.Helper()
		is.New(t).NoErr(<-stopped)
	}
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	is.New(t).NoErr(err)
}

func assertRead(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	_, err := io.ReadFull(conn, got)
	is := is.New(t)
	is.NoErr(err)
	is.Equal(string(got), want)
}

func assertAnswered(t *testing.T, conn net.Conn) {
	t.Helper()
	is := is.New(t)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err) // the connection ended without an answer
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusNoContent)
}

// assertQuiet checks that neither a byte nor the end of the connection arrives for
// quietTime.
func assertQuiet(t *testing.T, conn net.Conn) {
	t.Helper()
	is := is.New(t)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(quietTime)))
	n, err := conn.Read(make([]byte, 1))
	is.Equal(n, 0)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
}

func assertClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	n, err := conn.Read(make([]byte, 1))
	is := is.New(t)
	is.Equal(n, 0)
	is.True(err != nil)
}

// onEachConnection runs a test on a new connection and on one that has carried a request.
func onEachConnection(t *testing.T, test func(*testing.T, *Drainer, *pipeListener, net.Conn)) {
	t.Helper()
	for _, c := range []struct {
		name string
		kept bool
	}{{"new connection", false}, {"kept connection", true}} {
		t.Run(c.name, func(t *testing.T) {
			l := newPipeListener()
			d := serveEmpty(l, nil)
			conn := l.dial(t)
			if c.kept {
				write(t, conn, requestStart+requestRest)
				assertAnswered(t, conn)
			}
			test(t, d, l, conn)
		})
	}
}

// A request of which a part has been read when the server closes its connections must be
// answered. Its caller cannot know that it has not run, and must not send it again if it
// must not run twice.
func TestStopAnswersRequestThatHasBegunToArrive(t *testing.T) {
	onEachConnection(t, func(t *testing.T, d *Drainer, l *pipeListener, conn net.Conn) {
		write(t, conn, requestStart)
		wait := startStop(t, d, l)
		write(t, conn, requestRest)
		assertAnswered(t, conn)
		assertClosed(t, conn)
		wait()
	})
}

// A part of the next request that was read together with the request before lies in the
// buffer of net/http. It was answered 400 instead of being completed.
func TestStopAnswersPipelinedRequestThatHasBegunToArrive(t *testing.T) {
	l := newPipeListener()
	release := make(chan struct{})
	d := serveEmpty(l, release)
	conn := l.dial(t)
	write(t, conn, requestStart+requestRest+requestStart)
	wait := startStop(t, d, l)
	close(release)
	assertAnswered(t, conn)
	assertQuiet(t, conn)
	write(t, conn, requestRest)
	assertAnswered(t, conn)
	assertClosed(t, conn)
	wait()
}

// A connection on which no request has begun to arrive must not hold up the stop.
func TestStopClosesIdleConnections(t *testing.T) {
	onEachConnection(t, func(t *testing.T, d *Drainer, l *pipeListener, conn net.Conn) {
		startStop(t, d, l)()
		assertClosed(t, conn)
	})
}

// A request whose answer has begun before the stop announces no close. The connection
// must be closed after the answer, not kept for another request.
func TestStopWaitsForAnswer(t *testing.T) {
	l := newPipeListener()
	release := make(chan struct{})
	d := serveEmpty(l, release)
	conn := l.dial(t)
	write(t, conn, requestStart+requestRest)
	wait := startStop(t, d, l)
	close(release)
	assertAnswered(t, conn)
	assertClosed(t, conn)
	wait()
}

// Whoever waited for Idle waited for ever if the drainer stopped while a connection was open
// whose close it doesn't see, such as one that a handler has taken over.
func TestIdleEndsWithStop(t *testing.T) {
	l := newPipeListener()
	taken := make(chan net.Conn)
	d := Serve(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			taken <- conn
		}
	})}, l, Options{})
	write(t, l.dial(t), requestStart+requestRest)
	conn := <-taken
	defer func() { _ = conn.Close() }()
	idle := d.Idle()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is := is.New(t)
	is.True(errors.Is(d.Stop(ctx), context.Canceled))
	select {
	case <-idle:
	case <-time.After(waitTimeout):
		is.Fail() // the channel stayed open
	}
}

// heldListener accepts connections only once release is closed.
type heldListener struct {
	*net.TCPListener
	release chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	<-l.release
	return l.TCPListener.Accept()
}

// A connection that waits to be accepted was reset with the request that its caller had
// sent. An entry that is short of processor time accepts late, so that the request can lie
// there for seconds.
func TestStopAnswersRequestThatWaitsToBeAccepted(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := heldListener{TCPListener: inner.(*net.TCPListener), release: make(chan struct{})}
	d := serveEmpty(l, nil)
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(waitTimeout)))
	write(t, conn, requestStart+requestRest)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	stopped := make(chan error)
	go func() { stopped <- d.Stop(ctx) }()
	for !d.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	close(l.release)
	assertAnswered(t, conn)
	assertClosed(t, conn)
	is.NoErr(<-stopped)
}

// The body of a request that waits for 100 Continue is read after bytes have been sent. It
// was taken for a part of the next request, so that the idle connection stayed open until
// the end of the stop.
func TestStopClosesIdleConnectionAfterContinue(t *testing.T) {
	l := newPipeListener()
	d := serveEmpty(l, nil)
	conn := l.dial(t)
	write(t, conn, "POST /hold/1 HTTP/1.1\r\nHost: desk.example\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	assertRead(t, conn, "HTTP/1.1 100 Continue\r\n\r\n")
	write(t, conn, "ok")
	assertAnswered(t, conn)
	startStop(t, d, l)()
	assertClosed(t, conn)
}
