package checker

import (
	"time"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// maxPropagationDelay is the time within which an accepted revision must be in
// force in each process. It is the design target for the largest fleet.
const maxPropagationDelay = 12 * time.Second

// recordsState is the state of the revisions over all processes.
type recordsState struct {
	// revision is the highest revision in force in any process, and since the time
	// at which it first came into force.
	revision int64
	since    time.Time
	// faults counts the active faults that block propagation, and lastFaultEnd is
	// the time at which the last one ended.
	faults       int
	lastFaultEnd time.Time
}

// checkRecords checks P8: the revision in force in a process only increases, and
// each process that still records events has the highest revision within 12 s
// after the first process.
func (c *Checker) checkRecords(e tracer.Event, p *process) {
	s := &c.records
	switch e.Kind {
	case tracer.KindFaultBegan:
		if blocksPropagation(e.Reason) {
			s.faults++
		}
		return
	case tracer.KindFaultEnded:
		if blocksPropagation(e.Reason) {
			s.faults--
			s.lastFaultEnd = wallTime(e)
		}
		return
	case tracer.KindRevisionInForce:
		if e.Revision <= p.revision {
			c.reportf(P8, e, "revision %d came into force after revision %d", e.Revision, p.revision)
		}
		p.revision = max(p.revision, e.Revision)
		if e.Revision > s.revision {
			s.revision, s.since = e.Revision, wallTime(e)
		}
	}
	// A process without records is not ready and serves no requests.
	if p.revision == 0 || p.revision >= s.revision || s.faults > 0 {
		return
	}
	start := latestTime(s.since, p.started, s.lastFaultEnd)
	if late := wallTime(e).Sub(start); late > maxPropagationDelay {
		c.reportf(P8, e, "revision %d is in force %v after revision %d came into force elsewhere", p.revision, late, s.revision)
	}
}

// blocksPropagation reports whether a fault blocks the propagation of revisions.
func blocksPropagation(fault string) bool {
	return fault == "platform_down" || fault == "partition"
}

func latestTime(times ...time.Time) time.Time {
	var out time.Time
	for _, t := range times {
		if t.After(out) {
			out = t
		}
	}
	return out
}
