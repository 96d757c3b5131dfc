package elector

import "time"

// renewalDivisor sets the renewal interval as a fraction of the lease
// duration: a third, so that two renewals may fail. safetyMarginDivisor sets
// the fraction at the end of the lease in which the holder no longer acts, to
// allow for clock drift and for an order that is already in transit.
const (
	renewalDivisor      = 3
	safetyMarginDivisor = 8
	// retryDivisor sets the time until a failed call is made again as a fraction of the
	// lease duration.
	retryDivisor = 10
)

// EventKind is the kind of an [Event].
type EventKind int

// Kinds of events.
const (
	// EventTimerFired means that the time returned by [Core.NextTimer] has been
	// reached.
	EventTimerFired EventKind = iota
	// EventRead carries the object that was read.
	EventRead
	// EventWritten means that a write succeeded and created the next version of
	// the object.
	EventWritten
	// EventConflicted means that a write failed because the object has a
	// different version.
	EventConflicted
	// EventOutcomeUnknown means that the outcome of a write is unknown: it may
	// have taken effect or may still do so.
	EventOutcomeUnknown
	// EventUnavailable means that a call had no effect.
	EventUnavailable
	// EventResigned makes the core release the lease and not acquire it again.
	EventResigned
	// EventGivenUp makes the core release the lease. It may acquire it again after
	// [Core.Cooldown].
	EventGivenUp
)

// Event is an input of the core: the result of a call, a timer or the
// resignation. Only the fields of its kind are set.
type Event struct {
	Kind EventKind
	// Version is the version of the object that was read or written, or zero if
	// the object does not exist.
	Version int64
	Record  Record
}

// ActionKind is the kind of an [Action].
type ActionKind int

// Kinds of actions.
const (
	// ActionNone waits for the next event.
	ActionNone ActionKind = iota
	// ActionRead reads the object.
	ActionRead
	// ActionWrite writes the object if its version is ExpectedVersion.
	ActionWrite
)

// Action is a call to the platform. The core has at most one call pending.
type Action struct {
	Kind            ActionKind
	ExpectedVersion int64
	Record          Record
}

// Core is the state machine of one lease for one candidate. It does no I/O.
type Core struct {
	// Holder identifies the candidate. No two starts of a process share an
	// identifier.
	Holder   string
	Duration time.Duration
	// WantsLease is true if the candidate wants to acquire the lease. It may
	// change at any time; a holder keeps its lease.
	WantsLease bool
	// Cooldown is the time after the end of its lease in which the candidate does not
	// acquire it again.
	Cooldown time.Duration
	// MinNumber is a fencing number that another holder may have used although the
	// object does not show it. The candidate acquires the lease with a higher number,
	// and a holder with a number that is not higher acquires it anew.
	MinNumber int64

	lease Lease
	// version and record are those of the object when it was last read or
	// written.
	version       int64
	record        Record
	firstSeenAt   time.Time // when version was first read or written, zero before the first read
	callPending   bool
	mustReread    bool // the outcome of the last write is unknown, or it conflicted
	pendingRecord Record
	writeIssuedAt time.Time // when the last write was issued
	// firstUnknownWriteAt is the time at which the first write with an unknown
	// outcome under the current version was issued. Any write since then may be
	// the one that took effect.
	firstUnknownWriteAt time.Time
	retryAt             time.Time
	resigned            bool
	// releasing is true from EventGivenUp until the object is known to have another
	// holder, or none.
	releasing bool
	// lostAt is the time at which the last lease of the candidate ended, zero if it had
	// none.
	lostAt time.Time
	// highestNumber is the highest fencing number seen, which outlasts the object.
	highestNumber int64
}

// Lease returns the lease of the candidate.
func (c *Core) Lease() Lease { return c.lease }

// HandleEvent applies e and returns the next call to make.
func (c *Core) HandleEvent(now time.Time, e Event) Action {
	wasHeld := c.lease.ValidFor > 0
	switch e.Kind {
	case EventRead:
		c.callPending, c.mustReread = false, false
		c.handleRead(now, e)
	case EventWritten:
		c.callPending = false
		c.handleWritten(now, e.Version, c.pendingRecord, c.writeIssuedAt)
	case EventConflicted:
		c.callPending, c.mustReread = false, true
	case EventOutcomeUnknown:
		c.callPending, c.mustReread = false, true
		if c.firstUnknownWriteAt.IsZero() {
			c.firstUnknownWriteAt = c.writeIssuedAt
		}
	case EventUnavailable:
		c.callPending = false
		c.retryAt = now.Add(c.retryDelay())
	case EventResigned:
		// The holder stops acting now: another candidate may acquire the lease as
		// soon as the platform has stored the record, which may be before the
		// response arrives.
		c.resigned, c.lease = true, Lease{}
	case EventGivenUp:
		c.releasing = wasHeld || c.releasing
		c.lease = Lease{}
	}
	if c.lease.ValidFor > 0 && !c.lease.Held(now) {
		c.lease = Lease{}
	}
	if wasHeld && c.lease.ValidFor == 0 {
		c.lostAt = now
	}
	c.highestNumber = max(c.highestNumber, c.record.FencingNumber)
	c.releasing = c.releasing && (c.record.Holder == c.Holder || c.callPending || c.mustReread)
	return c.nextAction(now)
}

// NextTimer returns the time at which the core needs an [EventTimerFired], or
// the zero time while a call is pending or after the resignation.
func (c *Core) NextTimer(now time.Time) time.Time {
	if c.callPending || c.resigned {
		return time.Time{}
	}
	at := now
	switch {
	case c.firstSeenAt.IsZero(), c.mustReread:
	case c.lease.ValidFor > 0:
		at = now.Add(c.Duration/renewalDivisor - maxElapsed(c.lease.ValidFrom, now))
	case !c.WantsLease:
		at = now.Add(c.Duration)
	case c.releasing:
	case c.record.Holder != "":
		at = now.Add(max(c.record.Duration-minElapsed(c.firstSeenAt, now), c.cooldownLeft(now)))
	default:
		at = now.Add(c.cooldownLeft(now))
	}
	if at.Before(c.retryAt) {
		return c.retryAt
	}
	return at
}

// handleRead applies the object that was read. A new version with this
// candidate as holder means that a write with an unknown outcome took effect,
// since no other candidate writes this holder.
func (c *Core) handleRead(now time.Time, e Event) {
	changed := e.Version != c.version || c.firstSeenAt.IsZero()
	if changed && e.Record.Holder == c.Holder && !c.firstUnknownWriteAt.IsZero() {
		c.handleWritten(now, e.Version, e.Record, c.firstUnknownWriteAt)
		return
	}
	if changed {
		c.version, c.record, c.firstSeenAt, c.firstUnknownWriteAt = e.Version, e.Record, now, time.Time{}
	}
	if e.Record.Holder != c.Holder {
		c.lease = Lease{}
	}
}

// handleWritten applies the fact that record r of this candidate is stored.
// The lease is valid from before the write was issued, and thus from before
// any other candidate can have read it.
func (c *Core) handleWritten(now time.Time, version int64, r Record, issued time.Time) {
	c.version, c.record, c.firstSeenAt, c.firstUnknownWriteAt = version, r, now, time.Time{}
	c.lease = Lease{}
	if r.Holder == c.Holder && !c.resigned && !c.releasing {
		c.lease = Lease{FencingNumber: r.FencingNumber, ValidFrom: issued, ValidFor: r.Duration - r.Duration/safetyMarginDivisor}
	}
}

func (c *Core) nextAction(now time.Time) Action {
	if c.callPending || now.Before(c.retryAt) {
		return Action{}
	}
	held := c.lease.ValidFor > 0
	switch {
	case c.firstSeenAt.IsZero(), c.mustReread:
		return c.call(Action{Kind: ActionRead})
	case c.resigned && c.record.Holder != c.Holder:
		return Action{}
	case c.resigned:
		return c.write(now, Record{FencingNumber: c.record.FencingNumber, Duration: c.Duration})
	case c.releasing:
		return c.write(now, Record{FencingNumber: c.record.FencingNumber, Duration: c.Duration})
	case held && c.lease.FencingNumber <= c.MinNumber:
		c.lease = Lease{}
		return c.acquire(now)
	case held && maxElapsed(c.lease.ValidFrom, now) < c.Duration/renewalDivisor:
		return Action{}
	case held:
		return c.write(now, Record{Holder: c.Holder, FencingNumber: c.lease.FencingNumber, Duration: c.Duration})
	case !c.WantsLease, c.cooldownLeft(now) > 0:
		return Action{}
	case c.record.Holder != "" && minElapsed(c.firstSeenAt, now) < c.record.Duration:
		return Action{}
	}
	return c.acquire(now)
}

// acquire writes the record of a lease that nobody holds. The write fails if
// the holder renewed it in the meantime, so the record need not be read again
// first.
func (c *Core) acquire(now time.Time) Action {
	return c.write(now, Record{Holder: c.Holder, FencingNumber: max(c.highestNumber, c.MinNumber) + 1, Duration: c.Duration})
}

// retryDelay returns the time until a failed call is made again. Without a lease to win, to
// renew or to release there is no hurry, and each call counts towards the rate of the
// platform.
func (c *Core) retryDelay() time.Duration {
	if !c.WantsLease && c.lease.ValidFor == 0 && !c.resigned && !c.releasing {
		return c.Duration
	}
	return c.Duration / retryDivisor
}

// cooldownLeft returns the time for which the candidate must not acquire the lease after
// the end of its last one. It is not above zero if there is none.
func (c *Core) cooldownLeft(now time.Time) time.Duration {
	if c.lostAt.IsZero() {
		return 0
	}
	return max(0, c.Cooldown-minElapsed(c.lostAt, now))
}

func (c *Core) write(now time.Time, r Record) Action {
	c.pendingRecord, c.writeIssuedAt = r, now
	return c.call(Action{Kind: ActionWrite, ExpectedVersion: c.version, Record: r})
}

func (c *Core) call(a Action) Action {
	c.callPending = true
	return a
}
