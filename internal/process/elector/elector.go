// Package elector implements leader election by leases with fencing numbers.
//
// A lease is an object of the platform that contains its holder, a fencing
// number and a duration. A candidate acquires it only if the last holder has
// released it, or after the record has not changed for its whole duration on
// the clock of the candidate, by an update conditional on the version that the
// candidate read. The holder renews the record, counts the duration from
// before each write and stops acting before the end. A holder checks the lease
// before each action, and so detects after a pause that it has expired. If the
// pause comes after the check, the fencing number of its orders is lower than
// that of the next holder, and their receivers refuse them.
//
// The [Core] is the state machine from events to actions. The [Elector] owns
// it in one goroutine, which makes one call to the platform at a time.
//
// # Usage
//
//	e := elector.New(elector.Options{Name: "placement", Holder: unique, Store: store, Clock: c, Recorder: rec})
//	defer e.Stop()
//	if number, ok := e.Held(); ok {
//		// act, with number in each order
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
	// DefaultDuration is the duration of a lease. With renewals after a third of
	// it, a holder writes every 3.3 s.
	DefaultDuration = 10 * time.Second
	// maxResignCalls is the maximum number of calls with which a stopping holder
	// releases its lease.
	maxResignCalls = 4
	// unknownHolder stands for the holder in an object that cannot be decoded.
	unknownHolder = "unknown"
)

// Options configures an elector.
type Options struct {
	// Name is the name of the lease.
	Name string
	// Holder identifies this start of this process; no two starts share an
	// identifier.
	Holder string
	// Duration is the duration of the lease. Zero means [DefaultDuration].
	Duration time.Duration
	Store    accessor.Store
	Clock    timer.Clock
	// Recorder records the lease being won and lost. It may be nil.
	Recorder *recorder.Recorder
	// Cooldown is the time after the end of its lease in which this process does not
	// acquire it again.
	Cooldown time.Duration
	// WantsLease reports whether this process wants to acquire the lease. The
	// goroutine of the elector calls it, so it must not block. Nil means always.
	WantsLease func() bool
	// Changed is called after the lease has been won or lost, with the new one. The
	// goroutine of the elector calls it, so it must not block. It may be nil.
	Changed func(Lease)
}

// Elector acquires and renews one lease.
type Elector struct {
	options Options
	lease   atomic.Pointer[Lease]
	cancel  context.CancelFunc
	done    chan struct{}
	// givenUp is true from GiveUp until the core has released the lease, and wake ends a
	// wait of the goroutine.
	givenUp atomic.Bool
	wake    chan struct{}
	// minNumber is the value of [Core.MinNumber].
	minNumber atomic.Int64
	// core is used only by the goroutine of the elector.
	core Core
}

// New returns an elector and starts its goroutine.
func New(o Options) *Elector {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Elector{options: o, cancel: cancel, done: make(chan struct{}), wake: make(chan struct{}, 1)}
	e.core = Core{Holder: o.Holder, Duration: o.Duration, Cooldown: o.Cooldown}
	e.lease.Store(&Lease{})
	go func() {
		defer close(e.done)
		next := Event{Kind: EventTimerFired}
		for ctx.Err() == nil {
			next = e.step(ctx, next)
		}
		next = Event{Kind: EventResigned}
		for range maxResignCalls {
			next = e.call(context.Background(), e.decide(next))
		}
	}()
	return e
}

// Held returns the fencing number and whether this process holds the lease
// now. Call it before each action.
func (e *Elector) Held() (int64, bool) {
	l := e.Lease()
	return l.FencingNumber, l.Held(e.options.Clock.Now())
}

// Lease returns the lease of this process. The zero value means that it has none.
func (e *Elector) Lease() Lease {
	l := *e.lease.Load()
	if e.givenUp.Load() || l.FencingNumber <= e.minNumber.Load() {
		return Lease{}
	}
	return l
}

// GiveUp ends the lease of this process at once. It is released in the background and not
// acquired again before the end of [Options.Cooldown].
func (e *Elector) GiveUp() {
	e.givenUp.Store(true)
	e.wakeUp()
}

// RaiseNumber makes the fencing number of this process higher than number. If it is not,
// the lease ends at once and is acquired anew.
func (e *Elector) RaiseNumber(number int64) {
	e.minNumber.Store(number)
	e.wakeUp()
}

func (e *Elector) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Stop releases the lease and waits until the goroutine has ended.
func (e *Elector) Stop() {
	e.cancel()
	<-e.done
}

// step applies an event and returns the next one.
func (e *Elector) step(ctx context.Context, in Event) Event {
	if a := e.decide(in); a.Kind != ActionNone {
		return e.call(ctx, a)
	}
	now := e.options.Clock.Now()
	at := e.core.NextTimer(now)
	wake, stop := e.options.Clock.After(at.Sub(now))
	defer stop()
	if !e.options.Clock.Now().Before(at) {
		return Event{Kind: EventTimerFired}
	}
	select {
	case <-wake:
	case <-e.wake:
	case <-ctx.Done():
	}
	return Event{Kind: EventTimerFired}
}

func (e *Elector) decide(in Event) Action {
	e.core.WantsLease = e.options.WantsLease == nil || e.options.WantsLease()
	e.core.MinNumber = e.minNumber.Load()
	now, givenUp := e.options.Clock.Now(), e.givenUp.Load()
	a := e.core.HandleEvent(now, in)
	if givenUp {
		if b := e.core.HandleEvent(now, Event{Kind: EventGivenUp}); a.Kind == ActionNone {
			a = b
		}
	}
	old, l := e.lease.Load(), e.core.Lease()
	e.lease.Store(&l)
	if givenUp {
		e.givenUp.Store(false)
	}
	if old.FencingNumber != l.FencingNumber {
		e.record(tracer.KindLeaseLost, old.FencingNumber)
		e.record(tracer.KindLeaseWon, l.FencingNumber)
		if e.options.Changed != nil {
			e.options.Changed(l)
		}
	}
	return a
}

func (e *Elector) record(kind tracer.Kind, number int64) {
	if number != 0 && e.options.Recorder != nil {
		e.options.Recorder.Record(tracer.Event{Kind: kind, Reason: e.options.Name + " " + strconv.FormatInt(number, 10)})
	}
}

// call makes one call to the platform. It is cancelled after a quarter of the
// lease duration.
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
		if err != nil {
			// An object that another program has written counts as the lease of an
			// unknown holder, and is replaced once it has not changed for a lease.
			r, err = Record{Holder: unknownHolder, Duration: e.options.Duration}, nil
		}
		return e.result(o, r, err, EventRead)
	case ActionWrite:
		value, err := a.Record.Encode()
		if err != nil {
			return Event{Kind: EventUnavailable}
		}
		o, err := e.options.Store.Put(ctx, key, value, a.ExpectedVersion)
		return e.result(o, a.Record, err, EventWritten)
	}
	return Event{Kind: EventTimerFired}
}

func (e *Elector) result(o accessor.Object, r Record, err error, kind EventKind) Event {
	switch {
	case err == nil:
		return Event{Kind: kind, Version: o.Version, Record: r}
	case accessor.IsKind(err, accessor.ErrorConflict), accessor.IsKind(err, accessor.ErrorMissing):
		return Event{Kind: EventConflicted}
	case accessor.IsKind(err, accessor.ErrorOutcomeUnknown):
		return Event{Kind: EventOutcomeUnknown}
	}
	return Event{Kind: EventUnavailable}
}
