package separator

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// playFleet sends each request of the traffic to one of the separators in turn, with the
// exchange of their reports each second if they exchange any.
func playFleet(all []*Separator, seconds int, e engine, f Fleet, exchange bool, traffic ...traffic) {
	now, n := start(), 0
	for i := range seconds * 100 {
		now = start().Add(time.Duration(i+1) * 10 * ms)
		for _, t := range traffic {
			if i*t.perSecond/100 == (i+1)*t.perSecond/100 {
				continue
			}
			tokens := t.promptTokens * (3 + n%2*2) / 4
			s := all[n%len(all)]
			n++
			s.Step(now, Event{Kind: EventArrived, Request: t.name, PromptTokens: tokens, GapTarget: t.gapTarget, LatencyTarget: t.latencyTarget, Priority: t.priority})
			s.Step(now, Event{Kind: EventPrefilled, Request: t.name, PromptTokens: tokens, Elapsed: e.overhead + time.Duration(float64(tokens)/e.tokensPerMs*float64(ms))})
			s.Step(now, Event{Kind: EventProgress, Request: t.name, Events: 10, Elapsed: 250 * ms})
			s.Step(now, Event{Kind: EventEnded, Request: t.name, Elapsed: t.run})
		}
		if exchange && i%100 == 99 {
			exchangeReports(now, all, traffic)
		}
	}
	for _, s := range all {
		s.Decide(now, f)
	}
}

func exchangeReports(now time.Time, all []*Separator, traffic []traffic) {
	for i, s := range all {
		var others []Report
		for j, o := range all {
			if i != j {
				others = append(others, o.Report(now))
			}
		}
		for _, t := range traffic {
			s.Step(now, Event{Kind: EventKnown, Request: t.name, GapTarget: t.gapTarget, LatencyTarget: t.latencyTarget, Priority: t.priority})
		}
		s.SetOthers(Sum(others))
	}
}

// In a fleet of 46 entries, each entry saw a few requests a second: most assumed the
// default prefill time, and they separated different kinds of request.
func TestEntriesOfLargeFleetAgree(t *testing.T) {
	fleet := Fleet{Engines: 53, Slots: 32, Entries: 46}
	slow := engine{57, 20 * ms}
	note := traffic{name: "note", perSecond: 100, promptTokens: 2400, gapTarget: 400 * ms, latencyTarget: 400 * ms, run: 300 * ms, priority: 1}
	long := traffic{name: "report", perSecond: 90, promptTokens: 12_000, gapTarget: time.Second, latencyTarget: 2 * time.Second, run: 5 * time.Second, priority: 2}
	short := change(chat(), func(k *traffic) { k.perSecond = 80 })
	all := make([]*Separator, fleet.Entries)
	for i := range all {
		all[i] = &Separator{}
	}
	playFleet(all, 3, slow, fleet, true, short, note, long)
	is := is.New(t)
	for _, s := range all {
		is.True(slices.Equal(s.Separated(), all[0].Separated()))
		is.True(s.IsSeparated("report"))
		is.True(!s.IsSeparated("chat"))
		assertClose(t, s.Share(), all[0].Share(), 0.05)
		assertClose(t, s.PrefillPerToken().Seconds()*1e6, 1000./57, 2)
	}
}

func assertClose(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	is := is.New(t)
	is.True(got >= want-tolerance)
	is.True(got <= want+tolerance)
}

// The mean of a kind of request must not change because an entry that has no answer yet
// reports it.
func TestSumWeightsMeansByRate(t *testing.T) {
	sum := Sum([]Report{
		{Prefill: Prefill{N: 1, X: 2}, Kinds: []KindReport{{Request: "chat", Rate: 3, PromptTokens: 800, Run: time.Second, Gap: 20 * ms}}},
		{Prefill: Prefill{N: 2, X: 5}, Kinds: []KindReport{{Request: "chat", Rate: 1, PromptTokens: 400}, {Request: "note", Rate: 2, PromptTokens: 100}}},
	})
	is := is.New(t)
	is.Equal(sum.Prefill, Prefill{N: 3, X: 7})
	is.Equal(sum.Kinds, []KindReport{
		{Request: "chat", Rate: 4, PromptTokens: 700, Run: time.Second, Gap: 20 * ms},
		{Request: "note", Rate: 2, PromptTokens: 100},
	})
}

// While a fleet was updated, the requests at the entries of the older version did not
// count once one entry of the newer version had reported.
func TestEntriesThatDoNotReportCount(t *testing.T) {
	reported := Report{Kinds: []KindReport{{Request: "chat", Rate: 3, PromptTokens: 800}}}
	for _, c := range []struct {
		name   string
		others Report
		fleet  Fleet
		want   float64
	}{
		{"no entry reports", Report{}, Fleet{Entries: 10, NotReporting: 9}, 10},
		{"all entries report", reported, Fleet{Entries: 2}, 4},
		{"an idle entry", reported, Fleet{Entries: 3}, 4},
		{"entries of an older version", reported, Fleet{Entries: 10, NotReporting: 8}, 20},
		{"more reports than known entries", reported, Fleet{Entries: 1, NotReporting: 1}, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Separator
			s.SetOthers(c.others)
			k := &kind{arrivals: 0.5, first: start(), updated: start(), promptTokens: 800}
			assertClose(t, s.fleetWide(start(), "chat", k, c.fleet).Rate, c.want, 0.001)
		})
	}
}

// The sums of a faulty entry outweighed those of all others, or gave a prefill time that
// overflowed a duration.
func TestSumsOfFaultyEntryAreBounded(t *testing.T) {
	var own Prefill
	for range 1000 {
		own.observe(1e6, 1)
	}
	for _, c := range []struct {
		name string
		sums Prefill
		want bool
	}{
		{"no observation", Prefill{}, true},
		{"many observations", own, true},
		{"more observations than one entry keeps", Prefill{N: 1e6}, false},
		{"negative sum", Prefill{N: 10, Y: -1}, false},
		{"not a number", Prefill{N: math.NaN()}, false},
		{"infinity", Prefill{XY: math.Inf(1)}, false},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(c.sums.IsValid(), c.want) })
	}
	t.Run("implausible time per token", func(t *testing.T) {
		var s Separator
		s.SetOthers(Report{Prefill: Prefill{N: 10, XY: maxPrefillSum}})
		is.New(t).Equal(s.PrefillPerToken(), 7*time.Microsecond)
	})
}

// A prefix was expected to be cached for a minute although the running requests left room
// for a few seconds of new prompts.
func TestCacheResidenceFollowsFreeMemory(t *testing.T) {
	profile := []Profile{{Rate: 10, PromptTokens: 10_000, Run: 5 * time.Second}}
	for _, c := range []struct {
		name  string
		fleet Fleet
		want  time.Duration
	}{
		{"capacity unknown", Fleet{Engines: 2, MissShare: 1}, maxResidence},
		// Each engine holds 250,000 tokens of running requests and gets 25,000 a second.
		{"half of the prompts cached", Fleet{Engines: 2, KVCapacity: 500_000, MissShare: 0.5}, 10 * time.Second},
		{"all prompts cached", Fleet{Engines: 2, KVCapacity: 500_000}, maxResidence},
		{"running requests fill the memory", Fleet{Engines: 2, KVCapacity: 200_000, MissShare: 0.5}, minResidence},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(residence(profile, c.fleet), c.want) })
	}
}
