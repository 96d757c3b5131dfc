package starter

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

// An upstream that says in an answer that it is shutting down got further requests
// for as long as the store listed it as ready, also while the store was down.
func TestGatewayAnnouncedDrainingEndsRequests(t *testing.T) {
	for _, c := range []struct {
		name      string
		behaviour emulator.RunnerBehaviour
		path      string
	}{
		{"whole answer", emulator.RunnerAnswers, "/hold/1"},
		{"refusal", emulator.RunnerRefuses, "/hold/1"},
		{"error", emulator.RunnerFails, "/hold/1"},
		{"answer without a signature", emulator.RunnerUnsigned, "/hold/1"},
		{"answer after an answer to another request", emulator.RunnerPrependsForeign, "/hold/1"},
		{"stream", emulator.RunnerAnswers, "/stream/chat/1"},
		{"stream that is cut and resumed", emulator.RunnerAbortsStream, "/stream/chat/1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newGatewayFixture(t, 2)
			g := r.startReadyEntry()
			r.runners[0].SetBehaviour(c.behaviour)
			r.runners[0].SetDraining(true)
			r.awaitAnnouncement(g, c.path)
			r.assertOnlySecondServes(g)
			r.store.SetMode(emulator.StoreBusy)
			r.assertOnlySecondServes(g)
		})
	}
	t.Run("head of a stream that has not ended", func(t *testing.T) {
		r := newGatewayFixture(t, 2)
		for _, run := range r.runners {
			run.EventInterval = waitTimeout
		}
		g := r.startReadyEntry()
		r.runners[0].SetDraining(true)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const open = 8
		for i := range open {
			go g.call(http.MethodPost, "/stream/brief/1", fmt.Sprint("open", i), "", func(req *http.Request) { *req = *req.WithContext(ctx) })
		}
		assertEventually(t, "announced", func() bool { return len(r.allRequests()) == open && g.forwarder.State().EligibleCount == 1 })
		r.assertOnlySecondServes(g)
	})
	t.Run("the only upstream: refused as not run", func(t *testing.T) {
		r := newGatewayFixture(t, 1)
		g := r.startReadyEntry()
		r.runners[0].SetDraining(true)
		is.New(t).Equal(r.awaitAnnouncement(g, "/hold/1").header.Get("Server-Leaving"), "1")
		a := g.call(http.MethodPost, "/hold/1", "refused", "", nil)
		assertStatus(t, a, http.StatusServiceUnavailable)
		is.New(t).True(a.header.Get("Retry-After") != "")
		assertExecuted(t, r, "refused", 0)
	})
	t.Run("another start under the same name: served again", func(t *testing.T) {
		r := newGatewayFixture(t, 1)
		g := r.startReadyEntry()
		r.runners[0].SetDraining(true)
		r.awaitAnnouncement(g, "/hold/1")
		r.runners[0].SetDraining(false)
		restarted := r.runners[0].StoreSpec("desk", "ready")
		restarted["born"] = 2
		r.store.Put("servers", r.runners[0].ID, restarted)
		assertEventually(t, "eligible", func() bool { return g.forwarder.State().EligibleCount == 1 })
		assertStatus(t, g.call(http.MethodPost, "/hold/1", "served", "", nil), http.StatusOK)
	})
}

// An upstream that turns requests away and asks for a pause got more of them during
// that pause, new ones and retries.
func TestGatewayPauseOfUpstreamEndsRequests(t *testing.T) {
	const longPause = "3600"
	pause := func(run *emulator.Runner, retryAfter string) {
		run.SetRetryAfter(retryAfter)
		run.SetBehaviour(emulator.RunnerRefuses)
	}
	t.Run("one upstream: the other serves", func(t *testing.T) {
		r := newGatewayFixture(t, 2)
		g := r.startReadyEntry()
		pause(r.runners[0], longPause)
		for i := 0; len(r.runners[0].Requests()) == 0; i++ {
			assertStatus(t, g.call(http.MethodPost, "/hold/1", fmt.Sprint("before", i), "", nil), http.StatusOK)
		}
		r.runners[0].SetBehaviour(emulator.RunnerAnswers)
		r.assertOnlySecondServes(g)
	})
	t.Run("all upstreams: refused at once with a time to come back", func(t *testing.T) {
		r := newGatewayFixture(t, 2)
		g := r.startReadyEntry()
		for _, run := range r.runners {
			pause(run, longPause)
		}
		assertStatus(t, g.call(http.MethodPost, "/hold/1", "first", "", nil), http.StatusServiceUnavailable)
		is := is.New(t)
		is.Equal(len(r.allRequests()), 2)
		a := g.call(http.MethodPost, "/hold/1", "second", "", nil)
		assertStatus(t, a, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		is.NoErr(err)
		// The deadline of the caller is 10 s.
		is.True(after > 2 && after < 10.0/3)
		is.Equal(len(r.allRequests()), 2)
	})
	t.Run("end of the pause: served again", func(t *testing.T) {
		r := newGatewayFixture(t, 1)
		g := r.startReadyEntry()
		pause(r.runners[0], "0.2")
		assertStatus(t, g.call(http.MethodPost, "/hold/1", "first", "", nil), http.StatusServiceUnavailable)
		r.runners[0].SetBehaviour(emulator.RunnerAnswers)
		i := 0
		assertEventually(t, "served", func() bool {
			i++
			return g.call(http.MethodPost, "/hold/1", fmt.Sprint("later", i), "", nil).status == http.StatusOK
		})
	})
}

// awaitAnnouncement sends requests until the first runner has answered one and is no
// longer eligible. It returns the last answer.
func (r *gatewayFixture) awaitAnnouncement(g *gateway, path string) (last answer) {
	r.t.Helper()
	eligible := g.forwarder.State().EligibleCount
	for i := 0; len(r.runners[0].Requests()) == 0; i++ {
		last = g.call(http.MethodPost, path, fmt.Sprint("before", i), "", nil)
	}
	assertEventually(r.t, "announced", func() bool { return g.forwarder.State().EligibleCount == eligible-1 })
	return last
}

// assertOnlySecondServes checks that all requests are answered and that none reaches
// the first runner.
func (r *gatewayFixture) assertOnlySecondServes(g *gateway) {
	r.t.Helper()
	before := len(r.runners[0].Requests())
	for i := range 10 {
		assertStatus(r.t, g.call(http.MethodPost, "/hold/2", fmt.Sprint("after", before, i, time.Now().UnixNano()), "", nil), http.StatusOK)
	}
	is.New(r.t).Equal(len(r.runners[0].Requests()), before)
}
