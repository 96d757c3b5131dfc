package reader

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// An engine that hangs with its connections open must not block a request for
// ever. After the stall timeout the attempt must be reported as lost, so that
// the entry resumes it on another upstream.
func TestStalledEngineAttemptReportedLost(t *testing.T) {
	for _, c := range []struct {
		name   string
		tokens int
	}{
		{"before the first token", 0},
		{"after two tokens", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if q.Method == http.MethodGet {
					return
				}
				rc := http.NewResponseController(w)
				for range c.tokens {
					_, _ = w.Write([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n"))
				}
				_ = rc.Flush()
				<-release
			}))
			defer s.Close()
			defer close(release)
			clock := timer.NewManual(time.Unix(0, 0))
			events := make(chan Event, 8)
			NewEngine(s.Client(), clock, s.URL, Job{Key: scheduler.Key{Request: "r"}, Body: []byte(`{}`)}, func(e Event) { events <- e })
			for n := 0; n < c.tokens; {
				e := <-events
				is.New(t).Equal(e.Kind, EventTokens)
				n += len(e.Tokens)
			}
			assertLostAfterStallTimeout(t, clock, events)
		})
	}
}

// assertLostAfterStallTimeout advances the clock until the attempt is reported
// as lost.
func assertLostAfterStallTimeout(t *testing.T, clock *timer.Manual, events <-chan Event) {
	t.Helper()
	for {
		select {
		case e := <-events:
			is.New(t).Equal(e.Kind, EventLost)
			is.New(t).True(e.Crashed)
			is.New(t).True(!e.Unreachable)
			return
		case <-time.After(time.Millisecond):
			clock.Advance(stallTimeout)
		}
	}
}

// An engine that fails within a stream sends the error as an event and may still end the
// stream with [DONE]. The part of the answer was reported as the whole.
func TestErrorEventIsReportedAsLost(t *testing.T) {
	for _, c := range []struct {
		name, event string
		want        EventKind
	}{
		{"error object", `{"error":{"message":"out of memory","code":500}}`, EventLost},
		{"error text", `{"error":"out of memory"}`, EventLost},
		{"error beside choices", `{"choices":[],"error":{"message":"x"}}`, EventLost},
		{"no error", `{"choices":[],"error":null}`, EventFinished},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if q.Method == http.MethodPost {
					_, _ = w.Write([]byte("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: " + c.event + "\n\ndata: [DONE]\n\n"))
				}
			}))
			defer s.Close()
			events := make(chan Event, 8)
			NewEngine(s.Client(), timer.System{}, s.URL, Job{Key: scheduler.Key{Request: "r"}, Body: []byte(`{}`)}, func(e Event) { events <- e })
			is := is.New(t)
			is.Equal((<-events).Kind, EventTokens)
			last := <-events
			is.Equal(last.Kind, c.want)
			is.True(!last.Crashed)
			is.True(!last.Unreachable)
		})
	}
}
