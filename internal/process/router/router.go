// Package router carries requests from callers to upstreams.
//
// An entry is a gateway process that accepts requests. An agent is a process that
// runs the attempts of one upstream.
//
// The goroutine of a [Router] owns the requests in flight in an entry, the table
// of upstreams and the connections to their agents. Requests reach it over one
// ring and all other events over a second one. For each event it calls the
// decision packages: admitter admits or refuses a request, picker selects the
// upstream, assembler merges the frames of several attempts into one answer, and
// retrier decides whether a failed attempt is retried. Before its first attempt, a
// request that is not repeatable and has an idempotency key waits for the claimer,
// whose result arrives as an event.
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
	// jobsCapacity is the maximum number of requests queued for the goroutine. A
	// full ring refuses further ones, so that callers learn at once that the entry
	// is overloaded.
	jobsCapacity = 1024
	// eventsCapacity is the maximum number of queued frames and other events. When
	// the ring is full, the connections to agents are not read, and TCP flow
	// control slows the agents down.
	eventsCapacity = 4096
	// subsetSize is the number of upstreams of each model and each service to
	// which an entry connects. With 146 upstreams per model and 410 entries, about
	// 45 entries connect to each upstream.
	subsetSize = 16
	// maxInFlight is the maximum number of requests in flight. The rings that carry
	// limit decisions on them have the same capacity and so cannot fill up.
	maxInFlight = 4096
)

// Options configures a router.
type Options struct {
	Self     messenger.Peer
	Secret   []byte
	Clock    timer.Clock
	Recorder *recorder.Recorder
	Seed     uint64
	// SendStrikes sends strikes, records of content that was in flight on an upstream
	// that was lost, to the other entries. It may be nil.
	SendStrikes func([]detector.Strike)
	// Limits admits the requests of organisations with limits. If it is nil, limits
	// are not enforced.
	Limits Limits
	// OnNewerRevision is called when an agent has applied a newer revision of the
	// records than this entry. It may be nil.
	OnNewerRevision func(revision int64)
	// PeerRefused counts rejected messages, and connections that were closed
	// because of the agent. It may be nil.
	PeerRefused *atomic.Uint64
	// Claimer claims idempotency keys. If it is nil, requests that need a claim are
	// refused.
	Claimer *claimer.Claimer
}

// Limits enforces the limits of organisations across all entries. Ask requests a
// decision, which is delivered to [Router.LimitDecided]; End reports the end of an
// admitted request.
type Limits interface {
	Ask(sharer.Request)
	End(organisation string)
}

// Job is a request and the ring that carries the replies to its caller. A job with
// ListModels asks for the list of models and has no request.
type Job struct {
	Request    admitter.Request
	ListModels bool
	Replies    *responder.Ring
}

// Router dispatches the requests of one entry to upstreams. Make it with [New].
type Router struct {
	options Options
	jobs    *buffer.Ring[Job, buffer.Reject]
	events  *buffer.Ring[event, buffer.Block]
	ready   chan struct{}
	idle    chan struct{}
	done    chan struct{}
	// revision is the revision of the snapshot. Other goroutines read it.
	revision atomic.Int64

	// The fields below are owned by the goroutine.
	detector  detector.Detector
	budget    retrier.Budget
	snapshot  *compiler.Snapshot
	picker    *picker.Picker[picker.ExpectedFirstToken]
	upstreams map[string]*upstream
	// subsets holds the names of the upstreams of each model and service to which
	// this entry connects.
	subsets  map[string][]string
	inFlight map[string]*inFlight
	draining bool
	// exiting is true once the final answers were given.
	exiting bool
}

type eventKind int

const (
	eventFrame eventKind = iota
	eventNotice
	eventConnected
	eventDisconnected
	eventSnapshot
	eventAbandoned
	eventDrain
	eventStrikesReceived
	eventDialFailed
	eventLimitDecided
	eventAgentConns
	eventClaimResult
	eventFinalAnswers
	eventStrikesFetched
)

type event struct {
	kind     eventKind
	upstream string
	// target is the upstream whose dialer reported the event. By the time the event
	// is handled, the name may belong to another upstream, because the address in
	// the record has changed.
	target   *upstream
	conn     *messenger.Conn
	frame    messenger.Frame
	notice   messenger.Notice
	snapshot *compiler.Snapshot
	request  string
	strikes  []detector.Strike
	// reply gets the known strikes, with eventStrikesFetched.
	reply func([]detector.Strike)
	// organisation and admitted belong to a limit decision.
	organisation string
	admitted     bool
	agents       chan<- map[string]*messenger.Conn
	// op and result belong to a claim that the claimer has answered.
	op     claimer.Op
	result claimer.Result
}

// New starts the goroutine of a router.
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
		inFlight:  map[string]*inFlight{},
		detector:  detector.Detector{ID: o.Seed},
	}
	go func() {
		defer close(r.done)
		for r.step() {
		}
		for _, f := range r.inFlight {
			f.job.Replies.Close()
		}
	}()
	return r
}

// Revision returns the revision of the records that the router has applied.
func (r *Router) Revision() int64 { return r.revision.Load() }

// Submit queues a job. It returns false if the queue is full.
func (r *Router) Submit(ctx context.Context, j Job) bool { return r.jobs.Put(ctx, j) }

// Abandon reports that the caller of a request has disconnected.
func (r *Router) Abandon(request string) {
	r.events.Put(context.Background(), event{kind: eventAbandoned, request: request})
}

// LimitDecided delivers a limit decision.
func (r *Router) LimitDecided(d sharer.Decision) {
	r.events.Put(context.Background(), event{
		kind: eventLimitDecided, request: d.Request, organisation: d.Organisation, admitted: d.Admitted,
	})
}

// Apply replaces the snapshot of the records.
func (r *Router) Apply(s *compiler.Snapshot) {
	r.events.Put(context.Background(), event{kind: eventSnapshot, snapshot: s})
}

// Ready returns a channel that is closed once a snapshot is applied, the status of
// every upstream of this entry is known, and at least one accepts requests.
func (r *Router) Ready() <-chan struct{} { return r.ready }

// Drain makes the router close the channel of [Router.Idle] as soon as no request
// is in flight.
func (r *Router) Drain() { r.events.Put(context.Background(), event{kind: eventDrain}) }

// Idle returns a channel that is closed once a draining router has no request in
// flight.
func (r *Router) Idle() <-chan struct{} { return r.idle }

// Stop stops the goroutine and closes all connections to agents.
func (r *Router) Stop() {
	r.jobs.Close()
	r.events.Close()
	<-r.done
	for _, u := range r.upstreams {
		u.dialer.Stop()
	}
}

// Stats returns the statistics of the rings.
func (r *Router) Stats() []buffer.Stats { return []buffer.Stats{r.jobs.Stats(), r.events.Stats()} }

// step handles one event or job. It returns false when the router stops.
func (r *Router) step() bool {
	select {
	case e := <-r.events.C():
		r.handleEvent(e)
	case j := <-r.jobs.C():
		r.admit(j)
	case <-r.events.Done():
		r.handlePendingEvents()
		return false
	}
	r.signalIdle()
	return true
}

// handlePendingEvents handles the queued events that others depend on when the
// router stops. The select in step chooses at random between queued events and the
// stop. A request of a caller that disconnected earlier must not count as aborted
// by the stop, and a caller of AgentConns waits for its answer.
func (r *Router) handlePendingEvents() {
	for e, ok := r.events.TryTake(); ok; e, ok = r.events.TryTake() {
		switch e.kind {
		case eventAbandoned, eventAgentConns:
			r.handleEvent(e)
		}
	}
}

// signalIdle closes the channel of [Router.Idle] if the router is draining and no
// request is in flight.
func (r *Router) signalIdle() {
	if r.draining && len(r.inFlight) == 0 {
		closeOnce(r.idle)
	}
}

func (r *Router) handleEvent(e event) {
	now := r.options.Clock.Now()
	switch e.kind {
	case eventFrame:
		r.handleFrame(now, e)
	case eventNotice:
		r.handleNotice(now, e)
	case eventConnected:
		r.handleConnected(e)
	case eventDisconnected:
		r.handleDisconnected(now, e)
	case eventSnapshot:
		r.applySnapshot(e.snapshot)
	case eventAbandoned:
		r.abandon(now, e.request)
	case eventLimitDecided:
		r.handleLimitDecision(e)
	case eventDialFailed:
		e.target.statusKnown = true
		r.signalReady()
	case eventDrain:
		r.draining = true
	case eventStrikesReceived:
		for _, s := range e.strikes {
			r.sendStrikes(r.detector.Step(now, detector.Event{Kind: detector.EventStrikeReceived, Strike: s}))
		}
	case eventStrikesFetched:
		e.reply(r.detector.ActiveStrikes(now))
	case eventAgentConns:
		e.agents <- r.connectedAgents()
	case eventClaimResult:
		r.handleClaimResult(e)
	case eventFinalAnswers:
		r.giveFinalAnswers()
	}
}

// admit admits or refuses a new request, and asks the limits for a decision if the
// organisation has any.
func (r *Router) admit(j Job) {
	if r.exiting {
		refuseLate(j)
		return
	}
	if j.ListModels {
		r.replyModels(j)
		return
	}
	a, failure := admitter.Admit(r.snapshot, j.Request)
	if failure == nil && len(r.inFlight) >= maxInFlight {
		failure = admitter.OverloadedFailure()
	}
	if failure == nil && r.detector.Verdict(r.options.Clock.Now(), a.Fingerprint) == detector.Quarantined {
		failure = admitter.QuarantinedFailure()
	}
	e := tracer.Event{
		Kind: tracer.KindAdmitted, Request: j.Request.ID, Class: a.ClassName,
		Tier: a.Class.Tier, Organisation: a.Organisation, NotRepeatable: !a.Repeatable,
		Operation: operationID(a.Organisation, j.Request.IdempotencyKey),
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
	f := &inFlight{job: j, admission: a, retryState: retrier.RequestState{Repeatable: a.Repeatable}}
	r.inFlight[j.Request.ID] = f
	r.budget.RequestAdmitted()
	limit := limiter.Limit{Rate: a.RequestRate, Concurrency: a.Concurrency}
	if r.options.Limits == nil || limit.Unlimited() {
		r.claimOrDispatch(f)
		return
	}
	r.options.Limits.Ask(sharer.Request{ID: j.Request.ID, Organisation: a.Organisation, Limit: limit})
}

// replyModels sends the names of all models in ascending order.
func (r *Router) replyModels(j Job) {
	reply := responder.Reply{Kind: responder.KindModels}
	if r.snapshot != nil {
		reply.Models = slices.Sorted(maps.Keys(r.snapshot.UpstreamsByModel))
	}
	j.Replies.Put(context.Background(), reply)
}

// traceEvent returns an event of the trace with the state of f.
func (r *Router) traceEvent(kind tracer.Kind, f *inFlight, reason string) tracer.Event {
	return tracer.Event{
		Kind: kind, Request: f.job.Request.ID, Attempt: f.answer.Attempt, Class: f.admission.ClassName,
		Tier: f.admission.Class.Tier, Organisation: f.admission.Organisation, Upstream: f.upstream,
		Reason: reason, Tokens: f.answer.Tokens, NotRepeatable: !f.admission.Repeatable, Gap: f.maxTokenGap,
	}
}

// closeOnce closes c unless it is closed already. Only the goroutine of the router
// calls it.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}
