package dispatcher

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
)

// A sound upstream may be silent for a while. An attempt that makes no progress is
// therefore suspended rather than ended while another upstream is tried, and goes on
// if that one does not take the request.

// maxOverlap is the time after the current attempt was sent at which a suspended one is
// abandoned, at the next EventTick. An upstream refuses a request within a few round
// trips. Afterwards, two upstreams would work on the same request for longer than users
// accept (0.4 s).
const maxOverlap = 100 * time.Millisecond

// handleSilence tries another upstream for a request whose attempt is suspended. If
// none can get the request, the attempt goes on.
func (d *Dispatcher) handleSilence(now time.Time, e Event) []Action {
	f := d.inFlight[e.ID]
	if f == nil || f.attempt != e.Attempt {
		return nil
	}
	f.begun, f.lastEvent = e.Begun, e.LastEvent
	f.state.Repeatable = f.state.Repeatable && !e.Unresumable
	// At most two upstreams work on a request, and one silent attempt can go on.
	out := d.abandonSuspended(now, f, reasonSilent)
	s := d.service(f.admission.Service.Name)
	silent := f.run
	f.suspended, d.suspended[f.request.ID] = &silent, f
	// The suspended attempt may have been run.
	f.state.Lost++
	if _, ok := s.picker.Pick(now, d.query(now, s, f)); !ok {
		return append(out, d.resume(now, f, "no_upstream"))
	}
	return d.retryOrFail(now, f, retrier.CauseLost, out)
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

// The reasons why a suspended attempt is abandoned, as they appear in log lines.
const (
	// reasonProgress means that the other attempt has made progress, and reasonPart that
	// it has ended after a part of its answer.
	reasonProgress = "other_progressed"
	reasonPart     = "other_broke_off"
	// reasonSilent means that the other attempt has fallen silent as well.
	reasonSilent = "other_silent"
	// reasonOverlap means that both have worked on the request for the longest time.
	reasonOverlap = "overlap_ended"
	// reasonEnded means that the suspended attempt has ended by itself.
	reasonEnded = "ended"
)

// abandonSuspended ends the suspended attempt of f, if there is one.
func (d *Dispatcher) abandonSuspended(now time.Time, f *inFlightRequest, reason string) []Action {
	if f.suspended == nil {
		return nil
	}
	attempt := f.suspended.attempt
	d.endSuspended(now, f)
	return []Action{{Kind: ActionAbandon, ID: f.request.ID, Attempt: attempt, Summary: f.finalSummary(now, reason)}}
}

// beginOverlap records that the current attempt was sent while another is suspended.
func (d *Dispatcher) beginOverlap(now time.Time, e Event) {
	if f := d.inFlight[e.ID]; f != nil && f.attempt == e.Attempt && f.suspended != nil {
		f.overlapSince = now
	}
}

// abandonOverdue abandons the suspended attempts of requests whose current attempt was
// sent maxOverlap ago.
func (d *Dispatcher) abandonOverdue(now time.Time) []Action {
	var out []Action
	for _, f := range d.suspended {
		if !f.overlapSince.IsZero() && now.Sub(f.overlapSince) >= maxOverlap {
			out = append(out, d.abandonSuspended(now, f, reasonOverlap)...)
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
	d.service(f.admission.Service.Name).recordEnd(now, picker.Event{
		Kind: picker.EventLost, Upstream: f.suspended.upstream, Suspect: f.suspended.suspect, PromptTokens: f.suspended.pendingTokens,
	})
	d.forgetSuspended(f)
}

func (d *Dispatcher) forgetSuspended(f *inFlightRequest) {
	f.suspended = nil
	delete(d.suspended, f.request.ID)
}
