package starter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/platform"
)

// An upstream must get the request exactly as the caller sent it, without forged
// system headers and with the headers that the system adds. The caller must get
// the answer exactly as the upstream sent it.
func TestGatewayForwardsRequestsAndAnswers(t *testing.T) {
	r := newGatewayFixture(t, 2)
	g := r.startReadyEntry()
	t.Run("call", func(t *testing.T) {
		a := g.call(http.MethodPost, "/hold/7?unit=1%2F2", "h1", "unit=12", func(req *http.Request) {
			req.Header.Set(platform.HeaderOrganisation, "somebody")
			req.Header.Set("Magnoliafront-Hold", "forged")
			req.Header.Set("Magnoliafront-Pin-Ms", "5000")
			req.Header.Set("Kv-From", "10.0.0.1:1/x")
			req.Header.Set("Magnoliafront-Model", "m")
			req.Header.Set("Connection", "close, Magnoliafront-Model, X-Hop")
			req.Header.Set("X-Hop", "1")
			req.Header.Set("X-Other", "2")
		})
		assertStatus(t, a, http.StatusOK)
		is := is.New(t)
		runs := r.executedRequests("h1")
		is.Equal(len(runs), 1)
		h := runs[0].Header
		is.Equal(runs[0].Target, "/hold/7?unit=1%2F2")
		is.Equal(runs[0].Body, "unit=12")
		is.Equal(h.Get(platform.HeaderOrganisation), "guides")
		is.Equal(h.Get("Magnoliafront-Model"), "m")
		is.Equal(h.Get("X-Other"), "2")
		for _, name := range []string{"Authorization", "Magnoliafront-Hold", "Magnoliafront-Pin-Ms", "Kv-From", "X-Hop"} {
			is.Equal(h.Get(name), "")
		}
		is.True(strings.HasSuffix(a.header.Get("Magnoliafront-Response-Signature"), ".h1"))
	})
	t.Run("stream", func(t *testing.T) {
		assertStream(t, g.call(http.MethodPost, "/stream/chat/1", "s1", "hello", nil), "s1", r.runners[0].Events)
	})
	t.Run("cached prefix", func(t *testing.T) {
		a := g.call(http.MethodPost, "/stream/chat/2", "s2", "hello", func(req *http.Request) {
			req.Header.Set("Magnoliafront-Model", "m")
			req.Header.Set("Magnoliafront-Token-Usage", "3000,80")
			req.Header.Set("Magnoliafront-Prompt-Prefix", "aa:800,bb:1200,cc:1000")
			req.Header.Set("Kv-Fetch", "10.0.0.1:1")
		})
		assertStream(t, a, "s2", r.runners[0].Events)
		is := is.New(t)
		for i, run := range r.runners {
			if all := run.Requests(); len(all) > 0 && all[len(all)-1].ID == "s2" {
				is.Equal(all[len(all)-1].Header.Get("Kv-Fetch"), r.runners[1-i].Address())
			}
		}
	})
	t.Run("invalid requests are refused", func(t *testing.T) {
		assertStatus(t, g.call(http.MethodGet, "/nowhere/1", "n1", "", nil), http.StatusNotFound)
		assertStatus(t, g.call(http.MethodGet, "/check/1", "n2", "", func(req *http.Request) {
			req.Header.Set("Authorization", "Bearer wrong")
		}), http.StatusUnauthorized)
		assertStatus(t, g.call(http.MethodGet, "/check/1", "", "", nil), http.StatusBadRequest)
		assertStatus(t, g.call(http.MethodPost, "/hold/1", "n3", strings.Repeat("x", 70_000), nil), http.StatusRequestEntityTooLarge)
	})
}

// Whatever fault an upstream has, a non-idempotent request must not run twice, a
// caller must not get a wrong answer or outcome, and an incomplete answer must not
// look complete.
func TestGatewayUpstreamFaultsKeepGuarantees(t *testing.T) {
	for _, c := range []struct {
		name      string
		behaviour emulator.RunnerBehaviour
		path      string
		status    int
		executed  int
	}{
		{"hold reset", emulator.RunnerResets, "/hold/1", http.StatusBadGateway, 1},
		{"hold refused", emulator.RunnerRefuses, "/hold/1", http.StatusOK, 1},
		{"hold failed", emulator.RunnerFails, "/hold/1", http.StatusInternalServerError, 1},
		{"hold answered with garbage", emulator.RunnerGarbles, "/hold/1", http.StatusBadGateway, 1},
		{"hold answered without a signature", emulator.RunnerUnsigned, "/hold/1", http.StatusBadGateway, 1},
		{"hold answered after an answer to another request", emulator.RunnerPrependsForeign, "/hold/1", http.StatusOK, 1},
		{"hold answered after a refusal of another request", emulator.RunnerRepeatsRefusal, "/hold/1", http.StatusOK, 1},
		{"hold answered after a refusal without an identity", emulator.RunnerRepeatsUnnamedRefusal, "/hold/1", http.StatusBadGateway, 1},
		{"hold answered twice", emulator.RunnerAppendsForeign, "/hold/1", http.StatusOK, 1},
		{"hold refused before its body was read", emulator.RunnerRefusesBeforeBody, "/hold/1", http.StatusOK, 1},
		{"hold answered without a Content-Length", emulator.RunnerOmitsLength, "/hold/1", http.StatusOK, 1},
		{"hold answered in part", emulator.RunnerResetsMidBody, "/hold/1", http.StatusBadGateway, 1},
		{"check reset", emulator.RunnerResets, "/check/1", http.StatusOK, 2},
		{"check failed", emulator.RunnerFails, "/check/1", http.StatusOK, 2},
		{"check not answered", emulator.RunnerSilent, "/check/1", http.StatusOK, 2},
		{"check answered in part", emulator.RunnerResetsMidBody, "/check/1", http.StatusOK, 2},
		{"chat reset", emulator.RunnerResets, "/stream/chat/1", http.StatusOK, 2},
		{"chat cut in the middle of the stream", emulator.RunnerAbortsStream, "/stream/chat/1", http.StatusOK, 2},
		{"chat cut in the middle of a stream with a length", emulator.RunnerAbortsShortStream, "/stream/chat/1", http.StatusOK, 2},
		{"hold answered with a head without an end", emulator.RunnerEndlessHead, "/hold/1", http.StatusBadGateway, 1},
		{"check answered with a head without an end", emulator.RunnerEndlessHead, "/check/1", http.StatusOK, 2},
		{"chat with an event without an end", emulator.RunnerEndlessEvent, "/stream/chat/1", http.StatusOK, 2},
		{"chat that stalls", emulator.RunnerTrickles, "/stream/chat/1", http.StatusOK, 2},
		{"brief reset", emulator.RunnerResets, "/stream/brief/1", http.StatusBadGateway, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newGatewayFixture(t, 3)
			g := r.startReadyEntry()
			r.setBehaviourOnce(c.behaviour)
			a := g.call(http.MethodPost, c.path, "x1", strings.Repeat("b", 30_000), nil)
			assertStatus(t, a, c.status)
			assertExecuted(t, r, "x1", c.executed)
			if c.behaviour == emulator.RunnerTrickles {
				// The caller may get the comments that came before the stall was noticed.
				a.body = strings.ReplaceAll(a.body, emulator.Comment, "")
			}
			if c.status == http.StatusOK && strings.HasPrefix(c.path, "/stream/") {
				assertStream(t, a, "x1", r.runners[0].Events)
			} else if c.status == http.StatusOK {
				is.New(t).True(strings.HasSuffix(a.body, " to x1\n"))
			}
			// The fault must not affect the next request.
			b := g.call(http.MethodPost, "/hold/2", "x2", "", nil)
			assertStatus(t, b, http.StatusOK)
			is.New(t).True(strings.HasSuffix(b.body, " to x2\n"))
		})
	}
	t.Run("chat resumed with an answer that is not a stream", func(t *testing.T) {
		r := newGatewayFixture(t, 2)
		g := r.startReadyEntry()
		r.setBehaviour(emulator.RunnerAppendsForeign)
		r.setBehaviourOnce(emulator.RunnerAbortsStream)
		a := g.call(http.MethodPost, "/stream/chat/1", "x1", "", nil)
		is := is.New(t)
		is.True(a.err != nil)
		is.True(!strings.Contains(a.body, "answer of"))
		assertExecuted(t, r, "x1", 2)
	})
	// The last answer has no framing: its end is that of the connection, so that a
	// closed connection made the part look like the whole.
	for _, c := range []struct {
		name      string
		behaviour emulator.RunnerBehaviour
	}{
		{"by the end of the connection", emulator.RunnerAbortsStream},
		{"by an event without an end", emulator.RunnerEndlessEvent},
		{"by an event without an end, without framing", emulator.RunnerEndlessUnframed},
	} {
		t.Run("brief cut in the middle of the stream "+c.name, func(t *testing.T) {
			r := newGatewayFixture(t, 2)
			g := r.startReadyEntry()
			r.setBehaviour(c.behaviour)
			a := g.call(http.MethodPost, "/stream/brief/1", "x1", "", nil)
			is := is.New(t)
			is.Equal(a.status, http.StatusOK)
			is.True(a.err != nil)
			is.True(strings.HasSuffix(a.body, emulator.Event("x1", r.runners[0].Events/2)))
			assertExecuted(t, r, "x1", 1)
		})
	}
}

// A caller that speaks HTTP/1.0 gets a stream without chunks. A cut stream must not look
// complete to it, as it did since the connection was closed in good order.
func TestGatewayCutStreamIsResetForOldCallers(t *testing.T) {
	for _, c := range []struct {
		name      string
		behaviour emulator.RunnerBehaviour
		complete  bool
	}{
		{"whole stream", emulator.RunnerAnswers, true},
		{"stream that was cut", emulator.RunnerAbortsStream, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newGatewayFixture(t, 1)
			g := r.startReadyEntry()
			r.setBehaviour(c.behaviour)
			is := is.New(t)
			conn, err := net.Dial("tcp", g.callerAddress)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprint(conn, "POST /stream/brief/1 HTTP/1.0\r\nHost: desk.example\r\nAuthorization: Bearer key\r\nMagnoliafront-Request-Id: x1\r\nContent-Length: 0\r\n\r\n")
			is.NoErr(err)
			_, err = io.ReadAll(conn)
			is.Equal(err == nil, c.complete)
		})
	}
}

// No request may fail because the upstream has closed a keep-alive connection.
func TestGatewayClosedKeepAliveConnectionFailsNoRequest(t *testing.T) {
	r := newGatewayFixture(t, 1)
	g := r.startReadyEntry()
	for i := range 20 {
		id := fmt.Sprint("k", i)
		assertStatus(t, g.call(http.MethodPost, "/hold/1", id, "", nil), http.StatusOK)
		assertExecuted(t, r, id, 1)
		if i%2 == 0 {
			r.runners[0].CloseIdle()
		}
	}
}

// A runner at an address that belonged to another runner must not run requests for
// that runner.
func TestGatewayReusedAddressRunsNoForeignRequest(t *testing.T) {
	r := newGatewayFixture(t, 1)
	// The store still lists the former runner i-gone at the address of i-0.
	former := r.runners[0].StoreSpec("desk", "ready")
	r.store.Put("servers", "i-gone", former)
	g := r.startReadyEntry()
	for i := range 10 {
		assertStatus(t, g.call(http.MethodPost, "/hold/1", fmt.Sprint("u", i), "", nil), http.StatusOK)
	}
}

// When a caller disconnects, its request at the upstream must be cancelled.
func TestGatewayDisconnectedCallerCancelsRequest(t *testing.T) {
	r := newGatewayFixture(t, 1)
	g := r.startReadyEntry()
	r.setBehaviour(emulator.RunnerSilent)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for len(r.allRequests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	a := g.call(http.MethodPost, "/hold/1", "g1", "", func(req *http.Request) { *req = *req.WithContext(ctx) })
	is.New(t).True(a.err != nil)
	<-r.allRequests()[0].Cancelled
}

// An entry must follow the store, and during an outage of the store continue with
// the state that it has.
func TestGatewayFollowsStoreAndServesDuringOutage(t *testing.T) {
	served := func(g *gateway, id string) func() bool {
		return func() bool { return g.call(http.MethodGet, "/check/1", id, "", nil).status == http.StatusOK }
	}
	t.Run("new configuration is applied", func(t *testing.T) {
		r := newGatewayFixture(t, 1)
		g := r.startReadyEntry()
		r.configure(func(c map[string]any) {
			c["tenants"] = []any{map[string]any{"name": "guides", "api_keys": []any{"other"}}}
		})
		assertEventually(t, "the old key is refused", func() bool {
			return g.call(http.MethodGet, "/check/1", "c1", "", nil).status == http.StatusUnauthorized
		})
	})
	t.Run("new configuration is applied after a compaction", func(t *testing.T) {
		r := newGatewayFixture(t, 1)
		g := r.startReadyEntry()
		r.store.SetMode(emulator.StoreSilent)
		r.configure(func(c map[string]any) { delete(c, "tenants") })
		r.store.Compact()
		r.store.SetMode(emulator.StoreServing)
		assertEventually(t, "no key is needed", func() bool {
			return g.call(http.MethodGet, "/check/1", "c1", "", func(req *http.Request) { req.Header.Del("Authorization") }).status == http.StatusOK
		})
	})
	t.Run("draining upstream gets no more requests", func(t *testing.T) {
		r := newGatewayFixture(t, 2)
		g := r.startReadyEntry()
		r.store.Put("servers", "i-0", r.runners[0].StoreSpec("desk", "draining"))
		assertEventually(t, "one upstream is left", func() bool { return g.forwarder.State().EligibleCount == 1 })
		before := len(r.runners[0].Requests())
		for i := range 10 {
			is.New(t).True(served(g, fmt.Sprint("l", i))())
		}
		is.New(t).Equal(len(r.runners[0].Requests()), before)
	})
	t.Run("malformed objects are ignored", func(t *testing.T) {
		r := newGatewayFixture(t, 1)
		for i, bad := range []any{"text", 7, map[string]any{"service": 1}, map[string]any{"state": "ready"}, map[string]any{"service": "desk", "address": "x", "state": "odd"}} {
			r.store.Put("servers", fmt.Sprint("bad-", i), bad)
		}
		g := r.startReadyEntry()
		is.New(t).True(served(g, "b1")())
		is.New(t).Equal(g.forwarder.State().EligibleCount, 1)
	})
	t.Run("all pages of a list are read", func(t *testing.T) {
		r := newGatewayFixture(t, 5)
		r.store.PageSize = 2
		g := r.startReadyEntry()
		assertEventually(t, "all upstreams", func() bool { return g.forwarder.State().EligibleCount == 5 })
	})
	for _, mode := range []emulator.StoreMode{emulator.StoreBusy, emulator.StoreThrottling, emulator.StoreResetting, emulator.StoreSilent, emulator.StoreLosingAnswers} {
		t.Run(fmt.Sprint("upstreams deleted during an outage are kept until it ends, mode ", mode), func(t *testing.T) {
			r := newGatewayFixture(t, 2)
			g := r.startReadyEntry()
			r.store.SetMode(mode)
			assertEventually(t, "the outage is noticed", func() bool { return !g.inSync() })
			r.store.Delete("servers", "i-0")
			r.store.Delete("servers", "i-1")
			is.New(t).True(served(g, "o1")())
			r.store.SetMode(emulator.StoreServing)
			assertEventually(t, "the end of the outage is noticed", g.inSync)
			is.New(t).True(served(g, "o2")())
			assertEventually(t, "the deleted upstreams are dropped", func() bool { return g.forwarder.State().EligibleCount == 0 })
		})
	}
}

// An entry that the store refuses must get the configuration and the upstreams
// from another entry.
func TestGatewayWithoutStoreLearnsFromPeer(t *testing.T) {
	r := newGatewayFixture(t, 1)
	refusing := emulator.NewObjectStore()
	refusing.SetMode(emulator.StoreBusy)
	t.Cleanup(refusing.Stop)
	first := r.startReadyEntry()
	second := r.startEntry("entry-2", r.serveStore(refusing).URL, first.peerAddress)
	t.Run("entry becomes ready", func(t *testing.T) {
		assertEventually(t, "ready", second.isReady)
		assertStatus(t, second.call(http.MethodPost, "/hold/1", "n1", "", nil), http.StatusOK)
	})
	t.Run("removed key is refused", func(t *testing.T) {
		r.configure(func(c map[string]any) {
			c["tenants"] = []any{map[string]any{"name": "guides", "api_keys": []any{"other"}}}
		})
		assertEventually(t, "the old key is refused", func() bool {
			return second.call(http.MethodGet, "/check/1", "n2", "", nil).status == http.StatusUnauthorized
		})
	})
}

// An entry must know the requests that other entries have in flight, and when they
// have ended.
func TestGatewaySharesLoadWithPeers(t *testing.T) {
	r := newGatewayFixture(t, 1)
	first := r.startReadyEntry()
	second := r.startEntry("entry-2", r.storeURL, first.peerAddress)
	assertEventually(t, "ready", second.isReady)
	r.runners[0].Release = make(chan struct{})
	answers := make(chan answer)
	go func() { answers <- first.call(http.MethodPost, "/hold/1", "b1", "", nil) }()
	assertEventually(t, "the second entry knows of the request", func() bool { return second.forwarder.State().SharedRuns == 1 })
	close(r.runners[0].Release)
	assertStatus(t, <-answers, http.StatusOK)
	assertEventually(t, "the second entry knows of its end", func() bool { return second.forwarder.State().SharedRuns == 0 })
}

// Entries that cannot reach the store must not consider themselves in sync because
// of each other: in incident ae70 of driftline-ops, each entry confirmed to the
// others that they were in sync while the state of all was stale.
func TestGatewayPeersWithoutStoreAreOutOfSync(t *testing.T) {
	r := newGatewayFixture(t, 1)
	first := r.startReadyEntry()
	second := r.startEntry("entry-2", r.storeURL, first.peerAddress)
	assertEventually(t, "ready", second.isReady)
	assertEventually(t, "the entries know each other", func() bool {
		return first.peering.syncer.Members()["entry-2"] != "" && second.peering.syncer.Members()["entry-1"] != ""
	})
	assertEventually(t, "both entries are in sync", func() bool { return first.inSync() && second.inSync() })
	r.store.SetMode(emulator.StoreBusy)
	// After 150 failed calls, both entries have noticed the outage and have asked
	// each other often.
	const calls = 150
	before := r.store.Requests()
	assertEventually(t, "many failed calls", func() bool { return r.store.Requests() > before+calls })
	is := is.New(t)
	is.True(!first.inSync())
	is.True(!second.inSync())
}

// An entry must announce itself in the store, through which the entries find each
// other, and withdraw when it stops.
func TestGatewayAnnouncesItselfUntilStop(t *testing.T) {
	r := newGatewayFixture(t, 1)
	g := r.startReadyEntry()
	assertEventually(t, "announced", func() bool { return len(r.store.List(platform.KindEntries)) == 1 })
	is.New(t).NoErr(g.app.Stop(context.Background()))
	is.New(t).Equal(len(r.store.List(platform.KindEntries)), 0)
}

// A graceful stop must cut off no request, also on connections that were idle when
// it began.
func TestGatewayGracefulStopFinishesRequests(t *testing.T) {
	r := newGatewayFixture(t, 1)
	r.noticePeriod = "2s"
	g := r.startReadyEntry()
	r.runners[0].Release = make(chan struct{})
	idle, err := net.Dial("tcp", g.callerAddress)
	is.New(t).NoErr(err)
	defer func() { _ = idle.Close() }()
	answers := make(chan answer)
	go func() { answers <- g.call(http.MethodPost, "/hold/1", "t1", "", nil) }()
	assertEventually(t, "in flight", func() bool { return len(r.allRequests()) == 1 })
	stopped := make(chan error)
	go func() { stopped <- g.app.Stop(context.Background()) }()
	assertEventually(t, "not ready", func() bool { return !g.isReady() })
	close(r.runners[0].Release)
	assertStatus(t, <-answers, http.StatusOK)
	t.Run("request on an open connection", func(t *testing.T) {
		assertLastAnswer(t, idle, "t2", http.StatusOK)
	})
	is.New(t).NoErr(<-stopped)
}

// A request that arrives after the notice period must be refused unless its deadline
// shows that it ends before the exit, because an entry that accepts it cannot always
// finish it. In the replay fresh-cafb of
// rempah-router-grown, a request arrived 3.02 s after SIGTERM and was cut off
// 4.3 s later.
func TestGatewayRefusesRequestsAfterNoticePeriod(t *testing.T) {
	r := newGatewayFixture(t, 1)
	g := r.startReadyEntry()
	r.runners[0].Release = make(chan struct{})
	var once sync.Once
	release := func() { once.Do(func() { close(r.runners[0].Release) }) }
	defer release()
	unused, err := net.Dial("tcp", g.callerAddress)
	is.New(t).NoErr(err)
	defer func() { _ = unused.Close() }()
	answers := make(chan answer)
	go func() { answers <- g.call(http.MethodPost, "/hold/1", "t1", "", nil) }()
	assertEventually(t, "in flight", func() bool { return len(r.allRequests()) == 1 })
	stopped := make(chan error)
	go func() { stopped <- g.app.Stop(context.Background()) }()
	assertEventually(t, "requests are refused", func() bool {
		return g.call(http.MethodPost, "/nowhere/1", "t3", "", nil).status == http.StatusServiceUnavailable
	})
	assertLastAnswer(t, unused, "t2", http.StatusServiceUnavailable)
	assertExecuted(t, r, "t2", 0)
	release()
	assertStatus(t, <-answers, http.StatusOK)
	is.New(t).NoErr(<-stopped)
}

// assertLastAnswer sends a request on a connection and checks the status of the
// answer and that the answer closes the connection.
func assertLastAnswer(t *testing.T, conn net.Conn, id string, status int) {
	t.Helper()
	is := is.New(t)
	_, err := fmt.Fprintf(conn, "POST /hold/2 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key\r\nMagnoliafront-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, status)
	is.True(resp.Close)
}

// inSync reports whether the entry considers itself in sync with the store. If it
// does not, it answers 503 instead of 404 on an unknown route, because its
// configuration may be out of date.
func (g *gateway) inSync() bool {
	a := g.call(http.MethodGet, "/nowhere/1", "sync", "", nil)
	return a.status == http.StatusNotFound
}
