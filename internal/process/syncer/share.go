package syncer

import (
	"encoding/json"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
)

// SendStrikes sends strikes to all other entries.
func (s *Syncer) SendStrikes(strikes []detector.Strike) {
	for identity := range s.Members() {
		s.options.Send(identity, messenger.MethodStrike, strikes)
	}
}

// SendLoad sends the load report of this entry to all other entries.
func (s *Syncer) SendLoad(r dispatcher.LoadReport) {
	l := pack(r)
	if usage := s.pendingUsage.Swap(nil); usage != nil {
		l.Usage = *usage
	}
	s.sendLoad(l)
}

// sendLoad sends a message to all other entries. It is encoded once for all of them.
func (s *Syncer) sendLoad(l Load) {
	encoded, err := json.Marshal(l)
	if err != nil {
		klog.ErrorS(err, "load report not encoded", "bytes", len(l.Runs)+len(l.Placed)+len(l.Usage))
		return
	}
	for identity := range s.Members() {
		s.options.Send(identity, messenger.MethodLoad, json.RawMessage(encoded))
	}
}

// Handle handles a message of another entry. It replies to [FetchState] and [FetchVersions],
// queues a [State] and [KnownStrikes] for the goroutine, and passes strikes, load reports and
// [Versions] to the forwarder.
func (s *Syncer) Handle(c *messenger.Conn, m messenger.Message) (any, error) {
	switch m.Method {
	case messenger.MethodFetchState:
		var q FetchState
		if err := m.Decode(&q); err != nil {
			return nil, err
		}
		c.Notify(messenger.MethodState, s.ownState(q))
	case messenger.MethodState:
		var state State
		if err := m.Decode(&state); err != nil {
			return nil, err
		}
		s.input.Put(s.ctx, input{state: &state, peer: c.Peer.Identity})
	case messenger.MethodFetchStrikes:
		s.options.Forwarder.FetchStrikes(func(strikes []detector.Strike, complete bool) {
			c.Notify(messenger.MethodKnownStrikes, KnownStrikes{strikes, complete})
		})
	case messenger.MethodKnownStrikes:
		var k KnownStrikes
		if err := m.Decode(&k); err != nil {
			return nil, err
		}
		s.input.Put(s.ctx, input{strikes: &k, peer: c.Peer.Identity})
	case messenger.MethodFetchVersions:
		var q FetchVersions
		if err := m.Decode(&q); err != nil {
			return nil, err
		}
		s.sendVersions(c, q)
	case messenger.MethodVersions:
		var v Versions
		if err := m.Decode(&v); err != nil {
			return nil, err
		}
		s.options.Forwarder.ReceiveVersions(c.Peer.Identity, v.unpack())
	case messenger.MethodStrike:
		var strikes []detector.Strike
		if err := m.Decode(&strikes); err != nil {
			return nil, err
		}
		s.options.Forwarder.ReceiveStrikes(strikes)
	case messenger.MethodLoad:
		var l Load
		if err := m.Decode(&l); err != nil {
			return nil, err
		}
		s.receiveUsage(c.Peer.Identity, l.Usage)
		if l.Runs == nil {
			return nil, nil
		}
		f := s.options.Forwarder
		state := f.State()
		report := l.unpack(state.Upstreams, s.routesByHash(state.Table))
		report.Arrivals, report.AvailabilityZone = l.unpackArrivals(state.Table), c.Peer.AvailabilityZone
		f.ReceiveLoad(c.Peer.Identity, report)
	}
	return nil, nil
}

// ownState returns the state of this entry in reply to q.
func (s *Syncer) ownState(q FetchState) State {
	f := s.options.Forwarder.State()
	// Synced is true only if this entry itself reaches the platform. Otherwise
	// entries that all cannot reach it would keep each other synced.
	// Until the forwarder has applied the list, Upstreams is not complete.
	out := State{Synced: s.platformReachable.Load() && f.UpstreamsListed, Upstreams: f.Upstreams}
	if f.Table != nil && f.Table.Configuration.Version > q.Version {
		out.Configuration = &f.Table.Configuration
	}
	return out
}
