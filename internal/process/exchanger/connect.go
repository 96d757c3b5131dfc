package exchanger

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/tracker"
)

// updateConnections selects the entries to which this process maintains
// connections, and returns the actions that dial new ones and disconnect others.
func (d *Decision) updateConnections(now time.Time) []Action {
	wanted := map[string]bool{}
	zone := d.Settings.Self.AvailabilityZone
	live := d.Tracker.Live("")
	sameZone := d.rankedAddresses(live, func(m tracker.Member) bool { return m.AvailabilityZone == zone })
	otherZones := d.rankedAddresses(live, func(m tracker.Member) bool { return m.AvailabilityZone != zone })
	selected := 0
	if d.isEntry() {
		selected = d.selectTargets(now, wanted, sameZone, sameZoneLinks) + d.selectTargets(now, wanted, otherZones, otherZoneLinks)
	} else if selected = d.selectTargets(now, wanted, sameZone, agentEntryLinks); selected < agentEntryLinks {
		selected += d.selectTargets(now, wanted, otherZones, agentEntryLinks-selected)
	}
	if selected < agentEntryLinks {
		for _, a := range d.Settings.Seeds {
			wanted[a] = true
		}
	}
	if unreachable := d.rankedAddresses(d.Tracker.InState("", tracker.StateUnreachable), func(tracker.Member) bool { return true }); len(unreachable) > 0 {
		if !now.Before(d.nextProbe) {
			d.nextProbe = now.Add(probeInterval)
			d.probeCursor++
		}
		wanted[unreachable[d.probeCursor%len(unreachable)]] = true
	}
	delete(wanted, d.Settings.Address)
	var out []Action
	for _, a := range slices.Sorted(maps.Keys(d.targets)) {
		if !wanted[a] {
			delete(d.targets, a)
			out = append(out, Action{Kind: ActionDisconnect, Address: a})
		}
	}
	for _, a := range slices.Sorted(maps.Keys(wanted)) {
		if _, ok := d.targets[a]; !ok {
			d.targets[a] = now
			out = append(out, Action{Kind: ActionDial, Address: a})
		}
	}
	return out
}

// selectTargets adds addresses to wanted, in order, until n of them are connected
// or have been dialled for less than dialFallbackDelay. An address that stays
// disconnected for longer remains in wanted, so that the connection is restored
// when the entry returns, but does not count. It returns the number that counts.
func (d *Decision) selectTargets(now time.Time, wanted map[string]bool, addresses []string, n int) int {
	selected := 0
	for _, a := range addresses {
		if selected == n {
			break
		}
		wanted[a] = true
		disconnectedSince, dialled := d.targets[a]
		if d.links[outboundLink(a)] != nil || !dialled || now.Sub(disconnectedSince) < dialFallbackDelay {
			selected++
		}
	}
	return selected
}

// outboundLink returns the link name of the connection that this process dials to
// address.
func outboundLink(address string) string { return "to " + address }

// rankedAddresses returns the addresses of the members that match, ordered by
// rendezvous hashing with the identity of this process as the key. This spreads
// the connections over all entries, and few change when an entry joins or leaves.
func (d *Decision) rankedAddresses(members []tracker.Member, match func(tracker.Member) bool) []string {
	members = slices.DeleteFunc(slices.Clone(members), func(m tracker.Member) bool { return !match(m) || m.Address == "" })
	sortByWeight(members, d.Settings.Self.Identity)
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Address
	}
	return out
}

// shouldRelay reports whether this process watches the platform. It does so if it
// is one of the first two entries of its zone by rendezvous hashing, or if it has
// no peer.
func (d *Decision) shouldRelay(now time.Time) bool {
	if len(d.links) == 0 && (now.Sub(d.lastConnected) >= isolationTimeout || len(d.targets) == 0) {
		return true
	}
	if len(d.targets) > 0 && now.Sub(d.started) < startupRelayDelay {
		return false
	}
	return d.zoneRank < relaysPerZone
}

// computeZoneRank returns the position of this process among the entries of its
// zone by rendezvous hashing. It returns relaysPerZone, which is not a position of
// a relay, for an agent and for a process that is leaving.
func (d *Decision) computeZoneRank() int {
	if !d.isEntry() || d.leaving {
		return relaysPerZone
	}
	zone := d.Settings.Self.AvailabilityZone
	members := append(d.Tracker.Live(zone), tracker.Member{Identity: d.Settings.Self.Identity})
	sortByWeight(members, "relay "+zone)
	return slices.IndexFunc(members, func(m tracker.Member) bool { return m.Identity == d.Settings.Self.Identity })
}

// sortByWeight sorts members by decreasing rendezvous weight for key, and members
// of equal weight by identity.
func sortByWeight(members []tracker.Member, key string) {
	slices.SortFunc(members, func(a, b tracker.Member) int {
		if c := cmp.Compare(rendezvousWeight(key, b.Identity), rendezvousWeight(key, a.Identity)); c != 0 {
			return c
		}
		return cmp.Compare(a.Identity, b.Identity)
	})
}

// rendezvousWeight returns the weight of a name for a key in rendezvous hashing.
func rendezvousWeight(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key + "\x00" + name))
	// FNV does not mix the last bytes into all bits; the finaliser of MurmurHash3
	// does.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
