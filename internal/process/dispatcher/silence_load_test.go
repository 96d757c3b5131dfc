package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
)

// An upstream that did not answer at all got new requests at the usual rate: when another
// attempt at a request had ended beside the silent one, nothing told the picker that the
// upstream was silent.
func TestSilentUpstreamGetsBackoffIfNoAttemptHasAnswered(t *testing.T) {
	begin := func(t *testing.T) (d *Dispatcher, silent, other string) {
		t.Helper()
		d = newDispatcher()
		first := assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")}), 1)
		second := assertSent(t, d.Step(testTime(), Event{Kind: EventSilent, ID: "r1", Attempt: 1}), 2)
		d.Step(testTime(), Event{Kind: EventSent, ID: "r1", Attempt: 2})
		return d, first.Upstream.InstanceID(), second.Upstream.InstanceID()
	}
	assertBackoff := func(t *testing.T, d *Dispatcher, upstream string, want bool) {
		t.Helper()
		is.New(t).Equal(d.service("desk").picker.Upstream(upstream).BackoffUntil.After(testTime().Add(maxOverlap)), want)
	}
	t.Run("at the end of the overlap", func(t *testing.T) {
		d, silent, other := begin(t)
		assertKind(t, d.Step(testTime().Add(maxOverlap), Event{Kind: EventOverlapEnded}), ActionResume)
		assertBackoff(t, d, silent, true)
		assertBackoff(t, d, other, false)
		is.New(t).Equal(d.service("desk").picker.Upstream(silent).Outstanding, 1)
	})
	t.Run("when the other is silent too", func(t *testing.T) {
		d, silent, _ := begin(t)
		assertKind(t, d.Step(testTime().Add(maxOverlap), Event{Kind: EventSilent, ID: "r1", Attempt: 2}), ActionResume)
		assertBackoff(t, d, silent, true)
	})
	t.Run("but not when the silent one has a part of its answer first", func(t *testing.T) {
		d, silent, _ := begin(t)
		d.Step(testTime().Add(maxOverlap), Event{Kind: EventReady, ID: "r1", Attempt: 1})
		assertBackoff(t, d, silent, false)
	})
	t.Run("and the end of its attempt is counted once", func(t *testing.T) {
		d, silent, _ := begin(t)
		d.Step(testTime().Add(maxOverlap), Event{Kind: EventOverlapEnded})
		endAttempt(d, 1, Event{Outcome: OutcomeExpired})
		assertIdle(t, d)
		assertBackoff(t, d, silent, true)
	})
}

// An attempt that had ended without a sign of its upstream counted as progress there, so
// that an upstream that did not answer at all looked as sound as any other.
func TestEndOfSilentAttemptIsNoProgressOfItsUpstream(t *testing.T) {
	d, next := silentChat("/chat/1", "7")
	other := assertSent(t, next, 2).Upstream.InstanceID()
	d.Step(testTime(), Event{Kind: EventSent, ID: "r1", Attempt: 2})
	before := d.service("desk").picker.Upstream(other).LastProgress
	d.Step(testTime().Add(maxOverlap), Event{Kind: EventOverlapEnded})
	u := d.service("desk").picker.Upstream(other)
	is := is.New(t)
	is.Equal(u.LastProgress, before)
	is.Equal(u.Outstanding, 0)
	is.Equal(u.PendingTokens, 0)
	is.True(u.BackoffUntil.Before(testTime().Add(time.Millisecond)))
}

// A caller who had waited in vain and left counted as an answer of the upstream, so that
// one that did not answer at all looked as sound as any other.
func TestCallerWhoLeavesIsNoProgressOfTheUpstream(t *testing.T) {
	d := newDispatcher()
	sent := assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/check/1")}), 1)
	s := d.service("desk")
	u := s.picker.Upstream(sent.Upstream.InstanceID())
	s.picker.Step(testTime(), picker.Event{Kind: picker.EventEnded, Upstream: u.Name, Failed: true})
	s.picker.Step(testTime(), picker.Event{Kind: picker.EventSent, Upstream: u.Name})
	rate := u.FailureRate
	later := testTime().Add(time.Second)
	assertKind(t, d.Step(later, Event{Kind: EventEnded, ID: "r1", Attempt: 1, Outcome: OutcomeCancelled}), ActionFinish)
	is := is.New(t)
	is.True(u.LastProgress.Before(later))
	is.Equal(u.FailureRate, rate)
	is.True(u.BackoffUntil.Before(later))
	assertIdle(t, d)
}
