package detector

import "time"

const (
	// baseLossShare is the assumed probability that an attempt is lost with its
	// upstream while no other upstream ends.
	baseLossShare = 0.01
	// maxFalsePositive is the largest probability, for harmless content, of losses
	// that quarantine it at MaxStrikes.
	maxFalsePositive = 0.01
	// lossWindow is the time before and after a strike in which losses of other
	// upstreams show how probable a loss was.
	lossWindow = 2 * time.Second
	// maxLosses bounds the number of recorded losses of upstreams.
	maxLosses = 1024
)

// losses holds the times at which upstreams were lost.
type losses struct {
	at map[string]time.Time
	// upstreams is the number of upstreams of the largest service.
	upstreams int
}

// isNear reports whether an upstream lost at t was lost at about the time of a strike
// of h.
func (h *history) isNear(t time.Time) bool {
	for _, s := range h.strikes {
		if s.at.Sub(t).Abs() <= lossWindow {
			return true
		}
	}
	return false
}

func (h *history) holds(upstream string) bool {
	for _, s := range h.strikes {
		if s.upstream == upstream {
			return true
		}
	}
	return false
}

// others returns the number of upstreams that were lost without the content of h at
// about the time of its strikes.
func (l *losses) others(h *history) int {
	n := 0
	for u, at := range l.at {
		if h.isNear(at) && !h.holds(u) {
			n++
		}
	}
	return n
}

// recordLoss records that an upstream was lost.
func (d *Detector) recordLoss(at time.Time, upstream string) {
	if known, ok := d.losses.at[upstream]; ok && at.Sub(known).Abs() <= 2*lossWindow {
		// The other observers of the same loss report it, too.
		return
	}
	if len(d.losses.at) >= maxLosses {
		d.losses.removeOld(at)
	}
	if len(d.losses.at) >= maxLosses {
		return
	}
	d.losses.at[upstream] = at
	for _, h := range d.histories {
		if h.isNear(at) && !h.holds(upstream) {
			h.others++
		}
	}
}

// removeOld removes the losses that no new strike can be near to.
func (l *losses) removeOld(now time.Time) {
	for u, at := range l.at {
		if now.Sub(at) > 2*lossWindow {
			delete(l.at, u)
		}
	}
}

// isPoison reports whether the strikes of h are enough for a quarantine.
func (d *Detector) isPoison(h *history) bool {
	n := len(h.strikes)
	if n >= MaxBegunStrikes || h.confirmed {
		return true
	}
	unbegun := false
	for _, s := range h.strikes {
		unbegun = unbegun || !s.begun
	}
	return n >= MaxStrikes && unbegun && !h.hasOneCause() && d.falsePositive(h) <= maxFalsePositive
}

// hasOneCause reports whether the strikes are from one moment and one attempt had been
// in flight for less than half as long as another one: a request that was sent again when
// its first upstream was lost, and met the same cause there. Poison content takes about
// as long to crash one upstream as to crash another.
func (h *history) hasOneCause() bool {
	first, last := h.strikes[0], h.strikes[0]
	shortest, longest := first.sentAge, first.sentAge
	for _, s := range h.strikes[1:] {
		last = s
		shortest, longest = min(shortest, s.sentAge), max(longest, s.sentAge)
	}
	return last.at.Sub(first.at) < sameCause && 2*shortest < longest
}

// falsePositive returns an upper bound of the probability that harmless content has
// lost as many of its attempts by chance as it has strikes: the number of sets of so
// many attempts times the probability that all of one are lost.
func (d *Detector) falsePositive(h *history) float64 {
	upstreams := max(d.losses.upstreams, h.others+len(h.strikes))
	p := max(baseLossShare, float64(h.others)/float64(upstreams))
	out, n := 1.0, h.attempts()
	for i := range h.strikes {
		out *= p * float64(n-i) / float64(i+1)
	}
	return min(1, out)
}

// attempts returns the number of attempts of the content that could have been lost:
// over all observers the largest number that each had in flight, and at least one for
// each strike.
func (h *history) attempts() int {
	byObserver := map[uint64]int{}
	for _, s := range h.strikes {
		byObserver[s.observer] = max(byObserver[s.observer], s.attempts)
	}
	n := 0
	for _, attempts := range byObserver {
		n += attempts
	}
	return max(n, len(h.strikes))
}
