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

// An answer whose status is not one of HTTP was relayed, or taken for an informational one:
// what its body held was then relayed as the answer, and without a body the call waited for
// an answer until its deadline.
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
