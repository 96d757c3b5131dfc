// Package reporter reports the usage of the organisations to the platform's API, which is
// the duty of one entry at a time.
//
// Every entry runs a [Reporter]. It counts the requests of its entry, exchanges the counts
// with the others through updates, and follows the lease of the duty. Only while this
// entry is the holder does it freeze windows and send reports.
//
// The state of the duty is the journal, one object of the store that the holder alone
// writes, conditional on its version. A window is frozen by a write of the journal, and a
// report is sent only once it is in the journal. A new holder therefore repeats what an
// earlier one has frozen with the same counts, and counts anew what it has not. The journal
// also has a checkpoint of the open rows, for the loss of all entries.
//
// The [Core] is the state machine from events to actions, with the rows in an
// [accountant.Accountant]. The goroutine of a Reporter owns it and makes no calls itself:
// one goroutine makes the calls to the store, and one those to the API, so that a slow API
// does not delay the journal. They are joined by bounded rings.
//
// # Usage
//
//	r := reporter.New(reporter.Options{Self: self, Window: 5 * time.Second, Due: 10 * time.Second, Lease: lease, Store: store, API: api})
//	defer r.Stop()
//	r.Count("hule930")
package reporter

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/accountant"
	"magnoliafront.dev/magnoliafront/internal/process/leaser"
	"magnoliafront.dev/magnoliafront/internal/process/recoverer"
	"magnoliafront.dev/magnoliafront/internal/process/timekeeper"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// inputCapacity is the capacity of the ring of counts, updates and results. When it is
	// full, their senders block; the goroutine that empties it waits for nothing else.
	inputCapacity = 2048
	// callsCapacity is the capacity of a ring of calls. The core has at most one call of
	// each kind pending, and one of an earlier term may be.
	callsCapacity = 8
	// tickInterval is the time between two updates for the other entries.
	tickInterval = 200 * time.Millisecond
	// membersInterval is the time between two readings of the list of entries.
	membersInterval = time.Second
	// startDelay is the time after the start in which an entry does not tell which others
	// live, since it has not heard them yet.
	startDelay = 2 * time.Second
)

// Lease is the lease of the duty, as a [leaser.Leaser] is one.
type Lease interface {
	Held() (token int64, held bool)
	Remaining() time.Duration
	GiveUp(cause string)
	RaiseToken(token int64)
}

// API is the interface to the platform's API.
type API interface {
	ReportUsage(ctx context.Context, holder string, token, windowID int64, counts map[string]int) error
}

// Options configures a reporter.
type Options struct {
	// Self is this start of this entry.
	Self accountant.Incarnation
	// Window is the length of a window, whose report is due Due after its end.
	Window time.Duration
	Due    time.Duration
	// Pace limits the calls to the API.
	Pace leaser.Pace
	// Lease is nil if usage is not reported. The reporter then only tells which entries
	// live.
	Lease Lease
	Store accessor.Store
	API   API
	// Outcome returns the outcome that an error of the API stands for.
	Outcome func(error) Outcome
	Clock   timer.Clock
	Source  timekeeper.Source
	// Members returns the other entries that the store lists.
	Members func() []string
	// Eligible reports whether this entry can do duties.
	Eligible func() bool
	// Publish sends an update to the other entries, and Living tells which of them live.
	// Observe counts a result. None of them may block.
	Publish   func(accountant.Update)
	Living    func(accountant.Living)
	Observe   func(Result, int64)
	Recoverer *recoverer.Recoverer
}

// Reporter counts and reports the usage. Create it with [New].
type Reporter struct {
	options    Options
	input      *buffer.Ring[input, buffer.Block]
	storeCalls *buffer.Ring[Action, buffer.Reject]
	apiCalls   *buffer.Ring[Action, buffer.Reject]
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{}

	// The fields below are owned by the goroutine.
	core     Core
	keeper   *timekeeper.Keeper
	nextTick time.Time
	// nextMembers is the time at which the list of entries is read again.
	nextMembers time.Time
	started     time.Time
	// rowsVersion is the version of the object with the rows of this entry. It is owned by
	// the goroutine of the calls to the store.
	rowsVersion int64
}

// input is an input of the goroutine: a count, an update or the result of a call.
type input struct {
	organisation string
	update       *accountant.Update
	result       *Event
}

// New starts a reporter.
func New(o Options) *Reporter {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reporter{
		options: o, ctx: ctx, cancel: cancel, done: make(chan struct{}), started: o.Clock.Now(),
		input:      buffer.New[input, buffer.Block]("reporter_input", inputCapacity),
		storeCalls: buffer.New[Action, buffer.Reject]("reporter_store_calls", callsCapacity),
		apiCalls:   buffer.New[Action, buffer.Reject]("reporter_api_calls", callsCapacity),
		keeper:     timekeeper.New(o.Source.Read()),
		core: Core{
			Settings: Settings{Holder: holderName(o.Self), Due: o.Due, Pace: o.Pace},
			Accounts: accountant.New(accountant.Settings{Self: o.Self, Window: o.Window, Due: o.Due}),
		},
	}
	storeDone, apiDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(storeDone)
		r.makeCalls(r.storeCalls, r.callStore)
	}()
	go func() {
		defer close(apiDone)
		r.makeCalls(r.apiCalls, r.callAPI)
	}()
	go func() {
		defer close(r.done)
		r.tick()
		for r.step() {
		}
		<-storeDone
		<-apiDone
	}()
	return r
}

// Count counts a request of an organisation that an upstream has begun to run.
func (r *Reporter) Count(organisation string) {
	r.input.Put(r.ctx, input{organisation: organisation})
}

// Receive adds the update of another entry.
func (r *Reporter) Receive(u accountant.Update) { r.input.Put(r.ctx, input{update: &u}) }

// Stop publishes the last counts and stops the goroutines. It does not give up the lease.
func (r *Reporter) Stop() {
	r.cancel()
	r.input.Close()
	r.storeCalls.Close()
	r.apiCalls.Close()
	<-r.done
}

// Stats returns the states of the rings.
func (r *Reporter) Stats() []buffer.Stats {
	return []buffer.Stats{r.input.Stats(), r.storeCalls.Stats(), r.apiCalls.Stats()}
}

// step waits for one input or the next tick. It returns false after Stop, when the ring is
// empty and its last counts are published.
func (r *Reporter) step() bool {
	wake, stop := r.options.Clock.After(max(0, r.nextTick.Sub(r.options.Clock.Now())))
	defer stop()
	select {
	case i := <-r.input.C():
		_ = r.options.Recoverer.Run("usage input", func() { r.handle(i) })
	case <-wake:
		_ = r.options.Recoverer.Run("usage tick", r.tick)
	case <-r.input.Done():
		for i, ok := r.input.TryTake(); ok; i, ok = r.input.TryTake() {
			_ = r.options.Recoverer.Run("usage input", func() { r.handle(i) })
		}
		_ = r.options.Recoverer.Run("last usage update", func() { r.options.Publish(r.core.Accounts.PublishFinal()) })
		return false
	}
	return true
}

// windowTime returns the time on the clock of windows.
func (r *Reporter) windowTime() time.Time { return r.keeper.Now(r.options.Source.Read()) }

func (r *Reporter) handle(i input) {
	now := r.options.Clock.Now()
	switch {
	case i.update != nil:
		r.core.Accounts.Merge(now, *i.update)
	case i.result != nil:
		r.execute(r.core.Step(now, *i.result))
	case i.organisation != "":
		r.core.Accounts.Count(r.windowTime(), i.organisation)
	}
}

// tick publishes what has changed and makes the calls that are due.
func (r *Reporter) tick() {
	now := r.options.Clock.Now()
	r.nextTick = now.Add(tickInterval)
	if !now.Before(r.nextMembers) {
		r.nextMembers = now.Add(membersInterval)
		r.core.Accounts.SetMembers(now, r.options.Members())
	}
	r.core.Accounts.SetEligible(r.options.Eligible())
	r.publish()
	if r.options.Living != nil && now.Sub(r.started) >= startDelay {
		r.options.Living(r.core.Accounts.Living(now))
	}
	if r.options.Lease == nil {
		return
	}
	e := Event{Kind: EventTick, WindowTime: r.windowTime(), Remaining: r.options.Lease.Remaining()}
	if token, held := r.options.Lease.Held(); held {
		e.Token = token
	}
	r.execute(r.core.Step(now, e))
}

func (r *Reporter) publish() {
	if u, ok := r.core.Accounts.Publish(r.options.Clock.Now(), r.windowTime()); ok {
		r.options.Publish(u)
	}
}

// execute executes the actions of the core. Calls are put on the rings of calls.
func (r *Reporter) execute(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ActionReport:
			r.queue(r.apiCalls, a)
		case ActionGiveUp:
			r.options.Lease.GiveUp(a.Cause)
		case ActionRaiseToken:
			r.options.Lease.RaiseToken(a.Number)
		case ActionObserve:
			r.observe(a)
		default:
			r.queue(r.storeCalls, a)
		}
	}
}

// queue puts a call on a ring of calls. The ring is full only if calls of earlier terms
// hang, and the call then counts as failed.
func (r *Reporter) queue(ring *buffer.Ring[Action, buffer.Reject], a Action) {
	if !ring.Put(r.ctx, a) {
		r.execute(r.core.Step(r.options.Clock.Now(), a.failed(OutcomeUnavailable)))
	}
}

// observe logs and counts a result.
func (r *Reporter) observe(a Action) {
	r.options.Observe(a.Result, max(1, a.Windows))
	klog.InfoS("usage report", "result", a.Result, "window", a.Window, "windows", a.Windows, "token", a.Token)
}
