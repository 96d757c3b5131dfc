package dispatcher

import (
	"testing"

	"github.com/matryer/is"
)

// countUsage returns the number of requests that actions count, all of one organisation.
func countUsage(t *testing.T, actions ...[]Action) (n int) {
	t.Helper()
	for _, all := range actions {
		for _, a := range all {
			if a.Kind == ActionCountUsage {
				is.New(t).Equal(a.Organisation, "guides")
				n++
			}
		}
	}
	return n
}

// newCountingDispatcher returns a dispatcher that counts usage and has request r1.
func newCountingDispatcher(path string) *Dispatcher {
	d := newDispatcher()
	d.settings.CountUsage = true
	d.Step(testTime(), Event{Kind: EventArrived, Request: request(path)})
	return d
}

func firstEvent(d *Dispatcher, attempt int) []Action {
	return d.Step(testTime(), Event{Kind: EventProgress, ID: "r1", Attempt: attempt, First: true, Events: 1, Begun: true, LastEvent: "7"})
}

// An organisation pays for each request that an upstream has begun, and pays once: a
// request that is resumed or sent again must not be counted twice, one that no upstream
// began must not be counted.
func TestRequestIsCountedOnceWhenUpstreamBegins(t *testing.T) {
	for _, c := range []struct {
		name string
		path string
		play func(d *Dispatcher) int
		want int
	}{
		{"stream counts at its first event", "/chat/1", func(d *Dispatcher) int { return countUsage(t, firstEvent(d, 1)) }, 1},
		{"stream does not count again at its end", "/chat/1", func(d *Dispatcher) int {
			firstEvent(d, 1)
			return countUsage(t, endAttempt(d, 1, Event{Outcome: OutcomeAnswered, Begun: true, LastEvent: "7"}))
		}, 0},
		{"resumed stream counts once", "/chat/1", func(d *Dispatcher) int {
			return countUsage(t, firstEvent(d, 1), endAttempt(d, 1, Event{Outcome: OutcomeLost, Begun: true, LastEvent: "7"}), firstEvent(d, 2))
		}, 1},
		{"stream that is lost before its first event does not count", "/chat/1", func(d *Dispatcher) int {
			return countUsage(t, endAttempt(d, 1, Event{Outcome: OutcomeCrashed}))
		}, 0},
		{"response counts", "/hold/1", func(d *Dispatcher) int { return countUsage(t, endAttempt(d, 1, Event{Outcome: OutcomeAnswered})) }, 1},
		{"error of the upstream and the retry count once", "/check/1", func(d *Dispatcher) int {
			return countUsage(t, endAttempt(d, 1, Event{Outcome: OutcomeFailed}), endAttempt(d, 2, Event{Outcome: OutcomeAnswered}))
		}, 1},
		{"response that breaks off counts", "/hold/1", func(d *Dispatcher) int {
			return countUsage(t, endAttempt(d, 1, Event{Outcome: OutcomeLost, Begun: true}))
		}, 1},
		{"refusal does not count", "/hold/1", func(d *Dispatcher) int {
			return countUsage(t, endAttempt(d, 1, Event{Outcome: OutcomeRefused}))
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(c.play(newCountingDispatcher(c.path)), c.want) })
	}
	t.Run("without the duty nothing is counted", func(t *testing.T) {
		d := newCountingDispatcher("/hold/1")
		d.settings.CountUsage = false
		is.New(t).Equal(countUsage(t, endAttempt(d, 1, Event{Outcome: OutcomeAnswered})), 0)
	})
}
