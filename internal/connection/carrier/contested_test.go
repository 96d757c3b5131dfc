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

// An answer that ended before its first event was preferred to that of a silent upstream,
// which was given up for it.
func TestContestedStreamWithoutEventIsNotPreferred(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for _, c := range []struct{ name, response string }{
		{"cut off after a comment", head + "Content-Length: 10\r\n\r\n:\n\nid: 1\nd"},
		{"closed after a comment", head + "\r\n:\n\nid: 1\nd"},
		{"closed after its head", head + "\r\n"},
		{"closed after a whole comment", head + "\r\n:\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			body, ready, end := contestedCall(t, newClosingUpstream(t, c.response))
			is := is.New(t)
			is.True(!ready)
			is.Equal(end.Outcome, OutcomeLost)
			is.Equal(body, "")
		})
	}
	t.Run("one that is whole and empty is an answer", func(t *testing.T) {
		_, ready, end := contestedCall(t, newClosingUpstream(t, head+"Content-Length: 0\r\n\r\n"))
		is := is.New(t)
		is.True(ready)
		is.Equal(end.Outcome, OutcomeAnswered)
	})
	t.Run("one that has an event is an answer", func(t *testing.T) {
		body, ready, _ := contestedCall(t, newClosingUpstream(t, head+"\r\n"+strings.Repeat(":\n\n", 2)+"id: 1\ndata:\n\n"))
		is := is.New(t)
		is.True(ready)
		is.Equal(body, ":\n\n:\n\nid: 1\ndata:\n\n")
	})
}
