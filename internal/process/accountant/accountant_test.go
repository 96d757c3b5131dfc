package accountant

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	window = 5 * time.Second
	due    = 10 * time.Second
)

// start is the beginning of window firstWindow.
const firstWindow = 360_000_000

func start() time.Time { return time.Unix(firstWindow*5, 0) }

// fleet simulates the exchange between entries on one clock.
type fleet struct {
	now     time.Time
	entries map[string]*Accountant
	// deliver decides whether an update reaches an entry.
	deliver func(from, to string) bool
}

func newFleet(names ...string) *fleet {
	f := &fleet{now: start(), entries: map[string]*Accountant{}, deliver: func(string, string) bool { return true }}
	for _, n := range names {
		f.start(n)
	}
	f.step()
	return f
}

// start starts an entry, or starts it again without its rows.
func (f *fleet) start(name string) {
	f.entries[name] = New(Settings{Self: Incarnation{name, f.now.UnixMilli()}, Window: window, Due: due})
	for n, a := range f.entries {
		var others []string
		for m := range f.entries {
			if m != n {
				others = append(others, m)
			}
		}
		a.SetMembers(f.now, others)
	}
}

// step publishes the updates of all entries.
func (f *fleet) step() {
	for from, a := range f.entries {
		u, ok := a.Publish(f.now, f.now)
		if !ok {
			continue
		}
		for to, b := range f.entries {
			if from != to && f.deliver(from, to) {
				b.Merge(f.now, u)
			}
		}
	}
}

// run steps until d has passed.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(200 * time.Millisecond)
		f.step()
	}
}

// assertFrozen checks the counts of the first window as the entry would report them.
func (f *fleet) assertFrozen(t *testing.T, name string, want Counts) {
	t.Helper()
	got := f.entries[name].Freeze(f.now, f.now, firstWindow)
	is := is.New(t)
	is.True(len(got.Reports) > 0)
	is.Equal(got.Reports[0], Report{Window: firstWindow, Counts: want})
}

func (f *fleet) assertOpen(t *testing.T, name string) {
	t.Helper()
	is.New(t).Equal(len(f.entries[name].Freeze(f.now, f.now, firstWindow).Reports), 0)
}

// Each entry must be able to report the counts of all shortly after the end of a window,
// whichever of them becomes the holder.
func TestEachEntryKnowsCountsOfAll(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.entries["a"].Count(f.now, "hule")
	f.entries["b"].Count(f.now, "hule")
	f.entries["c"].Count(f.now, "fida")
	f.run(window - 200*time.Millisecond)
	f.assertOpen(t, "a")
	f.run(400 * time.Millisecond)
	for name := range f.entries {
		f.assertFrozen(t, name, Counts{"hule": 2, "fida": 1})
	}
}

// Lost, repeated and overtaken updates must neither lose nor repeat a count.
func TestUpdatesMayBeLostRepeatedAndOvertaken(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			sender := New(Settings{Self: Incarnation{"a", 1}, Window: window, Due: due})
			receiver := New(Settings{Self: Incarnation{"b", 1}, Window: window, Due: due})
			var updates []Update
			for i := range 40 {
				now := start().Add(time.Duration(i) * 200 * time.Millisecond)
				if now.Before(start().Add(window)) {
					sender.Count(now, fmt.Sprint("org-", r.IntN(4)))
				}
				if u, ok := sender.Publish(now, now); ok {
					updates = append(updates, u)
				}
			}
			now := start().Add(8 * time.Second)
			receiver.Publish(now, now)
			last := updates[len(updates)-1]
			updates = append(updates, updates...)
			r.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
			for _, u := range append(updates[:len(updates)/2], last) {
				receiver.Merge(now, u)
			}
			got := receiver.Freeze(now, now, firstWindow)
			is.New(t).Equal(got.Reports[0].Counts, sender.sum(firstWindow))
		})
	}
}

// Requests that an entry counted before it started again must be added to those after it.
func TestRestartedEntryCountsOn(t *testing.T) {
	f := newFleet("a", "b")
	f.entries["a"].Count(f.now, "hule")
	f.run(time.Second)
	f.start("a")
	f.entries["a"].Count(f.now, "hule")
	f.run(window)
	f.assertFrozen(t, "a", Counts{"hule": 1})
	f.assertFrozen(t, "b", Counts{"hule": 2})
}

// The counts of a window must wait for an entry whose last updates were lost, but not for
// one that has ended.
func TestWindowWaitsForLivingEntries(t *testing.T) {
	t.Run("lost updates", func(t *testing.T) {
		f := newFleet("a", "b")
		f.run(4800 * time.Millisecond)
		f.entries["b"].Count(f.now, "hule")
		f.deliver = func(string, string) bool { return false }
		f.run(time.Second)
		f.assertOpen(t, "a")
		f.deliver = func(string, string) bool { return true }
		f.run(time.Second)
		f.assertFrozen(t, "a", Counts{"hule": 1})
	})
	t.Run("ended entry", func(t *testing.T) {
		f := newFleet("a", "b")
		f.entries["b"].Count(f.now, "hule")
		f.run(time.Second)
		delete(f.entries, "b")
		f.run(window - time.Second + 3600*time.Millisecond)
		f.assertFrozen(t, "a", Counts{"hule": 1})
	})
	t.Run("entry that said that it ends", func(t *testing.T) {
		f := newFleet("a", "b")
		f.run(window - 200*time.Millisecond)
		f.entries["b"].Count(f.now, "hule")
		f.entries["a"].Merge(f.now, f.entries["b"].PublishFinal())
		delete(f.entries, "b")
		f.run(200 * time.Millisecond)
		f.assertFrozen(t, "a", Counts{"hule": 1})
	})
	t.Run("entry that started just now", func(t *testing.T) {
		// It has not heard the rows of the others yet, and must not report without them.
		f := newFleet("a", "b")
		f.entries["b"].Count(f.now, "hule")
		f.run(window)
		f.start("a")
		f.entries["a"].Publish(f.now, f.now)
		f.assertOpen(t, "a")
		f.run(time.Second)
		f.assertFrozen(t, "a", Counts{"hule": 1})
	})
}

// A window must be frozen in time although an entry lives and does not end it.
func TestWindowIsFrozenBeforeReportIsDue(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.entries["a"].Count(f.now, "hule")
	stuck, _ := f.entries["b"].Publish(f.now, f.now)
	delete(f.entries, "b")
	for range 53 {
		f.run(200 * time.Millisecond)
		f.entries["a"].Merge(f.now, stuck)
		f.entries["c"].Merge(f.now, stuck)
	}
	f.assertOpen(t, "a")
	f.run(window + 6*time.Second - 10600*time.Millisecond)
	f.assertFrozen(t, "a", Counts{"hule": 1})
}

// An entry whose clock is ahead must not end a window for the others.
func TestClockAheadFreezesNothingEarly(t *testing.T) {
	f := newFleet("a", "b", "c")
	for range 20 {
		f.run(200 * time.Millisecond)
		is.New(t).Equal(len(f.entries["a"].Freeze(f.now, f.now.Add(time.Minute), firstWindow).Reports), 0)
	}
}

// A window that an entry has said to be over must not change, so a request that is counted
// late belongs to the next one.
func TestEndedWindowDoesNotChange(t *testing.T) {
	a := New(Settings{Self: Incarnation{"a", 1}, Window: window, Due: due})
	a.Publish(start().Add(window), start().Add(window))
	a.Count(start(), "hule")
	is.New(t).Equal(a.OwnRows(), []Row{{Incarnation{"a", 1}, firstWindow + 1, Counts{"hule": 1}}})
}

// Windows without a request must be reported as empty, and a long gap must not bring more
// reports than the journal keeps.
func TestGapsAreReportedAsEmpty(t *testing.T) {
	a := New(Settings{Self: Incarnation{"a", 1}, Window: window, Due: due})
	assertGap := func(t *testing.T, windows, reports int, missing int64) {
		t.Helper()
		is := is.New(t)
		now := start().Add(time.Duration(windows) * window)
		a.Publish(now, now)
		got := a.Freeze(now, now, firstWindow)
		is.Equal(len(got.Reports), reports)
		is.Equal(got.MissingTo-got.MissingFrom, missing)
		is.Equal(got.Next, int64(firstWindow+windows))
		is.Equal(got.Reports[0].Counts, Counts{})
	}
	t.Run("short gap", func(t *testing.T) { assertGap(t, 3, 3, 0) })
	t.Run("long gap", func(t *testing.T) { assertGap(t, 100, MaxReports, 100-MaxReports) })
	t.Run("nothing counted yet", func(t *testing.T) {
		is.New(t).Equal(a.Freeze(start(), start(), 0), Frozen{})
	})
}

// After the loss of all entries only the rows of the journal are left, however old.
func TestRowsOfJournalAreKept(t *testing.T) {
	is := is.New(t)
	a := New(Settings{Self: Incarnation{"a", 2}, Window: window, Due: due})
	now := start().Add(12 * window)
	a.Publish(now, now)
	a.MergeRows([]Row{{Incarnation{"a", 1}, firstWindow, Counts{"hule": 3}}}, firstWindow)
	a.Publish(now, now)
	is.Equal(a.Freeze(now, now, firstWindow).Reports[0].Counts, Counts{"hule": 3})
	a.Settle(firstWindow)
	is.Equal(len(a.Rows(0)), 0)
}

// What waits in the sockets after a pause of the process must be read before others count
// as silent, or a window would be frozen without their rows.
func TestOthersLiveAfterOwnPause(t *testing.T) {
	f := newFleet("a", "b")
	f.run(4800 * time.Millisecond)
	f.now = f.now.Add(2500 * time.Millisecond)
	f.entries["a"].Publish(f.now, f.now)
	f.assertOpen(t, "a")
}

// An entry that does not hear the holder must notice it, to leave its rows in the store.
func TestCutOffEntryNoticesIt(t *testing.T) {
	f := newFleet("a", "b", "c")
	f.entries["a"].SetToken(4)
	f.run(time.Second)
	is := is.New(t)
	is.True(!f.entries["b"].IsCutOff(f.now))
	f.deliver = func(from, to string) bool { return from+to != "ab" && from+to != "ba" }
	f.run(3 * time.Second)
	is.True(f.entries["b"].IsCutOff(f.now))
	is.True(!f.entries["c"].IsCutOff(f.now))
	is.Equal(f.entries["a"].silence(f.now), silenceNew)
	is.Equal(f.entries["a"].Living(f.now), Living{All: []string{"c"}})
	f.entries["c"].SetEligible(true)
	f.run(time.Second)
	is.Equal(f.entries["a"].silence(f.now), silenceOld)
	is.Equal(f.entries["a"].Living(f.now), Living{All: []string{"c"}, Eligible: []string{"c"}})
}
