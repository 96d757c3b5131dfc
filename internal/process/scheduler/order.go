package scheduler

import "time"

// preemptLead is the time before its latest start at which a run preempts
// others. It covers the cancellation of the preempted runs at the upstream. A
// longer lead would preempt runs that would have ended in time by themselves.
const preemptLead = 50 * time.Millisecond

// startMargin is subtracted from the latest start of a run with a target for its
// first token, since the upstream completes the current iteration before it
// starts a run. Without the margin, runs that started at the last moment had
// their first token after 1.0 to 1.1 s.
const startMargin = 50 * time.Millisecond

// startWaiting starts waiting runs while slots and KV cache allow it.
func (s *Scheduler[P]) startWaiting() {
	for s.activeRuns() < s.slots.limit {
		it, floor := s.candidate()
		if it == nil {
			return
		}
		if s.expired(it) && s.sheddable(it) {
			s.shed(it)
			continue
		}
		// A run that does not fit blocks all runs after it: otherwise small runs
		// could starve a large one.
		if !s.fits(it) {
			return
		}
		s.start(it, floor)
	}
}

// candidate returns the run to start next, or nil, and whether it starts as the
// floor run of its class.
func (s *Scheduler[P]) candidate() (*item, bool) {
	if s.rules.Floors {
		if c := s.mostOverdue(); c != nil {
			return c.head(), true
		}
	}
	var best *item
	for _, c := range s.sortedClasses {
		if it := c.head(); it != nil && (best == nil || s.policy.Before(s.now, &it.Run, &best.Run)) {
			best = it
		}
	}
	return best, false
}

// mostOverdue returns the overdue class that has waited longest without a start,
// or nil.
func (s *Scheduler[P]) mostOverdue() *class {
	var most *class
	for _, c := range s.sortedClasses {
		if c.overdue(s.now) && (most == nil || c.unservedSince.Before(most.unservedSince)) {
			most = c
		}
	}
	return most
}

// handleDue handles waiting runs whose latest start is near or has passed. It
// preempts runs of lower tiers to start them, and sheds those that cannot start
// in time. It reports whether it started or shed any run.
func (s *Scheduler[P]) handleDue() bool {
	changed := false
	for t := 1; t <= lowestTier; t++ {
		for {
			it, ok := s.startDeadlines[t].top()
			if !ok || s.now.Before(it.StartBy.Add(-preemptLead)) {
				break
			}
			if s.preemptFor(it) {
				changed = true
				continue
			}
			if s.now.Before(it.StartBy) {
				break
			}
			if it.everStarted || !s.rules.Shed {
				// The run is late but stays in the queue, since it was started before
				// or the rules exclude shedding.
				s.startDeadlines[t].remove(it)
				continue
			}
			if !s.sheddable(it) {
				break
			}
			s.shed(it)
			changed = true
		}
	}
	return changed
}

// preemptFor starts a waiting run after preempting as few runs of lower tiers as necessary,
// the lowest tier first and within a tier the run that started last. If the run
// could not start even then, preemptFor does nothing and returns false.
func (s *Scheduler[P]) preemptFor(it *item) bool {
	if !s.rules.Preempt || s.preemptibleRuns(it.Tier) == 0 {
		return false
	}
	var victims []*item
	runs, cache := s.activeRuns(), s.cache
	if s.rules.Floors && s.mostOverdue() != nil {
		// Free capacity is reserved for the waiting floor run. Only the capacity
		// of the preempted runs may be used.
		runs = max(runs, s.slots.limit)
		if cache.capacity > 0 {
			cache.capacity = min(cache.capacity, max(1, cache.used+cache.expectedGrowth/2))
		}
	}
	for t := lowestTier; t > it.Tier; t-- {
		for i := len(s.active[t]) - 1; i >= 0; i-- {
			if runs < s.slots.limit && cache.fits(it) {
				break
			}
			v := s.active[t][i]
			victims = append(victims, v)
			runs--
			cache.release(v)
		}
	}
	if runs >= s.slots.limit || !cache.fits(it) {
		return false
	}
	for _, v := range victims {
		s.preempt(v, Action{Reason: ReasonTier, Cause: it.Key})
	}
	s.start(it, false)
	return true
}

// makeQueueRoom preempts runs of lower tiers to start the first run of a class
// whose queue is full, and reports whether the queue has room now. If that run
// does not fit into the KV cache even then, all preemptible runs of lower tiers
// are preempted nevertheless: shedding a run while they are active would violate
// P1.
func (s *Scheduler[P]) makeQueueRoom(c *class) bool {
	it := c.head()
	if s.preemptFor(it) {
		return true
	}
	if !s.rules.Preempt || s.preemptibleRuns(it.Tier) == 0 {
		return false
	}
	for t := lowestTier; t > it.Tier; t-- {
		for len(s.active[t]) > 0 {
			s.preempt(s.active[t][len(s.active[t])-1], Action{Reason: ReasonTier, Cause: it.Key})
		}
	}
	return false
}

// preemptibleRuns returns the number of active runs that a run of the given tier
// may preempt.
func (s *Scheduler[P]) preemptibleRuns(tier int) int {
	n := 0
	for t := tier + 1; t <= lowestTier; t++ {
		n += len(s.active[t])
	}
	return n
}

// expired reports whether the time of a target has passed for a run that has no
// tokens yet.
func (s *Scheduler[P]) expired(it *item) bool {
	passed := func(t time.Time) bool { return !t.IsZero() && !s.now.Before(t) }
	return it.ResumeFrom == 0 && (passed(it.FirstTokenBy) || passed(it.AnswerBy))
}

// sheddable reports whether a run may be shed: it was never handed to an
// upstream (P4), and no run that it could preempt is active (P1).
func (s *Scheduler[P]) sheddable(it *item) bool {
	return s.rules.Shed && !it.mayHaveRun() && (!s.rules.Preempt || s.preemptibleRuns(it.Tier) == 0)
}

// willMissTarget reports whether a new run that may be shed is expected to miss
// its target on this upstream. Such a run is refused at once, so that the entry can
// try another upstream. A run that would start in time as the floor run of its
// class is not refused.
func (s *Scheduler[P]) willMissTarget(it *item) bool {
	if it.StartBy.IsZero() || !s.sheddable(it) {
		return false
	}
	c := it.class
	if s.rules.Floors && c.waiting == 0 && c.floor == nil && !it.StartBy.Before(c.unservedSince.Add(floorWindow)) {
		return false
	}
	return s.now.Add(s.expectedWait(it.Tier)).After(it.StartBy) && s.activeRuns() >= s.slots.limit
}

// refuse emits the action that sheds a run, or returns it if it was handed to an
// upstream before. The run must be neither queued nor active.
func (s *Scheduler[P]) refuse(it *item, r Reason) {
	kind := ActionShed
	if it.mayHaveRun() {
		kind = ActionReturn
	}
	s.emit(Action{Kind: kind, Key: it.Key, ResumeFrom: it.ResumeFrom, Tier: it.Tier, Reason: r})
}

// shed removes a waiting run whose target can no longer be met.
func (s *Scheduler[P]) shed(it *item) {
	s.dequeue(it)
	delete(s.items, it.Key)
	s.refuse(it, ReasonDeadline)
}

// start moves a run from its queue to the active runs and charges its
// organisation in advance for the prompt and the expected answer.
func (s *Scheduler[P]) start(it *item, floor bool) {
	s.dequeue(it)
	c := it.class
	c.active++
	c.unservedSince = time.Time{}
	if c.waiting > 0 {
		c.unservedSince = s.now
	}
	c.virtualTime = max(c.virtualTime, it.organisation.servedTokens)
	if floor {
		c.floor = it
	}
	it.organisation.active++
	it.prepaidTokens = it.remainingTokens
	// The additional token charges for runs of services that use no tokens.
	prompt := it.PromptTokens + 1
	if it.mayHaveRun() {
		// The organisation was charged for the prompt at the first start, and did
		// not cause the prompt to be processed again.
		prompt = 0
	}
	c.charge(it.organisation, it.prepaidTokens+prompt)
	it.active, it.everStarted, it.floor = true, true, floor
	it.startedAt, it.lastToken = s.now, time.Time{}
	s.active[it.activeIndex()] = append(s.active[it.activeIndex()], it)
	s.adjustLoad(&s.activeLoad[it.activeIndex()], it, 1)
	s.cache.reserve(it)
	s.emit(Action{Kind: ActionStart, Key: it.Key, ResumeFrom: it.ResumeFrom, Tier: it.Tier, Floor: floor})
}

// preempt stops an active run and puts it at the front of the queue of its
// organisation. A run that no longer fits into an empty KV cache is returned
// instead.
func (s *Scheduler[P]) preempt(it *item, a Action) {
	s.deactivate(it)
	a.Key, a.ResumeFrom, a.Tier = it.Key, it.ResumeFrom, it.Tier
	if !s.cache.fitsEmpty(it.kvTokens()) {
		delete(s.items, it.Key)
		s.refuse(it, ReasonTooLarge)
		return
	}
	if it.ResumeFrom > 0 {
		it.StartBy = it.Arrived
	}
	if it.class.unservedSince.IsZero() {
		it.class.unservedSince = s.now
	}
	a.Kind = ActionPreempt
	s.emit(a)
	s.enqueue(it, true)
}

// deactivate removes a run from the active runs and refunds the tokens that its
// organisation was charged in advance and that were not generated.
func (s *Scheduler[P]) deactivate(it *item) {
	index := it.activeIndex()
	s.active[index] = removeItem(s.active[index], it)
	s.adjustLoad(&s.activeLoad[index], it, -1)
	s.cache.release(it)
	it.class.active--
	it.organisation.active--
	it.class.charge(it.organisation, -it.prepaidTokens)
	it.prepaidTokens = 0
	if it.floor {
		it.class.floor = nil
	}
	it.active, it.floor = false, false
}
