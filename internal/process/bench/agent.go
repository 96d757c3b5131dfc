package bench

import (
	"fmt"
	"maps"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
)

// agent stands for the executor of one upstream and its engine.
type agent[S scheduler.Policy, P picker.Policy] struct {
	sim       *simulation[S, P]
	name      string
	zone      string
	scheduler *scheduler.Scheduler[S]
	batch     *emulator.Batch
	runs      map[scheduler.Key]*run[P]
	byID      map[int64]*run[P]
	lastID    int64
	waits     waits
	// engineWake and schedulerWake are the earliest wakes that are scheduled.
	engineWake    time.Time
	schedulerWake time.Time
	leaving       bool
	restarting    bool
	reported      time.Time
}

// run is one attempt in an agent.
type run[P picker.Policy] struct {
	flight  *flight[P]
	key     scheduler.Key
	tier    int
	class   string
	next    int
	id      int64
	active  bool
	floor   bool
	started time.Time
}

// submission is the message of an entry to an agent.
type submission[P picker.Policy] struct {
	flight *flight[P]
	run    scheduler.Run
}

// frame is the message of an agent to an entry about one attempt.
type frame[P picker.Policy] struct {
	flight  *flight[P]
	attempt int
	kind    frameKind
	at      time.Time
	tokens  int
}

type frameKind int

const (
	frameTokens frameKind = iota
	frameFinished
	frameRefused
	frameReturned
	frameLost
	frameCrashed
)

func newAgent[S scheduler.Policy, P picker.Policy](sim *simulation[S, P], i int) *agent[S, P] {
	a := &agent[S, P]{
		sim: sim, name: fmt.Sprintf("desk-%d", i+1), zone: zone(i),
		batch: emulator.NewBatch(engine()),
	}
	a.reset()
	return a
}

// zone spreads processes evenly over three zones.
func zone(i int) string { return [...]string{"north-conway", "stowe", "pinkham"}[i%3] }

// reset begins a process without work.
func (a *agent[S, P]) reset() {
	a.scheduler = &scheduler.Scheduler[S]{}
	a.runs, a.byID = map[scheduler.Key]*run[P]{}, map[int64]*run[P]{}
	a.waits = waits{}
	a.leaving, a.restarting = false, false
	o := engine()
	a.scheduler.Step(a.sim.now, scheduler.Event{Kind: scheduler.EventConfigured, Capacity: scheduler.Capacity{
		Slots: o.Slots, KVTokens: o.KVTokens, QueueLimit: queueLimit,
	}})
}

// restart replaces the process; the engine stays.
func (a *agent[S, P]) restart() {
	a.reset()
	for _, e := range a.sim.entries {
		e.picker.Step(a.sim.now, picker.Event{Kind: picker.EventDisconnected, Upstream: a.name})
		e.picker.Step(a.sim.now, picker.Event{Kind: picker.EventConnected, Upstream: a.name, AvailabilityZone: a.zone})
	}
}

func (a *agent[S, P]) submit(m submission[P]) {
	a.advance()
	r := &run[P]{flight: m.flight, key: m.run.Key, tier: m.run.Tier, class: m.run.Class, next: m.run.ResumeFrom}
	if a.leaving {
		a.send(r, frameRefused, 0)
		return
	}
	a.runs[r.key] = r
	m.run.Arrived = a.sim.now
	a.waits.add(a.sim.now, r.class)
	a.decide(scheduler.Event{Kind: scheduler.EventSubmitted, Run: m.run})
	a.wake()
}

func (a *agent[S, P]) cancel(k scheduler.Key) {
	a.advance()
	r := a.runs[k]
	if r == nil {
		return
	}
	if !r.active {
		a.waits.remove(r.class)
	}
	a.decide(scheduler.Event{Kind: scheduler.EventWithdrawn, Key: k})
	a.stop(r)
	delete(a.runs, k)
	a.wake()
}

// crash ends all active runs. The engine is back after a while.
func (a *agent[S, P]) crash() {
	a.advance()
	a.sim.result.Crashes++
	for _, id := range a.batch.Crash() {
		if r := a.byID[id]; r != nil {
			a.lose(r, frameCrashed)
		}
	}
	a.wake()
	a.sim.after(engineRestart, a.batch.Restart)
}

// lose ends a run that the engine lost. A run that waits again is left alone.
func (a *agent[S, P]) lose(r *run[P], kind frameKind) {
	if a.runs[r.key] != r || !r.active {
		return
	}
	a.stop(r)
	delete(a.runs, r.key)
	a.decide(scheduler.Event{Kind: scheduler.EventEnded, Key: r.key})
	a.send(r, kind, 0)
}

// advance takes in what the engine did until now.
func (a *agent[S, P]) advance() {
	for _, o := range a.batch.Step(a.sim.now) {
		if !o.Finished {
			a.sim.result.GeneratedTokens++
		}
		r := a.byID[o.ID]
		if r == nil {
			// The run was stopped while the engine worked on the token.
			continue
		}
		if o.Finished {
			a.finish(r)
			continue
		}
		r.flight.generated++
		if r.flight.request.Poison {
			a.sim.at(a.sim.now, a.crash)
			continue
		}
		r.next = o.Token + 1
		a.send(r, frameTokens, 1)
		a.decide(scheduler.Event{Kind: scheduler.EventAdvanced, Key: r.key, Tokens: 1})
	}
}

func (a *agent[S, P]) finish(r *run[P]) {
	a.sim.result.LongestRun = max(a.sim.result.LongestRun, a.sim.now.Sub(r.started))
	a.stop(r)
	delete(a.runs, r.key)
	a.decide(scheduler.Event{Kind: scheduler.EventEnded, Key: r.key})
	a.send(r, frameFinished, 0)
}

// stop takes a run off the engine.
func (a *agent[S, P]) stop(r *run[P]) {
	if !r.active {
		return
	}
	a.batch.Cancel(r.id)
	delete(a.byID, r.id)
	r.active, r.floor = false, false
}

func (a *agent[S, P]) decide(e scheduler.Event) {
	for _, act := range a.scheduler.Step(a.sim.now, e) {
		r := a.runs[act.Key]
		if r == nil {
			continue
		}
		a.sim.result.P1Violations += violations(act, r.tier, a.runs)
		switch act.Kind {
		case scheduler.ActionStart:
			a.start(act, r)
		case scheduler.ActionPreempt:
			a.sim.result.Preemptions++
			a.stop(r)
			a.waits.add(a.sim.now, r.class)
		case scheduler.ActionShed:
			delete(a.runs, act.Key)
			a.waits.remove(r.class)
			a.send(r, frameRefused, 0)
		case scheduler.ActionReturn:
			if !r.active {
				a.waits.remove(r.class)
			}
			a.stop(r)
			delete(a.runs, act.Key)
			a.send(r, frameReturned, 0)
		case scheduler.ActionStop:
			a.stop(r)
			delete(a.runs, act.Key)
		}
	}
}

func (a *agent[S, P]) start(act scheduler.Action, r *run[P]) {
	a.lastID++
	r.id, r.active, r.floor, r.started = a.lastID, true, act.Floor, a.sim.now
	a.byID[r.id] = r
	a.waits.start(a.sim.now, r.class)
	a.sim.result.started(r.flight.request.Class, a.sim.now)
	q := r.flight.request
	added := a.batch.Add(a.sim.now, emulator.BatchRun{
		ID: r.id, Prefix: q.Prefix, PrefixTokens: q.PrefixTokens, PromptTokens: q.PromptTokens,
		Tokens: q.Tokens, ResumeFrom: r.next, Priority: act.Tier,
	})
	if !added {
		// As over HTTP, the agent learns of the failure in a later event.
		id := r.id
		a.sim.at(a.sim.now, func() {
			if r.id == id {
				a.lose(r, frameLost)
				a.wake()
			}
		})
	}
}

// wake schedules the next step of the engine and of the scheduler.
func (a *agent[S, P]) wake() {
	tick := func() {
		a.engineWake = time.Time{}
		a.advance()
		a.wake()
	}
	if at := a.batch.NextStep(); !at.IsZero() && (a.engineWake.IsZero() || at.Before(a.engineWake)) {
		a.engineWake = at
		a.sim.at(at, tick)
	}
	at := a.scheduler.Wake()
	if at.IsZero() || !a.schedulerWake.IsZero() && !at.Before(a.schedulerWake) {
		return
	}
	a.schedulerWake = at
	a.sim.at(at, func() {
		a.schedulerWake = time.Time{}
		a.advance()
		a.decide(scheduler.Event{Kind: scheduler.EventTicked})
		a.wake()
	})
}

// keys returns the active attempts.
func (a *agent[S, P]) keys() map[scheduler.Key]bool {
	out := map[scheduler.Key]bool{}
	for k := range maps.Keys(a.runs) {
		if a.runs[k].active {
			out[k] = true
		}
	}
	return out
}

// send sends a frame with the present load to the entry of a run.
func (a *agent[S, P]) send(r *run[P], kind frameKind, tokens int) {
	m := frame[P]{flight: r.flight, attempt: r.key.Attempt, kind: kind, at: a.sim.now, tokens: tokens}
	e, load, at := r.flight.entry, a.scheduler.Load(), a.sim.now
	learn := func() {
		e.picker.Step(a.sim.now, picker.Event{Kind: picker.EventLoad, Upstream: a.name, Load: load, At: at})
	}
	lag := a.sim.scenario.ReportLag
	a.sim.after(latency, func() {
		if lag == 0 {
			learn()
		}
		a.sim.receive(m)
	})
	if lag > 0 && at.Sub(a.reported) >= 50*time.Millisecond {
		a.reported = at
		a.sim.after(latency+lag, learn)
	}
}
