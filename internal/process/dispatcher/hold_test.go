package dispatcher

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// holdBack reports that upstream i wants no requests for retryAfter.
func holdBack(d *Dispatcher, now time.Time, i int, retryAfter time.Duration) []Action {
	return d.Step(now, Event{Kind: EventHeldBack, ID: "r0", Upstream: upstreams()[i], RetryAfter: retryAfter})
}

// A request or a retry was sent to an upstream that had asked for a pause.
func TestHeldBackUpstreamGetsNoRequests(t *testing.T) {
	t.Run("new request goes to another upstream", func(t *testing.T) {
		d := newDispatcher()
		holdBack(d, testTime(), 0, time.Second)
		holdBack(d, testTime(), 1, time.Second)
		a := assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/hold/1")}), 1)
		is.New(t).Equal(a.Upstream.Name, "desk-2")
	})
	t.Run("refused request is retried on another upstream", func(t *testing.T) {
		d := newDispatcher()
		first := assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/hold/1")}), 1)
		left := ""
		for i, u := range upstreams() {
			if u.Name == first.Upstream.Name || left != "" {
				holdBack(d, testTime(), i, time.Second)
				continue
			}
			left = u.Name
		}
		a := assertSent(t, endAttempt(d, 1, Event{Outcome: OutcomeRefused}), 2)
		is.New(t).Equal(a.Upstream.Name, left)
	})
	t.Run("registered again during the pause: no requests", func(t *testing.T) {
		d := newDispatcher()
		for i := range upstreams() {
			holdBack(d, testTime(), i, time.Second)
		}
		d.Step(testTime(), Event{Kind: EventUpstreams})
		d.Step(testTime(), Event{Kind: EventUpstreams, Upstreams: upstreams()})
		assertFailed(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/hold/1")}), http.StatusServiceUnavailable, false)
	})
	t.Run("another start during the pause: requests", func(t *testing.T) {
		d := newDispatcher()
		restarted := upstreams()
		for i := range restarted {
			holdBack(d, testTime(), i, time.Second)
			restarted[i].StartUnixMilli++
		}
		d.Step(testTime(), Event{Kind: EventUpstreams, Upstreams: restarted})
		assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/hold/1")}), 1)
	})
}

// While all upstreams of a service pause, callers were told to come back at a time
// that had nothing to do with the end of the first pause.
func TestCallersWaitForFirstPauseToEnd(t *testing.T) {
	for _, c := range []struct {
		name     string
		pauses   [3]time.Duration
		deadline time.Duration
		want     time.Duration
	}{
		{"end of the first pause", [3]time.Duration{3 * time.Second, 1500 * ms, 2 * time.Second}, 20 * time.Second, 1500 * ms},
		{"pause longer than the caller may wait", [3]time.Duration{time.Hour, time.Hour, time.Hour}, 3200 * ms, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher()
			for i, pause := range c.pauses {
				holdBack(d, testTime(), i, pause)
			}
			r := request("/chat/1")
			r.Deadline = testTime().Add(c.deadline)
			all := d.Step(testTime(), Event{Kind: EventArrived, Request: r})
			assertFailed(t, all, http.StatusServiceUnavailable, false)
			a := all[len(all)-1]
			is := is.New(t)
			is.Equal(a.Failure.Code, "held_back")
			is.Equal(a.Failure.RetryAfter, c.want)
		})
	}
}

// An operator must see once, not for each refusal, that an upstream is held back.
func TestHeldBackIsReportedOncePerPause(t *testing.T) {
	d := newDispatcher()
	is := is.New(t)
	is.Equal(len(holdBack(d, testTime(), 0, time.Second)), 1)
	is.Equal(len(holdBack(d, testTime().Add(500*ms), 0, time.Second)), 0)
	again := holdBack(d, testTime().Add(1500*ms), 0, 2*time.Second)
	is.Equal(len(again), 1)
	is.Equal(again[0].Kind, ActionUpstreamHeldBack)
	is.Equal(again[0].RetryAfter, 2*time.Second)
	is.Equal(again[0].ID, "r0")
}
