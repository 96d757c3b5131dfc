package provisioner

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/leaser"
	"magnoliafront.dev/magnoliafront/internal/process/scaler"
)

const (
	// minBackoff is the time without calls after a failure. It doubles with each further
	// failure in a row, up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = time.Second
	// rateLimitBackoff is the time without calls after one above the rate of the API.
	rateLimitBackoff = time.Second
	// maxFailures failures in a row over minFailureTime end the term.
	maxFailures    = 3
	minFailureTime = 2 * time.Second
)

// Term says whether this entry holds the lease, and the fencing token.
type Term struct {
	Token int64
	Held  bool
}

// Core decides which orders are sent when. It does no I/O.
type Core struct {
	Pace leaser.Pace
	// MaxPending is the maximum number of calls at once.
	MaxPending int

	zones zoneMemory
	// observeAt is the time at which the next call of Observe is due.
	observeAt time.Time
	// term is the current term, nil if this entry does not hold the lease. endedToken is
	// the token of the last term that ended early, with which no call is made any more.
	term       *term
	endedToken int64
}

// term is the state of one holder.
type term struct {
	token  int64
	scaler scaler.Scaler
	pairs  map[pairKey]*pair
	// pending is the number of calls in flight.
	pending     int
	demandKnown bool
	// failures is the number of failures in a row, the first of which was at
	// firstFailureAt. No calls are made before retryAt.
	failures       int
	firstFailureAt time.Time
	retryAt        time.Time
}

type pairKey struct{ service, availabilityZone string }

// DemandKnown reports whether this entry is the holder and knows the demand.
func (c *Core) DemandKnown() bool { return c.term != nil && c.term.demandKnown }

// MustObserve reports whether the next call of Observe is due.
func (c *Core) MustObserve(now time.Time) bool { return !now.Before(c.observeAt) }

// NextStep returns the time until the next call of Observe or Next is due.
func (c *Core) NextStep(now time.Time) time.Duration {
	next := c.observeAt
	if at := c.nextCallAt(now); at.Before(next) {
		next = at
	}
	return max(0, next.Sub(now))
}

// nextCallAt returns the earliest time at which a call that waits for the pace or a
// backoff may be made. Without one it is the next observation.
func (c *Core) nextCallAt(now time.Time) time.Time {
	if c.term == nil || c.term.pending >= c.MaxPending {
		return c.observeAt
	}
	at := c.Pace.Next()
	if c.term.retryAt.After(at) {
		at = c.term.retryAt
	}
	if !at.After(now) {
		// What is due has been sent already.
		return c.observeAt
	}
	return at
}

// Observe updates the orders. A new token begins a term without orders.
func (c *Core) Observe(now time.Time, l Term, s Snapshot) {
	observation := c.zones.observe(s)
	c.observeAt = now.Add(idleStepInterval)
	if !l.Held || l.Token == c.endedToken {
		c.term = nil
		return
	}
	if c.term == nil || c.term.token != l.Token {
		c.term = &term{token: l.Token, pairs: map[pairKey]*pair{}}
		c.Pace.Begin(now)
	}
	c.observeAt = now.Add(heldStepInterval)
	c.term.update(now, observation)
}

// update passes an observation to the scaler and takes over its orders.
func (t *term) update(now time.Time, o scaler.Observation) {
	t.demandKnown = o.DemandKnown
	before := t.pairs
	t.pairs = map[pairKey]*pair{}
	for _, s := range o.Services {
		for i, z := range s.Zones {
			k := pairKey{s.Name, z.Name}
			p := before[k]
			if p == nil {
				p = &pair{desired: z.Ready}
			}
			p.observe(now, s.Limits.Startup, z)
			s.Zones[i].Starting = p.starting(now)
			t.pairs[k] = p
		}
	}
	for _, order := range t.scaler.Step(now, o) {
		t.pairs[pairKey{order.Service, order.AvailabilityZone}].setOrder(now, order)
	}
}

// Next returns the next call that is due. The caller makes it and passes its result to
// HandleResult.
func (c *Core) Next(now time.Time) (Call, bool) {
	t := c.term
	if t == nil || t.pending >= c.MaxPending || now.Before(t.retryAt) || !c.Pace.Ready(now) {
		return Call{}, false
	}
	mayRepeat := now.Sub(c.Pace.Next()) >= (repeatSpacing-1)*c.Pace.Interval
	k, p := t.mostUrgent(now, mayRepeat)
	if p == nil {
		return Call{}, false
	}
	c.Pace.Called(now)
	t.pending++
	out := Call{
		Token: t.token, Target: Target{Service: k.service, AvailabilityZone: k.availabilityZone, Desired: p.desired},
		Changed: !p.wasSent || p.sent != p.desired, Previous: p.previous(), Reason: p.reason,
	}
	p.markSent(now)
	return out, true
}

// HandleResult records the end of a call. If the term ends with it, it returns the cause,
// and the lease must be given up.
func (c *Core) HandleResult(now time.Time, r Result) (cause string) {
	t := c.term
	if t == nil || t.token != r.Call.Token {
		return ""
	}
	t.pending--
	p := t.pairs[pairKey{r.Call.Target.Service, r.Call.Target.AvailabilityZone}]
	if p != nil {
		p.pending = false
		p.confirmed = r.Outcome == OutcomeConfirmed && p.sent == r.Call.Target.Desired
	}
	switch r.Outcome {
	case OutcomeConfirmed:
		t.failures = 0
		return ""
	case OutcomeTokenRefused:
		return c.end("the token was refused")
	case OutcomeRateLimited:
		// The API is there.
		t.failures, t.retryAt = 0, now.Add(rateLimitBackoff)
		return ""
	case OutcomeNotSent:
		return ""
	}
	return c.recordFailure(now)
}

// recordFailure starts a backoff, or ends the term after several failures in a row.
func (c *Core) recordFailure(now time.Time) (cause string) {
	t := c.term
	if t.failures == 0 {
		t.firstFailureAt = now
	}
	t.retryAt = now.Add(min(minBackoff<<min(t.failures, maxFailures), maxBackoff))
	t.failures++
	if t.failures >= maxFailures && now.Sub(t.firstFailureAt) >= minFailureTime {
		return c.end("the API does not execute calls")
	}
	return ""
}

// end ends the term, and makes no further call with its token.
func (c *Core) end(cause string) string {
	c.endedToken, c.term = c.term.token, nil
	return cause
}
