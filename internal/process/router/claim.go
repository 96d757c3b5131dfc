package router

import (
	"context"
	"encoding/json"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/claimer"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/responder"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

const (
	// claimWait bounds the wait for a claim where the class has no shorter
	// target, so that callers soon learn of an outage of the platform.
	claimWait = 2 * time.Second
	// claimEndWait bounds the tries to store the end of a run.
	claimEndWait = 10 * time.Second
)

// claim is the claim of a flight.
type claim struct {
	op      claimer.Op
	granted bool
	// detached is true if the caller is gone. The run goes on, so that a caller
	// that comes back with the key gets its answer.
	detached bool
	// tokens is the answer so far, or nil once it is too large to be kept.
	tokens []string
	size   int
}

// stored is an answer as it is kept with a claim.
type stored struct {
	Response     *messenger.Response `json:"response,omitempty"`
	Tokens       []string            `json:"tokens,omitempty"`
	FinishReason string              `json:"finish_reason,omitempty"`
}

// claim asks for the idempotency key of f. The answer comes as an event.
func (r *Router) claim(f *flight) {
	q := f.job.Request
	op := claimer.Op{
		Kind: claimer.OpClaim, Key: claimer.HashKey(f.admission.Organisation, q.IdempotencyKey),
		Run: q.ID, Fingerprint: q.ContentDigest, By: q.Received.Add(waitOf(f.admission.Class)),
	}
	f.claim = &claim{op: op}
	answer := func(result claimer.Result) {
		r.events.Put(context.Background(), event{kind: eventClaimed, request: q.ID, op: op, result: result})
	}
	if r.options.Claims == nil || !r.options.Claims.Ask(context.Background(), op, answer) {
		r.next(f, retrier.CauseClaimUnavailable)
	}
}

// waitOf returns the time for which a request of the class waits for a claim.
func waitOf(c descriptor.Class) time.Duration {
	wait := claimWait
	for _, target := range []time.Duration{c.FirstTokenTarget, c.AnswerTarget} {
		if target > 0 {
			wait = min(wait, target)
		}
	}
	return wait
}

func (r *Router) claimed(e event) {
	f := r.flights[e.request]
	if f == nil {
		// The caller left while the claim was being written.
		if e.result.Verdict == claimer.VerdictGranted {
			r.endClaim(e.op, claimer.OpRelease, nil)
		}
		return
	}
	switch e.result.Verdict {
	case claimer.VerdictGranted:
		f.claim.granted = true
		r.dispatch(f)
	case claimer.VerdictFinished:
		r.replay(f, e.result.Answer)
	case claimer.VerdictRunning:
		r.next(f, retrier.CauseClaimHeld)
	case claimer.VerdictMismatch:
		r.next(f, retrier.CauseClaimMismatch)
	default:
		r.next(f, retrier.CauseClaimUnavailable)
	}
}

// replay answers f with the stored answer of an earlier request.
func (r *Router) replay(f *flight, answer []byte) {
	var s stored
	if len(answer) == 0 || json.Unmarshal(answer, &s) != nil {
		r.next(f, retrier.CauseAnswerNotKept)
		return
	}
	last := responder.Reply{Kind: responder.KindFinished, FinishReason: s.FinishReason, Replayed: true}
	if s.Response != nil {
		last = responder.Reply{Kind: responder.KindResponse, Response: s.Response, Replayed: true}
	} else if len(s.Tokens) > 0 {
		f.job.Replies.Put(context.Background(), responder.Reply{Kind: responder.KindTokens, Tokens: s.Tokens, Replayed: true})
	}
	r.reply(r.options.Clock.Now(), f, last)
}

// keep adds tokens to the answer that is stored with the claim.
func (f *flight) keep(tokens []string) {
	if f.claim == nil {
		return
	}
	for _, t := range tokens {
		f.claim.size += len(t)
	}
	if f.claim.size > claimer.MaxAnswer {
		f.claim.tokens = nil
		return
	}
	f.claim.tokens = append(f.claim.tokens, tokens...)
}

// detach makes a granted run go on without its caller.
func (f *flight) detach() bool {
	if f.claim == nil || !f.claim.granted {
		return false
	}
	f.claim.detached = true
	return true
}

func (f *flight) detached() bool { return f.claim != nil && f.claim.detached }

// finishClaim stores the answer of a run, or only its end if the answer is too
// large.
func (r *Router) finishClaim(f *flight, reply responder.Reply) {
	if f.claim == nil || !f.claim.granted {
		return
	}
	s := stored{Response: reply.Response, Tokens: f.claim.tokens, FinishReason: reply.FinishReason}
	answer, err := json.Marshal(s)
	if err != nil || len(answer) > claimer.MaxAnswer || f.claim.size > claimer.MaxAnswer {
		answer = nil
	}
	r.endClaim(f.claim.op, claimer.OpFinish, answer)
}

// releaseClaim gives the key of a failed run back if the run did not start.
func (r *Router) releaseClaim(f *flight, o admitter.Outcome) {
	if f.claim != nil && f.claim.granted && o == admitter.OutcomeNotRun {
		r.endClaim(f.claim.op, claimer.OpRelease, nil)
	}
}

// endClaim reports the end of a run. If the report is lost, the key stays in
// use until the claim expires.
func (r *Router) endClaim(op claimer.Op, kind claimer.OpKind, answer []byte) {
	op.Kind, op.Answer, op.By = kind, answer, r.options.Clock.Now().Add(claimEndWait)
	r.options.Claims.Ask(context.Background(), op, func(claimer.Result) {})
}
