package starter

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/loader"
)

// scaleAPI is a stand-in for the API of the platform that accepts scale orders.
type scaleAPI struct {
	// mu guards the fields below, which the handlers of several calls share.
	mu     sync.Mutex
	orders []scaleCall
}

type scaleCall struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Desired int    `json:"desired"`
	token   int64
	holder  string
}

func newScaleAPI(t *testing.T) (*scaleAPI, string) {
	t.Helper()
	a := &scaleAPI{}
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var c scaleCall
		if json.NewDecoder(r.Body).Decode(&c) != nil || r.URL.Path != "/scale" {
			c.Service = "malformed call"
		}
		c.token, _ = strconv.ParseInt(r.Header.Get("Magnoliafront-Fencing-Token"), 10, 64)
		c.holder = r.Header.Get("Magnoliafront-Lease-Holder")
		a.mu.Lock()
		defer a.mu.Unlock()
		a.orders = append(a.orders, c)
	}))
	t.Cleanup(s.Close)
	return a, s.URL
}

// all returns the orders so far.
func (a *scaleAPI) all() []scaleCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.orders)
}

// last returns the last order, the zero value if there is none.
func (a *scaleAPI) last() (last scaleCall) {
	for _, o := range a.all() {
		last = o
	}
	return last
}

// One entry must order the upstreams that the configuration asks for, and after its end
// another one with a higher token. Without limits in the configuration nothing must start.
func TestGatewayOrdersUpstreams(t *testing.T) {
	is := is.New(t)
	api, url := newScaleAPI(t)
	r := newGatewayFixture(t, 2)
	r.duties = &loader.Duties{API: url, Scale: true, CallsPerSecond: 100, LeaseDuration: "1s", UsageWindow: "1s", UsageDue: "30s"}
	entries := map[string]*gateway{}
	for _, name := range []string{"entry-1", "entry-2"} {
		entries[name] = r.startEntry(name, r.storeURL)
		assertEventually(t, "ready", entries[name].isReady)
	}
	for _, g := range entries {
		assertStatus(t, g.call(http.MethodPost, "/check/1", "scale-"+g.callerAddress, "{}", nil), http.StatusOK)
	}
	is.Equal(len(api.all()), 0)
	r.configure(func(c map[string]any) {
		c["services"] = []any{map[string]any{"name": "desk", "scaling": map[string]any{"min_replicas": 3, "max_replicas": 5, "startup_s": 1}}}
	})
	assertEventually(t, "minimum ordered", func() bool { return api.last().Desired == 3 })
	first := api.last()
	is.Equal(first.Service, "desk")
	is.NoErr(entries[first.holder].app.Stop(context.Background()))
	assertEventually(t, "ordered by the next holder", func() bool { return api.last().token > first.token })
	next := api.last()
	is.True(next.holder != first.holder)
	is.Equal(next.Desired, 3)
	for _, o := range api.all() {
		is.Equal(o.Zone, first.Zone)
		is.True(o.token == first.token || o.holder == next.holder)
	}
}
