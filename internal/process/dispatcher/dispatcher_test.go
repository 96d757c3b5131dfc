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

func testTime() time.Time { return time.Unix(1000, 0) }

// routes returns a route of each kind, all to the same service.
func routes() []matcher.Route {
	services := []matcher.WeightedService{{Service: "desk", Weight: 1}}
	return []matcher.Route{
		{Name: "chat", Host: "h", PathPrefix: "/chat/", Kind: matcher.Streaming, Resumable: true, MaxAttempts: 2, WeightedServices: services, Timeout: 10 * time.Second, LatencyTarget: 250 * ms, GapTarget: 200 * ms},
		{Name: "brief", Host: "h", PathPrefix: "/brief/", Kind: matcher.Streaming, MaxAttempts: 1, WeightedServices: services, Timeout: 10 * time.Second, LatencyTarget: time.Second, GapTarget: 800 * ms, Priority: 2},
		{Name: "hold", Host: "h", PathPrefix: "/hold/", Kind: matcher.NonIdempotent, MaxAttempts: 1, WeightedServices: services, Timeout: time.Second, LatencyTarget: 100 * ms},
		{Name: "popular", Host: "h", PathPrefix: "/popular/", Kind: matcher.Streaming, Resumable: true, MaxAttempts: 3, WeightedServices: services, Timeout: 10 * time.Second, LatencyTarget: 250 * ms, GapTarget: 200 * ms},
		{Name: "check", Host: "h", PathPrefix: "/check/", Kind: matcher.Idempotent, MaxAttempts: 2, WeightedServices: services, Timeout: time.Second, LatencyTarget: 100 * ms},
	}
}

// newDispatcher returns a dispatcher with three upstreams of one service.
func newDispatcher() *Dispatcher {
	d := New(Settings{Seed: 1, RetryRatio: 0.2, RetryCapacity: 50})
	d.Step(testTime(), Event{Kind: EventSynced, Synced: true})
	d.Step(testTime(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{
		Version: 1, Routes: routes(), Services: []matcher.Service{{Name: "desk"}},
		Organisations: []matcher.Organisation{{Name: "guides", Keys: []string{"key"}}},
	})})
	d.Step(testTime(), Event{Kind: EventUpstreams, Upstreams: upstreams()})
	return d
}

// upstreams returns the upstreams of the service.
func upstreams() (out []registrar.Upstream) {
	for i := range 3 {
		out = append(out, registrar.Upstream{Name: fmt.Sprint("desk-", i), Service: "desk", Address: "10.0.0.1:80"})
	}
	return out
}

func request(path string) Request {
	return Request{
		ID: "r1", Received: testTime(), Deadline: testTime().Add(5 * time.Second), Digest: path,
		Query: matcher.Query{Host: "h", Path: path, APIKey: "key", RequestID: "r1"},
	}
}

// endAttempt ends the given attempt of request r1. Attempt n ends n times 10 ms
// after testTime.
func endAttempt(d *Dispatcher, attempt int, e Event) []Action {
	e.Kind, e.ID, e.Attempt = EventEnded, "r1", attempt
	return d.Step(testTime().Add(time.Duration(attempt)*10*ms), e)
}

// A request whose route permits one run must not be sent again after an attempt
// that may have run it, and its failure must not have the outcome not_run.
func TestAttemptOutcomeDecidesRetry(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		event  Event
		retry  bool
		status int
	}{
		{"lost hold fails", "/hold/1", Event{Outcome: OutcomeLost}, false, http.StatusBadGateway},
		{"hold whose upstream crashed fails", "/hold/1", Event{Outcome: OutcomeCrashed}, false, http.StatusBadGateway},
		{"expired hold fails", "/hold/1", Event{Outcome: OutcomeExpired}, false, http.StatusGatewayTimeout},
		{"refused hold is retried", "/hold/1", Event{Outcome: OutcomeRefused}, true, 0},
		{"hold that was not sent is retried", "/hold/1", Event{Outcome: OutcomeNotSent}, true, 0},
		{"lost check is retried", "/check/1", Event{Outcome: OutcomeLost}, true, 0},
		{"failed check is retried", "/check/1", Event{Outcome: OutcomeFailed}, true, 0},
		{"chat lost before the first event is retried", "/chat/1", Event{Outcome: OutcomeLost}, true, 0},
		{"chat lost after an event is resumed", "/chat/1", Event{Outcome: OutcomeLost, Begun: true, LastEvent: "7"}, true, 0},
		{"chat lost after an event that cannot be resumed is cut off", "/chat/1", Event{Outcome: OutcomeLost, Begun: true, Unresumable: true}, false, http.StatusBadGateway},
		{"large check lost after its head is cut off", "/check/1", Event{Outcome: OutcomeLost, Begun: true, Unresumable: true}, false, http.StatusBadGateway},
		{"brief lost before the first event fails", "/brief/1", Event{Outcome: OutcomeLost}, false, http.StatusBadGateway},
		{"brief lost after an event is cut off", "/brief/1", Event{Outcome: OutcomeLost, Begun: true, LastEvent: "7"}, false, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher()
			first := d.Step(testTime(), Event{Kind: EventArrived, Request: request(c.path)})
			assertSent(t, first, 1)
			next := endAttempt(d, 1, c.event)
			if !c.retry {
				assertFailed(t, next, c.status, c.event.Begun)
				return
			}
			a := assertSent(t, next, 2)
			is := is.New(t)
			is.True(a.Upstream.Name != first[0].Upstream.Name)
			is.Equal(a.Begun, c.event.Begun)
			is.Equal(a.LastEvent, c.event.LastEvent)
			is.Equal(a.Deadline, first[0].Deadline)
		})
	}
}

// The number of upstreams that run a request must not exceed MaxAttempts of its
// route.
func TestMaxAttemptsBoundsRuns(t *testing.T) {
	t.Run("check that fails twice gets the error of the upstream", func(t *testing.T) {
		d := newDispatcher()
		d.Step(testTime(), Event{Kind: EventArrived, Request: request("/check/1")})
		assertSent(t, endAttempt(d, 1, Event{Outcome: OutcomeFailed}), 2)
		assertKind(t, endAttempt(d, 2, Event{Outcome: OutcomeFailed}), ActionForwardError)
	})
	t.Run("chat that is lost twice fails", func(t *testing.T) {
		d := newDispatcher()
		d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")})
		assertSent(t, endAttempt(d, 1, Event{Outcome: OutcomeLost}), 2)
		assertFailed(t, endAttempt(d, 2, Event{Outcome: OutcomeLost}), http.StatusBadGateway, false)
	})
}

// If the caller has received the beginning of a stream and the upstream that should
// resume it answers with an error, the stream must be cut off. The error was
// forwarded as the end of the stream, which then looked complete (ORDER,
// hunt-1ab0-27).
func TestFailedResumeCutsStream(t *testing.T) {
	d := newDispatcher()
	d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")})
	assertSent(t, endAttempt(d, 1, Event{Outcome: OutcomeCrashed, Begun: true, LastEvent: "7"}), 2)
	assertFailed(t, endAttempt(d, 2, Event{Outcome: OutcomeFailed, Begun: true, LastEvent: "7"}), http.StatusBadGateway, true)
}

// The retries of one entry must stay within its share of the retry budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	d := newDispatcher()
	d.Step(testTime(), Event{Kind: EventEntryCount, Entries: 5})
	retries := 0
	const requests = 200
	for i := range requests {
		r := request("/check/1")
		r.ID = fmt.Sprint("r", i)
		d.Step(testTime(), Event{Kind: EventArrived, Request: r})
		for _, a := range d.Step(testTime(), Event{Kind: EventEnded, ID: r.ID, Attempt: 1, Outcome: OutcomeFailed}) {
			if a.Kind == ActionSend {
				retries++
				d.Step(testTime(), Event{Kind: EventEnded, ID: r.ID, Attempt: 2, Outcome: OutcomeAnswered})
			}
		}
	}
	is.New(t).True(retries <= requests*20/100+50/5)
	is.New(t).True(retries >= 10)
}

// An entry whose configuration may be out of date must answer a request that it
// cannot admit with status 503 and not with a 4xx status, since a newer
// configuration may permit the request.
func TestUnsyncedEntryAnswersUnavailable(t *testing.T) {
	unknown := func() Request {
		r := request("/chat/1")
		r.Query.APIKey = "new key"
		return r
	}
	t.Run("synced entry answers 401", func(t *testing.T) {
		assertFailed(t, newDispatcher().Step(testTime(), Event{Kind: EventArrived, Request: unknown()}), http.StatusUnauthorized, false)
	})
	t.Run("unsynced entry answers 503", func(t *testing.T) {
		d := newDispatcher()
		d.Step(testTime(), Event{Kind: EventSynced})
		assertFailed(t, d.Step(testTime(), Event{Kind: EventArrived, Request: unknown()}), http.StatusServiceUnavailable, false)
	})
	t.Run("entry without configuration answers 503", func(t *testing.T) {
		assertFailed(t, New(Settings{}).Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")}), http.StatusServiceUnavailable, false)
	})
}

// An older configuration must not replace a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	d := newDispatcher()
	d.Step(testTime(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{Version: 5})})
	d.Step(testTime(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{Version: 4, Routes: routes()})})
	assertFailed(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")}), http.StatusNotFound, false)
}

// Content that crashed two upstreams must be refused.
func TestCrashingContentIsRefused(t *testing.T) {
	d := newDispatcher()
	d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")})
	assertSent(t, endAttempt(d, 1, Event{Outcome: OutcomeCrashed})[1:], 2)
	endAttempt(d, 2, Event{Outcome: OutcomeCrashed})
	assertFailed(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")}), http.StatusServiceUnavailable, false)
}

// A caller whose stream lost two upstreams in its midst must not be refused when it
// comes again: a poison request crashes upstreams before it begins.
func TestBegunStreamIsNotQuarantined(t *testing.T) {
	d := newDispatcher()
	d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")})
	for attempt := 1; attempt <= 2; attempt++ {
		d.Step(testTime(), Event{Kind: EventProgress, ID: "r1", Attempt: attempt, First: true, Events: 1, Elapsed: 50 * ms, Begun: true, LastEvent: "7"})
		endAttempt(d, attempt, Event{Outcome: OutcomeCrashed, Begun: true, LastEvent: "7"})
	}
	assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")}), 1)
}

func assertKind(t *testing.T, all []Action, want ActionKind) Action {
	t.Helper()
	var last Action
	for _, a := range all {
		if a.Kind != ActionSendStrikes {
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

// A sound stream with long gaps was cut after a fixed time and run again elsewhere.
func TestStreamIdleTimeoutFollowsTargets(t *testing.T) {
	for _, c := range []struct {
		name         string
		latency, gap time.Duration
		want         time.Duration
	}{
		{"short targets", 250 * ms, 200 * ms, 1200 * ms},
		{"long gap target", 250 * ms, 2 * time.Second, 9600 * ms},
		{"long latency target", 5 * time.Second, 200 * ms, 12 * time.Second},
		{"no targets", 0, 0, 1200 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher()
			all := routes()
			all[0].LatencyTarget, all[0].GapTarget = c.latency, c.gap
			d.Step(testTime(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{
				Version: 2, Routes: all, Organisations: []matcher.Organisation{{Name: "guides", Keys: []string{"key"}}},
			})})
			sent := d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")})
			is.New(t).Equal(sent[0].IdleTimeout, c.want)
		})
	}
}

// A change of the routes with long prompts must be returned as an action, so that the
// log shows why requests of a route went to other upstreams.
func TestSeparationIsReportedOnce(t *testing.T) {
	d := newDispatcher()
	reports := 0
	for i := range 200 {
		path, tokens := "/chat/1", 800
		if i%2 == 0 {
			path, tokens = "/brief/1", 12_000
		}
		r := request(path)
		r.ID, r.PromptTokens = fmt.Sprint("q", i), tokens
		now := testTime().Add(time.Duration(i) * 20 * ms)
		for _, a := range d.Step(now, Event{Kind: EventArrived, Request: r}) {
			if a.Kind == ActionRoutesSeparated {
				reports++
				is.New(t).Equal(a.Separation.Routes, []string{"brief"})
				is.New(t).Equal(a.Summary.Service, "desk")
			}
		}
		d.Step(now, Event{Kind: EventProgress, ID: r.ID, Attempt: 1, First: true, Elapsed: 80 * ms})
		d.Step(now, Event{Kind: EventEnded, ID: r.ID, Attempt: 1, Outcome: OutcomeAnswered})
	}
	is.New(t).Equal(reports, 1)
}

// An upstream that left without a request in flight stayed in the picker for good.
func TestUpstreamsThatLeftAreForgotten(t *testing.T) {
	start := func(i int) registrar.Upstream {
		return registrar.Upstream{Name: "desk-0", StartUnixMilli: int64(i), Service: "desk"}
	}
	const starts = 100
	d := newDispatcher()
	known := func() (n int) {
		for i := range starts {
			if d.services["desk"].picker.Upstream(start(i+1).InstanceID()) != nil {
				n++
			}
		}
		return n
	}
	for i := range starts {
		now := testTime().Add(time.Duration(i) * time.Second)
		u := start(i + 1)
		d.Step(now, Event{Kind: EventUpstreams, Upstreams: []registrar.Upstream{u}})
		d.Step(now, Event{Kind: EventHeldBack, Upstream: u, RetryAfter: 1500 * ms})
	}
	// The last start is registered, and the one before is held back still.
	is.New(t).Equal(known(), 2)
}
