package picker

import "time"

// Unranked is the rank of an upstream that is none of the first for a prefix.
const Unranked = 3

// ranking holds the upstreams that rank highest for a prefix, the first at the
// beginning. The zero value is empty.
type ranking [Unranked]place

type place struct {
	upstream *Upstream
	score    uint64
}

// add takes in an upstream with its score for the prefix.
func (r *ranking) add(u *Upstream, score uint64) {
	next := place{u, score}
	for i, p := range r {
		if p.upstream == nil || next.score > p.score {
			r[i], next = next, p
		}
	}
}

// of returns the rank of an upstream.
func (r *ranking) of(u *Upstream) int {
	for i, p := range r {
		if p.upstream == u {
			return i
		}
	}
	return Unranked
}

// rank finds the members of the lane, and the usable candidates that rank
// highest for the prefix of q by rendezvous hashing among those where q belongs.
// Entries that see the same candidates agree on them without a message.
func (p *Picker[P]) rank(now time.Time, q Query) {
	p.usable = p.usable[:0]
	for _, name := range q.Candidates {
		if u := p.upstreams[name]; p.open(q, u) && p.policy.Usable(now, q, &p.fleet, u) {
			p.usable = append(p.usable, u)
		}
	}
	p.lane.choose(p.usable)
	if q.Prefix == 0 {
		return
	}
	for _, u := range p.usable {
		if p.lane.fits(u, q.Patient) {
			p.ranking.add(u, mix(q.Prefix^u.hash()))
		}
	}
}

// sourceAge is the age up to which the record of a holder goes before the
// ranking.
const sourceAge = 10 * time.Second

// Source returns the upstream from which the one that Pick has just chosen can
// best copy what is cached of the prefix of q: the one that got it last, as far
// as this entry knows, otherwise the first of the ranking.
func (p *Picker[P]) Source(now time.Time, q Query, chosen string) (string, bool) {
	if q.Prefix == 0 {
		return "", false
	}
	var last holder
	if all := p.prefixes.get(q.Prefix); all != nil {
		for _, h := range all {
			if h.upstream != chosen && now.Sub(h.at) < sourceAge && h.at.After(last.at) && p.open(q, p.upstreams[h.upstream]) {
				last = h
			}
		}
	}
	if last.upstream != "" {
		return last.upstream, true
	}
	for _, place := range p.ranking {
		if place.upstream != nil && place.upstream.Name != chosen {
			return place.upstream.Name, true
		}
	}
	return "", false
}
