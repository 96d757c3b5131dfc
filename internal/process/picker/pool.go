package picker

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The prefill of a long prompt delays the tokens of all requests in the same
// batch. Latency-tolerant requests, whose token gaps may be long, are therefore
// sent to a dedicated pool of upstreams, as long as these are not much busier
// than the others. Entries agree on the pool without messages: its members are
// the upstreams that rank highest for a fixed key, and its size follows the
// demand, which is similar at all entries. Two entries whose pool sizes differ by
// one still agree on all other members.

const (
	// poolKey is the hash key by which the upstreams of the pool are ranked.
	poolKey = 0x9e3779b97f4a7c15
	// demandHalfLife is the half-life of recorded demand.
	demandHalfLife = 15 * time.Second
	// sensitiveTokenWeight is the weight of a prompt token of a latency-sensitive
	// request. The upstreams outside the pool must be less busy to keep token gaps
	// short.
	sensitiveTokenWeight = 2
	// poolStepHysteresis is the distance in steps by which the latency-tolerant
	// share of the demand must differ from the current step before the pool is
	// resized, so that the pool does not change with every burst.
	poolStepHysteresis = 0.75
	// minPoolUpstreams is the minimum number of usable upstreams for a separate
	// pool.
	minPoolUpstreams = 3
	// poolSteps is the number of steps between no pool and all upstreams. Coarse
	// steps let entries agree on the size.
	poolSteps = 8
)

// tolerantPool is the pool of upstreams for latency-tolerant requests. Its size
// follows from the demand of both kinds of requests. Demand is measured in prompt
// tokens; the time for which a request holds a slot counts as the prompt tokens
// that an engine prefills in that time. The zero value is an empty pool.
type tolerantPool struct {
	tolerantDemand  float64
	sensitiveDemand float64
	updated         time.Time
	size            int
	// step is the size as a number of poolSteps, zero before the first resize.
	step int
	// members are the upstreams of the pool during the current Pick.
	members []*Upstream
	// ranked is a buffer in which selectMembers sorts the usable upstreams.
	ranked []*Upstream
}

// addDemand records the prompt or the slot time of a request, in tokens.
func (t *tolerantPool) addDemand(now time.Time, tolerant bool, tokens int) {
	weight := 1.0
	if !t.updated.IsZero() {
		weight = decay(now.Sub(t.updated), demandHalfLife)
	}
	t.updated = now
	t.tolerantDemand *= weight
	t.sensitiveDemand *= weight
	if tolerant {
		t.tolerantDemand += float64(tokens)
	} else {
		t.sensitiveDemand += sensitiveTokenWeight * float64(tokens)
	}
}

// resize sets and returns the size of the pool among n usable upstreams.
func (t *tolerantPool) resize(n int) int {
	if n < minPoolUpstreams || t.tolerantDemand == 0 || t.sensitiveDemand == 0 {
		t.size = 0
		return 0
	}
	share := t.tolerantDemand / (t.tolerantDemand + t.sensitiveDemand)
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
func (t *tolerantPool) selectMembers(usable []*Upstream) {
	t.members = t.members[:0]
	n := t.resize(len(usable))
	if n == 0 {
		return
	}
	t.ranked = append(t.ranked[:0], usable...)
	slices.SortFunc(t.ranked, func(a, b *Upstream) int {
		return cmp.Compare(mix(poolKey^b.hash()), mix(poolKey^a.hash()))
	})
	t.members = append(t.members, t.ranked[:n]...)
}

// matches reports whether u is a member for a latency-tolerant request, or no
// member for a latency-sensitive one. Without a pool, every upstream matches.
func (t *tolerantPool) matches(u *Upstream, tolerant bool) bool {
	return len(t.members) == 0 || slices.Contains(t.members, u) == tolerant
}
