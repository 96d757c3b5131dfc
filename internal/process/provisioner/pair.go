package provisioner

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/scaler"
)

const (
	// repeatInterval is the time after which an order is repeated. An order that was
	// overtaken by an older one is in force again after this time at the latest, if the
	// pace allows.
	repeatInterval = 10 * time.Second
	// mismatchMargin is the time after the start-up time from which a number of upstreams
	// that differs from the order causes a repeat. Registrations take up to 1.2 s to be
	// noticed.
	mismatchMargin = 2 * time.Second
	// repeatSpacing is the time between a call and a repeat without a mismatch, in
	// intervals of the pace. The rest of the rate is for changes.
	repeatSpacing = 2
)

// pair is the order for one service in one availability zone, and what was sent of it.
type pair struct {
	desired int
	reason  scaler.Reason
	// ordered is true once there is an order. Until then desired is the number of
	// upstreams that are there.
	ordered bool
	// orderedAt is the time of the first order.
	orderedAt time.Time
	// raisedFrom is the number before the order was raised at raisedAt.
	raisedFrom int
	raisedAt   time.Time
	startup    time.Duration
	ready      int
	leaving    int
	// sent is the number in the last call, made at sentAt, if wasSent is true. confirmed
	// is true once the platform has accepted it, and pending until its result is known.
	sent      int
	wasSent   bool
	sentAt    time.Time
	confirmed bool
	pending   bool
}

func (p *pair) observe(now time.Time, startup time.Duration, z scaler.Zone) {
	p.startup, p.ready, p.leaving = startup, z.Ready, z.Leaving
	if !p.ordered {
		p.desired = z.Ready
	}
	if now.Sub(p.raisedAt) >= startup {
		p.raisedFrom = p.desired
	}
}

// starting returns the number of upstreams that were ordered less than a start-up time
// ago and are not there yet.
func (p *pair) starting(now time.Time) int {
	if now.Sub(p.raisedAt) >= p.startup {
		return 0
	}
	return max(0, p.desired-max(p.raisedFrom, p.ready))
}

func (p *pair) setOrder(now time.Time, o scaler.Order) {
	if !p.ordered {
		p.ordered, p.orderedAt = true, now
	}
	switch {
	case o.Desired > p.desired:
		p.raisedAt = now
	case o.Desired < p.desired:
		p.raisedFrom = min(p.raisedFrom, o.Desired)
	}
	p.desired, p.reason = o.Desired, o.Reason
}

func (p *pair) markSent(now time.Time) {
	p.sent, p.wasSent, p.sentAt, p.confirmed, p.pending = p.desired, true, now, false, true
}

// previous returns the number before the present order: that of the last call, or of the
// upstreams that were there.
func (p *pair) previous() int {
	if p.wasSent {
		return p.sent
	}
	return p.ready
}

// urgency orders the calls that are due.
type urgency int

const (
	urgencyNone urgency = iota
	urgencyRepeat
	urgencyMismatch
	urgencyLowered
	urgencyRaised
)

// urgency returns whether and how urgently a call is due.
func (p *pair) urgency(now time.Time) urgency {
	switch {
	case p.pending, !p.ordered, p.mayStillGrow(now):
		return urgencyNone
	case p.desired > p.previous():
		return urgencyRaised
	case !p.wasSent, p.desired != p.sent, !p.confirmed:
		return urgencyLowered
	case p.differs() && now.Sub(p.sentAt) >= p.startup+mismatchMargin:
		return urgencyMismatch
	case now.Sub(p.sentAt) >= repeatInterval:
		return urgencyRepeat
	}
	return urgencyNone
}

// mayStillGrow reports whether the number of upstreams that were there at the start of the
// term may not be complete yet: an earlier holder may have ordered more, which are
// starting and must not be stopped.
func (p *pair) mayStillGrow(now time.Time) bool {
	return !p.wasSent && p.reason == scaler.ReasonAdopted && now.Sub(p.orderedAt) < p.startup+mismatchMargin
}

// differs reports whether the number of upstreams differs from the order, whether or not
// the platform counts those that leave.
func (p *pair) differs() bool {
	return p.ready != p.desired && p.ready+p.leaving != p.desired
}

// mostUrgent returns the pair whose call is most urgent, nil if none is due. Of equally
// urgent ones it is the one whose last call is longest ago.
func (t *term) mostUrgent(now time.Time, mayRepeat bool) (pairKey, *pair) {
	var key pairKey
	var best *pair
	for k, p := range t.pairs {
		u := p.urgency(now)
		if u == urgencyNone || u == urgencyRepeat && !mayRepeat {
			continue
		}
		if best == nil || u > best.urgency(now) || u == best.urgency(now) && precedes(k, p, key, best) {
			key, best = k, p
		}
	}
	return key, best
}

// precedes reports whether the last call of p is longer ago than that of q. The names
// make the order definite.
func precedes(k pairKey, p *pair, l pairKey, q *pair) bool {
	if !p.sentAt.Equal(q.sentAt) {
		return p.sentAt.Before(q.sentAt)
	}
	return k.service < l.service || k.service == l.service && k.availabilityZone < l.availabilityZone
}
