package picker

import "time"

const (
	// defaultSecondsPerToken is the prefill time of one prompt token that [LeastBacklog]
	// assumes if the query has none. Engines prefill about 50 to 200 tokens per
	// millisecond.
	defaultSecondsPerToken = 7e-6
	// outstandingCostSeconds is the cost of each request in flight: it slows the
	// other runs of its batch or, on a plain service, occupies a slot.
	outstandingCostSeconds = 0.0005
	// backlogCrossZoneSeconds is the cost of an upstream in another availability
	// zone. The latency between zones of a region is about 1 ms each way.
	backlogCrossZoneSeconds = 0.002
	// failureCostSeconds is the cost of an upstream whose requests all fail while
	// the requests to the other upstreams succeed. It outweighs any queue with
	// which a latency target can still be met.
	failureCostSeconds = 2
	// failureRateMargin is the excess over the failure rate of the fleet that is
	// attributed to chance.
	failureRateMargin = 0.1
	// deferredCostSeconds is the cost of each deferred request of this entry that waits
	// at an upstream, for another one.
	deferredCostSeconds = 0.1
	// doubtCostSeconds is the cost of each other entry, up to maxDoubts, that has recently
	// lost the upstream or could not connect to it. An entry that alone is cut off from an
	// upstream must not keep the others away from it.
	doubtCostSeconds = 0.1
	// stallCostPerSecond is the cost in seconds of each second without progress
	// beyond stallGrace.
	stallCostPerSecond = 0.5
	// shortPromptMismatchSeconds is the cost of sending a short prompt to an upstream
	// of the pool for long ones, where it waits for them. spilloverSeconds is the
	// cost of sending a long prompt to an upstream outside the pool.
	shortPromptMismatchSeconds = 0.25
	spilloverSeconds           = 0.05
	// spilloverDeniedSeconds is the cost of sending it to one where it would make gaps
	// too long. It keeps the request away.
	spilloverDeniedSeconds = 5
	// preferredCachedShare is the share of a prefix that the preferred upstream is
	// expected to have in its cache before this entry has sent the prefix there.
	preferredCachedShare = 0.9
	// rankBonusSeconds is the cost reduction for the upstream that ranks first for
	// the prefix. It halves with each further rank.
	rankBonusSeconds = 0.04
	// discountedWaitShare is the share of the latency target up to which the
	// backlog counts only with discountedWaitWeight. Its excess is also added with
	// weight one.
	discountedWaitShare  = 0.5
	discountedWaitWeight = 0.1
	// reservedSlotDivisor sets the share of the slots, one in so many, that is
	// reserved for requests that are not deferrable. Without free slots, more urgent
	// requests preempt running ones, whose prompts must then be prefilled again.
	reservedSlotDivisor = 8
	// copyTimeShare is the time to copy a cached token from another engine, as a share of
	// the time to prefill it.
	copyTimeShare = 0.15
	// recordedCacheWeight is the weight of a prefix that is recorded as cached on
	// an upstream other than the preferred one. It is below one because copies on
	// many upstreams evict other prefixes.
	recordedCacheWeight = 0.9
)

// LeastBacklog prefers the upstream with the smallest backlog: the prompt tokens
// that wait for prefill and the requests in flight, of this entry and as reported
// by the other entries. It is for upstreams without an agent, whose load is not
// reported otherwise. It sends a prompt prefix to the upstreams that rank highest
// for it as long as their backlog takes no longer than the prefill of the prefix
// elsewhere, and separates long prompts from the other requests.
type LeastBacklog struct{}

// SampleSize implements [Policy].
func (LeastBacklog) SampleSize() int { return 0 }

// Usable implements [Policy].
func (LeastBacklog) Usable(now time.Time, _ Query, _ *Fleet, u *Upstream) bool {
	return !now.Before(u.BackoffUntil)
}

// Cost implements [Policy]. The unit is seconds.
func (l LeastBacklog) Cost(now time.Time, q Query, f *Fleet, c Candidate) float64 {
	return l.CostParts(now, q, f, c).Total()
}

// secondsPerToken returns the prefill time of a prompt token in seconds.
func (q Query) secondsPerToken() float64 {
	if q.PrefillPerToken > 0 {
		return q.PrefillPerToken.Seconds()
	}
	return defaultSecondsPerToken
}

// prefillTokens returns the expected number of tokens of the prompt that the candidate has
// to prefill. What it must copy from another upstream counts with the time of the copy.
func (c Candidate) prefillTokens(q Query) float64 {
	cached := c.expectedCachedTokens(q)
	missing := max(0, float64(q.PrefixTokens)-cached)
	saved := missing * c.Copyable * (1 - copyTimeShare)
	return float64(q.PromptTokens) - cached - saved
}

// PrefillTokens returns the expected number of tokens of the prompt of q that an upstream
// has to prefill. It uses the ranking of the last [Picker.Pick], which must have been for q.
func (p *Picker[P]) PrefillTokens(now time.Time, q Query, upstream string) int {
	u := p.upstreams[upstream]
	if u == nil {
		return q.PromptTokens
	}
	return int(p.candidate(now, q, u).prefillTokens(q))
}

// expectedCachedTokens returns the number of tokens of the prompt that the candidate need
// not prefill.
func (c Candidate) expectedCachedTokens(q Query) float64 {
	cached := recordedCacheWeight * c.CachedTokens
	if c.Rank == 0 {
		cached = max(cached, preferredCachedShare*float64(q.PrefixTokens))
	}
	return cached
}

// poolMismatchCost returns the cost in seconds of sending a long prompt outside the
// pool, or a short one into it.
func poolMismatchCost(q Query, c Candidate) float64 {
	switch {
	case c.PoolMatch:
		return 0
	case !q.LongPrompt:
		return shortPromptMismatchSeconds
	case c.PendingTokens+c.SharedPendingTokens+int(c.prefillTokens(q)) > q.MaxSpilloverTokens:
		return spilloverDeniedSeconds
	}
	return spilloverSeconds
}

// slotWait returns the expected time in seconds until a slot is free. On average
// a slot becomes free every run time divided by the number of slots.
func slotWait(f *Fleet, u *Upstream, deferrable bool) float64 {
	if u.Slots == 0 {
		return 0
	}
	slots := u.Slots
	if deferrable {
		slots -= u.Slots / reservedSlotDivisor
	}
	excess := u.Runs() + 1 - slots
	return f.RunTime * float64(max(0, excess)) / float64(u.Slots)
}

// ExpectedWait returns the expected time until the upstream begins the prefill of
// the request of q, zero if the upstream is unknown. It uses the estimates of
// [LeastBacklog] whatever the policy. A deferrable request cannot use the reserved
// slots.
func (p *Picker[P]) ExpectedWait(q Query, upstream string) time.Duration {
	u := p.upstreams[upstream]
	if u == nil {
		return 0
	}
	wait := float64(u.PendingTokens+u.SharedPendingTokens)*q.secondsPerToken() + slotWait(&p.fleet, u, q.Deferrable)
	return time.Duration(wait * float64(time.Second))
}
