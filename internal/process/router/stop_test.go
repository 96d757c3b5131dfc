package router_test

import (
	"net/http"
	"testing"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// A router that stops must take in that a caller had gone before: otherwise the
// request counts as cut off by the stop (TestRandomFaults with seed 2).
func TestStopAfterAbandon(t *testing.T) {
	// The duty chooses at random between what waits, so one try proves little.
	const tries = 8
	for range tries {
		r := newRig(t)
		hold := make(chan struct{})
		r.around = func(http.Handler) http.Handler {
			return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold })
		}
		r.startAgent("")
		t.Cleanup(func() { close(hold) })
		e := r.startEntry("entry-1", nil)
		r.post(e, "", body)
		r.await(tracer.KindSent, "")
		resume := e.router.Pause()
		e.router.Abandon("request-1")
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			e.router.Stop()
		}()
		r.wait(e.router.Stopping())
		resume()
		r.wait(stopped)
		r.await(tracer.KindCancelled, "")
	}
}
