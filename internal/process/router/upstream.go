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

// upstream is the state of an upstream to whose agent this entry keeps a
// connection.
type upstream struct {
	address string
	dialer  *dialer.Dialer
	conn    *messenger.Conn
	// leaving is true if the agent is stopping or the record was withdrawn. New
	// requests are not sent to it.
	leaving bool
	// withdrawn is true if the records no longer have the upstream at this
	// address, or it is no longer in the subsets of this entry.
	withdrawn bool
	// statusKnown is true once the agent has sent a notice or could not be
	// reached.
	statusKnown bool
}

// handleConnected stores a new connection to an agent and sends a notice, which
// the agent answers with its own. It closes a connection to an upstream that is
// withdrawn or has been replaced.
func (r *Router) handleConnected(e event) {
	u := r.upstreams[e.upstream]
	if u == nil || u != e.target || u.withdrawn {
		e.conn.Close()
		return
	}
	u.conn, u.leaving = e.conn, false
	e.conn.Notify(messenger.MethodNotice, messenger.Notice{Stamp: r.options.Recorder.Stamp()})
}

// handleNotice processes a notice of an agent. The first one answers the notice of
// the entry; from then on the upstream gets requests. Later ones report that the
// agent is leaving, or that its upstream is down or up again.
func (r *Router) handleNotice(now time.Time, e event) {
	r.options.Recorder.Merge(e.notice.Stamp)
	u := r.upstreams[e.upstream]
	if u == nil || u.conn != e.conn {
		return
	}
	u.statusKnown = true
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
		r.closeIfUnused(e.upstream)
		return
	}
	r.picker.Step(now, picker.Event{Kind: picker.EventConnected, Upstream: e.upstream, AvailabilityZone: e.conn.Peer.AvailabilityZone})
	if e.notice.Load != nil {
		r.picker.Step(now, picker.Event{Kind: picker.EventLoad, Upstream: e.upstream, Load: *e.notice.Load})
	}
	r.options.Recorder.Record(tracer.Event{Kind: tracer.KindMemberJoined, Upstream: e.upstream})
}

// signalReady closes the channel of [Router.Ready] if its condition holds.
func (r *Router) signalReady() {
	connected := false
	for _, u := range r.upstreams {
		if !u.statusKnown {
			return
		}
		connected = connected || u.conn != nil && !u.leaving
	}
	if connected {
		closeOnce(r.ready)
	}
}

// closeIfUnused closes the connection to a leaving upstream if no request of this
// entry is in flight there. The agent waits for this before it stops. The
// withdrawal of a record does not abort requests in flight either.
func (r *Router) closeIfUnused(name string) {
	u := r.upstreams[name]
	if u == nil || !u.leaving {
		return
	}
	for _, f := range r.inFlight {
		if f.upstream == name {
			return
		}
	}
	if u.conn != nil {
		u.conn.Close()
	}
	if u.withdrawn {
		r.removeUpstream(name)
	}
}

// removeUpstream removes a withdrawn upstream. If its record now has another
// address, the entry connects to that address.
func (r *Router) removeUpstream(name string) {
	u := r.upstreams[name]
	delete(r.upstreams, name)
	r.picker.Step(r.options.Clock.Now(), picker.Event{Kind: picker.EventDisconnected, Upstream: name})
	// The dialer may be blocked on the event ring of this goroutine, so waiting for
	// it here could deadlock.
	go u.dialer.Stop()
	if u, ok := r.snapshot.Upstreams[name]; ok && r.selectSubsets(r.snapshot)[name] {
		r.connect(name, u.Address)
	}
}

// handleDisconnected ends the attempts in flight on a connection that was lost.
func (r *Router) handleDisconnected(now time.Time, e event) {
	u := r.upstreams[e.upstream]
	if u == nil || u.conn != e.conn {
		return
	}
	u.conn = nil
	r.picker.Step(now, picker.Event{Kind: picker.EventDisconnected, Upstream: e.upstream})
	r.options.Recorder.Record(tracer.Event{Kind: tracer.KindMemberGone, Upstream: e.upstream})
	var lost []*inFlight
	for _, id := range slices.Sorted(maps.Keys(r.inFlight)) {
		if f := r.inFlight[id]; f.upstream == e.upstream {
			lost = append(lost, f)
		}
	}
	// All strikes are recorded before the first retry, so that the retries already
	// count as suspect.
	for _, f := range lost {
		if f.started {
			r.recordCrash(now, e.upstream, f)
		}
	}
	for _, f := range lost {
		r.endAttempt(now, f, retrier.CauseLost)
	}
}

// applySnapshot replaces the records. It connects to new upstreams and withdraws
// those that are gone or have another address.
func (r *Router) applySnapshot(s *compiler.Snapshot) {
	r.snapshot = s
	r.revision.Store(s.Revision)
	wanted := r.selectSubsets(s)
	for name, u := range r.upstreams {
		u.withdrawn = !wanted[name] || s.Upstreams[name].Address != u.address
		if u.withdrawn {
			u.leaving = true
			r.picker.Step(r.options.Clock.Now(), picker.Event{Kind: picker.EventLeaving, Upstream: name})
			r.closeIfUnused(name)
		}
	}
	for name := range wanted {
		if r.upstreams[name] == nil {
			r.connect(name, s.Upstreams[name].Address)
		}
	}
}

// candidates returns the names of the upstreams in the subset of this entry that
// can serve a request.
func (r *Router) candidates(q admitter.Request) []string {
	if q.Call != nil {
		return r.subsets["service "+q.Service]
	}
	return r.subsets["model "+q.Model]
}

// selectSubsets updates r.subsets and returns the names of all upstreams to which
// this entry connects.
func (r *Router) selectSubsets(s *compiler.Snapshot) map[string]bool {
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

// connect starts a dialer that keeps a connection to the agent of an upstream.
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
			e.kind = eventDisconnected
		}
		r.events.Put(context.Background(), e)
		return nil, nil
	}
	u := &upstream{address: address}
	u.dialer = dialer.New(dialer.Options{
		Address: address, Clock: r.options.Clock,
		Messenger: messenger.Options{Self: r.options.Self, Secret: r.options.Secret, Handle: handle, Refused: r.options.PeerRefused},
		OnConnect: func(c *messenger.Conn) {
			r.events.Put(context.Background(), event{kind: eventConnected, upstream: name, target: u, conn: c})
		},
		OnDialError: func(error) {
			r.events.Put(context.Background(), event{kind: eventDialFailed, upstream: name, target: u})
		},
	})
	r.upstreams[name] = u
}
