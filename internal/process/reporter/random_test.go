package reporter

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Whatever fails, and however often, no window may get two different reports, and none may
// have more requests than began: an organisation would pay for what it did not get. Once
// nothing fails any more, the windows must be reported in full and in time again.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			f := newFleet(t, "a", "b", "c", "d")
			f.fault = func(string, Action) fault {
				if r.IntN(6) > 0 {
					return faultNone
				}
				return []fault{faultDown, faultAnswer, faultLate, faultKill, faultKillAfter}[r.IntN(5)]
			}
			for range 300 {
				f.count()
				f.disturb(r)
				f.run(tick)
			}
			f.recover(t)
		})
	}
}

// disturb lets something fail, or recover.
func (f *fleet) disturb(r *rand.Rand) {
	names := []string{"a", "b", "c", "d"}
	name := names[r.IntN(len(names))]
	e := f.entries[name]
	switch what := r.IntN(40); {
	case what < 4 && e == nil:
		f.start(name)
	case what == 5 && e != nil:
		f.kill(name)
	case what == 6 && e != nil:
		e.paused = !e.paused
	case what == 7 && e != nil:
		e.link = !e.link
	case what < 11 && e != nil && f.holder != name:
		f.grant(name)
	case what == 12:
		f.holder = ""
	case what < 20 && len(f.late) > 0:
		i := r.IntN(len(f.late))
		f.late[i]()
		f.late = slices.Delete(f.late, i, i+1)
	}
}

// recover ends all faults and checks the reports: those of before, and those of three
// windows without faults.
func (f *fleet) recover(t *testing.T) {
	t.Helper()
	f.fault = nil
	for _, n := range []string{"a", "b", "c", "d"} {
		if f.entries[n] == nil {
			f.start(n)
		}
		f.entries[n].paused, f.entries[n].link = false, true
	}
	f.grant("a")
	f.run(6 * window)
	for f.now.Unix()%5 != 0 || f.now.Nanosecond() != 0 {
		f.run(tick)
	}
	from := f.now.Unix() / 5
	for range 75 {
		f.count()
		f.run(tick)
	}
	f.run(2 * window)
	is := is.New(t)
	for w := range maps.Keys(f.accepted) {
		is.True(f.accepted[w]["hule"] <= f.begun[w]) // not more than began
	}
	for w := from; w < from+3; w++ {
		is.Equal(f.accepted[w]["hule"], f.begun[w])
		is.True(!f.acceptedAt[w].After(time.Unix((w+1)*5+10, 0)))
	}
}
