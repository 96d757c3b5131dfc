package bench

import (
	"container/heap"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
)

const (
	// latency is the network delay of a message between an entry and an agent.
	latency = time.Millisecond
	// checkInterval is the time between two checks of promise P2.
	checkInterval = 250 * time.Millisecond
	// queueLimit is the maximum number of waiting runs of a class at an agent, the
	// same as in the executor.
	queueLimit = 256
)

// simulation is the state of one scenario simulated under a routing policy and a
// scheduling policy.
type simulation[S scheduler.Policy, P picker.Policy] struct {
	scenario   Scenario
	seed       uint64
	classes    []Class
	start      time.Time
	now        time.Time
	events     eventHeap
	sequence   int
	agents     []*agent[S, P]
	entries    []*entry[P]
	upstreams  []string
	lastEntry  int
	unfinished int
	detector   detector.Detector
	result     Result
}

// event is an action at a virtual time. sequence orders the events of one time.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

func newSimulation[S scheduler.Policy, P picker.Policy](s Scenario, seed uint64) *simulation[S, P] {
	sim := &simulation[S, P]{
		scenario: s, seed: seed, classes: workloadClasses(), start: time.Unix(1_000_000, 0),
	}
	sim.now = sim.start
	for i := range s.Agents {
		a := newAgent(sim, i)
		sim.agents = append(sim.agents, a)
		sim.upstreams = append(sim.upstreams, a.name)
	}
	for i := range s.Entries {
		sim.entries = append(sim.entries, newEntry[P](sim, i))
	}
	return sim
}

// run simulates the scenario until all requests have ended.
func (s *simulation[S, P]) run() Result {
	requests := generateTrace(s.scenario, s.seed)
	s.result = newResult(s.scenario, s.seed, s.classes)
	for i := range requests {
		r := requests[i]
		s.unfinished++
		s.scheduleAfter(r.At, func() { s.arrive(r) })
	}
	for _, f := range s.scenario.Faults {
		s.scheduleAfter(f.At, func() { s.injectFault(f) })
	}
	s.scheduleAfter(checkInterval, s.periodicCheck)
	for len(s.events) > 0 && s.unfinished > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
	s.result.computeTotals(s.batches(), requests, s.scenario)
	return s.result
}

// scheduleAfter schedules f after the delay d.
func (s *simulation[S, P]) scheduleAfter(d time.Duration, f func()) { s.scheduleAt(s.now.Add(d), f) }

// scheduleAt schedules f at the time t.
func (s *simulation[S, P]) scheduleAt(t time.Time, f func()) {
	s.sequence++
	heap.Push(&s.events, event{at: t, sequence: s.sequence, action: f})
}

// arrive submits a request to the next entry in round-robin order that accepts
// requests. If none does, the request is dropped.
func (s *simulation[S, P]) arrive(r Request) {
	for range s.entries {
		s.lastEntry = (s.lastEntry + 1) % len(s.entries)
		if e := s.entries[s.lastEntry]; !e.leaving {
			s.submit(e, r)
			return
		}
	}
	s.unfinished--
}

func (s *simulation[S, P]) injectFault(f Fault) {
	switch f.Kind {
	case FaultSlowEngine:
		s.agents[f.Index].batch.SlowDown(f.Factor)
	case FaultEngineCrash:
		s.agents[f.Index].crash()
	case FaultEntryRestart:
		s.entries[f.Index].leaving = true
	case FaultAgentRestart:
		a := s.agents[f.Index]
		a.leaving = true
		for _, e := range s.entries {
			s.scheduleAfter(latency, func() { e.picker.Step(s.now, picker.Event{Kind: picker.EventLeaving, Upstream: a.name}) })
		}
	}
}

// periodicCheck checks promise P2 and restarts the leaving processes that have
// finished their work.
func (s *simulation[S, P]) periodicCheck() {
	for _, a := range s.agents {
		s.result.P2Violations += a.starvation.check(s.now, a.activeKeys())
		if a.leaving && !a.restarting && len(a.runs) == 0 {
			a.restarting = true
			s.scheduleAfter(processRestartTime, a.restart)
		}
	}
	for _, e := range s.entries {
		if e.leaving && !e.restarting && e.inFlight == 0 {
			e.restarting = true
			s.scheduleAfter(processRestartTime, func() { s.restartEntry(e) })
		}
	}
	s.scheduleAfter(checkInterval, s.periodicCheck)
}

func (s *simulation[S, P]) restartEntry(old *entry[P]) {
	e := newEntry[P](s, old.index)
	s.entries[old.index] = e
	for _, a := range s.agents {
		if a.leaving {
			e.picker.Step(s.now, picker.Event{Kind: picker.EventLeaving, Upstream: a.name})
		}
	}
}

// batches returns the batches of all engines.
func (s *simulation[S, P]) batches() []*emulator.Batch {
	var out []*emulator.Batch
	for _, a := range s.agents {
		out = append(out, a.batch)
	}
	return out
}

// eventHeap is a priority queue of events, ordered by time and within one time by
// the order of creation.
type eventHeap []event

// Len implements [heap.Interface].
func (h eventHeap) Len() int { return len(h) }

// Less implements [heap.Interface].
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements [heap.Interface].
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements [heap.Interface].
func (h *eventHeap) Push(v any) { *h = append(*h, v.(event)) }

// Pop implements [heap.Interface].
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	v := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return v
}
