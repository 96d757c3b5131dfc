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
	t.Run("the stream cannot be resumed", func(t *testing.T) {
		d := newDispatcher()
		d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")})
		assertKind(t, d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1, Begun: true, Unresumable: true}), ActionResume)
	})
}

// assertReady reports that an attempt at r1 has a part of its answer, and checks that it
// may relay it and that the other attempt, which is suspended, is abandoned.
func assertReady(t *testing.T, d *Dispatcher, attempt, suspended int) {
	t.Helper()
	is := is.New(t)
	next := d.Step(testTime(), Event{Kind: EventReady, ID: "r1", Attempt: attempt})
	is.Equal(len(next), 2)
	is.Equal(next[0].Kind, ActionAbandon)
	is.Equal(next[0].Attempt, suspended)
	is.Equal(next[1].Kind, ActionRelay)
	is.Equal(next[1].Attempt, attempt)
}

// Two upstreams must not work on one request for long: one attempt ends as soon as the
// other has a part of the answer, and after a bounded time in any case.
func TestOneOfTwoAttemptsEnds(t *testing.T) {
	t.Run("the silent one when the other has a part of its answer", func(t *testing.T) {
		d, _ := silentChat("/chat/1", "7")
		assertReady(t, d, 2, 1)
		assertKind(t, endAttempt(d, 2, Event{Outcome: OutcomeAnswered, Begun: true, LastEvent: "9"}), ActionFinish)
		assertIdle(t, d)
	})
	t.Run("the other when it has waited for long", func(t *testing.T) {
		d, _ := silentChat("/chat/1", "7")
		is := is.New(t)
		is.True(d.OverlapEndsAt().IsZero())
		d.Step(testTime(), Event{Kind: EventSent, ID: "r1", Attempt: 2})
		is.Equal(d.OverlapEndsAt(), testTime().Add(maxOverlap))
		is.Equal(len(d.Step(testTime().Add(maxOverlap-ms), Event{Kind: EventOverlapEnded})), 0)
		is.Equal(assertKind(t, d.Step(testTime().Add(maxOverlap), Event{Kind: EventOverlapEnded}), ActionResume).Attempt, 1)
		is.Equal(len(d.Step(testTime().Add(maxOverlap), Event{Kind: EventReady, ID: "r1", Attempt: 2})), 0)
		// The run that has ended counts: the request has had its two runs.
		assertKind(t, d.Step(testTime().Add(time.Second), Event{Kind: EventSilent, ID: "r1", Attempt: 1, Begun: true, LastEvent: "7"}), ActionResume)
		failed := endAttempt(d, 1, Event{Outcome: OutcomeCrashed, Begun: true, LastEvent: "7"})
		is.Equal(assertKind(t, failed, ActionFail).Failure.Outcome, admitter.OutcomeUnknown)
		assertIdle(t, d)
	})
	t.Run("the other when the silent one has a part of its answer first", func(t *testing.T) {
		d, _ := silentChat("/chat/1", "7")
		next := d.Step(testTime(), Event{Kind: EventReady, ID: "r1", Attempt: 1})
		is := is.New(t)
		is.Equal(len(next), 2)
		is.Equal(next[0].Kind, ActionResume)
		is.Equal(next[1].Kind, ActionRelay)
		is.Equal(next[1].Attempt, 1)
		assertKind(t, endAttempt(d, 1, Event{Outcome: OutcomeAnswered, Begun: true, LastEvent: "9"}), ActionFinish)
		assertIdle(t, d)
	})
	t.Run("both when the caller disconnects", func(t *testing.T) {
		d, _ := silentChat("/chat/1", "7")
		assertKind(t, endAttempt(d, 2, Event{Outcome: OutcomeCancelled}), ActionFinish)
		assertIdle(t, d)
	})
	t.Run("and late events of the silent one are ignored", func(t *testing.T) {
		d, _ := silentChat("/chat/1", "7")
		is := is.New(t)
		is.Equal(len(d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1})), 0)
		assertReady(t, d, 2, 1)
		is.Equal(len(d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1})), 0)
		is.Equal(len(d.Step(testTime(), Event{Kind: EventReady, ID: "r1", Attempt: 1})), 0)
		is.Equal(len(d.Step(testTime().Add(time.Second), Event{Kind: EventEnded, ID: "r1", Attempt: 1, Outcome: OutcomeCancelled})), 0)
	})
}
