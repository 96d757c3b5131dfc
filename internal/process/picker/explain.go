package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// MaxCandidateReports is the maximum number of candidates that [Picker.Explain] returns.
const MaxCandidateReports = 32

// Exclusion is the reason for which a candidate was not compared with the others.
type Exclusion string

// The exclusions. NotExcluded means that the candidate was compared.
const (
	NotExcluded          Exclusion = ""
	ExcludedNotConnected Exclusion = "not_connected"
	ExcludedLeaving      Exclusion = "leaving"
	ExcludedHeldBack     Exclusion = "held_back"
	ExcludedByQuery      Exclusion = "excluded"
	ExcludedBackoff      Exclusion = "in_backoff"
	// ExcludedNotSampled means that the candidate was not in the random sample of a long
	// list.
	ExcludedNotSampled Exclusion = "not_sampled"
)

// CandidateReport describes a candidate of a query and its cost. An upstream that is not
// connected has neither cost nor load.
type CandidateReport struct {
	Upstream         string
	AvailabilityZone string
	Exclusion        Exclusion
	// Cost is the cost by the policy. Parts are set if the policy is [LeastBacklog].
	Cost  float64
	Parts CostParts
	// Outstanding, PendingTokens, SharedRuns, SharedPendingTokens and Slots have the
	// values of [Upstream].
	Outstanding, PendingTokens      int
	SharedRuns, SharedPendingTokens int
	Slots                           int
	// PrefillTokens is the expected number of prompt tokens to prefill, and CachedTokens
	// that of the tokens that the prefix table records as cached.
	PrefillTokens, CachedTokens int
	// ExpectedWait is the time until the prefill is expected to begin.
	ExpectedWait time.Duration
	Doubts       int
	// Rank is the rank for the prefix, [Unranked] for none.
	Rank int
	// InPool is true for a member of the pool for long prompts.
	InPool bool
}

// costDivider is implemented by a policy that can divide its cost into parts.
type costDivider interface {
	CostParts(now time.Time, q Query, f *Fleet, c Candidate) CostParts
}

// Fork returns a picker for trial picks, which begin with the same random choices as those
// of p and do not change p. It shares the table of upstreams: neither may get events while
// the fork is used.
func (p *Picker[P]) Fork() *Picker[P] {
	source := *p.source
	fork := *p
	fork.source, fork.random = &source, rand.New(&source)
	fork.sameZone, fork.otherZones = reservoir{}, reservoir{}
	fork.prefixHolders, fork.usable, fork.pool.members, fork.pool.ranked = nil, nil, nil, nil
	return &fork
}

// Explain reports on the candidates of q and on leaving upstreams: those that were
// compared first, by cost, and at most [MaxCandidateReports]. It uses the sample and the
// ranking of the last [Picker.Pick], which must have been for q.
func (p *Picker[P]) Explain(now time.Time, q Query) []CandidateReport {
	compared := map[*Upstream]bool{}
	for _, all := range [][]*Upstream{p.prefixHolders, p.sameZone.items, p.otherZones.items} {
		for _, u := range all {
			compared[u] = true
		}
	}
	reports := make([]CandidateReport, 0, len(q.Candidates))
	for _, name := range q.Candidates {
		reports = append(reports, p.report(now, q, name, compared))
	}
	for name, u := range p.upstreams {
		if u.Leaving && !slices.Contains(q.Candidates, name) {
			reports = append(reports, p.report(now, q, name, compared))
		}
	}
	slices.SortFunc(reports, compareReports)
	return reports[:min(len(reports), MaxCandidateReports)]
}

// compareReports orders compared candidates before excluded ones, then by cost and name.
func compareReports(a, b CandidateReport) int {
	return cmp.Or(
		cmp.Compare(min(1, len(a.Exclusion)), min(1, len(b.Exclusion))),
		cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Upstream, b.Upstream),
	)
}

// report describes one candidate.
func (p *Picker[P]) report(now time.Time, q Query, name string, compared map[*Upstream]bool) CandidateReport {
	u := p.upstreams[name]
	if u == nil {
		return CandidateReport{Upstream: name, Exclusion: ExcludedNotConnected, Rank: Unranked}
	}
	c := p.candidate(now, q, u)
	r := CandidateReport{
		Upstream: name, AvailabilityZone: u.AvailabilityZone, Cost: p.policy.Cost(now, q, &p.fleet, c),
		Outstanding: u.Outstanding, PendingTokens: u.PendingTokens, Slots: u.Slots,
		SharedRuns: u.SharedRuns, SharedPendingTokens: u.SharedPendingTokens,
		PrefillTokens: int(c.prefillTokens(q)), CachedTokens: int(c.CachedTokens), ExpectedWait: p.ExpectedWait(q, name),
		Doubts: u.doubtsAt(now), Rank: c.Rank, InPool: slices.Contains(p.pool.members, u),
	}
	if d, ok := any(p.policy).(costDivider); ok {
		r.Parts = d.CostParts(now, q, &p.fleet, c)
	}
	if !compared[u] {
		r.Exclusion = p.exclusion(now, q, u)
	}
	return r
}

// exclusion returns the reason for which u was not compared.
func (p *Picker[P]) exclusion(now time.Time, q Query, u *Upstream) Exclusion {
	switch {
	case u.Leaving:
		return ExcludedLeaving
	case !u.Connected:
		return ExcludedNotConnected
	case u.IsHeldBack(now):
		return ExcludedHeldBack
	case slices.Contains(q.Exclude, u.Name):
		return ExcludedByQuery
	case !p.policy.Usable(now, q, &p.fleet, u):
		return ExcludedBackoff
	}
	return ExcludedNotSampled
}
