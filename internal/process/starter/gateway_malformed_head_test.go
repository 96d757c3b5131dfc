package starter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// startUpstreamWithHead registers an upstream that answers each request with the status and
// the further lines of a head. It closes the connection after the answer.
func (r *gatewayFixture) startUpstreamWithHead(name, status, lines string) {
	r.t.Helper()
	r.startRawUpstream(name, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Response-Signature: s\r\nContent-Type: text/event-stream\r\n%s\r\nid: 1\ndata: x\n\n",
			status, req.Header.Get("Magnoliafront-Request-Id"), lines)
	})
}

// assertHeadDoesNotReachCaller checks that a caller gets 502 from the entry, which promises
// nothing, in place of an answer with the head.
func assertHeadDoesNotReachCaller(t *testing.T, status, lines string) {
	t.Helper()
	r := newGatewayFixture(t, 0)
	r.startUpstreamWithHead("i-a", status, lines)
	g := r.startReadyEntry()
	for _, prefix := range []string{"/hold/", "/check/", "/stream/brief/", "/stream/chat/"} {
		t.Run(strings.Trim(prefix, "/"), func(t *testing.T) {
			a := g.call(http.MethodPost, prefix+"1", "r-"+strings.ReplaceAll(prefix, "/", "-"), "body", nil)
			assertStatus(t, a, http.StatusBadGateway)
			is := is.New(t)
			is.Equal(a.header.Get("Magnoliafront-Response-Signature"), "")
			is.True(!strings.Contains(a.body, "data: x"))
		})
	}
}

// Callers got answers with an invalid status, or with a blank in a field name.
func TestGatewayMalformedHeadDoesNotReachCaller(t *testing.T) {
	for _, c := range []struct{ name, status, lines string }{
		{"status 000", "000", ""},
		{"status 000 with a length", "000 Failed", "Content-Length: 16\r\n"},
		{"status 099", "099 Failed", ""},
		{"status 999", "999 Failed", ""},
		{"blank in a name", "200 OK", "X Odd: 1\r\n"},
		{"length with a blank", "200 OK", "Content-Length : 16\r\n"},
		{"chunks with a blank", "200 OK", "Transfer-Encoding : chunked\r\n"},
		{"control byte in a name", "200 OK", "X\x01Odd: 1\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) { assertHeadDoesNotReachCaller(t, c.status, c.lines) })
	}
}
