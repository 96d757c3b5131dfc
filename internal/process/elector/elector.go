// Package elector gives one process at a time the right to do something.
//
// A lease is an object of the platform that names its holder, a fencing number
// and a duration. A candidate takes it over only after the record has not
// changed for its whole duration, measured on the candidate's own clock, by an
// update under the version that it saw. The holder renews the record, counts
// its time from before each write and stops acting before the end. A holder
// that was paused asks for the time before each act and so sees that its lease
// has passed; should it be paused after asking, the number it carries is lower
// than that of the next holder, and those it orders refuse it.
//
// The [Core] decides, from events to actions. The [Elector] is the duty that
// owns it and makes one call of the platform at a time.
//
// # Usage
//
//	e := elector.New(elector.Options{Name: "placement", Holder: unique, Store: store, Clock: c, Recorder: rec})
//	defer e.Stop()
//	if number, ok := e.Held(); ok {
//		// act, carrying number
//	}
package elector

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	// DefaultDuration is the duration of a lease. With renewals after a third, a
	// holder writes every 3.3 s.
	DefaultDuration = 10 * time.Second
	// resignCalls bounds the calls by which a stopping holder gives up its lease.
	resignCalls = 4
)

// Options configures an elector.
type Options struct {
	// Name is the name of the lease.
	Name string
	// Holder names this start of this process; no two starts share a name.
	Holder string
	// Duration is the duration of the lease. Zero means [DefaultDuration].
	Duration time.Duration
	Store    accessor.Store
	Clock    timer.Clock
	Recorder *recorder.Recorder
	// Candidate reports whether this process seeks the lease. It is called by
	// the duty and must not wait. Nil means always.
	Candidate func() bool
}

// Elector seeks and holds one lease.
type Elector struct {
	options Options
	lease   atomic.Pointer[Lease]
	cancel  context.CancelFunc
	done    chan struct{}
	// core is owned by the duty.
	core Core
}

// New starts an elector.
func New(o Options) *Elector {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Elector{options: o, cancel: cancel, done: make(chan struct{}), core: Core{Holder: o.Holder, Duration: o.Duration}}
	e.lease.Store(&Lease{})
	go func() {
		defer close(e.done)
		next := Event{Kind: EventTicked}
		for ctx.Err() == nil {
			next = e.step(ctx, next)
		}
		next = Event{Kind: EventResigned}
		for range resignCalls {
			next = e.call(context.Background(), e.decide(next))
		}
	}()
	return e
}

// Held returns the fencing number if this process holds the lease now. It must
// be asked before each act.
func (e *Elector) Held() (int64, bool) {
	l := e.lease.Load()
	return l.Number, l.Held(e.options.Clock.Now())
}

// Stop gives up the lease and ends the duty.
func (e *Elector) Stop() {
	e.cancel()
	<-e.done
}

// step takes in one event and returns the next.
func (e *Elector) step(ctx context.Context, in Event) Event {
	if a := e.decide(in); a.Kind != ActionNone {
		return e.call(ctx, a)
	}
	now := e.options.Clock.Now()
	at := e.core.Wake(now)
	wake, stop := e.options.Clock.After(at.Sub(now))
	defer stop()
	if !e.options.Clock.Now().Before(at) {
		return Event{Kind: EventTicked}
	}
	select {
	case <-wake:
	case <-ctx.Done():
	}
	return Event{Kind: EventTicked}
}

func (e *Elector) decide(in Event) Action {
	e.core.Seeks = e.options.Candidate == nil || e.options.Candidate()
	a := e.core.Step(e.options.Clock.Now(), in)
	old, l := e.lease.Load(), e.core.Lease()
	e.lease.Store(&l)
	if old.Number != l.Number {
		e.record(tracer.KindLeaseLost, old.Number)
		e.record(tracer.KindLeaseWon, l.Number)
	}
	return a
}

func (e *Elector) record(kind tracer.Kind, number int64) {
	if number != 0 {
		e.options.Recorder.Record(tracer.Event{Kind: kind, Reason: e.options.Name + " " + strconv.FormatInt(number, 10)})
	}
}

// call makes one call of the platform. A call that takes a quarter of the
// duration counts as not answered.
func (e *Elector) call(ctx context.Context, a Action) Event {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wake, stop := e.options.Clock.After(e.options.Duration / 4)
	defer stop()
	go func() {
		select {
		case <-wake:
			cancel()
		case <-ctx.Done():
		}
	}()
	key := Key(e.options.Name)
	switch a.Kind {
	case ActionRead:
		o, err := e.options.Store.Get(ctx, key)
		if err != nil || o.Version == 0 {
			return e.result(o, Record{}, err, EventRead)
		}
		r, err := DecodeRecord(o.Value)
		return e.result(o, r, err, EventRead)
	case ActionWrite:
		value, err := a.Record.Encode()
		if err != nil {
			return Event{Kind: EventUnavailable}
		}
		o, err := e.options.Store.Put(ctx, key, value, a.Expect)
		return e.result(o, a.Record, err, EventWritten)
	}
	return Event{Kind: EventTicked}
}

func (e *Elector) result(o accessor.Object, r Record, err error, kind EventKind) Event {
	switch {
	case err == nil:
		return Event{Kind: kind, Version: o.Version, Record: r}
	case accessor.IsKind(err, accessor.ErrorConflict):
		return Event{Kind: EventConflicted}
	case accessor.IsKind(err, accessor.ErrorOutcomeUnknown):
		return Event{Kind: EventUnknown}
	}
	return Event{Kind: EventUnavailable}
}
