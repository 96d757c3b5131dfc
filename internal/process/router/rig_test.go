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
	// patience bounds a wait for other goroutines; reaching it is a failure.
	patience = 30 * time.Second
)

// rig is a plain service with its agents, and entries before them, on a clock
// that moves only by the test.
type rig struct {
	is       *is.I
	t        *testing.T
	clock    *timer.Manual
	recorder *recorder.Recorder
	events   chan tracer.Event
	platform *emulator.Platform
	store    *faulty
	service  *emulator.Service
	// around wraps the service of all agents that start later.
	around  func(http.Handler) http.Handler
	records []descriptor.Record
	agents  []*agent
	ids     int
}

type agent struct {
	executor *executor.Executor
	stop     func()
}

type entry struct {
	router  *router.Router
	claimer *claimer.Claimer
}

func newRig(t *testing.T) *rig {
	t.Helper()
	sum := sha256.Sum256([]byte("key"))
	r := &rig{
		is: is.New(t), t: t, clock: timer.NewManual(time.Unix(1_800_000_000, 0)),
		platform: emulator.NewPlatform(), service: emulator.NewService(),
		around: func(h http.Handler) http.Handler { return h },
		records: []descriptor.Record{
			{Kind: descriptor.KindClass, Name: "hold", Class: &descriptor.Class{Tier: 1}},
			{Kind: descriptor.KindOrganisation, Name: "notch-guides", Organisation: &descriptor.Organisation{
				KeyHashes: []string{hex.EncodeToString(sum[:])}, DefaultClass: "hold",
			}},
		},
	}
	r.events = make(chan tracer.Event, 1024)
	r.recorder = recorder.New(recorder.Options{Process: "test", Clock: r.clock, MaxEvents: 64, Observe: func(e tracer.Event) { r.events <- e }})
	r.store = &faulty{Store: r.platform}
	t.Cleanup(r.recorder.Stop)
	t.Cleanup(r.platform.Stop)
	t.Cleanup(r.service.Stop)
	return r
}

// startAgent starts an agent beside the upstream at url, or beside the service
// of the rig if url is empty.
func (r *rig) startAgent(url string) *agent {
	if url == "" {
		s := httptest.NewServer(r.around(r.service))
		r.t.Cleanup(s.Close)
		url = s.URL
	}
	name := fmt.Sprintf("booking-%d", len(r.agents)+1)
	x := executor.New(executor.Options{Upstream: name, URL: url, Client: &http.Client{}, Clock: r.clock, Recorder: r.recorder})
	a, err := acceptor.New("127.0.0.1:0", messenger.Options{
		Self: messenger.Peer{Role: messenger.RoleAgent, Identity: name}, Secret: []byte(secret),
	}, acceptor.Routes{"": x.Handle, messenger.MethodSubmit: x.Handle, messenger.MethodCancel: x.Handle, messenger.MethodNotice: x.Handle})
	r.is.NoErr(err)
	ag := &agent{executor: x, stop: sync.OnceFunc(a.Stop)}
	r.t.Cleanup(ag.stop)
	r.t.Cleanup(x.Stop)
	r.records = append(r.records, descriptor.Record{Kind: descriptor.KindUpstream, Name: name, Upstream: &descriptor.Upstream{
		Service: "booking", Type: descriptor.TypeService, Address: a.Address(), Slots: 4,
	}})
	r.agents = append(r.agents, ag)
	return ag
}

// startEntry starts an entry and waits until it is connected to an agent.
func (r *rig) startEntry(name string, peers func() []claimer.Peer) *entry {
	snapshot, err := compiler.Compile(1, r.records)
	r.is.NoErr(err)
	for _, a := range r.agents {
		a.executor.Apply(snapshot)
	}
	self := messenger.Peer{Role: messenger.RoleEntry, Identity: name}
	c := claimer.New(claimer.Options{Self: self, Secret: []byte(secret), Store: r.store, Clock: r.clock, Recorder: r.recorder, Peers: peers})
	e := &entry{claimer: c, router: router.New(router.Options{
		Self: self, Secret: []byte(secret), Clock: r.clock, Recorder: r.recorder, Seed: 1, Claims: c,
	})}
	r.t.Cleanup(c.Stop)
	r.t.Cleanup(e.router.Stop)
	e.router.Apply(snapshot)
	r.wait(e.router.Ready())
	return e
}

// await waits for an event with the given kind and reason.
func (r *rig) await(kind tracer.Kind, reason string) {
	r.t.Helper()
	for {
		select {
		case e := <-r.events:
			if e.Kind == kind && e.Reason == reason {
				return
			}
		case <-time.After(patience):
			r.t.Fatalf("no event %s %s", kind, reason)
		}
	}
}

func (r *rig) wait(c <-chan struct{}) {
	r.t.Helper()
	select {
	case <-c:
	case <-time.After(patience):
		r.t.Fatal("nothing happened in time")
	}
}

// post submits a call with an idempotency key.
func (r *rig) post(e *entry, key, content string) *responder.Ring {
	r.ids++
	replies := responder.NewRing()
	r.is.True(e.router.Submit(r.t.Context(), router.Job{Replies: replies, Request: admitter.Request{
		ID: fmt.Sprintf("request-%d", r.ids), Received: r.clock.Now(), APIKey: "key", IdempotencyKey: key, Service: "booking", ContentDigest: content,
		Call: &messenger.Call{Method: http.MethodPost, Path: path, Body: []byte(content), Header: map[string][]string{"Idempotency-Key": {key}}},
	}}))
	return replies
}

func (r *rig) take(replies *responder.Ring) responder.Reply {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), patience)
	defer cancel()
	reply, ok := replies.Take(ctx)
	r.is.True(ok) // a reply came
	return reply
}

// assertFailed checks a failure. One that says not_run needs a count of zero.
func (r *rig) assertFailed(reply responder.Reply, status int, outcome admitter.Outcome) {
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

// assertRan checks an answer, which tells the number of runs of its body.
func (r *rig) assertRan(reply responder.Reply, replayed bool) {
	r.t.Helper()
	r.is.Equal(reply.Kind, responder.KindResponse)
	r.is.Equal(reply.Replayed, replayed)
	r.is.True(strings.HasSuffix(string(reply.Response.Body), "\"runs\":1}\n"))
}

func (r *rig) assertRuns(n int) {
	r.t.Helper()
	r.is.Equal(r.service.Runs(http.MethodPost, path, body), n)
}

// settle lets the claimers write what waits for the next batch and waits until
// a claim in the platform has the given state.
func (r *rig) settle(state string) {
	r.t.Helper()
	r.clock.Advance(claimer.WriteGap)
	for key := int64(-1); ; {
		o, err := r.platform.Watch(r.t.Context(), r.segment(), key)
		r.is.NoErr(err)
		if strings.Contains(string(o.Value), `"state":"`+state+`"`) {
			return
		}
		key = o.Version
	}
}

// segment returns the key of the only segment of the shard of the key k.
func (r *rig) segment() string {
	return fmt.Sprintf("claims/%d/%012d", claimer.ShardOf(claimer.HashKey("notch-guides", "k")), 1)
}

// faulty is a platform whose answers can be lost.
type faulty struct {
	accessor.Store
	down atomic.Bool
	// lose is the number of writes whose answers are lost after they took
	// effect, and drop that of writes that are lost before.
	lose atomic.Int32
	drop atomic.Int32
	// read gets a value for each read after a lost write.
	read chan struct{}
}

func (f *faulty) err(kind accessor.ErrorKind) error {
	return &accessor.Error{Op: "test", Kind: kind, Err: context.DeadlineExceeded}
}

func (f *faulty) List(ctx context.Context, prefix string) ([]accessor.Object, error) {
	if f.down.Load() {
		return nil, f.err(accessor.ErrorUnavailable)
	}
	return f.Store.List(ctx, prefix)
}

func (f *faulty) Get(ctx context.Context, key string) (accessor.Object, error) {
	if f.down.Load() {
		return accessor.Object{}, f.err(accessor.ErrorUnavailable)
	}
	o, err := f.Store.Get(ctx, key)
	if f.read != nil {
		f.read <- struct{}{}
	}
	return o, err
}

func (f *faulty) Put(ctx context.Context, key string, value []byte, expect int64) (accessor.Object, error) {
	if f.down.Load() {
		return accessor.Object{}, f.err(accessor.ErrorUnavailable)
	}
	if f.drop.Add(-1) >= 0 {
		return accessor.Object{}, f.err(accessor.ErrorOutcomeUnknown)
	}
	o, err := f.Store.Put(ctx, key, value, expect)
	if f.lose.Add(-1) >= 0 {
		return accessor.Object{}, f.err(accessor.ErrorOutcomeUnknown)
	}
	return o, err
}
