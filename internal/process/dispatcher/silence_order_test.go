package dispatcher

import (
	"testing"

	"github.com/matryer/is"
)

// A suspended attempt that had ended by itself, at the deadline for example, was resumed
// after the other one had failed. Nothing followed, so that the caller got neither an
// answer nor a refusal.
func TestEndedSuspendedAttemptIsNotResumed(t *testing.T) {
	for _, c := range []struct {
		name  string
		other AttemptOutcome
	}{
		{"the other attempt expires as well", OutcomeExpired},
		{"the other attempt is lost", OutcomeLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, next := silentChat("/chat/1", "7")
			assertSent(t, next, 2)
			ended := endAttempt(d, 1, Event{Outcome: OutcomeExpired, Begun: true, LastEvent: "7"})
			is.New(t).Equal(assertKind(t, ended, ActionAbandon).Attempt, 1)
			assertKind(t, endAttempt(d, 2, Event{Outcome: c.other, Begun: true, LastEvent: "7"}), ActionFail)
			assertIdle(t, d)
		})
	}
}
