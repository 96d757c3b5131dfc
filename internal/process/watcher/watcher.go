// Package watcher puts the accepted records in force in a process.
//
// Two relays in each availability zone watch the head object of the platform. All
// other processes receive the revisions of their peers. They request the records
// from the peer with the highest revision, which sends a delta or the buckets that
// differ. Revisions only increase: an older one, from a stale read, a replayed
// message or a lagging peer, is refused.
// A process that starts waits for the revisions of two peers and fetches the
// highest.
//
// [Decision] is the state machine that turns events into actions. A [Watcher] runs
// the goroutine that drives it. Calls of the platform and of peers run in their own
// goroutines and send their results to its input ring.
//
// # Usage
//
//	w := watcher.New(watcher.Options{
//		Store: store, Clock: c, Recorder: rec, Apply: []func(*compiler.Snapshot){router.Apply},
//		Fetch: exchanger.FetchRecords,
//	})
//	defer w.Stop()
//	w.SetPeerRevision(link, identity, revision, knownEntries)
//	w.SetRelay(true)
package watcher

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

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
	// watchRetryInterval is the time between two watch calls after a failure, such
	// as during an outage of the platform.
	watchRetryInterval = 500 * time.Millisecond
	// inputCapacity is the capacity of the input ring. Senders block when it is full.
	inputCapacity = 256
)

// Options configures a watcher.
type Options struct {
	Store    accessor.Store
	Clock    timer.Clock
	Recorder *recorder.Recorder
	// Apply lists the functions that are called with each compiled snapshot, on the
	// watcher's goroutine and before Announce.
	Apply []func(*compiler.Snapshot)
	// Announce is called with each revision that comes into force. It may be nil.
	Announce func(revision int64)
	// Fetch requests records from the peer on a link. It may be nil in a process
	// without peers.
	Fetch func(ctx context.Context, link string, q messenger.FetchRecords) (*messenger.Records, error)
}

// Watcher keeps the records of a process up to date.
type Watcher struct {
	options Options
	input   *buffer.Ring[Event, buffer.Block]
	// active is read by Handle on other goroutines.
	active atomic.Pointer[ActiveRecords]
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	// The fields below are owned by the watcher's goroutine.
	decision    Decision
	cancelWatch context.CancelFunc
}

// New starts a watcher. The caller must call Stop to release it.
func New(o Options) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		options: o, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		input: buffer.New[Event, buffer.Block]("watcher_input", inputCapacity),
	}
	w.active.Store(&ActiveRecords{})
	go func() {
		defer close(w.done)
		for w.step() {
		}
	}()
	return w
}

// Stop ends the goroutine and cancels its calls.
func (w *Watcher) Stop() {
	w.input.Close()
	w.cancel()
	<-w.done
}

// SetRelay starts or stops watching the platform.
func (w *Watcher) SetRelay(on bool) { w.enqueue(Event{Kind: EventRelayChanged, Relay: on}) }

// SetPeerRevision reports the revision of the peer on a link and the number of
// entries that the process knows, zero if it is not known.
func (w *Watcher) SetPeerRevision(link, identity string, revision int64, knownEntries int) {
	w.enqueue(Event{Kind: EventPeerRevision, Link: link, Identity: identity, Revision: revision, KnownEntries: knownEntries})
}

// RemoveLink reports that a link has ended.
func (w *Watcher) RemoveLink(link string) { w.enqueue(Event{Kind: EventLinkClosed, Link: link}) }

// Handle responds to the message fetch_records. It is a [messenger.Handler].
func (w *Watcher) Handle(_ *messenger.Conn, m messenger.Message) (any, error) {
	var q messenger.FetchRecords
	if err := m.Decode(&q); err != nil {
		return nil, err
	}
	return BuildRecords(*w.active.Load(), q), nil
}

// Stats returns the statistics of the input ring.
func (w *Watcher) Stats() buffer.Stats { return w.input.Stats() }

func (w *Watcher) enqueue(e Event) { w.input.Put(w.ctx, e) }

// step processes one event. It returns false after Stop.
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
		w.execute(a)
	}
	return true
}

func (w *Watcher) execute(a Action) {
	switch a.Kind {
	case ActionWatch:
		ctx, cancel := context.WithCancel(w.ctx)
		w.cancelWatch = cancel
		go w.watchHead(ctx)
	case ActionUnwatch:
		w.cancelWatch()
	case ActionReadRecordSet:
		inForce := w.decision.Active.RecordSet
		go func() {
			w.enqueue(Event{Kind: EventRecordSetRead, Head: a.Head, RecordSet: w.readRecordSet(a.Head, inForce)})
		}()
	case ActionFetchRecords:
		go func() { w.enqueue(Event{Kind: EventRecordsFetched, Link: a.Link, Records: w.fetchRecords(a)}) }()
	case ActionActivate:
		active := w.decision.Active
		w.active.Store(&active)
		for _, apply := range w.options.Apply {
			apply(a.Snapshot)
		}
		w.options.Recorder.Record(tracer.Event{Kind: tracer.KindRevisionInForce, Revision: a.Revision})
		if w.options.Announce != nil {
			w.options.Announce(a.Revision)
		}
	case ActionReportRefusal:
		w.options.Recorder.Record(tracer.Event{Kind: tracer.KindRevisionRefused, Revision: a.Revision, Reason: a.Reason})
	}
}

// watchHead watches the head and reports each change, until ctx ends. After a
// failure it requests the current head, so that a change during an outage is not
// missed.
func (w *Watcher) watchHead(ctx context.Context) {
	// No object has the version -1, so the first call returns at once.
	version := int64(-1)
	// Only the first of several failures is logged.
	failing := false
	for ctx.Err() == nil {
		o, err := w.options.Store.Watch(ctx, cataloger.HeadKey, version)
		if err != nil {
			if !failing && ctx.Err() == nil {
				klog.InfoS("watch of the records failed", "err", err)
			}
			failing = true
			version = -1
			w.waitRetry(ctx)
			continue
		}
		failing = false
		if o.Version <= version {
			// The watch timed out without a change or returned an older object. The
			// pause bounds the rate of calls if the platform does this at once.
			w.waitRetry(ctx)
			continue
		}
		h, err := cataloger.DecodeHead(o.Value)
		if err != nil {
			w.options.Recorder.Record(tracer.Event{Kind: tracer.KindRevisionRefused, Reason: err.Error()})
			w.waitRetry(ctx)
			continue
		}
		version = o.Version
		w.enqueue(Event{Kind: EventHeadChanged, Head: h})
	}
}

// readRecordSet reads the record set of h from the platform, or that of the latest
// head if buckets of h have been deleted. It returns nil if both reads fail.
func (w *Watcher) readRecordSet(h cataloger.Head, inForce *cataloger.Catalog) *cataloger.Catalog {
	c, err := writer.Fetch(w.ctx, w.options.Store, h, inForce)
	if err == nil {
		return c
	}
	if _, c, err = writer.Read(w.ctx, w.options.Store); err != nil {
		return nil
	}
	return c
}

// fetchRecords calls Options.Fetch with fetchTimeout. It returns nil if the call
// fails.
func (w *Watcher) fetchRecords(a Action) *messenger.Records {
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
	r, err := w.options.Fetch(ctx, a.Link, a.Query)
	if err != nil {
		return nil
	}
	return r
}

// waitRetry waits for watchRetryInterval or until ctx ends.
func (w *Watcher) waitRetry(ctx context.Context) {
	wake, stop := w.options.Clock.After(watchRetryInterval)
	defer stop()
	select {
	case <-wake:
	case <-ctx.Done():
	}
}
