// Package archiver keeps the software versions of streams in the platform.
//
// An entry forgets with its process which software version began a stream, and the other
// entries may end at the same moment, or be out of reach. Each entry therefore writes an
// object with what package resumer decides to keep. Any entry can read those of all.
//
// An [Archiver] is a goroutine that owns the object of its entry. A record that could not be
// written is replaced by the next one, or written again after [RetryInterval]. A [Recaller]
// is a goroutine that reads the objects of all entries: once after the start, and whenever it
// is asked to.
//
// # Usage
//
//	a := archiver.New(archiver.Options{Store: store, Kind: "versions", Identity: "entry-1", Clock: c, Kept: f.VersionsKept})
//	defer a.Stop()
//	a.Keep(record)
//	r := archiver.NewRecaller(archiver.RecallerOptions{Store: store, Kind: "versions", Identity: "entry-1", Clock: c, Recalled: f.RecallVersions})
//	defer r.Stop()
//	r.Recall(1)
package archiver

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/recoverer"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// RetryInterval is the time after which a failed call is repeated.
	RetryInterval = 500 * time.Millisecond
	// callTimeout bounds a call of the platform.
	callTimeout = time.Second
)

// Options configures an archiver.
type Options struct {
	Store accessor.Store
	// Kind is the kind of the objects, and Identity the name of that of this entry.
	Kind     string
	Identity string
	Clock    timer.Clock
	// Kept is called with each record that the platform has acknowledged. It may be nil.
	Kept func(resumer.Record)
	// Recoverer handles panics. It may be nil.
	Recoverer *recoverer.Recoverer
}

// Archiver keeps the record of one entry. Create it with [New].
type Archiver struct {
	options Options
	records *buffer.Ring[resumer.Record, buffer.DropOldest]
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}

	// The fields below are owned by the goroutine.

	// pending is the record that is not written yet, nil if there is none.
	pending *resumer.Record
	// version is that of the object of this entry, if versionKnown is true.
	version      int64
	versionKnown bool
}

// New starts an archiver.
func New(o Options) *Archiver {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Archiver{
		options: o, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		records: buffer.New[resumer.Record, buffer.DropOldest]("archiver_records", 1),
	}
	go func() {
		defer close(a.done)
		for a.step() {
		}
	}()
	return a
}

// Keep replaces the record of this entry. It does not block.
func (a *Archiver) Keep(r resumer.Record) { a.records.Put(a.ctx, r) }

// Stats returns the state of the ring.
func (a *Archiver) Stats() []buffer.Stats { return []buffer.Stats{a.records.Stats()} }

// Stop ends the goroutine and its call.
func (a *Archiver) Stop() {
	a.cancel()
	a.records.Close()
	<-a.done
}

// step waits for one record or the next try and handles it. It returns false after Stop.
func (a *Archiver) step() bool {
	var retry <-chan time.Time
	if a.pending != nil {
		due, stop := a.options.Clock.After(RetryInterval)
		defer stop()
		retry = due
	}
	select {
	case r := <-a.records.C():
		a.pending = &r
	case <-retry:
	case <-a.records.Done():
		return false
	}
	_ = a.options.Recoverer.Run("archiver write", a.write)
	return true
}

// write writes the pending record, if there is one.
func (a *Archiver) write() {
	if a.pending == nil {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	err := a.put(ctx)
	if err != nil {
		// The call may have been executed.
		a.versionKnown = false
		klog.InfoS("software versions of streams not written", "key", a.key(), "err", err)
		return
	}
	kept := *a.pending
	a.pending = nil
	if a.options.Kept != nil {
		a.options.Kept(kept)
	}
}

func (a *Archiver) put(ctx context.Context) error {
	value, err := encode(a.options.Clock.Now(), *a.pending)
	if err != nil {
		return err
	}
	if !a.versionKnown {
		o, err := a.options.Store.Get(ctx, a.key())
		if err != nil {
			return err
		}
		a.version, a.versionKnown = o.Version, true
	}
	o, err := a.options.Store.Put(ctx, a.key(), value, a.version)
	if err != nil {
		return err
	}
	a.version = o.Version
	return nil
}

func (a *Archiver) key() string { return a.options.Kind + "/" + a.options.Identity }
