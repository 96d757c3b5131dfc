package carrier

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

// resume is a change of a call that goes on with a stream after its event 2.
func resume(c *Call) { c.Stream, c.Begun, c.LastEvent = true, true, "2" }

// assertNotContinued checks that an answer did not go on with a stream: none of its bytes
// reached the caller, nor an end.
func assertNotContinued(t *testing.T, r Report, replies []relayer.Reply) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.Outcome, OutcomeFailed)
	is.True(r.Begun)
	is.Equal(r.LastEvent, "2")
	is.Equal(len(replies), 0)
}

// A stream was resumed with a page of text, whose paragraphs were relayed as events, and
// its end as that of the stream.
func TestAnswerThatIsNoStreamDoesNotContinueStream(t *testing.T) {
	for _, c := range []struct{ name, head string }{
		{"text", "Content-Type: text/plain\r\nContent-Length: 15\r\n"},
		{"text without framing", "Content-Type: text/plain\r\n"},
		{"JSON", "Content-Type: application/json\r\nContent-Length: 15\r\n"},
		{"unknown type", "Content-Length: 15\r\n"},
		{"invalid type", "Content-Type: text/event-stream; =\r\nContent-Length: 15\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newClosingUpstream(t, "HTTP/1.1 200 OK\r\n"+c.head+"\r\nfailed\n\nsorry\n\n")
			r, replies := u.call(t, resume)
			assertNotContinued(t, r, replies)
		})
	}
	t.Run("a stream with parameters in its type goes on", func(t *testing.T) {
		u := newRawUpstream(t, "HTTP/1.1 200 OK\r\nContent-Type: Text/Event-Stream; charset=utf-8\r\nContent-Length: 13\r\n\r\nid: 3\ndata:\n\n", "", 0)
		r, replies := u.call(t, resume)
		is := is.New(t)
		is.Equal(r.Outcome, OutcomeAnswered)
		is.Equal(r.LastEvent, "3")
		is.Equal(len(replies), 2)
	})
}

// An answer whose end holds no event ended a stream that had broken off as if it were
// complete.
func TestAnswerWithoutEventDoesNotEndStream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for _, c := range []struct{ name, response string }{
		{"empty body", head + "Content-Length: 0\r\n\r\n"},
		{"no chunk", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"closed connection", head + "\r\n"},
		{"no content", "HTTP/1.1 204 No Content\r\nContent-Type: text/event-stream\r\n\r\n"},
		{"events that the caller has", head + "Content-Length: 26\r\n\r\nid: 1\ndata:\n\nid: 2\ndata:\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, replies := newClosingUpstream(t, c.response).call(t, resume)
			assertNotContinued(t, r, replies)
		})
	}
	t.Run("comments only", func(t *testing.T) {
		r, replies := newClosingUpstream(t, head+"Content-Length: 3\r\n\r\n:\n\n").call(t, resume)
		is := is.New(t)
		is.Equal(r.Outcome, OutcomeFailed)
		is.Equal(replies[len(replies)-1].Kind, relayer.KindBody)
	})
}

// Two upstreams that have no event after the last one of a stream agree that it was whole.
// Their answers must be streams, and whole themselves.
func TestSecondEmptyContinuationEndsStream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for _, c := range []struct {
		name, response string
		empty, ends    bool
	}{
		{"empty body", head + "Content-Length: 0\r\n\r\n", true, true},
		{"no chunk", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true, true},
		{"closed connection", head + "\r\n", true, true},
		{"events that the caller has", head + "Content-Length: 26\r\n\r\nid: 1\ndata:\n\nid: 2\ndata:\n\n", true, true},
		{"cut within a chunk", head + "Transfer-Encoding: chunked\r\n\r\n", false, false},
		{"text", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n", false, false},
		{"failure", "HTTP/1.1 500 Failed\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, _ := newClosingUpstream(t, c.response).call(t, resume)
			is.Equal(r.Empty, c.empty)
			r, replies := newClosingUpstream(t, c.response).call(t, func(call *Call) {
				resume(call)
				call.EndIfEmpty = true
			})
			is.Equal(r.Outcome == OutcomeAnswered, c.ends)
			is.Equal(len(replies) == 1 && replies[0].Kind == relayer.KindEnd, c.ends)
		})
	}
}

// A stream in chunks whose rest came whole, in an answer that ended with its connection, was
// cut at once: its end was not known, and no other upstream was asked for it.
func TestUnframedEndOfFramedStreamIsLeftToAnotherUpstream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + streamHead
	chunks := head + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, response     string
		framed, endIfEmpty bool
		want               Outcome
		empty              bool
		events             int
	}{
		{"unframed rest of a framed stream", head + "\r\n" + streamText, true, false, OutcomeFailed, true, 2},
		{"unframed rest, and another had none", head + "\r\n" + streamText, true, true, OutcomeFailed, true, 2},
		{"no unframed rest, and another had none", head + "\r\n", true, true, OutcomeFailed, true, 0},
		{"no framed rest, and another had none", chunks + "0\r\n\r\n", true, true, OutcomeAnswered, false, 0},
		{"framed rest of a framed stream", chunks + chunked(streamText), true, false, OutcomeAnswered, false, 2},
		{"unframed rest of an unframed stream", head + "\r\n" + streamText, false, false, OutcomeAnswered, false, 2},
		{"unframed rest that ends within an event", head + "\r\n" + streamText + "id: 5", true, false, OutcomeLost, false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, replies := newClosingUpstream(t, c.response).call(t, func(call *Call) {
				resume(call)
				call.Framed, call.EndIfEmpty = c.framed, c.endIfEmpty
			})
			is := is.New(t)
			is.Equal(r.Outcome, c.want)
			is.Equal(r.Empty, c.empty)
			is.Equal(r.RelayedEvents, c.events)
			is.True(!r.Unresumable)
			ended := len(replies) > 0 && replies[len(replies)-1].Kind == relayer.KindEnd
			is.Equal(ended, c.want == OutcomeAnswered)
		})
	}
}

// A read that brought whole events and then ended the attempt was not relayed. Its events
// counted as relayed, so that the next attempt went on behind them and the caller missed
// them.
func TestOnlyRelayedEventsCountForNextAttempt(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	t.Run("an event without an ID follows", func(t *testing.T) {
		u := newClosingUpstream(t, head+"Content-Length: 27\r\n\r\nid: 3\ndata:\n\ndata: failed\n\n")
		r, replies := u.call(t, resume)
		assertLastEventIsRelayed(t, r, replies, "2")
	})
	t.Run("the budget is used up", func(t *testing.T) {
		small, large := "id: 3\ndata:\n\n", "id: 4\ndata: "+strings.Repeat("x", bodyReadBytes-30)+"\n\nid: 5\ndata: "+strings.Repeat("x", bodyReadBytes)
		account := reserver.NewBudget(0).Open()
		defer account.Close()
		u := newClosingUpstream(t, head+"Content-Length: 99999\r\n\r\n"+small+large)
		r, replies := u.call(t, func(c *Call) {
			resume(c)
			c.Replies = relayer.NewLimitedRing(account)
		})
		assertLastEventIsRelayed(t, r, replies, "")
	})
}

// assertLastEventIsRelayed checks that the last event of a lost attempt is the last one in
// its replies, and want unless that is empty.
func assertLastEventIsRelayed(t *testing.T, r Report, replies []relayer.Reply, want string) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.Outcome, OutcomeLost)
	s := splitter{lastID: "2"}
	for _, reply := range replies {
		_, _, _ = s.split(reply.Bytes)
	}
	is.Equal(r.LastEvent, s.lastID)
	is.True(want == "" || r.LastEvent == want)
}

// A part of an answer that no upstream can go on with was followed by the events of
// another answer. The report must say so, and only then.
func TestReportSaysWhetherAnswerCanBeResumed(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 999999\r\n\r\n"
	const text = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 999999\r\n\r\n"
	started := func(c *Call) { c.Stream = true }
	for _, c := range []struct {
		name, response string
		change         func(*Call)
		begun, want    bool
	}{
		{"event with an ID", stream + "id: 1\ndata:\n\n", started, true, false},
		{"comment", stream + ":\n\nid: 1\ndata:\n\n:\n\n", started, true, false},
		{"nothing", stream, started, false, false},
		{"part of an event without an ID", stream + "data: x", started, false, false},
		{"event without an ID", stream + "data: failed\n\n", started, true, true},
		{"event without an ID before others", stream + "data:\n\nid: 1\ndata:\n\n", started, true, true},
		{"event without an ID in a resumed stream", stream + "id: 3\ndata:\n\ndata:\n\n", resume, true, true},
		{"paragraphs of a text", text + "failed\n\n", started, true, true},
		{"large answer that is no stream", text + strings.Repeat("x", maxBufferedBytes+1), nil, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, _ := newClosingUpstream(t, c.response).call(t, c.change)
			is := is.New(t)
			is.Equal(r.Outcome, OutcomeLost)
			is.Equal(r.Begun, c.begun)
			is.Equal(r.Unresumable, c.want)
		})
	}
}

// An upstream that should go on with a stream sent the text of an error as an event, and
// the caller got it as a part of the stream.
func TestEventWithoutIDDoesNotContinueStream(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 27\r\n\r\nid: 3\ndata:\n\ndata: failed\n\n"
	r, replies := newClosingUpstream(t, response).call(t, resume)
	is := is.New(t)
	is.Equal(r.Outcome, OutcomeLost)
	for _, reply := range replies {
		is.True(!strings.Contains(string(reply.Bytes), "failed"))
		is.True(reply.Kind != relayer.KindEnd)
	}
}

// A stream that ended inside an event was relayed as complete if its length or its last
// chunk was right.
func TestStreamThatEndsInsideEventIsLost(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	const event = "id: 1\ndata:\n\n"
	for _, c := range []struct {
		name, rest string
		want       Outcome
	}{
		{"between events", "", OutcomeAnswered},
		{"after an empty line more", "\n", OutcomeAnswered},
		{"inside a comment", ": idl", OutcomeAnswered},
		{"inside the name of a field", "i", OutcomeLost},
		{"inside a value", "id: 2\ndata: x", OutcomeLost},
		{"before the blank line", "id: 2\ndata: x\n", OutcomeLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := event + c.rest
			for _, response := range []string{
				fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text),
				fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(text), text),
				head + "\r\n" + text,
			} {
				r, replies := newClosingUpstream(t, response).call(t, func(c *Call) { c.Stream = true })
				is := is.New(t)
				is.Equal(r.Outcome, c.want)
				is.Equal(r.LastEvent, "1")
				is.Equal(replies[len(replies)-1].Kind == relayer.KindEnd, c.want == OutcomeAnswered)
			}
		})
	}
}

// An upstream that crashed while it wrote an unframed stream was not counted as crashed,
// so that content which crashes upstreams went on to others. One that ends a framed answer
// in good order is alive.
func TestUnframedStreamThatEndsInsideEventWasClosedByPeer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for _, c := range []struct {
		name, response string
		want           bool
	}{
		{"without framing", head + "\r\nid: 1", true},
		{"with a length", head + "Content-Length: 5\r\n\r\nid: 1", false},
		{"with the last chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n0\r\n\r\n", false},
		{"without the last chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, _ := newClosingUpstream(t, c.response).call(t, func(c *Call) { c.Stream = true })
			is := is.New(t)
			is.Equal(r.Outcome, OutcomeLost)
			is.Equal(r.ClosedByPeer, c.want)
		})
	}
}
