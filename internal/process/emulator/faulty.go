package emulator

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// CallKind is an operation of [accessor.Store].
type CallKind string

// The operations.
const (
	CallGet    CallKind = "get"
	CallList   CallKind = "list"
	CallPut    CallKind = "put"
	CallDelete CallKind = "delete"
	CallWatch  CallKind = "watch"
)

// Faults selects the faults of a [FaultyStore]. The zero value injects none.
// Rates are probabilities from 0 to 1 for each call.
type Faults struct {
	// Down makes every call fail and ends pending watches.
	Down bool
	// Delay is the delay of each call before it takes effect.
	Delay time.Duration
	// LostAnswer is the rate of writes that take effect but whose answer is lost.
	LostAnswer float64
	// Conflict is the rate of writes that fail with a conflict although the
	// object has the expected version. Real stores do this when they retry a
	// write internally.
	Conflict float64
	// SkippedWatch is the rate of watches that miss the first change.
	// RepeatedWatch is the rate of watches that return the previous version of
	// the object.
	SkippedWatch  float64
	RepeatedWatch float64
	// StaleRead is the rate of reads that return the previous version of the
	// object.
	StaleRead float64
}

// FaultyStoreOptions configures a [FaultyStore].
type FaultyStoreOptions struct {
	Store accessor.Store
	Clock timer.Clock
	// Seed seeds the random choice of the faulty calls.
	Seed uint64
}

// FaultyStore is an [accessor.Store] that injects faults into the calls of
// another store. One goroutine owns the faults, the call counts and the previous
// versions of the objects.
type FaultyStore struct {
	options FaultyStoreOptions
	calls   *buffer.Ring[func(*faultyState), buffer.Block]
	done    chan struct{}
}

// faultyState is owned by the goroutine of a [FaultyStore].
type faultyState struct {
	Faults
	random   *rand.Rand
	counts   map[CallKind]int
	previous map[string]accessor.Object
	latest   map[string]accessor.Object
	forced   []forcedFaults
	// outage is closed when Down is set, which ends pending watches.
	outage chan struct{}
}

// forcedFaults applies to the next callsLeft calls on keys with a prefix.
type forcedFaults struct {
	call      CallKind
	prefix    string
	callsLeft int
	faults    Faults
}

// NewFaultyStore starts a store that injects no faults yet.
func NewFaultyStore(o FaultyStoreOptions) *FaultyStore {
	f := &FaultyStore{
		options: o,
		calls:   buffer.New[func(*faultyState), buffer.Block]("faulty_state", 256),
		done:    make(chan struct{}),
	}
	go func() {
		defer close(f.done)
		s := &faultyState{
			random: rand.New(rand.NewPCG(o.Seed, 1)), counts: map[CallKind]int{},
			previous: map[string]accessor.Object{}, latest: map[string]accessor.Object{},
			outage: make(chan struct{}),
		}
		for {
			change, ok := f.calls.Take(context.Background())
			if !ok {
				return
			}
			change(s)
		}
	}()
	return f
}

// Stop ends the goroutine. Later calls fail.
func (f *FaultyStore) Stop() {
	f.calls.Close()
	<-f.done
}

// Set replaces the faults of all later calls. It leaves forced faults in place.
func (f *FaultyStore) Set(faults Faults) {
	f.do(func(s *faultyState) {
		if faults.Down && !s.Down {
			close(s.outage)
		}
		if !faults.Down && s.Down {
			s.outage = make(chan struct{})
		}
		s.Faults = faults
	})
}

// Force injects faults, in addition to those of Set, into the next n calls of the
// given kind on keys that start with prefix. If several forced faults match, they
// are used up one after the other.
func (f *FaultyStore) Force(call CallKind, prefix string, n int, faults Faults) {
	f.do(func(s *faultyState) { s.forced = append(s.forced, forcedFaults{call, prefix, n, faults}) })
}

// Counts returns the number of calls by kind. A watch counts once, however long
// it waits.
func (f *FaultyStore) Counts() map[CallKind]int {
	var out map[CallKind]int
	f.do(func(s *faultyState) { out = maps.Clone(s.counts) })
	return out
}

// Get implements [accessor.Store].
func (f *FaultyStore) Get(ctx context.Context, key string) (accessor.Object, error) {
	p, err := f.startCall(ctx, CallGet, key)
	if err != nil {
		return accessor.Object{}, err
	}
	o, err := f.options.Store.Get(ctx, key)
	if err != nil {
		return o, err
	}
	f.recordVersion(key, o)
	if old, ok := f.previousVersion(key); ok && p.stale {
		return old, nil
	}
	return o, nil
}

// List implements [accessor.Store].
func (f *FaultyStore) List(ctx context.Context, prefix string) ([]accessor.Object, error) {
	if _, err := f.startCall(ctx, CallList, prefix); err != nil {
		return nil, err
	}
	return f.options.Store.List(ctx, prefix)
}

// Put implements [accessor.Store].
func (f *FaultyStore) Put(ctx context.Context, key string, value []byte, expect int64) (accessor.Object, error) {
	p, err := f.startCall(ctx, CallPut, key)
	if err != nil {
		return accessor.Object{}, err
	}
	o, err := f.options.Store.Put(ctx, key, value, expect)
	if err == nil {
		f.recordVersion(key, o)
	}
	if err == nil && p.lost {
		return accessor.Object{}, lostAnswerError("put " + key)
	}
	return o, err
}

// Delete implements [accessor.Store].
func (f *FaultyStore) Delete(ctx context.Context, key string, expect int64) error {
	p, err := f.startCall(ctx, CallDelete, key)
	if err != nil {
		return err
	}
	err = f.options.Store.Delete(ctx, key, expect)
	if err == nil {
		f.recordVersion(key, accessor.Object{Key: key})
	}
	if err == nil && p.lost {
		return lostAnswerError("delete " + key)
	}
	return err
}

// Watch implements [accessor.Store].
func (f *FaultyStore) Watch(ctx context.Context, key string, after int64) (accessor.Object, error) {
	p, err := f.startCall(ctx, CallWatch, key)
	if err != nil {
		return accessor.Object{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-p.outage:
			cancel()
		case <-ended:
		}
	}()
	o, err := f.options.Store.Watch(ctx, key, after)
	if err == nil && p.skipped && o.Version != after {
		o, err = f.options.Store.Watch(ctx, key, o.Version)
	}
	select {
	case <-p.outage:
		return accessor.Object{}, unavailableError("watch " + key)
	default:
	}
	if err != nil {
		return o, err
	}
	f.recordVersion(key, o)
	if old, ok := f.previousVersion(key); ok && p.repeated {
		return old, nil
	}
	return o, nil
}

// callPlan holds the faults chosen for one call.
type callPlan struct {
	delay                                          time.Duration
	down, lost, conflict, skipped, repeated, stale bool
	outage                                         chan struct{}
}

// startCall counts a call, waits for its delay and returns an error if the call
// must fail before it takes effect.
func (f *FaultyStore) startCall(ctx context.Context, call CallKind, key string) (callPlan, error) {
	// After Stop, do has no effect and the call fails.
	p := callPlan{down: true}
	f.do(func(s *faultyState) { p = s.planCall(call, key) })
	op := string(call) + " " + key
	if p.delay > 0 {
		wake, stop := f.options.Clock.After(p.delay)
		defer stop()
		select {
		case <-wake:
		case <-ctx.Done():
			return p, unavailableError(op)
		}
	}
	if p.down {
		return p, unavailableError(op)
	}
	if p.conflict {
		return p, &accessor.Error{Op: op, Kind: accessor.ErrorConflict, Err: errConflict}
	}
	return p, nil
}

func (s *faultyState) planCall(call CallKind, key string) callPlan {
	s.counts[call]++
	faults := s.Faults
	for i := range s.forced {
		e := &s.forced[i]
		if e.callsLeft == 0 || e.call != call || !strings.HasPrefix(key, e.prefix) {
			continue
		}
		e.callsLeft--
		faults = sumFaults(faults, e.faults)
		break
	}
	write := call == CallPut || call == CallDelete
	return callPlan{
		delay: faults.Delay, down: faults.Down, outage: s.outage,
		lost: s.draw(faults.LostAnswer) && write, conflict: s.draw(faults.Conflict) && write,
		skipped: s.draw(faults.SkippedWatch), repeated: s.draw(faults.RepeatedWatch), stale: s.draw(faults.StaleRead),
	}
}

// draw decides whether a fault with the given rate occurs. It draws a random
// number even for a rate of zero, so that the choices for one fault don't depend
// on the rates of the others.
func (s *faultyState) draw(rate float64) bool { return s.random.Float64() < rate }

func sumFaults(a, b Faults) Faults {
	return Faults{
		Down: a.Down || b.Down, Delay: a.Delay + b.Delay,
		LostAnswer: a.LostAnswer + b.LostAnswer, Conflict: a.Conflict + b.Conflict,
		SkippedWatch: a.SkippedWatch + b.SkippedWatch, RepeatedWatch: a.RepeatedWatch + b.RepeatedWatch,
		StaleRead: a.StaleRead + b.StaleRead,
	}
}

// recordVersion stores o as the latest version of the object, and the version
// before it as the previous one.
func (f *FaultyStore) recordVersion(key string, o accessor.Object) {
	f.do(func(s *faultyState) {
		if last, ok := s.latest[key]; ok && last.Version != o.Version {
			s.previous[key] = last
		}
		s.latest[key] = o
	})
}

func (f *FaultyStore) previousVersion(key string) (accessor.Object, bool) {
	var o accessor.Object
	var ok bool
	f.do(func(s *faultyState) { o, ok = s.previous[key] })
	return o, ok
}

// do runs change on the store's goroutine and waits for it. After Stop it does
// nothing.
func (f *FaultyStore) do(change func(*faultyState)) {
	done := make(chan struct{})
	if !f.calls.Put(context.Background(), func(s *faultyState) { change(s); close(done) }) {
		return
	}
	select {
	case <-done:
	case <-f.done:
	}
}

func unavailableError(op string) error {
	return &accessor.Error{Op: op, Kind: accessor.ErrorUnavailable, Err: errDown}
}

func lostAnswerError(op string) error {
	return &accessor.Error{Op: op, Kind: accessor.ErrorOutcomeUnknown, Err: errLost}
}
