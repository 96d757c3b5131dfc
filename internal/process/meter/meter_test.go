package meter

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Requests without an end can be found only if the numbers of those received, ended and in
// flight are all exported.
func TestNumbersOfRequestsAreExported(t *testing.T) {
	m, err := New()
	is := is.New(t)
	is.NoErr(err)
	is.NoErr(m.WatchRequests(func() Requests {
		return Requests{Received: 7, Ended: map[string]uint64{"answered": 4, "cut_off": 1}, InFlight: map[string]uint64{"receiver": 2, "forwarder": 1}}
	}))
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []struct{ name, label, value string }{
		{"magnoliafront_requests_received_total{", "", "} 7"},
		{"magnoliafront_requests_ended_total{", `result="answered"`, "} 4"},
		{"magnoliafront_requests_ended_total{", `result="cut_off"`, "} 1"},
		{"magnoliafront_requests_in_flight{", `stage="receiver"`, "} 2"},
		{"magnoliafront_requests_in_flight{", `stage="forwarder"`, "} 1"},
	} {
		t.Run(line.name+line.label, func(t *testing.T) { assertExported(t, w.Body.String(), line.name, line.label, line.value) })
	}
}

// Answers that ended with their connection can be counted only if the metric has both
// labels.
func TestAnswersAreExported(t *testing.T) {
	m, err := New()
	is.New(t).NoErr(err)
	m.Answer("close", "answered")
	m.Answer("close", "answered")
	m.Answer("chunks", "lost")
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []struct{ name, label, value string }{
		{"magnoliafront_answers_total{", `end="answered",framing="close"`, "} 2"},
		{"magnoliafront_answers_total{", `end="lost",framing="chunks"`, "} 1"},
	} {
		t.Run(line.label, func(t *testing.T) { assertExported(t, w.Body.String(), line.name, line.label, line.value) })
	}
}

// assertExported checks that a line of the metrics has a name, a label and a value.
func assertExported(t *testing.T, metrics, name, label, value string) {
	t.Helper()
	for line := range strings.Lines(metrics) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, name) && strings.Contains(line, label) && strings.HasSuffix(line, value) {
			return
		}
	}
	t.Fatalf("no line with %q, %q and %q in:\n%s", name, label, value, metrics)
}

// An operator must see which entry has a duty, and what has happened to its windows.
func TestDutiesAreExported(t *testing.T) {
	m, err := New()
	is.New(t).NoErr(err)
	is.New(t).NoErr(m.WatchDuty("usage", func() (int64, bool) { return 7, true }))
	is.New(t).NoErr(m.WatchDuty("scale", func() (int64, bool) { return 7, false }))
	m.UsageWindows("confirmed", 2)
	m.ScaleOrder("sent")
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []struct{ name, label, value string }{
		{"magnoliafront_duty_held{", `duty="usage"`, "} 1"},
		{"magnoliafront_duty_token{", `duty="usage"`, "} 7"},
		{"magnoliafront_duty_held{", `duty="scale"`, "} 0"},
		{"magnoliafront_duty_token{", `duty="scale"`, "} 0"},
		{"magnoliafront_usage_windows_total{", `result="confirmed"`, "} 2"},
		{"magnoliafront_scale_orders_total{", `result="sent"`, "} 1"},
	} {
		t.Run(line.name+line.label, func(t *testing.T) { assertExported(t, w.Body.String(), line.name, line.label, line.value) })
	}
}
