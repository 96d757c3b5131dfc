package checker

import (
	"time"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// process is the state of one process since it started.
type process struct {
	started time.Time
	// runs are the waiting and active attempts of an agent.
	runs   map[attempt]*run
	active int
	// classes holds the queue state of each class at an agent.
	classes map[string]*classQueue
	// inFlight is the set of requests in flight at an entry.
	inFlight map[string]struct{}
	// idleSince is the time at which an agent's last active run ended.
	idleSince time.Time
	// preemptor is the request that caused the last preemption, until the next start.
	preemptor string
	revision  int64
	stopping  bool
	stopped   bool
	// incomplete is true after runs or inFlight had too many elements and all maps
	// were cleared.
	incomplete bool
}

type attempt struct {
	request string
	number  int
}

type run struct {
	class  string
	tier   int
	active bool
	floor  bool
}

// classQueue is the queue state of one class at one agent.
type classQueue struct {
	waitingRuns int
	// since is the start of the current period in which the class had waiting runs
	// and none was started.
	since time.Time
	// floors counts the active floor runs.
	floorRuns int
}

func wallTime(e tracer.Event) time.Time { return time.Unix(0, e.Stamp.Wall) }

func newProcess(now time.Time) process {
	return process{
		started: now, idleSince: now,
		runs: map[attempt]*run{}, classes: map[string]*classQueue{}, inFlight: map[string]struct{}{},
	}
}

func (c *Checker) process(e tracer.Event) *process {
	p := c.processes.get(e.Process)
	if p == nil {
		var evicted *process
		p, evicted = c.processes.add(e.Process, maxProcesses)
		if evicted != nil && !evicted.stopped {
			c.Evicted++
		}
		*p = newProcess(wallTime(e))
	}
	if e.Kind == tracer.KindProcessStarted {
		// The runs of a crashed process are lost; its successor does not have
		// them.
		*p = newProcess(wallTime(e))
	}
	return p
}

// updateState applies an event to the state of its process, after the checks.
func (c *Checker) updateState(e tracer.Event, p *process) {
	k := attempt{e.Request, e.Attempt}
	switch e.Kind {
	case tracer.KindAdmitted:
		p.inFlight[e.Request] = struct{}{}
	case tracer.KindQueued:
		p.addRun(e, k)
	case tracer.KindStarted, tracer.KindResumed:
		p.start(e, k)
	case tracer.KindPreempted:
		p.preempt(e, k)
	case tracer.KindShed, tracer.KindFinished, tracer.KindLost, tracer.KindCancelled:
		p.remove(e, k)
		if e.Kind == tracer.KindCancelled {
			delete(p.inFlight, e.Request)
		}
	case tracer.KindAnswered, tracer.KindRefused:
		p.remove(e, k)
		if e.Kind == tracer.KindAnswered || e.Outcome != "" {
			delete(p.inFlight, e.Request)
		}
	case tracer.KindProcessStopping:
		p.stopping = true
	case tracer.KindProcessStopped:
		p.stopped = true
	}
	if len(p.runs) > maxRuns || len(p.inFlight) > maxRequests {
		c.Evicted++
		*p = process{
			started: p.started, revision: p.revision, incomplete: true,
			runs: map[attempt]*run{}, classes: map[string]*classQueue{}, inFlight: map[string]struct{}{},
		}
	}
}

func (p *process) addRun(e tracer.Event, k attempt) {
	if p.runs[k] != nil {
		return
	}
	p.runs[k] = &run{class: e.Class, tier: e.Tier}
	p.addWaiting(e, e.Class)
}

func (p *process) addWaiting(e tracer.Event, class string) {
	w := p.classes[class]
	if w == nil {
		w = &classQueue{since: wallTime(e)}
		p.classes[class] = w
	}
	if w.waitingRuns == 0 {
		w.since = wallTime(e)
	}
	w.waitingRuns++
}

func (p *process) start(e tracer.Event, k attempt) {
	r := p.runs[k]
	if r == nil || r.active {
		return
	}
	r.active, r.floor = true, e.Floor
	p.active++
	w := p.classes[r.class]
	w.waitingRuns--
	w.since = wallTime(e)
	if r.floor {
		w.floorRuns++
	}
	p.preemptor = ""
}

func (p *process) preempt(e tracer.Event, k attempt) {
	r := p.runs[k]
	if r == nil || !r.active {
		return
	}
	p.releaseSlot(e, r)
	r.active, r.floor = false, false
	p.addWaiting(e, r.class)
	p.preemptor = e.Cause
}

func (p *process) remove(e tracer.Event, k attempt) {
	r := p.runs[k]
	if r == nil {
		return
	}
	if r.active {
		p.releaseSlot(e, r)
	} else {
		p.classes[r.class].waitingRuns--
	}
	delete(p.runs, k)
}

// releaseSlot updates the counters when an active run leaves its slot.
func (p *process) releaseSlot(e tracer.Event, r *run) {
	p.active--
	if p.active == 0 {
		p.idleSince = wallTime(e)
	}
	if r.floor {
		p.classes[r.class].floorRuns--
	}
}
