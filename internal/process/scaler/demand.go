package scaler

import (
	"math"
	"time"
)

const (
	// assumedSlots is the number of slots of an upstream while none is known, which is
	// the case before the first upstream of a service has started.
	assumedSlots = 8
	// assumedRun is the duration of a run of a service that has not begun any request.
	assumedRun = time.Second
	// maxPrefillWait is the time that the prompts on an upstream may take until all are
	// prefilled. It is a quarter of the target for the first token, 1 s.
	maxPrefillWait = 250 * time.Millisecond
	// backlogTimeConstant is the time constant of the moving average of pending prompt
	// tokens. Single long prompts must not count as demand that lasts.
	backlogTimeConstant = time.Second
)

// measure computes the needed upstreams and the replacements of each zone.
func (s *service) measure(now time.Time, in Service) {
	if in.Slots > 0 {
		s.slots = in.Slots
	}
	slots := s.slots
	if slots == 0 {
		slots = assumedSlots
	}
	total, there := 0.0, 0
	for _, o := range in.Zones {
		z := s.zones[o.Name]
		bySlots := requests(o) / (float64(slots) * TargetUtilisation)
		pending := z.backlog.average(now, float64(o.PendingTokens))
		byPrefill := pending * in.PrefillPerToken.Seconds() / maxPrefillWait.Seconds()
		z.need = max(bySlots, byPrefill)
		// Upstreams that leave because an order was lowered are not made up for: those
		// that stay are as many as ordered.
		z.replacement = max(0, min(o.Leaving, z.desired-o.Ready-o.Starting))
		total += z.need
		there += o.Ready + o.Leaving
	}
	limit := maxGrowth * float64(max(1, there))
	if total <= limit {
		return
	}
	for _, z := range s.zones {
		z.need *= limit / total
	}
}

// requests returns the number of requests of a zone that would be in flight if none were
// refused. By Little's law the requests in flight are in proportion to those admitted.
func requests(z Zone) float64 {
	inFlight := float64(z.Running + z.Waiting)
	if z.RefusalRate <= 0 {
		return inFlight
	}
	admitted := z.ArrivalRate - z.RefusalRate
	if admitted <= 0 || inFlight == 0 {
		return inFlight + z.RefusalRate*assumedRun.Seconds()
	}
	return inFlight * (1 + z.RefusalRate/admitted)
}

// need returns the number of upstreams that the demand of all zones takes.
func (s *service) need() float64 {
	total := 0.0
	for _, z := range s.zones {
		total += z.need
	}
	return total
}

// backlog is a moving average of the pending prompt tokens of a zone.
type backlog struct {
	value float64
	at    time.Time
}

// average adds an observation and returns the moving average.
func (b *backlog) average(now time.Time, tokens float64) float64 {
	if b.at.IsZero() {
		b.value, b.at = tokens, now
		return b.value
	}
	weight := 1 - math.Exp(-now.Sub(b.at).Seconds()/backlogTimeConstant.Seconds())
	b.value += weight * (tokens - b.value)
	b.at = now
	return b.value
}
