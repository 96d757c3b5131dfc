package resumer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	v1 = uint64(1)
	v2 = uint64(2)
)

func testTime() time.Time { return time.Unix(1000, 0) }

func served(versions ...uint64) (out []Served) {
	for _, v := range versions {
		out = append(out, Served{Service: "desk", Version: v})
	}
	return out
}

// newListed returns a resumer that has run for long beside upstreams of these versions.
func newListed(versions ...uint64) *Resumer {
	r := New()
	r.HandleEvent(testTime().Add(-Horizon), Event{Kind: EventListed, Served: served(versions...)})
	return r
}

// assertVersion checks at which version a stream may go on, zero if that is not known.
func assertVersion(t *testing.T, r *Resumer, after time.Duration, stream, want uint64) {
	t.Helper()
	got, ok := r.Version(testTime().Add(after), "desk", stream)
	is := is.New(t)
	is.Equal(got, want)
	is.Equal(ok, want != 0)
}

// A stream went on at another software version than the one that began it.
func TestStreamGoesOnAtItsVersionOnly(t *testing.T) {
	for _, kind := range []EventKind{EventBegun, EventLearned} {
		r := newListed(v1, v2)
		r.HandleEvent(testTime(), Event{Kind: kind, Streams: []Stream{{7, v1}, {8, v2}}})
		// A caller may take a stream up several times, also at another entry.
		r.HandleEvent(testTime(), Event{Kind: EventLearned, Streams: []Stream{{7, v2}}})
		assertVersion(t, r, time.Second, 7, v1)
		assertVersion(t, r, time.Second, 8, v2)
		assertVersion(t, r, time.Second, 9, 0)
		assertVersion(t, r, Horizon, 7, 0)
	}
}

// A stream that nobody knows was taken up at another version, or refused although there has
// been only one.
func TestUnknownStreamGoesOnIfOneVersionCanHaveBegunIt(t *testing.T) {
	t.Run("one version", func(t *testing.T) { assertVersion(t, newListed(v1), 0, 9, v1) })
	t.Run("two versions", func(t *testing.T) { assertVersion(t, newListed(v1, v2), 0, 9, 0) })
	t.Run("no upstream", func(t *testing.T) { assertVersion(t, New(), 0, 9, 0) })
	t.Run("another version has left", func(t *testing.T) {
		r := newListed(v1)
		r.HandleEvent(testTime(), Event{Kind: EventListed, Served: served(v2)})
		assertVersion(t, r, Horizon-1, 9, 0)
		assertVersion(t, r, Horizon, 9, v2)
	})
	t.Run("another service has two versions", func(t *testing.T) {
		r := New()
		r.HandleEvent(testTime().Add(-Horizon), Event{Kind: EventListed, Served: append(served(v1), Served{"booking", v1}, Served{"booking", v2})})
		assertVersion(t, r, 0, 9, v1)
	})
}

// An entry that had just started took the only version that it saw for the only one there had
// been.
func TestStartedResumerKnowsNoEarlierVersions(t *testing.T) {
	start := func(events ...Event) *Resumer {
		r := New()
		for _, e := range append(events, Event{Kind: EventListed, Served: served(v2)}) {
			r.HandleEvent(testTime(), e)
		}
		return r
	}
	t.Run("nothing recalled", func(t *testing.T) {
		assertVersion(t, start(), Horizon-1, 9, 0)
		assertVersion(t, start(), Horizon, 9, v2)
	})
	t.Run("no other version recalled", func(t *testing.T) {
		assertVersion(t, start(Event{Kind: EventRecalled}), 0, 9, v2)
		assertVersion(t, start(Event{Kind: EventRecalled, Served: served(v2)}), 0, 9, v2)
	})
	t.Run("another version recalled", func(t *testing.T) {
		r := start(Event{Kind: EventRecalled, Served: served(v1), Streams: []Stream{{7, v1}}})
		assertVersion(t, r, 0, 9, 0)
		assertVersion(t, r, 0, 7, v1)
		assertVersion(t, r, Horizon, 9, v2)
	})
}

// assertReported checks the streams that the next report has.
func assertReported(t *testing.T, r *Resumer, want ...Stream) {
	t.Helper()
	is.New(t).Equal(r.TakeReport(testTime()), want)
}

// Streams that had begun before the second version came were unknown to the other entries.
func TestStreamsAreReportedWhileVersionsAreMixed(t *testing.T) {
	r := newListed(v1)
	first, second := Stream{7, v1}, Stream{8, v2}
	r.HandleEvent(testTime(), Event{Kind: EventBegun, Streams: []Stream{first}})
	assertReported(t, r)
	r.HandleEvent(testTime(), Event{Kind: EventListed, Served: served(v1, v2)})
	r.HandleEvent(testTime(), Event{Kind: EventLearned, Streams: []Stream{{9, v1}}})
	assertReported(t, r, first)
	is.New(t).Equal(len(r.TakeShared()), 0)
	r.HandleEvent(testTime(), Event{Kind: EventBegun, Streams: []Stream{second}})
	is.New(t).Equal(r.TakeShared(), []Stream{second})
	assertReported(t, r, second, first)
	assertReported(t, r, second)
	assertReported(t, r)
}

// The streams of a busy entry must not fill its memory.
func TestStreamsAreBounded(t *testing.T) {
	r := newListed(v1, v2)
	for i := range uint64(maxStreams + 1) {
		r.HandleEvent(testTime(), Event{Kind: EventBegun, Streams: []Stream{{i + 1, v1}}})
	}
	is := is.New(t)
	is.Equal(len(r.streams), maxStreams)
	is.Equal(len(r.order), maxStreams)
	is.Equal(len(r.unreported), maxStreams)
	assertVersion(t, r, 0, 1, 0)
	assertVersion(t, r, 0, maxStreams+1, v1)
}
