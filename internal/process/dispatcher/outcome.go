package dispatcher

import (
	"net/http"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/separator"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// endAttempt handles the end of an attempt: it ends the request or starts the next
// attempt.
func (d *Dispatcher) endAttempt(now time.Time, e Event) []Action {
	f := d.inFlight[e.ID]
	if f != nil && f.suspended != nil && f.suspended.attempt == e.Attempt {
		// A call also ends while it is suspended, at its deadline for example.
		ended := *f.suspended
		out := append(d.abandonSuspended(now, f, reasonEnded), d.countEnd(f, e)...)
		return append(out, d.detectEnd(now, f, ended, e.Outcome)...)
	}
	if f == nil || f.attempt != e.Attempt {
		return nil
	}
	var out []Action
	if e.Begun != f.begun || e.LastEvent != f.lastEvent {
		// The caller has a part of this answer, which another one must not follow.
		out = d.abandonSuspended(now, f, reasonPart)
	}
	d.recordPart(now, f, e)
	f.foundEmpty = f.foundEmpty || e.Empty
	f.state.Repeatable = f.state.Repeatable && !e.Unresumable
	out = append(out, d.countEnd(f, e)...)
	out = append(out, d.recordOutcome(now, f, e)...)
	switch e.Outcome {
	case OutcomeAnswered:
		d.endStream(now, f)
		return append(out, d.finish(now, f, "answered"))
	case OutcomeCancelled:
		return append(out, d.finish(now, f, "cancelled"))
	case OutcomeFailed:
		f.state.Failed++
		return d.retryOrFail(now, f, retrier.CauseFailed, out)
	case OutcomeRefused:
		f.state.Refused++
		// Only the suspended attempt has worked on the request.
		f.overlapSince = time.Time{}
		return d.retryOrFail(now, f, retrier.CauseRefused, out)
	case OutcomeNotSent:
		f.notSent++
		if f.notSent >= maxNotSent {
			return d.retryOrFail(now, f, retrier.CauseNoUpstream, out)
		}
		if !d.mayContinue(now, f) {
			return d.retryOrFail(now, f, retrier.CauseStopping, out)
		}
		return append(out, d.send(now, f)...)
	case OutcomeExpired:
		f.state.Lost++
		return d.retryOrFail(now, f, retrier.CauseExpired, out)
	case OutcomeLost, OutcomeCrashed:
		f.state.Lost++
		return d.retryOrFail(now, f, retrier.CauseLost, out)
	}
	return out
}

// abort ends a request and its attempts.
func (d *Dispatcher) abort(now time.Time, id string) []Action {
	f := d.inFlight[id]
	if f == nil && d.abortTakeUp(id) {
		return []Action{{Kind: ActionFinish, ID: id}}
	}
	if f == nil {
		return nil
	}
	// The request is no longer in flight even if its state causes another panic.
	defer delete(d.suspended, id)
	d.remove(f)
	if f.attempts > 0 {
		d.recordOutcome(now, f, Event{Outcome: OutcomeCancelled})
	}
	return []Action{d.finish(now, f, "aborted")}
}

// recordOutcome reports the end of an attempt to the picker and to the detector. It
// returns the action that sends the resulting strikes, if there are any.
func (d *Dispatcher) recordOutcome(now time.Time, f *inFlightRequest, e Event) []Action {
	s := d.service(f.admission.Service.Name)
	p := picker.Event{Kind: picker.EventEnded, Upstream: f.upstream, Suspect: f.suspect, Deferred: f.deferred, PromptTokens: f.pendingTokens}
	f.pendingTokens = 0
	s.endDeferral(&f.run)
	switch e.Outcome {
	case OutcomeLost, OutcomeCrashed, OutcomeNotSent:
		p.Kind = picker.EventLost
		if e.Outcome != OutcomeLost {
			d.recordLost(f.upstream)
		}
	case OutcomeCancelled:
		p.Kind = picker.EventWithdrawn
	case OutcomeFailed:
		p.Failed = !e.Empty
	case OutcomeAnswered:
		p.Elapsed = now.Sub(f.sentAt)
		s.separator.Step(now, separator.Event{Kind: separator.EventEnded, Request: f.admission.Route.Name, Elapsed: p.Elapsed})
		if f.admission.Route.Kind != matcher.Streaming {
			s.picker.Step(now, picker.Event{Kind: picker.EventFirstToken, Upstream: f.upstream, Elapsed: e.Elapsed})
		}
	}
	s.recordEnd(now, p)
	return d.detectEnd(now, f, f.run, e.Outcome)
}

// recordEnd reports the end of an attempt to the picker, which forgets an upstream
// that has left once its last attempt has ended.
func (s *service) recordEnd(now time.Time, e picker.Event) {
	s.picker.Step(now, e)
	if _, ok := s.upstreams[e.Upstream]; !ok {
		s.picker.RemoveIdle(now)
	}
}

// retryOrFail starts the next attempt of a request whose attempt ended with cause
// c, or fails the request. A request with a suspended attempt does not fail: that
// attempt goes on. The actions are appended to before.
func (d *Dispatcher) retryOrFail(now time.Time, f *inFlightRequest, c retrier.Cause, before []Action) []Action {
	f.state.Quarantined = d.verdict(now, f) == detector.Quarantined
	f.state.Stopping = !d.mayContinue(now, f)
	if f.begun {
		// The number of delivered tokens is not known here. Any number above zero
		// means that the answer has begun.
		f.state.DeliveredTokens = 1
	}
	decision := d.service(f.admission.Service.Name).budget.Decide(f.state, c)
	switch {
	case decision.Failure != nil && f.suspended != nil:
		return append(before, d.resume(now, f, decision.Failure.Code))
	case decision.ForwardUpstreamError && !f.begun:
		d.remove(f)
		return append(before, Action{Kind: ActionForwardError, ID: f.request.ID, Attempt: f.attempt, Summary: f.finalSummary(now, decision.Failure.Message)})
	case decision.Failure != nil:
		d.remove(f)
		return append(before, d.failAction(now, f, decision.Failure))
	}
	return append(before, d.send(now, f)...)
}

func (d *Dispatcher) finish(now time.Time, f *inFlightRequest, reason string) Action {
	d.endSuspended(now, f)
	d.remove(f)
	return Action{Kind: ActionFinish, ID: f.request.ID, Attempt: f.attempt, Begun: f.begun, Summary: f.finalSummary(now, reason)}
}

// failAction returns the action that answers a caller with failure.
func (d *Dispatcher) failAction(now time.Time, f *inFlightRequest, failure *admitter.Failure) Action {
	answer := *failure
	if isRefusedForRoom(failure) {
		d.demand.recordOwn(now, d.settings.AvailabilityZone, Arrivals{Service: f.admission.Service.Name, Refused: 1})
	}
	if answer.Status == http.StatusUnprocessableEntity {
		// A 4xx status would mean that the request is at fault, which is not certain.
		answer.Status = http.StatusBadGateway
		if answer.Outcome == admitter.OutcomeNotRun {
			answer.Status = http.StatusServiceUnavailable
		}
	}
	if answer.Status == http.StatusServiceUnavailable {
		answer.RetryAfter = d.retryAfter(now, f)
		switch answer.Code {
		case codeQuarantined:
			answer.RetryAfter = max(answer.RetryAfter, d.quarantineLeft(now, f))
		case retrier.CodeStopping:
			answer.RetryAfter = stoppingRetryAfter
		}
	}
	return Action{
		Kind: ActionFail, ID: f.request.ID, Attempt: f.attempt, Begun: f.begun, Failure: &answer,
		Summary: f.finalSummary(now, answer.Code),
	}
}

// finalSummary returns the summary of f with the reason why it ended.
func (f *inFlightRequest) finalSummary(now time.Time, reason string) Summary {
	s := f.summary
	s.Elapsed, s.Reason = now.Sub(f.request.Received), reason
	return s
}

func unavailable(code, message string) *admitter.Failure {
	return &admitter.Failure{Status: http.StatusServiceUnavailable, Code: code, Message: message, Outcome: admitter.OutcomeNotRun}
}
