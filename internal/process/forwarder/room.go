package forwarder

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

// Connections is the state of the connections to upstreams.
type Connections struct {
	// Open is the number of connections, and Limit its maximum or zero.
	Open  int64
	Limit int64
	// Evicted counts the idle connections that were closed to make room, and Refused the
	// requests and attempts for which there was none.
	Evicted uint64
	Refused uint64
}

// Connections returns the state of the connections to upstreams.
func (f *Forwarder) Connections() Connections {
	return Connections{
		Open: f.connections.Load(), Limit: int64(f.options.MaxConns),
		Evicted: f.evicted.Load(), Refused: f.refused.Load(),
	}
}

// hasRoom reports whether another connection to an upstream may be opened, at least in the
// place of an idle one.
func (f *Forwarder) hasRoom() bool {
	return f.hasFreeConn() || f.oldestIdle() != nil
}

func (f *Forwarder) hasFreeConn() bool {
	limit := f.options.MaxConns
	return limit == 0 || f.connections.Load() < int64(limit)
}

// makeRoom makes room for another connection to an upstream. It closes the one that has been
// idle for longest if there is none, and returns false if all are in use.
func (f *Forwarder) makeRoom() bool {
	if f.hasFreeConn() {
		return true
	}
	p := f.oldestIdle()
	if p == nil {
		f.refused.Add(1)
		return false
	}
	p.closeConn(p.idle[0].conn)
	p.idle = p.idle[1:]
	f.evicted.Add(1)
	return true
}

// oldestIdle returns the pool whose first idle connection expires first, or nil if no
// connection is idle.
func (f *Forwarder) oldestIdle() *pool {
	var oldest *pool
	for _, p := range f.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].expiresAt.Before(oldest.idle[0].expiresAt)) {
			oldest = p
		}
	}
	return oldest
}

// refuseJob refuses a request that could not be sent, since all connections to upstreams
// are in use.
func (f *Forwarder) refuseJob(j Job) {
	f.refused.Add(1)
	klog.InfoS("request refused", "request", j.Request.ID, "reason", "upstream_connections", "open", f.connections.Load())
	j.Replies.End(relayer.Reply{Kind: relayer.KindFailed, Failure: admitter.OverloadedFailure()})
}

// refuseDial is the dial function of a connection for which there is no room.
func refuseDial(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("all connections to upstreams are in use")
}
