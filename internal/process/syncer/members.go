package syncer

import (
	"context"
	"encoding/json"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/subscriber"
)

// meet takes in an update of the entries, and writes this entry's own if it is
// not there.
func (s *Syncer) meet(u subscriber.Update) {
	if !u.Reachable {
		return
	}
	if u.Complete {
		clear(s.entries)
	}
	for _, o := range u.Objects {
		var e Entry
		if err := json.Unmarshal(o.Value, &e); err != nil || e.Address == "" {
			s.ignore(o, err)
			continue
		}
		s.entries[s.options.Decoder.Name(o.Key)] = e
	}
	for _, key := range u.Removed {
		delete(s.entries, s.options.Decoder.Name(key))
	}
	own := Entry{Address: s.options.Address, AvailabilityZone: s.options.Self.AvailabilityZone}
	if s.entries[s.options.Self.Identity] != own && !s.leaving.Load() {
		s.announce(own)
	}
	s.publish()
}

// announce writes this entry's object. A failure is made up for with the next
// snapshot.
func (s *Syncer) announce(own Entry) {
	value, err := json.Marshal(own)
	if err != nil {
		klog.ErrorS(err, "entry not announced")
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, writeTimeout)
	defer cancel()
	old, err := s.options.Store.Get(ctx, s.key())
	if err == nil {
		_, err = s.options.Store.Put(ctx, s.key(), value, old.Version)
	}
	if err != nil {
		klog.InfoS("entry not announced", "key", s.key(), "err", err)
		return
	}
	s.entries[s.options.Self.Identity] = own
}

// publish makes the members known to other duties.
func (s *Syncer) publish() {
	members := map[string]string{}
	known := map[string]struct{}{s.options.Address: {}}
	for identity, e := range s.entries {
		if identity != s.options.Self.Identity {
			members[identity] = e.Address
			known[e.Address] = struct{}{}
		}
	}
	for _, address := range s.options.Seeds {
		if _, ok := known[address]; !ok {
			members["seed "+address] = address
		}
	}
	s.members.Store(&members)
	s.options.Forwarder.SetEntryCount(max(len(s.entries), len(s.options.Seeds), 1))
}
