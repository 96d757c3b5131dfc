package picker

import "time"

// Unranked is the rank of an upstream that is not among the highest for a prefix.
const Unranked = 3

// ranking holds the upstreams that rank highest for a prefix in descending order
// of score. The zero value is empty.
type ranking [Unranked]rankedUpstream

// rankedUpstream is an upstream with its rendezvous hash for the prefix.
type rankedUpstream struct {
	upstream *Upstream
	score    uint64
}

// insert adds an upstream at the rank of its score and drops the lowest if the
// ranking is full.
func (r *ranking) insert(u *Upstream, score uint64) {
	next := rankedUpstream{u, score}
	for i, other := range r {
		if other.upstream == nil || next.score > other.score {
			r[i], next = next, other
		}
	}
}

// rankOf returns the rank of an upstream, zero for the highest score and
// [Unranked] if it is not in the ranking.
func (r *ranking) rankOf(u *Upstream) int {
	for i, other := range r {
		if other.upstream == u {
			return i
		}
	}
	return Unranked
}

// rankCandidates selects the members of the pool for long prompts and ranks the
// usable candidates for the prefix of q by rendezvous hashing, among the members if
// the prompt of q is long and among the others if not. Entries with the same
// candidates agree on both without messages.
func (p *Picker[P]) rankCandidates(now time.Time, q Query) {
	p.usable = p.usable[:0]
	for _, name := range q.Candidates {
		if u := p.upstreams[name]; p.available(now, q, u) && p.policy.Usable(now, q, &p.fleet, u) {
			p.usable = append(p.usable, u)
		}
	}
	p.pool.selectMembers(p.usable, q.LongPromptShare)
	if q.Prefix == 0 {
		return
	}
	for _, u := range p.usable {
		if p.pool.matches(u, q.LongPrompt) {
			p.ranking.insert(u, mix(q.Prefix^u.hash()))
		}
	}
}

// maxSourceAge is the age up to which a recorded holder is preferred to the
// ranking as a cache source.
const maxSourceAge = 10 * time.Second

// minSourceProbability is the probability that a recorded holder still has the prefix from
// which it is preferred to the ranking. Where it has not, the prefix is prefilled again.
const minSourceProbability = 0.25

// CacheSource returns the upstream from which the chosen upstream should copy the
// cached prefix of q: the one that served the prefix last according to the prefix
// table, otherwise the one that ranks highest. It uses the ranking of the last
// [Picker.Pick], which must have been for q.
func (p *Picker[P]) CacheSource(now time.Time, q Query, chosen string) (string, bool) {
	if q.Prefix == 0 {
		return "", false
	}
	var last holder
	if all := p.prefixes.get(q.Prefix); all != nil {
		for _, h := range all {
			recent := now.Sub(h.at) < maxSourceAge && h.at.After(last.at)
			if recent && h.upstream != chosen && p.copyProbability(now, q, h) >= minSourceProbability {
				last = h
			}
		}
	}
	if last.upstream != "" {
		return last.upstream, true
	}
	for _, r := range p.ranking {
		if r.upstream != nil && r.upstream.Name != chosen {
			return r.upstream.Name, true
		}
	}
	return "", false
}
