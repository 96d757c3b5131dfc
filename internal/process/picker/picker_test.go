package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
)

const ms = time.Millisecond

func start() time.Time { return time.Unix(1000, 0) }

// Pick must not return an upstream that cannot take the request, unless only the
// policy rules it out and no other is left.
func TestPickSkipsUnavailable(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []Event
		query  Query
		want   map[string]bool
	}{
		{"not connected", []Event{{Kind: EventDisconnected, Upstream: "a"}}, Query{}, set("b", "c")},
		{"leaving", []Event{{Kind: EventLeaving, Upstream: "a"}}, Query{}, set("b", "c")},
		{"excluded", nil, Query{Exclude: []string{"a", "c"}}, set("b")},
		{"in backoff after a loss", []Event{{Kind: EventSent, Upstream: "a"}, {Kind: EventLost, Upstream: "a"}}, Query{}, set("b", "c")},
		{"all in backoff after a loss, so that none is skipped", []Event{{Kind: EventLost, Upstream: "a"}, {Kind: EventLost, Upstream: "b"}, {Kind: EventLost, Upstream: "c"}}, Query{}, set("a", "b", "c")},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := connected("a", "b", "c")
			for _, e := range c.events {
				p.Step(start(), e)
			}
			c.query.Candidates = []string{"a", "b", "c"}
			assertChoices(t, p, start(), c.query, c.want)
		})
	}
	t.Run("returns false without available candidates", func(t *testing.T) {
		_, ok := connected("a").Pick(start(), Query{Candidates: []string{"a"}, Exclude: []string{"a"}})
		is.New(t).True(!ok)
	})
}

// The cost must take account of changes since the last load report.
func TestExpectedFirstTokenPicksLowestCost(t *testing.T) {
	report := func(name string, active, waiting int) Event {
		return Event{Kind: EventLoad, Upstream: name, Load: scheduler.Load{Active: active, Waiting: waiting, Slots: 4}}
	}
	t.Run("the shorter queue is preferred", func(t *testing.T) {
		p := connected("a", "b")
		p.Step(start(), report("a", 4, 8))
		p.Step(start(), report("b", 2, 0))
		assertChoices(t, p, start(), Query{Candidates: []string{"a", "b"}}, set("b"))
	})
	t.Run("dispatches since the report count", func(t *testing.T) {
		p := connected("a", "b")
		p.Step(start(), report("a", 4, 2))
		p.Step(start(), report("b", 0, 0))
		for range 9 {
			p.Step(start(), Event{Kind: EventSent, Upstream: "b"})
		}
		assertChoices(t, p, start(), Query{Candidates: []string{"a", "b"}}, set("a"))
	})
	t.Run("reported requests of this entry are not counted twice", func(t *testing.T) {
		p := connected("a", "b")
		for range 3 {
			p.Step(start(), Event{Kind: EventSent, Upstream: "a"})
		}
		now := start().Add(time.Second)
		late := report("a", 3, 0)
		late.At = start()
		p.Step(now, late)
		is.New(t).Equal(p.upstreams["a"].OtherRuns, 0)
	})
	t.Run("the same zone is preferred unless its queue is longer", func(t *testing.T) {
		p := connected("a", "b")
		p.Step(start(), Event{Kind: EventConnected, Upstream: "b", AvailabilityZone: "stowe"})
		q := Query{Candidates: []string{"a", "b"}, AvailabilityZone: "stowe"}
		assertChoices(t, p, start(), q, set("b"))
		p.Step(start(), report("b", 4, 4))
		assertChoices(t, p, start(), q, set("a"))
	})
	t.Run("an upstream with the prefix cached is preferred until it evicts it", func(t *testing.T) {
		p := connected("a", "b")
		p.Step(start(), Event{Kind: EventSent, Upstream: "b", Prefix: 7})
		p.Step(start(), Event{Kind: EventEnded, Upstream: "b", Tokens: 10})
		q := Query{Candidates: []string{"a", "b"}, Prefix: 7, PrefixTokens: 1000, PromptTokens: 1100}
		assertChoices(t, p, start(), q, set("b"))
		p.Step(start(), Event{Kind: EventUncached, Upstream: "b", Prefix: 7, At: start().Add(-time.Second)})
		assertChoices(t, p, start(), q, set("b")) // delayed event from before the dispatch
		p.Step(start().Add(time.Second), Event{Kind: EventUncached, Upstream: "b", Prefix: 7})
		assertChoices(t, p, start().Add(time.Second), q, set("a", "b"))
	})
}

// Entries with the same load reports must not all choose the same upstream.
func TestPickSpreadsEntriesWithSameReports(t *testing.T) {
	names := make([]string, 16)
	for i := range names {
		names[i] = fmt.Sprintf("u%d", i)
	}
	chosen := map[string]int{}
	for seed := range uint64(400) {
		p := New[ExpectedFirstToken](seed)
		for i, name := range names {
			p.Step(start(), Event{Kind: EventConnected, Upstream: name})
			p.Step(start(), Event{Kind: EventLoad, Upstream: name, Load: scheduler.Load{Active: min(i, 1) * 15, Slots: 16}})
		}
		name, _ := p.Pick(start(), Query{Candidates: names})
		chosen[name]++
	}
	// With two of sixteen candidates sampled, one entry in eight samples the idle
	// one: 50 of 400.
	is.New(t).True(chosen["u0"] < 100)
	is.New(t).True(chosen["u0"] > 20)
}

// A slow upstream must stop receiving requests within seconds, before queues build
// up. Once it is fast again, its quota must grow step by step.
func TestPickLimitsSlowUpstream(t *testing.T) {
	is := is.New(t)
	p := connected("a", "b", "c")
	q := Query{Candidates: []string{"a", "b", "c"}, TokenGapTarget: 33 * ms}
	tokens := func(now time.Time, name string, gap time.Duration, n int) {
		for range n {
			p.Step(now, Event{Kind: EventTokens, Upstream: name, Elapsed: gap, Tokens: 1})
		}
	}
	now := start()
	for range 20 {
		for _, name := range q.Candidates {
			tokens(now, name, 20*ms, 10)
		}
	}
	tokens(now, "a", 100*ms, 40)
	assertChoices(t, p, now, q, set("b", "c"))
	is.Equal(p.upstreams["a"].Quota, 1)

	now = now.Add(probeIntervalTargeted)
	assertProbe(t, p, now, q, "a")
	p.Step(now, Event{Kind: EventSent, Upstream: "a"})
	assertChoices(t, p, now, q, set("b", "c"))
	tokens(now, "a", 20*ms, 200)
	var quotas []int
	for p.upstreams["a"].Quota > 0 {
		quotas = append(quotas, p.upstreams["a"].Quota)
		p.Step(now, Event{Kind: EventEnded, Upstream: "a", Tokens: 50})
	}
	is.Equal(quotas, []int{1, 2, 4, 8})
}

// An upstream without progress must be avoided although its last load report
// shows a free slot.
func TestPickAvoidsStalledUpstream(t *testing.T) {
	p := connected("a", "b")
	p.Step(start(), Event{Kind: EventSent, Upstream: "a"})
	now := start().Add(2 * time.Second)
	p.Step(now, Event{Kind: EventLoad, Upstream: "b", Load: scheduler.Load{Active: 3, Slots: 4}})
	assertChoices(t, p, now, Query{Candidates: []string{"a", "b"}}, set("b"))
}

// Two requests that were in flight in the same crash must not run on one upstream
// again, or the harmless one would be in flight in a second crash.
func TestPickSeparatesSuspects(t *testing.T) {
	p := connected("a", "b", "c")
	q := Query{Candidates: []string{"a", "b", "c"}, Suspect: true}
	chosen := map[string]bool{}
	for range q.Candidates {
		name, _ := p.Pick(start(), q)
		chosen[name] = true
		p.Step(start(), Event{Kind: EventSent, Upstream: name, Suspect: true})
	}
	is.New(t).Equal(chosen, set("a", "b", "c"))
	p.Step(start(), Event{Kind: EventEnded, Upstream: "b", Suspect: true})
	assertChoices(t, p, start(), q, set("b"))
}

// The prefix table must stay bounded and evict the oldest prefixes.
func TestPrefixTableEvictsOldest(t *testing.T) {
	is := is.New(t)
	var table prefixTable
	for i := range uint64(maxPrefixes + 10) {
		table.store(start(), i+1, "a", true)
	}
	is.Equal(len(table.holders), maxPrefixes)
	is.True(table.get(10) == nil)
	is.True(table.get(11) != nil)
}

// Pick must take at most 50 µs with 3,500 upstreams.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{35, 350, 3500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := New[ExpectedFirstToken](1)
			random := rand.New(rand.NewPCG(1, 1))
			q := Query{AvailabilityZone: "z1", PromptTokens: 500, Prefix: 3, PrefixTokens: 100}
			for i := range n {
				name := fmt.Sprintf("upstream-%d", i)
				q.Candidates = append(q.Candidates, name)
				p.Step(start(), Event{Kind: EventConnected, Upstream: name, AvailabilityZone: fmt.Sprintf("z%d", i%6)})
				p.Step(start(), Event{Kind: EventLoad, Upstream: name, Load: scheduler.Load{Active: random.IntN(16), Slots: 16}})
			}
			p.Step(start(), Event{Kind: EventSent, Upstream: q.Candidates[n/2], Prefix: 3})
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(start(), q)
			}
		})
	}
}

func connected(names ...string) *Picker[ExpectedFirstToken] {
	p := New[ExpectedFirstToken](1)
	for _, name := range names {
		p.Step(start(), Event{Kind: EventConnected, Upstream: name})
	}
	return p
}

func set(names ...string) map[string]bool {
	out := map[string]bool{}
	for _, name := range names {
		out[name] = true
	}
	return out
}

// assertChoices checks that 200 calls of Pick return exactly the wanted upstreams.
func assertChoices(t *testing.T, p *Picker[ExpectedFirstToken], now time.Time, q Query, want map[string]bool) {
	t.Helper()
	got := map[string]bool{}
	for range 200 {
		name, ok := p.Pick(now, q)
		is.New(t).True(ok)
		got[name] = true
	}
	is.New(t).Equal(got, want)
}

// assertProbe checks that one of 200 calls of Pick returns the given upstream.
func assertProbe(t *testing.T, p *Picker[ExpectedFirstToken], now time.Time, q Query, name string) {
	t.Helper()
	for range 200 {
		if got, _ := p.Pick(now, q); got == name {
			return
		}
	}
	t.Fatalf("upstream %s was not picked as a probe in 200 calls", name)
}

// A run of an urgent tier must be sent to an upstream where it delays no run of a
// lower tier, although it would start at once on any upstream.
func TestPickAvoidsDelayingLowerTiers(t *testing.T) {
	p := connected("a", "b")
	full := scheduler.Load{Active: 4, Slots: 4}
	p.Step(start(), Event{Kind: EventLoad, Upstream: "b", Load: full})
	full.ExpectedWait = [8]int{0, 400, 400, 900, 900, 5000, 5000, 5000}
	p.Step(start(), Event{Kind: EventLoad, Upstream: "a", Load: full})
	for tier, want := range map[int]map[string]bool{1: set("b"), 2: set("b"), 8: set("b")} {
		assertChoices(t, p, start(), Query{Candidates: []string{"a", "b"}, Tier: tier}, want)
	}
}

// A load report that is older than the last one must not count in the average of the
// fleet, which would count the newer report twice.
func TestStaleLoadReportDoesNotCount(t *testing.T) {
	p := New[ExpectedFirstToken](1)
	p.Step(start(), Event{Kind: EventLoad, Upstream: "a", At: start(), Load: scheduler.Load{Slots: 1, Active: 1}})
	before := p.fleet
	p.Step(start(), Event{Kind: EventLoad, Upstream: "a", At: start().Add(-time.Second), Load: scheduler.Load{Slots: 1, Active: 9}})
	is.New(t).Equal(p.fleet, before)
}

// An upstream that crashes and reconnects at once must stay in its backoff, which must
// grow with each crash. A disconnect used to reset it.
func TestReconnectKeepsBackoff(t *testing.T) {
	p := New[ExpectedFirstToken](1)
	backoff := func(now time.Time) time.Duration {
		for _, kind := range []EventKind{EventConnected, EventSent, EventLost, EventDisconnected, EventConnected} {
			p.Step(now, Event{Kind: kind, Upstream: "a"})
		}
		return p.Upstream("a").BackoffUntil.Sub(now)
	}
	is := is.New(t)
	is.Equal(backoff(start()), minBackoff)
	is.Equal(backoff(start().Add(time.Minute)), 2*minBackoff)
	is.Equal(p.Upstream("a").Outstanding, 0)
}
