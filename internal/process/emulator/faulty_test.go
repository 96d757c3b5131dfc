package emulator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// Tests of other packages rely on each fault doing what it says.
func TestFaulty(t *testing.T) {
	ctx := context.Background()
	t.Run("outage fails calls and waiting watches", func(t *testing.T) {
		is := is.New(t)
		f, _ := newFaulty(t)
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
		assertKind(t, <-ended, accessor.ErrorUnavailable)
		_, err = f.Get(ctx, "k")
		assertKind(t, err, accessor.ErrorUnavailable)
		f.Set(Faults{})
		_, err = f.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(f.Counts(), map[Call]int{CallPut: 1, CallGet: 2, CallWatch: 1})
	})
	t.Run("lost answer after the effect", func(t *testing.T) {
		is := is.New(t)
		f, _ := newFaulty(t)
		f.Force(CallPut, "k", 1, Faults{LostAnswer: 1})
		_, err := f.Put(ctx, "k", []byte("a"), 0)
		assertKind(t, err, accessor.ErrorOutcomeUnknown)
		o, err := f.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(string(o.Value), "a")
		_, err = f.Put(ctx, "k", []byte("b"), o.Version)
		is.NoErr(err)
	})
	t.Run("conflict has no effect", func(t *testing.T) {
		is := is.New(t)
		f, _ := newFaulty(t)
		f.Force(CallPut, "k", 1, Faults{Conflict: 1})
		_, err := f.Put(ctx, "k", []byte("a"), 0)
		assertKind(t, err, accessor.ErrorConflict)
		o, err := f.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(o.Version, int64(0))
	})
	t.Run("stale read and repeated watch", func(t *testing.T) {
		is := is.New(t)
		f, _ := newFaulty(t)
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
	t.Run("skipped watch misses one change", func(t *testing.T) {
		is := is.New(t)
		f, _ := newFaulty(t)
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
	t.Run("delay on the injected clock", func(t *testing.T) {
		is := is.New(t)
		f, clock := newFaulty(t)
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

func newFaulty(t *testing.T) (*Faulty, *timer.Manual) {
	t.Helper()
	p := NewPlatform()
	clock := timer.NewManual(time.Unix(0, 0))
	f := NewFaulty(FaultyOptions{Store: p, Clock: clock, Seed: 1})
	t.Cleanup(func() { f.Stop(); p.Stop() })
	return f, clock
}

func assertKind(t *testing.T, err error, kind accessor.ErrorKind) {
	t.Helper()
	is.New(t).True(accessor.IsKind(err, kind))
}
