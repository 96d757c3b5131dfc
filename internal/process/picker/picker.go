// Package picker is the load balancer of an entry: it selects the upstream for a
// request.
//
// It is a decision package: it does no I/O and gets the time as an argument. Its
// table holds the state of each upstream: the last load report of its agent, the
// requests of this entry in flight, its speed, and whether it is connected or
// leaving. A second table records the upstreams that last served a prompt prefix,
// since these need not prefill the prefix again.
//
// The policy, a type parameter, computes a cost for each candidate; the lowest
// cost wins. [ExpectedFirstToken] is for upstreams with an agent that reports
// their load; [LeastBacklog] is for upstreams that entries call directly;
// [RoundRobin] and [LeastOutstanding] are baselines for comparison.
//
// A load report describes a past state. The picker knows the requests of its own
// entry exactly, so it uses a report only for the load of other entries and
// discounts this load with the age of the report. Entries with the same report
// still choose differently, because each compares a few candidates sampled at
// random (Mitzenmacher, 2001, on the power of two choices).
//
// # Usage
//
//	p := picker.New[picker.ExpectedFirstToken](seed)
//	p.Step(now, picker.Event{Kind: picker.EventLoad, Upstream: "desk-1", Load: l})
//	name, ok := p.Pick(now, picker.Query{Candidates: names, AvailabilityZone: "stowe"})
//	p.Step(now, picker.Event{Kind: picker.EventSent, Upstream: name})
package picker

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Policy computes which upstreams may get a request, and at which cost.
type Policy interface {
	// SampleSize returns the number of candidates to compare from the zone of the
	// query, and again from all other zones. Zero means all candidates.
	SampleSize() int
	// Usable reports whether u may get the request. If no candidate is usable,
	// all available candidates are compared.
	Usable(now time.Time, q Query, f *Fleet, u *Upstream) bool
	// Cost returns the cost of a candidate in a unit that the policy defines. A
	// lower cost is better.
	Cost(now time.Time, q Query, f *Fleet, c Candidate) float64
}

// Candidate is an upstream that may get the request of a query.
type Candidate struct {
	*Upstream
	// CachedTokens is the expected number of prompt tokens of the query in the
	// cache of the upstream.
	CachedTokens float64
	// Rank is the rank of the upstream for the prefix of the query, on which all
	// entries agree: zero for the preferred upstream, then its alternatives in
	// order. It is [Unranked] for all others.
	Rank int
	// Copyable is the probability that the prefix of the query can be copied from an
	// upstream that served it, which may be the candidate itself.
	Copyable float64
	// PoolMatch is false if the upstream is in the pool for long prompts and the
	// query has a short one, or the reverse.
	PoolMatch bool
}

// Picker holds the table of upstreams and the prefix table of an entry. Create it
// with [New].
type Picker[P Policy] struct {
	policy    P
	fleet     Fleet
	upstreams map[string]*Upstream
	prefixes  prefixTable
	// random draws from source, which [Picker.Fork] copies.
	random     *rand.Rand
	source     *rand.PCG
	dispatches uint64
	// sameZone and otherZones are the candidates that the current Pick has sampled
	// from the zone of the query and from all other zones.
	sameZone, otherZones reservoir
	// prefixHolders are the upstreams that served the prefix of the current Pick,
	// and ranking has the upstreams that rank highest for it.
	prefixHolders []*Upstream
	ranking       ranking
	// copyable is the probability that the prefix of the current Pick can be copied.
	copyable float64
	pool     longPromptPool
	// usable is a buffer for the usable candidates of the current Pick.
	usable []*Upstream
}

// New returns a picker without upstreams. Its random choices are determined by
// seed.
func New[P Policy](seed uint64) *Picker[P] {
	source := rand.NewPCG(seed, 1)
	return &Picker[P]{upstreams: map[string]*Upstream{}, random: rand.New(source), source: source}
}

// Step updates the tables with one event.
func (p *Picker[P]) Step(now time.Time, e Event) {
	u := p.upstreams[e.Upstream]
	if u == nil {
		u = &Upstream{Name: e.Upstream}
		p.upstreams[e.Upstream] = u
	}
	if e.At.IsZero() {
		e.At = now
	}
	switch e.Kind {
	case EventLoad:
		if u.updateLoad(e.At, e.Load) {
			p.fleet.recordLoad(u)
		}
	case EventSent:
		p.dispatches++
		u.recordDispatch(now, p.dispatches)
		u.changeSuspects(e.Suspect, 1)
		u.changeDeferred(e.Deferred, 1)
		u.PendingTokens += e.PromptTokens
		p.prefixes.store(now, e.Prefix, u.Name, false)
	case EventFirstToken:
		p.prefixes.store(now, e.Prefix, u.Name, true)
		u.changeDeferred(e.Deferred, -1)
		u.recordFirstToken(now, e.Elapsed)
		u.removePending(e.PromptTokens)
		p.fleet.recordFirstToken(e.Elapsed)
	case EventTokens:
		p.fleet.recordGap(e.Elapsed, e.Tokens)
		u.recordGap(now, e.Elapsed, e.Tokens, &p.fleet)
	case EventEnded:
		u.recordEnd(now, e.Tokens, &p.fleet)
		p.fleet.recordRunTime(e.Elapsed)
		u.removePending(e.PromptTokens)
		u.recordResult(e.Failed, &p.fleet)
		u.changeSuspects(e.Suspect, -1)
		u.changeDeferred(e.Deferred, -1)
		p.fleet.recordAnswerTokens(e.Tokens)
	case EventLost:
		u.recordLoss(now)
		u.removePending(e.PromptTokens)
		u.recordResult(true, &p.fleet)
		u.changeSuspects(e.Suspect, -1)
		u.changeDeferred(e.Deferred, -1)
	case EventWithdrawn:
		u.setOutstanding(now, u.Outstanding-1)
		u.removePending(e.PromptTokens)
		u.changeSuspects(e.Suspect, -1)
		u.changeDeferred(e.Deferred, -1)
	case EventSilent:
		u.beginBackoff(now)
	case EventConnected:
		u.Connected, u.Leaving, u.AvailabilityZone, u.Slots = true, false, e.AvailabilityZone, e.Slots
	case EventDisconnected:
		*u = Upstream{Name: u.Name, AvailabilityZone: u.AvailabilityZone, BackoffUntil: u.BackoffUntil, HeldBackUntil: u.HeldBackUntil, failures: u.failures}
	case EventLeaving:
		u.Leaving = true
	case EventCached:
		p.prefixes.store(e.At, e.Prefix, u.Name, true)
	case EventUncached:
		p.prefixes.remove(e.At, e.Prefix, u.Name)
	case EventShared:
		u.SharedRuns = max(0, u.SharedRuns+e.RunsDelta)
		u.SharedPendingTokens = max(0, u.SharedPendingTokens+e.PromptTokens)
	case EventDoubted:
		u.recordDoubt(now, e.Entry)
	case EventHeldBack:
		u.holdBack(e.At.Add(e.RetryAfter))
	}
}

// RemoveIdle deletes the leaving upstreams without requests of this entry in flight.
// One that is held back or in backoff is kept for that time, since it may return.
func (p *Picker[P]) RemoveIdle(now time.Time) {
	for name, u := range p.upstreams {
		if u.Leaving && u.Outstanding == 0 && !u.IsHeldBack(now) && !now.Before(u.BackoffUntil) {
			delete(p.upstreams, name)
		}
	}
}

// Upstream returns the state of an upstream, nil if the upstream is unknown. The
// caller must not change it.
func (p *Picker[P]) Upstream(name string) *Upstream { return p.upstreams[name] }

// maxScannedCandidates is the maximum number of candidates that Pick examines as
// long as one of them is usable. From a longer list it draws this many at random,
// with replacement. With 3,500 known upstreams a candidate takes about 130 ns, so
// that 512 candidates took 69 µs, above the limit of 50 µs for one Pick.
const maxScannedCandidates = 192

// deferredSampleSize is the number of upstreams of the own zone, and again of all others,
// that are compared for a deferred request.
const deferredSampleSize = 3

// Pick returns the upstream with the lowest cost among the sampled candidates and
// the candidates that served the prefix. Only candidates that are connected, not
// leaving, not held back and not excluded are compared. It returns false if there is none.
func (p *Picker[P]) Pick(now time.Time, q Query) (string, bool) {
	sample := p.policy.SampleSize()
	if sample == 0 || q.Suspect {
		sample = len(q.Candidates)
	}
	if q.Deferred {
		sample = deferredSampleSize
	}
	p.sameZone.reset(sample)
	p.otherZones.reset(sample)
	scanned := min(len(q.Candidates), maxScannedCandidates)
	for i := range scanned {
		if len(q.Candidates) > maxScannedCandidates {
			i = p.random.IntN(len(q.Candidates))
		}
		p.sample(now, q, p.upstreams[q.Candidates[i]], true)
	}
	p.prefixHolders = p.prefixHolders[:0]
	if !q.Deferred {
		p.findPrefixHolders(now, q)
	}
	p.copyable = p.copyableProbability(now, q)
	p.ranking, p.pool.members = ranking{}, p.pool.members[:0]
	if len(q.Candidates) <= maxScannedCandidates {
		p.rankCandidates(now, q)
	}
	if len(p.sameZone.items)+len(p.otherZones.items)+len(p.prefixHolders) == 0 {
		for _, name := range q.Candidates {
			p.sample(now, q, p.upstreams[name], false)
		}
	}
	return p.lowestCost(now, q)
}

// sample adds u to the reservoir of its zone if u is available. With usableOnly, u
// must also be usable for the policy.
func (p *Picker[P]) sample(now time.Time, q Query, u *Upstream, usableOnly bool) {
	if !p.available(now, q, u) || usableOnly && !p.policy.Usable(now, q, &p.fleet, u) {
		return
	}
	if u.AvailabilityZone == q.AvailabilityZone {
		p.sameZone.add(p.random, u)
		return
	}
	p.otherZones.add(p.random, u)
}

// available reports whether u is connected, not leaving, not held back and not
// excluded.
func (p *Picker[P]) available(now time.Time, q Query, u *Upstream) bool {
	return u != nil && u.Connected && !u.Leaving && !u.IsHeldBack(now) && !slices.Contains(q.Exclude, u.Name)
}

// findPrefixHolders sets prefixHolders to the usable candidates that served the
// prefix of q.
func (p *Picker[P]) findPrefixHolders(now time.Time, q Query) {
	p.prefixHolders = p.prefixHolders[:0]
	all := p.prefixes.get(q.Prefix)
	if all == nil {
		return
	}
	for _, h := range all {
		u := p.upstreams[h.upstream]
		if p.available(now, q, u) && p.policy.Usable(now, q, &p.fleet, u) && slices.Contains(q.Candidates, u.Name) {
			p.prefixHolders = append(p.prefixHolders, u)
		}
	}
}

// lowestCost returns the sampled candidate or prefix holder with the lowest cost.
func (p *Picker[P]) lowestCost(now time.Time, q Query) (string, bool) {
	var best *Upstream
	lowest, ties := 0.0, 0
	evaluate := func(u *Upstream) {
		c := p.candidate(now, q, u)
		cost := p.policy.Cost(now, q, &p.fleet, c)
		switch {
		case best == nil || cost < lowest:
			best, lowest, ties = u, cost, 1
		case cost == lowest:
			// Ties are broken uniformly at random.
			if ties++; p.random.IntN(ties) == 0 {
				best = u
			}
		}
	}
	for _, u := range p.prefixHolders {
		evaluate(u)
	}
	for _, u := range p.sameZone.items {
		evaluate(u)
	}
	for _, u := range p.otherZones.items {
		evaluate(u)
	}
	if best == nil {
		return "", false
	}
	return best.Name, true
}

// candidate describes an upstream to the policy.
func (p *Picker[P]) candidate(now time.Time, q Query, u *Upstream) Candidate {
	return Candidate{
		Upstream: u, CachedTokens: p.prefixes.cachedTokens(now, q, u.Name), Rank: p.ranking.rankOf(u),
		Copyable: p.copyable, PoolMatch: p.pool.matches(u, q.LongPrompt),
	}
}
