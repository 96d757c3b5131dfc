package bench

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
)

// starvationWindow is the time without a start after which promise P2 gives a
// class with waiting runs the next start.
const starvationWindow = 10 * time.Second

// priorityViolations returns the number of violations of promise P1 by an action
// on a run of the given tier. P1 is violated if the run is preempted for a run
// that is not of a higher tier, or shed while a run of a lower tier is active that
// is not a floor run.
func priorityViolations[P picker.Policy](a scheduler.Action, tier int, runs map[scheduler.Key]*run[P]) int {
	n := 0
	switch a.Kind {
	case scheduler.ActionPreempt:
		cause := runs[a.Cause]
		if a.Reason == scheduler.ReasonTier && (cause == nil || cause.tier >= tier) {
			n++
		}
	case scheduler.ActionShed:
		for _, r := range runs {
			if r.active && !r.floorRun && r.tier > tier {
				return 1
			}
		}
	}
	return n
}

// starvationDetector checks promise P2 at one agent: a class with waiting runs
// gets a start within 10 s plus the longest remaining time of the runs that are
// then active. The zero value has no waiting runs.
type starvationDetector struct {
	classes map[string]*classQueue
}

// classQueue holds the waiting runs of one class.
type classQueue struct {
	waiting int
	// unservedSince is the latest of the last start of the class, its last violation
	// and the time since which it has had waiting runs without interruption.
	unservedSince time.Time
	// blockers are the runs that have been active since the end of the window. It
	// is nil before the end of the window.
	blockers map[scheduler.Key]bool
}

func (d *starvationDetector) class(name string) *classQueue {
	if d.classes == nil {
		d.classes = map[string]*classQueue{}
	}
	if d.classes[name] == nil {
		d.classes[name] = &classQueue{}
	}
	return d.classes[name]
}

func (d *starvationDetector) enqueue(now time.Time, class string) {
	c := d.class(class)
	if c.waiting == 0 {
		c.unservedSince, c.blockers = now, nil
	}
	c.waiting++
}

func (d *starvationDetector) dequeue(class string) { d.class(class).waiting-- }

func (d *starvationDetector) recordStart(now time.Time, class string) {
	c := d.class(class)
	c.waiting--
	c.unservedSince, c.blockers = now, nil
}

// check returns the number of violations of P2 since the last call. active holds
// the runs that are active now.
func (d *starvationDetector) check(now time.Time, active map[scheduler.Key]bool) int {
	n := 0
	for _, c := range d.classes {
		switch {
		case c.waiting == 0 || now.Sub(c.unservedSince) < starvationWindow:
			continue
		case c.blockers == nil:
			c.blockers = active
			continue
		}
		remaining := map[scheduler.Key]bool{}
		for k := range c.blockers {
			if active[k] {
				remaining[k] = true
			}
		}
		if c.blockers = remaining; len(remaining) == 0 {
			n++
			c.unservedSince, c.blockers = now, nil
		}
	}
	return n
}
