package dispatcher

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

const ms = time.Millisecond

func start() time.Time { return time.Unix(1000, 0) }

// routes are one of each kind, all of them of one service.
func routes() []matcher.Route {
	shares := []matcher.WeightedService{{Service: "desk", Weight: 1}}
	return []matcher.Route{
		{Name: "chat", Host: "h", PathPrefix: "/chat/", Kind: matcher.Streaming, Resumable: true, MaxAttempts: 2, WeightedServices: shares, Timeout: 10 * time.Second, LatencyTarget: 250 * ms, GapTarget: 200 * ms},
		{Name: "brief", Host: "h", PathPrefix: "/brief/", Kind: matcher.Streaming, MaxAttempts: 1, WeightedServices: shares, Timeout: 10 * time.Second, LatencyTarget: time.Second, GapTarget: 800 * ms, Priority: 2},
		{Name: "hold", Host: "h", PathPrefix: "/hold/", Kind: matcher.NonIdempotent, MaxAttempts: 1, WeightedServices: shares, Timeout: time.Second, LatencyTarget: 100 * ms},
		{Name: "check", Host: "h", PathPrefix: "/check/", Kind: matcher.Idempotent, MaxAttempts: 2, WeightedServices: shares, Timeout: time.Second, LatencyTarget: 100 * ms},
	}
}

// newDispatcher returns a dispatcher with three upstreams of one service.
func newDispatcher() *Dispatcher {
	d := New(Settings{Seed: 1, RetryShare: 0.2, RetrySlack: 50})
	d.Step(start(), Event{Kind: EventSynced, Synced: true})
	d.Step(start(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{
		Version: 1, Routes: routes(), Services: []matcher.Service{{Name: "desk"}},
		Organisations: []matcher.Organisation{{Name: "guides", Keys: []string{"key"}}},
	})})
	var all []registrar.Upstream
	for i := range 3 {
		all = append(all, registrar.Upstream{Name: fmt.Sprint("desk-", i), Service: "desk", Address: "10.0.0.1:80"})
	}
	d.Step(start(), Event{Kind: EventUpstreams, Upstreams: all})
	return d
}

func request(path string) Request {
	return Request{
		ID: "r1", Received: start(), Deadline: start().Add(5 * time.Second), Digest: path,
		Query: matcher.Query{Host: "h", Path: path, APIKey: "key", RequestID: "r1"},
	}
}

// ended is the end of the present attempt at r1, 10 ms after its start.
func ended(d *Dispatcher, attempt int, e Event) []Action {
	e.Kind, e.ID, e.Attempt = EventEnded, "r1", attempt
	return d.Step(start().Add(time.Duration(attempt)*10*ms), e)
}

// What follows an attempt must not run a request twice that runs once at most,
// and must not call a request not run that may have been.
func TestNextAttempt(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		event  Event
		again  bool
		status int
	}{
		{"hold lost", "/hold/1", Event{Ending: EndingLost}, false, http.StatusBadGateway},
		{"hold crashed its upstream", "/hold/1", Event{Ending: EndingCrashed}, false, http.StatusBadGateway},
		{"hold expired", "/hold/1", Event{Ending: EndingExpired}, false, http.StatusGatewayTimeout},
		{"hold refused", "/hold/1", Event{Ending: EndingRefused}, true, 0},
		{"hold not sent", "/hold/1", Event{Ending: EndingUnreached}, true, 0},
		{"check lost", "/check/1", Event{Ending: EndingLost}, true, 0},
		{"check failed", "/check/1", Event{Ending: EndingFailed}, true, 0},
		{"chat lost before its first event", "/chat/1", Event{Ending: EndingLost}, true, 0},
		{"chat lost in its midst", "/chat/1", Event{Ending: EndingLost, Begun: true, LastEvent: "7"}, true, 0},
		{"brief lost before its first event", "/brief/1", Event{Ending: EndingLost}, false, http.StatusBadGateway},
		{"brief lost in its midst", "/brief/1", Event{Ending: EndingLost, Begun: true, LastEvent: "7"}, false, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher()
			first := d.Step(start(), Event{Kind: EventArrived, Request: request(c.path)})
			assertSent(t, first, 1)
			next := ended(d, 1, c.event)
			if !c.again {
				assertFailed(t, next, c.status, c.event.Begun)
				return
			}
			a := assertSent(t, next, 2)
			is := is.New(t)
			is.True(a.Upstream.Name != first[0].Upstream.Name)
			is.Equal(a.Begun, c.event.Begun)
			is.Equal(a.LastEvent, c.event.LastEvent)
			is.Equal(a.Until, first[0].Until)
		})
	}
}

// The number of upstreams that run a request must not exceed that of its route.
func TestMaxAttempts(t *testing.T) {
	t.Run("lookup fails twice", func(t *testing.T) {
		d := newDispatcher()
		d.Step(start(), Event{Kind: EventArrived, Request: request("/check/1")})
		assertSent(t, ended(d, 1, Event{Ending: EndingFailed}), 2)
		assertKind(t, ended(d, 2, Event{Ending: EndingFailed}), ActionDeliver)
	})
	t.Run("chat lost twice", func(t *testing.T) {
		d := newDispatcher()
		d.Step(start(), Event{Kind: EventArrived, Request: request("/chat/1")})
		assertSent(t, ended(d, 1, Event{Ending: EndingLost}), 2)
		assertFailed(t, ended(d, 2, Event{Ending: EndingLost}), http.StatusBadGateway, false)
	})
}

// A stream whose beginning the caller has must be cut off when the upstream that
// was to go on with it answers with an error. The error used to be passed on as
// the end of the stream, which then looked complete (ORDER, hunt-1ab0-27).
func TestFailureAfterBeginning(t *testing.T) {
	d := newDispatcher()
	d.Step(start(), Event{Kind: EventArrived, Request: request("/chat/1")})
	assertSent(t, ended(d, 1, Event{Ending: EndingCrashed, Begun: true, LastEvent: "7"}), 2)
	assertFailed(t, ended(d, 2, Event{Ending: EndingFailed, Begun: true, LastEvent: "7"}), http.StatusBadGateway, true)
}

// Further attempts must stay within the budget of all entries.
func TestBudget(t *testing.T) {
	d := newDispatcher()
	d.Step(start(), Event{Kind: EventEntries, Entries: 5})
	again := 0
	const requests = 200
	for i := range requests {
		r := request("/check/1")
		r.ID = fmt.Sprint("r", i)
		d.Step(start(), Event{Kind: EventArrived, Request: r})
		for _, a := range d.Step(start(), Event{Kind: EventEnded, ID: r.ID, Attempt: 1, Ending: EndingFailed}) {
			if a.Kind == ActionSend {
				again++
				d.Step(start(), Event{Kind: EventEnded, ID: r.ID, Attempt: 2, Ending: EndingAnswered})
			}
		}
	}
	is.New(t).True(again <= requests*20/100+50/5)
	is.New(t).True(again >= 10)
}

// An entry that may be behind must not call a request wrong.
func TestOutOfStep(t *testing.T) {
	unknown := func() Request {
		r := request("/chat/1")
		r.Query.APIKey = "new key"
		return r
	}
	t.Run("in step", func(t *testing.T) {
		assertFailed(t, newDispatcher().Step(start(), Event{Kind: EventArrived, Request: unknown()}), http.StatusUnauthorized, false)
	})
	t.Run("out of step", func(t *testing.T) {
		d := newDispatcher()
		d.Step(start(), Event{Kind: EventSynced})
		assertFailed(t, d.Step(start(), Event{Kind: EventArrived, Request: unknown()}), http.StatusServiceUnavailable, false)
	})
	t.Run("no configuration", func(t *testing.T) {
		assertFailed(t, New(Settings{}).Step(start(), Event{Kind: EventArrived, Request: request("/chat/1")}), http.StatusServiceUnavailable, false)
	})
}

// A configuration must never go back to an older one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	d := newDispatcher()
	d.Step(start(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{Version: 5})})
	d.Step(start(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{Version: 4, Routes: routes()})})
	assertFailed(t, d.Step(start(), Event{Kind: EventArrived, Request: request("/chat/1")}), http.StatusNotFound, false)
}

// Content that crashes upstreams must be refused, whoever saw the crashes.
func TestCrashingContent(t *testing.T) {
	d := newDispatcher()
	d.Step(start(), Event{Kind: EventArrived, Request: request("/chat/1")})
	assertSent(t, ended(d, 1, Event{Ending: EndingCrashed})[1:], 2)
	ended(d, 2, Event{Ending: EndingCrashed})
	assertFailed(t, d.Step(start(), Event{Kind: EventArrived, Request: request("/chat/1")}), http.StatusServiceUnavailable, false)
}

func assertKind(t *testing.T, all []Action, want ActionKind) Action {
	t.Helper()
	var last Action
	for _, a := range all {
		if a.Kind != ActionSpread {
			last = a
		}
	}
	is := is.New(t)
	is.True(len(all) > 0)
	is.Equal(last.Kind, want)
	return last
}

func assertSent(t *testing.T, all []Action, attempt int) Action {
	t.Helper()
	a := assertKind(t, all, ActionSend)
	is.New(t).Equal(a.Attempt, attempt)
	return a
}

func assertFailed(t *testing.T, all []Action, status int, begun bool) {
	t.Helper()
	a := assertKind(t, all, ActionFail)
	is := is.New(t)
	is.Equal(a.Failure.Status, status)
	is.Equal(a.Begun, begun)
	if status == http.StatusServiceUnavailable {
		is.Equal(a.Failure.Outcome, admitter.OutcomeNotRun)
		is.True(a.Failure.RetryAfter > 0)
	}
}
