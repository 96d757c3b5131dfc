package router_test

import (
	"net/http"
	"testing"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// A stopping router must handle queued abandons of requests. Otherwise the request
// of a caller that disconnected before the stop counts as aborted by the stop, which
// made TestRandomFaultsBreakNoPromise fail with seed 2.
func TestStopHandlesQueuedAbandon(t *testing.T) {
	// The goroutine chooses at random between the queued event and the stop, so a
	// single attempt may pass by chance.
	const attempts = 8
	for range attempts {
		r := newTestRig(t)
		release := make(chan struct{})
		r.wrapService = func(http.Handler) http.Handler {
			return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })
		}
		r.startAgent("")
		t.Cleanup(func() { close(release) })
		e := r.startEntry("entry-1", nil)
		r.post(e, "", body)
		r.awaitEvent(tracer.KindSent, "")
		resume := e.router.Pause()
		e.router.Abandon("request-1")
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			e.router.Stop()
		}()
		r.awaitSignal(e.router.Stopping())
		resume()
		r.awaitSignal(stopped)
		r.awaitEvent(tracer.KindCancelled, "")
	}
}
