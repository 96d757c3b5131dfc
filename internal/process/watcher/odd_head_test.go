package watcher

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/writer"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// A head that another writer replaced must not come into force, and the relay must put
// the next sound one in force. A head without buckets and with a huge revision withdrew
// all records for good, since all later revisions were older.
func TestRelayIgnoresOddHead(t *testing.T) {
	for _, c := range []struct{ name, head string }{
		{"deeply nested", strings.Repeat("[", 100_000)},
		{"revision too large", `{"revision":1e400}`},
		{"text", `"head"`},
		{"revision without a writer", `{"revision":9223372036854775807}`},
		{"revision of another writer", `{"revision":9,"marks":[{"revision":8,"writer":"x"}]}`},
	} {
		t.Run(c.name, func(t *testing.T) { assertIgnoresHead(t, c.head) })
	}
}

// assertIgnoresHead starts a relay while the head is odd, and checks that it puts in
// force only the revisions that are accepted afterwards.
func assertIgnoresHead(t *testing.T, odd string) {
	t.Helper()
	is := is.New(t)
	p := emulator.NewPlatform()
	clock := timer.NewManual(at(0))
	rec := recorder.New(recorder.Options{Process: "entry-1", Clock: clock, MaxEvents: 64})
	t.Cleanup(func() { rec.Stop(); p.Stop() })
	change := func(tier int) int64 {
		r, err := writer.Writer{Store: p, Clock: clock, Name: "test"}.Change(t.Context(), writer.Change{Put: []descriptor.Record{class("a", tier)}})
		is.NoErr(err)
		return r.Revision
	}
	first := change(1)
	sound, err := p.Get(t.Context(), cataloger.HeadKey)
	is.NoErr(err)
	replaced, err := p.Put(t.Context(), cataloger.HeadKey, []byte(odd), sound.Version)
	is.NoErr(err)
	inForce := make(chan int64, 64)
	w := New(Options{Store: p, Clock: clock, Recorder: rec, Apply: []func(*compiler.Snapshot){func(s *compiler.Snapshot) { inForce <- s.Revision }}})
	t.Cleanup(w.Stop)
	w.SetRelay(true)
	// The relay waits before it reads the head again.
	for clock.PendingTimers() == 0 && len(inForce) == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(inForce), 0)
	_, err = p.Put(t.Context(), cataloger.HeadKey, sound.Value, replaced.Version)
	is.NoErr(err)
	clock.Advance(watchRetryInterval)
	is.Equal(<-inForce, first)
	is.Equal(change(2), <-inForce)
}
