package dispatcher

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
)

// holdBack stops sending requests to the upstream of e for e.RetryAfter. Requests in
// flight there are not affected.
func (d *Dispatcher) holdBack(now time.Time, e Event) []Action {
	id := e.Upstream.InstanceID()
	s := d.service(e.Upstream.Service)
	u := s.picker.Upstream(id)
	if u == nil {
		// The upstream has left.
		return nil
	}
	known := u.IsHeldBack(now)
	s.picker.Step(now, picker.Event{Kind: picker.EventHeldBack, Upstream: id, RetryAfter: e.RetryAfter})
	if known {
		return nil
	}
	return []Action{{Kind: ActionUpstreamHeldBack, ID: e.ID, Upstream: e.Upstream, RetryAfter: e.RetryAfter}}
}

// heldBackUntil returns the time at which the first upstream of a service may get
// requests again if all are held back, otherwise the zero time.
func (d *Dispatcher) heldBackUntil(now time.Time, name string) time.Time {
	var first time.Time
	s := d.services[name]
	if s == nil {
		return first
	}
	for _, id := range s.instanceIDs {
		u := s.picker.Upstream(id)
		if !u.IsHeldBack(now) {
			return time.Time{}
		}
		if first.IsZero() || u.HeldBackUntil.Before(first) {
			first = u.HeldBackUntil
		}
	}
	return first
}
