package archiver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const waitTimeout = 20 * time.Second

func newStore(t *testing.T) *emulator.FaultyStore {
	t.Helper()
	p := emulator.NewPlatform()
	t.Cleanup(p.Stop)
	s := emulator.NewFaultyStore(emulator.FaultyStoreOptions{Store: p, Clock: timer.System{}})
	t.Cleanup(s.Stop)
	return s
}

// start starts the archiver of an entry and returns it with what it recalls.
func start(t *testing.T, s accessor.Store, identity string) (*Archiver, resumer.Record) {
	t.Helper()
	recalled := make(chan resumer.Record, 1)
	a := New(Options{Store: s, Kind: "versions", Identity: identity, Clock: timer.System{}})
	t.Cleanup(a.Stop)
	r := NewRecaller(RecallerOptions{Store: s, Kind: "versions", Identity: identity, Clock: timer.System{}, Recalled: func(r resumer.Recall) { recalled <- resumer.Merge(r.Records) }})
	t.Cleanup(r.Stop)
	select {
	case r := <-recalled:
		return a, r
	case <-time.After(waitTimeout):
		t.Fatal("nothing was recalled")
		return nil, resumer.Record{}
	}
}

// assertKept keeps a record and waits until an entry that starts recalls it.
func assertKept(t *testing.T, s accessor.Store, a *Archiver, r resumer.Record) {
	t.Helper()
	a.Keep(r)
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		objects, err := s.List(t.Context(), "versions/")
		is.New(t).NoErr(err)
		if got := resumer.Merge(decode(objects, "versions/", "")); len(got.Streams) == len(r.Streams) && len(objects) > 0 {
			is.New(t).Equal(got, r)
			return
		}
	}
	t.Fatal("the record was not kept")
}

func record(streams ...uint64) resumer.Record {
	r := resumer.Record{Served: []resumer.Served{{Service: "desk", Version: 1 << 63}}}
	for _, id := range streams {
		r.Streams = append(r.Streams, resumer.Stream{ID: id, Version: 1 << 63})
	}
	return r
}

// After the loss of all entries, streams went on at any version.
func TestStartedEntryRecallsWhatOthersKept(t *testing.T) {
	t.Run("nothing was kept", func(t *testing.T) {
		_, r := start(t, newStore(t), "entry-1")
		is.New(t).Equal(r, resumer.Record{})
	})
	t.Run("the last record replaces others", func(t *testing.T) {
		s := newStore(t)
		a, _ := start(t, s, "entry-1")
		assertKept(t, s, a, record(7))
		assertKept(t, s, a, record(7, 8))
		_, r := start(t, s, "entry-2")
		is.New(t).Equal(r, record(7, 8))
	})
	t.Run("an entry that restarts writes over its object", func(t *testing.T) {
		s := newStore(t)
		a, _ := start(t, s, "entry-1")
		assertKept(t, s, a, record(7))
		a.Stop()
		again, _ := start(t, s, "entry-1")
		assertKept(t, s, again, record(8, 9))
	})
}

// A store in trouble must delay a record, and not lose it.
func TestRecordsOutlastTroubleOfStore(t *testing.T) {
	t.Run("reads fail", func(t *testing.T) {
		s := newStore(t)
		a, _ := start(t, s, "entry-1")
		assertKept(t, s, a, record(7))
		s.Force(emulator.CallList, "versions/", 2, emulator.Faults{Down: true})
		_, r := start(t, s, "entry-2")
		is.New(t).Equal(r, record(7))
	})
	t.Run("answers of writes are lost", func(t *testing.T) {
		s := newStore(t)
		a, _ := start(t, s, "entry-1")
		s.Force(emulator.CallPut, "versions/", 1, emulator.Faults{LostAnswer: 1})
		assertKept(t, s, a, record(7))
		assertKept(t, s, a, record(7, 8))
	})
}

// assertMerged checks what the contents of several objects say together.
func assertMerged(t *testing.T, want resumer.Record, contents ...content) {
	t.Helper()
	var objects []accessor.Object
	for _, c := range contents {
		value, err := encode(time.UnixMilli(c.UpdatedUnixMilli), resumer.Record{Served: c.versions(), Streams: c.streams()})
		is.New(t).NoErr(err)
		objects = append(objects, accessor.Object{Value: value})
	}
	objects = append(objects, accessor.Object{Value: []byte("{")})
	is.New(t).Equal(resumer.Merge(decode(objects, "versions/", "")), want)
}

// The object of an entry that ended long ago made a version look as if it were in use.
func TestOldRecordsAreLeftOut(t *testing.T) {
	at := func(seconds int64, version string) content {
		return content{UpdatedUnixMilli: seconds * 1000, Served: []served{{"desk", version}}, Streams: make([]byte, streamRecordSize)}
	}
	one, two := resumer.Served{Service: "desk", Version: 1}, resumer.Served{Service: "desk", Version: 2}
	s := resumer.Stream{}
	t.Run("at the same time", func(t *testing.T) {
		assertMerged(t, resumer.Record{Served: []resumer.Served{one, two}, Streams: []resumer.Stream{s, s}}, at(1000, "1"), at(1005, "2"))
	})
	t.Run("a while ago", func(t *testing.T) {
		assertMerged(t, resumer.Record{Served: []resumer.Served{two}, Streams: []resumer.Stream{s, s}}, at(1000, "1"), at(1006, "2"))
	})
	t.Run("long ago", func(t *testing.T) {
		assertMerged(t, resumer.Record{Served: []resumer.Served{two}, Streams: []resumer.Stream{s}}, at(1000, "1"), at(1041, "2"))
	})
	t.Run("an invalid version", func(t *testing.T) {
		assertMerged(t, resumer.Record{Served: []resumer.Served{one}, Streams: []resumer.Stream{s, s}}, at(1000, "1"), at(1000, "v2"))
	})
}
