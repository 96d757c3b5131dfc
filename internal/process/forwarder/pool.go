package forwarder

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
)

const (
	// idleDefault is the time for which a connection is kept if the upstream does
	// not say how long it keeps it.
	idleDefault = 5 * time.Second
	// idleMargin is the time by which a connection is given up before the
	// upstream closes it, so that no request crosses the close.
	idleMargin = 500 * time.Millisecond
)

// pool holds the connections to one upstream that carry no call.
type pool struct {
	upstream registrar.Upstream
	// idle holds the kept connections, the one used last at the end. It is taken
	// first, so that the others lapse when there is less to carry.
	idle []kept
	// open counts all connections.
	open int
	// leaving is true once the upstream gets no more requests.
	leaving bool
}

// kept is a connection that carries no call until the given time.
type kept struct {
	conn  *carrier.Conn
	until time.Time
}

// take returns a kept connection, nil if there is none.
func (p *pool) take(now time.Time) *carrier.Conn {
	for len(p.idle) > 0 {
		k := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(k.until) {
			return k.conn
		}
		p.drop(k.conn)
	}
	return nil
}

// put takes back a connection after a call.
func (p *pool) put(now time.Time, r carrier.Report) {
	idle := idleDefault
	if r.KeepAliveTimeout > 0 {
		idle = r.KeepAliveTimeout
	}
	if !r.Reusable || p.leaving || idle <= idleMargin {
		p.drop(r.Conn)
		return
	}
	p.idle = append(p.idle, kept{r.Conn, now.Add(idle - idleMargin)})
}

// expire drops the connections that were idle for too long.
func (p *pool) expire(now time.Time) {
	left := p.idle[:0]
	for _, k := range p.idle {
		if now.Before(k.until) {
			left = append(left, k)
			continue
		}
		p.drop(k.conn)
	}
	p.idle = left
}

// expiry returns the time at which the first idle connection lapses, the zero
// time if there is none.
func (p *pool) expiry() time.Time {
	var first time.Time
	for _, k := range p.idle {
		if first.IsZero() || k.until.Before(first) {
			first = k.until
		}
	}
	return first
}

func (p *pool) drop(c *carrier.Conn) {
	c.Close()
	p.open--
}

func (p *pool) close() {
	for _, k := range p.idle {
		p.drop(k.conn)
	}
	p.idle = nil
}

// release closes the idle connections of an upstream that gets no more requests,
// and forgets it once the last call has ended.
func (f *Forwarder) release(p *pool) {
	if !p.leaving {
		return
	}
	p.close()
	if identity := p.upstream.InstanceID(); p.open == 0 && f.pools[identity] == p {
		delete(f.pools, identity)
	}
}
