// Package watcher brings the accepted records into force in a process.
//
// Two relays of each availability zone watch the head in the platform. All
// other processes hear from their peers which revision is the latest, and fetch
// a delta or the buckets that differ. Revisions only increase: an older one,
// from a stale read, a replayed message or a lagging peer, is refused. A
// process that starts waits until two peers have told it their revisions, and
// takes the highest.
//
// [Decision] is the decision: events in, actions out. A [Watcher] is the duty
// that drives it. Calls of the platform and of peers run beside the duty and
// report to its ring.
//
// # Usage
//
//	w := watcher.New(watcher.Options{
//		Store: store, Clock: c, Recorder: rec, Apply: []func(*compiler.Snapshot){router.Apply},
//		Fetch: exchanger.FetchRecords,
//	})
//	defer w.Stop()
//	w.Heard(link, identity, revision)
//	w.Relay(true)
package watcher

import (
	"context"
	"sync/atomic"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/writer"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	// retryPause is the time between two calls while the platform is down.
	retryPause = 500 * time.Millisecond
	// inputCapacity is the number of events that may wait for the duty.
	inputCapacity = 256
)

// Options configures a watcher.
type Options struct {
	Store    accessor.Store
	Clock    timer.Clock
	Recorder *recorder.Recorder
	// Apply lists the duties that read snapshots.
	Apply []func(*compiler.Snapshot)
	// Announce is called with each revision in force. It may be nil.
	Announce func(revision int64)
	// Fetch asks a peer for records. It may be nil in a process without peers.
	Fetch func(ctx context.Context, link string, q messenger.FetchRecords) (*messenger.Records, error)
}

// Watcher watches the accepted records.
type Watcher struct {
	options Options
	input   *buffer.Ring[Event, buffer.Block]
	holding atomic.Pointer[Holding]
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	// The fields below are owned by the duty.
	decision Decision
	unwatch  context.CancelFunc
}

// New starts a watcher.
func New(o Options) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		options: o, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		input: buffer.New[Event, buffer.Block]("watcher_input", inputCapacity),
	}
	w.holding.Store(&Holding{})
	go func() {
		defer close(w.done)
		for w.step() {
		}
	}()
	return w
}

// Stop ends the duty and its calls.
func (w *Watcher) Stop() {
	w.input.Close()
	w.cancel()
	<-w.done
}

// Relay says whether this process watches the platform.
func (w *Watcher) Relay(on bool) { w.put(Event{Kind: EventRelay, Relay: on}) }

// Heard says which revision the peer at the end of a link has, and how many
// entries are known, zero if that is not known.
func (w *Watcher) Heard(link, identity string, revision int64, known int) {
	w.put(Event{Kind: EventHeard, Peer: link, Identity: identity, Revision: revision, Known: known})
}

// Gone says that a link has ended.
func (w *Watcher) Gone(link string) { w.put(Event{Kind: EventGone, Peer: link}) }

// Handle answers the message fetch_records.
func (w *Watcher) Handle(_ *messenger.Conn, m messenger.Message) (any, error) {
	var q messenger.FetchRecords
	if err := m.Decode(&q); err != nil {
		return nil, err
	}
	return Answer(*w.holding.Load(), q), nil
}

// Stats returns the state of the input ring.
func (w *Watcher) Stats() buffer.Stats { return w.input.Stats() }

func (w *Watcher) put(e Event) { w.input.Put(w.ctx, e) }

func (w *Watcher) step() bool {
	var wake <-chan time.Time
	if at := w.decision.Wake(); !at.IsZero() {
		c, stop := w.options.Clock.After(at.Sub(w.options.Clock.Now()))
		defer stop()
		wake = c
	}
	e := Event{Kind: EventTicked}
	select {
	case e = <-w.input.C():
	case <-wake:
	case <-w.input.Done():
		return false
	}
	for _, a := range w.decision.Step(w.options.Clock.Now(), e) {
		w.act(a)
	}
	return true
}

func (w *Watcher) act(a Action) {
	switch a.Kind {
	case ActionWatch:
		ctx, cancel := context.WithCancel(w.ctx)
		w.unwatch = cancel
		go w.watch(ctx)
	case ActionUnwatch:
		w.unwatch()
	case ActionRead:
		known := w.decision.Holding.Set
		go func() { w.put(Event{Kind: EventRead, Head: a.Head, Set: w.read(a.Head, known)}) }()
	case ActionFetch:
		go func() { w.put(Event{Kind: EventAnswered, Peer: a.Peer, Answer: w.fetch(a)}) }()
	case ActionInForce:
		h := w.decision.Holding
		w.holding.Store(&h)
		for _, apply := range w.options.Apply {
			apply(a.Snapshot)
		}
		w.options.Recorder.Record(tracer.Event{Kind: tracer.KindRevisionInForce, Revision: a.Revision})
		if w.options.Announce != nil {
			w.options.Announce(a.Revision)
		}
	case ActionRefused:
		w.options.Recorder.Record(tracer.Event{Kind: tracer.KindRevisionRefused, Revision: a.Revision, Reason: a.Reason})
	}
}

// watch reports the head whenever it changes, until ctx ends. After a failure
// it begins anew, so that a change during an outage is not missed.
func (w *Watcher) watch(ctx context.Context) {
	// No object has the version -1, so the first call returns at once.
	version := int64(-1)
	for ctx.Err() == nil {
		o, err := w.options.Store.Watch(ctx, cataloger.HeadKey, version)
		if err != nil {
			version = -1
			w.pause(ctx)
			continue
		}
		if o.Version <= version {
			// The wait of the platform ended without a change, or it gave an older
			// object. The pause bounds the calls should it do so at once.
			w.pause(ctx)
			continue
		}
		h, err := cataloger.DecodeHead(o.Value)
		if err != nil {
			w.options.Recorder.Record(tracer.Event{Kind: tracer.KindRevisionRefused, Reason: err.Error()})
			w.pause(ctx)
			continue
		}
		version = o.Version
		w.put(Event{Kind: EventHead, Head: h})
	}
}

// read reads the set of h, or of the latest head if buckets of h have been
// deleted. It returns nil if the platform gives neither.
func (w *Watcher) read(h cataloger.Head, known *cataloger.Catalog) *cataloger.Catalog {
	c, err := writer.Fetch(w.ctx, w.options.Store, h, known)
	if err == nil {
		return c
	}
	if _, c, err = writer.Read(w.ctx, w.options.Store); err != nil {
		return nil
	}
	return c
}

func (w *Watcher) fetch(a Action) *messenger.Records {
	if w.options.Fetch == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	wake, stop := w.options.Clock.After(fetchTimeout)
	defer stop()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-wake:
			cancel()
		case <-ended:
		}
	}()
	r, err := w.options.Fetch(ctx, a.Peer, a.Query)
	if err != nil {
		return nil
	}
	return r
}

func (w *Watcher) pause(ctx context.Context) {
	wake, stop := w.options.Clock.After(retryPause)
	defer stop()
	select {
	case <-wake:
	case <-ctx.Done():
	}
}
