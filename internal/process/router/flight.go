package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/assembler"
	"magnoliafront.dev/magnoliafront/internal/request/responder"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// inFlight is the state of a request in flight.
type inFlight struct {
	job        Job
	admission  admitter.Admission
	answer     assembler.Answer
	retryState retrier.RequestState
	upstream   string
	tried      []string
	// started is true while the current attempt runs on its upstream.
	started            bool
	firstTokenReceived bool
	// countsAgainstLimits is true once the limits of the organisation have
	// admitted the request.
	countsAgainstLimits bool
	// sentAt is the time at which the current attempt was sent, and
	// attemptTokenAt the time of its last token.
	sentAt         time.Time
	attemptTokenAt time.Time
	// lastTokenAt is the time of the last token of any attempt, and maxTokenGap
	// the longest time between two tokens.
	lastTokenAt time.Time
	maxTokenGap time.Duration
	// suspect is true if the detector judged the content suspect when the current
	// attempt was sent.
	suspect bool
	// claim is set for a request that is not repeatable and has an idempotency
	// key.
	claim *claim
}

// claimOrDispatch claims the idempotency key of an admitted request that is not
// repeatable, and dispatches any other request at once.
func (r *Router) claimOrDispatch(f *inFlight) {
	if !f.admission.Repeatable && f.job.Request.IdempotencyKey != "" {
		r.startClaim(f)
		return
	}
	r.dispatch(f)
}

// handleLimitDecision continues a request that the limits of its organisation
// have admitted, and fails one that they have refused.
func (r *Router) handleLimitDecision(e event) {
	f := r.inFlight[e.request]
	if f == nil {
		// The caller has disconnected in the meantime.
		if e.admitted {
			r.options.Limits.End(e.organisation)
		}
		return
	}
	f.countsAgainstLimits = e.admitted
	if e.admitted {
		r.claimOrDispatch(f)
		return
	}
	r.fail(f, admitter.LimitReachedFailure())
}

// dispatch picks an upstream and sends the next attempt of f to its agent.
func (r *Router) dispatch(f *inFlight) {
	now := r.options.Clock.Now()
	verdict := r.detector.Verdict(now, f.admission.Fingerprint)
	if verdict == detector.Quarantined {
		f.retryState.Quarantined = true
		r.retryOrFail(f, retrier.CauseNoUpstream)
		return
	}
	f.suspect = verdict != detector.Unsuspected
	prefix := picker.HashPrefix(f.job.Request.Body)
	name, ok := r.picker.Pick(now, picker.Query{
		Candidates: r.candidates(f.job.Request), AvailabilityZone: r.options.Self.AvailabilityZone,
		Exclude: f.tried, Tier: f.admission.Class.Tier, TokenGapTarget: f.admission.Class.TokenGapTarget,
		Prefix: prefix, PrefixTokens: picker.PrefixTokens, PromptTokens: PromptTokens(f.job.Request),
		Suspect: f.suspect,
	})
	if !ok {
		r.retryOrFail(f, retrier.CauseNoUpstream)
		return
	}
	if verdict == detector.OnTrial {
		r.detector.Step(now, detector.Event{Kind: detector.EventTrial, Fingerprints: []string{f.admission.Fingerprint}})
	}
	f.answer.Attempt++
	f.upstream, f.started = name, false
	f.tried = append(f.tried, name)
	f.sentAt, f.attemptTokenAt = now, time.Time{}
	r.picker.Step(now, picker.Event{Kind: picker.EventSent, Upstream: name, Prefix: prefix, Suspect: f.suspect})
	r.record(tracer.KindSent, f, "")
	if !r.upstreams[name].conn.Notify(messenger.MethodSubmit, r.submitMessage(now, f)) {
		// The message was not queued, so the agent cannot have run the attempt.
		r.endAttempt(now, f, retrier.CauseRefused)
	}
}

// submitMessage returns the message for the current attempt of f.
func (r *Router) submitMessage(now time.Time, f *inFlight) messenger.Submit {
	q, c := f.job.Request, f.admission.Class
	s := messenger.Submit{
		Stamp: r.options.Recorder.Stamp(), Request: q.ID, Attempt: f.answer.Attempt,
		Class: f.admission.ClassName, Tier: c.Tier, Organisation: f.admission.Organisation,
		Repeatable: f.admission.Repeatable, ResumeFrom: f.answer.Tokens, Body: q.Body, Call: q.Call,
		PromptTokens: PromptTokens(q), Fingerprint: f.admission.Fingerprint,
		Suspect:  f.suspect,
		Revision: r.snapshot.Revision,
	}
	elapsed := now.Sub(q.Received)
	if c.FirstTokenTarget > 0 && f.answer.Tokens == 0 {
		s.FirstTokenIn = max(c.FirstTokenTarget-elapsed, time.Nanosecond)
	}
	if c.AnswerTarget > 0 {
		s.AnswerIn = max(c.AnswerTarget-elapsed, time.Nanosecond)
	}
	return s
}

// PromptTokens estimates the number of prompt tokens as a quarter of the bytes of
// the body, the usual ratio for English text.
func PromptTokens(q admitter.Request) int { return len(q.Body) / 4 }

// handleFrame processes a frame of an agent. Only frames of the current attempt
// of a request affect the request.
func (r *Router) handleFrame(now time.Time, e event) {
	r.options.Recorder.Merge(e.frame.Stamp)
	if r.options.OnNewerRevision != nil && r.snapshot != nil && e.frame.Revision > r.snapshot.Revision {
		r.options.OnNewerRevision(e.frame.Revision)
	}
	if e.frame.Load != nil {
		r.picker.Step(now, picker.Event{Kind: picker.EventLoad, Upstream: e.upstream, Load: *e.frame.Load})
	}
	f := r.inFlight[e.frame.Request]
	if f == nil || e.frame.Attempt != f.answer.Attempt {
		return
	}
	switch e.frame.Kind {
	case messenger.FrameStarted:
		f.started = true
	case messenger.FrameTokens:
		r.handleTokens(f, e.frame)
	case messenger.FrameResponse:
		r.complete(now, f, responder.Reply{Kind: responder.KindResponse, Response: e.frame.Response})
	case messenger.FrameFinished:
		if err := f.answer.Finish(e.frame.Attempt, e.frame.First); err != nil {
			r.record(tracer.KindViolation, f, err.Error())
			r.endAttempt(now, f, retrier.CauseLost)
			return
		}
		r.complete(now, f, responder.Reply{Kind: responder.KindFinished, FinishReason: e.frame.FinishReason})
	case messenger.FrameRefused:
		if e.frame.Status != 0 && f.retryState.Lost == 0 && f.answer.Tokens == 0 {
			r.picker.Step(now, picker.Event{Kind: picker.EventEnded, Upstream: f.upstream, Suspect: f.suspect})
			r.fail(f, admitter.RejectedFailure(e.frame.Status, e.frame.Reason))
			return
		}
		r.endAttempt(now, f, retrier.CauseRefused)
	case messenger.FrameLost:
		if e.frame.Crashed {
			r.recordCrash(now, e.upstream, f)
		}
		r.endAttempt(now, f, retrier.CauseLost)
	}
}

// handleTokens sends the new tokens of a frame to the caller. It abandons the
// request if the caller does not read.
func (r *Router) handleTokens(f *inFlight, m messenger.Frame) {
	tokens, err := f.answer.Add(m.Attempt, m.First, m.Tokens)
	if err != nil {
		r.record(tracer.KindViolation, f, err.Error())
		r.endAttempt(r.options.Clock.Now(), f, retrier.CauseLost)
		return
	}
	if len(tokens) == 0 {
		return
	}
	now := r.options.Clock.Now()
	if !f.firstTokenReceived {
		f.firstTokenReceived, f.lastTokenAt = true, now
		r.record(tracer.KindFirstToken, f, "")
	}
	r.reportTokens(now, f, len(tokens))
	f.maxTokenGap, f.lastTokenAt = max(f.maxTokenGap, now.Sub(f.lastTokenAt)), now
	f.retryState.DeliveredTokens = f.answer.Tokens
	f.storeTokens(tokens)
	if f.detached() {
		return
	}
	if !f.job.Replies.Put(context.Background(), responder.Reply{Kind: responder.KindTokens, Tokens: tokens}) {
		f.job.Replies.Close()
		r.abandon(now, f.job.Request.ID)
	}
}

// reportTokens reports the arrival of tokens to the picker, which derives the
// speed of the upstream from it.
func (r *Router) reportTokens(now time.Time, f *inFlight, tokens int) {
	e := picker.Event{Kind: picker.EventTokens, Upstream: f.upstream, Tokens: tokens, Elapsed: now.Sub(f.attemptTokenAt)}
	if f.attemptTokenAt.IsZero() {
		e.Kind, e.Elapsed = picker.EventFirstToken, 0
		if f.admission.Class.FirstTokenTarget > 0 {
			e.Elapsed = now.Sub(f.sentAt)
		}
	}
	f.attemptTokenAt = now
	r.picker.Step(now, e)
}

// complete ends a request with the final reply of its answer.
func (r *Router) complete(now time.Time, f *inFlight, reply responder.Reply) {
	r.record(tracer.KindAnswered, f, "")
	if f.upstream != "" {
		r.picker.Step(now, picker.Event{Kind: picker.EventEnded, Upstream: f.upstream, Tokens: f.answer.Tokens, Suspect: f.suspect})
	}
	r.sendStrikes(r.detector.Step(now, detector.Event{Kind: detector.EventAnswered, Fingerprints: []string{f.admission.Fingerprint}}))
	r.remove(f)
	r.finishClaim(f, reply)
	if !f.job.Replies.Put(context.Background(), reply) {
		f.job.Replies.Close()
	}
}

// endAttempt ends the current attempt of f as refused or lost and retries or
// fails the request.
func (r *Router) endAttempt(now time.Time, f *inFlight, c retrier.Cause) {
	if c == retrier.CauseRefused {
		f.retryState.Refused++
		r.picker.Step(now, picker.Event{Kind: picker.EventEnded, Upstream: f.upstream, Suspect: f.suspect})
	} else {
		f.retryState.Lost++
		r.picker.Step(now, picker.Event{Kind: picker.EventLost, Upstream: f.upstream, Suspect: f.suspect})
		r.record(tracer.KindLost, f, "")
	}
	r.retryOrFail(f, c)
}

// retryOrFail dispatches the next attempt of f if the retry decision and the
// retry budget allow it, and fails f otherwise.
func (r *Router) retryOrFail(f *inFlight, c retrier.Cause) {
	if d := r.budget.Decide(f.retryState, c); d.Failure != nil {
		r.fail(f, d.Failure)
		return
	}
	r.dispatch(f)
}

// fail ends a request with a failure.
func (r *Router) fail(f *inFlight, failure *admitter.Failure) {
	r.remove(f)
	e := r.traceEvent(tracer.KindRefused, f, failure.Code)
	e.Outcome = string(failure.Outcome)
	r.options.Recorder.Record(e)
	r.releaseClaim(f, failure.Outcome)
	if !f.job.Replies.Put(context.Background(), responder.Reply{Kind: responder.KindFailed, Failure: failure}) {
		f.job.Replies.Close()
	}
}

// abandon ends a request whose caller has disconnected, and cancels its current
// attempt. A run with a granted claim continues.
func (r *Router) abandon(now time.Time, request string) {
	f := r.inFlight[request]
	if f == nil || f.detach() {
		return
	}
	r.record(tracer.KindCancelled, f, "")
	if f.upstream == "" {
		r.remove(f)
		return
	}
	r.picker.Step(now, picker.Event{Kind: picker.EventEnded, Upstream: f.upstream, Suspect: f.suspect})
	if u := r.upstreams[f.upstream]; u != nil && u.conn != nil {
		u.conn.Notify(messenger.MethodCancel, messenger.Cancel{
			Stamp: r.options.Recorder.Stamp(), Request: request, Attempt: f.answer.Attempt,
		})
	}
	r.remove(f)
}

// remove deletes a request that has ended from the requests in flight.
func (r *Router) remove(f *inFlight) {
	delete(r.inFlight, f.job.Request.ID)
	if f.countsAgainstLimits {
		r.options.Limits.End(f.admission.Organisation)
	}
	r.closeIfUnused(f.upstream)
}

// recordCrash gives the content of f a strike because f was in flight on an
// upstream that was lost.
func (r *Router) recordCrash(now time.Time, upstream string, f *inFlight) {
	r.sendStrikes(r.detector.Step(now, detector.Event{
		Kind: detector.EventCrashed, Upstream: upstream, Fingerprints: []string{f.admission.Fingerprint},
		Attempts: r.countAttempts(f.admission.Fingerprint), Upstreams: len(r.upstreams),
	}))
	f.retryState.Quarantined = r.detector.Verdict(now, f.admission.Fingerprint) == detector.Quarantined
	if f.retryState.Quarantined {
		r.record(tracer.KindQuarantined, f, f.admission.Fingerprint)
	}
}

// countAttempts returns the number of requests in flight with the content of a
// fingerprint.
func (r *Router) countAttempts(fingerprint string) int {
	n := 0
	for _, f := range r.inFlight {
		if f.admission.Fingerprint == fingerprint {
			n++
		}
	}
	return n
}

func (r *Router) sendStrikes(strikes []detector.Strike) {
	if r.options.SendStrikes != nil && len(strikes) > 0 {
		r.options.SendStrikes(strikes)
	}
}

func (r *Router) record(kind tracer.Kind, f *inFlight, reason string) {
	r.options.Recorder.Record(r.traceEvent(kind, f, reason))
}

// operationID identifies the operation that an idempotency key stands for in the
// trace without exposing the key. It is empty for a request without a key.
func operationID(organisation, key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:8])
}
