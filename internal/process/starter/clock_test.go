package starter

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
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
