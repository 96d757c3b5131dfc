package dispatcher

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// DeadlineGrace is the time after the deadline of an attempt within which the
// upstream may still answer that the deadline has passed.
const DeadlineGrace = 100 * time.Millisecond

const (
	// finalAnswerMargin is how long before the exit deadline the requests without an
	// answer get a final one. Requests whose deadline passes just before still get the
	// answer of their upstream, and as much time again remains to write the answers.
	finalAnswerMargin = 2 * DeadlineGrace
	// stoppingRetryAfter is the Retry-After time while the entry stops. It is short
	// since another entry serves the retry.
	stoppingRetryAfter = 50 * time.Millisecond
)

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
	if d.stop.ExitDeadline.IsZero() || len(d.inFlight)+len(d.takeUps.waiting) == 0 || d.finalAnswersGiven {
		return time.Time{}
	}
	return d.stop.finalAnswersAt()
}

// refuseWhileStopping returns the failure of a new request that must not be taken since
// the entry stops, or nil. After the notice period only requests are taken that
// certainly end before the exit: all others should have gone to other entries.
func (d *Dispatcher) refuseWhileStopping(now time.Time, f *inFlightRequest) *admitter.Failure {
	if d.stop.ExitDeadline.IsZero() || d.certainlyEnds(f) || now.Before(d.stop.NoticeEnd) && d.expectedToEnd(now, f) {
		return nil
	}
	return unavailable(retrier.CodeStopping, "this entry is stopping; another one will serve the request")
}

// mayContinue reports whether another attempt of f may start: it must be expected to end
// before the exit if the entry stops.
func (d *Dispatcher) mayContinue(now time.Time, f *inFlightRequest) bool {
	return d.stop.ExitDeadline.IsZero() || d.certainlyEnds(f) || d.expectedToEnd(now, f)
}

// certainlyEnds reports whether the deadline of f passes before the final answers.
func (d *Dispatcher) certainlyEnds(f *inFlightRequest) bool {
	return !f.deadline.IsZero() && !f.deadline.After(d.stop.finalAnswersAt())
}

// expectedToEnd reports whether an attempt of f that starts now is expected to end before
// the final answers.
func (d *Dispatcher) expectedToEnd(now time.Time, f *inFlightRequest) bool {
	run := d.expectedRun(f)
	return run > 0 && !now.Add(run).After(d.stop.finalAnswersAt())
}

// expectedRun returns the mean time of the answers of the route of f, or zero if it is
// not known. Until the first answer, a call is expected to meet its target.
func (d *Dispatcher) expectedRun(f *inFlightRequest) time.Duration {
	if s := d.services[f.admission.Service.Name]; s != nil {
		if run := s.separator.MeanRun(f.admission.Route.Name); run > 0 {
			return run
		}
	}
	if f.admission.Route.Kind == matcher.Streaming {
		return 0
	}
	return f.admission.Route.LatencyTarget
}

// giveFinalAnswers ends all requests whose answer has not begun. Streams go on until the
// exit. The answer of a permitted attempt begins before its report arrives.
func (d *Dispatcher) giveFinalAnswers(now time.Time) []Action {
	if d.stop.ExitDeadline.IsZero() || now.Before(d.stop.finalAnswersAt()) {
		return nil
	}
	d.finalAnswersGiven = true
	out := d.refuseTakeUps(now)
	for _, f := range d.inFlight {
		if f.begun || f.permitted {
			continue
		}
		out = append(out, d.recordOutcome(now, f, Event{Outcome: OutcomeCancelled})...)
		d.endSuspended(now, f)
		d.remove(f)
		// The current attempt may have been run.
		f.state.Lost++
		out = append(out, d.failAction(now, f, retrier.Decide(f.state, retrier.CauseStopping).Failure))
	}
	return out
}
