package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

// silentChat returns a dispatcher whose request r1 for path is silent after the event
// with the ID last, and the actions that follow the silence.
func silentChat(path, last string) (*Dispatcher, []Action) {
	d := newDispatcher()
	d.Step(testTime(), Event{Kind: EventArrived, Request: request(path)})
	return d, d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1, Begun: last != "", LastEvent: last})
}

// assertIdle checks that no upstream has a request in flight.
func assertIdle(t *testing.T, d *Dispatcher) {
	t.Helper()
	is := is.New(t)
	for _, id := range d.service("desk").instanceIDs {
		is.Equal(d.service("desk").picker.Upstream(id).Outstanding, 0)
	}
	is.Equal(len(d.inFlight), 0)
	is.Equal(len(d.suspended), 0)
}

// A silent attempt was ended before another upstream had taken the request, so that a
// refusal there, or an empty budget, left the caller without the answer of a sound
// upstream.
func TestSilentAttemptGoesOnUnlessAnotherUpstreamTakesTheRequest(t *testing.T) {
	t.Run("another upstream refuses until the refusals are used up", func(t *testing.T) {
		d, next := silentChat("/chat/1", "7")
		a := assertSent(t, next, 2)
		is := is.New(t)
		is.True(a.Begun)
		is.Equal(a.LastEvent, "7")
		assertSent(t, endAttempt(d, 2, Event{Outcome: OutcomeRefused, Begun: true, LastEvent: "7"}), 3)
		resumed := assertKind(t, endAttempt(d, 3, Event{Outcome: OutcomeRefused, Begun: true, LastEvent: "7"}), ActionResume)
		is.Equal(resumed.Attempt, 1)
		assertKind(t, endAttempt(d, 1, Event{Outcome: OutcomeAnswered, Begun: true, LastEvent: "9"}), ActionFinish)
		assertIdle(t, d)
	})
	t.Run("another upstream fails the request", func(t *testing.T) {
		d, next := silentChat("/check/1", "")
		assertSent(t, next, 2)
		assertKind(t, endAttempt(d, 2, Event{Outcome: OutcomeFailed}), ActionResume)
		again := d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1})
		// Another run would exceed the maximum of the route.
		assertKind(t, again, ActionResume)
		assertKind(t, endAttempt(d, 1, Event{Outcome: OutcomeAnswered}), ActionFinish)
		assertIdle(t, d)
	})
	t.Run("the retry budget is used up", func(t *testing.T) {
		d, _ := silentChat("/chat/1", "7")
		for i := 2; ; i++ {
			r := request("/chat/1")
			r.ID = fmt.Sprint("r", i)
			d.Step(testTime(), Event{Kind: EventArrived, Request: r})
			next := d.Step(testTime(), Event{Kind: EventSilent, ID: r.ID, Attempt: 1, Begun: true, LastEvent: "7"})
			if next[len(next)-1].Kind == ActionResume {
				break
			}
			is.New(t).True(i < 200)
		}
	})
	t.Run("there is no other upstream", func(t *testing.T) {
		d := newDispatcher()
		sent := assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")}), 1)
		d.Step(testTime(), Event{Kind: EventUpstreams, Upstreams: []registrar.Upstream{sent.Upstream}})
		assertKind(t, d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1}), ActionResume)
	})
	t.Run("the stream cannot be resumed without an event ID", func(t *testing.T) {
		d := newDispatcher()
		d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")})
		assertKind(t, d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1, Begun: true}), ActionResume)
	})
}

// Two upstreams must not work on one request for long: the silent attempt ends as soon
// as another upstream has taken the request, and after a bounded time in any case.
func TestSuspendedAttemptIsAbandoned(t *testing.T) {
	t.Run("at the first event of the other attempt", func(t *testing.T) {
		d, _ := silentChat("/chat/1", "7")
		next := d.Step(testTime(), Event{Kind: EventProgress, ID: "r1", Attempt: 2, First: true, Begun: true, LastEvent: "8"})
		is.New(t).Equal(assertKind(t, next, ActionAbandon).Attempt, 1)
		assertKind(t, endAttempt(d, 2, Event{Outcome: OutcomeAnswered, Begun: true, LastEvent: "9"}), ActionFinish)
		assertIdle(t, d)
	})
	t.Run("when the other attempt has waited for long", func(t *testing.T) {
		d, _ := silentChat("/chat/1", "7")
		d.Step(testTime(), Event{Kind: EventSent, ID: "r1", Attempt: 2})
		tick := d.Step(testTime().Add(maxOverlap-ms), Event{Kind: EventTick})
		is := is.New(t)
		for _, a := range tick {
			is.True(a.Kind != ActionAbandon)
		}
		tick = d.Step(testTime().Add(maxOverlap), Event{Kind: EventTick})
		is.Equal(tick[0].Kind, ActionAbandon)
		// The abandoned run counts: the request has had its two runs.
		failed := endAttempt(d, 2, Event{Outcome: OutcomeCrashed, Begun: true, LastEvent: "7"})
		is.Equal(assertKind(t, failed, ActionFail).Failure.Outcome, admitter.OutcomeUnknown)
		assertIdle(t, d)
	})
	t.Run("when the caller disconnects", func(t *testing.T) {
		d, _ := silentChat("/chat/1", "7")
		assertKind(t, endAttempt(d, 2, Event{Outcome: OutcomeCancelled}), ActionFinish)
		assertIdle(t, d)
	})
	t.Run("and its late events are ignored", func(t *testing.T) {
		d, _ := silentChat("/chat/1", "7")
		is := is.New(t)
		is.Equal(len(d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1})), 0)
		next := d.Step(testTime(), Event{Kind: EventProgress, ID: "r1", Attempt: 2, First: true, Begun: true, LastEvent: "8"})
		is.Equal(assertKind(t, next, ActionAbandon).Attempt, 1)
		is.Equal(len(d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1})), 0)
		is.Equal(len(d.Step(testTime().Add(time.Second), Event{Kind: EventEnded, ID: "r1", Attempt: 1, Outcome: OutcomeCancelled})), 0)
	})
}
