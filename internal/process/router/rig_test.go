package router_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/claimer"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/executor"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/router"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/responder"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	secret = "secret-of-the-tests"
	path   = "/holds"
	body   = "unit 12"
	// waitTimeout is the maximum wait for other goroutines. A test fails when it is
	// reached.
	waitTimeout = 30 * time.Second
)

// testRig is a plain service with agents, and entries connected to them. Only the
// test advances the clock.
type testRig struct {
	is       *is.I
	t        *testing.T
	clock    *timer.Manual
	recorder *recorder.Recorder
	events   chan tracer.Event
	platform *emulator.Platform
	store    *faultyStore
	service  *emulator.Service
	// wrapService wraps the handler of the service for agents started later.
	wrapService  func(http.Handler) http.Handler
	records      []descriptor.Record
	agents       []*agent
	requestCount int
}

type agent struct {
	executor *executor.Executor
	stop     func()
}

type entry struct {
	router  *router.Router
	claimer *claimer.Claimer
}

func newTestRig(t *testing.T) *testRig {
	t.Helper()
	sum := sha256.Sum256([]byte("key"))
	r := &testRig{
		is: is.New(t), t: t, clock: timer.NewManual(time.Unix(1_800_000_000, 0)),
		platform: emulator.NewPlatform(), service: emulator.NewService(),
		wrapService: func(h http.Handler) http.Handler { return h },
		records: []descriptor.Record{
			{Kind: descriptor.KindClass, Name: "hold", Class: &descriptor.Class{Tier: 1}},
			{Kind: descriptor.KindOrganisation, Name: "notch-guides", Organisation: &descriptor.Organisation{
				KeyHashes: []string{hex.EncodeToString(sum[:])}, DefaultClass: "hold",
			}},
		},
	}
	r.events = make(chan tracer.Event, 1024)
	r.recorder = recorder.New(recorder.Options{Process: "test", Clock: r.clock, MaxEvents: 64, Observe: func(e tracer.Event) { r.events <- e }})
	r.store = &faultyStore{Store: r.platform}
	t.Cleanup(r.recorder.Stop)
	t.Cleanup(r.platform.Stop)
	t.Cleanup(r.service.Stop)
	return r
}

// startAgent starts an agent of the upstream at url, or of the service of the rig
// if url is empty.
func (r *testRig) startAgent(url string) *agent {
	if url == "" {
		s := httptest.NewServer(r.wrapService(r.service))
		r.t.Cleanup(s.Close)
		url = s.URL
	}
	name := fmt.Sprintf("booking-%d", len(r.agents)+1)
	x := executor.New(executor.Options{Upstream: name, URL: url, Client: &http.Client{}, Clock: r.clock, Recorder: r.recorder})
	a, err := acceptor.New("127.0.0.1:0", messenger.Options{
		Self: messenger.Peer{Role: messenger.RoleAgent, Identity: name}, Secret: []byte(secret),
	}, acceptor.Routes{"": x.Handle, messenger.MethodSubmit: x.Handle, messenger.MethodCancel: x.Handle, messenger.MethodNotice: x.Handle})
	r.is.NoErr(err)
	started := &agent{executor: x, stop: sync.OnceFunc(a.Stop)}
	r.t.Cleanup(started.stop)
	r.t.Cleanup(x.Stop)
	r.records = append(r.records, descriptor.Record{Kind: descriptor.KindUpstream, Name: name, Upstream: &descriptor.Upstream{
		Service: "booking", Type: descriptor.TypeService, Address: a.Address(), Slots: 4,
	}})
	r.agents = append(r.agents, started)
	return started
}

// startEntry starts an entry and waits until it is ready.
func (r *testRig) startEntry(name string, peers func() []claimer.Peer) *entry {
	snapshot, err := compiler.Compile(1, r.records)
	r.is.NoErr(err)
	for _, a := range r.agents {
		a.executor.Apply(snapshot)
	}
	self := messenger.Peer{Role: messenger.RoleEntry, Identity: name}
	c := claimer.New(claimer.Options{Self: self, Secret: []byte(secret), Store: r.store, Clock: r.clock, Recorder: r.recorder, Peers: peers})
	e := &entry{claimer: c, router: router.New(router.Options{
		Self: self, Secret: []byte(secret), Clock: r.clock, Recorder: r.recorder, Seed: 1, Claimer: c,
	})}
	r.t.Cleanup(c.Stop)
	r.t.Cleanup(e.router.Stop)
	e.router.Apply(snapshot)
	r.awaitSignal(e.router.Ready())
	return e
}

// awaitEvent waits for a trace event with the given kind and reason.
func (r *testRig) awaitEvent(kind tracer.Kind, reason string) {
	r.t.Helper()
	for {
		select {
		case e := <-r.events:
			if e.Kind == kind && e.Reason == reason {
				return
			}
		case <-time.After(waitTimeout):
			r.t.Fatalf("no event of kind %q with reason %q within %v", kind, reason, waitTimeout)
		}
	}
}

// awaitSignal waits until c is closed or carries a value.
func (r *testRig) awaitSignal(c <-chan struct{}) {
	r.t.Helper()
	select {
	case <-c:
	case <-time.After(waitTimeout):
		r.t.Fatalf("no signal within %v", waitTimeout)
	}
}

// post submits a call with an idempotency key and returns its replies.
func (r *testRig) post(e *entry, key, content string) *responder.Ring {
	r.requestCount++
	replies := responder.NewRing()
	r.is.True(e.router.Submit(r.t.Context(), router.Job{Replies: replies, Request: admitter.Request{
		ID: fmt.Sprintf("request-%d", r.requestCount), Received: r.clock.Now(), APIKey: "key", IdempotencyKey: key, Service: "booking", ContentDigest: content,
		Call: &messenger.Call{Method: http.MethodPost, Path: path, Body: []byte(content), Header: map[string][]string{"Idempotency-Key": {key}}},
	}}))
	return replies
}

// awaitReply returns the next reply.
func (r *testRig) awaitReply(replies *responder.Ring) responder.Reply {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), waitTimeout)
	defer cancel()
	reply, ok := replies.Take(ctx)
	r.is.True(ok) // a reply arrived
	return reply
}

// assertFailed checks that the request failed. With the outcome not_run, except
// for a key mismatch, the service must not have executed the body either.
func (r *testRig) assertFailed(reply responder.Reply, status int, outcome admitter.Outcome) {
	r.t.Helper()
	r.is.True(reply.Failure != nil)
	r.is.Equal(reply.Failure.Status, status)
	r.is.Equal(reply.Failure.Outcome, outcome)
	if outcome == admitter.OutcomeNotRun && status != http.StatusUnprocessableEntity {
		r.assertRuns(0)
	}
	if status == http.StatusServiceUnavailable {
		r.is.True(reply.Failure.RetryAfter > 0)
	}
}

// assertResponse checks that the reply is a response of the service, and that the
// service has executed its body once, as the response says.
func (r *testRig) assertResponse(reply responder.Reply, replayed bool) {
	r.t.Helper()
	r.is.Equal(reply.Kind, responder.KindResponse)
	r.is.Equal(reply.Replayed, replayed)
	r.is.True(strings.HasSuffix(string(reply.Response.Body), "\"runs\":1}\n"))
}

// assertRuns checks how often the service executed the body.
func (r *testRig) assertRuns(n int) {
	r.t.Helper()
	r.is.Equal(r.service.Runs(http.MethodPost, path, body), n)
}

// awaitClaimState advances the clock so that the claimers write their pending
// batch, and waits until a claim in the platform has the given state.
func (r *testRig) awaitClaimState(state string) {
	r.t.Helper()
	r.clock.Advance(claimer.MinWriteInterval)
	for key := int64(-1); ; {
		o, err := r.platform.Watch(r.t.Context(), r.segmentKey(), key)
		r.is.NoErr(err)
		if strings.Contains(string(o.Value), `"state":"`+state+`"`) {
			return
		}
		key = o.Version
	}
}

// segmentKey returns the object key of the only segment in the shard of the
// idempotency key k.
func (r *testRig) segmentKey() string {
	return fmt.Sprintf("claims/%d/%012d", claimer.ShardOf(claimer.HashKey("notch-guides", "k")), 1)
}

// faultyStore is a platform that can be down and lose writes or their responses.
type faultyStore struct {
	accessor.Store
	down atomic.Bool
	// loseResponses is the number of writes that take effect but whose responses
	// are lost, and dropWrites the number of writes that are lost before they take
	// effect.
	loseResponses atomic.Int32
	dropWrites    atomic.Int32
	// reads receives a value for each read unless it is nil. A test waits for it to
	// see the read that follows a lost write.
	reads chan struct{}
}

func (f *faultyStore) err(kind accessor.ErrorKind) error {
	return &accessor.Error{Op: "test", Kind: kind, Err: context.DeadlineExceeded}
}

func (f *faultyStore) List(ctx context.Context, prefix string) ([]accessor.Object, error) {
	if f.down.Load() {
		return nil, f.err(accessor.ErrorUnavailable)
	}
	return f.Store.List(ctx, prefix)
}

func (f *faultyStore) Get(ctx context.Context, key string) (accessor.Object, error) {
	if f.down.Load() {
		return accessor.Object{}, f.err(accessor.ErrorUnavailable)
	}
	o, err := f.Store.Get(ctx, key)
	if f.reads != nil {
		f.reads <- struct{}{}
	}
	return o, err
}

func (f *faultyStore) Put(ctx context.Context, key string, value []byte, expect int64) (accessor.Object, error) {
	if f.down.Load() {
		return accessor.Object{}, f.err(accessor.ErrorUnavailable)
	}
	if f.dropWrites.Add(-1) >= 0 {
		return accessor.Object{}, f.err(accessor.ErrorOutcomeUnknown)
	}
	o, err := f.Store.Put(ctx, key, value, expect)
	if f.loseResponses.Add(-1) >= 0 {
		return accessor.Object{}, f.err(accessor.ErrorOutcomeUnknown)
	}
	return o, err
}
