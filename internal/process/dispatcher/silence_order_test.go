package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// A suspended attempt that had ended by itself, at the deadline for example, was resumed
// after the other one had failed. Nothing followed, so that the caller got neither an
// answer nor a refusal.
func TestEndedSuspendedAttemptIsNotResumed(t *testing.T) {
	for _, c := range []struct {
		name  string
		other AttemptOutcome
	}{
		{"the other attempt expires as well", OutcomeExpired},
		{"the other attempt is lost", OutcomeLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, next := silentChat("/chat/1", "7")
			assertSent(t, next, 2)
			ended := endAttempt(d, 1, Event{Outcome: OutcomeExpired, Begun: true, LastEvent: "7"})
			is.New(t).Equal(assertKind(t, ended, ActionAbandon).Attempt, 1)
			assertKind(t, endAttempt(d, 2, Event{Outcome: c.other, Begun: true, LastEvent: "7"}), ActionFail)
			assertIdle(t, d)
		})
	}
}

// newThreeAttemptDispatcher returns a dispatcher that sends chats to up to three upstreams.
func newThreeAttemptDispatcher() *Dispatcher {
	d := newDispatcher()
	all := routes()
	all[0].MaxAttempts = 3
	d.Step(testTime(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{
		Version: 2, Routes: all, Organisations: []matcher.Organisation{{Name: "guides", Keys: []string{"key"}}},
	})})
	return d
}

// When the other attempt fell silent too, the first one was forgotten but not ended, and
// the entry went on with the wrong one: the request never ended. Later the first one was
// ended, though the other had shown nothing. Now the other one ends.
func TestSecondSilenceEndsOtherAttempt(t *testing.T) {
	begin := func(t *testing.T) *Dispatcher {
		t.Helper()
		d := newThreeAttemptDispatcher()
		d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")})
		assertSent(t, d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1, Begun: true, LastEvent: "7"}), 2)
		next := d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 2, Begun: true, LastEvent: "7"})
		is.New(t).Equal(assertKind(t, next, ActionResume).Attempt, 1)
		return d
	}
	silentAgain := Event{Kind: EventSilent, ID: "r1", Attempt: 1, Begun: true, LastEvent: "7"}
	t.Run("and the first one goes on", func(t *testing.T) {
		d := begin(t)
		assertKind(t, endAttempt(d, 1, Event{Outcome: OutcomeAnswered, Begun: true, LastEvent: "9"}), ActionFinish)
		assertIdle(t, d)
	})
	t.Run("and a third one is tried once the first is silent again", func(t *testing.T) {
		d := begin(t)
		assertSent(t, d.Step(testTime(), silentAgain), 3)
		assertReady(t, d, 3, 1)
		assertKind(t, endAttempt(d, 3, Event{Outcome: OutcomeAnswered, Begun: true, LastEvent: "9"}), ActionFinish)
		assertIdle(t, d)
	})
	t.Run("and the first one goes on if the third is refused", func(t *testing.T) {
		d := begin(t)
		d.Step(testTime(), silentAgain)
		resumed := assertKind(t, endAttempt(d, 3, Event{Outcome: OutcomeRefused, Begun: true, LastEvent: "7"}), ActionResume)
		is.New(t).Equal(resumed.Attempt, 1)
		assertKind(t, endAttempt(d, 1, Event{Outcome: OutcomeAnswered, Begun: true, LastEvent: "9"}), ActionFinish)
		assertIdle(t, d)
	})
}

// The other attempt relayed the head of its answer, or a part of a large one, and broke
// off. The suspended attempt was then resumed and relayed its own answer after that part.
func TestSuspendedAttemptIsNotResumedAfterPartOfAnotherAnswer(t *testing.T) {
	for _, c := range []struct {
		name, path, silentAt, brokenAt string
	}{
		{"large answer of a call", "/check/1", "", ""},
		{"stream without an event", "/chat/1", "", ""},
		{"stream with an event that was not reported", "/chat/1", "7", "8"},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, next := silentChat(c.path, c.silentAt)
			assertSent(t, next, 2)
			failed := endAttempt(d, 2, Event{Outcome: OutcomeLost, Begun: true, LastEvent: c.brokenAt})
			is := is.New(t)
			is.Equal(failed[0].Kind, ActionAbandon)
			is.Equal(failed[0].Attempt, 1)
			is.True(assertKind(t, failed, ActionFail).Begun)
			assertIdle(t, d)
		})
	}
}

// A request that is given up after a fault of the program stayed in flight for ever.
func TestAbortedRequestReleasesItsUpstreams(t *testing.T) {
	t.Run("with a suspended attempt", func(t *testing.T) {
		d, _ := silentChat("/chat/1", "7")
		assertKind(t, d.Step(testTime(), Event{Kind: EventAborted, ID: "r1"}), ActionFinish)
		assertIdle(t, d)
		is.New(t).Equal(len(endAttempt(d, 2, Event{Outcome: OutcomeCancelled})), 0)
	})
	t.Run("that is unknown", func(t *testing.T) {
		is.New(t).Equal(len(newDispatcher().Step(testTime(), Event{Kind: EventAborted, ID: "r1"})), 0)
	})
}

// A silent upstream counted as one that had answered if the whole answer came from
// another, so that it got the next requests as well.
func TestSilentUpstreamCountsAsLostWhenAnotherAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome AttemptOutcome
	}{{"the other upstream answers", OutcomeAnswered}, {"the caller disconnects", OutcomeCancelled}} {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher()
			first := assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/check/1")}), 1)
			assertSent(t, d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1}), 2)
			assertKind(t, endAttempt(d, 2, Event{Outcome: c.outcome}), ActionFinish)
			u := d.service("desk").picker.Upstream(first.Upstream.InstanceID())
			is.New(t).True(u.BackoffUntil.After(testTime()))
			assertIdle(t, d)
		})
	}
}

// A suspended attempt was abandoned while the connection to another upstream was still
// being established. Without one, the caller's connection was cut.
func TestSuspendedAttemptIsKeptUntilAnotherIsSent(t *testing.T) {
	d, next := silentChat("/chat/1", "7")
	assertSent(t, next, 2)
	tick := func(after time.Duration) []Action { return d.Step(testTime().Add(after), Event{Kind: EventTick}) }
	notSent := Event{Outcome: OutcomeNotSent, Begun: true, LastEvent: "7"}
	assertNoAbandon := func(all []Action) {
		t.Helper()
		for _, a := range all {
			is.New(t).True(a.Kind != ActionAbandon)
		}
	}
	assertNoAbandon(tick(300 * ms))
	assertSent(t, endAttempt(d, 2, notSent), 3)
	d.Step(testTime().Add(300*ms), Event{Kind: EventSent, ID: "r1", Attempt: 2})
	assertNoAbandon(tick(600 * ms))
	is.New(t).Equal(assertKind(t, endAttempt(d, 3, notSent), ActionResume).Attempt, 1)
	assertKind(t, endAttempt(d, 1, Event{Outcome: OutcomeAnswered, Begun: true, LastEvent: "9"}), ActionFinish)
	assertIdle(t, d)
}

// A request that crashed its upstream while another one was tried got no strike, so that
// it reached more upstreams before its content was refused.
func TestCrashOfSuspendedAttemptIsCounted(t *testing.T) {
	d := newDispatcher()
	first := assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")}), 1)
	assertSent(t, d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1}), 2)
	all := endAttempt(d, 1, Event{Outcome: OutcomeCrashed})
	is := is.New(t)
	is.Equal(len(all), 2)
	is.Equal(all[0].Kind, ActionAbandon)
	is.Equal(all[1].Kind, ActionSendStrikes)
	is.Equal(all[1].Strikes[0].Upstream, first.Upstream.InstanceID())
	assertKind(t, endAttempt(d, 2, Event{Outcome: OutcomeAnswered, Begun: true, LastEvent: "9"}), ActionFinish)
	assertIdle(t, d)
}

// An attempt that followed a refusal had only the rest of the overlap, so that it ended
// before it could show anything and counted as a run. The time runs on if the attempt
// before may have been run.
func TestAttemptAfterRefusalHasWholeOverlap(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome AttemptOutcome
		want    time.Duration
	}{
		{"refused", OutcomeRefused, 290*ms + maxOverlap},
		{"failed", OutcomeFailed, maxOverlap},
		{"lost", OutcomeLost, maxOverlap},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher()
			all := routes()
			all[0].MaxAttempts = 3
			d.Step(testTime(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{
				Version: 2, Routes: all, Organisations: []matcher.Organisation{{Name: "guides", Keys: []string{"key"}}},
			})})
			d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")})
			assertSent(t, d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1}), 2)
			d.Step(testTime(), Event{Kind: EventSent, ID: "r1", Attempt: 2})
			assertSent(t, endAttempt(d, 2, Event{Outcome: c.outcome}), 3)
			d.Step(testTime().Add(290*ms), Event{Kind: EventSent, ID: "r1", Attempt: 3})
			is.New(t).Equal(d.OverlapEndsAt(), testTime().Add(c.want))
		})
	}
}

// An attempt that was never sent counted as a run if the silent one answered first, so that
// a crash of that one later cut the caller off though another run was permitted.
func TestAttemptThatWasNotSentIsNoRun(t *testing.T) {
	for _, c := range []struct {
		name string
		sent bool
		next ActionKind
	}{{"still being connected", false, ActionSend}, {"sent", true, ActionFail}} {
		t.Run(c.name, func(t *testing.T) {
			d, next := silentChat("/chat/1", "7")
			assertSent(t, next, 2)
			if c.sent {
				d.Step(testTime(), Event{Kind: EventSent, ID: "r1", Attempt: 2})
			}
			d.Step(testTime(), Event{Kind: EventReady, ID: "r1", Attempt: 1})
			crashed := endAttempt(d, 1, Event{Outcome: OutcomeCrashed, Begun: true, LastEvent: "8"})
			is.New(t).Equal(crashed[len(crashed)-1].Kind, c.next)
		})
	}
}
