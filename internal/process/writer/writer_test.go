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

// fixture is a writer on an emulated platform.
type fixture struct {
	store  *emulator.FaultyStore
	clock  *timer.Manual
	writer Writer
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	p := emulator.NewPlatform()
	clock := timer.NewManual(time.Unix(1000, 0))
	faulty := emulator.NewFaultyStore(emulator.FaultyStoreOptions{Store: p, Clock: clock, Seed: 1})
	t.Cleanup(func() { faulty.Stop(); p.Stop() })
	return fixture{faulty, clock, Writer{Store: faulty, Clock: clock, Name: "test"}}
}

func class(name string, tier int) descriptor.Record {
	return descriptor.Record{SchemaVersion: 2, Kind: descriptor.KindClass, Name: name, Class: &descriptor.Class{Tier: tier}}
}

func organisation(name, class string) descriptor.Record {
	return descriptor.Record{SchemaVersion: 2, Kind: descriptor.KindOrganisation, Name: name, Organisation: &descriptor.Organisation{DefaultClass: class}}
}

// assertChange applies c and checks the revision and the states of the put
// records.
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

// assertConflict checks that err is a conflict that contains both versions of the
// class, identified by their tiers. Zero means a withdrawn record.
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

// A change must report its effect on each record, and a change without effect
// must not create a revision.
func TestChangeReportsStateOfEachRecord(t *testing.T) {
	f := newFixture(t)
	is := is.New(t)
	assertChange(t, f.writer, Change{Put: []descriptor.Record{class("a", 1), class("b", 2)}}, 1, StateCreated, StateCreated)
	assertChange(t, f.writer, Change{Put: []descriptor.Record{class("a", 1), class("b", 3)}}, 2, StateUnchanged, StateChanged)
	assertChange(t, f.writer, Change{Put: []descriptor.Record{class("a", 1)}}, 2, StateUnchanged)
	result, err := f.writer.Change(t.Context(), Change{Withdraw: []descriptor.Key{class("a", 0).Key()}})
	is.NoErr(err)
	is.Equal(result.States[class("a", 0).Key()], StateWithdrawn)
	_, c, err := Read(t.Context(), f.store)
	is.NoErr(err)
	is.Equal(len(c.Entries), 1)
}

// An invalid set must be refused as a whole, before any write to the platform.
func TestInvalidSetIsRefusedAsAWhole(t *testing.T) {
	f := newFixture(t)
	assertChange(t, f.writer, Change{Put: []descriptor.Record{class("a", 1), organisation("o", "a")}}, 1, StateCreated, StateCreated)
	before := f.store.Counts()[emulator.CallPut]
	_, err := f.writer.Change(t.Context(), Change{Put: []descriptor.Record{class("b", 1), organisation("p", "none")}})
	assertKind(t, err, ErrorInvalid)
	_, err = f.writer.Change(t.Context(), Change{Withdraw: []descriptor.Key{class("a", 0).Key()}})
	assertKind(t, err, ErrorInvalid)
	is := is.New(t)
	is.Equal(f.store.Counts()[emulator.CallPut], before)
	head, _, err := Read(t.Context(), f.store)
	is.NoErr(err)
	is.Equal(head.Revision, int64(1))
}

// concurrentChangeStore calls change just before the first write of the head.
type concurrentChangeStore struct {
	accessor.Store
	once   *sync.Once
	change func()
}

func (s concurrentChangeStore) Put(ctx context.Context, key string, value []byte, expect int64) (accessor.Object, error) {
	if key == cataloger.HeadKey {
		s.once.Do(s.change)
	}
	return s.Store.Put(ctx, key, value, expect)
}

// A concurrent change must be retried unless it changed the same record to other
// content. Otherwise a writer would overwrite a change that its operator has not
// seen.
func TestConcurrentChangeConflictsOnlyOnSameRecord(t *testing.T) {
	run := func(t *testing.T, other, mine Change) (fixture, Result, error) {
		t.Helper()
		f := newFixture(t)
		assertChange(t, f.writer, Change{Put: []descriptor.Record{class("a", 1), class("b", 1)}}, 1, StateCreated, StateCreated)
		w := f.writer
		w.Store = concurrentChangeStore{f.store, &sync.Once{}, func() {
			_, err := f.writer.Change(t.Context(), other)
			is.New(t).NoErr(err)
		}}
		result, err := w.Change(t.Context(), mine)
		return f, result, err
	}
	a2, a3, b5 := class("a", 2), class("a", 3), class("b", 5)
	t.Run("change of another record is retried", func(t *testing.T) {
		f, result, err := run(t, Change{Put: []descriptor.Record{b5}}, Change{Put: []descriptor.Record{a2}})
		is.New(t).NoErr(err)
		is.New(t).Equal(result.Revision, int64(3))
		assertTier(t, f.store, "a", 2)
		assertTier(t, f.store, "b", 5)
	})
	t.Run("change of the same record conflicts", func(t *testing.T) {
		f, _, err := run(t, Change{Put: []descriptor.Record{a3}}, Change{Put: []descriptor.Record{a2, b5}})
		assertConflict(t, err, 2, 3)
		assertTier(t, f.store, "a", 3)
		assertTier(t, f.store, "b", 1)
	})
	t.Run("change of the same record to the same content succeeds", func(t *testing.T) {
		_, _, err := run(t, Change{Put: []descriptor.Record{a2}}, Change{Put: []descriptor.Record{a2}})
		is.New(t).NoErr(err)
	})
	t.Run("change of a withdrawn record conflicts", func(t *testing.T) {
		_, _, err := run(t, Change{Withdraw: []descriptor.Key{a2.Key()}}, Change{Put: []descriptor.Record{a2}})
		assertConflict(t, err, 2, 0)
	})
	t.Run("change after the base revision conflicts", func(t *testing.T) {
		f := newFixture(t)
		assertChange(t, f.writer, Change{Put: []descriptor.Record{class("a", 1)}}, 1, StateCreated)
		assertChange(t, f.writer, Change{Put: []descriptor.Record{a3}}, 2, StateChanged)
		_, err := f.writer.Change(t.Context(), Change{Put: []descriptor.Record{a2}, BaseRevision: 1})
		assertConflict(t, err, 2, 3)
	})
}

// Changes of concurrent writers must all be accepted, each in its own revision.
func TestConcurrentWritersLoseNoChange(t *testing.T) {
	f := newFixture(t)
	is := is.New(t)
	const writers, changes = 8, 4
	var all sync.WaitGroup
	for i := range writers {
		all.Go(func() {
			for n := range changes {
				_, err := f.writer.Change(context.Background(), Change{Put: []descriptor.Record{class(fmt.Sprint(i, ".", n), 1)}})
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
	all.Wait()
	head, c, err := Read(t.Context(), f.store)
	is.NoErr(err)
	is.Equal(len(c.Entries), writers*changes)
	is.Equal(head.Revision, int64(writers*changes))
}

// A write whose response was lost after it took effect must be neither repeated
// nor reported as failed.
func TestWriteWithLostResponseIsReadBack(t *testing.T) {
	t.Run("head is written once", func(t *testing.T) {
		f := newFixture(t)
		f.store.Force(emulator.CallPut, cataloger.HeadKey, 1, emulator.Faults{LostAnswer: 1})
		assertChange(t, f.writer, Change{Put: []descriptor.Record{class("a", 1)}}, 1, StateCreated)
		is := is.New(t)
		head, _, err := Read(t.Context(), f.store)
		is.NoErr(err)
		is.Equal(head.Revision, int64(1))
		is.Equal(f.store.Counts()[emulator.CallPut], 2)
	})
	t.Run("change succeeds although another writer changed the record later", func(t *testing.T) {
		f := newFixture(t)
		assertChange(t, f.writer, Change{Put: []descriptor.Record{class("a", 1)}}, 1, StateCreated)
		w := f.writer
		w.Store = &lostResponseStore{Store: f.store, change: func() {
			assertChange(t, f.writer, Change{Put: []descriptor.Record{class("a", 7)}}, 3, StateChanged)
		}}
		assertChange(t, w, Change{Put: []descriptor.Record{class("a", 2)}}, 2, StateChanged)
		assertTier(t, f.store, "a", 7)
	})
	t.Run("head is read back after an outage", func(t *testing.T) {
		f := newFixture(t)
		f.store.Force(emulator.CallPut, cataloger.HeadKey, 1, emulator.Faults{LostAnswer: 1})
		f.store.Force(emulator.CallGet, cataloger.HeadKey, 1, emulator.Faults{})
		f.store.Force(emulator.CallGet, cataloger.HeadKey, 1, emulator.Faults{Down: true})
		go func() {
			for f.clock.PendingTimers() == 0 {
				time.Sleep(time.Millisecond)
			}
			f.clock.Advance(readBackInterval)
		}()
		assertChange(t, f.writer, Change{Put: []descriptor.Record{class("a", 1)}}, 1, StateCreated)
	})
	t.Run("outcome is unknown after more changes than recent writers", func(t *testing.T) {
		f := newFixture(t)
		w := f.writer
		w.Store = &lostResponseStore{Store: f.store, change: func() {
			for i := range maxRecentWriters {
				assertChange(t, f.writer, Change{Put: []descriptor.Record{class("b", 1+i%2)}}, int64(3+i), StateChanged)
			}
		}}
		assertChange(t, f.writer, Change{Put: []descriptor.Record{class("b", 2)}}, 1, StateCreated)
		_, err := w.Change(t.Context(), Change{Put: []descriptor.Record{class("a", 1)}})
		assertKind(t, err, ErrorOutcomeUnknown)
	})
	t.Run("bucket is read back", func(t *testing.T) {
		f := newFixture(t)
		f.store.Force(emulator.CallPut, "records/bucket/", 1, emulator.Faults{LostAnswer: 1})
		assertChange(t, f.writer, Change{Put: []descriptor.Record{class("a", 1)}}, 1, StateCreated)
		assertTier(t, f.store, "a", 1)
	})
	t.Run("stale read back does not fail the change", func(t *testing.T) {
		f := newFixture(t)
		assertChange(t, f.writer, Change{Put: []descriptor.Record{class("a", 1)}}, 1, StateCreated)
		f.store.Force(emulator.CallPut, cataloger.HeadKey, 1, emulator.Faults{LostAnswer: 1})
		f.store.Force(emulator.CallGet, cataloger.HeadKey, 1, emulator.Faults{})
		f.store.Force(emulator.CallGet, cataloger.HeadKey, 1, emulator.Faults{StaleRead: 1})
		assertChange(t, f.writer, Change{Put: []descriptor.Record{class("a", 2)}}, 2, StateChanged)
		assertTier(t, f.store, "a", 2)
	})
}

// lostResponseStore calls change after the first write of the head and then loses
// the response to that write.
type lostResponseStore struct {
	accessor.Store
	change func()
}

func (s *lostResponseStore) Put(ctx context.Context, key string, value []byte, expect int64) (accessor.Object, error) {
	o, err := s.Store.Put(ctx, key, value, expect)
	if key == cataloger.HeadKey && s.change != nil {
		change := s.change
		s.change = nil
		change()
		return accessor.Object{}, &accessor.Error{Op: "put", Kind: accessor.ErrorOutcomeUnknown, Err: errors.New("no response")}
	}
	return o, err
}

// If the platform is down before the first write, the error must tell the caller
// that nothing was changed.
func TestChangeDuringOutageFailsAsUnavailable(t *testing.T) {
	f := newFixture(t)
	f.store.Set(emulator.Faults{Down: true})
	_, err := f.writer.Change(t.Context(), Change{Put: []descriptor.Record{class("a", 1)}})
	assertKind(t, err, ErrorUnavailable)
}

// Replaced buckets must be deleted, so that the platform does not fill up, but only
// after slow readers of an earlier head have finished.
func TestReplacedBucketsAreDeletedAfterRetention(t *testing.T) {
	f := newFixture(t)
	is := is.New(t)
	for i := range 5 {
		_, err := f.writer.Change(t.Context(), Change{Put: []descriptor.Record{class("a", 1+i)}})
		is.NoErr(err)
	}
	objects, err := f.store.List(t.Context(), "records/bucket/")
	is.NoErr(err)
	is.Equal(len(objects), 5)
	f.clock.Advance(replacedRetention)
	_, err = f.writer.Change(t.Context(), Change{Put: []descriptor.Record{class("a", 8)}})
	is.NoErr(err)
	objects, err = f.store.List(t.Context(), "records/bucket/")
	is.NoErr(err)
	is.Equal(len(objects), 2)
	assertTier(t, f.store, "a", 8)
}
