package bench

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
)

// TestSimulateIsDeterministic checks that two simulations with the same seed give
// the same figures. Otherwise the effect of a change to a policy could not be
// distinguished from random variation.
func TestSimulateIsDeterministic(t *testing.T) {
	s := scenarioWithDuration(t, "crashes", 15*time.Second)
	for _, policy := range []string{PolicyInUse, PolicyRoundRobin} {
		t.Run(policy, func(t *testing.T) {
			is := is.New(t)
			first, err := json.Marshal(simulate(s, policy, 7))
			is.NoErr(err)
			second, err := json.Marshal(simulate(s, policy, 7))
			is.NoErr(err)
			is.Equal(string(first), string(second))
			other, err := json.Marshal(simulate(s, policy, 8))
			is.NoErr(err)
			is.True(string(first) != string(other))
		})
	}
}

// TestPolicyInUseMeetsTargets checks the documented targets on shortened
// scenarios.
func TestPolicyInUseMeetsTargets(t *testing.T) {
	t.Run("steady load meets the targets up to tier 8", func(t *testing.T) {
		r := simulate(scenarioWithDuration(t, "steady", 20*time.Second), PolicyInUse, 1)
		assertPromises(t, r)
		assertAttainment(t, r, 8, 0.99)
	})
	t.Run("a burst of tier 4 leaves tiers 1 and 2 on target and starves no class", func(t *testing.T) {
		r := simulate(scenarioWithDuration(t, "burst", 60*time.Second), PolicyInUse, 1)
		assertPromises(t, r)
		assertAttainment(t, r, 2, 0.99)
		is.New(t).True(r.LowestClassStartGap <= starvationWindow+r.LongestRun)
	})
	t.Run("graceful restarts refuse and abandon no request", func(t *testing.T) {
		r := simulate(scenarioWithDuration(t, "restarts", 80*time.Second), PolicyInUse, 1)
		assertPromises(t, r)
		is.New(t).Equal(r.Refusals+r.Abandoned, 0)
	})
	t.Run("a poison request is quarantined after the maximum number of crashes", func(t *testing.T) {
		r := simulate(scenarioWithDuration(t, "poison", 45*time.Second), PolicyInUse, 1)
		is.New(t).Equal(r.Crashes, detector.MaxStrikes)
	})
}

// TestGoodputIsWithinBound checks that the goodput of a policy does not exceed the bound, and that
// the bound respects the arrival and the deadline of each request.
func TestGoodputIsWithinBound(t *testing.T) {
	one := Request{Class: 3, PromptTokens: 301, PrefixTokens: 300, AnswerTokens: 500}
	work := engineTime(one)
	s := Scenario{Agents: 1, Duration: 90 * time.Second}
	t.Run("requests within the capacity count in full", func(t *testing.T) {
		is.New(t).Equal(int(Bound(s, []Request{one, one})+0.5), 1000)
	})
	t.Run("requests over the capacity before the deadline count in part", func(t *testing.T) {
		n := int(2 * time.Minute / work)
		got := Bound(s, repeat(one, n))
		// The deadline lies within the bucket that begins at 60 s, which counts in
		// full.
		is.New(t).Equal(int(got), int(500*61*time.Second/work))
	})
	t.Run("requests get no engine time before their arrival", func(t *testing.T) {
		late := one
		late.At = 60 * time.Second
		n := int(time.Minute / work)
		both := append(repeat(one, n), repeat(late, n)...)
		is.New(t).True(Bound(s, both) > float64(2*n*500)*0.99)
	})
	t.Run("simulated goodput does not exceed the bound", func(t *testing.T) {
		is := is.New(t)
		r := simulate(scenarioWithDuration(t, "market-day", 30*time.Second), PolicyInUse, 1)
		is.True(r.Goodput > 0)
		is.True(r.Goodput <= r.Bound)
	})
}

// TestPriorityViolationsAreCounted checks that violations of P1 are detected.
// Otherwise a result without violations would prove nothing.
func TestPriorityViolationsAreCounted(t *testing.T) {
	key := func(request string) scheduler.Key { return scheduler.Key{Request: request} }
	type runs = map[scheduler.Key]*run[picker.RoundRobin]
	tier := func(t int, active, floorRun bool) *run[picker.RoundRobin] {
		return &run[picker.RoundRobin]{tier: t, active: active, floorRun: floorRun}
	}
	preempt := scheduler.Action{Kind: scheduler.ActionPreempt, Reason: scheduler.ReasonTier, Cause: key("a")}
	shed := scheduler.Action{Kind: scheduler.ActionShed}
	for _, c := range []struct {
		name   string
		action scheduler.Action
		runs   runs
		want   int
	}{
		{"preempted for a higher tier is no violation", preempt, runs{key("a"): tier(1, false, false)}, 0},
		{"preempted for the same tier is a violation", preempt, runs{key("a"): tier(4, false, false)}, 1},
		{"preempted for an unknown run is a violation", preempt, runs{}, 1},
		{"shed while a lower tier is active is a violation", shed, runs{key("b"): tier(6, true, false)}, 1},
		{"shed while only a floor run is active is no violation", shed, runs{key("b"): tier(6, true, true)}, 0},
		{"shed while a lower tier waits is no violation", shed, runs{key("b"): tier(6, false, false)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(priorityViolations(c.action, 4, c.runs), c.want) })
	}
}

// TestStarvationIsReportedAfterBlockersEnd checks that a starving class is
// reported, but not before the runs that were active at the end of the window have
// ended.
func TestStarvationIsReportedAfterBlockersEnd(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	long := map[scheduler.Key]bool{{Request: "long"}: true}
	var d starvationDetector
	d.enqueue(start, "draft")
	is.Equal(d.check(start.Add(starvationWindow), long), 0)
	is.Equal(d.check(start.Add(40*time.Second), long), 0)
	is.Equal(d.check(start.Add(41*time.Second), nil), 1)
	d.recordStart(start.Add(42*time.Second), "draft")
	is.Equal(d.check(start.Add(90*time.Second), nil), 0)
}

// scenarioWithDuration returns a scenario with another arrival period.
func scenarioWithDuration(t *testing.T, name string, d time.Duration) Scenario {
	t.Helper()
	for _, s := range Scenarios() {
		if s.Name == name {
			s.Duration = d
			return s
		}
	}
	t.Fatalf("scenario %q does not exist", name)
	return Scenario{}
}

func repeat(r Request, n int) []Request {
	out := make([]Request, n)
	for i := range out {
		out[i] = r
	}
	return out
}

// assertPromises checks that a result has no violation of P1 or P2, no shed tokens
// and at most 2% wasted tokens. This holds for the policy in use in any scenario
// without engine faults.
func assertPromises(t *testing.T, r Result) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.P1Violations, 0)
	is.Equal(r.P2Violations, 0)
	is.Equal(r.ShedTokens, 0)
	is.True(r.WastedShare() <= 0.02)
}

// assertAttainment checks that every class up to a tier attains at least the share
// want.
func assertAttainment(t *testing.T, r Result, tier int, want float64) {
	t.Helper()
	for _, c := range r.Classes {
		if c.Tier <= tier && c.Attainment() < want {
			t.Errorf("class %s: %d of %d requests on target, want a share of at least %v", c.Name, c.OnTarget, c.Requests, want)
		}
	}
}
