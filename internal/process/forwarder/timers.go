package forwarder

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
)

// nextTimer returns a channel that receives at the next expiry, load report, end of an
// overlap or final answers, and a function that releases the timer.
func (f *Forwarder) nextTimer() (<-chan time.Time, func()) {
	next := f.nextLoadReport
	if at := f.registrar.NextChange(); !at.IsZero() && at.Before(next) {
		next = at
	}
	for _, at := range [...]time.Time{f.dispatcher.FinalAnswersAt(), f.dispatcher.OverlapEndsAt(), f.dispatcher.TakeUpDueAt()} {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	for _, p := range f.pools {
		if at := p.nextExpiry(); !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return f.options.Clock.After(max(0, next.Sub(f.options.Clock.Now())))
}

// handleTimer sends a due load report, closes expired connections, updates the
// upstreams if registrations have expired, ends due overlaps, decides on due streams that were
// taken up and gives due final answers.
func (f *Forwarder) handleTimer() {
	now := f.options.Clock.Now()
	if !now.Before(f.nextLoadReport) {
		f.nextLoadReport = now.Add(dispatcher.LoadReportInterval)
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventTick})
		f.publishSharedRuns()
		f.publishStrikesLearned()
		f.publishDemand(now)
	}
	for _, p := range f.pools {
		p.expire(now)
	}
	if next := f.registrar.NextChange(); !next.IsZero() && !now.Before(next) {
		f.updateUpstreams(now)
	}
	if at := f.dispatcher.OverlapEndsAt(); !at.IsZero() && !now.Before(at) {
		// Reports that wait may say that an attempt has a part of its answer.
		f.handleWaitingEvents()
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventOverlapEnded})
	}
	f.handleTakeUps(now)
	if at := f.dispatcher.FinalAnswersAt(); !at.IsZero() && !now.Before(at) {
		// Reports that wait may say that an answer has begun.
		f.handleWaitingEvents()
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventFinalAnswers})
	}
}

// handleTakeUps decides on the streams whose callers must not wait any longer.
func (f *Forwarder) handleTakeUps(now time.Time) {
	if at := f.dispatcher.TakeUpDueAt(); !at.IsZero() && !now.Before(at) {
		// Replies that wait may tell the versions.
		f.handleWaitingEvents()
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventTakeUpDue})
	}
}

// handleWaitingEvents handles the events that wait in the ring. A decision at the end of a
// period must not precede what arrived within it.
func (f *Forwarder) handleWaitingEvents() {
	for range f.events.Stats().Depth {
		if e, ok := f.events.TryTake(); ok {
			f.runEvent(e)
		}
	}
}
