package dispatcher

import (
	"testing"

	"github.com/matryer/is"
)

// brokenChat returns a dispatcher whose stream broke off after event 7, and whose second
// attempt was sent.
func brokenChat(t *testing.T) *Dispatcher {
	t.Helper()
	d := newThreeAttemptDispatcher()
	d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")})
	second := assertSent(t, endAttempt(d, 1, Event{Outcome: OutcomeLost, Begun: true, LastEvent: "7"}), 2)
	is.New(t).True(!second.EndIfEmpty)
	return d
}

// The upstream of a stream ended after its last event. Two others said that nothing was
// left, and the caller, who had the whole stream, was told that it had failed.
func TestSecondEmptyContinuationMayEndStream(t *testing.T) {
	for _, c := range []struct {
		name   string
		second Event
		want   bool
	}{
		{"nothing is left", Event{Outcome: OutcomeFailed, Begun: true, LastEvent: "7", Empty: true}, true},
		{"the upstream failed", Event{Outcome: OutcomeFailed, Begun: true, LastEvent: "7"}, false},
		{"the upstream was lost", Event{Outcome: OutcomeLost, Begun: true, LastEvent: "7"}, false},
		{"further events", Event{Outcome: OutcomeLost, Begun: true, LastEvent: "8"}, false},
		{"further events and nothing after them", Event{Outcome: OutcomeFailed, Begun: true, LastEvent: "9", Empty: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			third := assertSent(t, endAttempt(brokenChat(t), 2, c.second), 3)
			is.New(t).Equal(third.EndIfEmpty, c.want)
		})
	}
	t.Run("further events after an empty continuation", func(t *testing.T) {
		d := brokenChat(t)
		f := d.inFlight["r1"]
		assertSent(t, endAttempt(d, 2, Event{Outcome: OutcomeFailed, Begun: true, LastEvent: "7", Empty: true}), 3)
		endAttempt(d, 3, Event{Outcome: OutcomeLost, Begun: true, LastEvent: "8"})
		is.New(t).True(!f.foundEmpty)
	})
	t.Run("further events that were reported before the end", func(t *testing.T) {
		d := brokenChat(t)
		f := d.inFlight["r1"]
		assertSent(t, endAttempt(d, 2, Event{Outcome: OutcomeFailed, Begun: true, LastEvent: "7", Empty: true}), 3)
		d.Step(testTime(), Event{Kind: EventProgress, ID: "r1", Attempt: 3, First: true, Events: 1, Begun: true, LastEvent: "8"})
		is.New(t).True(!f.foundEmpty)
		endAttempt(d, 3, Event{Outcome: OutcomeLost, Begun: true, LastEvent: "8"})
		is.New(t).True(!f.foundEmpty)
	})
}

// An upstream whose answer has nothing after the last event of a stream has not failed, and
// must not be avoided for it.
func TestEmptyContinuationIsNoFailureOfUpstream(t *testing.T) {
	for _, c := range []struct {
		name  string
		empty bool
	}{{"nothing is left", true}, {"the upstream failed", false}} {
		t.Run(c.name, func(t *testing.T) {
			d := brokenChat(t)
			upstream := d.inFlight["r1"].upstream
			endAttempt(d, 2, Event{Outcome: OutcomeFailed, Begun: true, LastEvent: "7", Empty: c.empty})
			is.New(t).Equal(d.service("desk").picker.Upstream(upstream).FailureRate == 0, c.empty)
		})
	}
}
