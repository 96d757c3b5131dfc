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

// flight is a request in flight.
type flight struct {
	job       Job
	admission admitter.Admission
	answer    assembler.Answer
	state     retrier.RequestState
	upstream  string
	tried     []string
	// started is true while the present attempt runs on its upstream.
	started bool
	first   bool
	// counted is set once the request counts against the limits.
	counted bool
	// sent is the time of the present attempt and seen that of its last token.
	sent time.Time
	seen time.Time
	// last is the time of the last token and gap the longest time between two.
	last time.Time
	gap  time.Duration
	// suspect is the verdict of the detector at the present attempt.
	suspect bool
	// claim is set for a request that must not be repeated and has a key.
	claim *claim
}

// proceed claims the key of an admitted request, if it needs that, and else
// sends it.
func (r *Router) proceed(f *flight) {
	if !f.admission.Repeatable && f.job.Request.IdempotencyKey != "" {
		r.claim(f)
		return
	}
	r.dispatch(f)
}

// limited takes in the decision of the limits on a request.
func (r *Router) limited(e event) {
	f := r.flights[e.request]
	if f == nil {
		// The caller has gone in the meantime.
		if e.entered {
			r.options.Limits.End(e.organisation)
		}
		return
	}
	f.counted = e.entered
	if e.entered {
		r.proceed(f)
		return
	}
	r.fail(f, admitter.LimitReachedFailure())
}

// dispatch sends the next attempt of f.
func (r *Router) dispatch(f *flight) {
	now := r.options.Clock.Now()
	f.suspect = r.detector.Verdict(now, f.admission.Fingerprint) == detector.Suspect
	prefix := picker.HashPrefix(f.job.Request.Body)
	name, ok := r.picker.Pick(now, picker.Query{
		Candidates: r.candidates(f.job.Request), AvailabilityZone: r.options.Self.AvailabilityZone,
		Exclude: f.tried, Tier: f.admission.Class.Tier, TokenGapTarget: f.admission.Class.TokenGapTarget,
		Prefix: prefix, PrefixTokens: picker.PrefixTokens, PromptTokens: PromptTokens(f.job.Request),
		Suspect: f.suspect,
	})
	if !ok {
		r.next(f, retrier.CauseNoUpstream)
		return
	}
	f.answer.Attempt++
	f.upstream, f.started = name, false
	f.tried = append(f.tried, name)
	f.sent, f.seen = now, time.Time{}
	r.picker.Step(now, picker.Event{Kind: picker.EventSent, Upstream: name, Prefix: prefix, Suspect: f.suspect})
	r.record(tracer.KindSent, f, "")
	if !r.upstreams[name].conn.Notify(messenger.MethodSubmit, r.submission(now, f)) {
		// The message was not queued, so the agent cannot have run it.
		r.end(now, f, retrier.CauseRefused)
	}
}

func (r *Router) submission(now time.Time, f *flight) messenger.Submit {
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

// PromptTokens estimates the number of tokens of a prompt as a quarter of its
// bytes, the usual ratio for English text.
func PromptTokens(q admitter.Request) int { return len(q.Body) / 4 }

func (r *Router) frame(now time.Time, e event) {
	r.options.Recorder.Merge(e.frame.Stamp)
	if r.options.Hint != nil && r.snapshot != nil && e.frame.Revision > r.snapshot.Revision {
		r.options.Hint(e.frame.Revision)
	}
	if e.frame.Load != nil {
		r.picker.Step(now, picker.Event{Kind: picker.EventLoad, Upstream: e.upstream, Load: *e.frame.Load})
	}
	f := r.flights[e.frame.Request]
	if f == nil || e.frame.Attempt != f.answer.Attempt {
		return
	}
	switch e.frame.Kind {
	case messenger.FrameStarted:
		f.started = true
	case messenger.FrameTokens:
		r.tokens(f, e.frame)
	case messenger.FrameResponse:
		r.reply(now, f, responder.Reply{Kind: responder.KindResponse, Response: e.frame.Response})
	case messenger.FrameFinished:
		if err := f.answer.Finish(e.frame.Attempt, e.frame.First); err != nil {
			r.record(tracer.KindViolation, f, err.Error())
			r.end(now, f, retrier.CauseLost)
			return
		}
		r.reply(now, f, responder.Reply{Kind: responder.KindFinished, FinishReason: e.frame.FinishReason})
	case messenger.FrameRefused:
		if e.frame.Status != 0 && f.state.Lost == 0 && f.answer.Tokens == 0 {
			r.picker.Step(now, picker.Event{Kind: picker.EventEnded, Upstream: f.upstream, Suspect: f.suspect})
			r.fail(f, admitter.RejectedFailure(e.frame.Status, e.frame.Reason))
			return
		}
		r.end(now, f, retrier.CauseRefused)
	case messenger.FrameLost:
		if e.frame.Crashed {
			r.crashed(now, e.upstream, f)
		}
		r.end(now, f, retrier.CauseLost)
	}
}

func (r *Router) tokens(f *flight, m messenger.Frame) {
	tokens, err := f.answer.Add(m.Attempt, m.First, m.Tokens)
	if err != nil {
		r.record(tracer.KindViolation, f, err.Error())
		r.end(r.options.Clock.Now(), f, retrier.CauseLost)
		return
	}
	if len(tokens) == 0 {
		return
	}
	now := r.options.Clock.Now()
	if !f.first {
		f.first, f.last = true, now
		r.record(tracer.KindFirstToken, f, "")
	}
	r.observe(now, f, len(tokens))
	f.gap, f.last = max(f.gap, now.Sub(f.last)), now
	f.state.DeliveredTokens = f.answer.Tokens
	f.keep(tokens)
	if f.detached() {
		return
	}
	if !f.job.Replies.Put(context.Background(), responder.Reply{Kind: responder.KindTokens, Tokens: tokens}) {
		f.job.Replies.Close()
		r.abandon(now, f.job.Request.ID)
	}
}

// observe tells the picker how fast tokens arrive.
func (r *Router) observe(now time.Time, f *flight, tokens int) {
	e := picker.Event{Kind: picker.EventTokens, Upstream: f.upstream, Tokens: tokens, Elapsed: now.Sub(f.seen)}
	if f.seen.IsZero() {
		e.Kind, e.Elapsed = picker.EventFirstToken, 0
		if f.admission.Class.FirstTokenTarget > 0 {
			e.Elapsed = now.Sub(f.sent)
		}
	}
	f.seen = now
	r.picker.Step(now, e)
}

// reply ends a request with an answer.
func (r *Router) reply(now time.Time, f *flight, reply responder.Reply) {
	r.record(tracer.KindAnswered, f, "")
	if f.upstream != "" {
		r.picker.Step(now, picker.Event{Kind: picker.EventEnded, Upstream: f.upstream, Tokens: f.answer.Tokens, Suspect: f.suspect})
	}
	r.spread(r.detector.Step(now, detector.Event{Kind: detector.EventAnswered, Fingerprints: []string{f.admission.Fingerprint}}))
	r.remove(f)
	r.finishClaim(f, reply)
	if !f.job.Replies.Put(context.Background(), reply) {
		f.job.Replies.Close()
	}
}

// end closes the present attempt of f and decides what follows.
func (r *Router) end(now time.Time, f *flight, c retrier.Cause) {
	if c == retrier.CauseRefused {
		f.state.Refused++
		r.picker.Step(now, picker.Event{Kind: picker.EventEnded, Upstream: f.upstream, Suspect: f.suspect})
	} else {
		f.state.Lost++
		r.picker.Step(now, picker.Event{Kind: picker.EventLost, Upstream: f.upstream, Suspect: f.suspect})
		r.record(tracer.KindLost, f, "")
	}
	r.next(f, c)
}

func (r *Router) next(f *flight, c retrier.Cause) {
	if d := r.budget.Decide(f.state, c); d.Failure != nil {
		r.fail(f, d.Failure)
		return
	}
	r.dispatch(f)
}

// fail ends a request without an answer.
func (r *Router) fail(f *flight, failure *admitter.Failure) {
	r.remove(f)
	e := r.event(tracer.KindRefused, f, failure.Code)
	e.Outcome = string(failure.Outcome)
	r.options.Recorder.Record(e)
	r.releaseClaim(f, failure.Outcome)
	if !f.job.Replies.Put(context.Background(), responder.Reply{Kind: responder.KindFailed, Failure: failure}) {
		f.job.Replies.Close()
	}
}

func (r *Router) abandon(now time.Time, request string) {
	f := r.flights[request]
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

// remove forgets a request that has ended.
func (r *Router) remove(f *flight) {
	delete(r.flights, f.job.Request.ID)
	if f.counted {
		r.options.Limits.End(f.admission.Organisation)
	}
	r.release(f.upstream)
}

// crashed notes that f was in flight on an upstream that was lost.
func (r *Router) crashed(now time.Time, upstream string, f *flight) {
	r.spread(r.detector.Step(now, detector.Event{
		Kind: detector.EventCrashed, Upstream: upstream, Fingerprints: []string{f.admission.Fingerprint},
	}))
	f.state.Quarantined = r.detector.Verdict(now, f.admission.Fingerprint) == detector.Quarantined
	if f.state.Quarantined {
		r.record(tracer.KindQuarantined, f, f.admission.Fingerprint)
	}
}

func (r *Router) spread(strikes []detector.Strike) {
	if r.options.Spread != nil && len(strikes) > 0 {
		r.options.Spread(strikes)
	}
}

func (r *Router) record(kind tracer.Kind, f *flight, reason string) {
	r.options.Recorder.Record(r.event(kind, f, reason))
}

// operation identifies what a caller wants to happen once, without showing its
// key. It is empty for a request without a key.
func operation(organisation, key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:8])
}
