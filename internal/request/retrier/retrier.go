// Package retrier decides whether a request is retried after a failed
// attempt.
//
// It makes decisions only and does no I/O. An attempt that was refused was
// not executed and is retried on another upstream for any request. An attempt
// that was lost is retried only if the request is repeatable; otherwise it is
// unknown whether the request was executed, and the caller gets the outcome
// unknown. If the idempotency key could not be claimed, the request was not
// sent and therefore not run. If another request with the same key is running
// or was lost, the outcome is unknown, since that request may have been run.
//
// # Usage
//
//	d := retrier.Decide(state, retrier.CauseLost)
//	if d.Failure == nil {
//		// send the next attempt, which resumes after state.DeliveredTokens
//	}
package retrier

import (
	"net/http"
	"time"

	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

// Limits on the attempts of one request.
const (
	// MaxRefusals is the number of refusals at which a request fails. More
	// attempts would amplify an overload.
	MaxRefusals = 3
	// MaxLosses is the number of lost attempts at which a request fails.
	MaxLosses = 3
)

// CodeStopping is the code of a request that ends because this process stops.
const CodeStopping = "stopping"

// RequestState is the state of a request that the decision depends on.
type RequestState struct {
	Repeatable bool
	// Refused and Lost count the attempts that were refused and lost.
	Refused int
	Lost    int
	// DeliveredTokens is the number of tokens that the caller has received.
	DeliveredTokens int
	// Failed counts the attempts that an upstream executed and answered with an
	// error.
	Failed int
	// MaxRuns is the maximum number of attempts that may have been executed:
	// Lost and Failed together. Zero means MaxLosses.
	MaxRuns int
	// Quarantined is true if the content of the request has crashed upstreams.
	Quarantined bool
	// Stopping is true if this process stops and another attempt is not expected to end
	// before it exits.
	Stopping bool
}

// Cause is the reason why an attempt ended.
type Cause int

// Causes of the end of an attempt.
const (
	// CauseRefused means that the attempt was not executed.
	CauseRefused Cause = iota
	// CauseLost means that the attempt may have been executed.
	CauseLost
	// CauseNoUpstream means that no upstream is available for the next attempt.
	CauseNoUpstream
	// CauseClaimUnavailable means that the idempotency key could not be claimed
	// in time, so nothing was sent.
	CauseClaimUnavailable
	// CauseClaimHeld means that another request with the same idempotency key is
	// running or was lost.
	CauseClaimHeld
	// CauseClaimMismatch means that the idempotency key was used for a request
	// with different content.
	CauseClaimMismatch
	// CauseAnswerNotKept means that a request with the same idempotency key was
	// executed and its answer was too large to be stored.
	CauseAnswerNotKept
	// CauseFailed means that the upstream executed the attempt and answered with
	// an error, which has not been forwarded to the caller.
	CauseFailed
	// CauseExpired means that the deadline of the request has passed.
	CauseExpired
	// CauseStopping means that this process is about to exit.
	CauseStopping
)

// Decision is the result of [Decide]: another attempt or a failure.
type Decision struct {
	// Failure is the failure to report to the caller, or nil if there is another
	// attempt.
	Failure *admitter.Failure
	// ForwardUpstreamError is true if the error response of the upstream is
	// forwarded to the caller. Failure then gives the reason why there is no
	// other attempt.
	ForwardUpstreamError bool
}

// Decide returns the decision after an attempt that ended with cause c. The
// counters of s include that attempt.
func Decide(s RequestState, c Cause) Decision {
	outcome := outcomeSoFar(s)
	switch c {
	case CauseClaimUnavailable, CauseClaimHeld, CauseClaimMismatch, CauseAnswerNotKept:
		if !s.Quarantined {
			return decideClaimFailure(c)
		}
	}
	switch {
	case s.Quarantined:
		return fail(http.StatusUnprocessableEntity, "quarantined", "upstreams crashed while they ran this content", outcome)
	case c == CauseExpired || c == CauseStopping:
		return decideTimeUp(c, outcome)
	case c == CauseFailed && (!s.Repeatable || s.Stopping || s.possibleRuns() >= s.maxRuns()):
		return forwardUpstreamError("the upstream failed the request")
	case c == CauseLost && !s.Repeatable:
		return fail(http.StatusBadGateway, "upstream_lost", "the upstream was lost while the request may have been running", outcome)
	case s.Lost >= MaxLosses || c == CauseLost && s.possibleRuns() >= s.maxRuns():
		return fail(http.StatusBadGateway, "upstreams_lost", "several upstreams were lost while running the request", outcome)
	case c == CauseNoUpstream && s.Refused == 0:
		return fail(http.StatusServiceUnavailable, "no_upstream", "no upstream is available", outcome)
	case c == CauseNoUpstream, s.Refused >= MaxRefusals:
		return fail(http.StatusServiceUnavailable, "overloaded", "the upstreams cannot meet the target of the class", outcome)
	case s.Stopping:
		return fail(http.StatusServiceUnavailable, CodeStopping, "this process stops too soon for another attempt", outcome)
	}
	return Decision{}
}

// decideTimeUp returns the failure of a request whose time has ended, either its own or
// that of this process.
func decideTimeUp(c Cause, o admitter.Outcome) Decision {
	code := "expired"
	if c == CauseStopping {
		code = CodeStopping
	}
	if o == admitter.OutcomeNotRun {
		return fail(http.StatusServiceUnavailable, code, "no upstream could begin the request in time", o)
	}
	return fail(http.StatusGatewayTimeout, code, "the upstream did not answer in time", o)
}

// decideClaimFailure returns the failure of a request whose idempotency key
// could not be claimed.
func decideClaimFailure(c Cause) Decision {
	switch c {
	case CauseClaimUnavailable:
		return fail(http.StatusServiceUnavailable, "claim_unavailable", "the idempotency key could not be claimed within the target of the class", admitter.OutcomeNotRun)
	case CauseClaimHeld:
		return fail(http.StatusConflict, "key_in_use", "a request with this idempotency key is running or its result was lost", admitter.OutcomeUnknown)
	case CauseClaimMismatch:
		return fail(http.StatusUnprocessableEntity, "key_mismatch", "the idempotency key was used with another request", admitter.OutcomeNotRun)
	}
	return fail(http.StatusConflict, "answer_not_kept", "the request was run; its answer was too large to be kept", admitter.OutcomeRan)
}

// possibleRuns returns the number of attempts that may have been executed.
func (s RequestState) possibleRuns() int { return s.Lost + s.Failed }

func (s RequestState) maxRuns() int {
	if s.MaxRuns > 0 {
		return s.MaxRuns
	}
	return MaxLosses
}

func forwardUpstreamError(message string) Decision {
	d := fail(http.StatusBadGateway, "upstream_failed", message, admitter.OutcomeRan)
	d.ForwardUpstreamError = true
	return d
}

func fail(status int, code, message string, o admitter.Outcome) Decision {
	if status == http.StatusServiceUnavailable && o != admitter.OutcomeNotRun {
		// Callers take 503 as safe to retry, so it is sent only if the request was
		// not run.
		status = http.StatusBadGateway
	}
	f := &admitter.Failure{Status: status, Code: code, Message: message, Outcome: o}
	if status == http.StatusServiceUnavailable {
		f.RetryAfter = time.Second
	}
	return Decision{Failure: f}
}
