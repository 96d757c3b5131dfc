package starter

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// beforeExit is a time after the SIGTERM at which an entry with a grace period of 2 s has
// given the final answers, which are due after 1.1 s, and has not reached the exit, which
// is due after 1.3 s.
const beforeExit = 1200 * time.Millisecond

// stopAt stops the clock c, begins to stop g and advances the clock to beforeExit. It
// returns the clock and a channel that receives the result of the stop.
func (g *gateway) stopAt(c *stoppableClock) (*timer.Manual, <-chan error) {
	manual := c.stop()
	stopped := make(chan error, 1)
	go func() { stopped <- g.app.Stop(context.Background()) }()
	assertEventually(g.t, "not ready", func() bool { return !g.isReady() })
	manual.Advance(beforeExit)
	return manual, stopped
}

// startStoppable starts an entry with a grace period of 2 s on the clock c, before a
// runner with the behaviour b.
func (r *gatewayFixture) startStoppable(c *stoppableClock, b emulator.RunnerBehaviour) *gateway {
	r.clock, r.gracePeriod = c, "2s"
	g := r.startReadyEntry()
	r.setBehaviour(b)
	return g
}

// At the exit of an entry the connections of all callers were closed, also of those that
// had got no byte of an answer and must not send their requests again.
func TestGatewayAnswersRequestsBeforeExit(t *testing.T) {
	for _, c := range []struct{ name, path string }{
		{"call", "/hold/1"},
		{"stream before its first event", "/stream/brief/1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newGatewayFixture(t, 1)
			clock := &stoppableClock{}
			g := r.startStoppable(clock, emulator.RunnerSilent)
			answers := make(chan answer, 1)
			go func() { answers <- g.call(http.MethodPost, c.path, "x1", "", nil) }()
			assertEventually(t, "in flight", func() bool { return len(r.allRequests()) == 1 })
			manual, stopped := g.stopAt(clock)
			a := <-answers
			assertStatus(t, a, http.StatusGatewayTimeout)
			is := is.New(t)
			// The deadline of the caller passes later.
			is.True(strings.Contains(a.body, retrier.CodeStopping))
			is.NoErr(advanceUntil(manual, stopped))
			assertExecuted(t, r, "x1", 1)
			<-r.allRequests()[0].Cancelled
		})
	}
}

// A stream that has begun must not end as if it were complete, nor with a failure in its
// midst, when the entry answers other requests before its exit.
func TestGatewayStreamGoesOnUntilExit(t *testing.T) {
	r := newGatewayFixture(t, 1)
	clock := &stoppableClock{}
	g := r.startStoppable(clock, emulator.RunnerPauses)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	resp, err := http.DefaultClient.Do(g.newRequest(ctx, http.MethodPost, "/stream/brief/1", "x1", ""))
	is := is.New(t)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusOK)
	want := ""
	for i := range r.runners[0].Events / 2 {
		want += emulator.Event("x1", i+1)
	}
	begun := make([]byte, len(want))
	_, err = io.ReadFull(resp.Body, begun)
	is.NoErr(err)
	is.Equal(string(begun), want)
	manual, stopped := g.stopAt(clock)
	is.NoErr(advanceUntil(manual, stopped))
	rest, err := io.ReadAll(resp.Body)
	is.True(err != nil)
	is.NoErr(ctx.Err())
	is.Equal(len(rest), 0)
}
