package starter

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

// recordDelay exceeds the time after which an entry has kept what it has begun.
const recordDelay = time.Second

// newVersionedFixture returns a fixture with a runner for each software version.
func newVersionedFixture(t *testing.T, versions ...string) *gatewayFixture {
	t.Helper()
	r := newGatewayFixture(t, len(versions))
	for i, v := range versions {
		r.registerVersion(r.runners[i], v)
	}
	return r
}

func (r *gatewayFixture) registerVersion(run *emulator.Runner, version string) {
	spec := run.StoreSpec("desk", "ready")
	spec["version"] = version
	r.store.Put("servers", run.ID, spec)
}

// runnersOf returns the names of the runners that ran the requests with an identity.
func (r *gatewayFixture) runnersOf(id string) []string {
	var out []string
	for _, run := range r.runners {
		for _, q := range run.Requests() {
			if q.ID == id && q.Executed {
				out = append(out, run.ID)
			}
		}
	}
	return out
}

// beginBroken sends a request for a stream. Each has another content, since content of which
// upstreams end is refused.
func (g *gateway) beginBroken(id string) answer {
	return g.call(http.MethodPost, "/stream/chat/"+id, id, "", nil)
}

// takeUp takes up the stream that the request began at an entry, behind its fourth event.
func (g *gateway) takeUp(id, began string) answer {
	return g.call(http.MethodPost, "/stream/chat/"+began, id, "", func(q *http.Request) {
		q.Header.Set("Last-Event-Id", "4")
		q.Header.Set("Resumes", began)
	})
}

// A stream that had broken off went on at an upstream of another software version, and the
// caller got one text of two that do not fit together.
func TestGatewayBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	t.Run("no other upstream of the version", func(t *testing.T) {
		r := newVersionedFixture(t, "v1", "v2")
		g := r.startReadyEntry()
		r.setBehaviourOnce(emulator.RunnerAbortsStream)
		a := g.beginBroken("r1")
		is := is.New(t)
		is.True(a.err != nil)
		is.Equal(len(r.runnersOf("r1")), 1)
	})
	t.Run("another upstream of the version", func(t *testing.T) {
		r := newVersionedFixture(t, "v1", "v2", "v1", "v2")
		g := r.startReadyEntry()
		for i := range 8 {
			r.setBehaviourOnce(emulator.RunnerAbortsStream)
			id := fmt.Sprint("r", i)
			a := g.beginBroken(id)
			is := is.New(t)
			is.NoErr(a.err)
			ran := strings.Join(r.runnersOf(id), " ")
			is.True(ran == "i-0 i-2" || ran == "i-1 i-3")
		}
	})
}

// A stream that its caller took up at another entry went on at another software version.
func TestGatewayStreamIsTakenUpAtItsVersion(t *testing.T) {
	r := newVersionedFixture(t, "v1", "v2")
	first := r.startReadyEntry()
	second := r.startEntry("entry-2", r.storeURL, first.peerAddress)
	assertEventually(t, "ready", second.isReady)
	assertEventually(t, "known to the first", func() bool { return slices.Contains(first.peering.syncer.Listed(), "entry-2") })
	const streams = 8
	for i := range streams {
		r.setBehaviourOnce(emulator.RunnerAbortsStream)
		is.New(t).True(first.beginBroken(fmt.Sprint("r", i)).err != nil)
	}
	for i := range streams {
		assertTakenUp(t, r, second, fmt.Sprint("r", i))
	}
	t.Run("unknown stream", func(t *testing.T) {
		assertStatus(t, second.takeUp("u", "unknown"), http.StatusServiceUnavailable)
	})
}

// assertTakenUp checks that the stream that a request began goes on at its version, once the
// entry knows that.
func assertTakenUp(t *testing.T, r *gatewayFixture, g *gateway, began string) {
	t.Helper()
	id := ""
	assertEventually(t, "taken up", func() bool {
		id = fmt.Sprint(began, "-", time.Now().UnixNano())
		return g.takeUp(id, began).status == http.StatusOK
	})
	is.New(t).Equal(r.runnersOf(id), r.runnersOf(began))
}

// addVersion registers a runner of another software version and waits until an entry may use
// it.
func (r *gatewayFixture) addVersion(g *gateway, version string) {
	r.t.Helper()
	before := g.forwarder.State().EligibleCount
	run, err := emulator.NewRunner(fmt.Sprint("i-", len(r.runners)))
	is.New(r.t).NoErr(err)
	r.t.Cleanup(run.Stop)
	r.runners = append(r.runners, run)
	r.registerVersion(run, version)
	assertEventually(r.t, "the new runner is eligible", func() bool { return g.forwarder.State().EligibleCount == before+1 })
}

// beginBrokenAt begins streams through an entry until one was begun by a runner and broken
// off. It returns the identity of the request.
func (r *gatewayFixture) beginBrokenAt(g *gateway, runner string) string {
	r.t.Helper()
	id, tries := "", 0
	assertEventually(r.t, "a stream of "+runner, func() bool {
		tries++
		id = fmt.Sprint(runner, "-", tries)
		r.setBehaviourOnce(emulator.RunnerAbortsStream)
		g.beginBroken(id)
		return slices.Equal(r.runnersOf(id), []string{runner})
	})
	return id
}

// An entry that was cut off in a release took streams of the new software version up at the
// old one, the only one that it knew.
func TestGatewayCutOffEntryTakesUpNoStreamOfUnknownVersion(t *testing.T) {
	r := newVersionedFixture(t, "v1")
	first := r.startReadyEntry()
	platform := newTCPProxy(t)
	platform.setTarget(strings.TrimPrefix(r.storeURL, "http://"))
	r.secret = "no links to the others"
	second := r.startEntry("entry-2", "http://"+platform.listener.Addr().String())
	assertEventually(t, "ready", second.isReady)
	t.Run("one version in use, in reach", func(t *testing.T) {
		began := r.beginBrokenAt(first, "i-0")
		assertStatus(t, second.takeUp("u1", began), http.StatusOK)
	})
	t.Run("another version in use, cut off", func(t *testing.T) {
		platform.cut(t)
		r.addVersion(first, "v2")
		began := r.beginBrokenAt(first, "i-1")
		assertStatus(t, second.takeUp("u2", began), http.StatusServiceUnavailable)
		assertExecuted(t, r, "u2", 0)
	})
}

// restartEntry ends an entry, which forgets all, and starts another one in its place.
func (r *gatewayFixture) restartEntry(g *gateway) *gateway {
	r.t.Helper()
	is.New(r.t).NoErr(g.app.Stop(r.t.Context()))
	return r.startReadyEntry()
}

// After the loss of all entries, nobody knew which version had begun a stream, or that there
// had been another one.
func TestGatewayStreamIsTakenUpAtItsVersionAfterLossOfAllEntries(t *testing.T) {
	t.Run("both versions are in use", func(t *testing.T) {
		r := newVersionedFixture(t, "v1", "v2")
		g := r.startReadyEntry()
		for i := range 4 {
			r.setBehaviourOnce(emulator.RunnerAbortsStream)
			is.New(t).True(g.beginBroken(fmt.Sprint("r", i)).err != nil)
		}
		time.Sleep(recordDelay)
		g = r.restartEntry(g)
		for i := range 4 {
			assertTakenUp(t, r, g, fmt.Sprint("r", i))
		}
		assertStatus(t, g.takeUp("u", "unknown"), http.StatusServiceUnavailable)
	})
	t.Run("the version has left", func(t *testing.T) {
		r := newVersionedFixture(t, "v1")
		g := r.startReadyEntry()
		r.setBehaviourOnce(emulator.RunnerAbortsStream)
		is.New(t).True(g.beginBroken("r").err != nil)
		time.Sleep(recordDelay)
		r.registerVersion(r.runners[0], "v2")
		g = r.restartEntry(g)
		assertStatus(t, g.takeUp("u", "r"), http.StatusServiceUnavailable)
	})
	t.Run("one version was in use", func(t *testing.T) {
		r := newVersionedFixture(t, "v1")
		g := r.startReadyEntry()
		r.setBehaviourOnce(emulator.RunnerAbortsStream)
		is.New(t).True(g.beginBroken("r").err != nil)
		time.Sleep(recordDelay)
		g = r.restartEntry(g)
		assertStatus(t, g.takeUp("u", "r"), http.StatusOK)
	})
}
