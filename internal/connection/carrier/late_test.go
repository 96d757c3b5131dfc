package carrier

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/peeker"
	"magnoliafront.dev/magnoliafront/internal/process/collector"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// newConnections returns both ends of a connection.
func newConnections(t *testing.T) (upstream *net.TCPConn, conn net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	dialled, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	conn, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = dialled.Close()
		_ = conn.Close()
	})
	upstream, ok := dialled.(*net.TCPConn)
	is.True(ok)
	return upstream, conn
}

// newLateConn returns a connection whose deadline has passed after sent, and the end of the
// connection if closed is true, had arrived. It counts the calls of onTimeout.
func newLateConn(t *testing.T, sent string, closed bool) (c *limitedConn, timeouts *int) {
	t.Helper()
	is := is.New(t)
	upstream, conn := newConnections(t)
	_, err := upstream.Write([]byte(sent))
	is.NoErr(err)
	if closed {
		_ = upstream.Close()
	}
	for (sent != "" || closed) && peeker.Peek(conn) == peeker.NoData {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(conn.SetReadDeadline(time.Unix(1, 0)))
	timeouts = new(int)
	onTimeout := func() bool {
		*timeouts++
		return false
	}
	return &limitedConn{Conn: conn, lateBytes: 4, onTimeout: onTimeout}, timeouts
}

// readAll reads until the first error.
func readAll(c *limitedConn) (string, error) {
	var read strings.Builder
	for b := make([]byte, 16); ; {
		n, err := c.Read(b)
		read.Write(b[:n])
		if err != nil {
			return read.String(), err
		}
	}
}

// An answer that had arrived when its deadline passed, as after a freeze of the process,
// was given up, and its request was sent again.
func TestLateReadReturnsWhatHasArrived(t *testing.T) {
	for _, c := range []struct {
		name, sent string
		closed     bool
		want       string
		err        error
		timeouts   int
	}{
		{"nothing has arrived", "", false, "", os.ErrDeadlineExceeded, 1},
		{"an answer has arrived", "ok", false, "ok", os.ErrDeadlineExceeded, 1},
		{"the end of the connection has arrived", "", true, "", io.EOF, 0},
		{"more than the limit has arrived", "endless", false, "endl", os.ErrDeadlineExceeded, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, timeouts := newLateConn(t, c.sent, c.closed)
			read, err := readAll(conn)
			is := is.New(t)
			is.Equal(read, c.want)
			is.True(errors.Is(err, c.err))
			is.Equal(*timeouts, c.timeouts)
		})
	}
}

// A reset that had arrived when the deadline passed was reported to the peek before the late
// read. The kernel reports it once, so that the read found an orderly end, and a part of a
// close-delimited answer counted as the whole.
func TestLateReadReturnsReset(t *testing.T) {
	for _, sent := range []string{"", "ok"} {
		t.Run("after "+strconv.Quote(sent), func(t *testing.T) {
			is := is.New(t)
			upstream, conn := newConnections(t)
			_, err := upstream.Write([]byte(sent))
			is.NoErr(err)
			is.NoErr(upstream.SetLinger(0))
			is.NoErr(upstream.Close())
			for peeker.IsOpen(conn) {
				time.Sleep(time.Millisecond)
			}
			is.NoErr(conn.SetReadDeadline(time.Unix(1, 0)))
			read, err := readAll(&limitedConn{Conn: conn, lateBytes: 4})
			is.Equal(read, sent)
			is.True(errors.Is(err, syscall.ECONNRESET))
		})
	}
}

// starvation is for how long a starved process gets no processor time. It is longer than
// the time until the deadline of a call.
const starvation = 2 * time.Hour

// starvedClock is the clock of a process that gets no processor time from the moment at
// which an upstream has begun to answer until the deadline of its call has passed.
type starvedClock struct {
	timer.System
	// answering is true from before the answer on, and answered is closed after it.
	answering atomic.Bool
	answered  chan struct{}
}

func (c *starvedClock) Now() time.Time {
	if c.answering.Load() {
		<-c.answered
		return time.Now().Add(starvation)
	}
	return time.Now()
}

// dial returns a connection whose read deadlines are times of the clock, as is that of ctx.
func (c *starvedClock) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if until, ok := ctx.Deadline(); ok && !until.After(c.Now()) {
		return nil, context.DeadlineExceeded
	}
	conn, err := Dialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &starvedConn{TCPConn: conn.(*net.TCPConn), clock: c}, nil
}

type starvedConn struct {
	*net.TCPConn
	clock timer.Clock
}

func (c *starvedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		t = time.Now().Add(t.Sub(c.clock.Now()))
	}
	return c.TCPConn.SetReadDeadline(t)
}

// An answer that had arrived in time was given up without a look at it if the process
// first came to read after the deadline. One that ends with its connection was, since the
// upstream was then connected to after the deadline, and taken for one that had ended.
func TestAnswerThatArrivedBeforeFirstReadIsRelayed(t *testing.T) {
	for _, c := range []struct{ name, answer string }{
		{"stated length", "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nfull"},
		{"end of the connection", "HTTP/1.1 413 Too Large\r\n\r\nfull"},
	} {
		t.Run(c.name, func(t *testing.T) { assertLateAnswerIsRelayed(t, c.answer) })
	}
}

// assertLateAnswerIsRelayed checks that a call relays an answer with the body "full" that is
// read after the deadline of the call.
func assertLateAnswerIsRelayed(t *testing.T, answer string) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	clock := &starvedClock{answered: make(chan struct{})}
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		clock.answering.Store(true)
		_, _ = io.WriteString(conn, answer)
		// Unlike Close, this does not reset the connection, whose request was not read.
		_ = conn.(*net.TCPConn).CloseWrite()
		close(clock.answered)
	}()
	u := &rawUpstream{address: l.Addr().String(), clock: clock, dial: clock.dial}
	r, replies := u.call(t, func(c *Call) {
		// The body does not fit into the buffers of the connection, so that it is being
		// written when the answer arrives.
		c.Body = collector.NewBody(make([]byte, 64<<20))
	})
	is.Equal(r.Outcome, OutcomeAnswered)
	is.Equal(string(replies[0].Bytes), "full")
}
