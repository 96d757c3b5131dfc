package picker

import "time"

// RoundRobin sends to the upstreams in turn. It is a baseline for comparison.
type RoundRobin struct{}

// SampleSize implements [Policy].
func (RoundRobin) SampleSize() int { return 0 }

// Usable implements [Policy].
func (RoundRobin) Usable(time.Time, Query, *Fleet, *Upstream) bool { return true }

// Cost implements [Policy]. It is the sequence number of the last dispatch.
func (RoundRobin) Cost(_ time.Time, _ Query, _ *Fleet, c Candidate) float64 {
	return float64(c.Sequence)
}

// LeastOutstanding prefers the upstream with the fewest requests of this entry
// in flight. It is a baseline for comparison.
type LeastOutstanding struct{}

// SampleSize implements [Policy].
func (LeastOutstanding) SampleSize() int { return 0 }

// Usable implements [Policy].
func (LeastOutstanding) Usable(time.Time, Query, *Fleet, *Upstream) bool { return true }

// Cost implements [Policy]. The unit is requests in flight.
func (LeastOutstanding) Cost(_ time.Time, _ Query, _ *Fleet, c Candidate) float64 {
	return float64(c.Outstanding)
}

const (
	// zoneSampleSize is the number of candidates sampled from the zone of the
	// query, and again from all other zones. Two already avoid the longest queues;
	// more would make all entries choose the one that looked idle.
	zoneSampleSize = 2
	// loadHalfLife is the half-life of the reported load of other entries, after
	// which half of it has been replaced. A typical answer takes a few seconds.
	loadHalfLife = 2 * time.Second
	// prefillSecondsPerToken is the prefill cost of an uncached prompt token for
	// [ExpectedFirstToken].
	prefillSecondsPerToken = 60e-6
	// crossZoneSeconds is the cost of an upstream in another availability zone for
	// [ExpectedFirstToken]. It is far above the latency between zones, so that requests leave the zone of
	// the entry only when its queues are longer, but far below the target for the
	// first token.
	crossZoneSeconds = 0.05
	// fullBatchSeconds is the cost of a full batch. A partly filled batch costs the
	// corresponding share. This spreads the load below capacity, because each run
	// slows the others of its batch.
	fullBatchSeconds = 0.2
	// maxTierDelaySeconds is the bound up to which the wait of a lower tier adds
	// to the cost. A tier with a longer wait is overloaded on any upstream.
	maxTierDelaySeconds = 1
	// stallGrace is the time without progress after which an upstream counts as
	// stalled. The prefill of a whole prompt may take that long.
	stallGrace = 500 * time.Millisecond
	// suspectCostSeconds is the cost for a suspect request of each other suspect
	// in flight on an upstream. One of them may crash the upstream, and a second
	// crash would quarantine a harmless request.
	suspectCostSeconds = 5
	// defaultAnswerTokens and defaultTokenGapSeconds are the fleet averages before
	// the first observations.
	defaultAnswerTokens    = 150
	defaultTokenGapSeconds = 0.025
	// A slow upstream without requests of this entry gets a request as a probe
	// after probeIntervalUntargeted if the request has no token gap target, and
	// after probeIntervalTargeted if it has one.
	probeIntervalUntargeted = 3 * time.Second
	probeIntervalTargeted   = 15 * time.Second
)

// ExpectedFirstToken prefers the upstream with the shortest expected time to
// first token, plus the time by which a slow upstream would delay the rest of the
// answer.
type ExpectedFirstToken struct{}

// SampleSize implements [Policy].
func (ExpectedFirstToken) SampleSize() int { return zoneSampleSize }

// Usable implements [Policy]. An upstream that failed is not usable during its
// backoff. A slow upstream gets requests with a token gap target only within its
// quota.
func (ExpectedFirstToken) Usable(now time.Time, q Query, f *Fleet, u *Upstream) bool {
	if now.Before(u.BackoffUntil) {
		return false
	}
	if u.Quota == 0 || q.TokenGapTarget == 0 {
		return true
	}
	return u.Outstanding < u.Quota && (u.TokenGap <= normalGapRatio*f.TokenGap || probeDue(now, q, u))
}

// Cost implements [Policy]. The unit is seconds.
func (ExpectedFirstToken) Cost(now time.Time, q Query, f *Fleet, c Candidate) float64 {
	if probeDue(now, q, c.Upstream) {
		return 0
	}
	normal := firstPositive(f.TokenGap, defaultTokenGapSeconds)
	gap := firstPositive(c.TokenGap, normal)
	tokens := firstPositive(f.AnswerTokens, defaultAnswerTokens)
	slots := float64(max(1, c.Load.Slots))
	runs := expectedRuns(now, f, c.Upstream, slots)
	cost := expectedWait(now, q, c.Upstream, runs+1-slots, tokens*gap/slots)
	cost += lowerTierDelay(q, c.Upstream) * decay(now.Sub(c.ReportedAt), loadHalfLife)
	cost += fullBatchSeconds * min(1, runs/slots)
	// The prefill delays all runs of the batch.
	cost += max(0, float64(q.PromptTokens)-c.CachedTokens) * prefillSecondsPerToken * max(1, gap/normal) * (1 + min(runs, slots))
	cost += max(0, gap-normal) * tokens
	cost += max(0, c.FirstTokenTime-f.FirstTokenTime) * decay(now.Sub(c.LastProgress), loadHalfLife)
	if c.Outstanding > 0 {
		cost += max(0, (now.Sub(c.LastProgress) - stallGrace).Seconds())
	}
	if q.Suspect {
		cost += suspectCostSeconds * float64(c.Suspects)
	}
	if c.AvailabilityZone != q.AvailabilityZone {
		cost += crossZoneSeconds
	}
	return cost
}

// expectedRuns returns the expected number of waiting and active runs: the
// requests of this entry, and the reported runs of other entries. As the report
// ages, the fleet average replaces the reported number.
func expectedRuns(now time.Time, f *Fleet, u *Upstream, slots float64) float64 {
	freshness := 0.0
	if !u.ReportedAt.IsZero() {
		freshness = decay(now.Sub(u.ReportedAt), loadHalfLife)
	}
	return float64(u.Outstanding) + freshness*float64(u.OtherRuns) + (1-freshness)*f.OtherRunsPerSlot*slots
}

// expectedWait returns the expected time in seconds until a run starts. It blends
// the wait reported for the tier, weighted by the freshness of the report, with an
// estimate from the runs in excess of the slots. A slot becomes free every
// slotInterval seconds.
func expectedWait(now time.Time, q Query, u *Upstream, excess, slotInterval float64) float64 {
	estimated := max(0, excess) * slotInterval
	if u.ReportedAt.IsZero() || q.Tier < 1 || q.Tier > len(u.Load.ExpectedWait) {
		return estimated
	}
	sentSince := float64(max(0, u.Outstanding-u.outstandingAt(u.ReportedAt)))
	reported := float64(u.Load.ExpectedWait[q.Tier-1]) / 1000
	if reported > 0 || float64(u.Load.Active)+sentSince >= float64(u.Load.Slots) {
		reported += sentSince * slotInterval
	}
	freshness := decay(now.Sub(u.ReportedAt), loadHalfLife)
	return freshness*reported + (1-freshness)*estimated
}

// lowerTierDelay returns the sum in seconds of the reported waits of the tiers
// below the tier of a run, which the run would lengthen. Each wait counts up to
// maxTierDelaySeconds.
func lowerTierDelay(q Query, u *Upstream) float64 {
	sum := 0.0
	for _, wait := range u.Load.ExpectedWait[min(max(0, q.Tier), len(u.Load.ExpectedWait)):] {
		sum += min(maxTierDelaySeconds, float64(wait)/1000)
	}
	return sum
}

// probeDue reports whether a slow upstream without requests of this entry should
// get the request of q as a probe.
func probeDue(now time.Time, q Query, u *Upstream) bool {
	if u.Quota == 0 || u.Outstanding > 0 {
		return false
	}
	interval := probeIntervalUntargeted
	if q.TokenGapTarget > 0 {
		interval = probeIntervalTargeted
	}
	// A token is more recent evidence of the speed than the dispatch.
	return now.Sub(u.LastDispatch) >= interval && now.Sub(u.LastProgress) >= interval
}

// firstPositive returns observed if it is positive, fallback otherwise.
func firstPositive(observed, fallback float64) float64 {
	if observed > 0 {
		return observed
	}
	return fallback
}
