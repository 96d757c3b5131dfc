package closer

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/peeker"
)

// waitTimeout bounds each wait of a test. Waits usually end long before.
const waitTimeout = 20 * time.Second

// newConn returns a connection and its other end.
func newConn(t *testing.T) (c *Conn, caller net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	caller, err = net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	accepted, err := l.Accept()
	is.NoErr(err)
	c = &Conn{Conn: accepted, OnClose: func(*Conn) {}}
	t.Cleanup(func() {
		_ = caller.Close()
		_ = c.Close()
	})
	setReadTimeout(t, c)
	return c, caller
}

func setReadTimeout(t *testing.T, c *Conn) {
	t.Helper()
	is.New(t).NoErr(c.SetReadDeadline(time.Now().Add(waitTimeout)))
}

// expireIdle lets the answer on c end and sets an idle timeout that has passed.
func expireIdle(t *testing.T, c *Conn) {
	t.Helper()
	FollowState(c, http.StateIdle)
	is.New(t).NoErr(c.SetReadDeadline(time.Unix(1, 0)))
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	is.New(t).NoErr(err)
}

func assertRead(t *testing.T, c *Conn, want string) {
	t.Helper()
	p := make([]byte, 64)
	n, err := c.Read(p)
	is := is.New(t)
	is.NoErr(err)
	is.Equal(string(p[:n]), want)
}

func assertReadFails(t *testing.T, c *Conn) {
	t.Helper()
	_, err := c.Read(make([]byte, 64))
	is.New(t).True(err != nil)
}

// awaitArrival waits until something can be read from c, and leaves it there.
func awaitArrival(t *testing.T, c *Conn) {
	t.Helper()
	awaitState(t, c, peeker.DataAvailable)
}

// awaitEnd waits until the other end of c is known to have ended.
func awaitEnd(t *testing.T, c *Conn) {
	t.Helper()
	awaitState(t, c, peeker.Ended)
}

func awaitState(t *testing.T, c *Conn, s peeker.State) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if peeker.Peek(c.Conn) == s {
			return
		}
	}
	t.Fatalf("the connection does not reach state %d", s)
}

// Bytes that had arrived but were not read when the connection was drained were dropped
// with it, although the caller had sent a whole request.
func TestDrainingConnectionDeliversWhatHasArrived(t *testing.T) {
	t.Run("idle, nothing arrived: the read ends", func(t *testing.T) {
		c, _ := newConn(t)
		c.Drain()
		assertReadFails(t, c)
	})
	t.Run("idle, unread bytes: they are delivered, then the rest", func(t *testing.T) {
		c, caller := newConn(t)
		write(t, caller, "POST /")
		awaitArrival(t, c)
		c.Drain()
		assertRead(t, c, "POST /")
		write(t, caller, "hold")
		assertRead(t, c, "hold")
	})
	t.Run("a part was read: the rest is awaited", func(t *testing.T) {
		c, caller := newConn(t)
		write(t, caller, "POST /")
		assertRead(t, c, "POST /")
		c.Drain()
		write(t, caller, "hold")
		assertRead(t, c, "hold")
	})
	t.Run("waiting read: it ends", func(t *testing.T) {
		c, _ := newConn(t)
		failed := make(chan error)
		go func() {
			_, err := c.Read(make([]byte, 1))
			failed <- err
		}()
		c.Drain()
		is.New(t).True(<-failed != nil)
	})
}

// A process that was frozen past the idle timeout of a connection closed it, although a
// request had arrived meanwhile.
func TestExpiredIdleConnectionDeliversWhatHasArrived(t *testing.T) {
	t.Run("nothing arrived: the read ends", func(t *testing.T) {
		c, _ := newConn(t)
		expireIdle(t, c)
		assertReadFails(t, c)
	})
	t.Run("unread bytes: they are delivered", func(t *testing.T) {
		c, caller := newConn(t)
		write(t, caller, "POST /")
		awaitArrival(t, c)
		expireIdle(t, c)
		assertRead(t, c, "POST /")
	})
}

// expireHead lets a part of a head be read and the rest arrive, and sets a deadline that
// has passed.
func expireHead(t *testing.T) *Conn {
	t.Helper()
	c, caller := newConn(t)
	write(t, caller, "POST /")
	assertRead(t, c, "POST /")
	write(t, caller, "hold")
	awaitArrival(t, c)
	expireIdle(t, c)
	return c
}

// A process that was frozen past the deadline of a head closed the connection without an
// answer, although the rest of the head had arrived. A trickle of bytes must still end.
func TestExpiredHeadDeliversWhatHasArrived(t *testing.T) {
	t.Run("what has arrived is delivered, then the read ends", func(t *testing.T) {
		c := expireHead(t)
		assertRead(t, c, "hold")
		assertReadFails(t, c)
	})
	t.Run("more than may be late: the read ends", func(t *testing.T) {
		c := expireHead(t)
		c.lateBytes = 2
		assertRead(t, c, "ho")
		assertReadFails(t, c)
	})
	t.Run("within a body: the read ends", func(t *testing.T) {
		c := expireHead(t)
		FollowState(c, http.StateActive)
		assertReadFails(t, c)
	})
}

// Each state of the connection at its server decides whether a drained connection may
// end.
func TestDrainingConnectionEndsOnlyWhenIdle(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(t *testing.T, c *Conn, caller net.Conn)
		ends  bool
	}{
		{"the body of a request is read", func(t *testing.T, c *Conn, caller net.Conn) {
			FollowState(c, http.StateActive)
		}, false},
		{"the answer has ended", func(t *testing.T, c *Conn, caller net.Conn) {
			FollowState(c, http.StateActive)
			write(t, c, "HTTP/1.1 200 OK")
			FollowState(c, http.StateIdle)
		}, true},
		{"the next request began during the answer", func(t *testing.T, c *Conn, caller net.Conn) {
			FollowState(c, http.StateActive)
			write(t, c, "HTTP/1.1 200 OK")
			write(t, caller, "P")
			assertRead(t, c, "P")
			FollowState(c, http.StateIdle)
		}, false},
		{"the next request began with the last one", func(t *testing.T, c *Conn, caller net.Conn) {
			FollowState(c, http.StateActive)
			write(t, c, "HTTP/1.1 200 OK")
			FollowState(c, http.StateIdle)
			setReadTimeout(t, c) // for the first bytes, which the server has
			setReadTimeout(t, c) // for the rest of the head
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, caller := newConn(t)
			c.steps(t, conn, caller)
			conn.Drain()
			is.New(t).Equal(conn.isIdle(), c.ends)
			if c.ends {
				assertReadFails(t, conn)
				return
			}
			write(t, caller, "more")
			assertRead(t, conn, "more")
		})
	}
}

// The log line of a connection that is closed before an answer also told of callers that
// had got one, while they still sent a body that was too large.
func TestUnansweredRequestIsTold(t *testing.T) {
	for _, c := range []struct {
		name       string
		steps      func(t *testing.T, c *Conn, caller net.Conn)
		unanswered bool
	}{
		{"a request is served", func(t *testing.T, c *Conn, caller net.Conn) {
			FollowState(c, http.StateActive)
		}, true},
		{"a request has arrived", func(t *testing.T, c *Conn, caller net.Conn) {
			write(t, caller, "POST /")
			awaitArrival(t, c)
		}, true},
		{"the answer has ended, the rest of the body arrives", func(t *testing.T, c *Conn, caller net.Conn) {
			FollowState(c, http.StateActive)
			write(t, c, "HTTP/1.1 413 Request Entity Too Large")
			is.New(t).NoErr(c.CloseWrite())
			write(t, caller, "more")
			awaitArrival(t, c)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, caller := newConn(t)
			c.steps(t, conn, caller)
			is.New(t).Equal(hasUnanswered(conn.phase, conn.unserved, peeker.Peek(conn.Conn)), c.unanswered)
		})
	}
}

// The log could not tell a connection that was closed within an answer by the stop of the
// server from one whose answer had ended. A close that ends an answer, or that the handler
// of the request asks for, must not be told.
func TestUnfinishedAnswerIsTold(t *testing.T) {
	begin := func(t *testing.T, c *Conn) {
		FollowState(c, http.StateActive)
		c.setHandled(true)
		write(t, c, "HTTP/1.1 200 OK")
	}
	for _, c := range []struct {
		name       string
		steps      func(t *testing.T, c *Conn, caller net.Conn)
		unfinished bool
	}{
		{"the handler writes the answer", func(t *testing.T, c *Conn, caller net.Conn) { begin(t, c) }, true},
		{"the handler has ended", func(t *testing.T, c *Conn, caller net.Conn) {
			begin(t, c)
			c.setHandled(false)
		}, false},
		{"the handler has taken the connection over", func(t *testing.T, c *Conn, caller net.Conn) {
			begin(t, c)
			FollowState(c, http.StateHijacked)
		}, false},
		{"nothing of the answer was written", func(t *testing.T, c *Conn, caller net.Conn) {
			FollowState(c, http.StateActive)
			c.setHandled(true)
		}, false},
		{"the caller has left", func(t *testing.T, c *Conn, caller net.Conn) {
			begin(t, c)
			is.New(t).NoErr(caller.(*net.TCPConn).CloseWrite())
			awaitEnd(t, c)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, caller := newConn(t)
			c.steps(t, conn, caller)
			is.New(t).Equal(hasUnfinished(conn.phase, conn.handled, peeker.Peek(conn.Conn)), c.unfinished)
		})
	}
}
