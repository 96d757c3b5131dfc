package reader

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// A run that was stopped while the health of its engine was checked made the engine count
// as down, so that the runs that waited there were given up.
func TestStopDuringHealthCheckDoesNotReportEngineDown(t *testing.T) {
	checked := make(chan struct{}, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Method == http.MethodPost {
			_, _ = w.Write([]byte("data: {\"error\":\"failed\"}\n\n"))
			return
		}
		checked <- struct{}{}
		<-q.Context().Done()
	}))
	defer s.Close()
	events := make(chan Event, 1)
	r := NewEngine(s.Client(), timer.System{}, s.URL, Job{Key: scheduler.Key{Request: "r"}, Body: []byte(`{}`)}, func(e Event) { events <- e })
	<-checked
	r.Stop()
	e := <-events
	is := is.New(t)
	is.Equal(e.Kind, EventLost)
	is.True(!e.Unreachable)
}
