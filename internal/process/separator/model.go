package separator

import (
	"math"
	"time"
)

// Profile describes a kind of request as far as the model needs it.
type Profile struct {
	Name string
	// Rate is the number of requests a second, at all entries together.
	Rate float64
	// PromptTokens is the mean number of prompt tokens.
	PromptTokens float64
	// Prefill is the mean time in which an engine without other prompts reads the
	// prompt, Run the mean time until the answer is complete, and Gap the mean time
	// between two events of the answer.
	Prefill time.Duration
	Run     time.Duration
	Gap     time.Duration
	// GapTarget and LatencyTarget are the longest gap, and the longest time to the
	// first event, with which the answer is on time. Zero means no target.
	GapTarget     time.Duration
	LatencyTarget time.Duration
	// Priority is zero for the most urgent requests. A late request of priority n
	// counts 1/(n+1).
	Priority int
}

func (p Profile) weight() float64 { return 1 / float64(1+max(0, p.Priority)) }

// Choice is a division of the engines between kinds of request.
type Choice struct {
	// Separated is the number of kinds that get Engines engines of their own, those
	// with the longest prefill. Zero means that all kinds share all engines.
	Separated int
	Engines   int
	// Loss is the weighted share of the requests that are expected to be late.
	Loss float64
}

// engineSteps is the number of steps in which the engines are divided.
const engineSteps = 8

// Choose returns the choice with the least loss. The profiles are in descending
// order of their prefill time. Of equal choices it returns the one that separates
// fewer kinds.
func Choose(profiles []Profile, engines int) Choice {
	best := leastLoss(profiles, engines, 0)
	for n := 1; n < len(profiles); n++ {
		if c := leastLoss(profiles, engines, n); c.Loss < best.Loss-minLossDifference {
			best = c
		}
	}
	return best
}

// leastLoss returns the best division of the engines if the first n profiles are
// separated. A division that is not possible loses all requests.
func leastLoss(profiles []Profile, engines, n int) Choice {
	total := 0.0
	for _, p := range profiles {
		total += p.Rate * p.weight()
	}
	if n == 0 || total == 0 {
		return Choice{Loss: lateRequests(profiles, float64(engines)) / max(total, math.SmallestNonzeroFloat64)}
	}
	best := Choice{Separated: n, Loss: 1}
	for step := 1; step < engineSteps; step++ {
		own := min(max(1, (engines*step+engineSteps/2)/engineSteps), engines-1)
		if own < 1 {
			return best
		}
		late := lateRequests(profiles[:n], float64(own)) + lateRequests(profiles[n:], float64(engines-own))
		if loss := late / total; loss < best.Loss {
			best.Engines, best.Loss = own, loss
		}
	}
	return best
}

// lateRequests returns the weighted number of late requests a second if the given
// kinds share the engines.
//
// The prompts that wait at an engine are taken for the work in an M/M/1 queue, whose
// tail is exponential (Kleinrock, Queueing Systems, 1975). A stream meets the
// prompts that arrive at its engine while it runs; each is longer than the room in
// its gap target with a probability that is exponential as well, since the lengths
// of prompts vary widely.
func lateRequests(kinds []Profile, engines float64) float64 {
	busy, squares := 0.0, 0.0
	for _, k := range kinds {
		t := k.Prefill.Seconds()
		busy += k.Rate * t
		squares += k.Rate * t * t
	}
	if busy == 0 {
		return 0
	}
	utilisation, meanWork := busy/engines, squares/busy
	late := 0.0
	for _, k := range kinds {
		onTime := 1 - waitsLonger(k.LatencyTarget-k.Prefill, utilisation, meanWork, k.LatencyTarget > 0)
		if k.GapTarget > 0 {
			onTime *= math.Exp(-longGaps(k, kinds, engines))
		}
		late += k.Rate * k.weight() * (1 - onTime)
	}
	return late
}

// maxUtilisation is the utilisation of an overloaded engine in the model.
const maxUtilisation = 0.95

// waitsLonger returns the probability that a prompt waits longer than room for the
// prompts before it.
func waitsLonger(room time.Duration, utilisation, meanWork float64, limited bool) float64 {
	switch {
	case !limited:
		return 0
	case room <= 0:
		return 1
	}
	// Above the maximum the queue grows for as long as the burst lasts; the bursts of
	// callers end, and the limit keeps overloaded divisions comparable.
	utilisation = min(utilisation, maxUtilisation)
	return utilisation * math.Exp(-(1-utilisation)*room.Seconds()/meanWork)
}

// longGaps returns the expected number of gaps over the target in a stream of kind k
// that shares engines with the given kinds.
func longGaps(k Profile, kinds []Profile, engines float64) float64 {
	room := (k.GapTarget - k.Gap).Seconds()
	gaps := 0.0
	for _, other := range kinds {
		met := other.Rate * k.Run.Seconds() / engines
		if t := other.Prefill.Seconds(); t > 0 {
			gaps += met * math.Exp(-max(0, room)/t)
		}
	}
	return gaps
}
