package cataloger

import "time"

const (
	// StatusPrefix is the key prefix of the status objects, one per availability
	// zone.
	StatusPrefix = "status/records/"
	// maxReachedRevisions is the maximum length of Status.Reached.
	maxReachedRevisions = 64
)

// Status reports which revision is in force in an availability zone. A relay
// of the zone writes it.
type Status struct {
	AvailabilityZone string    `json:"availability_zone"`
	UpdatedAt        time.Time `json:"at"`
	// MemberCount is the number of processes that report to the relay.
	MemberCount int `json:"members"`
	// Reached lists the revisions that all members had in force, newest last,
	// each with the time since which it was in force.
	Reached []ReachedRevision `json:"reached,omitempty"`
	// Lagging lists some of the members without the latest revision in force.
	// LaggingCount is the number of all of them.
	Lagging      []LaggingProcess `json:"behind,omitempty"`
	LaggingCount int              `json:"behind_count,omitempty"`
}

// ReachedRevision is a revision with the time since which it was in force in
// the whole zone.
type ReachedRevision struct {
	Revision int64     `json:"revision"`
	Since    time.Time `json:"since"`
}

// LaggingProcess is a process that does not have the latest revision in
// force.
type LaggingProcess struct {
	Identity string `json:"identity"`
	Revision int64  `json:"revision"`
	Reason   string `json:"reason"`
}

// AddReached records that all members have the revision in force since now.
// Revisions up to the last recorded one are ignored.
func (s *Status) AddReached(revision int64, now time.Time) {
	if n := len(s.Reached); n > 0 && s.Reached[n-1].Revision >= revision {
		return
	}
	s.Reached = append(s.Reached, ReachedRevision{revision, now})
	s.Reached = s.Reached[max(0, len(s.Reached)-maxReachedRevisions):]
}

// InForceSince returns the time since which a change of the given revision is
// in force in the zone, and false if it is not in force. For a revision older
// than the history it returns the time of the oldest recorded one.
func (s *Status) InForceSince(revision int64) (time.Time, bool) {
	for _, r := range s.Reached {
		if r.Revision >= revision {
			return r.Since, true
		}
	}
	return time.Time{}, false
}
