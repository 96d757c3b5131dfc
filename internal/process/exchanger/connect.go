package exchanger

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/tracker"
)

// connect decides to which entries this process keeps connections.
func (d *Decision) connect(now time.Time) []Action {
	wanted := map[string]bool{}
	zone := d.Settings.Self.AvailabilityZone
	live := d.Tracker.Live("")
	near := d.rank(live, func(m tracker.Member) bool { return m.AvailabilityZone == zone })
	far := d.rank(live, func(m tracker.Member) bool { return m.AvailabilityZone != zone })
	found := 0
	if d.entry() {
		found = d.choose(now, wanted, near, nearLinks) + d.choose(now, wanted, far, farLinks)
	} else if found = d.choose(now, wanted, near, agentLinks); found < agentLinks {
		found += d.choose(now, wanted, far, agentLinks-found)
	}
	if found < agentLinks {
		for _, a := range d.Settings.Seeds {
			wanted[a] = true
		}
	}
	if lost := d.rank(d.Tracker.InState("", tracker.StateUnreachable), func(tracker.Member) bool { return true }); len(lost) > 0 {
		if !now.Before(d.probeAt) {
			d.probeAt = now.Add(probePeriod)
			d.probe++
		}
		wanted[lost[d.probe%len(lost)]] = true
	}
	delete(wanted, d.Settings.Address)
	var out []Action
	for _, a := range slices.Sorted(maps.Keys(d.dialled)) {
		if !wanted[a] {
			delete(d.dialled, a)
			out = append(out, Action{Kind: ActionHang, Address: a})
		}
	}
	for _, a := range slices.Sorted(maps.Keys(wanted)) {
		if _, ok := d.dialled[a]; !ok {
			d.dialled[a] = now
			out = append(out, Action{Kind: ActionDial, Address: a})
		}
	}
	return out
}

// choose adds the first of the addresses until n of them are connected or may
// soon be. One that stays closed is kept, in case it comes back, but does not
// count. It returns the number that counts.
func (d *Decision) choose(now time.Time, wanted map[string]bool, addresses []string, n int) int {
	found := 0
	for _, a := range addresses {
		if found == n {
			break
		}
		wanted[a] = true
		since, dialled := d.dialled[a]
		if d.links[linkTo(a)] != nil || !dialled || now.Sub(since) < dialGrace {
			found++
		}
	}
	return found
}

// linkTo names the connection that this process has dialled.
func linkTo(address string) string { return "to " + address }

// rank returns the addresses of the members by rendezvous hashing for this
// process, so that the connections spread over all entries and few change when
// one joins or leaves.
func (d *Decision) rank(members []tracker.Member, take func(tracker.Member) bool) []string {
	members = slices.DeleteFunc(slices.Clone(members), func(m tracker.Member) bool { return !take(m) || m.Address == "" })
	sortByRank(members, d.Settings.Self.Identity)
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Address
	}
	return out
}

// isRelay reports whether this process watches the platform: as one of the
// first two entries of its zone by rendezvous hashing, or because it has no
// peer.
func (d *Decision) isRelay(now time.Time) bool {
	if len(d.links) == 0 && (now.Sub(d.lastLink) >= aloneAfter || len(d.dialled) == 0) {
		return true
	}
	if len(d.dialled) > 0 && now.Sub(d.started) < settleTime {
		return false
	}
	return d.place < relays
}

func (d *Decision) relayRank() int {
	if !d.entry() || d.leaving {
		return relays
	}
	zone := d.Settings.Self.AvailabilityZone
	members := append(d.Tracker.Live(zone), tracker.Member{Identity: d.Settings.Self.Identity})
	sortByRank(members, "relay "+zone)
	return slices.IndexFunc(members, func(m tracker.Member) bool { return m.Identity == d.Settings.Self.Identity })
}

func sortByRank(members []tracker.Member, key string) {
	slices.SortFunc(members, func(a, b tracker.Member) int {
		if c := cmp.Compare(rank(key, b.Identity), rank(key, a.Identity)); c != 0 {
			return c
		}
		return cmp.Compare(a.Identity, b.Identity)
	})
}

// rank is the weight of a name for a key by rendezvous hashing.
func rank(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key + "\x00" + name))
	// The finaliser of MurmurHash3 spreads the last bytes over all bits, which
	// FNV does not do.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
