package picker

import "time"

// CostParts are the parts in seconds of the cost of a candidate for [LeastBacklog].
type CostParts struct {
	// Backlog is the cost of the prompt tokens that wait for prefill, and Prefill that of
	// the tokens of the request itself.
	Backlog, Prefill float64
	// Rank is the reduction for a rank for the prefix. It is not positive.
	Rank float64
	// Runs is the cost of the requests in flight, and Slots that of the wait for a slot.
	Runs, Slots float64
	// Failures, Stall, FirstToken and Doubts are the costs of an upstream that fails
	// requests, makes no progress, begins answers late or was lost by other entries.
	Failures, Stall, FirstToken, Doubts float64
	// Suspects is the cost of other suspect requests on the upstream, for a suspect one.
	Suspects float64
	// Pool is the cost of a long prompt outside the pool or a short one in it.
	Pool float64
	// Deferred is the cost of the other deferred requests, for a deferred one.
	Deferred float64
	// CrossZone is the cost of an upstream in another availability zone.
	CrossZone float64
}

// Total returns the sum of all parts.
func (p CostParts) Total() float64 {
	return p.Backlog + p.Prefill + p.Rank + p.Runs + p.Slots + p.Failures + p.Stall + p.FirstToken +
		p.Suspects + p.Pool + p.Doubts + p.Deferred + p.CrossZone
}

// CostParts returns the parts of the cost of a candidate.
func (LeastBacklog) CostParts(now time.Time, q Query, f *Fleet, c Candidate) CostParts {
	perToken := q.secondsPerToken()
	wait := float64(c.PendingTokens+c.SharedPendingTokens) * perToken
	parts := CostParts{
		Backlog:  discountedWaitWeight*wait + max(0, wait-discountedWaitShare*q.LatencyTarget.Seconds()),
		Prefill:  c.prefillTokens(q) * perToken,
		Runs:     float64(c.Outstanding+c.SharedRuns) * outstandingCostSeconds,
		Slots:    slotWait(f, c.Upstream, q.Deferrable),
		Failures: failureCostSeconds * max(0, c.FailureRate-f.FailureRate-failureRateMargin),
		Pool:     poolMismatchCost(q, c),
		Doubts:   doubtCostSeconds * float64(c.doubtsAt(now)),
	}
	if c.Rank < Unranked {
		parts.Rank = -rankBonusSeconds / float64(int(1)<<c.Rank)
	}
	if c.Outstanding > 0 {
		parts.Stall = stallCostPerSecond * max(0, (now.Sub(c.LastProgress)-stallGrace).Seconds())
	}
	if f.FirstTokenTime > 0 {
		parts.FirstToken = max(0, c.FirstTokenTime-2*f.FirstTokenTime) * decay(now.Sub(c.LastProgress), loadHalfLife)
	}
	if q.Suspect {
		parts.Suspects = suspectCostSeconds * float64(c.Suspects)
	}
	if q.Deferred {
		parts.Deferred = float64(c.Deferred) * deferredCostSeconds
	}
	if c.AvailabilityZone != q.AvailabilityZone {
		parts.CrossZone = backlogCrossZoneSeconds
	}
	return parts
}
