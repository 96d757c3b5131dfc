package retrier

import (
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

// The outcome must be not_run only if no attempt can have been executed: a
// caller repeats such a request.
func TestDecideReportsNotRunOnlyIfNoAttemptCanHaveRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		state   RequestState
		cause   Cause
		code    string
		outcome admitter.Outcome
	}{
		{"one refusal: retried", RequestState{Refused: 1}, CauseRefused, "", ""},
		{"maximum of refusals: overloaded", RequestState{Refused: MaxRefusals}, CauseRefused, "overloaded", admitter.OutcomeNotRun},
		{"refused by all upstreams: overloaded", RequestState{Refused: 2}, CauseNoUpstream, "overloaded", admitter.OutcomeNotRun},
		{"no upstream: not run", RequestState{}, CauseNoUpstream, "no_upstream", admitter.OutcomeNotRun},
		{"no upstream after a loss: unknown", RequestState{Repeatable: true, Lost: 1}, CauseNoUpstream, "no_upstream", admitter.OutcomeUnknown},
		{"lost and repeatable: retried", RequestState{Repeatable: true, Lost: 1}, CauseLost, "", ""},
		{"lost and not repeatable: unknown", RequestState{Lost: 1}, CauseLost, "upstream_lost", admitter.OutcomeUnknown},
		{"maximum of losses: unknown", RequestState{Repeatable: true, Lost: MaxLosses}, CauseLost, "upstreams_lost", admitter.OutcomeUnknown},
		{"refused while this process stops: not run", RequestState{Refused: 1, Stopping: true}, CauseRefused, CodeStopping, admitter.OutcomeNotRun},
		{"lost while this process stops: unknown", RequestState{Repeatable: true, Lost: 1, Stopping: true}, CauseLost, CodeStopping, admitter.OutcomeUnknown},
		{"lost and not repeatable while this process stops: unknown", RequestState{Lost: 1, Stopping: true}, CauseLost, "upstream_lost", admitter.OutcomeUnknown},
		{"refused before this process exits: not run", RequestState{Refused: 2}, CauseStopping, CodeStopping, admitter.OutcomeNotRun},
		{"in flight when this process exits: unknown", RequestState{Lost: 1}, CauseStopping, CodeStopping, admitter.OutcomeUnknown},
		{"quarantined content: unknown", RequestState{Repeatable: true, Lost: 2, Quarantined: true}, CauseLost, "quarantined", admitter.OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertDecision(t, Decide(c.state, c.cause), c.code, c.outcome)
		})
	}
}

// assertDecision checks that d is a failure with the code and outcome, or
// another attempt if code is empty.
func assertDecision(t *testing.T, d Decision, code string, o admitter.Outcome) {
	t.Helper()
	is := is.New(t)
	if code == "" {
		is.True(d.Failure == nil)
		return
	}
	is.True(d.Failure != nil)
	is.Equal(d.Failure.Code, code)
	is.Equal(d.Failure.Outcome, o)
}

// Retries must stay within the budget in an overload in which every upstream
// refuses; without it they multiply the load.
func TestBudgetLimitsRefusalRetries(t *testing.T) {
	refused := RequestState{Refused: 1}
	t.Run("refusals beyond the budget are not retried", func(t *testing.T) {
		var b Budget
		const requests = 10000
		retries := 0
		for range requests {
			b.RequestAdmitted()
			if b.Decide(refused, CauseRefused).Failure == nil {
				retries++
			}
		}
		is.New(t).True(float64(retries) <= defaultRetryRatio*requests+defaultCapacity)
	})
	t.Run("lost attempts are retried with an empty budget", func(t *testing.T) {
		b := Budget{spent: defaultCapacity}
		assertDecision(t, b.Decide(RequestState{Repeatable: true, Lost: 1, DeliveredTokens: 5}, CauseLost), "", "")
		assertDecision(t, b.Decide(refused, CauseRefused), "overloaded", admitter.OutcomeNotRun)
	})
}
