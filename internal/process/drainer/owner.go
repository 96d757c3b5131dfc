package drainer

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
	"magnoliafront.dev/magnoliafront/internal/connection/evictor"
)

const (
	// evictionPart is the divisor for the part of MaxConns that is kept free where idle
	// connections allow it. Those are looked at once for so many new connections.
	evictionPart = 16
	// evictionTimeout is the time after which others are chosen if those that were chosen
	// have not closed, because bytes had arrived.
	evictionTimeout = 100 * time.Millisecond
	// logInterval is the minimum time between two log lines on closed connections.
	logInterval = time.Second
)

// counters are the numbers of connections, for other goroutines to read.
type counters struct {
	open    atomic.Int64
	refused atomic.Uint64
	closed  [closer.CauseCount]atomic.Uint64
}

// Connections is the state of the connections of a server.
type Connections struct {
	Name string
	Open int64
	// Limit is the maximum of Open, or zero.
	Limit int64
	// Refused counts the connections that got no place, Closed those that a limit closed,
	// by the limit, and AcceptFailures the failed attempts to accept one.
	Refused        uint64
	Closed         map[string]uint64
	AcceptFailures uint64
}

// Connections returns the state of the connections.
func (d *Drainer) Connections() Connections {
	c := Connections{
		Name: d.options.Name, Open: d.counters.open.Load(), Limit: int64(d.options.MaxConns),
		Refused: d.counters.refused.Load(), Closed: map[string]uint64{}, AcceptFailures: d.listener.Failures(),
	}
	for cause := closer.CauseOther + 1; cause < closer.CauseCount; cause++ {
		c.Closed[cause.String()] = d.counters.closed[cause].Load()
	}
	return c
}

// owner is the state of the goroutine that owns the open connections.
type owner struct {
	drainer *Drainer
	open    map[*closer.Conn]struct{}
	// awaiting holds the channels to close once no connection is open.
	awaiting []chan struct{}
	// stopping is true once the server stops, and draining once it accepts no more.
	stopping bool
	draining bool
	// admission is the event of the connection that waits for room, if any. wake is the
	// time of the next look at the connections, while one waits.
	admission *event
	wake      time.Time
	// evicting is the number of connections that were chosen and have not closed yet, and
	// nextChoice the time before which no others are chosen.
	evicting   int
	nextChoice time.Time
	logged     time.Time
}

// run handles events until the ring is closed.
func (o *owner) run() {
	for {
		e, ok := o.next()
		if !ok {
			o.end()
			return
		}
		o.handle(e)
		o.admit()
		if len(o.open) == 0 {
			closeAll(o.awaiting)
			o.awaiting = nil
		}
	}
}

// next waits for an event, or for the time of the next look at the connections, for which
// it returns an event of no kind. It returns false once the ring is closed and empty.
func (o *owner) next() (event, bool) {
	events := o.drainer.events
	var wake <-chan time.Time
	if o.admission != nil && !o.wake.IsZero() {
		clock := o.drainer.options.Clock
		var stop func()
		wake, stop = clock.After(max(0, o.wake.Sub(clock.Now())))
		defer stop()
	}
	select {
	case e := <-events.C():
		return e, true
	case <-wake:
		return event{kind: eventWake}, true
	case <-events.Done():
		return events.TryTake()
	}
}

// end releases all that wait when the server has stopped.
func (o *owner) end() {
	closeAll(o.awaiting)
	if o.admission != nil {
		o.admission.admitted <- true
	}
}

func (o *owner) handle(e event) {
	switch e.kind {
	case eventOpened:
		o.open[e.conn] = struct{}{}
		if o.draining {
			e.conn.Drain()
		}
	case eventClosed:
		delete(o.open, e.conn)
		o.countClosed(e.conn.Cause())
	case eventDrain:
		o.draining = true
		for c := range o.open {
			c.Drain()
		}
	case eventAwaitIdle:
		o.awaiting = append(o.awaiting, e.idle)
	case eventCutOff:
		for c := range o.open {
			c.CutOff()
		}
		close(e.handled)
	case eventAdmit:
		o.admission = &e
		o.limitPatience()
	case eventStopping:
		o.stopping = true
		o.limitPatience()
	case eventConnIdle:
		if o.evicting == 0 {
			// Another look finds it, or one that is idle for longer.
			o.nextChoice = time.Time{}
		}
	case eventLimits:
		o.drainer.loadLimits()
		for c := range o.open {
			c.ApplyLimits()
		}
	case eventRefused:
		o.drainer.counters.refused.Add(1)
		o.logClosed()
	}
	o.drainer.counters.open.Store(int64(len(o.open)))
}

// limitPatience lets the connection that waits for room wait no longer than a moment if the
// server stops, since Stop waits for it.
func (o *owner) limitPatience() {
	if !o.stopping || o.admission == nil {
		return
	}
	if latest := o.drainer.options.Clock.Now().Add(refusalPause); o.admission.refuseAt.After(latest) {
		o.admission.refuseAt = latest
	}
}

// admit answers the connection that waits for room, if there is room or its time has come.
// Near the maximum, it closes connections first.
func (o *owner) admit() {
	if o.admission == nil {
		return
	}
	now, limit := o.drainer.options.Clock.Now(), o.drainer.options.MaxConns
	full := len(o.open) >= limit
	if !o.drainer.short.Swap(full) && full && o.evicting == 0 {
		// From now on, connections that become idle are reported.
		o.nextChoice = time.Time{}
	}
	margin := max(1, limit/evictionPart)
	if len(o.open) >= limit-margin && !now.Before(o.nextChoice) {
		o.evict(now, margin)
	}
	if full && now.Before(o.admission.refuseAt) {
		o.wake = o.admission.refuseAt
		if o.nextChoice.Before(o.wake) {
			o.wake = o.nextChoice
		}
		return
	}
	o.drainer.short.Store(false)
	o.admission.admitted <- !full
	o.admission = nil
}

// evict closes up to n connections.
func (o *owner) evict(now time.Time, n int) {
	conns := make([]*closer.Conn, 0, len(o.open))
	states := make([]evictor.Connection, 0, len(o.open))
	for c := range o.open {
		conns = append(conns, c)
		states = append(states, c.Activity())
	}
	choice := evictor.Choose(now, states, n)
	o.evicting = 0
	for _, i := range choice.Evict {
		if conns[i].Evict(states[i]) {
			o.evicting++
		}
	}
	switch {
	case len(choice.Evict) > 0:
		o.nextChoice = now.Add(evictionTimeout)
	case choice.Next.IsZero():
		o.nextChoice = now.Add(acceptPatience)
	default:
		o.nextChoice = choice.Next
	}
}

// countClosed counts a connection that has closed.
func (o *owner) countClosed(cause closer.Cause) {
	if cause == closer.CauseOther {
		return
	}
	o.drainer.counters.closed[cause].Add(1)
	if cause == closer.CauseEvicted && o.evicting > 0 {
		o.evicting--
		if o.evicting == 0 {
			o.nextChoice = time.Time{}
		}
	}
	if cause != closer.CauseIdleTimeout {
		o.logClosed()
	}
}

// logClosed logs the numbers of connections that limits have closed, once a second at most.
func (o *owner) logClosed() {
	now := o.drainer.options.Clock.Now()
	if now.Sub(o.logged) < logInterval {
		return
	}
	o.logged = now
	c := o.drainer.Connections()
	klog.InfoS("connections closed at a limit", "server", c.Name, "open", len(o.open), "limit", c.Limit, "evicted", c.Closed["evicted"],
		"head_timeout", c.Closed["head_timeout"], "head_too_large", c.Closed["head_too_large"], "refused", c.Refused)
}

// closeAll closes channels.
func closeAll(channels []chan struct{}) {
	for _, c := range channels {
		close(c)
	}
}
