package syncer

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/subscriber"
)

// updateEntries applies an update of the entries, and writes the object of this
// entry if it is missing or different.
func (s *Syncer) updateEntries(u subscriber.Update) {
	if !u.Reachable {
		return
	}
	if u.Complete {
		clear(s.entries)
	}
	for _, o := range u.Objects {
		name := s.options.Decoder.Name(o.Key)
		e, err := decodeEntry(o)
		if err != nil {
			s.ignoreObject(o, err)
			// An entry whose object can no longer be decoded is not known any more.
			delete(s.entries, name)
			continue
		}
		s.entries[name] = e
	}
	for _, key := range u.Removed {
		delete(s.entries, s.options.Decoder.Name(key))
	}
	own := Entry{Address: s.options.Address, AvailabilityZone: s.options.Self.AvailabilityZone}
	if s.entries[s.options.Self.Identity] != own && !s.ownEntryDeleted.Load() {
		s.writeOwnEntry(own)
	}
	s.publishMembers()
}

// decodeEntry decodes the object of an entry. It returns an error if no connection can
// be opened to its address.
func decodeEntry(o accessor.Object) (Entry, error) {
	var e Entry
	if err := json.Unmarshal(o.Value, &e); err != nil {
		return Entry{}, errors.Wrap(err, "decode the entry")
	}
	address, err := netip.ParseAddrPort(e.Address)
	if err == nil && address.Port() == 0 {
		err = errors.Errorf("address %q has no port", e.Address)
	}
	return e, err
}

// writeOwnEntry writes the object of this entry. After a failure it is written with
// the next update of the entries.
func (s *Syncer) writeOwnEntry(own Entry) {
	value, err := json.Marshal(own)
	if err != nil {
		klog.ErrorS(err, "own entry not encoded", "key", s.ownKey())
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, writeTimeout)
	defer cancel()
	old, err := s.options.Store.Get(ctx, s.ownKey())
	if err == nil {
		_, err = s.options.Store.Put(ctx, s.ownKey(), value, old.Version)
	}
	if err != nil {
		klog.InfoS("own entry not written", "key", s.ownKey(), "err", err)
		return
	}
	s.entries[s.options.Self.Identity] = own
}

// publishMembers publishes the addresses of the other entries to other goroutines
// and the number of entries to the forwarder. A seed whose address is in no object
// is included under the placeholder identity "seed ADDRESS".
func (s *Syncer) publishMembers() {
	members := map[string]string{}
	listed := []string{}
	known := map[string]struct{}{s.options.Address: {}}
	for identity, e := range s.entries {
		if identity != s.options.Self.Identity {
			members[identity] = e.Address
			known[e.Address] = struct{}{}
			listed = append(listed, identity)
		}
	}
	for _, address := range s.options.Seeds {
		if _, ok := known[address]; !ok {
			members["seed "+address] = address
		}
	}
	s.members.Store(&members)
	s.listed.Store(&listed)
	s.options.Forwarder.SetEntryCount(max(len(s.entries), len(s.options.Seeds), 1))
}
