package separator

import (
	"math"
	"time"
)

// kind is what is known of one kind of request.
type kind struct {
	profile Profile
	// arrivals is the decaying number of arrivals at updated, and first the time of
	// the first arrival.
	arrivals       float64
	first, updated time.Time
	promptTokens   float64
}

func (k *kind) recordArrival(now time.Time, e Event) {
	k.arrivals = k.arrivals*decay(now.Sub(k.updated)) + 1
	k.updated = now
	// The first arrivals have equal weights.
	k.promptTokens += max(observationWeight, 1/k.arrivals) * (float64(e.PromptTokens) - k.promptTokens)
	k.setTargets(e)
}

// setTargets records the targets of a new request, or those of the route in force.
func (k *kind) setTargets(e Event) {
	k.profile.GapTarget, k.profile.LatencyTarget, k.profile.Priority = e.GapTarget, e.LatencyTarget, e.Priority
}

// rate returns the arrivals per second.
func (k *kind) rate(now time.Time) float64 {
	// The decaying sum covers the half-life divided by ln 2 in the long run.
	window := rateHalfLife.Seconds() / math.Ln2 * (1 - decay(now.Sub(k.first)))
	return k.arrivals * decay(now.Sub(k.updated)) / max(window, decisionInterval.Seconds())
}
