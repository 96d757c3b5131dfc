package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	entryCount       = 5
	upstreamCount    = 9
	poisonPart       = 666
	stabilityWindow  = 3 * time.Second
	allowedCrashes   = 5
	allowedLateSends = 3
)

// Requests with one poison prompt part, no two alike and at any entry, crashed one
// upstream after the other, and no entry ever refused one (BUDGET, issue 24).
func TestPoisonPartIsQuarantinedAtAllEntries(t *testing.T) {
	for _, share := range []float64{0.02, 0.05, 0.5} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint("share ", share, " seed ", seed), func(t *testing.T) {
				f := newFleet(seed)
				f.sendTraffic(25*time.Second, share, 40)
				f.run(30 * time.Second)
				assertPoisonPartStopped(t, f)
				assertSoundRequestsBegin(t, f)
			})
		}
	}
}

// A sound part that was in flight in the same crashes as the poison part must not be
// refused with it: sound requests that hold only the sound one must go on.
func TestSoundPartBesidePoisonPartIsServed(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(seed)
			f.sendTraffic(25*time.Second, 0.05, 1)
			f.run(30 * time.Second)
			assertPoisonPartStopped(t, f)
			assertSoundRequestsBegin(t, f)
		})
	}
}

// An entry that starts after the quarantine must learn it from the others and not from
// further crashes.
func TestStartedEntryLearnsQuarantine(t *testing.T) {
	f := newFleet(1)
	f.sendTraffic(25*time.Second, 0.05, 40)
	f.at(12*time.Second, func() { f.startEntry(2) })
	f.at(16*time.Second, func() { f.startEntry(3) })
	f.run(30 * time.Second)
	is.New(t).True(f.crashes[0] < 12*time.Second)
	assertNoCrashAfter(t, f, 12*time.Second)
	assertPoisonPartStopped(t, f)
}

// Upstreams that are lost for other reasons, with many requests in flight, must not
// lead to the quarantine of a part.
func TestOtherLossesAccuseNoPart(t *testing.T) {
	for _, c := range []struct {
		name  string
		cause func(f *fleet, upstreams int)
	}{
		{"crash", func(f *fleet, n int) { f.forEach(n, f.crash) }},
		{"reset of all connections", func(f *fleet, n int) { f.forEach(n, f.reset) }},
		{"lost answers", func(f *fleet, n int) { f.forEach(n, f.loseAnswer) }},
	} {
		for _, upstreams := range []int{1, 3, upstreamCount} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprint(c.name, " of ", upstreams, " upstreams seed ", seed), func(t *testing.T) {
					f := newFleet(seed)
					f.sendTraffic(25*time.Second, 0, 40)
					for i := range 6 {
						f.at(5*time.Second+time.Duration(i)*500*ms, func() { c.cause(f, upstreams) })
					}
					f.run(30 * time.Second)
					is.New(t).Equal(f.refusals["quarantined"]+f.refusals["on_trial"], 0)
				})
			}
		}
	}
}

// assertPoisonPartStopped checks that at most allowedLateSends requests with the poison
// part reached upstreams later than the stability window after the allowed crashes.
func assertPoisonPartStopped(t *testing.T, f *fleet) {
	t.Helper()
	if len(f.crashes) < allowedCrashes {
		return
	}
	limit, late := f.crashes[allowedCrashes-1]+stabilityWindow, 0
	for _, at := range f.poisonSends {
		if at > limit {
			late++
		}
	}
	if late > allowedLateSends {
		t.Errorf("%d requests with the poison part reached upstreams after %v; %d crashes", late, limit, len(f.crashes))
	}
}

// assertSoundRequestsBegin checks that at least nine in ten sound requests, and at
// least one in two with the sound part that poison requests hold too, begin at the first
// attempt from two stability windows after the last allowed crash on.
func assertSoundRequestsBegin(t *testing.T, f *fleet) {
	t.Helper()
	is := is.New(t)
	is.True(len(f.crashes) > 0)
	from := f.crashes[min(len(f.crashes), allowedCrashes)-1] + 2*stabilityWindow
	var all, begun, beside, besideBegun int
	for _, r := range f.sound {
		if r.at < from {
			continue
		}
		all++
		if r.begun {
			begun++
		}
		if slices.Contains(r.parts, firstDocument) {
			beside++
			if r.begun {
				besideBegun++
			}
		}
	}
	is.True(all > 100)
	is.True(begun*10 >= all*9)
	is.True(beside >= 3)
	is.True(besideBegun*2 >= beside)
}

func assertNoCrashAfter(t *testing.T, f *fleet, limit time.Duration) {
	t.Helper()
	is.New(t).True(f.crashes[len(f.crashes)-1] <= limit)
}
