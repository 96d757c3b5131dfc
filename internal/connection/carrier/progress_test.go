package carrier

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// deadlineConn is a connection of which only the read deadline is used.
type deadlineConn struct {
	net.Conn
	until time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.until = t
	return nil
}

// slowBody is a body of which a byte arrives after each pause on the clock.
type slowBody struct {
	conn  *deadlineConn
	clock *timer.Manual
	pause time.Duration
	left  int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.clock.Advance(b.pause)
	if b.clock.Now().After(b.conn.until) {
		return 0, os.ErrDeadlineExceeded
	}
	b.left--
	p[0] = 'x'
	return 1, nil
}

func (b *slowBody) Close() error { return nil }

// The silence of an upstream was reported one idle timeout after the head of a buffered
// response although its body kept arriving, and the request ran a second time. A trickle
// of bytes must still end at the deadline of the call.
func TestBytesOfBufferedBodyAreProgress(t *testing.T) {
	const idleTimeout = 10 * time.Second
	for _, c := range []struct {
		name  string
		pause time.Duration
		size  int
		want  Outcome
	}{
		{"slow body is answered", idleTimeout - time.Second, 5, OutcomeAnswered},
		{"silence beyond the idle timeout", idleTimeout + time.Second, 5, OutcomeExpired},
		{"trickle beyond the deadline of the call", idleTimeout - time.Second, 50, OutcomeExpired},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := timer.NewManual(time.Unix(1000, 0))
			conn := &deadlineConn{}
			upstream := &Conn{
				options: Options{Clock: clock}, conn: conn, received: &limitedConn{Conn: conn},
				reader: bufio.NewReader(strings.NewReader("")),
			}
			a := &attempt{conn: upstream, start: clock.Now(), sent: 1, call: Call{
				Context: t.Context(), Deadline: clock.Now().Add(time.Minute), IdleTimeout: idleTimeout, Replies: relayer.NewRing(),
			}}
			is := is.New(t)
			is.NoErr(upstream.setReadDeadline(a))
			r := upstream.relayComplete(a, &http.Response{
				StatusCode: http.StatusOK, ContentLength: int64(c.size), Request: &http.Request{},
				Body: &slowBody{conn: conn, clock: clock, pause: c.pause, left: c.size},
			})
			is.Equal(r.Outcome, c.want)
			is.True(!conn.until.After(a.call.Deadline))
		})
	}
}
