package carrier

import (
	"fmt"
	"testing"
	"time"
)

// assertHeadEndsCall checks that an answer, whole or as a stream, ends its call as lost, and
// that nothing of it is relayed.
func assertHeadEndsCall(t *testing.T, answer string) {
	t.Helper()
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			u := newRawUpstream(t, answer, "", 0)
			r, replies := u.call(t, func(c *Call) { c.Stream, c.Classify, c.IdleTimeout = stream, classifyForeign, 20*time.Second })
			assertLost(t, u, r, replies)
		})
	}
}

// An answer with an invalid status was relayed, or taken for an informational one: an answer
// within its body was then relayed, and without a body the call waited until its deadline.
func TestAnswerWithInvalidStatusIsLost(t *testing.T) {
	const within = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
	for _, status := range []string{"000", "000 Failed", "020 OK", "+20 OK", "099 OK", "101 Switching Protocols", "600 Failed", "999 Failed"} {
		t.Run(status, func(t *testing.T) {
			assertHeadEndsCall(t, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(within), within))
		})
	}
	t.Run("without a body", func(t *testing.T) { assertHeadEndsCall(t, "HTTP/1.1 000 Failed\r\nContent-Length: 0\r\n\r\n") })
	t.Run("after an informational answer", func(t *testing.T) {
		assertHeadEndsCall(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Failed\r\nContent-Length: 2\r\n\r\nno")
	})
	t.Run("after an answer to another request", func(t *testing.T) {
		assertHeadEndsCall(t, "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 000 Failed\r\nContent-Length: 0\r\n\r\n"+within)
	})
}

// A field name with a blank was accepted, but the field had no effect. If it was meant to
// state the length or the encoding, the caller got another body than that of the upstream.
func TestAnswerWithInvalidFieldNameIsLost(t *testing.T) {
	const head, end = "HTTP/1.1 200 OK\r\nX-Note: a\r\n", "Content-Length: 2\r\n\r\nok"
	for _, c := range []struct{ name, answer string }{
		{"blank within the name", head + "X Odd: 1\r\n" + end},
		{"blank before the colon", head + "X-Odd : 1\r\n" + end},
		{"length with a blank", head + "Content-Length : 2\r\n" + end},
		{"chunks with a blank", head + "Transfer-Encoding : chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"tab before the colon", head + "X-Odd\t: 1\r\n" + end},
		{"control byte", head + "X\x01Odd: 1\r\n" + end},
		{"zero byte", head + "\x00X-Odd: 1\r\n" + end},
		{"delete", head + "X-Odd\x7f: 1\r\n" + end},
		{"carriage return", head + "X\rOdd: 1\r\n" + end},
		{"blank before the first name", "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n" + end},
		{"no name", head + ": 1\r\n" + end},
		{"failure", "HTTP/1.1 503 Full\r\nX Odd: 1\r\n" + end},
		{"refusal", "HTTP/1.1 503 Full\r\nRefused: 1\r\nX Odd: 1\r\n" + end},
		{"informational answer", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + end},
		{"answer to another request", "HTTP/1.1 200 OK\r\nForeign: 1\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + end},
		{"after an answer to another request", "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 0\r\n\r\n" + head + "X Odd: 1\r\n" + end},
	} {
		t.Run(c.name, func(t *testing.T) { assertHeadEndsCall(t, c.answer) })
	}
}
