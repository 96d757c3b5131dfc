// Package scheduler orders, starts, preempts and sheds the runs of one upstream.
//
// It is a decision package: its input is events with the time at which they
// happened, and its output is the actions to take. It does not read a clock,
// start a goroutine or depend on the encoding of requests. Package executor
// carries the actions out in an agent, and package bench in a simulation.
//
// Each class has one queue for each organisation. A free slot goes to the most
// urgent tier, within a tier to the class whose next run has the earliest
// [Run.StartBy], and within a class to the organisation with the fewest served
// tokens. A class with waiting runs that has had no start for 10 s gets the next
// free slot regardless of tiers. The run started in this way is a floor run and
// is not preempted.
//
// If a run cannot start in time, runs of lower tiers are preempted for it. If
// there are none, the run is shed. A run that was handed to an upstream before
// is never shed: if it cannot continue on this upstream, [ActionReturn] returns
// it with the number of its valid tokens.
//
// The capacity has two dimensions, slots and KV-cache tokens. The limit of active
// runs, at most the configured number of slots, adapts to the measured gap between
// tokens, so that active runs meet their target for it.
//
// The comments and tests use these names of invariants:
//   - P1: (i) a run is preempted for another run only if that has a higher tier;
//     (ii) a run is preempted for lack of KV cache, or shed, only while no
//     preemptible run of a lower tier is active. A run that does not fit into an
//     empty KV cache is always shed.
//   - P2: if the capacity holds a run of each class at once, a class with waiting
//     runs starts one within 10 s plus the longest remaining time of the runs
//     that are active then.
//   - P4: a run that was handed to an upstream before is returned and not shed.
//
// The policy is a type parameter. Agents use [Tiered]; [FirstInFirstOut] is a
// baseline for comparison.
//
// # Usage
//
//	var s scheduler.Scheduler[scheduler.Tiered]
//	s.Step(now, scheduler.Event{Kind: scheduler.EventConfigured, Capacity: c})
//	for _, a := range s.Step(now, scheduler.Event{Kind: scheduler.EventSubmitted, Run: r}) {
//		switch a.Kind {
//		case scheduler.ActionStart:
//		case scheduler.ActionPreempt:
//		case scheduler.ActionShed:
//		case scheduler.ActionReturn:
//		case scheduler.ActionStop:
//		}
//	}
//	wake := s.Wake() // send an EventTicked at that time
package scheduler

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/estimator"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

// lowestTier is the number of the least urgent tier.
const lowestTier = descriptor.Tiers

// Scheduler holds the waiting and active runs of one upstream. The zero value
// has no capacity; [EventConfigured] sets it.
type Scheduler[P Policy] struct {
	policy   P
	rules    Rules
	capacity Capacity
	rates    estimator.Rates
	now      time.Time
	actions  []Action

	items   map[Key]*item
	classes map[string]*class
	// sortedClasses holds the classes by name, so that decisions do not depend on
	// the iteration order of a map.
	sortedClasses []*class
	// startDeadlines holds, by tier, the waiting runs with a target and without
	// tokens, the earliest StartBy at the top.
	startDeadlines [lowestTier + 1]heap[*item]
	// active holds, by tier, the preemptible active runs in order of their start.
	// Index 0 holds the active runs of any tier that are not preemptible.
	active [lowestTier + 1][]*item
	// waitingLoad is the workload of the waiting runs by tier, and activeLoad the
	// workload of the active runs by the index of active.
	waitingLoad [lowestTier + 1]workload
	activeLoad  [lowestTier + 1]workload
	slots       adaptiveLimit
	cache       kvCache
}

// workload is the sum over a set of runs.
type workload struct {
	runs int
	// promptTokens is the number of tokens that the runs have to process before
	// they generate tokens, and answerTokens the expected number of tokens to
	// generate.
	promptTokens int
	answerTokens int
}

// Step processes one event and returns the actions to take, in order. An event
// for an unknown run is ignored.
func (s *Scheduler[P]) Step(now time.Time, e Event) []Action {
	s.now, s.actions = now, nil
	if s.items == nil {
		s.items, s.classes = map[Key]*item{}, map[string]*class{}
		s.rules = s.policy.Rules()
	}
	switch e.Kind {
	case EventConfigured:
		s.configure(e.Capacity)
	case EventSubmitted:
		s.submit(e.Run)
	case EventAdvanced:
		s.advance(e.Key, e.Tokens)
	case EventEnded:
		s.end(e.Key)
	case EventWithdrawn:
		s.withdraw(e.Key)
	}
	s.slots.adapt(now, s.activeRuns())
	s.startWaiting()
	for s.handleDue() {
		s.startWaiting()
	}
	return s.actions
}

// Wake returns the time at which the caller has to send an [EventTicked], or
// zero if none is needed. It is always after the time of the last step.
func (s *Scheduler[P]) Wake() time.Time {
	var wake time.Time
	consider := func(t time.Time) {
		if t.After(s.now) && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	for t := 1; t <= lowestTier; t++ {
		if it, ok := s.startDeadlines[t].top(); ok {
			consider(it.StartBy.Add(-preemptLead))
			consider(it.StartBy)
		}
	}
	if s.rules.Floors && s.activeRuns() < s.slots.limit {
		for _, c := range s.sortedClasses {
			if c.waiting > 0 {
				consider(c.unservedSince.Add(floorWindow))
			}
		}
	}
	return wake
}

// configure sets the capacity and removes the classes without runs.
func (s *Scheduler[P]) configure(c Capacity) {
	s.capacity = c
	s.slots.configure(c.Slots)
	s.cache.capacity = c.KVTokens
	inUse := s.sortedClasses[:0]
	for _, c := range s.sortedClasses {
		if c.idle() {
			delete(s.classes, c.name)
			continue
		}
		inUse = append(inUse, c)
	}
	clear(s.sortedClasses[len(inUse):])
	s.sortedClasses = inUse
}

// submit queues a new run, or refuses it if it exceeds the KV cache, if the
// queue of its class is full or if it is expected to miss its target.
func (s *Scheduler[P]) submit(r Run) {
	if s.items[r.Key] != nil {
		return
	}
	if r.Tier < 1 || r.Tier > lowestTier {
		r.Tier = lowestTier
	}
	if r.Arrived.IsZero() {
		r.Arrived = s.now
	}
	if r.ExpectedTokens <= 0 {
		r.ExpectedTokens = estimator.DefaultTokens
	}
	r.StartBy = s.startBy(&r)
	c := s.class(r.Class)
	c.recordDemand(s.now)
	it := &item{Run: r, class: c}
	it.updateRemaining()
	if !s.cache.fitsEmpty(it.kvTokens()) {
		s.refuse(it, ReasonTooLarge)
		return
	}
	if s.capacity.QueueLimit > 0 && c.waiting >= s.capacity.QueueLimit && !s.makeQueueRoom(c) {
		s.refuse(it, ReasonQueueFull)
		return
	}
	if s.willMissTarget(it) {
		s.refuse(it, ReasonDeadline)
		return
	}
	it.organisation = c.join(s.queueName(&r))
	s.items[r.Key] = it
	s.enqueue(it, false)
}

// queueName returns the name of the queue of r within its class: the
// organisation, or the empty name if the class has only one queue.
func (s *Scheduler[P]) queueName(r *Run) string {
	if s.rules.Fair {
		return r.Organisation
	}
	return ""
}

// startBy returns the latest start with which r meets its targets. A run that
// has tokens must start at once, since its caller sees any wait as a gap between
// tokens.
func (s *Scheduler[P]) startBy(r *Run) time.Time {
	if r.ResumeFrom > 0 {
		return r.Arrived
	}
	var by time.Time
	if !r.FirstTokenBy.IsZero() {
		by = r.FirstTokenBy.Add(-s.rates.PrefillTime(r.PromptTokens) - startMargin)
	}
	if !r.AnswerBy.IsZero() {
		if t := r.AnswerBy.Add(-s.rates.ServiceTime(r.PromptTokens, r.ExpectedTokens)); by.IsZero() || t.Before(by) {
			by = t
		}
	}
	return by
}

// advance records new tokens of an active run.
func (s *Scheduler[P]) advance(k Key, tokens int) {
	it := s.items[k]
	if it == nil || !it.active || tokens <= 0 {
		return
	}
	s.observeTokens(it, tokens)
	before := it.remainingTokens
	it.ResumeFrom += tokens
	it.chargeServed(tokens)
	it.updateRemaining()
	load := &s.activeLoad[it.activeIndex()]
	load.promptTokens += tokens
	load.answerTokens += it.remainingTokens - before
	s.cache.grow(tokens, it.remainingTokens-before)
	s.preemptForCache()
}

// observeTokens updates the estimated rates of the upstream and the adaptive
// limit with tokens that arrived now.
func (s *Scheduler[P]) observeTokens(it *item, tokens int) {
	if it.lastToken.IsZero() {
		s.rates.ObserveFirstToken(it.kvTokens(), s.now.Sub(it.startedAt))
		s.slots.countTokens(tokens)
	} else {
		gap := s.now.Sub(it.lastToken) / time.Duration(tokens)
		s.rates.ObserveGap(gap)
		s.slots.observeGap(gap, it.TokenGapTarget, tokens)
	}
	it.lastToken = s.now
}

// end removes an active run that finished or was lost. The duration of a run
// without tokens is recorded.
func (s *Scheduler[P]) end(k Key) {
	it := s.items[k]
	if it == nil || !it.active {
		return
	}
	if it.lastToken.IsZero() {
		s.rates.ObserveCall(s.now.Sub(it.startedAt))
	}
	s.deactivate(it)
	delete(s.items, k)
}

// withdraw removes a waiting or active run.
func (s *Scheduler[P]) withdraw(k Key) {
	it := s.items[k]
	if it == nil {
		return
	}
	if it.active {
		s.deactivate(it)
		s.emit(Action{Kind: ActionStop, Key: k, Tier: it.Tier})
	} else {
		s.dequeue(it)
	}
	delete(s.items, k)
}

func (s *Scheduler[P]) emit(a Action) { s.actions = append(s.actions, a) }
