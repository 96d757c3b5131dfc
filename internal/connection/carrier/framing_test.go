package carrier

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// assertReported checks what a report says of the answer of its call.
func assertReported(t *testing.T, r Report, outcome Outcome, framing Framing, events int) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.Outcome, outcome)
	is.Equal(r.Framing, framing)
	is.Equal(r.RelayedEvents, events)
}

// The log could not tell an answer that ended with its connection from one that was known
// to be whole, nor how many events of a stream its caller had got.
func TestReportHasFramingAndRelayedEvents(t *testing.T) {
	stream := func(c *Call) { c.Stream = true }
	for _, a := range framedAnswers(streamHead, streamText) {
		framing, cut := FramingLength, OutcomeLost
		switch {
		case a.closeDelimited:
			framing, cut = FramingClose, OutcomeAnswered
		case strings.Contains(a.head, "chunked"):
			framing = FramingChunks
		}
		t.Run(a.name+", whole", func(t *testing.T) {
			r, _ := readAnswer(t, []byte(a.head+a.framedBody), stream)
			assertReported(t, r, OutcomeAnswered, framing, 2)
		})
		t.Run(a.name+", ends after the first event", func(t *testing.T) {
			i := strings.Index(a.framedBody, "id: 4")
			r, _ := readAnswer(t, []byte(a.head+a.framedBody[:i]), stream)
			assertReported(t, r, cut, framing, 1)
		})
		t.Run(a.name+", no stream", func(t *testing.T) {
			r, _ := readAnswer(t, []byte(a.head+a.framedBody), func(*Call) {})
			assertReported(t, r, OutcomeAnswered, framing, 0)
		})
		t.Run(a.name+", resumed after the first event", func(t *testing.T) {
			r, _ := readAnswer(t, []byte(a.head+a.framedBody), func(c *Call) { c.Stream, c.Begun, c.LastEvent = true, true, "3" })
			assertReported(t, r, OutcomeAnswered, framing, 1)
		})
	}
	t.Run("no answer", func(t *testing.T) {
		r, _ := readAnswer(t, nil, stream)
		assertReported(t, r, OutcomeLost, FramingNone, 0)
	})
	for _, a := range bodilessAnswers() {
		t.Run(a.name, func(t *testing.T) {
			r, _ := readAnswer(t, []byte(a.head), func(c *Call) { c.Head.Method = a.requestMethod() })
			is := is.New(t)
			is.Equal(r.Outcome, OutcomeAnswered)
			is.True(r.Framing != FramingNone && r.Framing != FramingClose)
		})
	}
}

// Each framing has a name, since the names are labels of a metric.
func TestFramingsHaveNames(t *testing.T) {
	for f := range framingCount {
		is.New(t).True(f.String() != "")
	}
}

// A mismatched response belongs to another request, and its framing must not be reported.
func TestFramingIsNotThatOfMismatchedResponse(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\r\nForeign: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	r, _ := readAnswer(t, []byte(foreign), func(c *Call) {
		c.Classify = func(resp *http.Response) Verdict {
			if resp.Header.Get("Foreign") != "" {
				return VerdictMismatched
			}
			return VerdictAccepted
		}
	})
	assertReported(t, r, OutcomeLost, FramingNone, 0)
}
