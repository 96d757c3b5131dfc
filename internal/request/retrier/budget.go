package retrier

import (
	"cmp"
	"net/http"

	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

const (
	// budgetShare is the number of attempts after a refusal for each request
	// that enters. Without a bound, an overload in which every upstream refuses
	// would triple the messages.
	budgetShare = 0.1
	// budgetSize is the number of such attempts that can be saved up, enough for
	// the queue of one upstream that leaves.
	budgetSize = 100
)

// Budget bounds the attempts that follow refusals. What was lost is resumed
// outside the budget, since its caller already has a part of the answer, unless
// All is set. The zero value is full.
type Budget struct {
	// Share is the number of further attempts for each request that enters, and
	// Size the number of them that can be saved up. Zero means the defaults of
	// 0.1 and 100.
	Share float64
	Size  float64
	// All counts every further attempt.
	All   bool
	spent float64
}

// Admitted notes a request that enters.
func (b *Budget) Admitted() { b.spent = max(0, b.spent-cmp.Or(b.Share, budgetShare)) }

// Next decides like the function [Next], within the budget.
func (b *Budget) Next(f Flight, c Cause) Decision {
	d := Next(f, c)
	if d.Failure != nil || c != CauseRefused && !b.All {
		return d
	}
	if b.spent+1 > cmp.Or(b.Size, budgetSize) {
		if c == CauseFailed {
			return deliver("the budget for further attempts is used up")
		}
		return fail(http.StatusServiceUnavailable, "overloaded", "the budget for further attempts is used up", outcomeOf(f))
	}
	b.spent++
	return d
}

// outcomeOf returns what is certain of a request between two attempts.
func outcomeOf(f Flight) admitter.Outcome {
	if f.runs() > 0 || f.Tokens > 0 {
		return admitter.OutcomeUnknown
	}
	return admitter.OutcomeNotRun
}
