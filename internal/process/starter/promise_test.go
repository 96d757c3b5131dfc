package starter

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/fx/fxtest"

	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// A broken promise must be reported in production, once in the timeline and once
// in the metrics.
func TestViolationIsRecordedAndCountedOnce(t *testing.T) {
	is := is.New(t)
	m, err := meter.New()
	is.NoErr(err)
	lc := fxtest.NewLifecycle(t)
	r := newRecorder(recorderParams{Lifecycle: lc, Settings: loader.Common{Identity: "agent-1"}, Upstream: "booking-1", Clock: timer.System{}, Meter: m})
	for range 3 {
		r.Record(tracer.Event{Kind: tracer.KindStarted, Request: "r", Attempt: 1, NotRepeatable: true})
	}
	var found []tracer.Event
	// The recorder answers the first query only after its goroutine has checked all
	// events, so the second query finds the violation.
	r.Fetch(t.Context(), recorder.Query{})
	for _, e := range r.Fetch(t.Context(), recorder.Query{Request: "r"}) {
		if e.Kind == tracer.KindViolation {
			found = append(found, e)
		}
	}
	is.Equal(len(found), 1)
	is.Equal(found[0].Promise, "P5")
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	is.True(strings.Contains(w.Body.String(), `magnoliafront_violations_total{`))
	is.True(strings.Contains(w.Body.String(), `promise="P5"} 1`))
	lc.RequireStart().RequireStop()
}
