package dispatcher

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// In a burst of the least urgent requests with long prompts, more of them arrive than the
// engines can prefill. Served in order of arrival, all of them would soon be late. Those
// that could not begin within their latency target are therefore deferred: engines run
// them after all others, so that they delay none that can still be on time. What callers
// would no longer wait for is refused.

// deferredPatienceShare is the share of the time for which a caller waits for the first
// event within which a deferred request must be expected to begin.
const deferredPatienceShare = 0.8

// placement is the decision on when an upstream runs a request.
type placement int

const (
	// placedInTurn requests are run by their priority.
	placedInTurn placement = iota
	// placedDeferred requests are run after all others.
	placedDeferred
	// refused requests are not sent.
	refused
)

// place decides when the best upstream is to run a request. The prefill of the request is
// expected to begin there after queue, and to take prefill.
func (d *Dispatcher) place(s *service, f *inFlightRequest, q picker.Query, queue, prefill time.Duration) placement {
	r := f.admission.Route
	wait := queue + prefill
	if r.LatencyTarget == 0 || r.Kind != matcher.Streaming || !f.isDeferrable(s) || wait <= r.LatencyTarget {
		return placedInTurn
	}
	if queue == 0 && s.deferredTokens == 0 {
		// Nothing is before it, so that a later attempt would not begin any sooner.
		return placedDeferred
	}
	if wait+d.deferredWait(s, q) <= time.Duration(deferredPatienceShare*float64(callerPatience(r))) {
		return placedDeferred
	}
	return refused
}

// deferredWait returns the expected time for the prefill of the deferred requests that
// wait for their first event. Those of the other entries are taken to be as many.
func (d *Dispatcher) deferredWait(s *service, q picker.Query) time.Duration {
	share := q.LongPromptShare
	if share == 0 {
		// All requests share all upstreams.
		share = 1
	}
	engines := max(1, share*float64(len(s.instanceIDs)))
	return time.Duration(float64(s.deferredTokens*d.entries) / engines * float64(q.PrefillPerToken))
}

// callerPatience returns the time for which a caller waits for an event of a stream.
func callerPatience(r matcher.Route) time.Duration {
	return max(minCallerPatience, latencyPatienceFactor*r.LatencyTarget, gapPatienceFactor*r.GapTarget)
}

// endDeferral records that the wait of the attempt r has ended.
func (s *service) endDeferral(r *run) {
	if r.deferred {
		s.deferredTokens -= r.deferredTokens
		r.deferred, r.deferredTokens = false, 0
	}
}
