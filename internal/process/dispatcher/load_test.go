package dispatcher

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// sharedLoad returns the load of the other entries on an upstream.
func sharedLoad(d *Dispatcher, upstream string) (runs, pending int) {
	u := d.services["desk"].picker.Upstream(upstream)
	return u.SharedRuns, u.SharedPendingTokens
}

func assertShared(t *testing.T, d *Dispatcher, upstream string, runs, pending int) {
	t.Helper()
	is := is.New(t)
	gotRuns, gotPending := sharedLoad(d, upstream)
	is.Equal(gotRuns, runs)
	is.Equal(gotPending, pending)
}

// The load of another entry must count once, and only until its report expires.
func TestLoadReportReplacesPreviousUntilExpiry(t *testing.T) {
	report := func(d *Dispatcher, at time.Time, entry string, loads ...Load) {
		d.Step(at, Event{Kind: EventLoadReceived, Entry: entry, Report: LoadReport{Loads: loads}})
	}
	t.Run("report replaces the previous one of the entry", func(t *testing.T) {
		d := newDispatcher()
		report(d, testTime(), "entry-2", Load{"desk-0", 3, 1000})
		report(d, testTime(), "entry-3", Load{"desk-0", 1, 0})
		report(d, testTime(), "entry-2", Load{"desk-0", 2, 500}, Load{"desk-1", 1, 0})
		assertShared(t, d, "desk-0", 3, 500)
		assertShared(t, d, "desk-1", 1, 0)
	})
	t.Run("report expires", func(t *testing.T) {
		d := newDispatcher()
		report(d, testTime(), "entry-2", Load{"desk-0", 3, 1000})
		d.Step(testTime().Add(loadReportExpiry), Event{Kind: EventTick})
		assertShared(t, d, "desk-0", 0, 0)
	})
	t.Run("load on an upstream that leaves and returns counts once", func(t *testing.T) {
		d := newDispatcher()
		// A request in flight keeps the state of the upstream.
		id := d.Step(testTime(), Event{Kind: EventArrived, Request: request("/brief/1")})[0].Upstream.InstanceID()
		report(d, testTime(), "entry-2", Load{id, 3, 1000})
		d.Step(testTime(), Event{Kind: EventUpstreams})
		report(d, testTime(), "entry-2")
		d.Step(testTime(), Event{Kind: EventUpstreams, Upstreams: upstreams()})
		assertShared(t, d, id, 0, 0)
		report(d, testTime(), "entry-2", Load{id, 2, 500})
		assertShared(t, d, id, 2, 500)
	})
	t.Run("load on an unknown upstream is not subtracted later", func(t *testing.T) {
		d := newDispatcher()
		report(d, testTime(), "entry-2", Load{"desk-9", 3, 1000})
		report(d, testTime(), "entry-3", Load{"desk-9", 1, 0})
		d.Step(testTime(), Event{Kind: EventUpstreams, Upstreams: []registrar.Upstream{{Name: "desk-9", Service: "desk"}}})
		report(d, testTime(), "entry-3", Load{"desk-9", 2, 0})
		report(d, testTime(), "entry-2")
		assertShared(t, d, "desk-9", 2, 0)
	})
}

// An entry must report its load, and once that it has no more load, and must not
// send reports while it is idle.
func TestTickReportsLoadUntilIdle(t *testing.T) {
	d := newDispatcher()
	tick := func() []Action { return d.Step(testTime(), Event{Kind: EventTick}) }
	is := is.New(t)
	is.Equal(len(tick()), 0)
	r := request("/brief/1")
	r.PromptTokens = 9000
	sent := d.Step(testTime(), Event{Kind: EventArrived, Request: r})
	is.Equal(tick()[0].Report.Loads, []Load{{sent[0].Upstream.InstanceID(), 1, 9000}})
	endAttempt(d, 1, Event{Outcome: OutcomeAnswered})
	last := tick()
	is.Equal(len(last), 1)
	is.Equal(len(last[0].Report.Loads), 0)
	is.Equal(len(tick()), 0)
}

// A deferrable request that cannot begin in time must not delay those that can: it must be
// run after all others, or be shed at once with the outcome not_run if its caller would
// leave before it begins. Other requests must still be served in their turn.
func TestOverloadDefersOrShedsDeferrableRequests(t *testing.T) {
	overloaded := func(tokens int) *Dispatcher {
		d := newDispatcher()
		// The prompt of a brief is long compared with the gap target of a chat.
		chat := request("/chat/1")
		chat.ID = "r0"
		d.Step(testTime(), Event{Kind: EventArrived, Request: chat})
		d.Step(testTime(), Event{Kind: EventEnded, ID: "r0", Attempt: 1, Outcome: OutcomeCancelled})
		var loads []Load
		for i := range 3 {
			loads = append(loads, Load{fmt.Sprint("desk-", i), 1, tokens})
		}
		d.Step(testTime(), Event{Kind: EventLoadReceived, Entry: "entry-2", Report: LoadReport{Loads: loads}})
		return d
	}
	// manyTokens take 3.5 s to prefill. The latency target of a brief is 1 s, and its
	// callers wait for 6.4 s.
	const manyTokens = 500_000
	brief := func() Request {
		r := request("/brief/1")
		r.PromptTokens = 12_000
		return r
	}
	t.Run("brief that would be late is deferred", func(t *testing.T) {
		d := overloaded(manyTokens)
		sent := d.Step(testTime(), Event{Kind: EventArrived, Request: brief()})
		assertSent(t, sent, 1)
		is := is.New(t)
		is.Equal(sent[0].Priority, matcher.PriorityLevels-1)
		// It waits behind all others, so it counts in no wait.
		report := d.Step(testTime(), Event{Kind: EventTick})[0].Report
		is.Equal(report.Loads, []Load{{sent[0].Upstream.InstanceID(), 0, 0}})
		d.Step(testTime(), Event{Kind: EventProgress, ID: "r1", Attempt: 1, First: true, Events: 1, Begun: true})
		report = d.Step(testTime(), Event{Kind: EventTick})[0].Report
		is.Equal(report.Loads, []Load{{sent[0].Upstream.InstanceID(), 1, 0}})
		is.Equal(d.services["desk"].deferredTokens, 0)
	})
	t.Run("brief for which its caller would not wait is shed", func(t *testing.T) {
		all := overloaded(2*manyTokens).Step(testTime(), Event{Kind: EventArrived, Request: brief()})
		assertFailed(t, all, http.StatusServiceUnavailable, false)
		// Callers wait for at most a third of their deadline of 5 s, and bursts last
		// for longer than 1 s.
		after := all[0].Failure.RetryAfter
		is.New(t).True(after > time.Second && after < 5*time.Second/3)
	})
	t.Run("chat is served in its turn", func(t *testing.T) {
		sent := overloaded(2*manyTokens).Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")})
		assertSent(t, sent, 1)
		is.New(t).Equal(sent[0].Priority, 0)
	})
	t.Run("brief that can begin in time is served in its turn", func(t *testing.T) {
		sent := overloaded(manyTokens/20).Step(testTime(), Event{Kind: EventArrived, Request: brief()})
		assertSent(t, sent, 1)
		is.New(t).True(sent[0].Priority < matcher.PriorityLevels-1)
	})
	t.Run("brief of the most urgent priority or without target is served", func(t *testing.T) {
		for _, change := range []func(*matcher.Route){
			func(r *matcher.Route) { r.Priority = 0 },
			func(r *matcher.Route) { r.LatencyTarget = 0 },
		} {
			d := overloaded(manyTokens)
			all := routes()
			change(&all[1])
			d.Step(testTime(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{
				Version: 2, Routes: all, Organisations: []matcher.Organisation{{Name: "guides", Keys: []string{"key"}}},
			})})
			assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: brief()}), 1)
		}
	})
	t.Run("brief that takes long to prefill is not shed while nobody waits", func(t *testing.T) {
		d := overloaded(0)
		long := brief()
		long.PromptTokens = 2 * manyTokens
		assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: long}), 1)
		next := long
		next.ID, next.Query.RequestID = "r2", "r2"
		assertFailed(t, d.Step(testTime(), Event{Kind: EventArrived, Request: next}), http.StatusServiceUnavailable, false)
	})
	t.Run("retry of a brief that would be shed is deferred", func(t *testing.T) {
		d := overloaded(0)
		assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: brief()}), 1)
		var loads []Load
		for i := range 3 {
			loads = append(loads, Load{fmt.Sprint("desk-", i), 1, 2 * manyTokens})
		}
		d.Step(testTime(), Event{Kind: EventLoadReceived, Entry: "entry-2", Report: LoadReport{Loads: loads}})
		sent := endAttempt(d, 1, Event{Outcome: OutcomeNotSent})
		assertSent(t, sent, 2)
		is := is.New(t)
		is.Equal(sent[0].Priority, matcher.PriorityLevels-1)
		is.True(sent[0].Summary.Deferred)
	})
	t.Run("brief is served after the load reports expire", func(t *testing.T) {
		d := overloaded(manyTokens)
		d.Step(testTime().Add(loadReportExpiry), Event{Kind: EventTick})
		assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: brief()}), 1)
	})
}

// An entry must report each placement of a long prefix once, and a receiving entry
// must use it as a cache source.
func TestPlacementIsReportedOnceAndUsedAsCacheSource(t *testing.T) {
	long := func(id string) Request {
		r := request("/brief/1")
		r.ID, r.Prefix, r.PrefixTokens, r.PromptTokens = id, 77, 5000, 9000
		return r
	}
	d := newDispatcher()
	sent := d.Step(testTime(), Event{Kind: EventArrived, Request: long("r1")})
	report := d.Step(testTime(), Event{Kind: EventTick})
	is := is.New(t)
	// The prefix can be copied once the upstream has begun to answer.
	is.Equal(len(report[0].Report.Placements), 0)
	d.Step(testTime(), Event{Kind: EventProgress, ID: "r1", Attempt: 1, First: true, Events: 1, Begun: true})
	report = d.Step(testTime(), Event{Kind: EventTick})
	is.Equal(report[0].Report.Placements, []Placement{{sent[0].Upstream.InstanceID(), 77}})
	is.Equal(len(d.Step(testTime(), Event{Kind: EventTick})[0].Report.Placements), 0)
	// The load makes the upstream that caches the prefix too busy to be selected.
	// Placements of another prefix must not change the cache source.
	other := newDispatcher()
	other.Step(testTime(), Event{Kind: EventLoadReceived, Entry: "entry-1", Report: LoadReport{
		Loads: []Load{{sent[0].Upstream.InstanceID(), 100, 70_000}}, Placements: report[0].Report.Placements,
	}})
	for i, u := range []string{"desk-0", "desk-1", "desk-2"} {
		other.Step(testTime(), Event{Kind: EventLoadReceived, Entry: fmt.Sprint("entry-", 2+i), Report: LoadReport{Placements: []Placement{{u, 78}}}})
	}
	next := other.Step(testTime(), Event{Kind: EventArrived, Request: long("r2")})
	is.True(next[0].Upstream.Name != sent[0].Upstream.Name)
	is.Equal(next[0].Summary.CacheSource, sent[0].Upstream.InstanceID())
}

// An entry of an older version that reports loads without kinds must count as one that
// does not report, for the services that it sends requests to, until its report expires.
func TestEntriesWithoutKindsAreCounted(t *testing.T) {
	d := newDispatcher()
	d.Step(testTime(), Event{Kind: EventLoadReceived, Entry: "entry-2", Report: LoadReport{Loads: []Load{{"desk-0", 1, 0}, {"desk-1", 1, 0}}}})
	d.Step(testTime(), Event{Kind: EventLoadReceived, Entry: "entry-3", Report: LoadReport{Loads: []Load{{"desk-9", 1, 0}}}})
	d.Step(testTime(), Event{Kind: EventLoadReceived, Entry: "entry-4", Report: LoadReport{
		Loads: []Load{{"desk-0", 1, 0}}, Kinds: []ServiceKinds{{Service: "desk"}},
	}})
	d.Step(testTime(), Event{Kind: EventTick})
	is := is.New(t)
	is.Equal(d.services["desk"].fleet(4, 0).NotReporting, 1)
	d.Step(testTime().Add(loadReportExpiry), Event{Kind: EventTick})
	is.Equal(d.services["desk"].fleet(4, 0).NotReporting, 0)
}

// Entries that see different parts of the traffic must agree on the upstreams for long
// prompts. Where they disagree, the streams of one wait for the prompts of the other.
func TestEntriesAgreeOnShareOfLongPrompts(t *testing.T) {
	// dispatcherAfter returns a dispatcher that has got the given numbers of chats and
	// of briefs.
	dispatcherAfter := func(chats, briefs int) *Dispatcher {
		d := newDispatcher()
		for i := range chats + briefs {
			r := request("/chat/1")
			r.PromptTokens = 800
			if i >= chats {
				r = request("/brief/1")
				r.PromptTokens = 12_000
			}
			r.ID = fmt.Sprint("r", i)
			d.Step(testTime(), Event{Kind: EventArrived, Request: r})
		}
		return d
	}
	exchange := func(to, from *Dispatcher, entry string) {
		report := from.Step(testTime(), Event{Kind: EventTick})[0].Report
		to.Step(testTime(), Event{Kind: EventLoadReceived, Entry: entry, Report: report})
	}
	share := func(d *Dispatcher) float64 { return d.services["desk"].longPromptShare() }
	t.Run("after the exchange the shares are equal", func(t *testing.T) {
		a, b := dispatcherAfter(30, 2), dispatcherAfter(2, 8)
		is := is.New(t)
		is.True(share(b)-share(a) > 0.1)
		before := (share(a) + share(b)) / 2
		exchange(a, b, "entry-2")
		exchange(b, a, "entry-1")
		a.Step(testTime(), Event{Kind: EventTick})
		b.Step(testTime(), Event{Kind: EventTick})
		is.True(math.Abs(share(a)-share(b)) < 0.001)
		is.True(math.Abs(share(a)-before) < 0.001)
	})
	t.Run("the share of a silent entry expires", func(t *testing.T) {
		a := dispatcherAfter(8, 2)
		own := share(a)
		exchange(a, dispatcherAfter(2, 8), "entry-2")
		a.Step(testTime().Add(loadReportExpiry), Event{Kind: EventTick})
		is.New(t).Equal(share(a), own)
	})
	t.Run("an entry without long prompts keeps all upstreams", func(t *testing.T) {
		a := dispatcherAfter(8, 0)
		exchange(a, dispatcherAfter(2, 8), "entry-2")
		a.Step(testTime(), Event{Kind: EventTick})
		is.New(t).Equal(share(a), 0.0)
	})
}
