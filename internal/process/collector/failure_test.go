package collector

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

// A caller must learn that its request has not run, and after 503 when it may come again.
func TestFailureTellsThatRequestHasNotRun(t *testing.T) {
	for kind, status := range map[ErrorKind]int{
		ErrorTooLarge: http.StatusRequestEntityTooLarge, ErrorIncomplete: http.StatusBadRequest,
		ErrorSlow: http.StatusRequestTimeout, ErrorNoRoom: http.StatusServiceUnavailable,
	} {
		t.Run(kind.String(), func(t *testing.T) {
			f := FailureOf(&Error{Op: "read", Kind: kind, Err: errors.New("test")}, time.Unix(7, 123456789))
			is := is.New(t)
			is.Equal(f.Status, status)
			is.Equal(f.Outcome, admitter.OutcomeNotRun)
			is.Equal(f.RetryAfter > 0, status == http.StatusServiceUnavailable)
			is.True(f.RetryAfter <= retryAfter+retrySpread)
		})
	}
}

// The rest of a refused body was read, or the connection was reset before the caller had
// the answer.
func TestUnreadBodyIsNotDrained(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 100000", "chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				CloseUnread(w)
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer s.Close()
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			is := is.New(t)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(waitTimeout)))
			_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", framing)
			is.NoErr(err)
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Close)
			// The caller sends nothing more. The connection ends nevertheless, in order.
			_, err = r.ReadByte()
			is.True(errors.Is(err, io.EOF))
		})
	}
}
