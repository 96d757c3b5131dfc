package picker

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
