package writer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// bench is a platform and a writer on it.
type bench struct {
	store *emulator.FaultyStore
	clock *timer.Manual
	w     Writer
}

func newBench(t *testing.T) bench {
	t.Helper()
	p := emulator.NewPlatform()
	clock := timer.NewManual(time.Unix(1000, 0))
	f := emulator.NewFaultyStore(emulator.FaultyStoreOptions{Store: p, Clock: clock, Seed: 1})
	t.Cleanup(func() { f.Stop(); p.Stop() })
	return bench{f, clock, Writer{Store: f, Clock: clock, Name: "test"}}
}

func class(name string, tier int) descriptor.Record {
	return descriptor.Record{SchemaVersion: 2, Kind: descriptor.KindClass, Name: name, Class: &descriptor.Class{Tier: tier}}
}

func organisation(name, class string) descriptor.Record {
	return descriptor.Record{SchemaVersion: 2, Kind: descriptor.KindOrganisation, Name: name, Organisation: &descriptor.Organisation{DefaultClass: class}}
}

func assertChange(t *testing.T, w Writer, c Change, revision int64, states ...State) {
	t.Helper()
	is := is.New(t)
	result, err := w.Change(t.Context(), c)
	is.NoErr(err)
	is.Equal(result.Revision, revision)
	for i, r := range c.Put {
		is.Equal(result.States[r.Key()], states[i])
	}
}

func assertTier(t *testing.T, s accessor.Store, name string, tier int) {
	t.Helper()
	is := is.New(t)
	_, c, err := Read(t.Context(), s)
	is.NoErr(err)
	is.Equal(c.Entries[class(name, 0).Key()].Record.Class.Tier, tier)
}

func assertKind(t *testing.T, err error, kind ErrorKind) {
	t.Helper()
	is := is.New(t)
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, kind)
}

// assertConflict checks that err is a conflict that carries both versions,
// given by their tiers. Zero stands for a withdrawn record.
func assertConflict(t *testing.T, err error, mine, theirs int) {
	t.Helper()
	is := is.New(t)
	assertKind(t, err, ErrorConflict)
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(tierOf(e.Mine), mine)
	is.Equal(tierOf(e.Theirs), theirs)
}

func tierOf(r *descriptor.Record) int {
	if r == nil {
		return 0
	}
	return r.Class.Tier
}

// Operators must learn what a change did, and a change without effect must not
// make a revision.
func TestStates(t *testing.T) {
	b := newBench(t)
	is := is.New(t)
	assertChange(t, b.w, Change{Put: []descriptor.Record{class("a", 1), class("b", 2)}}, 1, StateCreated, StateCreated)
	assertChange(t, b.w, Change{Put: []descriptor.Record{class("a", 1), class("b", 3)}}, 2, StateUnchanged, StateChanged)
	assertChange(t, b.w, Change{Put: []descriptor.Record{class("a", 1)}}, 2, StateUnchanged)
	result, err := b.w.Change(t.Context(), Change{Withdraw: []descriptor.Key{class("a", 0).Key()}})
	is.NoErr(err)
	is.Equal(result.States[class("a", 0).Key()], StateWithdrawn)
	_, c, err := Read(t.Context(), b.store)
	is.NoErr(err)
	is.Equal(len(c.Entries), 1)
}

// A bad set must be refused as a whole and leave nothing behind.
func TestBadSet(t *testing.T) {
	b := newBench(t)
	assertChange(t, b.w, Change{Put: []descriptor.Record{class("a", 1), organisation("o", "a")}}, 1, StateCreated, StateCreated)
	before := b.store.Counts()[emulator.CallPut]
	_, err := b.w.Change(t.Context(), Change{Put: []descriptor.Record{class("b", 1), organisation("p", "none")}})
	assertKind(t, err, ErrorInvalid)
	_, err = b.w.Change(t.Context(), Change{Withdraw: []descriptor.Key{class("a", 0).Key()}})
	assertKind(t, err, ErrorInvalid)
	is := is.New(t)
	is.Equal(b.store.Counts()[emulator.CallPut], before)
	head, _, err := Read(t.Context(), b.store)
	is.NoErr(err)
	is.Equal(head.Revision, int64(1))
}

// interloper changes the records just before the first write of the head.
type interloper struct {
	accessor.Store
	once  *sync.Once
	other func()
}

func (s interloper) Put(ctx context.Context, key string, value []byte, expect int64) (accessor.Object, error) {
	if key == cataloger.HeadKey {
		s.once.Do(s.other)
	}
	return s.Store.Put(ctx, key, value, expect)
}

func TestConcurrentChange(t *testing.T) {
	run := func(t *testing.T, other, mine Change) (bench, Result, error) {
		t.Helper()
		b := newBench(t)
		assertChange(t, b.w, Change{Put: []descriptor.Record{class("a", 1), class("b", 1)}}, 1, StateCreated, StateCreated)
		w := b.w
		w.Store = interloper{b.store, &sync.Once{}, func() {
			_, err := b.w.Change(t.Context(), other)
			is.New(t).NoErr(err)
		}}
		result, err := w.Change(t.Context(), mine)
		return b, result, err
	}
	a2, a3, b5 := class("a", 2), class("a", 3), class("b", 5)
	t.Run("other record", func(t *testing.T) {
		b, result, err := run(t, Change{Put: []descriptor.Record{b5}}, Change{Put: []descriptor.Record{a2}})
		is.New(t).NoErr(err)
		is.New(t).Equal(result.Revision, int64(3))
		assertTier(t, b.store, "a", 2)
		assertTier(t, b.store, "b", 5)
	})
	t.Run("same record", func(t *testing.T) {
		b, _, err := run(t, Change{Put: []descriptor.Record{a3}}, Change{Put: []descriptor.Record{a2, b5}})
		assertConflict(t, err, 2, 3)
		assertTier(t, b.store, "a", 3)
		assertTier(t, b.store, "b", 1)
	})
	t.Run("same record with the same content", func(t *testing.T) {
		_, _, err := run(t, Change{Put: []descriptor.Record{a2}}, Change{Put: []descriptor.Record{a2}})
		is.New(t).NoErr(err)
	})
	t.Run("withdrawn by the other", func(t *testing.T) {
		_, _, err := run(t, Change{Withdraw: []descriptor.Key{a2.Key()}}, Change{Put: []descriptor.Record{a2}})
		assertConflict(t, err, 2, 0)
	})
	t.Run("changed since the author read it", func(t *testing.T) {
		b := newBench(t)
		assertChange(t, b.w, Change{Put: []descriptor.Record{class("a", 1)}}, 1, StateCreated)
		assertChange(t, b.w, Change{Put: []descriptor.Record{a3}}, 2, StateChanged)
		_, err := b.w.Change(t.Context(), Change{Put: []descriptor.Record{a2}, Base: 1})
		assertConflict(t, err, 2, 3)
	})
}

// Many writers at once must lose no change.
func TestManyWriters(t *testing.T) {
	b := newBench(t)
	is := is.New(t)
	const writers, changes = 8, 4
	var all sync.WaitGroup
	for i := range writers {
		all.Go(func() {
			for n := range changes {
				_, err := b.w.Change(context.Background(), Change{Put: []descriptor.Record{class(fmt.Sprint(i, ".", n), 1)}})
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
	all.Wait()
	head, c, err := Read(t.Context(), b.store)
	is.NoErr(err)
	is.Equal(len(c.Entries), writers*changes)
	is.Equal(head.Revision, int64(writers*changes))
}

// A write whose answer was lost must be neither repeated nor reported as
// failed.
func TestLostAnswer(t *testing.T) {
	t.Run("of the head", func(t *testing.T) {
		b := newBench(t)
		b.store.Force(emulator.CallPut, cataloger.HeadKey, 1, emulator.Faults{LostAnswer: 1})
		assertChange(t, b.w, Change{Put: []descriptor.Record{class("a", 1)}}, 1, StateCreated)
		is := is.New(t)
		head, _, err := Read(t.Context(), b.store)
		is.NoErr(err)
		is.Equal(head.Revision, int64(1))
		is.Equal(b.store.Counts()[emulator.CallPut], 2)
	})
	t.Run("of the head with a later change by another", func(t *testing.T) {
		b := newBench(t)
		assertChange(t, b.w, Change{Put: []descriptor.Record{class("a", 1)}}, 1, StateCreated)
		w := b.w
		w.Store = &lostThenChanged{Store: b.store, other: func() {
			assertChange(t, b.w, Change{Put: []descriptor.Record{class("a", 7)}}, 3, StateChanged)
		}}
		assertChange(t, w, Change{Put: []descriptor.Record{class("a", 2)}}, 2, StateChanged)
		assertTier(t, b.store, "a", 7)
	})
	t.Run("of the head before an outage", func(t *testing.T) {
		b := newBench(t)
		b.store.Force(emulator.CallPut, cataloger.HeadKey, 1, emulator.Faults{LostAnswer: 1})
		b.store.Force(emulator.CallGet, cataloger.HeadKey, 1, emulator.Faults{})
		b.store.Force(emulator.CallGet, cataloger.HeadKey, 1, emulator.Faults{Down: true})
		go func() {
			for b.clock.PendingTimers() == 0 {
				time.Sleep(time.Millisecond)
			}
			b.clock.Advance(readPause)
		}()
		assertChange(t, b.w, Change{Put: []descriptor.Record{class("a", 1)}}, 1, StateCreated)
	})
	t.Run("of the head with many later changes", func(t *testing.T) {
		b := newBench(t)
		w := b.w
		w.Store = &lostThenChanged{Store: b.store, other: func() {
			for i := range keptMarks {
				assertChange(t, b.w, Change{Put: []descriptor.Record{class("b", 1+i%2)}}, int64(3+i), StateChanged)
			}
		}}
		assertChange(t, b.w, Change{Put: []descriptor.Record{class("b", 2)}}, 1, StateCreated)
		_, err := w.Change(t.Context(), Change{Put: []descriptor.Record{class("a", 1)}})
		assertKind(t, err, ErrorUnknown)
	})
	t.Run("of a bucket", func(t *testing.T) {
		b := newBench(t)
		b.store.Force(emulator.CallPut, "records/bucket/", 1, emulator.Faults{LostAnswer: 1})
		assertChange(t, b.w, Change{Put: []descriptor.Record{class("a", 1)}}, 1, StateCreated)
		assertTier(t, b.store, "a", 1)
	})
	t.Run("with stale reads", func(t *testing.T) {
		b := newBench(t)
		assertChange(t, b.w, Change{Put: []descriptor.Record{class("a", 1)}}, 1, StateCreated)
		b.store.Force(emulator.CallPut, cataloger.HeadKey, 1, emulator.Faults{LostAnswer: 1})
		b.store.Force(emulator.CallGet, cataloger.HeadKey, 1, emulator.Faults{})
		b.store.Force(emulator.CallGet, cataloger.HeadKey, 1, emulator.Faults{StaleRead: 1})
		assertChange(t, b.w, Change{Put: []descriptor.Record{class("a", 2)}}, 2, StateChanged)
		assertTier(t, b.store, "a", 2)
	})
}

// lostThenChanged loses the answer to the first write of the head, after which
// another writer changes the same record.
type lostThenChanged struct {
	accessor.Store
	other func()
}

func (s *lostThenChanged) Put(ctx context.Context, key string, value []byte, expect int64) (accessor.Object, error) {
	o, err := s.Store.Put(ctx, key, value, expect)
	if key == cataloger.HeadKey && s.other != nil {
		other := s.other
		s.other = nil
		other()
		return accessor.Object{}, &accessor.Error{Op: "put", Kind: accessor.ErrorOutcomeUnknown, Err: errors.New("no answer")}
	}
	return o, err
}

// An outage must end in an error that says whether anything was changed.
func TestOutage(t *testing.T) {
	b := newBench(t)
	b.store.Set(emulator.Faults{Down: true})
	_, err := b.w.Change(t.Context(), Change{Put: []descriptor.Record{class("a", 1)}})
	assertKind(t, err, ErrorPlatform)
}

// Replaced buckets must not fill the platform, yet stay for slow readers.
func TestOldBucketsAreDeleted(t *testing.T) {
	b := newBench(t)
	is := is.New(t)
	for i := range 5 {
		_, err := b.w.Change(t.Context(), Change{Put: []descriptor.Record{class("a", 1+i)}})
		is.NoErr(err)
	}
	objects, err := b.store.List(t.Context(), "records/bucket/")
	is.NoErr(err)
	is.Equal(len(objects), 5)
	b.clock.Advance(keepReplaced)
	_, err = b.w.Change(t.Context(), Change{Put: []descriptor.Record{class("a", 8)}})
	is.NoErr(err)
	objects, err = b.store.List(t.Context(), "records/bucket/")
	is.NoErr(err)
	is.Equal(len(objects), 2)
	assertTier(t, b.store, "a", 8)
}
