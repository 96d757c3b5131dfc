package receiver

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
)

// largeBody is one byte longer than the default limit.
var largeBody = strings.Repeat("x", defaultMaxBodyBytes+1)

// A caller whose body was too large, and who waited for the answer before sending the rest,
// got none: the server waited for the rest first. Since a body that is announced as too
// large is not read at all, the rest of what such a caller sends may fail; the answer must
// be there nevertheless.
func TestTooLargeBodyIsAnsweredBeforeItsRest(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s", len(largeBody)+1, largeBody)
	for _, c := range []struct{ name, framing, body string }{
		{"announced, nothing sent", fmt.Sprintf("Content-Length: %d", len(largeBody)+1), ""},
		{"announced, as much as allowed sent", fmt.Sprintf("Content-Length: %d", len(largeBody)+1), largeBody},
		{"announced, sent until the connection ends", "Content-Length: 900000000", strings.Repeat(largeBody, 4)},
		{"in a chunk", "Transfer-Encoding: chunked", chunk},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, address := startReceiver(t, faultyCodec{}, "127.0.0.1:1")
			is := is.New(t)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
			_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", c.framing)
			is.NoErr(err)
			// The write may fail, but it ends.
			_, _ = io.WriteString(conn, c.body)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err) // there is no answer
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
			is.True(resp.Close)
		})
	}
}
