// Package router carries requests from callers to upstreams.
//
// The [Router] is the duty that owns the requests in flight in an entry, the
// table of upstreams and the connections to their agents. Everything reaches it
// over one ring. For each event it asks the decision packages what to do:
// admitter whether a request may enter, picker where it goes, assembler what a
// frame means for its caller, retrier what follows a failed attempt. A request
// that must not be repeated and has an idempotency key waits for the claimer,
// whose answer comes as an event, before its first attempt.
//
// # Usage
//
//	r := router.New(router.Options{Self: self, Clock: c, Recorder: rec})
//	r.Apply(snapshot)
//	replies := responder.NewRing()
//	if !r.Submit(ctx, router.Job{Request: request, Replies: replies}) {
//		// the ring is full: refuse the request
//	}
package router

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/claimer"
	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/limiter"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/sharer"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/responder"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	// jobsCapacity is the number of requests that may wait for the duty. A full
	// ring refuses, so that callers learn at once that the entry is overloaded.
	jobsCapacity = 1024
	// eventsCapacity is the number of frames and other events that may wait.
	// When it is full, the connections to agents wait, which TCP passes on.
	eventsCapacity = 4096
	// subsetSize is the number of upstreams of a model to which an entry
	// connects. With 146 upstreams a model and 410 entries, each upstream then
	// has about 45 entries.
	subsetSize = 16
	// maxFlights bounds the requests in flight. It is the capacity of the rings
	// that carry decisions on them, so that none of those can fill up.
	maxFlights = 4096
)

// Options configures a router.
type Options struct {
	Self     messenger.Peer
	Secret   []byte
	Clock    timer.Clock
	Recorder *recorder.Recorder
	Seed     uint64
	// Spread sends strikes to the other entries. It may be nil.
	Spread func([]detector.Strike)
	// Limits asks for the entry of requests of organisations with limits. Nil
	// means that limits are not enforced.
	Limits Limits
	// Hint is called with a revision that an agent has and this entry has not.
	// It may be nil.
	Hint func(revision int64)
	// PeerRefused counts refused agents and messages. It may be nil.
	PeerRefused *atomic.Uint64
	// Claims claims idempotency keys. If it is nil, requests that need a claim
	// are refused.
	Claims *claimer.Claimer
}

// Limits enforces the limits of organisations over all entries. Its answers
// come through [Router.Limited].
type Limits interface {
	Ask(sharer.Request)
	End(organisation string)
}

// Job is a request and the ring on which its caller waits. A job without a
// request asks for the list of models.
type Job struct {
	Request admitter.Request
	Models  bool
	Replies *responder.Ring
}

// Router routes the requests of one entry.
type Router struct {
	options Options
	jobs    *buffer.Ring[Job, buffer.Reject]
	events  *buffer.Ring[event, buffer.Block]
	ready   chan struct{}
	idle    chan struct{}
	done    chan struct{}
	// revision is that of the snapshot, for other goroutines to read.
	revision atomic.Int64

	// The fields below are owned by the duty.
	detector  detector.Detector
	budget    retrier.Budget
	snapshot  *compiler.Snapshot
	picker    *picker.Picker[picker.ExpectedFirstToken]
	upstreams map[string]*upstream
	// subsets holds the upstreams of each model and service.
	subsets  map[string][]string
	flights  map[string]*flight
	draining bool
}

type eventKind int

const (
	eventFrame eventKind = iota
	eventNotice
	eventOpened
	eventClosed
	eventSnapshot
	eventAbandoned
	eventDrain
	eventLearned
	eventFailed
	eventLimited
	eventAgents
	eventClaimed
)

type event struct {
	kind     eventKind
	upstream string
	// owner is the upstream for which a connection was opened. A record may name
	// another address by the time the event is taken in.
	owner    *upstream
	conn     *messenger.Conn
	frame    messenger.Frame
	notice   messenger.Notice
	snapshot *compiler.Snapshot
	request  string
	strikes  []detector.Strike
	// organisation and entered are those of a decision of the limits.
	organisation string
	entered      bool
	agents       chan<- map[string]*messenger.Conn
	op           claimer.Op
	result       claimer.Result
}

// New starts a router.
func New(o Options) *Router {
	r := &Router{
		options:   o,
		jobs:      buffer.New[Job, buffer.Reject]("router_jobs", jobsCapacity),
		events:    buffer.New[event, buffer.Block]("router_events", eventsCapacity),
		ready:     make(chan struct{}),
		idle:      make(chan struct{}),
		done:      make(chan struct{}),
		picker:    picker.New[picker.ExpectedFirstToken](o.Seed),
		upstreams: map[string]*upstream{},
		flights:   map[string]*flight{},
	}
	go func() {
		defer close(r.done)
		for r.step() {
		}
		for _, f := range r.flights {
			f.job.Replies.Close()
		}
	}()
	return r
}

// Revision returns the revision of the records in force.
func (r *Router) Revision() int64 { return r.revision.Load() }

// Submit hands a job to the router. It reports false if the router has no room
// for it.
func (r *Router) Submit(ctx context.Context, j Job) bool { return r.jobs.Put(ctx, j) }

// Abandon tells the router that the caller of a request is gone.
func (r *Router) Abandon(request string) {
	r.events.Put(context.Background(), event{kind: eventAbandoned, request: request})
}

// Limited takes in a decision of the limits.
func (r *Router) Limited(d sharer.Decision) {
	r.events.Put(context.Background(), event{
		kind: eventLimited, request: d.Request, organisation: d.Organisation, entered: d.Admitted,
	})
}

// Learn takes in strikes of another entry.
func (r *Router) Learn(strikes []detector.Strike) {
	r.events.Put(context.Background(), event{kind: eventLearned, strikes: strikes})
}

// Apply puts a snapshot of the records in force.
func (r *Router) Apply(s *compiler.Snapshot) {
	r.events.Put(context.Background(), event{kind: eventSnapshot, snapshot: s})
}

// Ready returns a channel that is closed once records are in force, every
// upstream of this entry has answered or failed to, and one takes work.
func (r *Router) Ready() <-chan struct{} { return r.ready }

// Drain makes the router close the channel of [Router.Idle] when no request is
// in flight.
func (r *Router) Drain() { r.events.Put(context.Background(), event{kind: eventDrain}) }

// Idle returns a channel that is closed when a draining router has no request
// in flight.
func (r *Router) Idle() <-chan struct{} { return r.idle }

// Stop ends the duty and closes all connections to agents.
func (r *Router) Stop() {
	r.jobs.Close()
	r.events.Close()
	<-r.done
	for _, u := range r.upstreams {
		u.dialer.Stop()
	}
}

// Stats returns the states of the rings.
func (r *Router) Stats() []buffer.Stats { return []buffer.Stats{r.jobs.Stats(), r.events.Stats()} }

func (r *Router) step() bool {
	select {
	case e := <-r.events.C():
		r.take(e)
	case j := <-r.jobs.C():
		r.admit(j)
	case <-r.events.Done():
		r.finish()
		return false
	}
	r.signal()
	return true
}

// finish takes in which callers had gone before the stop. The choice between
// waiting events and the stop is random, and a request whose caller had gone
// must not count as cut off.
func (r *Router) finish() {
	now := r.options.Clock.Now()
	for e, ok := r.events.TryTake(); ok; e, ok = r.events.TryTake() {
		if e.kind == eventAbandoned {
			r.abandon(now, e.request)
		}
	}
}

func (r *Router) signal() {
	if r.draining && len(r.flights) == 0 {
		closeOnce(r.idle)
	}
}

func (r *Router) take(e event) {
	now := r.options.Clock.Now()
	switch e.kind {
	case eventFrame:
		r.frame(now, e)
	case eventNotice:
		r.notice(now, e)
	case eventOpened:
		r.opened(e)
	case eventClosed:
		r.closed(now, e)
	case eventSnapshot:
		r.apply(e.snapshot)
	case eventAbandoned:
		r.abandon(now, e.request)
	case eventLimited:
		r.limited(e)
	case eventFailed:
		e.owner.answered = true
		r.signalReady()
	case eventDrain:
		r.draining = true
	case eventLearned:
		for _, s := range e.strikes {
			r.spread(r.detector.Step(now, detector.Event{Kind: detector.EventStrikeReceived, Strike: s}))
		}
	case eventAgents:
		e.agents <- r.connected()
	case eventClaimed:
		r.claimed(e)
	}
}

func (r *Router) admit(j Job) {
	if j.Models {
		r.models(j)
		return
	}
	a, failure := admitter.Admit(r.snapshot, j.Request)
	if failure == nil && len(r.flights) >= maxFlights {
		failure = admitter.OverloadedFailure()
	}
	if failure == nil && r.detector.Verdict(r.options.Clock.Now(), a.Fingerprint) == detector.Quarantined {
		failure = admitter.QuarantinedFailure()
	}
	e := tracer.Event{
		Kind: tracer.KindAdmitted, Request: j.Request.ID, Class: a.ClassName,
		Tier: a.Class.Tier, Organisation: a.Organisation, NotRepeatable: !a.Repeatable,
		Operation: operation(a.Organisation, j.Request.IdempotencyKey),
		Model:     j.Request.Model, Service: j.Request.Service, PromptTokens: PromptTokens(j.Request),
		FirstTokenTarget: a.Class.FirstTokenTarget, TokenGapTarget: a.Class.TokenGapTarget, AnswerTarget: a.Class.AnswerTarget,
	}
	if failure != nil {
		e.Kind, e.Reason, e.Outcome = tracer.KindRefused, failure.Code, string(failure.Outcome)
		r.options.Recorder.Record(e)
		j.Replies.Put(context.Background(), responder.Reply{Kind: responder.KindFailed, Failure: failure})
		return
	}
	r.options.Recorder.Record(e)
	f := &flight{job: j, admission: a, state: retrier.RequestState{Repeatable: a.Repeatable}}
	r.flights[j.Request.ID] = f
	r.budget.RequestAdmitted()
	limit := limiter.Limit{Rate: a.RequestRate, Concurrency: a.Concurrency}
	if r.options.Limits == nil || limit.Unlimited() {
		r.proceed(f)
		return
	}
	r.options.Limits.Ask(sharer.Request{ID: j.Request.ID, Organisation: a.Organisation, Limit: limit})
}

func (r *Router) models(j Job) {
	reply := responder.Reply{Kind: responder.KindModels}
	if r.snapshot != nil {
		reply.Models = slices.Sorted(maps.Keys(r.snapshot.UpstreamsByModel))
	}
	j.Replies.Put(context.Background(), reply)
}

func (r *Router) event(kind tracer.Kind, f *flight, reason string) tracer.Event {
	return tracer.Event{
		Kind: kind, Request: f.job.Request.ID, Attempt: f.answer.Attempt, Class: f.admission.ClassName,
		Tier: f.admission.Class.Tier, Organisation: f.admission.Organisation, Upstream: f.upstream,
		Reason: reason, Tokens: f.answer.Tokens, NotRepeatable: !f.admission.Repeatable, Gap: f.gap,
	}
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}
