// Package forwarder carries the requests of an entry to its upstreams.
//
// The [Forwarder] is the duty that owns the dispatcher, which decides, and the
// connections to upstreams, which carry. Everything reaches it over two rings:
// jobs from callers, of which it refuses what it has no room for, and events
// from connections and from those who follow the platform, which wait for room.
// It turns each event into a call of the dispatcher and carries out the actions
// that come back.
//
// How a request is written for an upstream, and how an answer is judged, is the
// matter of a [Codec]; the forwarder hands messages through unseen.
//
// # Usage
//
//	f := forwarder.New(forwarder.Options{Clock: c, Codec: codec, Dispatcher: settings})
//	f.Configure(table)
//	f.Register(registrar.Event{Kind: registrar.EventListed, Upstreams: all})
//	if !f.Submit(ctx, job) {
//		// no room: refuse the request
//	}
package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// jobsCapacity is the number of requests that may wait for the duty. A full
	// ring refuses, so that callers learn at once that the entry is overloaded.
	jobsCapacity = 1024
	// eventsCapacity is the number of other events that may wait. When it is
	// full, connections wait, which TCP passes on.
	eventsCapacity = 4096
)

// Job is a request and what is needed to send it and to answer its caller.
type Job struct {
	Request dispatcher.Request
	// Context ends when the caller is gone, and the work for it with it.
	Context context.Context
	// Head is the request as the caller sent it, and Body its whole body.
	Head    *http.Request
	Body    []byte
	Replies *relayer.Ring
}

// Codec writes requests for upstreams and judges their answers.
type Codec interface {
	// Encode returns the message for the upstream of the action, without the
	// body. Left is the time until the end of the attempt.
	Encode(j Job, a dispatcher.Action, left time.Duration) *http.Request
	// Judge returns a function that decides on an answer to the request with the
	// given identity.
	Judge(request string) func(*http.Response) carrier.Verdict
}

// Options configures a forwarder.
type Options struct {
	Clock      timer.Clock
	Codec      Codec
	Dispatcher dispatcher.Settings
	// Spread tells the other entries about strikes. It must not wait. It may be
	// nil.
	Spread func([]detector.Strike)
	// Share tells the other entries what is in flight. It must not wait. It may
	// be nil.
	Share func([]dispatcher.Load, []dispatcher.Placement)
	// Observe is called with the end of each request. It must not wait. It may be
	// nil.
	Observe func(Observation)
}

// Observation is the end of a request as metrics count it.
type Observation struct {
	Route   string
	Result  string
	Elapsed time.Duration
}

// Forwarder forwards the requests of one entry.
type Forwarder struct {
	options Options
	jobs    *buffer.Ring[Job, buffer.Reject]
	events  *buffer.Ring[event, buffer.Block]
	done    chan struct{}
	state   atomic.Pointer[State]

	// The fields below are owned by the duty.
	dispatcher *dispatcher.Dispatcher
	registrar  registrar.Registrar
	attempts   map[string]*attempt
	pools      map[string]*pool
	// nextShare is the time of the next report to the other entries.
	nextShare time.Time
}

// State is what an entry knows of the system. It is replaced and never changed.
type State struct {
	Table *matcher.Table
	// Upstreams are all that are registered, also those that leave, and Usable
	// is the number of those that may get requests.
	Upstreams []registrar.Upstream
	Usable    int
	// SharedRuns is the number of requests that the other entries have in flight,
	// as far as they have told.
	SharedRuns int
	// Learned is the time of the last news from the platform about upstreams.
	Learned time.Time
}

// attempt is the present attempt at a request.
type attempt struct {
	job    Job
	number int
	call   carrier.Call
	cancel context.CancelFunc
	pool   *pool
	// firstEvent and longestPause are those of the last call, for logs.
	firstEvent   time.Duration
	longestPause time.Duration
	// held is the error with which the upstream answered.
	held relayer.Reply
}

type eventKind int

const (
	eventReport eventKind = iota
	eventConfigured
	eventRegistered
	eventEntries
	eventLearned
	eventSynced
	eventBudget
	eventShared
)

// event is one thing that reaches the duty beside jobs.
type event struct {
	kind      eventKind
	pool      *pool
	report    carrier.Report
	table     *matcher.Table
	registrar registrar.Event
	entries   int
	strikes   []detector.Strike
	synced    bool
	entry     string
	loads     []dispatcher.Load
	placed    []dispatcher.Placement
	share     float64
	slack     float64
}

// New starts a forwarder.
func New(o Options) *Forwarder {
	f := &Forwarder{
		options:    o,
		jobs:       buffer.New[Job, buffer.Reject]("forwarder_jobs", jobsCapacity),
		events:     buffer.New[event, buffer.Block]("forwarder_events", eventsCapacity),
		done:       make(chan struct{}),
		dispatcher: dispatcher.New(o.Dispatcher),
		attempts:   map[string]*attempt{},
		pools:      map[string]*pool{},
	}
	f.state.Store(&State{})
	go func() {
		defer close(f.done)
		for f.step() {
		}
		f.stop()
	}()
	return f
}

// Submit hands a job to the forwarder. It reports false if there is no room for
// it.
func (f *Forwarder) Submit(ctx context.Context, j Job) bool { return f.jobs.Put(ctx, j) }

// Configure puts a configuration in force unless a newer one is.
func (f *Forwarder) Configure(t *matcher.Table) { f.put(event{kind: eventConfigured, table: t}) }

// Register takes in news about upstreams.
func (f *Forwarder) Register(e registrar.Event) { f.put(event{kind: eventRegistered, registrar: e}) }

// SetEntries takes in the number of entries of the system.
func (f *Forwarder) SetEntries(n int) { f.put(event{kind: eventEntries, entries: n}) }

// SetBudget changes the budget for further attempts.
func (f *Forwarder) SetBudget(share, slack float64) {
	f.put(event{kind: eventBudget, share: share, slack: slack})
}

// SetSynced takes in whether the entry is in step with the platform.
func (f *Forwarder) SetSynced(synced bool) { f.put(event{kind: eventSynced, synced: synced}) }

// Learn takes in strikes of another entry.
func (f *Forwarder) Learn(strikes []detector.Strike) {
	f.put(event{kind: eventLearned, strikes: strikes})
}

// LearnLoad takes in what another entry has in flight, and the placements since
// it told last.
func (f *Forwarder) LearnLoad(entry string, loads []dispatcher.Load, placed []dispatcher.Placement) {
	f.put(event{kind: eventShared, entry: entry, loads: loads, placed: placed})
}

// State returns what the entry knows of the system.
func (f *Forwarder) State() State { return *f.state.Load() }

// Stop ends the duty and closes all connections to upstreams.
func (f *Forwarder) Stop() {
	f.jobs.Close()
	f.events.Close()
	<-f.done
}

// Stats returns the states of the rings.
func (f *Forwarder) Stats() []buffer.Stats {
	return []buffer.Stats{f.jobs.Stats(), f.events.Stats()}
}

func (f *Forwarder) put(e event) { f.events.Put(context.Background(), e) }

// step takes in one job or event.
func (f *Forwarder) step() bool {
	wake, stop := f.wake()
	defer stop()
	select {
	case e := <-f.events.C():
		f.take(e)
	case j := <-f.jobs.C():
		f.admit(j)
	case <-wake:
		f.expire()
	case <-f.events.Done():
		return false
	}
	return true
}

// wake returns a channel that tells when the duty has to look after time.
func (f *Forwarder) wake() (<-chan time.Time, func()) {
	next := f.nextShare
	if at := f.registrar.NextChange(); !at.IsZero() && at.Before(next) {
		next = at
	}
	for _, p := range f.pools {
		if at := p.expiry(); !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return f.options.Clock.After(max(0, next.Sub(f.options.Clock.Now())))
}

// expire drops what has lapsed.
func (f *Forwarder) expire() {
	now := f.options.Clock.Now()
	if !now.Before(f.nextShare) {
		f.nextShare = now.Add(dispatcher.LoadReportInterval)
		f.decide(now, dispatcher.Event{Kind: dispatcher.EventTick})
		f.noteShared()
	}
	for _, p := range f.pools {
		p.expire(now)
	}
	if next := f.registrar.NextChange(); !next.IsZero() && !now.Before(next) {
		f.register(now)
	}
}

func (f *Forwarder) take(e event) {
	now := f.options.Clock.Now()
	switch e.kind {
	case eventReport:
		f.report(now, e.pool, e.report)
	case eventConfigured:
		f.decide(now, dispatcher.Event{Kind: dispatcher.EventConfigured, Table: e.table})
		s := f.State()
		if s.Table == nil || e.table.Configuration.Version > s.Table.Configuration.Version {
			s.Table = e.table
			f.state.Store(&s)
		}
	case eventRegistered:
		f.registrar.HandleEvent(now, e.registrar)
		f.register(now)
	case eventEntries:
		f.decide(now, dispatcher.Event{Kind: dispatcher.EventEntryCount, Entries: e.entries})
	case eventLearned:
		f.decide(now, dispatcher.Event{Kind: dispatcher.EventStrikesReceived, Strikes: e.strikes})
	case eventSynced:
		f.decide(now, dispatcher.Event{Kind: dispatcher.EventSynced, Synced: e.synced})
	case eventShared:
		f.decide(now, dispatcher.Event{Kind: dispatcher.EventLoadReceived, Entry: e.entry, Loads: e.loads, Placements: e.placed})
		f.noteShared()
	case eventBudget:
		f.decide(now, dispatcher.Event{Kind: dispatcher.EventRetryBudget, RetryRatio: e.share, RetryCapacity: e.slack})
	}
}

// register passes the usable upstreams on to the dispatcher.
func (f *Forwarder) register(now time.Time) {
	usable := f.registrar.Eligible(now)
	f.decide(now, dispatcher.Event{Kind: dispatcher.EventUpstreams, Upstreams: usable})
	s := f.State()
	s.Upstreams, s.Usable, s.Learned = f.registrar.Registered(), len(usable), now
	f.state.Store(&s)
}

// noteShared publishes what the other entries have in flight.
func (f *Forwarder) noteShared() {
	s, runs := f.State(), f.dispatcher.SharedRuns()
	if s.SharedRuns != runs {
		s.SharedRuns = runs
		f.state.Store(&s)
	}
}

// admit takes in a job.
func (f *Forwarder) admit(j Job) {
	if j.Context.Err() != nil {
		return
	}
	if f.attempts[j.Request.ID] == nil {
		f.attempts[j.Request.ID] = &attempt{job: j}
		f.decide(f.options.Clock.Now(), dispatcher.Event{Kind: dispatcher.EventArrived, Request: j.Request})
		return
	}
	// The dispatcher refuses an identity that is in flight. The refusal must
	// reach this caller and not the one of the request in flight.
	for _, a := range f.dispatcher.Step(f.options.Clock.Now(), dispatcher.Event{Kind: dispatcher.EventArrived, Request: j.Request}) {
		j.Replies.Put(j.Context, relayer.Reply{Kind: relayer.KindFailed, Failure: a.Failure})
	}
}

// stop ends all connections and tells the callers that are left.
func (f *Forwarder) stop() {
	for _, a := range f.attempts {
		if a.cancel != nil {
			a.cancel()
		}
		a.job.Replies.Close()
	}
	for _, p := range f.pools {
		p.close()
	}
}
