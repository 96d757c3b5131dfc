package dispatcher

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/request/retrier"
)

// DeadlineGrace is the time after the deadline of an attempt within which the
// upstream may still answer that the deadline has passed.
const DeadlineGrace = 100 * time.Millisecond

// finalAnswerMargin is how long before the exit deadline the requests without an
// answer get a final one. Requests whose deadline passes just before still get the
// answer of their upstream, and as much time again remains to write the answers.
const finalAnswerMargin = 2 * DeadlineGrace

// Stop says when an entry that has begun to stop ends. The zero value means that the
// entry does not stop.
type Stop struct {
	// NoticeEnd is the time at which the load balancer has noticed that the entry stops.
	NoticeEnd time.Time
	// ExitDeadline is the time at which all connections of callers are closed.
	ExitDeadline time.Time
}

// finalAnswersAt returns the time at which all requests without an answer get a final
// one.
func (s Stop) finalAnswersAt() time.Time { return s.ExitDeadline.Add(-finalAnswerMargin) }

// FinalAnswersAt returns the time at which EventFinalAnswers is due, or the zero time
// if the entry does not stop or no request is in flight.
func (d *Dispatcher) FinalAnswersAt() time.Time {
	if d.stop.ExitDeadline.IsZero() || len(d.inFlight) == 0 || d.finalAnswersGiven {
		return time.Time{}
	}
	return d.stop.finalAnswersAt()
}

// giveFinalAnswers ends all requests whose answer has not begun. Streams go on until the
// exit.
func (d *Dispatcher) giveFinalAnswers(now time.Time) []Action {
	if d.stop.ExitDeadline.IsZero() || now.Before(d.stop.finalAnswersAt()) {
		return nil
	}
	d.finalAnswersGiven = true
	var out []Action
	for id, f := range d.inFlight {
		if f.begun {
			continue
		}
		out = append(out, d.recordOutcome(now, f, Event{Outcome: OutcomeCancelled})...)
		d.endSuspended(now, f)
		delete(d.inFlight, id)
		// The current attempt may have been run.
		f.state.Lost++
		out = append(out, d.failAction(now, f, retrier.Decide(f.state, retrier.CauseStopping).Failure))
	}
	return out
}
