package starter

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/loader"
)

// usageAPI is a stand-in for the API of the platform that accepts usage reports.
type usageAPI struct {
	// mu guards the fields below, which the handlers of several calls share.
	mu     sync.Mutex
	token  int64
	holder map[int64]string
	counts map[int64]map[string]int
	// faults lists reports that the platform must never get.
	faults []string
}

func newUsageAPI(t *testing.T) (*usageAPI, string) {
	t.Helper()
	a := &usageAPI{holder: map[int64]string{}, counts: map[int64]map[string]int{}}
	s := httptest.NewServer(http.HandlerFunc(a.serve))
	t.Cleanup(s.Close)
	return a, s.URL
}

func (a *usageAPI) serve(w http.ResponseWriter, r *http.Request) {
	var report struct {
		WindowID int64          `json:"window_id"`
		Counts   map[string]int `json:"counts"`
	}
	token, err := strconv.ParseInt(r.Header.Get("Magnoliafront-Fencing-Token"), 10, 64)
	holder := r.Header.Get("Magnoliafront-Lease-Holder")
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case err != nil || r.URL.Path != "/usage" || json.NewDecoder(r.Body).Decode(&report) != nil:
		a.faults = append(a.faults, "malformed call")
	case token < a.token:
		w.WriteHeader(http.StatusConflict)
		return
	case a.holder[token] != "" && a.holder[token] != holder:
		a.faults = append(a.faults, fmt.Sprintf("token %d of %s and %s", token, a.holder[token], holder))
	case a.counts[report.WindowID] != nil && fmt.Sprint(a.counts[report.WindowID]) != fmt.Sprint(report.Counts):
		a.faults = append(a.faults, fmt.Sprintf("two reports of window %d", report.WindowID))
	}
	a.token, a.holder[token], a.counts[report.WindowID] = token, holder, report.Counts
}

// total returns the number of requests of all reports and the last holder.
func (a *usageAPI) total(organisation string) (n int, holder string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.counts {
		n += c[organisation]
	}
	return n, a.holder[a.token]
}

// The requests of all entries must be reported once, also over a change of the holder, and
// a request that was sent again or refused must not be counted more than it ran.
func TestGatewayReportsUsage(t *testing.T) {
	is := is.New(t)
	api, url := newUsageAPI(t)
	r := newGatewayFixture(t, 2)
	r.duties = &loader.Duties{
		API: url, Usage: true, CallsPerSecond: 100, LeaseDuration: "1s", UsageWindow: "1s", UsageDue: "30s",
	}
	entries := map[string]*gateway{}
	for _, name := range []string{"entry-1", "entry-2"} {
		entries[name] = r.startEntry(name, r.storeURL)
		assertEventually(t, "ready", entries[name].isReady)
	}
	sent := 0
	send := func(g *gateway) {
		for _, path := range []string{"/stream/chat/1", "/check/1", "/hold/1"} {
			sent++
			assertStatus(t, g.call(http.MethodPost, path, fmt.Sprint("usage-", sent), "{}", nil), http.StatusOK)
		}
	}
	reported := func() bool { n, _ := api.total("guides"); return n == sent }
	for _, g := range entries {
		send(g)
		send(g)
	}
	assertEventually(t, "requests of both entries reported", reported)
	_, holder := api.total("guides")
	is.NoErr(entries[holder].app.Stop(context.Background()))
	delete(entries, holder)
	for _, g := range entries {
		send(g)
	}
	assertEventually(t, "requests after the change of the holder reported", reported)
	_, next := api.total("guides")
	is.True(next != holder)
	is.Equal(len(api.faults), 0)
}
