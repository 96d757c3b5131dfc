package acceptor

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/evictor"
	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
)

const (
	// acceptPatience is the time for which connections wait to be accepted before they are
	// closed. One that is not authenticated makes room before.
	acceptPatience = 2 * time.Second
	// refusalPause is acceptPatience after a connection was closed. Those behind have
	// waited as well.
	refusalPause = 10 * time.Millisecond
	// logInterval is the minimum time between two log lines on closed connections.
	logInterval = time.Second
)

// admission asks for room for another connection.
type admission struct {
	// refuseAt is the time at which the answer is false if there is no room.
	refuseAt time.Time
	admitted chan bool
}

// counters are the numbers of connections, for other goroutines to read.
type counters struct {
	open    atomic.Int64
	evicted atomic.Uint64
	refused atomic.Uint64
}

// Connections is the state of the connections of an acceptor.
type Connections struct {
	// Open is the number of connections, and Limit its maximum or zero.
	Open  int64
	Limit int64
	// Evicted counts the connections that were closed before they were authenticated, to
	// make room. Refused counts those that got no place, and AcceptFailures the failed
	// attempts to accept one.
	Evicted        uint64
	Refused        uint64
	AcceptFailures uint64
}

// Connections returns the state of the connections.
func (a *Acceptor) Connections() Connections {
	return Connections{
		Open: a.counters.open.Load(), Limit: int64(a.limits.MaxConns),
		Evicted: a.counters.evicted.Load(), Refused: a.counters.refused.Load(), AcceptFailures: a.listener.Failures(),
	}
}

// acceptNext accepts one connection, for which it waits for room. It returns false once the
// listener is closed, and else the time to wait for room for the next.
func (a *Acceptor) acceptNext(o messenger.Options, patience time.Duration) (time.Duration, bool) {
	admitted := a.awaitRoom(patience)
	conn, err := a.listener.Accept()
	if err != nil {
		return 0, false
	}
	// There may be room since, if it took long until somebody connected.
	if !admitted && !a.awaitRoom(0) {
		a.counters.refused.Add(1)
		_ = conn.Close()
		return refusalPause, true
	}
	return acceptPatience, a.accepted.Put(context.Background(), messenger.Accept(conn, o))
}

// awaitRoom waits until another connection may be open, but no longer than patience, and
// reports whether it may.
func (a *Acceptor) awaitRoom(patience time.Duration) bool {
	if a.limits.MaxConns == 0 {
		return true
	}
	r := admission{refuseAt: a.limits.Clock.Now().Add(patience), admitted: make(chan bool, 1)}
	if !a.admissions.Put(context.Background(), r) {
		return false
	}
	select {
	case admitted := <-r.admitted:
		return admitted
	case <-a.admissions.Done():
		return false
	}
}

// tracker is the state of the goroutine that owns the open connections.
type tracker struct {
	acceptor *Acceptor
	conns    map[*messenger.Conn]struct{}
	// unauthenticated holds those whose handshake was not complete at the last look, and
	// when they were accepted.
	unauthenticated map[*messenger.Conn]time.Time
	// admission is the one that waits for room, if any, and wake the time of the next look.
	admission *admission
	wake      time.Time
	logged    time.Time
}

// run tracks the open connections. When the acceptor drains, it drains them and returns
// once all have ended.
func (t *tracker) run() {
	a := t.acceptor
	for closing := a.draining; closing != nil || len(t.conns) > 0; t.admit() {
		wake, stop := t.nextLook()
		select {
		case c := <-a.accepted.C():
			t.add(c)
		case c := <-a.ended.C():
			delete(t.conns, c)
			delete(t.unauthenticated, c)
		case r := <-a.admissions.C():
			t.addAccepted()
			t.admission = &r
		case <-wake:
		case <-closing:
			closing = nil
			t.addAccepted()
			for c := range t.conns {
				c.Drain()
			}
		}
		stop()
		a.counters.open.Store(int64(len(t.conns)))
	}
}

// nextLook returns a channel for the time of the next look at the connections. It is nil if
// there is none.
func (t *tracker) nextLook() (wake <-chan time.Time, stop func()) {
	if t.admission == nil {
		return nil, func() {}
	}
	clock := t.acceptor.limits.Clock
	return clock.After(max(0, t.wake.Sub(clock.Now())))
}

// addAccepted adds the connections that wait in the ring.
func (t *tracker) addAccepted() {
	for c, ok := t.acceptor.accepted.TryTake(); ok; c, ok = t.acceptor.accepted.TryTake() {
		t.add(c)
	}
}

func (t *tracker) add(c *messenger.Conn) {
	t.conns[c] = struct{}{}
	t.unauthenticated[c] = t.acceptor.limits.Clock.Now()
	go func() {
		<-c.Done()
		t.acceptor.ended.Put(context.Background(), c)
	}()
}

// admit answers the admission that waits, if there is room or its time has come.
func (t *tracker) admit() {
	if t.admission == nil {
		return
	}
	now := t.acceptor.limits.Clock.Now()
	room := t.hasRoom()
	if !room {
		t.wake = t.evictOne(now)
		room = t.hasRoom()
	}
	if !room && now.Before(t.admission.refuseAt) {
		if t.wake.IsZero() || t.admission.refuseAt.Before(t.wake) {
			t.wake = t.admission.refuseAt
		}
		return
	}
	if !room {
		t.log(now)
	}
	t.admission.admitted <- room
	t.admission = nil
}

// hasRoom reports whether another connection may be open.
func (t *tracker) hasRoom() bool {
	l := t.acceptor.limits
	return len(t.conns) < l.MaxConns && (l.MaxUnauthenticated == 0 || len(t.unauthenticated) < l.MaxUnauthenticated)
}

// evictOne closes the connection that has been without authentication for longest, if it
// may be closed. It returns the time at which another may be, or zero.
func (t *tracker) evictOne(now time.Time) time.Time {
	var conns []*messenger.Conn
	var states []evictor.Connection
	for c, since := range t.unauthenticated {
		if c.Authenticated() {
			delete(t.unauthenticated, c)
			continue
		}
		conns = append(conns, c)
		states = append(states, evictor.Connection{Activity: evictor.ActivitySilent, Since: since})
	}
	if t.hasRoom() {
		return time.Time{}
	}
	choice := evictor.Choose(now, states, 1)
	for _, i := range choice.Evict {
		conns[i].Close()
		delete(t.conns, conns[i])
		delete(t.unauthenticated, conns[i])
		t.acceptor.counters.evicted.Add(1)
		t.log(now)
	}
	return choice.Next
}

// log logs the numbers of connections that were closed for lack of room, once a second at
// most.
func (t *tracker) log(now time.Time) {
	if now.Sub(t.logged) < logInterval {
		return
	}
	t.logged = now
	c := t.acceptor.Connections()
	klog.InfoS("connections of peers closed at a limit", "open", len(t.conns), "limit", c.Limit,
		"unauthenticated", len(t.unauthenticated), "evicted", c.Evicted, "refused", c.Refused)
}
