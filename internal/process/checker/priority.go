package checker

import (
	"time"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	// floorWindow is the waiting time after which a class gets the next free slot,
	// whatever its tier. The run that starts in it is the floor run of the class.
	floorWindow = 10 * time.Second
	// floorSlack is the tolerance for the difference between an agent's wall clock,
	// which its decisions use, and its stamps, which the stamps of peers may
	// advance.
	floorSlack = time.Second
)

// checkPriority checks P1: a request is preempted only for a higher tier, and is
// not shed for lack of capacity while a run of a lower tier is active, except for
// floor runs.
func (c *Checker) checkPriority(e tracer.Event, p *process) {
	if p.incomplete {
		return
	}
	switch e.Kind {
	case tracer.KindPreempted, tracer.KindShed:
		c.checkCause(e, p)
	}
	if e.Kind != tracer.KindShed || !isCapacityReason(e.Reason) {
		return
	}
	for k, r := range p.runs {
		if r.active && !r.floor && r.tier > e.Tier {
			c.reportf(P1, e, "shed at tier %d (%s) while %s of tier %d was active", e.Tier, e.Reason, k.request, r.tier)
			return
		}
	}
}

func (c *Checker) checkCause(e tracer.Event, p *process) {
	if e.Cause == "" {
		if e.Kind == tracer.KindPreempted {
			c.reportf(P1, e, "preempted without a cause")
		}
		return
	}
	known, tier := false, 0
	for k, r := range p.runs {
		if k.request == e.Cause && (!known || r.tier < tier) {
			known, tier = true, r.tier
		}
	}
	if known && tier >= e.Tier {
		c.reportf(P1, e, "%s at tier %d for the sake of %s of tier %d", e.Kind, e.Tier, e.Cause, tier)
	}
}

// isCapacityReason reports whether a run that was shed for reason was shed for lack
// of capacity.
func isCapacityReason(reason string) bool {
	switch reason {
	case "queue_full", "deadline", "capacity":
		return true
	}
	return false
}

// checkFloor checks P2: once a class has waited for floorWindow without a start,
// no run of a class that has waited less may take a free slot before it, and the
// upstream must not be idle. The maximum wait is therefore floorWindow plus the
// longest remaining run.
func (c *Checker) checkFloor(e tracer.Event, p *process) {
	if p.incomplete || len(p.classes) == 0 {
		return
	}
	started := p.startedRun(e)
	if started != nil && (p.preemptor == e.Request || p.overdue(started.class, wallTime(e))) {
		return
	}
	for class := range p.classes {
		if !p.overdue(class, wallTime(e)) {
			continue
		}
		waited := wallTime(e).Sub(p.classes[class].since)
		// The violation concerns the starved class, not the request that took the
		// slot, so it is reported once for the upstream.
		starved := e
		starved.Request, starved.Attempt, starved.Class, starved.Tier = "", 0, class, 0
		switch {
		case started != nil && started.class != class:
			c.reportf(P2, starved, "class %s, which has waited for %v, was overtaken by %s of class %s", class, waited, e.Request, started.class)
		case p.active == 0 && wallTime(e).Sub(p.idleSince) > floorWindow+floorSlack && started == nil:
			c.reportf(P2, starved, "class %s has waited for %v at an idle upstream", class, waited)
		}
	}
}

// startedRun returns the run that e starts or resumes, or nil.
func (p *process) startedRun(e tracer.Event) *run {
	if e.Kind != tracer.KindStarted && e.Kind != tracer.KindResumed {
		return nil
	}
	return p.runs[attempt{e.Request, e.Attempt}]
}

// overdue reports whether a class has waited longer than floorWindow without a
// start or an active floor run.
func (p *process) overdue(class string, now time.Time) bool {
	w := p.classes[class]
	return w.waitingRuns > 0 && w.floorRuns == 0 && now.Sub(w.since) > floorWindow+floorSlack
}
