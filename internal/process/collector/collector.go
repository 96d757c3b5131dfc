// Package collector reads the bodies of requests within the memory of the process.
//
// A body is read into segments, which are reserved before they are read and never copied.
// The first [reserver.ShareBytes] need no reservation, and each further segment is at most
// as large as what has arrived, so that a body that is announced and not sent holds next to
// nothing. While there is room, the goroutine of the connection reserves for a small body
// by itself.
//
// A body that is large, or finds no room, is listed with the duty of the [Collector], a
// goroutine that owns the list of unfinished bodies. It reserves for them and has package
// shedder decide who waits and who is given up. A body that waits is not read, so that TCP
// flow control slows its caller down.
//
// The budget for bodies has three parts: one for small bodies that are not listed, one for
// large bodies, and what is left, for which small bodies are listed. A body counts until
// [Body.Release], also after it has been read.
//
// # Usage
//
//	c := collector.New(collector.Options{Clock: clock, Budget: memory.Bodies})
//	body, err := c.Read(collector.Source{Reader: req.Body, Length: req.ContentLength, MaxBytes: limit, SetReadDeadline: set})
//	if err == nil {
//		defer body.Release()
//	}
package collector

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/process/shedder"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// SmallBytes is the size up to which a body counts as small.
	SmallBytes = 64 << 10
	// maxSegmentBytes is the largest segment.
	maxSegmentBytes = 64 << 10
	// eventsCapacity is the capacity of the ring of events. When it is full, listed bodies
	// are read more slowly.
	eventsCapacity = 256
	// largePart and unlistedPart are the parts of the budget for large bodies and for small
	// ones that are not listed, in quarters.
	largePart    = 2
	unlistedPart = 1
	allParts     = 4
	// logInterval is the minimum time between two log lines of the same cause.
	logInterval = time.Second
)

// DefaultLimits are the limits of bodies. A caller on a link of 10 Mbit/s sends a body of
// 4 MiB in 3.4 s, at 75 times the minimum rate.
func DefaultLimits() shedder.Limits {
	return shedder.Limits{
		Idle: 2 * time.Second, MaxWait: 3 * time.Second,
		Stall: 10 * time.Second, Grace: 10 * time.Second, MinRate: 16 << 10,
	}
}

// Options configures a collector.
type Options struct {
	Clock timer.Clock
	// Budget is the budget for bodies. If it is nil, they are not limited together.
	Budget *reserver.Budget
	// Limits are those of the bodies. Zero means [DefaultLimits].
	Limits shedder.Limits
}

// Collector reads bodies.
type Collector struct {
	options Options
	// large and unlisted are parts of the budget.
	large    *reserver.Budget
	unlisted *reserver.Budget
	events   *buffer.Ring[event, buffer.Block]
	done     chan struct{}
	nextID   atomic.Uint64
	refusals [errorKinds]refusalCounter

	// The fields below are owned by the goroutine. leaving holds the bodies that were given
	// up and have not ended, which are not in listed any more.
	listed  map[uint64]*listing
	leaving map[uint64]*listing
}

// refusalCounter counts bodies that were not read to their end for one cause.
type refusalCounter struct {
	count atomic.Uint64
	// loggedAt is the time of the last log line in nanoseconds, and logged the count then.
	loggedAt atomic.Int64
	logged   atomic.Uint64
}

// Stats is a snapshot of a collector.
type Stats struct {
	// Refused counts the bodies that were not read to their end, by cause.
	Refused map[string]uint64
	// Large is the state of the budget for large bodies.
	Large reserver.Stats
	Ring  buffer.Stats
}

// New starts a collector.
func New(o Options) *Collector {
	if o.Limits == (shedder.Limits{}) {
		o.Limits = DefaultLimits()
	}
	c := &Collector{
		options: o,
		events:  buffer.New[event, buffer.Block]("collector_events", eventsCapacity),
		done:    make(chan struct{}),
		listed:  map[uint64]*listing{},
		leaving: map[uint64]*listing{},
	}
	if o.Budget != nil {
		limit := o.Budget.Stats().Limit
		c.large = o.Budget.NewPart(limit / allParts * largePart)
		c.unlisted = o.Budget.NewPart(limit / allParts * unlistedPart)
	}
	go func() {
		defer close(c.done)
		c.run()
	}()
	return c
}

// Stop ends the goroutine. Bodies that wait are given up.
func (c *Collector) Stop() {
	c.events.Close()
	<-c.done
}

// Stats returns the current state.
func (c *Collector) Stats() Stats {
	s := Stats{Refused: map[string]uint64{}, Large: c.large.Stats(), Ring: c.events.Stats()}
	for k := range errorKinds {
		s.Refused[k.String()] = c.refusals[k].count.Load()
	}
	return s
}

// countRefusal counts a body that was not read to its end, and logs it unless one was
// logged for the same cause shortly before.
func (c *Collector) countRefusal(now time.Time, s Source, received int64, err *Error) {
	r := &c.refusals[err.Kind]
	count := r.count.Add(1)
	last := r.loggedAt.Load()
	if now.UnixNano()-last < int64(logInterval) || !r.loggedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	klog.InfoS("body not read", "cause", err.Kind.String(), "caller", s.Caller, "received", received, "announced", s.Length,
		"max_bytes", s.MaxBytes, "since_last_line", count-r.logged.Swap(count), "err", err.Err)
}

// run handles events until the ring is closed.
func (c *Collector) run() {
	wake, stop := (<-chan time.Time)(nil), func() {}
	var released <-chan struct{}
	if c.options.Budget != nil {
		released = c.options.Budget.Released()
	}
	for {
		select {
		case e := <-c.events.C():
			for ok := true; ok; e, ok = c.events.TryTake() {
				c.handle(e)
			}
		case <-released:
		case <-wake:
		case <-c.events.Done():
			stop()
			return
		}
		stop()
		wake, stop = c.decide()
	}
}

// handle applies an event to the list.
func (c *Collector) handle(e event) {
	switch e.kind {
	case eventWanted:
		l := e.listing
		if c.leaving[l.id] != nil {
			// It was interrupted after it had read what it waited for.
			l.replies <- false
			return
		}
		l.large = e.large
		l.wanted, l.waitingSince = e.bytes, c.options.Clock.Now()
		c.listed[l.id] = l
	case eventEnded:
		delete(c.listed, e.listing.id)
		delete(c.leaving, e.listing.id)
	}
}

// decide has the shedder decide and carries its plan out. It returns the timer of the next
// decision.
func (c *Collector) decide() (<-chan time.Time, func()) {
	waiting := false
	bodies := make([]shedder.Body, 0, len(c.listed))
	for _, l := range c.listed {
		waiting = waiting || l.wanted > 0
		bodies = append(bodies, l.view())
	}
	c.options.Budget.Await(waiting)
	if !waiting {
		return nil, func() {}
	}
	now := c.options.Clock.Now()
	room := shedder.Room{Small: c.options.Budget.Free(), Large: c.large.Free()}
	for _, l := range c.leaving {
		room.Leaving += l.body.held.Load()
		if l.large {
			room.LeavingLarge += l.body.held.Load()
		}
	}
	plan := shedder.Decide(now, bodies, room, c.options.Limits)
	for _, id := range plan.Granted {
		c.grant(c.listed[id])
	}
	for _, id := range plan.Shed {
		if l := c.listed[id]; l.isUnread() {
			// Its caller is not idle; this process was.
			l.progress.Store(now.UnixNano())
			plan.Next = earliest(plan.Next, now.Add(c.options.Limits.Idle))
		} else {
			c.giveUp(l)
		}
	}
	if plan.Next.IsZero() {
		return nil, func() {}
	}
	return c.options.Clock.After(max(0, plan.Next.Sub(now)))
}

// earliest returns the earlier of two times, of which the first may be zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// grant reserves what a body wants. If another has taken the room meanwhile, the body
// waits on.
func (c *Collector) grant(l *listing) {
	budget := c.options.Budget
	if l.large {
		budget = c.large
	}
	if !l.body.reserve(budget, l.wanted) {
		return
	}
	l.wanted = 0
	l.progress.Store(c.options.Clock.Now().UnixNano())
	l.replies <- true
}

// giveUp ends a body. Its bytes become free when its reader has noticed.
func (c *Collector) giveUp(l *listing) {
	delete(c.listed, l.id)
	c.leaving[l.id] = l
	if l.wanted > 0 {
		l.replies <- false
		return
	}
	l.interrupt()
}

// put puts an event into the ring. It returns false after Stop.
func (c *Collector) put(e event) bool { return c.events.Put(context.Background(), e) }
