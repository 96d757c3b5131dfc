package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// floorWindow is the time without a start after which a class with waiting
	// runs gets the next free slot (P2).
	floorWindow = 10 * time.Second
	// organisationPruneThreshold is the number of organisations in a class at which
	// adding another one removes those without runs, with their counts of served
	// tokens. The system is planned for 210 organisations.
	organisationPruneThreshold = 1024
)

// item is a run in the scheduler, waiting or active.
type item struct {
	Run
	class        *class
	organisation *organisation
	active       bool
	// everStarted is true once the run has been handed to the upstream.
	everStarted bool
	// floor is true while the run is active as the floor run of its class.
	floor     bool
	startedAt time.Time
	// lastToken is zero until the first token after a start.
	lastToken time.Time
	// remainingTokens is the expected number of tokens still to be generated.
	remainingTokens int
	// prepaidTokens is the number of answer tokens that the organisation was
	// charged in advance and that are not generated yet.
	prepaidTokens int
	next, prev    *item
	heapPosition  int
}

func (it *item) before(other *item) bool { return it.StartBy.Before(other.StartBy) }

func (it *item) position() *int { return &it.heapPosition }

// mayHaveRun reports whether the run may have been executed on this or another
// upstream.
func (it *item) mayHaveRun() bool { return it.everStarted || it.ResumeFrom > 0 }

// kvTokens returns the number of KV-cache tokens that the run occupies when it
// starts or resumes.
func (it *item) kvTokens() int { return it.PromptTokens + it.ResumeFrom }

// activeIndex returns the index of the run in [Scheduler.active].
func (it *item) activeIndex() int {
	if it.floor || it.NotPreemptible {
		return 0
	}
	return it.Tier
}

// updateRemaining recalculates remainingTokens. At least a quarter of the
// estimated length is expected to remain, even for an answer that has exceeded
// the estimate, since the distribution of lengths has a long tail.
func (it *item) updateRemaining() {
	it.remainingTokens = max(it.ExpectedTokens-it.ResumeFrom, it.ExpectedTokens/4, 1)
}

// chargeServed records generated tokens and charges the organisation for those
// beyond the tokens that it was charged in advance.
func (it *item) chargeServed(tokens int) {
	paid := min(tokens, it.prepaidTokens)
	it.prepaidTokens -= paid
	it.class.charge(it.organisation, tokens-paid)
}

// organisation is the queue of one organisation in a class.
type organisation struct {
	name string
	// servedTokens counts the tokens that the organisation was charged.
	servedTokens int64
	first, last  *item
	active       int
	heapPosition int
}

func (o *organisation) before(other *organisation) bool {
	if c := cmp.Compare(o.servedTokens, other.servedTokens); c != 0 {
		return c < 0
	}
	return o.name < other.name
}

func (o *organisation) position() *int { return &o.heapPosition }

// class holds the queues of one class, one for each organisation.
type class struct {
	name string
	// unservedSince is the time since which the class has had demand but no
	// start. Zero means that it has no unserved demand.
	unservedSince time.Time
	// lastSubmitted is the time of the last submission.
	lastSubmitted time.Time
	waiting       int
	active        int
	// floor is the active floor run, or nil.
	floor         *item
	organisations map[string]*organisation
	// backlogged holds the organisations with waiting runs, the least served at
	// the top.
	backlogged heap[*organisation]
	// virtualTime is the largest servedTokens of an organisation at a start of one
	// of its runs. An organisation without runs joins with at least this count.
	// Otherwise it could accumulate credit for many slots while it is idle.
	virtualTime int64
}

// class returns the class with the given name, which it creates if necessary.
func (s *Scheduler[P]) class(name string) *class {
	c := s.classes[name]
	if c == nil {
		c = &class{name: name, organisations: map[string]*organisation{}}
		s.classes[name] = c
		i, _ := slices.BinarySearchFunc(s.sortedClasses, name, func(c *class, name string) int { return strings.Compare(c.name, name) })
		s.sortedClasses = slices.Insert(s.sortedClasses, i, c)
	}
	return c
}

func (c *class) idle() bool { return c.waiting == 0 && c.active == 0 }

// recordDemand records the submission of a run. Runs that are refused at once
// count as well: otherwise a class whose runs are always refused would never get
// a floor run.
func (c *class) recordDemand(now time.Time) {
	if c.unservedSince.IsZero() || c.waiting == 0 && now.Sub(c.lastSubmitted) >= floorWindow {
		c.unservedSince = now
	}
	c.lastSubmitted = now
}

// overdue reports whether the class gets the next free slot for a floor run.
func (c *class) overdue(now time.Time) bool {
	return c.waiting > 0 && c.floor == nil && now.Sub(c.unservedSince) >= floorWindow
}

// head returns the next run of the class, or nil if none waits. It is the first
// run of the organisation with the fewest served tokens.
func (c *class) head() *item {
	o, ok := c.backlogged.top()
	if !ok {
		return nil
	}
	return o.first
}

// join returns the queue of the named organisation, which it creates if
// necessary. If the organisation has no run, its count of served tokens is
// raised to the virtual time.
func (c *class) join(name string) *organisation {
	o := c.organisations[name]
	if o == nil {
		if len(c.organisations) >= organisationPruneThreshold {
			c.removeIdle()
		}
		o = &organisation{name: name}
		c.organisations[name] = o
	}
	if o.first == nil && o.active == 0 {
		o.servedTokens = max(o.servedTokens, c.virtualTime)
	}
	return o
}

// removeIdle removes the organisations without runs.
func (c *class) removeIdle() {
	for name, o := range c.organisations {
		if o.first == nil && o.active == 0 {
			delete(c.organisations, name)
		}
	}
}

// charge adds to the served tokens of an organisation. A negative number is a
// refund.
func (c *class) charge(o *organisation, tokens int) {
	if tokens != 0 {
		o.servedTokens += int64(tokens)
		c.backlogged.fix(o)
	}
}

// insert adds a run to the queue of its organisation, at the front or the end.
func (c *class) insert(it *item, front bool) {
	o := it.organisation
	switch {
	case o.first == nil:
		o.first, o.last = it, it
		c.backlogged.push(o)
	case front:
		it.next, o.first.prev = o.first, it
		o.first = it
	default:
		it.prev, o.last.next = o.last, it
		o.last = it
	}
	c.waiting++
}

// remove deletes a waiting run from the queue of its organisation.
func (c *class) remove(it *item) {
	o := it.organisation
	if it.prev == nil {
		o.first = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		o.last = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
	if o.first == nil {
		c.backlogged.remove(o)
	}
	c.waiting--
}

func (s *Scheduler[P]) enqueue(it *item, front bool) {
	it.class.insert(it, front)
	if it.ResumeFrom == 0 && !it.StartBy.IsZero() && (s.rules.Preempt || s.rules.Shed) {
		s.startDeadlines[it.Tier].push(it)
	}
	s.adjustLoad(&s.waitingLoad[it.Tier], it, 1)
}

func (s *Scheduler[P]) dequeue(it *item) {
	it.class.remove(it)
	s.startDeadlines[it.Tier].remove(it)
	s.adjustLoad(&s.waitingLoad[it.Tier], it, -1)
}

// adjustLoad adds the workload of one run to w, or subtracts it if sign is -1.
func (s *Scheduler[P]) adjustLoad(w *workload, it *item, sign int) {
	w.runs += sign
	w.promptTokens += sign * it.kvTokens()
	w.answerTokens += sign * it.remainingTokens
}
