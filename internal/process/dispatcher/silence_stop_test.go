package dispatcher

import (
	"testing"

	"github.com/matryer/is"
)

// An attempt that may relay its answer has nothing reported of it until the caller has a
// part. A failure that followed at the exit of the entry cut that answer off.
func TestPermittedAnswerGetsNoFinalAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		attempt int
	}{{"of the silent attempt", 1}, {"of the other attempt", 2}} {
		t.Run(c.name, func(t *testing.T) {
			d, _ := silentChat("/chat/1", "")
			d.Step(testTime(), Event{Kind: EventStopping, Stop: testStop()})
			exit := testStop().finalAnswersAt()
			d.Step(exit, Event{Kind: EventReady, ID: "r1", Attempt: c.attempt})
			is.New(t).Equal(len(d.Step(exit, Event{Kind: EventFinalAnswers})), 0)
			assertKind(t, endAttempt(d, c.attempt, Event{Outcome: OutcomeAnswered, Begun: true, LastEvent: "9"}), ActionFinish)
			assertIdle(t, d)
		})
	}
	t.Run("unless it has ended without a part", func(t *testing.T) {
		d, _ := silentChat("/chat/1", "")
		d.Step(testTime(), Event{Kind: EventReady, ID: "r1", Attempt: 2})
		assertKind(t, endAttempt(d, 2, Event{Outcome: OutcomeCrashed}), ActionFail)
		assertIdle(t, d)
	})
}
