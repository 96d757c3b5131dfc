package syncer

import (
	"encoding/json"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
)

// Spread tells all other entries about strikes.
func (s *Syncer) Spread(strikes []detector.Strike) {
	for identity := range s.Members() {
		s.options.Send(identity, messenger.MethodStrike, strikes)
	}
}

// Share tells all other entries what this one has in flight, and the placements
// since it told them last.
func (s *Syncer) Share(loads []dispatcher.Load, placed []dispatcher.Placement) {
	// Encoded once for all.
	encoded, err := json.Marshal(pack(loads, placed))
	if err != nil {
		klog.ErrorS(err, "load not shared")
		return
	}
	for identity := range s.Members() {
		s.options.Send(identity, messenger.MethodLoad, json.RawMessage(encoded))
	}
}

// Handle answers another entry that cannot reach the platform, and takes in the
// answers of others.
func (s *Syncer) Handle(c *messenger.Conn, m messenger.Message) (any, error) {
	switch m.Method {
	case messenger.MethodFetchState:
		var q FetchState
		if err := m.Decode(&q); err != nil {
			return nil, err
		}
		c.Notify(messenger.MethodState, s.state(q))
	case messenger.MethodState:
		var state State
		if err := m.Decode(&state); err != nil {
			return nil, err
		}
		s.input.Put(s.ctx, input{state: &state, peer: c.Peer.Identity})
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
		f := s.options.Forwarder
		loads, placed := l.unpack(f.State().Upstreams)
		f.ReceiveLoad(c.Peer.Identity, loads, placed)
	}
	return nil, nil
}

// state returns what this entry knows for another one.
func (s *Syncer) state(q FetchState) State {
	f := s.options.Forwarder.State()
	// Entries that know of the platform only from each other must not vouch for
	// each other.
	out := State{Synced: s.reached.Load(), Upstreams: f.Upstreams}
	if f.Table != nil && f.Table.Configuration.Version > q.Version {
		out.Configuration = &f.Table.Configuration
	}
	return out
}
