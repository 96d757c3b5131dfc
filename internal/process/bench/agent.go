package bench

import (
	"fmt"
	"maps"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
)

// agent simulates the executor of one upstream together with its engine.
type agent[S scheduler.Policy, P picker.Policy] struct {
	sim        *simulation[S, P]
	name       string
	zone       string
	scheduler  *scheduler.Scheduler[S]
	batch      *emulator.Batch
	runs       map[scheduler.Key]*run[P]
	activeByID map[int64]*run[P]
	lastRunID  int64
	starvation starvationDetector
	// engineWakeAt and schedulerWakeAt are the times of the earliest scheduled
	// timer event of the engine and of the scheduler, zero if there is none.
	engineWakeAt    time.Time
	schedulerWakeAt time.Time
	leaving         bool
	restarting      bool
	lastReport      time.Time
}

// run is one attempt of a request at an agent, waiting or active.
type run[P picker.Policy] struct {
	flight    *flight[P]
	key       scheduler.Key
	tier      int
	class     string
	nextToken int
	id        int64
	active    bool
	// floorRun is true while the run is active as the floor run of its class, which
	// the scheduler started for promise P2 regardless of its tier.
	floorRun bool
	started  time.Time
}

// submission is the message with which an entry sends an attempt to an agent.
type submission[P picker.Policy] struct {
	flight *flight[P]
	run    scheduler.Run
}

// frame is a message from an agent to an entry about one attempt.
type frame[P picker.Policy] struct {
	flight  *flight[P]
	attempt int
	kind    frameKind
	sentAt  time.Time
	tokens  int
}

type frameKind int

const (
	frameTokens frameKind = iota
	frameFinished
	// frameRefused refuses an attempt that the agent did not start, and frameReturned
	// gives back one that may have generated tokens at this or an earlier agent.
	frameRefused
	frameReturned
	// frameLost reports that the engine rejected the attempt, and frameCrashed that
	// the engine crashed while running it.
	frameLost
	frameCrashed
)

func newAgent[S scheduler.Policy, P picker.Policy](sim *simulation[S, P], i int) *agent[S, P] {
	a := &agent[S, P]{
		sim: sim, name: fmt.Sprintf("desk-%d", i+1), zone: zoneOf(i),
		batch: emulator.NewBatch(engineOptions()),
	}
	a.reset()
	return a
}

// zoneOf returns the availability zone of process i. Processes are distributed
// evenly over three zones.
func zoneOf(i int) string { return [...]string{"north-conway", "stowe", "pinkham"}[i%3] }

// reset puts the agent in the state of a newly started process without work.
func (a *agent[S, P]) reset() {
	a.scheduler = &scheduler.Scheduler[S]{}
	a.runs, a.activeByID = map[scheduler.Key]*run[P]{}, map[int64]*run[P]{}
	a.starvation = starvationDetector{}
	a.leaving, a.restarting = false, false
	options := engineOptions()
	a.scheduler.Step(a.sim.now, scheduler.Event{Kind: scheduler.EventConfigured, Capacity: scheduler.Capacity{
		Slots: options.Slots, KVTokens: options.KVTokens, QueueLimit: queueLimit,
	}})
}

// restart replaces the agent process. The engine keeps running.
func (a *agent[S, P]) restart() {
	a.reset()
	for _, e := range a.sim.entries {
		e.picker.Step(a.sim.now, picker.Event{Kind: picker.EventDisconnected, Upstream: a.name})
		e.picker.Step(a.sim.now, picker.Event{Kind: picker.EventConnected, Upstream: a.name, AvailabilityZone: a.zone})
	}
}

func (a *agent[S, P]) submit(m submission[P]) {
	a.stepEngine()
	r := &run[P]{flight: m.flight, key: m.run.Key, tier: m.run.Tier, class: m.run.Class, nextToken: m.run.ResumeFrom}
	if a.leaving {
		a.sendFrame(r, frameRefused, 0)
		return
	}
	a.runs[r.key] = r
	m.run.Arrived = a.sim.now
	a.starvation.enqueue(a.sim.now, r.class)
	a.stepScheduler(scheduler.Event{Kind: scheduler.EventSubmitted, Run: m.run})
	a.scheduleWakes()
}

func (a *agent[S, P]) cancel(k scheduler.Key) {
	a.stepEngine()
	r := a.runs[k]
	if r == nil {
		return
	}
	if !r.active {
		a.starvation.dequeue(r.class)
	}
	a.stepScheduler(scheduler.Event{Kind: scheduler.EventWithdrawn, Key: k})
	a.removeFromEngine(r)
	delete(a.runs, k)
	a.scheduleWakes()
}

// crash fails all active runs. The engine restarts after engineRestartTime.
func (a *agent[S, P]) crash() {
	a.stepEngine()
	a.sim.result.Crashes++
	for _, id := range a.batch.Crash() {
		if r := a.activeByID[id]; r != nil {
			a.failRun(r, frameCrashed)
		}
	}
	a.scheduleWakes()
	a.sim.scheduleAfter(engineRestartTime, a.batch.Restart)
}

// failRun ends a run that the engine lost. It does nothing if the run has been
// preempted and waits again.
func (a *agent[S, P]) failRun(r *run[P], kind frameKind) {
	if a.runs[r.key] != r || !r.active {
		return
	}
	a.removeFromEngine(r)
	delete(a.runs, r.key)
	a.stepScheduler(scheduler.Event{Kind: scheduler.EventEnded, Key: r.key})
	a.sendFrame(r, kind, 0)
}

// stepEngine processes the output of the engine up to the current time.
func (a *agent[S, P]) stepEngine() {
	for _, output := range a.batch.Step(a.sim.now) {
		if !output.Finished {
			a.sim.result.GeneratedTokens++
		}
		r := a.activeByID[output.ID]
		if r == nil {
			// The run was cancelled while the engine computed the token.
			continue
		}
		if output.Finished {
			a.finishRun(r)
			continue
		}
		r.flight.generatedTokens++
		if r.flight.request.Poison {
			a.sim.scheduleAt(a.sim.now, a.crash)
			continue
		}
		r.nextToken = output.Token + 1
		a.sendFrame(r, frameTokens, 1)
		a.stepScheduler(scheduler.Event{Kind: scheduler.EventAdvanced, Key: r.key, Tokens: 1})
	}
}

func (a *agent[S, P]) finishRun(r *run[P]) {
	a.sim.result.LongestRun = max(a.sim.result.LongestRun, a.sim.now.Sub(r.started))
	a.removeFromEngine(r)
	delete(a.runs, r.key)
	a.stepScheduler(scheduler.Event{Kind: scheduler.EventEnded, Key: r.key})
	a.sendFrame(r, frameFinished, 0)
}

// removeFromEngine cancels a run at the engine if it is active.
func (a *agent[S, P]) removeFromEngine(r *run[P]) {
	if !r.active {
		return
	}
	a.batch.Cancel(r.id)
	delete(a.activeByID, r.id)
	r.active, r.floorRun = false, false
}

func (a *agent[S, P]) stepScheduler(e scheduler.Event) {
	for _, act := range a.scheduler.Step(a.sim.now, e) {
		r := a.runs[act.Key]
		if r == nil {
			continue
		}
		a.sim.result.P1Violations += priorityViolations(act, r.tier, a.runs)
		switch act.Kind {
		case scheduler.ActionStart:
			a.startRun(act, r)
		case scheduler.ActionPreempt:
			a.sim.result.Preemptions++
			a.removeFromEngine(r)
			a.starvation.enqueue(a.sim.now, r.class)
		case scheduler.ActionShed:
			delete(a.runs, act.Key)
			a.starvation.dequeue(r.class)
			a.sendFrame(r, frameRefused, 0)
		case scheduler.ActionReturn:
			if !r.active {
				a.starvation.dequeue(r.class)
			}
			a.removeFromEngine(r)
			delete(a.runs, act.Key)
			a.sendFrame(r, frameReturned, 0)
		case scheduler.ActionStop:
			a.removeFromEngine(r)
			delete(a.runs, act.Key)
		}
	}
}

func (a *agent[S, P]) startRun(act scheduler.Action, r *run[P]) {
	a.lastRunID++
	r.id, r.active, r.floorRun, r.started = a.lastRunID, true, act.Floor, a.sim.now
	a.activeByID[r.id] = r
	a.starvation.recordStart(a.sim.now, r.class)
	a.sim.result.recordStart(r.flight.request.Class, a.sim.now)
	q := r.flight.request
	added := a.batch.Add(a.sim.now, emulator.BatchRun{
		ID: r.id, Prefix: q.Prefix, PrefixTokens: q.PrefixTokens, PromptTokens: q.PromptTokens,
		Tokens: q.AnswerTokens, ResumeFrom: r.nextToken, Priority: act.Tier,
	})
	if !added {
		// As with an engine reached over HTTP, the agent learns of the failure in a
		// later event.
		id := r.id
		a.sim.scheduleAt(a.sim.now, func() {
			if r.id == id {
				a.failRun(r, frameLost)
				a.scheduleWakes()
			}
		})
	}
}

// scheduleWakes schedules the next step of the engine and of the scheduler.
func (a *agent[S, P]) scheduleWakes() {
	wakeEngine := func() {
		a.engineWakeAt = time.Time{}
		a.stepEngine()
		a.scheduleWakes()
	}
	if at := a.batch.NextStep(); !at.IsZero() && (a.engineWakeAt.IsZero() || at.Before(a.engineWakeAt)) {
		a.engineWakeAt = at
		a.sim.scheduleAt(at, wakeEngine)
	}
	at := a.scheduler.Wake()
	if at.IsZero() || !a.schedulerWakeAt.IsZero() && !at.Before(a.schedulerWakeAt) {
		return
	}
	a.schedulerWakeAt = at
	a.sim.scheduleAt(at, func() {
		a.schedulerWakeAt = time.Time{}
		a.stepEngine()
		a.stepScheduler(scheduler.Event{Kind: scheduler.EventTicked})
		a.scheduleWakes()
	})
}

// activeKeys returns the keys of the active attempts.
func (a *agent[S, P]) activeKeys() map[scheduler.Key]bool {
	out := map[scheduler.Key]bool{}
	for k := range maps.Keys(a.runs) {
		if a.runs[k].active {
			out[k] = true
		}
	}
	return out
}

// sendFrame sends a frame with the current load to the entry of a run. If the
// scenario has a report lag, the load is sent separately and at most every 50 ms.
func (a *agent[S, P]) sendFrame(r *run[P], kind frameKind, tokens int) {
	m := frame[P]{flight: r.flight, attempt: r.key.Attempt, kind: kind, sentAt: a.sim.now, tokens: tokens}
	e, load, at := r.flight.entry, a.scheduler.Load(), a.sim.now
	applyLoad := func() {
		e.picker.Step(a.sim.now, picker.Event{Kind: picker.EventLoad, Upstream: a.name, Load: load, At: at})
	}
	lag := a.sim.scenario.ReportLag
	a.sim.scheduleAfter(latency, func() {
		if lag == 0 {
			applyLoad()
		}
		a.sim.receive(m)
	})
	if lag > 0 && at.Sub(a.lastReport) >= 50*time.Millisecond {
		a.lastReport = at
		a.sim.scheduleAfter(latency+lag, applyLoad)
	}
}
