package carrier

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/collector"
)

// classifyForeign returns the verdict for the header that an upstream of these tests
// sets in its response.
func classifyForeign(r *http.Response) Verdict {
	switch {
	case r.Header.Get("Foreign") != "":
		return VerdictMismatched
	case r.Header.Get("Refused") != "":
		return VerdictRefused
	}
	return VerdictAccepted
}

// Bytes in the body of a response to another request must not be taken for the response
// to this one. The rest of a body over the limit, and any body in a call of the method
// HEAD, were parsed as the next response.
func TestBodyOfForeignResponseIsNotParsedAsResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct{ name, method, before string }{
		{"over the limit", http.MethodPost, strings.Repeat("x", maxBufferedBytes)},
		{"in a call without bodies", http.MethodHead, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			body := c.before + refusal
			u := newRawUpstream(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body), "", 0)
			r, replies := u.call(t, func(call *Call) { call.Head.Method, call.Classify = c.method, classifyForeign })
			assertLost(t, u, r, replies)
		})
	}
	t.Run("the response after a short one is used", func(t *testing.T) {
		u := newRawUpstream(t, "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "", 0)
		r, replies := u.call(t, func(call *Call) { call.Classify = classifyForeign })
		is := is.New(t)
		is.Equal(r.Outcome, OutcomeAnswered)
		is.True(!r.Reusable)
		is.Equal(string(replies[0].Bytes), "ok")
	})
}

// A response to another request that arrived while a long request was being written ended
// the writing. The upstream waited for the rest until the deadline.
func TestForeignResponseDoesNotStopRequest(t *testing.T) {
	const size = 64 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		// The body does not fit into the buffers of the connection, so that it is still
		// being written.
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 2\r\n\r\nno")
		time.Sleep(3 * writePollInterval)
		n, _ := io.Copy(io.Discard, q.Body)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n%08d", n)
		_, _ = io.Copy(io.Discard, in)
	}()
	u := &rawUpstream{address: l.Addr().String()}
	r, replies := u.call(t, func(c *Call) {
		c.Body, c.Classify, c.IdleTimeout = collector.NewBody(make([]byte, size)), classifyForeign, 20*time.Second
	})
	is := is.New(t)
	is.Equal(r.Outcome, OutcomeAnswered)
	is.True(!r.Reusable)
	is.Equal(string(replies[0].Bytes), fmt.Sprintf("%08d", size))
}
