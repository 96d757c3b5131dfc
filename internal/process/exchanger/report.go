package exchanger

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/tracker"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
)

// writesStatus reports whether this process writes the status of its zone: only the
// relay with rank 0 does.
func (d *Decision) writesStatus() bool {
	return d.relay && d.isEntry() && d.zoneRank == 0 && d.revision > 0
}

// updateStatus computes the status of the zone. It returns the action that writes
// the status if the revision, the number of members or the number of lagging
// processes has changed since the last write.
func (d *Decision) updateStatus(now time.Time) []Action {
	s := cataloger.Status{AvailabilityZone: d.Settings.Self.AvailabilityZone, UpdatedAt: now.UTC(), Reached: d.status.Reached}
	addEntry := func(identity string, revision int64, agents, lagging int, laggingAgent, reason string) {
		s.MemberCount += 1 + agents
		if revision < d.revision {
			s.LaggingCount++
			if len(s.Lagging) < maxLaggingListed {
				s.Lagging = append(s.Lagging, cataloger.LaggingProcess{Identity: identity, Revision: revision, Reason: reason})
			}
		}
		s.LaggingCount += lagging
		if lagging > 0 && len(s.Lagging) < maxLaggingListed {
			s.Lagging = append(s.Lagging, cataloger.LaggingProcess{Identity: laggingAgent, Revision: revision - 1, Reason: "has not confirmed the revision to " + identity})
		}
	}
	agents, lagging, laggingIdentity := d.countAgents()
	addEntry(d.Settings.Self.Identity, d.revision, agents, lagging, laggingIdentity, "")
	for _, state := range []tracker.State{tracker.StateLive, tracker.StateLeaving, tracker.StateUnreachable} {
		for _, m := range d.Tracker.InState(s.AvailabilityZone, state) {
			reason := string(state) + ", last heard " + now.Sub(m.LastHeard).Round(time.Second).String() + " ago"
			addEntry(m.Identity, m.Revision, m.Agents, m.AgentsBehind, m.AgentBehind, reason)
		}
	}
	if s.LaggingCount == 0 {
		s.AddReached(d.revision, now.UTC())
	}
	d.status = s
	digest := statusDigest{d.revision, s.MemberCount, s.LaggingCount}
	if digest == d.lastDigest {
		return nil
	}
	d.lastDigest = digest
	return []Action{{Kind: ActionWriteStatus, Status: s}}
}
