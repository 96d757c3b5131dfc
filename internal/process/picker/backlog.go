package picker

import "time"

const (
	// tokenTime is the time in seconds in which an engine reads one prompt token,
	// of the order of 100 to 200 tokens a millisecond that engines reach.
	tokenTime = 7e-6
	// runTime is the cost in seconds of a request in flight. It is the time by
	// which one more run slows the others of a batch, or holds a slot of a plain
	// service.
	runTime = 0.0005
	// otherZone is the cost in seconds of another availability zone. The latency
	// between zones of a region is about 1 ms each way.
	otherZone = 0.002
	// errorCost is the cost in seconds of an upstream whose requests all fail
	// while those of the others do not. It outweighs any queue that can still
	// meet a target.
	errorCost = 2
	// errorMargin is the share of failures above that of the service that may be
	// chance.
	errorMargin = 0.1
	// stallCost is the cost in seconds for each second of silence beyond
	// stallGrace.
	stallCost = 0.5
	// laneCost is the cost in seconds for a hurried request of an upstream of the
	// lane, where most of them have pauses that are too long. borrowCost is that
	// for a patient request of an upstream of the others.
	laneCost   = 0.25
	borrowCost = 0.05
	// spillTokens is the number of pending prompt tokens up to which a patient
	// request may go to an upstream of the others. Reading them takes less than
	// the shortest pauses that callers accept. spillCost in seconds keeps it from
	// there otherwise.
	spillTokens = 16_000
	spillCost   = 5
	// preferredCached is the share of a prefix that the preferred upstream is
	// expected to have in its cache before this entry has sent it there.
	preferredCached = 0.9
	// firstBonus is the worth in seconds of keeping a prefix in the first place of
	// its ranking. It halves with each further place.
	firstBonus = 0.04
	// waitShare is the part of the target that the backlog may take before it
	// counts in full, and waitWeight its weight below that.
	waitShare  = 0.5
	waitWeight = 0.1
	// reservedSlots is the part of the slots, one in so many, that requests whose
	// pauses may be long leave to the others. More urgent requests take the place
	// of running ones, which must read their prompts again.
	reservedSlots = 8
	// learnedCached is the weight of a prefix that is known to be cached elsewhere
	// than where all entries prefer it. Copies on many upstreams crowd out others.
	learnedCached = 0.9
)

// LeastBacklog prefers the upstream with the least work in front of a request:
// prompt tokens that wait to be read, and requests in flight, of this entry and
// of those that have told it of theirs. It is for upstreams without an agent,
// whose load nobody else reports. It keeps a prompt prefix on the first upstreams
// of its ranking as long as the backlog there is not longer than reading the
// prefix elsewhere, and long prompts apart from requests whose pauses must be
// short.
type LeastBacklog struct{}

// Sample implements [Policy].
func (LeastBacklog) Sample() int { return 0 }

// Usable implements [Policy].
func (LeastBacklog) Usable(now time.Time, _ Query, _ *Fleet, u *Upstream) bool {
	return !now.Before(u.AvoidUntil)
}

// Cost implements [Policy]. It is in seconds.
func (LeastBacklog) Cost(now time.Time, q Query, f *Fleet, c Candidate) float64 {
	cached := learnedCached * c.CachedTokens
	if c.Rank == 0 {
		cached = max(cached, preferredCached*float64(q.PrefixTokens))
	}
	wait := float64(c.Pending+c.SharedPending) * tokenTime
	runs := c.Outstanding + c.SharedRuns
	cost := waitWeight*wait + max(0, wait-waitShare*q.Target.Seconds())
	cost += (float64(q.PromptTokens) - cached) * tokenTime
	if c.Rank < Unranked {
		cost -= firstBonus / float64(int(1)<<c.Rank)
	}
	cost += float64(runs) * runTime
	cost += slotWait(f, c.Upstream, q.Patient)
	cost += errorCost * max(0, c.Errors-f.Errors-errorMargin)
	if c.Outstanding > 0 {
		cost += stallCost * max(0, (now.Sub(c.Progress)-stallGrace).Seconds())
	}
	if f.FirstToken > 0 {
		cost += max(0, c.FirstToken-2*f.FirstToken) * fade(now.Sub(c.Progress), loadHalfLife)
	}
	if q.Suspect {
		cost += sharedSuspects * float64(c.Suspects)
	}
	cost += crossing(q, c)
	if c.AvailabilityZone != q.AvailabilityZone {
		cost += otherZone
	}
	return cost
}

// crossing returns the cost in seconds of an upstream that belongs to requests of
// the other kind.
func crossing(q Query, c Candidate) float64 {
	switch {
	case c.Fits:
		return 0
	case !q.Patient:
		return laneCost
	case c.Pending+c.SharedPending+q.PromptTokens > spillTokens:
		return spillCost
	}
	return borrowCost
}

// slotWait returns the expected time in seconds until a slot is free. One run
// ends, on average, in the time of a run divided by the slots.
func slotWait(f *Fleet, u *Upstream, patient bool) float64 {
	if u.Slots == 0 {
		return 0
	}
	slots := u.Slots
	if patient {
		slots -= u.Slots / reservedSlots
	}
	over := u.Outstanding + u.SharedRuns + 1 - slots
	return f.Run * float64(max(0, over)) / float64(u.Slots)
}

// Wait returns the expected time until the upstream begins to read the prompt of
// a request of this kind.
func (p *Picker[P]) Wait(upstream string, patient bool) time.Duration {
	u := p.upstreams[upstream]
	if u == nil {
		return 0
	}
	wait := float64(u.Pending+u.SharedPending)*tokenTime + slotWait(&p.fleet, u, patient)
	return time.Duration(wait * float64(time.Second))
}
