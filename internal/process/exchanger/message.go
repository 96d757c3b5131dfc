package exchanger

import (
	"maps"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/tracker"
)

func (d *Decision) send(now time.Time, id string, ask bool) Action {
	m := messenger.Exchange{Ask: ask, Leaving: d.leaving, Revision: d.revision, Primary: d.primary(id)}
	if d.entry() {
		m.Address, m.Incarnation = d.Settings.Address, d.Settings.Incarnation
		n := toldMembers
		if d.links[id].peer.Role != messenger.RoleEntry {
			// An agent only needs a few entries to connect to.
			n = agentMembers
		}
		m.Members = append([]messenger.Member{d.own()}, d.tell(now, n)...)
	}
	return Action{Kind: ActionSend, Link: id, Message: m}
}

// own returns this entry's news of itself.
func (d *Decision) own() messenger.Member {
	m := messenger.Member{
		Identity: d.Settings.Self.Identity, Address: d.Settings.Address, Incarnation: d.Settings.Incarnation, Revision: d.revision,
	}
	if d.leaving {
		m.State = string(tracker.StateLeaving)
	}
	m.Agents, m.AgentsBehind, m.AgentBehind = d.agents()
	return m
}

// agents counts the agents that report to this entry.
func (d *Decision) agents() (all, behind int, name string) {
	for _, id := range d.order() {
		l := d.links[id]
		if l.peer.Role != messenger.RoleAgent || !l.primary {
			continue
		}
		all++
		if l.revision < d.revision {
			behind++
			name = l.peer.Identity
		}
	}
	return all, behind, name
}

// tell returns news of n members: those of the own zone take turns with one of
// another zone.
func (d *Decision) tell(now time.Time, n int) []messenger.Member {
	var near, far []tracker.Member
	for _, id := range slices.Sorted(maps.Keys(d.Tracker.Members)) {
		m := d.Tracker.Members[id]
		if m.Address == "" || m.State == tracker.StateUnreachable {
			continue
		}
		if m.AvailabilityZone == d.Settings.Self.AvailabilityZone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	// The freshest news are the most useful ones.
	slices.SortStableFunc(near, func(a, b tracker.Member) int { return b.LastHeard.Compare(a.LastHeard) })
	var out []messenger.Member
	for i := range min(n-1, len(near)) {
		out = append(out, d.wire(now, near[i]))
	}
	if len(far) > 0 {
		out = append(out, d.wire(now, far[d.told%len(far)]))
	}
	if len(near) > n {
		out[len(out)-1] = d.wire(now, near[d.told%len(near)])
		if d.told%2 == 0 && len(far) > 0 {
			out[len(out)-1] = d.wire(now, far[d.told/2%len(far)])
		}
	}
	d.told++
	return out
}

func (d *Decision) wire(now time.Time, m tracker.Member) messenger.Member {
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

func member(now time.Time, m messenger.Member) tracker.Member {
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
