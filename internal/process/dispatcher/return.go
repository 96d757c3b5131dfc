package dispatcher

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// retryAfterDivisor is the ratio of the time until the deadline to the
	// Retry-After time, which is at least minRetryAfter and at most maxRetryAfter.
	// Callers wait for at most a third of the time until their deadline.
	retryAfterDivisor = 5
	maxRetryAfter     = time.Second
	minRetryAfter     = 50 * time.Millisecond
	// longRetryAfterDivisor replaces retryAfterDivisor for conditions that last
	// longer: the start of an entry that has no configuration, where the maximum is
	// maxStartRetryAfter, and a burst of deferrable requests, where it is
	// maxOverloadRetryAfter. The first event of a deferrable request that was
	// refused in a burst is late in any case.
	longRetryAfterDivisor = 3.2
	maxStartRetryAfter    = 2 * time.Second
	maxOverloadRetryAfter = 5 * time.Second
	// retrySpread is the part of the Retry-After time in which callers that are refused at
	// one moment return, so that they do not arrive together.
	retrySpread = 0.25
)

// retryAfter returns the Retry-After time for the caller of f.
func (d *Dispatcher) retryAfter(now time.Time, f *inFlightRequest) time.Duration {
	divisor, limit := float64(retryAfterDivisor), maxRetryAfter
	heldBackUntil := d.heldBackUntil(now, f.admission.Service.Name)
	room := time.Duration(0)
	switch {
	case d.table == nil:
		divisor, limit = longRetryAfterDivisor, maxStartRetryAfter
	case !heldBackUntil.IsZero():
		divisor, limit = longRetryAfterDivisor, heldBackUntil.Sub(now)
	case f.admission.Service.Name != "" && f.isDeferrable(d.service(f.admission.Service.Name)):
		divisor, limit = longRetryAfterDivisor, maxOverloadRetryAfter
		room = f.summary.ExpectedStart - f.admission.Route.LatencyTarget
	}
	after := limit
	if !f.deadline.IsZero() {
		after = min(limit, max(minRetryAfter, time.Duration(float64(f.deadline.Sub(now))/divisor)))
	}
	if room > 0 {
		// The backlog has been worked off by then if nothing is added to it.
		after = min(after, max(minRetryAfter, room))
	}
	if !heldBackUntil.IsZero() {
		// A caller that returns earlier would be refused again.
		return after
	}
	return spread(after, f.request.ID)
}

// spread shortens a time by a part of up to retrySpread that depends on the request.
func spread(after time.Duration, id string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	part := float64(h.Sum32()) / math.MaxUint32
	return time.Duration(float64(after) * (1 - retrySpread*part))
}
