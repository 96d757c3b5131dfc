package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

// relayTo returns the answer that a caller gets for the replies to a request over a
// socket. Its body ends with that of the connection.
func relayTo(t *testing.T, method, protocol string, replies ...Reply) *http.Response {
	t.Helper()
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		ring := NewRing()
		for _, r := range replies {
			ring.Put(t.Context(), r)
		}
		ring.Close()
		if Relay(req.Context(), w, ring, func(http.ResponseWriter, *admitter.Failure) {}) != nil {
			panic(http.ErrAbortHandler)
		}
	}))
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
	return resp
}

// assertEndsWithConnection checks that an answer has a body and that only the end of its
// connection marks its end.
func assertEndsWithConnection(t *testing.T, resp *http.Response, body string) {
	t.Helper()
	is := is.New(t)
	is.Equal(resp.Header.Get("Content-Length"), "")
	is.Equal(len(resp.TransferEncoding), 0)
	is.True(resp.Close)
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(string(data), body)
}

// Half of an answer that its upstream would have ended with the connection got a
// Content-Length that fits, so that the caller took it for the whole.
func TestCloseDelimitedAnswerGetsNoOtherFraming(t *testing.T) {
	complete := func(status int, body string) []Reply {
		return []Reply{{Kind: KindComplete, Status: status, CloseDelimited: true, Bytes: []byte(body)}}
	}
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, c := range []struct {
			name    string
			replies []Reply
			body    string
		}{
			{"whole", complete(http.StatusOK, "half"), "half"},
			{"without a body", complete(http.StatusOK, ""), ""},
			{"failure", complete(http.StatusInternalServerError, "half"), "half"},
			{"in parts", []Reply{{Kind: KindHead, Status: http.StatusOK, CloseDelimited: true}, {Kind: KindBody, Bytes: []byte("half")}, {Kind: KindEnd}}, "half"},
			{"in no parts", []Reply{{Kind: KindHead, Status: http.StatusOK, CloseDelimited: true}, {Kind: KindEnd}}, ""},
		} {
			t.Run(protocol+" "+c.name, func(t *testing.T) {
				resp := relayTo(t, http.MethodPost, protocol, c.replies...)
				is.New(t).Equal(resp.StatusCode, c.replies[0].Status)
				assertEndsWithConnection(t, resp, c.body)
			})
		}
	}
}

// An answer without framing that went on with a framed stream ended it as whole. The
// caller must see that the end is not known.
func TestCloseDelimitedEndDoesNotEndFramedAnswer(t *testing.T) {
	part, end := Reply{Kind: KindBody, Bytes: []byte("id: 1\n\n")}, Reply{Kind: KindEnd, CloseDelimited: true}
	t.Run("framed head", func(t *testing.T) {
		resp := relayTo(t, http.MethodPost, "HTTP/1.1", Reply{Kind: KindHead, Status: http.StatusOK}, part, end)
		is := is.New(t)
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		is.True(err != nil)
		is.Equal(string(data), "id: 1\n\n")
	})
	t.Run("close-delimited head", func(t *testing.T) {
		resp := relayTo(t, http.MethodPost, "HTTP/1.1", Reply{Kind: KindHead, Status: http.StatusOK, CloseDelimited: true}, part, end)
		assertEndsWithConnection(t, resp, "id: 1\n\n")
	})
}

// An answer to a HEAD request that stated no length got a Content-Length of zero, which
// says that the answer to a GET request would have no body.
func TestBodilessAnswerGetsNoLength(t *testing.T) {
	for _, c := range []struct {
		name, method string
		reply        Reply
		length       string
	}{
		{"HEAD without a length", http.MethodHead, Reply{Status: http.StatusOK}, ""},
		{"HEAD that ends with its connection", http.MethodHead, Reply{Status: http.StatusOK, CloseDelimited: true}, ""},
		{"HEAD with a length", http.MethodHead, Reply{Status: http.StatusOK, Header: http.Header{"Content-Length": {"12"}}}, "12"},
		{"status 204", http.MethodGet, Reply{Status: http.StatusNoContent}, ""},
		{"empty body", http.MethodGet, Reply{Status: http.StatusOK}, "0"},
		{"empty body with a length", http.MethodGet, Reply{Status: http.StatusOK, Header: http.Header{"Content-Length": {"0"}}}, "0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp := relayTo(t, c.method, "HTTP/1.1", c.reply)
			is := is.New(t)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, c.reply.Status)
			is.Equal(resp.Header.Get("Content-Length"), c.length)
			is.Equal(len(resp.TransferEncoding), 0)
		})
	}
}
