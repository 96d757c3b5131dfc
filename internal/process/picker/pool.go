package picker

import (
	"cmp"
	"math"
	"slices"
)

// The prefill of a long prompt delays the tokens of all requests in the same
// batch. Requests with long prompts are therefore sent to a dedicated pool of
// upstreams, as long as these are not much busier than the others. Entries agree on
// the pool without messages: its members are the upstreams that rank highest for a
// fixed key, and its size follows from the share in the query, which is similar at
// all entries. Two entries whose pool sizes differ by one still agree on all other
// members.

const (
	// poolKey is the hash key by which the upstreams of the pool are ranked.
	poolKey = 0x9e3779b97f4a7c15
	// poolStepHysteresis is the distance in steps by which the share must differ from
	// the current step before the pool is resized, so that the pool does not change
	// with every burst.
	poolStepHysteresis = 0.75
	// minPoolUpstreams is the minimum number of usable upstreams for a separate
	// pool.
	minPoolUpstreams = 3
	// poolSteps is the number of steps between no pool and all upstreams. Coarse
	// steps let entries agree on the size.
	poolSteps = 8
)

// longPromptPool is the pool of upstreams for requests with long prompts. The zero
// value is an empty pool.
type longPromptPool struct {
	size int
	// step is the size as a number of poolSteps, zero before the first resize.
	step int
	// members are the upstreams of the pool during the current Pick.
	members []*Upstream
	// ranked is a buffer in which selectMembers sorts the usable upstreams.
	ranked []*Upstream
}

// resize sets and returns the size of the pool among n usable upstreams.
func (t *longPromptPool) resize(n int, share float64) int {
	if n < minPoolUpstreams || share <= 0 || share >= 1 {
		t.size = 0
		return 0
	}
	step := int(math.Round(share * poolSteps))
	if t.step == 0 || math.Abs(share*poolSteps-float64(t.step)) > poolStepHysteresis {
		t.step = min(max(step, 1), poolSteps-1)
	}
	t.size = int(math.Round(float64(n*t.step) / poolSteps))
	t.size = min(max(t.size, 1), n-1)
	return t.size
}

// selectMembers selects the members of the pool by rendezvous hashing among the
// usable upstreams.
func (t *longPromptPool) selectMembers(usable []*Upstream, share float64) {
	t.members = t.members[:0]
	n := t.resize(len(usable), share)
	if n == 0 {
		return
	}
	t.ranked = append(t.ranked[:0], usable...)
	slices.SortFunc(t.ranked, func(a, b *Upstream) int {
		return cmp.Compare(mix(poolKey^b.hash()), mix(poolKey^a.hash()))
	})
	t.members = append(t.members, t.ranked[:n]...)
}

// matches reports whether u is a member for a request with a long prompt, or no
// member for another request. Without a pool, every upstream matches.
func (t *longPromptPool) matches(u *Upstream, longPrompt bool) bool {
	return len(t.members) == 0 || slices.Contains(t.members, u) == longPrompt
}
