package dispatcher

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// runsAt returns what the dispatcher knows of the requests of other entries.
func runsAt(d *Dispatcher, upstream string) (runs, pending int) {
	u := d.services["desk"].picker.Upstream(upstream)
	return u.SharedRuns, u.SharedPendingTokens
}

func assertShared(t *testing.T, d *Dispatcher, upstream string, runs, pending int) {
	t.Helper()
	is := is.New(t)
	r, p := runsAt(d, upstream)
	is.Equal(r, runs)
	is.Equal(p, pending)
}

// What other entries have in flight must count once and only while it is fresh.
func TestShare(t *testing.T) {
	report := func(d *Dispatcher, at time.Time, entry string, loads ...Load) {
		d.Step(at, Event{Kind: EventShared, Entry: entry, Loads: loads})
	}
	t.Run("a report replaces the one before", func(t *testing.T) {
		d := newDispatcher()
		report(d, start(), "entry-2", Load{"desk-0", 3, 1000})
		report(d, start(), "entry-3", Load{"desk-0", 1, 0})
		report(d, start(), "entry-2", Load{"desk-0", 2, 500}, Load{"desk-1", 1, 0})
		assertShared(t, d, "desk-0", 3, 500)
		assertShared(t, d, "desk-1", 1, 0)
	})
	t.Run("an entry goes silent", func(t *testing.T) {
		d := newDispatcher()
		report(d, start(), "entry-2", Load{"desk-0", 3, 1000})
		d.Step(start().Add(shareExpiry), Event{Kind: EventTick})
		assertShared(t, d, "desk-0", 0, 0)
	})
	t.Run("an upstream that becomes known later", func(t *testing.T) {
		d := newDispatcher()
		report(d, start(), "entry-2", Load{"desk-9", 3, 1000})
		report(d, start(), "entry-3", Load{"desk-9", 1, 0})
		d.Step(start(), Event{Kind: EventUpstreams, Upstreams: []registrar.Upstream{{Name: "desk-9", Service: "desk"}}})
		report(d, start(), "entry-3", Load{"desk-9", 2, 0})
		report(d, start(), "entry-2")
		assertShared(t, d, "desk-9", 2, 0)
	})
}

// An entry must tell the others what it has in flight, and that it has nothing
// any more, and be silent while it is idle.
func TestTick(t *testing.T) {
	d := newDispatcher()
	tick := func() []Action { return d.Step(start(), Event{Kind: EventTick}) }
	is := is.New(t)
	is.Equal(len(tick()), 0)
	r := request("/brief/1")
	r.PromptTokens = 9000
	sent := d.Step(start(), Event{Kind: EventArrived, Request: r})
	is.Equal(tick()[0].Loads, []Load{{sent[0].Upstream.InstanceID(), 1, 9000}})
	ended(d, 1, Event{Ending: EndingAnswered})
	told := tick()
	is.Equal(len(told), 1)
	is.Equal(len(told[0].Loads), 0)
	is.Equal(len(tick()), 0)
}

// A patient request that cannot begin in time must be refused at once and
// truthfully; it must not keep the others from being served.
func TestOverload(t *testing.T) {
	overloaded := func(tokens int) *Dispatcher {
		d := newDispatcher()
		var loads []Load
		for i := range 3 {
			loads = append(loads, Load{fmt.Sprint("desk-", i), 1, tokens})
		}
		d.Step(start(), Event{Kind: EventShared, Entry: "entry-2", Loads: loads})
		return d
	}
	const manyTokens = 500_000
	t.Run("brief refused", func(t *testing.T) {
		all := overloaded(manyTokens).Step(start(), Event{Kind: EventArrived, Request: request("/brief/1")})
		assertFailed(t, all, http.StatusServiceUnavailable, false)
		// Callers wait for a third of their 5 s at most, and bursts last for longer
		// than a second.
		after := all[0].Failure.RetryAfter
		is.New(t).True(after > time.Second && after < 5*time.Second/3)
	})
	t.Run("chat served", func(t *testing.T) {
		assertSent(t, overloaded(manyTokens).Step(start(), Event{Kind: EventArrived, Request: request("/chat/1")}), 1)
	})
	t.Run("brief served while it can be in time", func(t *testing.T) {
		assertSent(t, overloaded(manyTokens/20).Step(start(), Event{Kind: EventArrived, Request: request("/brief/1")}), 1)
	})
	t.Run("brief served that is the most urgent or has no target", func(t *testing.T) {
		for _, change := range []func(*matcher.Route){
			func(r *matcher.Route) { r.Priority = 0 },
			func(r *matcher.Route) { r.LatencyTarget = 0 },
		} {
			d := overloaded(manyTokens)
			all := routes()
			change(&all[1])
			d.Step(start(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{
				Version: 2, Routes: all, Organisations: []matcher.Organisation{{Name: "guides", Keys: []string{"key"}}},
			})})
			assertSent(t, d.Step(start(), Event{Kind: EventArrived, Request: request("/brief/1")}), 1)
		}
	})
	t.Run("brief served after the load is gone", func(t *testing.T) {
		d := overloaded(manyTokens)
		d.Step(start().Add(shareExpiry), Event{Kind: EventTick})
		assertSent(t, d.Step(start(), Event{Kind: EventArrived, Request: request("/brief/1")}), 1)
	})
}

// Entries must know where the others have sent a long prefix, each time once.
func TestPlacements(t *testing.T) {
	long := func(id string) Request {
		r := request("/brief/1")
		r.ID, r.Prefix, r.PrefixTokens, r.PromptTokens = id, 77, 5000, 9000
		return r
	}
	d := newDispatcher()
	sent := d.Step(start(), Event{Kind: EventArrived, Request: long("r1")})
	told := d.Step(start(), Event{Kind: EventTick})
	is := is.New(t)
	is.Equal(told[0].Placed, []Placement{{sent[0].Upstream.InstanceID(), 77}})
	is.Equal(len(d.Step(start(), Event{Kind: EventTick})[0].Placed), 0)
	other := newDispatcher()
	other.Step(start(), Event{Kind: EventShared, Entry: "entry-1", Loads: []Load{{sent[0].Upstream.InstanceID(), 100, 70_000}}, Placed: told[0].Placed})
	for i, u := range []string{"desk-0", "desk-1", "desk-2"} {
		other.Step(start(), Event{Kind: EventShared, Entry: fmt.Sprint("entry-", 2+i), Placed: []Placement{{u, 78}}})
	}
	next := other.Step(start(), Event{Kind: EventArrived, Request: long("r2")})
	is.True(next[0].Upstream.Name != sent[0].Upstream.Name)
	is.Equal(next[0].Summary.CacheSource, sent[0].Upstream.InstanceID())
}
