package forwarder

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/connection/prober"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
)

const (
	// defaultIdleTimeout is the idle timeout of a connection if the upstream sends
	// no Keep-Alive timeout.
	defaultIdleTimeout = 5 * time.Second
	// idleTimeoutMargin is the time by which an idle connection is closed before
	// the upstream closes it, so that no request is sent on a closing connection.
	idleTimeoutMargin = 500 * time.Millisecond
)

// pool is the connection pool of one upstream.
type pool struct {
	upstream registrar.Upstream
	// idle is a stack of the idle connections. The most recently used one is reused
	// first, so that the others expire when the load decreases.
	idle []idleConn
	// busy holds the connections with a call.
	busy map[*carrier.Conn]struct{}
	// connections is the number of idle and busy connections.
	connections int
	// total is the number of connections of all pools.
	total *atomic.Int64
	// removed is true once the upstream gets no more requests.
	removed bool
}

// idleConn is an idle connection and the time at which it must be closed.
type idleConn struct {
	conn      *carrier.Conn
	expiresAt time.Time
}

// get returns an idle connection that has not expired, or nil if there is none.
func (p *pool) get(now time.Time) *carrier.Conn {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(c.expiresAt) {
			return c.conn
		}
		p.closeConn(c.conn)
	}
	return nil
}

// put returns a connection to the pool after a call, or closes it if it cannot be
// reused.
func (p *pool) put(now time.Time, r carrier.Report) {
	delete(p.busy, r.Conn)
	timeout := defaultIdleTimeout
	if r.KeepAliveTimeout > 0 {
		timeout = r.KeepAliveTimeout
	}
	// A replacement that is not needed takes the place of a connection of another entry.
	unneeded := r.Replaced && len(p.idle) > 0
	if !r.Reusable || unneeded || p.removed || timeout <= idleTimeoutMargin {
		p.closeConn(r.Conn)
		return
	}
	p.idle = append(p.idle, idleConn{r.Conn, now.Add(timeout - idleTimeoutMargin)})
}

// confirm tells a call what the calls beside it show of the upstream, which accepts no
// connections.
func (p *pool) confirm(r carrier.Report) {
	e := p.evidenceBeside(r.Conn)
	v := prober.Judge(e)
	klog.InfoS("end of answer unconfirmed", "request", r.Request, "attempt", r.Attempt, "upstream", p.upstream.InstanceID(),
		"events", r.RelayedEvents, "open", e.Open, "active", e.Active, "ended", e.Ended, "verdict", v.String(), "err", r.Err)
	r.Conn.Confirm(v)
}

// evidenceBeside returns what the calls beside that of c show of the upstream.
func (p *pool) evidenceBeside(c *carrier.Conn) prober.Evidence {
	var e prober.Evidence
	for other := range p.busy {
		if other != c {
			e.Add(&c.Socket, &other.Socket)
		}
	}
	return e
}

// expire closes the idle connections that have expired.
func (p *pool) expire(now time.Time) {
	remaining := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expiresAt) {
			remaining = append(remaining, c)
			continue
		}
		p.closeConn(c.conn)
	}
	p.idle = remaining
}

// nextExpiry returns the earliest expiry of an idle connection, or the zero time if
// there is none.
func (p *pool) nextExpiry() time.Time {
	var next time.Time
	for _, c := range p.idle {
		if next.IsZero() || c.expiresAt.Before(next) {
			next = c.expiresAt
		}
	}
	return next
}

func (p *pool) closeConn(c *carrier.Conn) {
	c.Close()
	p.connections--
	p.total.Add(-1)
}

func (p *pool) closeIdle() {
	for _, c := range p.idle {
		p.closeConn(c.conn)
	}
	p.idle = nil
}

// poolOf returns the pool of an upstream. If the address of the upstream has changed,
// the pool for the previous address is replaced.
func (f *Forwarder) poolOf(u registrar.Upstream) *pool {
	id := u.InstanceID()
	p := f.pools[id]
	if p != nil && p.upstream.Address != u.Address {
		klog.InfoS("upstream address changed", "upstream", id, "service", u.Service, "address", u.Address, "previous", p.upstream.Address)
		p.removed = true
		f.cleanUpPool(p)
		p = nil
	}
	if p == nil {
		p = &pool{upstream: u, busy: map[*carrier.Conn]struct{}{}, total: &f.connections}
		f.pools[id] = p
	}
	return p
}

// cleanUpPool closes the idle connections of a removed upstream, and deletes its
// pool once the last call has ended.
func (f *Forwarder) cleanUpPool(p *pool) {
	if !p.removed {
		return
	}
	p.closeIdle()
	if id := p.upstream.InstanceID(); p.connections == 0 && f.pools[id] == p {
		delete(f.pools, id)
	}
}
