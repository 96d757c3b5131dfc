package meter

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
)

// Refused callers can be told from a shortage of memory only if the state of each budget
// and the causes of refusals are exported.
func TestMemoryIsExported(t *testing.T) {
	m, err := New()
	is := is.New(t)
	is.NoErr(err)
	is.NoErr(m.WatchMemory(func() Memory {
		return Memory{
			Parts:         map[string]reserver.Stats{"bodies": {Held: 3, Limit: 9, Refused: 2}},
			RefusedBodies: map[string]uint64{"slow": 5},
		}
	}))
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []struct{ name, label, value string }{
		{"magnoliafront_memory_held_bytes{", `part="bodies"`, "} 3"},
		{"magnoliafront_memory_held_bytes_limit{", `part="bodies"`, "} 9"},
		{"magnoliafront_memory_reservations_refused_total{", `part="bodies"`, "} 2"},
		{"magnoliafront_bodies_refused_total{", `cause="slow"`, "} 5"},
	} {
		t.Run(line.name, func(t *testing.T) { assertExported(t, w.Body.String(), line.name, line.label, line.value) })
	}
}
