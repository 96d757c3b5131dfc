package starter

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// pacedClockStep is the step by which a paced clock advances.
const pacedClockStep = time.Millisecond

// newPacedClock returns a clock that the speed of the machine paces. Each step
// takes at least as long as on the system clock, and as long as an HTTP request to
// a server of this process. On a busy machine the clock is thus slower than the
// system clock, for the stand-ins, the callers and the fleet alike, and the load
// stays the same share of what the fleet can serve.
func newPacedClock(t *testing.T) timer.Clock {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	client := server.Client()
	clock := timer.NewManual(time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			start := time.Now()
			if resp, err := client.Get(server.URL); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			time.Sleep(time.Until(start.Add(pacedClockStep)))
			clock.Advance(pacedClockStep)
		}
	}()
	// This runs after the fleet has stopped, which needs the clock to advance.
	t.Cleanup(func() {
		cancel()
		<-ended
		server.Close()
	})
	return clock
}

// stoppableClock is the clock of the operating system until it is stopped. Then it is a
// manual clock. Unlike a paced clock, it does not fall behind before that, so that
// deadlines of network connections can be computed from it.
type stoppableClock struct {
	manual atomic.Pointer[timer.Manual]
}

// stop stops the clock and returns the manual clock in its place.
func (c *stoppableClock) stop() *timer.Manual {
	m := timer.NewManual(time.Now())
	c.manual.Store(m)
	return m
}

func (c *stoppableClock) current() timer.Clock {
	if m := c.manual.Load(); m != nil {
		return m
	}
	return timer.System{}
}

// Now implements [timer.Clock].
func (c *stoppableClock) Now() time.Time { return c.current().Now() }

// After implements [timer.Clock]. A timer that was started before the clock was stopped
// fires nevertheless.
func (c *stoppableClock) After(d time.Duration) (<-chan time.Time, func()) {
	return c.current().After(d)
}

// advanceUntil advances a manual clock until done receives a value, which it returns.
func advanceUntil[T any](m *timer.Manual, done <-chan T) T {
	ticks := time.NewTicker(pacedClockStep)
	defer ticks.Stop()
	for {
		select {
		case v := <-done:
			return v
		case <-ticks.C:
			m.Advance(pacedClockStep)
		}
	}
}
