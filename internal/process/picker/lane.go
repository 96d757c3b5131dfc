package picker

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Long prompts delay the tokens of everything that runs beside them. Requests
// whose pauses may be long (patient ones) therefore go to some upstreams of
// their own, the lane, as long as these are not much busier than the others.
// Entries agree on the lane without a message: its members are those that rank
// highest for a fixed key, and its size follows the demand, which all entries
// see alike. Two entries that differ by one in the size still agree on all other
// members.

const (
	// laneKey is the key for which the members of the lane rank highest.
	laneKey = 0x9e3779b97f4a7c15
	// laneHalfLife is the time after which demand counts half.
	laneHalfLife = 15 * time.Second
	// hurriedWeight is the weight of a prompt token of a request that is not
	// patient. Its upstreams must be less busy to keep its pauses short.
	hurriedWeight = 2
	// laneSlack is the distance in steps from the present size within which the
	// lane keeps it, so that it does not change with every burst.
	laneSlack = 0.75
	// laneMinimum is the number of upstreams from which a lane pays.
	laneMinimum = 3
	// laneSteps is the number of steps between no lane and all upstreams. Few
	// steps let entries agree on the size.
	laneSteps = 8
)

// lane is the demand of patient and of other requests, in prompt tokens and in
// the time of slots as tokens that an engine reads meanwhile, and the size that
// follows. The zero value has no lane.
type lane struct {
	patient float64
	hurried float64
	updated time.Time
	size    int
	step    int
	// members are the upstreams of the lane at the present Pick.
	members []*Upstream
	ranked  []*Upstream
}

// add takes in the prompt of a request.
func (l *lane) add(now time.Time, patient bool, promptTokens int) {
	f := 1.0
	if !l.updated.IsZero() {
		f = fade(now.Sub(l.updated), laneHalfLife)
	}
	l.updated = now
	l.patient *= f
	l.hurried *= f
	if patient {
		l.patient += float64(promptTokens)
	} else {
		l.hurried += hurriedWeight * float64(promptTokens)
	}
}

// resize returns the size of the lane among n upstreams.
func (l *lane) resize(n int) int {
	if n < laneMinimum || l.patient == 0 || l.hurried == 0 {
		l.size = 0
		return 0
	}
	share := l.patient / (l.patient + l.hurried)
	step := int(math.Round(share * laneSteps))
	if l.step == 0 || math.Abs(share*laneSteps-float64(l.step)) > laneSlack {
		l.step = min(max(step, 1), laneSteps-1)
	}
	l.size = int(math.Round(float64(n*l.step) / laneSteps))
	l.size = min(max(l.size, 1), n-1)
	return l.size
}

// choose finds the members of the lane among the usable upstreams.
func (l *lane) choose(usable []*Upstream) {
	l.members = l.members[:0]
	n := l.resize(len(usable))
	if n == 0 {
		return
	}
	l.ranked = append(l.ranked[:0], usable...)
	slices.SortFunc(l.ranked, func(a, b *Upstream) int {
		return cmp.Compare(mix(laneKey^b.hash()), mix(laneKey^a.hash()))
	})
	l.members = append(l.members, l.ranked[:n]...)
}

// fits reports whether u is where requests of the given kind belong.
func (l *lane) fits(u *Upstream, patient bool) bool {
	return len(l.members) == 0 || slices.Contains(l.members, u) == patient
}
