package starter

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

// oddUpstreams returns the text of objects named name that another writer left among
// the upstreams.
func oddUpstreams(name string) map[string]string {
	const depth = 50_000
	nested := strings.Repeat(`{"x":`, depth) + "1" + strings.Repeat("}", depth)
	object := func(spec string) string {
		return fmt.Sprintf(`{"metadata":{"name":%q,"revision":3,"created":3},"spec":%s}`, name, spec)
	}
	return map[string]string{
		"deeply nested":         object(nested),
		"number too large":      object(`{"service":"desk","address":"127.0.0.1:9","zone":"z","slots":1e400,"state":"ready"}`),
		"number that is NaN":    object(`{"service":"desk","address":"127.0.0.1:9","zone":"z","slots":NaN,"state":"ready"}`),
		"port out of range":     object(`{"service":"desk","address":"127.0.0.1:70000","zone":"z","slots":8,"state":"ready"}`),
		"revision out of range": fmt.Sprintf(`{"metadata":{"name":%q,"revision":1e30},"spec":%s}`, name, nested),
	}
}

// assertFollowsStore checks that an entry notices new upstreams and configurations, and
// that it serves a request.
func assertFollowsStore(t *testing.T, r *gatewayFixture, g *gateway, id string) {
	t.Helper()
	before := g.forwarder.State().EligibleCount
	run, err := emulator.NewRunner("i-new-" + id)
	is.New(t).NoErr(err)
	t.Cleanup(run.Stop)
	r.store.Put("servers", run.ID, run.StoreSpec("desk", "ready"))
	assertEventually(t, "the new upstream is eligible", func() bool { return g.forwarder.State().EligibleCount == before+1 })
	r.configure(nil)
	version := int64(r.configurationVersion)
	assertEventually(t, "the new configuration is in force", func() bool { return g.forwarder.State().Table.Configuration.Version == version })
	is.New(t).True(g.inSync())
	assertStatus(t, g.call(http.MethodPost, "/hold/1", id, "", nil), http.StatusOK)
	assertStatus(t, g.call(http.MethodPost, "/stream/chat/1", "s"+id, "", nil), http.StatusOK)
}

// One object that another writer left among the upstreams kept entries from starting,
// and running entries from following the store: requests went to upstreams that had
// left.
func TestGatewayFollowsStoreBesideOddObject(t *testing.T) {
	t.Run("objects before the start", func(t *testing.T) {
		r := newGatewayFixture(t, 2)
		// The names come before and after those of the upstreams.
		for i, prefix := range []string{"a-", "z-"} {
			for name, text := range oddUpstreams(prefix) {
				r.store.PutText("servers", fmt.Sprint(prefix, i, name), []byte(text))
			}
		}
		g := r.startReadyEntry()
		is.New(t).Equal(g.forwarder.State().EligibleCount, 2)
		assertFollowsStore(t, r, g, "a1")
	})
	for name, text := range oddUpstreams("i-0") {
		t.Run("in place of an upstream, "+name, func(t *testing.T) {
			r := newGatewayFixture(t, 2)
			g := r.startReadyEntry()
			r.store.PutText("servers", "i-0", []byte(text))
			assertEventually(t, "one upstream is left", func() bool { return g.forwarder.State().EligibleCount == 1 })
			assertFollowsStore(t, r, g, "a1")
			is.New(t).Equal(len(r.runners[0].Requests()), 0)
			r.store.Put("servers", "i-0", r.runners[0].StoreSpec("desk", "ready"))
			assertEventually(t, "the upstream is back", func() bool { return g.forwarder.State().EligibleCount == 3 })
		})
	}
}

// A registration with a name of megabytes made the state that an entry sends to one
// without the store too large for a message: the other entry closed the connection and
// never became ready.
func TestGatewayWithoutStoreLearnsFromPeerBesideLongName(t *testing.T) {
	for _, field := range []string{"zone", "service"} {
		t.Run(field, func(t *testing.T) {
			r := newGatewayFixture(t, 1)
			long := r.runners[0].StoreSpec("desk", "ready")
			long[field] = strings.Repeat("x", messenger.MaxMessageBytes)
			r.store.Put("servers", "i-long", long)
			first := r.startReadyEntry()
			refusing := emulator.NewObjectStore()
			refusing.SetMode(emulator.StoreBusy)
			t.Cleanup(refusing.Stop)
			second := r.startEntry("entry-2", r.serveStore(refusing).URL, first.peerAddress)
			assertEventually(t, "ready", second.isReady)
			assertStatus(t, second.call(http.MethodPost, "/hold/1", "n1", "", nil), http.StatusOK)
		})
	}
}

// An upstream whose object first held a wrong address was called there as long as it was
// registered, also after it had written its own address.
func TestGatewayCallsUpstreamAtLatestAddress(t *testing.T) {
	r := newGatewayFixture(t, 1)
	spec := r.runners[0].StoreSpec("desk", "ready")
	spec["address"] = freeAddress(t)
	r.store.Put("servers", "i-0", spec)
	g := r.startReadyEntry()
	is.New(t).True(g.call(http.MethodPost, "/hold/1", "w1", "", nil).status != http.StatusOK)
	r.store.Put("servers", "i-0", r.runners[0].StoreSpec("desk", "ready"))
	assertEventually(t, "the upstream is called", func() bool {
		return g.call(http.MethodPost, "/hold/1", "w2", "", nil).status == http.StatusOK
	})
}
