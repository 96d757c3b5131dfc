package emulator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// Tests of other packages rely on each injected fault having exactly its
// documented effect.
func TestFaultyStoreInjectsEachFault(t *testing.T) {
	ctx := context.Background()
	t.Run("outage fails calls and pending watches", func(t *testing.T) {
		is := is.New(t)
		f, _ := newFaultyStore(t)
		o, err := f.Put(ctx, "k", []byte("a"), 0)
		is.NoErr(err)
		ended := make(chan error, 1)
		go func() {
			_, err := f.Watch(ctx, "k", o.Version)
			ended <- err
		}()
		for f.Counts()[CallWatch] == 0 {
			time.Sleep(time.Millisecond)
		}
		f.Set(Faults{Down: true})
		assertErrorKind(t, <-ended, accessor.ErrorUnavailable)
		_, err = f.Get(ctx, "k")
		assertErrorKind(t, err, accessor.ErrorUnavailable)
		f.Set(Faults{})
		_, err = f.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(f.Counts(), map[CallKind]int{CallPut: 1, CallGet: 2, CallWatch: 1})
	})
	t.Run("lost answer leaves the write in effect", func(t *testing.T) {
		is := is.New(t)
		f, _ := newFaultyStore(t)
		f.Force(CallPut, "k", 1, Faults{LostAnswer: 1})
		_, err := f.Put(ctx, "k", []byte("a"), 0)
		assertErrorKind(t, err, accessor.ErrorOutcomeUnknown)
		o, err := f.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(string(o.Value), "a")
		_, err = f.Put(ctx, "k", []byte("b"), o.Version)
		is.NoErr(err)
	})
	t.Run("injected conflict leaves the object unchanged", func(t *testing.T) {
		is := is.New(t)
		f, _ := newFaultyStore(t)
		f.Force(CallPut, "k", 1, Faults{Conflict: 1})
		_, err := f.Put(ctx, "k", []byte("a"), 0)
		assertErrorKind(t, err, accessor.ErrorConflict)
		o, err := f.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(o.Version, int64(0))
	})
	t.Run("stale read and repeated watch return the previous version", func(t *testing.T) {
		is := is.New(t)
		f, _ := newFaultyStore(t)
		first, err := f.Put(ctx, "k", []byte("a"), 0)
		is.NoErr(err)
		second, err := f.Put(ctx, "k", []byte("b"), first.Version)
		is.NoErr(err)
		f.Set(Faults{StaleRead: 1, RepeatedWatch: 1})
		o, err := f.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(o.Version, first.Version)
		o, err = f.Watch(ctx, "k", first.Version)
		is.NoErr(err)
		is.Equal(o.Version, first.Version)
		f.Set(Faults{})
		o, err = f.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(o.Version, second.Version)
	})
	t.Run("skipped watch returns the second change", func(t *testing.T) {
		is := is.New(t)
		f, _ := newFaultyStore(t)
		first, err := f.Put(ctx, "k", []byte("a"), 0)
		is.NoErr(err)
		f.Force(CallWatch, "k", 1, Faults{SkippedWatch: 1})
		got := make(chan accessor.Object, 1)
		go func() {
			o, _ := f.Watch(ctx, "k", 0)
			got <- o
		}()
		for f.Counts()[CallWatch] == 0 {
			time.Sleep(time.Millisecond)
		}
		second, err := f.Put(ctx, "k", []byte("b"), first.Version)
		is.NoErr(err)
		o := <-got
		is.Equal(o.Version, second.Version)
	})
	t.Run("delayed call waits on the injected clock", func(t *testing.T) {
		is := is.New(t)
		f, clock := newFaultyStore(t)
		f.Set(Faults{Delay: time.Second})
		got := make(chan error, 1)
		go func() {
			_, err := f.Get(ctx, "k")
			got <- err
		}()
		for clock.PendingTimers() == 0 {
			time.Sleep(time.Millisecond)
		}
		is.Equal(len(got), 0)
		clock.Advance(time.Second)
		is.NoErr(<-got)
	})
}

func newFaultyStore(t *testing.T) (*FaultyStore, *timer.Manual) {
	t.Helper()
	p := NewPlatform()
	clock := timer.NewManual(time.Unix(0, 0))
	f := NewFaultyStore(FaultyStoreOptions{Store: p, Clock: clock, Seed: 1})
	t.Cleanup(func() { f.Stop(); p.Stop() })
	return f, clock
}

func assertErrorKind(t *testing.T, err error, kind accessor.ErrorKind) {
	t.Helper()
	is.New(t).True(accessor.IsKind(err, kind))
}
