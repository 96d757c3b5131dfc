package router_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/claimer"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/responder"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// A call with an idempotency key must be executed at most once. Its outcome may be
// not_run only if it was not executed.
func TestCallWithKeyRunsAtMostOnce(t *testing.T) {
	t.Run("concurrent calls through two entries: one runs, one conflicts", func(t *testing.T) {
		r := newTestRig(t)
		r.startAgent("")
		one, two := r.startEntry("entry-1", nil), r.startEntry("entry-2", nil)
		a, b := r.post(one, "k", body), r.post(two, "k", body)
		granted, refused := r.awaitReply(a), r.awaitReply(b)
		if granted.Failure != nil {
			granted, refused = refused, granted
		}
		r.assertResponse(granted, false)
		r.assertFailed(refused, http.StatusConflict, admitter.OutcomeUnknown)
		r.assertRuns(1)
	})
	t.Run("repeated after completion: the answer is replayed by each entry", func(t *testing.T) {
		r := newTestRig(t)
		r.startAgent("")
		one, two := r.startEntry("entry-1", nil), r.startEntry("entry-2", nil)
		r.assertResponse(r.awaitReply(r.post(one, "k", body)), false)
		r.awaitClaimState("finished")
		r.assertResponse(r.awaitReply(r.post(one, "k", body)), true)
		r.assertResponse(r.awaitReply(r.post(two, "k", body)), true)
		r.assertRuns(1)
	})
	t.Run("key used with another body: unprocessable and not run", func(t *testing.T) {
		r := newTestRig(t)
		r.startAgent("")
		e := r.startEntry("entry-1", nil)
		r.assertResponse(r.awaitReply(r.post(e, "k", body)), false)
		r.assertFailed(r.awaitReply(r.post(e, "k", "unit 13")), http.StatusUnprocessableEntity, admitter.OutcomeNotRun)
		r.is.Equal(r.service.Runs(http.MethodPost, path, "unit 13"), 0)
	})
	t.Run("entry stops during the run: conflict at another entry", func(t *testing.T) {
		r := newTestRig(t)
		executed, release := r.blockService()
		r.startAgent("")
		one, two := r.startEntry("entry-1", nil), r.startEntry("entry-2", nil)
		replies := r.post(one, "k", body)
		r.awaitSignal(executed)
		one.router.Stop()
		one.claimer.Stop()
		r.assertFailed(r.awaitReply(r.post(two, "k", body)), http.StatusConflict, admitter.OutcomeUnknown)
		close(release)
		r.assertRuns(1)
		_, ok := replies.TryTake()
		r.is.True(!ok)
	})
	t.Run("caller disconnects during the run: the answer is replayed later", func(t *testing.T) {
		r := newTestRig(t)
		executed, release := r.blockService()
		r.startAgent("")
		e := r.startEntry("entry-1", nil)
		r.post(e, "k", body)
		r.awaitSignal(executed)
		e.router.Abandon("request-1")
		close(release)
		r.awaitClaimState("finished")
		r.assertResponse(r.awaitReply(r.post(e, "k", body)), true)
		r.assertRuns(1)
	})
}

// The platform may be down, and may lose writes or their responses, at any time.
func TestPlatformFaultsNeverRunCallTwice(t *testing.T) {
	t.Run("response to the claim is lost: the call runs", func(t *testing.T) {
		r := newTestRig(t)
		r.startAgent("")
		e := r.startEntry("entry-1", nil)
		r.store.loseResponses.Store(1)
		r.assertResponse(r.awaitReply(r.post(e, "k", body)), false)
		r.assertFailed(r.awaitReply(r.post(r.startEntry("entry-2", nil), "k", body)), http.StatusConflict, admitter.OutcomeUnknown)
		r.assertRuns(1)
	})
	t.Run("claim is lost before it takes effect: it is written again", func(t *testing.T) {
		r := newTestRig(t)
		r.startAgent("")
		e := r.startEntry("entry-1", nil)
		r.store.reads = make(chan struct{}, 16)
		r.store.dropWrites.Store(1)
		replies := r.post(e, "k", body)
		r.awaitSignal(r.store.reads)
		r.clock.Advance(claimer.MinWriteInterval)
		r.assertResponse(r.awaitReply(replies), false)
		r.assertRuns(1)
	})
	t.Run("platform is down: not run, and the key stays free", func(t *testing.T) {
		r := newTestRig(t)
		r.startAgent("")
		e := r.startEntry("entry-1", nil)
		r.store.down.Store(true)
		replies := r.post(e, "k", body)
		r.clock.Advance(2 * time.Second)
		r.assertFailed(r.awaitReply(replies), http.StatusServiceUnavailable, admitter.OutcomeNotRun)
		r.store.down.Store(false)
		r.assertResponse(r.awaitReply(r.post(r.startEntry("entry-2", nil), "k", body)), false)
		r.assertRuns(1)
	})
}

// Agents may fail, refuse calls, or lose their upstreams.
func TestAgentFaultsNeverRunCallTwice(t *testing.T) {
	t.Run("agent fails during the run: unknown outcome and the key stays claimed", func(t *testing.T) {
		r := newTestRig(t)
		executed, release := r.blockService()
		failing := r.startAgent("")
		otherExecuted, otherRelease := r.blockService()
		other := r.startAgent("")
		e := r.startEntry("entry-1", nil)
		replies := r.post(e, "k", body)
		select {
		case <-executed:
		case <-otherExecuted:
			failing = other
		}
		failing.stop()
		r.assertFailed(r.awaitReply(replies), http.StatusBadGateway, admitter.OutcomeUnknown)
		r.assertFailed(r.awaitReply(r.post(e, "k", body)), http.StatusConflict, admitter.OutcomeUnknown)
		close(release)
		close(otherRelease)
		r.assertRuns(1)
	})
	// The withdrawal of a record must stop new requests only. A request in flight at
	// the withdrawal once got no reply.
	t.Run("record is withdrawn during the run: the call completes", func(t *testing.T) {
		r := newTestRig(t)
		executed, release := r.blockService()
		r.startAgent("")
		e := r.startEntry("entry-1", nil)
		replies := r.post(e, "k", body)
		r.awaitSignal(executed)
		without, err := compiler.Compile(2, r.records[:2])
		r.is.NoErr(err)
		e.router.Apply(without)
		close(release)
		r.assertResponse(r.awaitReply(replies), false)
		r.assertRuns(1)
	})
	t.Run("all agents refuse: not run, and the key is released", func(t *testing.T) {
		r := newTestRig(t)
		a := r.startAgent("")
		e := r.startEntry("entry-1", nil)
		a.executor.Leave()
		r.assertFailed(r.awaitReply(r.post(e, "k", body)), http.StatusServiceUnavailable, admitter.OutcomeNotRun)
		r.awaitClaimState("released")
		r.agents, r.records = nil, r.records[:2]
		r.startAgent("")
		r.assertResponse(r.awaitReply(r.post(r.startEntry("entry-2", nil), "k", body)), false)
		r.assertRuns(1)
	})
	t.Run("service is unreachable: not run", func(t *testing.T) {
		r := newTestRig(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		r.is.NoErr(err)
		r.is.NoErr(l.Close())
		r.startAgent("http://" + l.Addr().String())
		r.assertFailed(r.awaitReply(r.post(r.startEntry("entry-1", nil), "k", body)), http.StatusServiceUnavailable, admitter.OutcomeNotRun)
	})
	// A part of a response was stored as the answer of the key, and replayed.
	t.Run("service is killed within an unframed response: unknown outcome and the key stays claimed", func(t *testing.T) {
		r := newTestRig(t)
		url, killed := startServiceKilledInResponse(t)
		r.startAgent(url)
		e := r.startEntry("entry-1", nil)
		replies := r.post(e, "k", body)
		r.awaitSignal(killed)
		r.advanceUntilReply(replies)
		r.assertFailed(r.awaitReply(replies), http.StatusBadGateway, admitter.OutcomeUnknown)
		r.assertFailed(r.awaitReply(r.post(e, "k", body)), http.StatusConflict, admitter.OutcomeUnknown)
	})
	// net/http retries a request with an Idempotency-Key header when a reused
	// connection breaks.
	t.Run("service closes a reused connection after the run: unknown outcome and no retry", func(t *testing.T) {
		r := newTestRig(t)
		reused := false
		r.wrapService = func(h http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				h.ServeHTTP(w, q)
				if reused {
					panic(http.ErrAbortHandler)
				}
				reused = true
			})
		}
		r.startAgent("")
		e := r.startEntry("entry-1", nil)
		r.assertResponse(r.awaitReply(r.post(e, "k0", "unit 1")), false)
		r.assertFailed(r.awaitReply(r.post(e, "k", body)), http.StatusBadGateway, admitter.OutcomeUnknown)
		r.assertRuns(1)
	})
}

// startServiceKilledInResponse starts a service that begins a response without a length or
// chunks and closes its sockets, as the kernel does for a process that is killed. It returns
// its URL and a channel that is closed when it has begun.
func startServiceKilledInResponse(t *testing.T) (string, <-chan struct{}) {
	t.Helper()
	killed := make(chan struct{})
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = w.Write([]byte("hold"))
		_ = s.Listener.Close()
		close(killed)
	}))
	t.Cleanup(s.Close)
	return s.URL, killed
}

// advanceUntilReply advances the clock, for which the agent waits between two looks at its
// service, until a reply has arrived.
func (r *testRig) advanceUntilReply(replies *responder.Ring) {
	r.t.Helper()
	for start := time.Now(); replies.Stats().Depth == 0; time.Sleep(time.Millisecond) {
		r.clock.Advance(time.Millisecond)
		if time.Since(start) > waitTimeout {
			r.t.Fatalf("no reply within %v", waitTimeout)
		}
	}
}

// Entries forward claims to the preferred writer of the shard. An entry that cannot
// reach it writes the claim itself.
func TestClaimsAreForwardedToPreferredWriter(t *testing.T) {
	r := newTestRig(t)
	r.startAgent("")
	writer := r.startEntry("entry-2", nil)
	a, err := acceptor.New("127.0.0.1:0", messenger.Options{
		Self: messenger.Peer{Role: messenger.RoleEntry, Identity: "entry-2"}, Secret: []byte(secret),
	}, acceptor.Routes{messenger.MethodClaim: writer.claimer.Handle})
	r.is.NoErr(err)
	peers := []claimer.Peer{{Identity: "entry-2", Address: a.Address()}}
	// The platform is down for this entry alone, so that only the preferred writer
	// can have written the claim.
	r.store = &faultyStore{Store: r.platform}
	r.store.down.Store(true)
	e := r.startEntry("entry-1", func() []claimer.Peer { return peers })
	r.awaitEvent(tracer.KindMemberJoined, "claim_writer entry-2")
	keys := r.keysWrittenBy("entry-2", 2)
	r.assertResponse(r.awaitReply(r.post(e, keys[0], body)), false)
	r.store.down.Store(false)
	a.Stop()
	r.awaitEvent(tracer.KindMemberGone, "claim_writer entry-2")
	r.assertResponse(r.awaitReply(r.post(e, keys[1], "unit 13")), false)
	r.assertResponse(r.awaitReply(r.post(e, keys[0], body)), true)
	r.assertRuns(1)
}

// keysWrittenBy returns n keys of different shards whose preferred writer is the
// entry with the given name.
func (r *testRig) keysWrittenBy(name string, n int) []string {
	seen := map[int]bool{}
	var keys []string
	for i := 0; len(keys) < n; i++ {
		key := strconv.Itoa(i)
		shard := claimer.ShardOf(claimer.HashKey("notch-guides", key))
		if !seen[shard] && picker.Subset("claims/"+strconv.Itoa(shard), []string{"entry-1", "entry-2"}, 1)[0] == name {
			seen[shard] = true
			keys = append(keys, key)
		}
	}
	return keys
}

// blockService makes the service of agents started later send to executed after it
// has executed a call, and delay the response until release is closed.
func (r *testRig) blockService() (executed, release chan struct{}) {
	executed, release = make(chan struct{}, 16), make(chan struct{})
	r.wrapService = func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			h.ServeHTTP(w, q)
			executed <- struct{}{}
			<-release
		})
	}
	return executed, release
}
