package exchanger

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/tracker"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
)

// reports tells whether this process writes the status of its zone.
func (d *Decision) reports() bool {
	return d.relay && d.entry() && d.place == 0 && d.revision > 0
}

// report returns the status of the zone if it says something new.
func (d *Decision) report(now time.Time) []Action {
	s := cataloger.Status{AvailabilityZone: d.Settings.Self.AvailabilityZone, UpdatedAt: now.UTC(), Reached: d.status.Reached}
	add := func(identity string, revision int64, agents, behind int, agent, reason string) {
		s.MemberCount += 1 + agents
		if revision < d.revision {
			s.LaggingCount++
			if len(s.Lagging) < listedBehind {
				s.Lagging = append(s.Lagging, cataloger.LaggingProcess{Identity: identity, Revision: revision, Reason: reason})
			}
		}
		s.LaggingCount += behind
		if behind > 0 && len(s.Lagging) < listedBehind {
			s.Lagging = append(s.Lagging, cataloger.LaggingProcess{Identity: agent, Revision: revision - 1, Reason: "has not confirmed the revision to " + identity})
		}
	}
	agents, behind, name := d.agents()
	add(d.Settings.Self.Identity, d.revision, agents, behind, name, "")
	for _, state := range []tracker.State{tracker.StateLive, tracker.StateLeaving, tracker.StateUnreachable} {
		for _, m := range d.Tracker.InState(s.AvailabilityZone, state) {
			reason := string(state) + ", last heard " + now.Sub(m.LastHeard).Round(time.Second).String() + " ago"
			add(m.Identity, m.Revision, m.Agents, m.AgentsBehind, m.AgentBehind, reason)
		}
	}
	if s.LaggingCount == 0 {
		s.AddReached(d.revision, now.UTC())
	}
	d.status = s
	r := reported{d.revision, s.MemberCount, s.LaggingCount}
	if r == d.reported {
		return nil
	}
	d.reported = r
	return []Action{{Kind: ActionReport, Status: s}}
}
