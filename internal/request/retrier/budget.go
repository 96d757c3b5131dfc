package retrier

import (
	"cmp"
	"net/http"

	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

const (
	// defaultRetryRatio is the number of retries after a refusal that each
	// admitted request adds to the budget. Without this bound, an overload in
	// which every upstream refuses would triple the number of messages.
	defaultRetryRatio = 0.1
	// defaultCapacity is the maximum number of unused retries that the budget
	// accumulates. It suffices to retry all requests queued at one upstream that
	// shuts down.
	defaultCapacity = 100
)

// Budget limits the retries that follow refusals, as a token bucket that
// admitted requests refill. Retries of lost attempts are not counted, since
// the caller may already have part of the response, unless CountAllRetries is
// set. The zero value is a full bucket.
type Budget struct {
	// RetryRatio is the number of retries that each admitted request adds, and
	// Capacity the maximum number that accumulates. Zero means the defaults of 0.1
	// and 100.
	RetryRatio float64
	Capacity   float64
	// CountAllRetries also counts the retries of lost and failed attempts.
	CountAllRetries bool
	spent           float64
}

// RequestAdmitted refills the budget for one admitted request.
func (b *Budget) RequestAdmitted() { b.spent = max(0, b.spent-cmp.Or(b.RetryRatio, defaultRetryRatio)) }

// Decide returns the decision of the function [Decide], or a failure if the
// budget has no retry left.
func (b *Budget) Decide(s RequestState, c Cause) Decision {
	d := Decide(s, c)
	if d.Failure != nil || c != CauseRefused && !b.CountAllRetries {
		return d
	}
	if b.spent+1 > cmp.Or(b.Capacity, defaultCapacity) {
		if c == CauseFailed {
			return forwardUpstreamError("the budget for further attempts is used up")
		}
		return fail(http.StatusServiceUnavailable, "overloaded", "the budget for further attempts is used up", outcomeSoFar(s))
	}
	b.spent++
	return d
}

// outcomeSoFar returns the outcome of a request that ends between two
// attempts.
func outcomeSoFar(s RequestState) admitter.Outcome {
	if s.possibleRuns() > 0 || s.DeliveredTokens > 0 {
		return admitter.OutcomeUnknown
	}
	return admitter.OutcomeNotRun
}
