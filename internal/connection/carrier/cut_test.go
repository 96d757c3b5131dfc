package carrier

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

// framedAnswer is an answer of an upstream that is cut after each of its bytes.
type framedAnswer struct {
	name string
	// method is the method of the request, POST if empty.
	method string
	// head ends with an empty line. framedBody is what follows it on the connection,
	// and body what it says.
	head, framedBody, body string
	closeDelimited         bool
}

const (
	plainText  = "hold 12 is yours\n"
	streamHead = "Content-Type: text/event-stream\r\n"
	streamText = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
)

// chunked returns b as two chunks and the last one.
func chunked(b string) string {
	return fmt.Sprintf("5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", b[:5], len(b)-5, b[5:])
}

// framedAnswers returns answers with the body in each framing. Header is a part of each
// head.
func framedAnswers(header, body string) []framedAnswer {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	const chunks = "Transfer-Encoding: chunked\r\n"
	lineFeeds := strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+header+length+"\r\n", "\r\n", "\n")
	return []framedAnswer{
		{name: "length first", head: "HTTP/1.1 200 OK\r\n" + length + header + "\r\n", framedBody: body, body: body},
		{name: "length last", head: "HTTP/1.1 200 OK\r\n" + header + length + "\r\n", framedBody: body, body: body},
		{name: "length without a reason", head: "HTTP/1.1 200\r\n" + header + length + "\r\n", framedBody: body, body: body},
		{name: "lines ended by line feeds", head: lineFeeds, framedBody: body, body: body},
		{name: "folded header lines", head: "HTTP/1.1 200 OK\r\nX-Note: a\r\n b\r\n" + header + "Content-Length:\r\n " + fmt.Sprint(len(body)) + "\r\n\r\n", framedBody: body, body: body},
		{name: "after informational answers", head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n" + header + length + "\r\n", framedBody: body, body: body},
		{name: "chunked", head: "HTTP/1.1 200 OK\r\n" + header + chunks + "\r\n", framedBody: chunked(body), body: body},
		{name: "HTTP/1.0 with a length", head: "HTTP/1.0 200 OK\r\n" + header + length + "\r\n", framedBody: body, body: body},
		{name: "ended by the connection", head: "HTTP/1.1 200 OK\r\n" + header + "\r\n", framedBody: body, body: body, closeDelimited: true},
		{name: "HTTP/1.0 ended by the connection", head: "HTTP/1.0 200 OK\r\n" + header + "\r\n", framedBody: body, body: body, closeDelimited: true},
	}
}

// bodilessAnswers returns answers that end with their head.
func bodilessAnswers() []framedAnswer {
	return []framedAnswer{
		{name: "status 204", head: "HTTP/1.1 204 No Content\r\nX-Note: a\r\n\r\n"},
		{name: "status 304 with a length", head: "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n"},
		{name: "HEAD with a length", method: http.MethodHead, head: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"},
		{name: "HEAD with chunks", method: http.MethodHead, head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{name: "length zero", head: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	}
}

// connectionEnd is the way in which a connection ends after the last byte.
type connectionEnd string

const (
	endClosed connectionEnd = "closed"
	endReset  connectionEnd = "reset"
)

// Read implements io.Reader for the end of the connection.
func (e connectionEnd) Read([]byte) (int, error) {
	if e == endReset {
		return 0, syscall.ECONNRESET
	}
	return 0, io.EOF
}

// forEachCut calls f with the first k bytes of the answer, for each k, and each end of
// the connection.
func forEachCut(t *testing.T, a framedAnswer, f func(t *testing.T, k int, end connectionEnd, received io.Reader)) {
	t.Helper()
	text := a.head + a.framedBody
	for _, end := range [...]connectionEnd{endClosed, endReset} {
		t.Run(string(end), func(t *testing.T) {
			k := 0
			defer func() {
				if t.Failed() {
					t.Logf("cut after byte %d: %q", k, text[:k])
				}
			}()
			for ; k <= len(text); k++ {
				f(t, k, end, io.MultiReader(strings.NewReader(text[:k]), end))
			}
		})
	}
}

// relayedAnswer is what the replies to one call tell the caller.
type relayedAnswer struct {
	// begun is true if there is a head.
	begun bool
	body  string
	// ended is true if nothing is missing as far as the caller can tell. closeDelimited
	// is true if the caller can only tell by the end of the connection.
	ended, closeDelimited bool
}

func newRelayedAnswer(replies []relayer.Reply) relayedAnswer {
	var a relayedAnswer
	for _, r := range replies {
		a.body += string(r.Bytes)
		switch r.Kind {
		case relayer.KindComplete:
			a.begun, a.ended, a.closeDelimited = true, true, r.CloseDelimited
		case relayer.KindHead:
			a.begun, a.closeDelimited = true, r.CloseDelimited
		case relayer.KindEnd:
			a.ended = true
		}
	}
	return a
}

// assertNotMoreThanReceived checks what the caller is told of an answer of which k bytes
// were received.
func assertNotMoreThanReceived(t *testing.T, a framedAnswer, k int, end connectionEnd, r Report, got relayedAnswer) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.ended, r.Outcome == OutcomeAnswered)
	is.True(strings.HasPrefix(a.body, got.body))
	switch {
	case k < len(a.head):
		is.Equal(r.Outcome, OutcomeLost)
		is.True(!got.begun)
	case a.closeDelimited:
		// The end of the connection is all that the upstream says about the end.
		is.True(!got.begun || got.closeDelimited)
		is.True(!got.ended || end == endClosed)
	default:
		is.True(!got.closeDelimited)
		is.Equal(got.ended, k == len(a.head)+len(a.framedBody))
	}
	if got.ended && !a.closeDelimited {
		is.Equal(got.body, a.body)
	}
	is.True(!r.Reusable || got.ended && !a.closeDelimited)
}

// An upstream stopped within the head of its answer and closed, and the caller got a 200
// with an empty or short body that looked whole. Here half of an answer that ends with its
// connection got a Content-Length that fits.
func TestCutAnswerIsNotRelayedAsWhole(t *testing.T) {
	for _, a := range append(framedAnswers("X-Note: a\r\n", plainText), bodilessAnswers()...) {
		t.Run(a.name, func(t *testing.T) {
			forEachCut(t, a, func(t *testing.T, k int, end connectionEnd, received io.Reader) {
				r, replies := readAnswerFrom(t, received, func(c *Call) { c.Head.Method = a.requestMethod() })
				got := newRelayedAnswer(replies)
				if len(a.framedBody) == 0 && k == len(a.head) {
					is.New(t).True(got.ended)
					return
				}
				assertNotMoreThanReceived(t, a, k, end, r, got)
				if a.closeDelimited && end == endClosed && k >= len(a.head) {
					// All that the upstream sent reaches the caller.
					is.New(t).Equal(got.body, a.body[:k-len(a.head)])
				}
			})
		})
	}
}

// A stream that is cut must not end as if it were whole, whatever its framing.
func TestCutStreamIsNotRelayedAsWhole(t *testing.T) {
	for _, a := range framedAnswers(streamHead, streamText) {
		t.Run(a.name, func(t *testing.T) {
			forEachCut(t, a, func(t *testing.T, k int, end connectionEnd, received io.Reader) {
				r, replies := readAnswerFrom(t, received, func(c *Call) { c.Stream = true })
				assertNotMoreThanReceived(t, a, k, end, r, newRelayedAnswer(replies))
			})
		})
	}
}

// An answer that fails keeps its framing, like one that succeeds.
func TestCutFailureIsNotForwardedAsWhole(t *testing.T) {
	for _, a := range framedAnswers("X-Note: a\r\n", plainText) {
		a.head = strings.ReplaceAll(a.head, " 200", " 500")
		t.Run(a.name, func(t *testing.T) {
			forEachCut(t, a, func(t *testing.T, k int, end connectionEnd, received io.Reader) {
				r, replies := readAnswerFrom(t, received, func(*Call) {})
				is := is.New(t)
				is.Equal(len(replies), 0)
				if r.Outcome == OutcomeFailed {
					is.Equal(r.ErrorResponse.CloseDelimited, a.closeDelimited)
					is.True(a.closeDelimited && end == endClosed || k == len(a.head)+len(a.framedBody))
				}
			})
		})
	}
}

func (a framedAnswer) requestMethod() string {
	if a.method == "" {
		return http.MethodPost
	}
	return a.method
}

// A stream whose first answer had a length or chunks was ended as whole by an answer that
// ends with its connection: the caller could not tell that events are missing. The end of
// each answer says whether only the connection marked it.
func TestCutContinuationIsNotRelayedAsWhole(t *testing.T) {
	for _, a := range framedAnswers(streamHead, streamText) {
		t.Run(a.name, func(t *testing.T) {
			forEachCut(t, a, func(t *testing.T, k int, end connectionEnd, received io.Reader) {
				r, replies := readAnswerFrom(t, received, resume)
				is := is.New(t)
				is.True(strings.HasPrefix(a.body, newRelayedAnswer(replies).body))
				for _, reply := range replies {
					if reply.Kind == relayer.KindEnd {
						is.Equal(r.Outcome, OutcomeAnswered)
						is.Equal(reply.CloseDelimited, a.closeDelimited)
						is.True(a.closeDelimited && end == endClosed || k == len(a.head)+len(a.framedBody))
					}
				}
			})
		})
	}
}
