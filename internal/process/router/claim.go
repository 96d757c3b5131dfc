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
	// maxClaimTimeout is the timeout of a claim if the class has no shorter latency
	// target. It is short so that an outage of the platform fails requests early.
	maxClaimTimeout = 2 * time.Second
	// claimEndTimeout is the timeout for storing the end of a run.
	claimEndTimeout = 10 * time.Second
)

// claim is the claim of a request on its idempotency key.
type claim struct {
	op      claimer.Op
	granted bool
	// detached is true if the caller has disconnected. The run continues, so that
	// a later request with the same key gets its answer.
	detached bool
	// answerTokens holds the answer tokens received so far. It is nil once they
	// exceed [claimer.MaxAnswerBytes], since such an answer is not stored.
	answerTokens []string
	// answerBytes is the total size of the received tokens.
	answerBytes int
}

// storedAnswer is the JSON encoding of an answer stored with a claim.
type storedAnswer struct {
	Response     *messenger.Response `json:"response,omitempty"`
	Tokens       []string            `json:"tokens,omitempty"`
	FinishReason string              `json:"finish_reason,omitempty"`
}

// startClaim submits a claim of the idempotency key of f to the claimer. The
// result arrives as an eventClaimResult.
func (r *Router) startClaim(f *inFlight) {
	q := f.job.Request
	op := claimer.Op{
		Kind: claimer.OpClaim, Key: claimer.HashKey(f.admission.Organisation, q.IdempotencyKey),
		Run: q.ID, Fingerprint: q.ContentDigest, Deadline: q.Received.Add(claimTimeout(f.admission.Class)),
	}
	f.claim = &claim{op: op}
	onResult := func(result claimer.Result) {
		r.events.Put(context.Background(), event{kind: eventClaimResult, request: q.ID, op: op, result: result})
	}
	if r.options.Claimer == nil || !r.options.Claimer.Ask(context.Background(), op, onResult) {
		r.retryOrFail(f, retrier.CauseClaimUnavailable)
	}
}

// claimTimeout returns the timeout of claims for requests of class c.
func claimTimeout(c descriptor.Class) time.Duration {
	timeout := maxClaimTimeout
	for _, target := range []time.Duration{c.FirstTokenTarget, c.AnswerTarget} {
		if target > 0 {
			timeout = min(timeout, target)
		}
	}
	return timeout
}

// handleClaimResult sends the first attempt of a request whose key was granted.
// Otherwise it replays the stored answer, or fails the request.
func (r *Router) handleClaimResult(e event) {
	f := r.inFlight[e.request]
	if f == nil {
		// The caller disconnected while the claim was being written.
		if e.result.Verdict == claimer.VerdictGranted {
			r.submitClaimEnd(e.op, claimer.OpRelease, nil)
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
		r.retryOrFail(f, retrier.CauseClaimHeld)
	case claimer.VerdictMismatch:
		r.retryOrFail(f, retrier.CauseClaimMismatch)
	default:
		r.retryOrFail(f, retrier.CauseClaimUnavailable)
	}
}

// replay completes f with the answer stored by an earlier request with the same
// key.
func (r *Router) replay(f *inFlight, answer []byte) {
	var s storedAnswer
	if len(answer) == 0 || json.Unmarshal(answer, &s) != nil {
		r.retryOrFail(f, retrier.CauseAnswerNotKept)
		return
	}
	last := responder.Reply{Kind: responder.KindFinished, FinishReason: s.FinishReason, Replayed: true}
	if s.Response != nil {
		last = responder.Reply{Kind: responder.KindResponse, Response: s.Response, Replayed: true}
	} else if len(s.Tokens) > 0 {
		f.job.Replies.Put(context.Background(), responder.Reply{Kind: responder.KindTokens, Tokens: s.Tokens, Replayed: true})
	}
	r.complete(r.options.Clock.Now(), f, last)
}

// storeTokens appends tokens to the answer that will be stored with the claim.
func (f *inFlight) storeTokens(tokens []string) {
	if f.claim == nil {
		return
	}
	for _, t := range tokens {
		f.claim.answerBytes += len(t)
	}
	if f.claim.answerBytes > claimer.MaxAnswerBytes {
		f.claim.answerTokens = nil
		return
	}
	f.claim.answerTokens = append(f.claim.answerTokens, tokens...)
}

// detach lets a run with a granted claim continue after its caller has
// disconnected. It reports false if f has no granted claim.
func (f *inFlight) detach() bool {
	if f.claim == nil || !f.claim.granted {
		return false
	}
	f.claim.detached = true
	return true
}

// detached reports whether f runs without a caller.
func (f *inFlight) detached() bool { return f.claim != nil && f.claim.detached }

// finishClaim marks the claim as finished and stores the answer. An answer above
// [claimer.MaxAnswerBytes] is not stored.
func (r *Router) finishClaim(f *inFlight, reply responder.Reply) {
	if f.claim == nil || !f.claim.granted {
		return
	}
	s := storedAnswer{Response: reply.Response, Tokens: f.claim.answerTokens, FinishReason: reply.FinishReason}
	answer, err := json.Marshal(s)
	if err != nil || len(answer) > claimer.MaxAnswerBytes || f.claim.answerBytes > claimer.MaxAnswerBytes {
		answer = nil
	}
	r.submitClaimEnd(f.claim.op, claimer.OpFinish, answer)
}

// releaseClaim releases the key of a failed request if the request was not run.
func (r *Router) releaseClaim(f *inFlight, o admitter.Outcome) {
	if f.claim != nil && f.claim.granted && o == admitter.OutcomeNotRun {
		r.submitClaimEnd(f.claim.op, claimer.OpRelease, nil)
	}
}

// submitClaimEnd submits the finish or release of a claim. If it is lost, the key
// stays claimed until the claim expires.
func (r *Router) submitClaimEnd(op claimer.Op, kind claimer.OpKind, answer []byte) {
	op.Kind, op.Answer, op.Deadline = kind, answer, r.options.Clock.Now().Add(claimEndTimeout)
	r.options.Claimer.Ask(context.Background(), op, func(claimer.Result) {})
}
