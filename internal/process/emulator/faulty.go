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

// Call is a kind of call of the object API.
type Call string

// The kinds of calls.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallPut    Call = "put"
	CallDelete Call = "delete"
	CallWatch  Call = "watch"
)

// Faults says how a platform misbehaves. The zero value is a healthy one.
// Rates are probabilities from 0 to 1 for each call.
type Faults struct {
	// Down makes every call fail and ends the watches that wait.
	Down bool
	// Delay is the time that each call takes before it has its effect.
	Delay time.Duration
	// LostAnswer is the rate of writes whose answer is lost after the write took
	// effect.
	LostAnswer float64
	// Conflict is the rate of writes that are refused with a conflict although
	// the object has the expected version. Real stores do this when a write of
	// theirs is repeated internally.
	Conflict float64
	// SkippedWatch is the rate of watches that miss the first change, and
	// RepeatedWatch that of watches that return the object before its change.
	SkippedWatch  float64
	RepeatedWatch float64
	// StaleRead is the rate of reads that return the object before its last
	// change.
	StaleRead float64
}

// FaultyOptions configures a Faulty.
type FaultyOptions struct {
	Store accessor.Store
	Clock timer.Clock
	// Seed makes the choices of the faults repeatable.
	Seed uint64
}

// Faulty is an [accessor.Store] that brings about the faults of a platform on
// another store. A duty owns the faults, the counts and the previous objects.
type Faulty struct {
	options FaultyOptions
	state   *buffer.Ring[func(*faults), buffer.Block]
	done    chan struct{}
}

// faults is the state that the duty owns.
type faults struct {
	Faults
	random   *rand.Rand
	counts   map[Call]int
	previous map[string]accessor.Object
	latest   map[string]accessor.Object
	forced   []forced
	// outage is closed when the platform goes down.
	outage chan struct{}
}

// forced is a fault for the next calls on some keys.
type forced struct {
	call   Call
	prefix string
	left   int
	faults Faults
}

// NewFaulty starts a platform without faults.
func NewFaulty(o FaultyOptions) *Faulty {
	f := &Faulty{
		options: o,
		state:   buffer.New[func(*faults), buffer.Block]("faulty_state", 256),
		done:    make(chan struct{}),
	}
	go func() {
		defer close(f.done)
		s := &faults{
			random: rand.New(rand.NewPCG(o.Seed, 1)), counts: map[Call]int{},
			previous: map[string]accessor.Object{}, latest: map[string]accessor.Object{},
			outage: make(chan struct{}),
		}
		for {
			change, ok := f.state.Take(context.Background())
			if !ok {
				return
			}
			change(s)
		}
	}()
	return f
}

// Stop ends the duty. Later calls fail.
func (f *Faulty) Stop() {
	f.state.Close()
	<-f.done
}

// Set replaces the faults.
func (f *Faulty) Set(w Faults) {
	f.with(func(s *faults) {
		if w.Down && !s.Down {
			close(s.outage)
		}
		if !w.Down && s.Down {
			s.outage = make(chan struct{})
		}
		s.Faults = w
	})
}

// Force adds w to the faults of the next n calls of the given kind on keys that
// start with prefix. Several such orders for the same calls follow each other.
func (f *Faulty) Force(call Call, prefix string, n int, w Faults) {
	f.with(func(s *faults) { s.forced = append(s.forced, forced{call, prefix, n, w}) })
}

// Counts returns the number of calls by kind. A watch counts once, however
// long it waits.
func (f *Faulty) Counts() map[Call]int {
	var out map[Call]int
	f.with(func(s *faults) { out = maps.Clone(s.counts) })
	return out
}

// Get implements [accessor.Store].
func (f *Faulty) Get(ctx context.Context, key string) (accessor.Object, error) {
	p, err := f.begin(ctx, CallGet, key)
	if err != nil {
		return accessor.Object{}, err
	}
	o, err := f.options.Store.Get(ctx, key)
	if err != nil {
		return o, err
	}
	f.learn(key, o)
	if old, ok := f.before(key); ok && p.stale {
		return old, nil
	}
	return o, nil
}

// List implements [accessor.Store].
func (f *Faulty) List(ctx context.Context, prefix string) ([]accessor.Object, error) {
	if _, err := f.begin(ctx, CallList, prefix); err != nil {
		return nil, err
	}
	return f.options.Store.List(ctx, prefix)
}

// Put implements [accessor.Store].
func (f *Faulty) Put(ctx context.Context, key string, value []byte, expect int64) (accessor.Object, error) {
	p, err := f.begin(ctx, CallPut, key)
	if err != nil {
		return accessor.Object{}, err
	}
	o, err := f.options.Store.Put(ctx, key, value, expect)
	if err == nil {
		f.learn(key, o)
	}
	if err == nil && p.lost {
		return accessor.Object{}, lost("put " + key)
	}
	return o, err
}

// Delete implements [accessor.Store].
func (f *Faulty) Delete(ctx context.Context, key string, expect int64) error {
	p, err := f.begin(ctx, CallDelete, key)
	if err != nil {
		return err
	}
	err = f.options.Store.Delete(ctx, key, expect)
	if err == nil {
		f.learn(key, accessor.Object{Key: key})
	}
	if err == nil && p.lost {
		return lost("delete " + key)
	}
	return err
}

// Watch implements [accessor.Store].
func (f *Faulty) Watch(ctx context.Context, key string, after int64) (accessor.Object, error) {
	p, err := f.begin(ctx, CallWatch, key)
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
		return accessor.Object{}, unavailable("watch " + key)
	default:
	}
	if err != nil {
		return o, err
	}
	f.learn(key, o)
	if old, ok := f.before(key); ok && p.repeated {
		return old, nil
	}
	return o, nil
}

// plan is what goes wrong in one call.
type plan struct {
	delay                                          time.Duration
	down, lost, conflict, skipped, repeated, stale bool
	outage                                         chan struct{}
}

// begin counts a call, waits for its delay and fails if the fault comes before
// the effect.
func (f *Faulty) begin(ctx context.Context, call Call, key string) (plan, error) {
	p := plan{down: true}
	f.with(func(s *faults) { p = s.plan(call, key) })
	op := string(call) + " " + key
	if p.delay > 0 {
		wake, stop := f.options.Clock.After(p.delay)
		defer stop()
		select {
		case <-wake:
		case <-ctx.Done():
			return p, unavailable(op)
		}
	}
	if p.down {
		return p, unavailable(op)
	}
	if p.conflict {
		return p, &accessor.Error{Op: op, Kind: accessor.ErrorConflict, Err: errConflict}
	}
	return p, nil
}

func (s *faults) plan(call Call, key string) plan {
	s.counts[call]++
	w := s.Faults
	for i := range s.forced {
		e := &s.forced[i]
		if e.left == 0 || e.call != call || !strings.HasPrefix(key, e.prefix) {
			continue
		}
		e.left--
		w = add(w, e.faults)
		break
	}
	write := call == CallPut || call == CallDelete
	return plan{
		delay: w.Delay, down: w.Down, outage: s.outage,
		lost: s.happens(w.LostAnswer) && write, conflict: s.happens(w.Conflict) && write,
		skipped: s.happens(w.SkippedWatch), repeated: s.happens(w.RepeatedWatch), stale: s.happens(w.StaleRead),
	}
}

// happens draws a number even for a rate of zero, so that the choices of one
// fault do not depend on the rates of the others.
func (s *faults) happens(rate float64) bool { return s.random.Float64() < rate }

func add(a, b Faults) Faults {
	return Faults{
		Down: a.Down || b.Down, Delay: a.Delay + b.Delay,
		LostAnswer: a.LostAnswer + b.LostAnswer, Conflict: a.Conflict + b.Conflict,
		SkippedWatch: a.SkippedWatch + b.SkippedWatch, RepeatedWatch: a.RepeatedWatch + b.RepeatedWatch,
		StaleRead: a.StaleRead + b.StaleRead,
	}
}

func (f *Faulty) learn(key string, o accessor.Object) {
	f.with(func(s *faults) {
		if last, ok := s.latest[key]; ok && last.Version != o.Version {
			s.previous[key] = last
		}
		s.latest[key] = o
	})
}

func (f *Faulty) before(key string) (accessor.Object, bool) {
	var o accessor.Object
	var ok bool
	f.with(func(s *faults) { o, ok = s.previous[key] })
	return o, ok
}

// with runs change in the duty and waits for it. After Stop it does nothing.
func (f *Faulty) with(change func(*faults)) {
	ran := make(chan struct{})
	if !f.state.Put(context.Background(), func(s *faults) { change(s); close(ran) }) {
		return
	}
	select {
	case <-ran:
	case <-f.done:
	}
}

func unavailable(op string) error {
	return &accessor.Error{Op: op, Kind: accessor.ErrorUnavailable, Err: errDown}
}

func lost(op string) error {
	return &accessor.Error{Op: op, Kind: accessor.ErrorOutcomeUnknown, Err: errLost}
}
