package exchanger

import (
	"maps"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/tracker"
)

// newExchange returns the action that sends an exchange message on a link. The
// message requests a reply if ask is true.
func (d *Decision) newExchange(now time.Time, link string, ask bool) Action {
	m := messenger.Exchange{Ask: ask, Leaving: d.leaving, Revision: d.revision, Primary: d.isPrimary(link)}
	if d.isEntry() {
		m.Address, m.Incarnation = d.Settings.Address, d.Settings.Incarnation
		n := maxMembersToEntry
		if d.links[link].peer.Role != messenger.RoleEntry {
			// An agent needs only a few entries, as targets of its connections.
			n = maxMembersToAgent
		}
		m.Members = append([]messenger.Member{d.selfMember()}, d.selectGossip(now, n)...)
	}
	return Action{Kind: ActionSend, Link: link, Message: m}
}

// selfMember returns the state of this entry itself, with the counts of its agents.
func (d *Decision) selfMember() messenger.Member {
	m := messenger.Member{
		Identity: d.Settings.Self.Identity, Address: d.Settings.Address, Incarnation: d.Settings.Incarnation, Revision: d.revision,
	}
	if d.leaving {
		m.State = string(tracker.StateLeaving)
	}
	m.Agents, m.AgentsBehind, m.AgentBehind = d.countAgents()
	return m
}

// countAgents returns the number of agents whose primary link is to this entry, the
// number of those with an older revision, and the identity of one of the latter.
func (d *Decision) countAgents() (total, lagging int, laggingIdentity string) {
	for _, name := range d.sortedLinks() {
		l := d.links[name]
		if l.peer.Role != messenger.RoleAgent || !l.primary {
			continue
		}
		total++
		if l.revision < d.revision {
			lagging++
			laggingIdentity = l.peer.Identity
		}
	}
	return total, lagging, laggingIdentity
}

// selectGossip returns up to n members to gossip about: the most recently heard
// ones of the own zone and one of another zone. If the own zone has more than n
// members, the last place rotates among all members of the own zone and, in every
// second message, those of other zones.
func (d *Decision) selectGossip(now time.Time, n int) []messenger.Member {
	var sameZone, otherZones []tracker.Member
	for _, id := range slices.Sorted(maps.Keys(d.Tracker.Members)) {
		m := d.Tracker.Members[id]
		if m.Address == "" || m.State == tracker.StateUnreachable {
			continue
		}
		if m.AvailabilityZone == d.Settings.Self.AvailabilityZone {
			sameZone = append(sameZone, m)
		} else {
			otherZones = append(otherZones, m)
		}
	}
	// The members heard of most recently come first: their data is the freshest.
	slices.SortStableFunc(sameZone, func(a, b tracker.Member) int { return b.LastHeard.Compare(a.LastHeard) })
	var out []messenger.Member
	for i := range min(n-1, len(sameZone)) {
		out = append(out, d.encodeMember(now, sameZone[i]))
	}
	if len(otherZones) > 0 {
		out = append(out, d.encodeMember(now, otherZones[d.gossipCursor%len(otherZones)]))
	}
	if len(sameZone) > n {
		out[len(out)-1] = d.encodeMember(now, sameZone[d.gossipCursor%len(sameZone)])
		if d.gossipCursor%2 == 0 && len(otherZones) > 0 {
			out[len(out)-1] = d.encodeMember(now, otherZones[d.gossipCursor/2%len(otherZones)])
		}
	}
	d.gossipCursor++
	return out
}

// encodeMember returns the wire form of m. It omits the own zone and the state live,
// which are the defaults of the receiver.
func (d *Decision) encodeMember(now time.Time, m tracker.Member) messenger.Member {
	out := messenger.Member{
		Identity: m.Identity, AvailabilityZone: m.AvailabilityZone, Address: m.Address, Incarnation: m.Incarnation,
		Revision: m.Revision, AgeMS: now.Sub(m.LastHeard).Milliseconds(), Agents: m.Agents, AgentsBehind: m.AgentsBehind, AgentBehind: m.AgentBehind,
	}
	if m.AvailabilityZone == d.Settings.Self.AvailabilityZone {
		out.AvailabilityZone = ""
	}
	if m.State != tracker.StateLive {
		out.State = string(m.State)
	}
	return out
}

// decodeMember returns the tracker's form of a member that was received at now.
func decodeMember(now time.Time, m messenger.Member) tracker.Member {
	s := tracker.State(m.State)
	if s == "" {
		s = tracker.StateLive
	}
	return tracker.Member{
		Identity: m.Identity, AvailabilityZone: m.AvailabilityZone, Address: m.Address, Incarnation: m.Incarnation, State: s,
		Revision: m.Revision, Agents: m.Agents, AgentsBehind: m.AgentsBehind, AgentBehind: m.AgentBehind,
		LastHeard: now.Add(-time.Duration(max(m.AgeMS, 0)) * time.Millisecond),
	}
}
