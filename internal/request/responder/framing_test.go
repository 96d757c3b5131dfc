package responder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// answerTo returns what a caller of the given protocol gets from a handler.
func answerTo(t *testing.T, method, protocol string, h http.HandlerFunc) *http.Response {
	t.Helper()
	is := is.New(t)
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "%s / %s\r\nHost: desk.example\r\n\r\n", method, protocol)
	is.NoErr(err)
	q, err := http.NewRequestWithContext(t.Context(), method, "/", nil)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), q)
	is.NoErr(err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// assertStatesLength checks that a response says how long its body is.
func assertStatesLength(t *testing.T, resp *http.Response) {
	t.Helper()
	is := is.New(t)
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(len(data) > 0)
	is.Equal(resp.ContentLength, int64(len(data)))
	is.True(strings.HasSuffix(string(data), "}\n"))
}

// A completion above 2 KB had no length. For a caller of HTTP/1.0 it ended with its
// connection, so that a part of it ended like the whole.
func TestJSONAnswerStatesItsLength(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, size := range []int{10, 100_000} {
			t.Run(fmt.Sprint(protocol, " completion of ", size, " bytes"), func(t *testing.T) {
				assertStatesLength(t, answerTo(t, http.MethodPost, protocol, func(w http.ResponseWriter, q *http.Request) {
					replies := NewRing()
					replies.Put(q.Context(), Reply{Kind: KindTokens, Tokens: []string{strings.Repeat("x", size)}})
					replies.Put(q.Context(), Reply{Kind: KindFinished})
					_ = WriteCompletion(q.Context(), w, CompletionMetadata{}, replies)
				}))
			})
			t.Run(fmt.Sprint(protocol, " list with a name of ", size, " bytes"), func(t *testing.T) {
				assertStatesLength(t, answerTo(t, http.MethodGet, protocol, func(w http.ResponseWriter, q *http.Request) {
					replies := NewRing()
					replies.Put(q.Context(), Reply{Kind: KindModels, Models: []string{strings.Repeat("x", size)}})
					_ = WriteModels(q.Context(), w, replies)
				}))
			})
		}
	}
}
