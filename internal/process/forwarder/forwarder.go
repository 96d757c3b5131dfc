// Package forwarder forwards the requests of an entry to its upstreams.
//
// The [Forwarder] is a goroutine that owns the dispatcher and the connection pools
// of the upstreams. It receives its input from two rings: a ring of jobs, which
// rejects new jobs when it is full, and a ring of events from connections and from
// the subscriptions to the platform, whose senders block while it is full. It
// passes each event to the dispatcher and executes the resulting actions.
//
// A [Codec] encodes requests for upstreams and classifies their answers. The
// forwarder relays messages without interpreting them.
//
// # Usage
//
//	f := forwarder.New(forwarder.Options{Clock: c, Codec: codec, Dispatcher: settings})
//	f.Configure(table)
//	f.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventListed, Upstreams: all})
//	if !f.Submit(ctx, job) {
//		// the ring is full: refuse the request
//	}
package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/process/collector"
	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/recoverer"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// jobsCapacity is the capacity of the ring of jobs. A full ring rejects jobs, so
	// that callers are refused at once when the entry is overloaded.
	jobsCapacity = 1024
	// eventsCapacity is the capacity of the ring of events. When it is full,
	// connections block, which TCP flow control propagates to the upstreams.
	eventsCapacity = 4096
)

// Job is a request with its message and the ring for its answer.
type Job struct {
	Request dispatcher.Request
	// Context is cancelled when the caller disconnects. This aborts the request.
	Context context.Context
	// Head is the request line and the header as the caller sent them, and Body the
	// complete body. It may be nil.
	Head *http.Request
	Body *collector.Body
	// Replies receives the answer for the caller.
	Replies *relayer.Ring
}

// Codec encodes requests for upstreams and classifies their answers.
type Codec interface {
	// Encode returns the head of the message for the upstream of a. The duration
	// remaining is the time until the deadline of the attempt.
	Encode(j Job, a dispatcher.Action, remaining time.Duration) *http.Request
	// ClassifyResponse returns a function that classifies an answer to the request
	// with the given identity.
	ClassifyResponse(request string) func(*http.Response) carrier.Verdict
	// DecodeNotice returns what the head of an answer says about its upstream.
	DecodeNotice(resp *http.Response) carrier.Notice
}

// Options configures a forwarder.
type Options struct {
	Clock      timer.Clock
	Codec      Codec
	Dispatcher dispatcher.Settings
	// SendStrikes sends strikes to the other entries. It must not block. It may be
	// nil.
	SendStrikes func([]detector.Strike)
	// SendLoad sends a load report to the other entries. It must not block. It may
	// be nil.
	SendLoad func(dispatcher.LoadReport)
	// CountUsage counts a request of an organisation that an upstream has begun. It must
	// not block. It may be nil.
	CountUsage func(organisation string)
	// Versions is used if the versions of streams are kept; see [dispatcher.Settings].
	Versions Versions
	// Observe is called at the end of each request. It must not block. It may be
	// nil.
	Observe func(Observation)
	// ObserveAnswer is called at the end of each answer of an upstream, whether or not
	// its caller got it. It must not block. It may be nil.
	ObserveAnswer func(AnswerObservation)
	// Configured is called after another configuration has come into force. It must not
	// block. It may be nil.
	Configured func()
	// MaxConns is the maximum number of connections to upstreams. Near it, those that have
	// been idle for longest are closed. Zero means no maximum.
	MaxConns int
	// Recoverer handles panics while an event or a call is handled. It may be nil.
	Recoverer *recoverer.Recoverer
}

// Observation describes a request that has ended, for metrics.
type Observation struct {
	Route   string
	Result  string
	Elapsed time.Duration
	// Sent is true if the request was sent to an upstream, which was expected to prefill
	// PrefillTokens of its PromptTokens. Deferred is true if it ran after all others.
	Sent          bool
	PromptTokens  int
	PrefillTokens int
	Deferred      bool
	// TakeUp is what the software version of a stream that was taken up rested on, or why it
	// was not known. It is empty for other requests.
	TakeUp string
}

// AnswerObservation describes an answer of an upstream that has ended, for metrics. End
// is the outcome of the attempt as in its log line.
type AnswerObservation struct {
	Framing string
	End     string
}

// Forwarder forwards the requests of one entry.
type Forwarder struct {
	options Options
	jobs    *buffer.Ring[Job, buffer.Reject]
	events  *buffer.Ring[event, buffer.Block]
	done    chan struct{}
	state   atomic.Pointer[State]
	// inFlightCount is the length of inFlight, for other goroutines to read.
	inFlightCount atomic.Int64
	// demandWantedAt is the time at which the demand was last asked for, nil if it was not.
	demandWantedAt atomic.Pointer[time.Time]
	// connections is the number of connections to upstreams; see [Connections].
	connections atomic.Int64
	evicted     atomic.Uint64
	refused     atomic.Uint64

	// The fields below are owned by the goroutine.
	dispatcher *dispatcher.Dispatcher
	registrar  registrar.Registrar
	// upstreamsListed is true once a complete list of the upstreams was applied.
	upstreamsListed bool
	// inFlight holds the requests in flight by identity, and pools the connection
	// pools by the instance ID of the upstream.
	inFlight map[string]*inFlightRequest
	pools    map[string]*pool
	// nextLoadReport is the time of the next load report to the other entries.
	nextLoadReport time.Time
	// nextDemand is the time at which the demand is computed again.
	nextDemand time.Time
}

// State is a snapshot of the configuration and the upstreams of an entry. It is
// immutable.
type State struct {
	Table *matcher.Table
	// Upstreams are all registered upstreams, including draining ones, and
	// EligibleCount is the number of upstreams that may get requests.
	Upstreams     []registrar.Upstream
	EligibleCount int
	// SharedRuns is the number of requests that the other entries have in flight
	// according to their last reports.
	SharedRuns int
	// UpstreamsListed is true once a complete list of the upstreams was applied.
	UpstreamsListed bool
	// StrikesLearned is true once the entry knows the strikes of the others, or has
	// waited long enough for them.
	StrikesLearned bool
	// Demand is the demand of all entries, empty if nobody has asked for it lately with
	// [Forwarder.Demand].
	Demand dispatcher.Demand
}

type eventKind int

const (
	eventReport eventKind = iota
	eventNotice
	eventConfigured
	eventRegistrar
	eventEntryCount
	eventStrikesReceived
	eventSynced
	eventRetryBudget
	eventLoadReceived
	eventStopping
	eventStrikesLearned
	eventStrikesFetched
	eventExplained
	eventVersionsRecalled
	eventVersionsKept
	eventVersionsFetched
	eventVersionsReceived
)

// event is an input of the goroutine other than a job. Only the fields of its kind
// are set.
type event struct {
	kind          eventKind
	pool          *pool
	report        carrier.Report
	request       string
	notice        carrier.Notice
	table         *matcher.Table
	registrar     registrar.Event
	entryCount    int
	strikes       []detector.Strike
	synced        bool
	entry         string
	loadReport    dispatcher.LoadReport
	retryRatio    float64
	retryCapacity float64
	stop          dispatcher.Stop
	// complete and reply are set for eventStrikesLearned and eventStrikesFetched.
	complete bool
	reply    func(strikes []detector.Strike, complete bool)
	// recall and record are set for eventVersionsRecalled and eventVersionsKept, streams and
	// replyVersions for eventVersionsFetched, versions and entry for eventVersionsReceived.
	recall        resumer.Recall
	record        resumer.Record
	streams       []uint64
	replyVersions func(resumer.Reply)
	versions      resumer.Reply
	// explained and explain are the request and the reply of eventExplained.
	explained dispatcher.Request
	explain   func(dispatcher.Explanation)
}

// New starts a forwarder.
func New(o Options) *Forwarder {
	f := &Forwarder{
		options:    o,
		jobs:       buffer.New[Job, buffer.Reject]("forwarder_jobs", jobsCapacity),
		events:     buffer.New[event, buffer.Block]("forwarder_events", eventsCapacity),
		done:       make(chan struct{}),
		dispatcher: dispatcher.New(o.Dispatcher),
		inFlight:   map[string]*inFlightRequest{},
		pools:      map[string]*pool{},
	}
	f.state.Store(&State{StrikesLearned: f.dispatcher.StrikesLearned()})
	go func() {
		defer close(f.done)
		for f.step() {
		}
		f.stop()
	}()
	return f
}

// Submit puts a job into the ring of jobs. It returns false if the ring is full.
func (f *Forwarder) Submit(ctx context.Context, j Job) bool { return f.jobs.Put(ctx, j) }

// Configure puts a configuration in force unless a newer one is in force.
func (f *Forwarder) Configure(t *matcher.Table) { f.put(event{kind: eventConfigured, table: t}) }

// HandleRegistrarEvent applies a change of the registered upstreams.
func (f *Forwarder) HandleRegistrarEvent(e registrar.Event) {
	f.put(event{kind: eventRegistrar, registrar: e})
}

// SetEntryCount sets the number of entries of the system.
func (f *Forwarder) SetEntryCount(n int) { f.put(event{kind: eventEntryCount, entryCount: n}) }

// SetRetryBudget sets the retry budget of all entries together; see
// [dispatcher.Settings].
func (f *Forwarder) SetRetryBudget(retryRatio, retryCapacity float64) {
	f.put(event{kind: eventRetryBudget, retryRatio: retryRatio, retryCapacity: retryCapacity})
}

// SetSynced sets whether the entry is in sync with the platform.
func (f *Forwarder) SetSynced(synced bool) { f.put(event{kind: eventSynced, synced: synced}) }

// ReceiveLoad replaces the load report of another entry and adds its placements
// since its previous report.
func (f *Forwarder) ReceiveLoad(entry string, r dispatcher.LoadReport) {
	f.put(event{kind: eventLoadReceived, entry: entry, loadReport: r})
}

// State returns the current snapshot.
func (f *Forwarder) State() State { return *f.state.Load() }

// Stop stops the goroutine and closes all connections to upstreams.
func (f *Forwarder) Stop() {
	f.jobs.Close()
	f.events.Close()
	<-f.done
}

// InFlight returns the number of requests that have been taken from the ring of jobs and
// have not ended.
func (f *Forwarder) InFlight() int { return int(f.inFlightCount.Load()) }

// Stats returns the states of the rings.
func (f *Forwarder) Stats() []buffer.Stats {
	return []buffer.Stats{f.jobs.Stats(), f.events.Stats()}
}

func (f *Forwarder) put(e event) { f.events.Put(context.Background(), e) }

// step waits for one job, event or timer and handles it. It returns false after
// Stop.
func (f *Forwarder) step() bool {
	timeout, stop := f.nextTimer()
	defer stop()
	select {
	case e := <-f.events.C():
		f.runEvent(e)
	case j := <-f.jobs.C():
		if err := f.options.Recoverer.Run("forwarder job", func() { f.handleJob(j) }); err != nil {
			j.Replies.Close()
			if t := f.inFlight[j.Request.ID]; t != nil && t.job.Replies == j.Replies {
				f.abort(t)
			}
		}
	case <-timeout:
		_ = f.options.Recoverer.Run("forwarder timer", f.handleTimer)
	case <-f.events.Done():
		return false
	}
	f.inFlightCount.Store(int64(len(f.inFlight)))
	return true
}

// runEvent handles an event. A panic ends the request of a report.
func (f *Forwarder) runEvent(e event) {
	if err := f.options.Recoverer.Run("forwarder event", func() { f.handleEvent(e) }); err != nil && e.kind == eventReport {
		f.abort(f.inFlight[e.report.Request])
	}
}

// abort ends a request after a panic, without a reply.
func (f *Forwarder) abort(t *inFlightRequest) {
	if t == nil {
		return
	}
	t.job.Replies.Close()
	t.cancelCalls()
	_ = f.options.Recoverer.Run("forwarder abort", func() {
		f.dispatch(f.options.Clock.Now(), dispatcher.Event{Kind: dispatcher.EventAborted, ID: t.job.Request.ID})
	})
	delete(f.inFlight, t.job.Request.ID)
}

func (f *Forwarder) handleEvent(e event) {
	now := f.options.Clock.Now()
	switch e.kind {
	case eventReport:
		f.handleReport(now, e.pool, e.report)
	case eventNotice:
		f.handleNotice(now, e.pool.upstream, e.request, e.notice)
	case eventConfigured:
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventConfigured, Table: e.table})
		s := f.State()
		if s.Table == nil || e.table.Configuration.Version > s.Table.Configuration.Version {
			s.Table = e.table
			f.state.Store(&s)
			if f.options.Configured != nil {
				f.options.Configured()
			}
		}
	case eventRegistrar:
		f.registrar.HandleEvent(now, e.registrar)
		f.upstreamsListed = f.upstreamsListed || e.registrar.Kind == registrar.EventListed
		f.updateUpstreams(now)
	case eventEntryCount:
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventEntryCount, Entries: e.entryCount})
	case eventStrikesReceived:
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventStrikesReceived, Strikes: e.strikes})
	case eventStrikesLearned:
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventStrikesLearned, Strikes: e.strikes, Complete: e.complete})
		f.publishStrikesLearned()
	case eventStrikesFetched:
		e.reply(f.dispatcher.KnownStrikes(now))
	case eventExplained:
		e.explain(f.dispatcher.Explain(now, e.explained))
	case eventVersionsRecalled, eventVersionsKept, eventVersionsFetched, eventVersionsReceived:
		f.handleVersions(now, e)
	case eventSynced:
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventSynced, Synced: e.synced})
	case eventLoadReceived:
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventLoadReceived, Entry: e.entry, Report: e.loadReport})
		f.publishSharedRuns()
	case eventStopping:
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventStopping, Stop: e.stop})
	case eventRetryBudget:
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventRetryBudget, RetryRatio: e.retryRatio, RetryCapacity: e.retryCapacity})
	}
}

// updateUpstreams passes the eligible upstreams to the dispatcher and publishes
// them.
func (f *Forwarder) updateUpstreams(now time.Time) {
	eligible := f.registrar.Eligible(now)
	registered := f.registrar.Registered()
	f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventUpstreams, Upstreams: eligible, Registered: registered})
	s := f.State()
	s.Upstreams, s.EligibleCount, s.UpstreamsListed = registered, len(eligible), f.upstreamsListed
	f.state.Store(&s)
}

// publishSharedRuns updates State.SharedRuns, the number of requests that the other
// entries have in flight.
func (f *Forwarder) publishSharedRuns() {
	s, runs := f.State(), f.dispatcher.SharedRuns()
	if s.SharedRuns != runs {
		s.SharedRuns = runs
		f.state.Store(&s)
	}
}

// handleJob starts a request unless its caller has disconnected.
func (f *Forwarder) handleJob(j Job) {
	if j.Context.Err() != nil {
		return
	}
	if !f.hasRoom() {
		f.refuseJob(j)
		return
	}
	if f.inFlight[j.Request.ID] == nil {
		f.inFlight[j.Request.ID] = &inFlightRequest{job: j}
		f.dispatch(f.options.Clock.Now(), dispatcher.Event{Kind: dispatcher.EventArrived, Request: j.Request})
		return
	}
	// The dispatcher refuses a request with an identity that is in flight. The
	// refusal must be sent to this caller and not to the caller of the request in
	// flight.
	for _, a := range f.dispatcher.Step(f.options.Clock.Now(), dispatcher.Event{Kind: dispatcher.EventArrived, Request: j.Request}) {
		j.Replies.End(relayer.Reply{Kind: relayer.KindFailed, Failure: a.Failure})
	}
}
