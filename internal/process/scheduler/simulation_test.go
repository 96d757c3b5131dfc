package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tokenInterval is the time between two tokens of a run on the simulated
// upstream.
const tokenInterval = 100 * time.Millisecond

// burst is a number of identical runs that are submitted at the same time. After
// is the time since the previous burst; Class and Organisation are indexes.
type burst struct {
	After                                     time.Duration
	Class, Organisation, Runs, Prompt, Tokens int
	Withdraw, Resumed                         bool
}

// setup describes the upstream and the classes of a simulation. The targets of
// a class are given as times after the zero time.
type setup struct {
	capacity Capacity
	classes  []Run
	// roomForAll is true if the capacity holds a run of each class at once. P2 is
	// checked only then: floor runs are not preempted, so with less capacity the
	// next floor run may have to wait for them beyond the bound.
	roomForAll bool
}

// simulatedRun is a run that was submitted and has not ended. remaining is the
// number of tokens that it still generates, the first of them at nextToken.
type simulatedRun struct {
	Run
	remaining              int
	nextToken              time.Time
	active, floor, started bool
}

// endsBy returns the time at which the active run ends if it is not preempted.
func (r *simulatedRun) endsBy() time.Time {
	return r.nextToken.Add(time.Duration(r.remaining-1) * tokenInterval)
}

// starvation is the state of a class that waits for a start, for the check of P2.
// Once floorWindow has passed since the time since, a start is due by startBound.
type starvation struct {
	since, startBound time.Time
	windowPassed      bool
}

// simulation drives a scheduler in virtual time and checks the invariants.
type simulation[P Policy] struct {
	scheduler  Scheduler[P]
	setup      setup
	now        time.Time
	runs       map[Key]*simulatedRun
	starvation map[string]*starvation
	// preemptCauses holds the runs for which others were preempted in this step.
	preemptCauses map[Key]bool
	// lastStart is the time of the last start of each class.
	lastStart  map[string]time.Time
	violations []string
	counts     map[string]int
}

// bursts generates bursts from a few values for each field, since rapid draws
// small values more often from a range and would hardly ever load the upstream.
func bursts() *rapid.Generator[[]burst] {
	draw := func(t *rapid.T, name string, values ...int) int { return rapid.SampledFrom(values).Draw(t, name) }
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) burst {
		return burst{
			After: time.Duration(draw(t, "after", 0, 40, 130, 270, 400)) * time.Millisecond,
			Class: draw(t, "class", 0, 1, 2, 3, 4), Organisation: draw(t, "organisation", 0, 1, 2),
			Runs: draw(t, "runs", 1, 2, 6), Prompt: draw(t, "prompt", 0, 30, 150, 300), Tokens: draw(t, "tokens", 1, 7, 30, 80, 200),
			Withdraw: draw(t, "withdraw", 0, 0, 0, 0, 0, 0, 0, 0, 1) == 1,
			Resumed:  draw(t, "resumed", 0, 0, 0, 0, 0, 0, 0, 0, 1) == 1,
		}
	}), 20, 150)
}

// simulate submits the bursts, runs them to their end and returns the
// violations of the invariants and the number of actions by kind and reason.
func simulate[P Policy](cfg setup, all []burst) ([]string, map[string]int) {
	s := simulation[P]{
		setup: cfg, now: time.Unix(1000, 0), runs: map[Key]*simulatedRun{}, starvation: map[string]*starvation{},
		counts: map[string]int{}, lastStart: map[string]time.Time{},
	}
	s.step(Event{Kind: EventConfigured, Capacity: cfg.capacity})
	for i, a := range all {
		s.advance(s.now.Add(a.After))
		if k := (Key{Request: fmt.Sprintf("%03d-0", i*2/3), Attempt: 1}); a.Withdraw && s.runs[k] != nil {
			s.remove(EventWithdrawn, k)
		}
		for n := range a.Runs {
			s.submit(a, Key{Request: fmt.Sprintf("%03d-%d", i, n), Attempt: 1})
		}
	}
	s.advance(s.now.Add(10 * time.Minute))
	for k := range s.runs {
		s.violatef("run %v has not ended 10 minutes after the last burst", k)
	}
	return s.violations, s.counts
}

func (s *simulation[P]) submit(a burst, k Key) {
	r := s.setup.classes[a.Class]
	r.Key, r.Arrived, r.PromptTokens, r.Organisation = k, s.now, a.Prompt, fmt.Sprint(a.Organisation)
	// The formula allows estimates from one to five thirds of the actual length.
	// With the prompts of bursts, all multiples of 5, it gives one third.
	r.ExpectedTokens = max(1, a.Tokens*(1+a.Prompt%5)/3)
	for _, by := range []*time.Time{&r.FirstTokenBy, &r.AnswerBy} {
		if a.Resumed {
			r.ResumeFrom, *by = 3, time.Time{}
		} else if !by.IsZero() {
			*by = s.now.Add(by.Sub(time.Time{}))
		}
	}
	s.runs[k] = &simulatedRun{Run: r, remaining: a.Tokens, started: a.Resumed}
	s.step(Event{Kind: EventSubmitted, Run: r})
}

// remove deletes a run and sends an event of kind e for it to the scheduler.
func (s *simulation[P]) remove(e EventKind, k Key) {
	delete(s.runs, k)
	s.step(Event{Kind: e, Key: k})
}

// advance moves the time to end and processes all tokens and wake-ups until then.
func (s *simulation[P]) advance(end time.Time) {
	for {
		at, key := end, Key{}
		for k, r := range s.runs {
			if r.active && (r.nextToken.Before(at) || r.nextToken.Equal(at) && (key == Key{} || k.Request < key.Request)) {
				at, key = r.nextToken, k
			}
		}
		w := s.scheduler.Wake()
		wakes := !w.IsZero() && w.Before(at)
		switch {
		case wakes && !w.After(s.now):
			s.violatef("Wake returned %v, which is not after the current time %v", w, s.now)
			return
		case wakes:
			s.now = w
			s.step(Event{Kind: EventTicked})
		default:
			s.now = at
			if key == (Key{}) {
				return
			}
			s.generateToken(key, s.runs[key])
		}
	}
}

// generateToken generates one token of an active run, and ends the run with its last
// token.
func (s *simulation[P]) generateToken(k Key, r *simulatedRun) {
	r.remaining, r.nextToken = r.remaining-1, s.now.Add(tokenInterval)
	r.ResumeFrom++
	s.step(Event{Kind: EventAdvanced, Key: k, Tokens: 1})
	if r.remaining > 0 || s.runs[k] == nil {
		return
	}
	if r.active {
		s.remove(EventEnded, k)
		return
	}
	// The event of the last token caused the preemption of the run. It generates
	// one more token after it is resumed.
	r.remaining = 1
}

func (s *simulation[P]) step(e Event) {
	s.preemptCauses = map[Key]bool{}
	for _, a := range s.scheduler.Step(s.now, e) {
		s.counts[fmt.Sprint(a.Kind, a.Reason)]++
		if r := s.runs[a.Key]; r != nil {
			s.apply(a, r)
		} else if a.Kind != ActionStop {
			s.violatef("action %d for unknown run %v", a.Kind, a.Key)
		}
	}
	s.checkState()
}

// apply carries out an action and checks it against P1 and P4. A preemption for
// another run is checked against P1 (i).
func (s *simulation[P]) apply(a Action, r *simulatedRun) {
	if a.ResumeFrom != r.ResumeFrom {
		s.violatef("action for run %v has ResumeFrom %d, want %d", a.Key, a.ResumeFrom, r.ResumeFrom)
	}
	switch a.Kind {
	case ActionStart:
		s.start(a, r)
	case ActionPreempt:
		if !r.active || r.floor || r.NotPreemptible {
			s.violatef("run %v is preempted: active %v, floor %v, not preemptible %v", a.Key, r.active, r.floor, r.NotPreemptible)
		}
		if a.Reason == ReasonCacheFull {
			s.checkNoLowerTierActive("preempted for the cache", r)
		} else if cause := s.runs[a.Cause]; cause == nil || cause.Tier >= r.Tier {
			s.violatef("P1: %v of tier %d is preempted by %v", a.Key, r.Tier, a.Cause)
		}
		s.preemptCauses[a.Cause] = true
		r.active, r.floor = false, false
	case ActionShed, ActionReturn:
		if r.started != (a.Kind == ActionReturn) {
			s.violatef("P4: run %v, started before: %v, is removed by action %d", a.Key, r.started, a.Kind)
		}
		if a.Kind == ActionShed && a.Reason != ReasonTooLarge {
			s.checkNoLowerTierActive("shed", r)
		}
		delete(s.runs, a.Key)
	}
}

func (s *simulation[P]) start(a Action, r *simulatedRun) {
	if r.active {
		s.violatef("run %v is started while it is active", a.Key)
	}
	if last := s.lastStart[r.Class]; a.Floor && s.now.Sub(last) < floorWindow {
		s.violatef("floor run of class %s starts too early after the start of a run at %v", r.Class, last)
	}
	for _, o := range s.runs {
		if a.Floor && o.floor && o.Class == r.Class {
			s.violatef("P2: two floor runs of class %s", r.Class)
		}
	}
	r.active, r.floor, r.started, r.nextToken = true, a.Floor, true, s.now.Add(tokenInterval)
	s.lastStart[r.Class] = s.now
	delete(s.starvation, r.Class)
	for _, st := range s.starvation {
		// The floor run waits for the run that takes the slot of a preempted run, as
		// it did for the preempted run.
		if st.windowPassed && s.preemptCauses[a.Key] && r.endsBy().After(st.startBound) {
			st.startBound = r.endsBy()
		}
	}
}

// checkNoLowerTierActive checks P1 (ii) for a run that is preempted for lack of
// KV cache or shed: no run of a lower tier than r is active except floor runs and
// runs that are not preemptible. The message of a violation contains outcome.
func (s *simulation[P]) checkNoLowerTierActive(outcome string, r *simulatedRun) {
	for k, o := range s.runs {
		if o.active && !o.floor && !o.NotPreemptible && o.Tier > r.Tier {
			s.violatef("P1: %v of tier %d is %s while %v of tier %d is active", r.Key, r.Tier, outcome, k, o.Tier)
		}
	}
}

// checkState checks the load and P2: a class that has waiting runs throughout
// floorWindow starts one before the runs that are active at the end of the window
// have ended.
func (s *simulation[P]) checkState() {
	active, waiting := 0, map[string]bool{}
	var longest time.Time
	for _, r := range s.runs {
		if !r.active {
			waiting[r.Class] = true
			continue
		}
		active++
		if r.endsBy().After(longest) {
			longest = r.endsBy()
		}
	}
	if l := s.scheduler.Load(); l.Active != active || l.Active+l.Waiting != len(s.runs) || active > s.setup.capacity.Slots {
		s.violatef("Load returned %+v with %d active of %d runs", l, active, len(s.runs))
	}
	for _, c := range s.setup.classes {
		st := s.starvation[c.Class]
		switch {
		case !waiting[c.Class]:
			delete(s.starvation, c.Class)
		case st == nil:
			s.starvation[c.Class] = &starvation{since: s.now}
		case !st.windowPassed && s.now.Sub(st.since) >= floorWindow:
			st.windowPassed, st.startBound = true, longest
		case st.windowPassed && s.now.After(st.startBound) && s.setup.roomForAll:
			s.violatef("P2: class %s has waited since %v and has had no start by %v", c.Class, st.since, s.now)
			delete(s.starvation, c.Class)
		}
	}
}

func (s *simulation[P]) violatef(format string, values ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, values...))
}

// assertNoViolation checks that random bursts violate no invariant.
func assertNoViolation[P Policy](t *testing.T, cfg setup) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		if v, _ := simulate[P](cfg, bursts().Draw(t, "arrivals")); len(v) > 0 {
			t.Fatalf("%d violations, first: %s", len(v), v[0])
		}
	})
}

// assertOccurs checks that one of 100 random sequences of bursts leads to a
// violation that begins with want, or to an action whose kind and reason are
// want.
func assertOccurs[P Policy](t *testing.T, cfg setup, want string) {
	t.Helper()
	for seed := range 100 {
		v, counts := simulate[P](cfg, bursts().Example(seed))
		if counts[want] > 0 || slices.ContainsFunc(v, func(text string) bool { return text[:2] == want }) {
			return
		}
	}
	t.Errorf("no violation or action %q in 100 sequences of bursts", want)
}
