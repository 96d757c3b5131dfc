package carrier

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// contestedCall performs a contested call of a stream, and permits it to relay when it is
// ready. It returns the body that was relayed, whether the call was ever ready, and the
// report of its end.
func contestedCall(t *testing.T, u *rawUpstream) (body string, ready bool, end Report) {
	t.Helper()
	reports, replies := make(chan Report, 16), relayer.NewRing()
	c := New(Options{Address: u.address, Clock: timer.System{}, Report: func(r Report) { reports <- r }})
	defer c.Close()
	head, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://desk.example/chat/1", nil)
	is.New(t).NoErr(err)
	c.Send(Call{
		Request: "r1", Attempt: 2, Context: t.Context(), Head: head, DialTimeout: time.Minute, Deadline: time.Now().Add(time.Minute),
		Contested: true, Stream: true, Classify: func(*http.Response) Verdict { return VerdictAccepted }, Replies: replies,
	})
	for end = range reports {
		if end.Ended {
			break
		}
		if end.Ready {
			ready = true
			c.PermitRelay()
		}
	}
	for r, ok := replies.TryTake(); ok; r, ok = replies.TryTake() {
		body += string(r.Bytes)
	}
	return body, ready, end
}

// The first bytes of an answer that is no event stream were dropped while another attempt
// could answer, if they were only line ends, and the rest was relayed as the whole body.
func TestContestedAnswerThatIsNoStreamIsRelayedWhole(t *testing.T) {
	for _, c := range []struct{ name, first string }{
		{"line ends", "\n\n"},
		{"a line that begins with a colon", ": x\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The first part fills the read buffer, so that the rest is another read.
			const head, rest = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX: ", "text\n\n"
			filler := strings.Repeat("x", readBufferBytes-len(head+"\r\n\r\n"+c.first))
			body, _, end := contestedCall(t, newClosingUpstream(t, head+filler+"\r\n\r\n"+c.first+rest))
			is := is.New(t)
			is.Equal(end.Outcome, OutcomeAnswered)
			is.Equal(body, c.first+rest)
		})
	}
}
