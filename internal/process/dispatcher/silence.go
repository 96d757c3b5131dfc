package dispatcher

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
)

// A sound upstream may be silent for a while. An attempt that makes no progress is
// therefore suspended rather than ended while another upstream is tried: it goes on
// beside the other one, and both are contested. The first of them that has a part of
// its answer for the caller relays it, and the other ends. If neither has within
// maxOverlap, the other one ends, since nothing shows that it would do better.

// maxOverlap is the time from the sending of the current attempt for which a suspended
// one goes on beside it. Users accept 0.4 s of work at two upstreams, and the end of an
// attempt takes up to 0.1 s to reach a busy upstream.
const maxOverlap = 300 * time.Millisecond

// The reasons why one of two attempts ends, as they appear in log lines.
const (
	// reasonReady means that the other attempt has a part of its answer.
	reasonReady = "other_ready"
	// reasonPart means that the other attempt has ended after a part of its answer.
	reasonPart = "other_broke_off"
	// reasonSilent means that the current attempt has fallen silent as well.
	reasonSilent = "other_silent"
	// reasonOverlap means that neither has a part of its answer after maxOverlap.
	reasonOverlap = "overlap_ended"
	// reasonEnded means that the suspended attempt has ended by itself.
	reasonEnded = "ended"
)

// handleOverlap handles the events of requests that are, or may be, at two upstreams.
func (d *Dispatcher) handleOverlap(now time.Time, e Event) []Action {
	switch e.Kind {
	case EventSent:
		d.beginOverlap(now, e)
	case EventSilent:
		return d.handleSilence(now, e)
	case EventReady:
		return d.handleReady(now, e)
	case EventOverlapEnded:
		return d.endOverlaps(now)
	}
	return nil
}

// handleSilence tries another upstream for a request whose attempt is suspended. If
// none can get the request, the attempt goes on alone.
func (d *Dispatcher) handleSilence(now time.Time, e Event) []Action {
	f := d.inFlight[e.ID]
	if f == nil || f.attempt != e.Attempt {
		return nil
	}
	if f.suspended != nil {
		return []Action{d.withdrawSilent(now, f, reasonSilent)}
	}
	f.begun, f.lastEvent = e.Begun, e.LastEvent
	d.bindVersion(now, f)
	f.state.Repeatable = f.state.Repeatable && !e.Unresumable
	s := d.service(f.admission.Service.Name)
	silent := f.run
	f.suspended, d.suspended[f.request.ID] = &silent, f
	f.overlapSince = time.Time{}
	// The suspended attempt may have been run.
	f.state.Lost++
	if _, ok := s.picker.Pick(now, d.query(now, s, f)); !ok {
		return []Action{d.resume(now, f, "no_upstream")}
	}
	return d.retryOrFail(now, f, retrier.CauseLost, nil)
}

// handleReady lets the first of two attempts that has a part of its answer relay it, and
// ends the other.
func (d *Dispatcher) handleReady(now time.Time, e Event) []Action {
	f := d.inFlight[e.ID]
	if f == nil {
		return nil
	}
	var out []Action
	switch {
	case f.attempt == e.Attempt:
		out = d.abandonSuspended(now, f, reasonReady)
	case f.suspended != nil && f.suspended.attempt == e.Attempt:
		out = []Action{d.withdraw(now, f, reasonReady)}
	default:
		return nil
	}
	f.permitted = true
	return append(out, Action{Kind: ActionRelay, ID: e.ID, Attempt: e.Attempt})
}

// withdraw ends the current attempt of f, and the suspended one goes on.
func (d *Dispatcher) withdraw(now time.Time, f *inFlightRequest, reason string) Action {
	s := d.service(f.admission.Service.Name)
	s.recordEnd(now, picker.Event{
		Kind: picker.EventWithdrawn, Upstream: f.upstream, Suspect: f.suspect, Deferred: f.deferred, PromptTokens: f.pendingTokens,
	})
	s.endDeferral(&f.run)
	if f.sent {
		// The current attempt may have been run.
		f.state.Lost++
	}
	return d.resume(now, f, reason)
}

// withdrawSilent is withdraw for a suspended attempt that is still silent. Its upstream
// gets no new requests for a while.
func (d *Dispatcher) withdrawSilent(now time.Time, f *inFlightRequest, reason string) Action {
	d.service(f.admission.Service.Name).picker.Step(now, picker.Event{Kind: picker.EventSilent, Upstream: f.suspended.upstream})
	return d.withdraw(now, f, reason)
}

// resume makes the suspended attempt of f the current one again. The reason is that
// for which there is no other attempt.
func (d *Dispatcher) resume(now time.Time, f *inFlightRequest, reason string) Action {
	f.run = *f.suspended
	f.state.Lost--
	d.forgetSuspended(f)
	f.summary.Upstream = f.upstream
	return Action{Kind: ActionResume, ID: f.request.ID, Attempt: f.attempt, Summary: f.finalSummary(now, reason)}
}

// abandonSuspended ends the suspended attempt of f, if there is one.
func (d *Dispatcher) abandonSuspended(now time.Time, f *inFlightRequest, reason string) []Action {
	if f.suspended == nil {
		return nil
	}
	attempt := f.suspended.attempt
	d.endSuspended(now, f)
	return []Action{{Kind: ActionAbandon, ID: f.request.ID, Attempt: attempt, Summary: f.finalSummary(now, reason)}}
}

// beginOverlap records that the current attempt was sent while another is suspended. The
// time runs from the first attempt that was sent since then and not refused.
func (d *Dispatcher) beginOverlap(now time.Time, e Event) {
	f := d.inFlight[e.ID]
	if f == nil || f.attempt != e.Attempt {
		return
	}
	f.sent = true
	if f.suspended != nil && f.overlapSince.IsZero() {
		f.overlapSince = now
	}
}

// OverlapEndsAt returns the time at which EventOverlapEnded is due, or the zero time if
// no request is at two upstreams.
func (d *Dispatcher) OverlapEndsAt() time.Time {
	var first time.Time
	for _, f := range d.suspended {
		if end := f.overlapSince.Add(maxOverlap); !f.overlapSince.IsZero() && (first.IsZero() || end.Before(first)) {
			first = end
		}
	}
	return first
}

// endOverlaps withdraws the current attempts of requests that have been at two upstreams
// for maxOverlap.
func (d *Dispatcher) endOverlaps(now time.Time) []Action {
	var out []Action
	for _, f := range d.suspended {
		if !f.overlapSince.IsZero() && now.Sub(f.overlapSince) >= maxOverlap {
			out = append(out, d.withdrawSilent(now, f, reasonOverlap))
		}
	}
	return out
}

// endSuspended reports the suspended attempt of f, if there is one, as lost to the
// picker.
func (d *Dispatcher) endSuspended(now time.Time, f *inFlightRequest) {
	if f.suspended == nil {
		return
	}
	s := d.service(f.admission.Service.Name)
	s.recordEnd(now, picker.Event{
		Kind: picker.EventLost, Upstream: f.suspended.upstream, Suspect: f.suspended.suspect, Deferred: f.suspended.deferred, PromptTokens: f.suspended.pendingTokens,
	})
	s.endDeferral(f.suspended)
	d.forgetSuspended(f)
}

func (d *Dispatcher) forgetSuspended(f *inFlightRequest) {
	f.suspended = nil
	delete(d.suspended, f.request.ID)
}
