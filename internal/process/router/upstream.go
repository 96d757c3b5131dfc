package router

import (
	"context"
	"maps"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/dialer"
	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// upstream is an agent to which this entry keeps a connection.
type upstream struct {
	address string
	dialer  *dialer.Dialer
	conn    *messenger.Conn
	leaving bool
	// withdrawn is set when no record names the upstream at this address.
	withdrawn bool
	// answered is set once the agent has said something of itself, or could not
	// be reached.
	answered bool
}

func (r *Router) opened(e event) {
	u := r.upstreams[e.upstream]
	if u == nil || u != e.owner || u.withdrawn {
		e.conn.Close()
		return
	}
	u.conn, u.leaving = e.conn, false
	e.conn.Notify(messenger.MethodNotice, messenger.Notice{Stamp: r.options.Recorder.Stamp()})
}

// notice takes in what an agent says of itself: first in answer to the entry's
// own notice, after which it gets work, and later when it is leaving, when its
// upstream is down and when that is back.
func (r *Router) notice(now time.Time, e event) {
	r.options.Recorder.Merge(e.notice.Stamp)
	u := r.upstreams[e.upstream]
	if u == nil || u.conn != e.conn {
		return
	}
	u.answered = true
	defer r.signalReady()
	if e.notice.Down {
		r.picker.Step(now, picker.Event{Kind: picker.EventLeaving, Upstream: e.upstream})
		r.options.Recorder.Record(tracer.Event{Kind: tracer.KindMemberGone, Upstream: e.upstream, Reason: "upstream_down"})
		return
	}
	if e.notice.Leaving {
		u.leaving = true
		r.picker.Step(now, picker.Event{Kind: picker.EventLeaving, Upstream: e.upstream})
		r.options.Recorder.Record(tracer.Event{Kind: tracer.KindMemberLeaving, Upstream: e.upstream})
		r.release(e.upstream)
		return
	}
	r.picker.Step(now, picker.Event{Kind: picker.EventConnected, Upstream: e.upstream, AvailabilityZone: e.conn.Peer.AvailabilityZone})
	if e.notice.Load != nil {
		r.picker.Step(now, picker.Event{Kind: picker.EventLoad, Upstream: e.upstream, Load: *e.notice.Load})
	}
	r.options.Recorder.Record(tracer.Event{Kind: tracer.KindMemberJoined, Upstream: e.upstream})
}

// signalReady closes the channel of [Router.Ready] when that is due.
func (r *Router) signalReady() {
	connected := false
	for _, u := range r.upstreams {
		if !u.answered {
			return
		}
		connected = connected || u.conn != nil && !u.leaving
	}
	if connected {
		closeOnce(r.ready)
	}
}

// release closes the connection to an upstream that is leaving once nothing of
// this entry is in flight there. The agent waits for this before it stops.
// Withdrawing a record ends no request either.
func (r *Router) release(name string) {
	u := r.upstreams[name]
	if u == nil || !u.leaving {
		return
	}
	for _, f := range r.flights {
		if f.upstream == name {
			return
		}
	}
	if u.conn != nil {
		u.conn.Close()
	}
	if u.withdrawn {
		r.forget(name)
	}
}

// forget removes a withdrawn upstream. If it has moved to another address, the
// entry connects to that.
func (r *Router) forget(name string) {
	u := r.upstreams[name]
	delete(r.upstreams, name)
	r.picker.Step(r.options.Clock.Now(), picker.Event{Kind: picker.EventDisconnected, Upstream: name})
	// The dialer may be reporting to this duty's ring, so it is not waited for.
	go u.dialer.Stop()
	if u, ok := r.snapshot.Upstreams[name]; ok && r.subset(r.snapshot)[name] {
		r.connect(name, u.Address)
	}
}

func (r *Router) closed(now time.Time, e event) {
	u := r.upstreams[e.upstream]
	if u == nil || u.conn != e.conn {
		return
	}
	u.conn = nil
	r.picker.Step(now, picker.Event{Kind: picker.EventDisconnected, Upstream: e.upstream})
	r.options.Recorder.Record(tracer.Event{Kind: tracer.KindMemberGone, Upstream: e.upstream})
	var lost []*flight
	for _, id := range slices.Sorted(maps.Keys(r.flights)) {
		if f := r.flights[id]; f.upstream == e.upstream {
			lost = append(lost, f)
		}
	}
	// All strikes come before the first new attempt, so that suspects are known.
	for _, f := range lost {
		if f.started {
			r.crashed(now, e.upstream, f)
		}
	}
	for _, f := range lost {
		r.end(now, f, retrier.CauseLost)
	}
}

func (r *Router) apply(s *compiler.Snapshot) {
	r.snapshot = s
	r.revision.Store(s.Revision)
	wanted := r.subset(s)
	for name, u := range r.upstreams {
		u.withdrawn = !wanted[name] || s.Upstreams[name].Address != u.address
		if u.withdrawn {
			u.leaving = true
			r.picker.Step(r.options.Clock.Now(), picker.Event{Kind: picker.EventLeaving, Upstream: name})
			r.release(name)
		}
	}
	for name := range wanted {
		if r.upstreams[name] == nil {
			r.connect(name, s.Upstreams[name].Address)
		}
	}
}

// candidates returns the upstreams of this entry that can serve a request.
func (r *Router) candidates(q admitter.Request) []string {
	if q.Call != nil {
		return r.subsets["service "+q.Service]
	}
	return r.subsets["model "+q.Model]
}

// subset returns the upstreams to which this entry connects, and keeps those of
// each model and service.
func (r *Router) subset(s *compiler.Snapshot) map[string]bool {
	wanted := map[string]bool{}
	r.subsets = map[string][]string{}
	for kind, groups := range map[string]map[string][]string{"model ": s.UpstreamsByModel, "service ": s.UpstreamsByService} {
		for group, names := range groups {
			subset := picker.Subset(r.options.Self.Identity, names, subsetSize)
			r.subsets[kind+group] = subset
			for _, name := range subset {
				wanted[name] = true
			}
		}
	}
	return wanted
}

func (r *Router) connect(name, address string) {
	handle := func(c *messenger.Conn, m messenger.Message) (any, error) {
		e := event{upstream: name, conn: c}
		switch m.Method {
		case messenger.MethodFrame:
			e.kind = eventFrame
			if err := m.Decode(&e.frame); err != nil {
				return nil, err
			}
		case messenger.MethodNotice:
			e.kind = eventNotice
			if err := m.Decode(&e.notice); err != nil {
				return nil, err
			}
		default:
			e.kind = eventClosed
		}
		r.events.Put(context.Background(), e)
		return nil, nil
	}
	u := &upstream{address: address}
	u.dialer = dialer.New(dialer.Options{
		Address: address, Clock: r.options.Clock,
		Messenger: messenger.Options{Self: r.options.Self, Secret: r.options.Secret, Handle: handle, Refused: r.options.PeerRefused},
		OnConnect: func(c *messenger.Conn) {
			r.events.Put(context.Background(), event{kind: eventOpened, upstream: name, owner: u, conn: c})
		},
		OnDialError: func(error) {
			r.events.Put(context.Background(), event{kind: eventFailed, upstream: name, owner: u})
		},
	})
	r.upstreams[name] = u
}
