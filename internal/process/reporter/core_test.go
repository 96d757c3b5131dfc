package reporter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/accountant"
)

// play counts requests for three windows, calls at with the number of each tick, and runs
// on until the reports are due.
func (f *fleet) play(at func(tick int)) {
	for i := range 75 {
		if f.now.Unix()/5 < first+3 {
			f.count()
		}
		at(i)
		f.run(tick)
	}
	for i := range 60 {
		at(75 + i)
		f.run(tick)
	}
}

// Each window must be reported in time with the counts of all entries.
func TestUsageIsReported(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.play(func(int) {})
	f.assertReported(3, 0)
	is.New(t).True(f.acceptedAt[first].Before(time.Unix((first+1)*5+2, 0)))
}

// A holder may be killed before and after each of its calls. The next one must report the
// same counts, and no window twice with different ones.
func TestHolderKilledAtEveryStep(t *testing.T) {
	for _, kind := range []fault{faultKill, faultKillAfter} {
		for step := 1; step <= 40; step++ {
			t.Run(fmt.Sprint("fault ", kind, " at call ", step), func(t *testing.T) {
				f := newFleet(t, "a", "b", "c")
				killed := -1
				f.fault = func(e string, a Action) fault {
					if f.actions == step && e == "a" && a.Token != 0 {
						killed = 0
						return kind
					}
					return faultNone
				}
				f.play(func(int) {
					if killed >= 0 {
						killed++
					}
					if killed == 25 {
						f.grant("b")
					}
				})
				// What the killed entry counted in its last 0.2 s is lost with it.
				f.assertReported(3, 1)
			})
		}
	}
}

// A call that gets no answer may have been executed or not, and may be executed after
// later ones. No window may get two different reports, and each must get one in time.
func TestLostAndLateCalls(t *testing.T) {
	for _, c := range []struct {
		name string
		kind fault
		call ActionKind
	}{
		{"journal write lost", faultDown, ActionWriteJournal},
		{"answer to journal write lost", faultAnswer, ActionWriteJournal},
		{"journal write late", faultLate, ActionWriteJournal},
		{"journal read lost", faultDown, ActionReadJournal},
		{"report lost", faultDown, ActionReport},
		{"answer to report lost", faultAnswer, ActionReport},
		{"report late", faultLate, ActionReport},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, "a", "b")
			calls := 0
			f.fault = func(_ string, a Action) fault {
				if a.Kind != c.call {
					return faultNone
				}
				if calls++; calls%2 == 1 {
					return c.kind
				}
				return faultNone
			}
			f.play(func(tick int) {
				if tick%20 == 19 && len(f.late) > 0 {
					f.late[0]()
					f.late = f.late[1:]
				}
				if tick == 40 {
					f.grant("b")
				}
			})
			f.assertReported(3, 0)
		})
	}
}

// A holder that reaches only the store or only the API must hand over, and the next one
// must report in time.
func TestHolderCutOffFromStoreOrAPIHandsOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		isCut func(a Action) bool
		cause string
	}{
		{"API", func(a Action) bool { return a.Kind == ActionReport }, "the API cannot be reached"},
		{"store", func(a Action) bool { return a.Kind != ActionReport }, "the journal cannot be read and written"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, "a", "b")
			f.fault = func(e string, a Action) fault {
				if e == "a" && c.isCut(a) {
					return faultDown
				}
				return faultNone
			}
			f.play(func(int) {
				if f.holder == "" {
					f.grant("b")
				}
			})
			is.New(t).Equal(f.givenUp, []string{c.cause})
			f.assertReported(3, 0)
		})
	}
}

// A holder that was paused may act with its old token once more. It must neither disturb
// the next holder nor call again after a refusal.
func TestPausedHolderDoesNoHarm(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.play(func(tick int) {
		switch tick {
		case 20:
			f.entries["a"].paused = true
		case 30:
			f.grant("b")
		case 60:
			// It resumes and still believes that it is the holder.
			f.entries["a"].paused = false
			e := f.entries["a"]
			f.execute(e, e.core.Step(f.now, Event{Kind: EventTick, Token: 1, Remaining: time.Second, WindowTime: f.now}))
			f.holder = "b"
		}
	})
	// What it counted in the last 0.2 s before the pause comes too late.
	f.assertReported(3, 1)
	is.New(t).Equal(f.token, int64(2))
}

// A refused token must end the term at once, and the token must never be used again.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "a")
	f.apiToken = 7
	f.count()
	f.run(7 * time.Second)
	is.Equal(f.givenUp, []string{"the API has seen a higher token"})
	calls := f.actions
	f.holder = "a"
	f.run(time.Second)
	is.Equal(f.actions, calls)
}

// A token that the journal knows from another holder must not be used again, even if the
// object of the lease was deleted.
func TestTokenStartsAboveJournal(t *testing.T) {
	f := newFleet(t, "a")
	f.run(time.Second)
	f.kill("a")
	f.start("b")
	f.version, f.journal = 9, Journal{Token: 12, Holder: "x@1"}
	f.grant("b")
	f.run(time.Second)
	is.New(t).Equal(f.token, int64(13))
	is.New(t).Equal(f.journal.Token, int64(13))
}

// All windows that ended while the store was down, over a change of the holder, must be
// reported once it is back, and in time if it is back early enough.
func TestStoreDownOverHandover(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.play(func(tick int) {
		switch tick {
		case 20:
			f.fault = func(_ string, a Action) fault {
				if a.Kind != ActionReport {
					return faultDown
				}
				return faultNone
			}
			f.holder = ""
		case 60:
			f.fault = nil
			f.grant("b")
		}
	})
	f.assertReported(3, 0)
}

// After the loss of power of all entries the journal alone is left. It must cost at most
// the requests of the time between two checkpoints.
func TestLossOfAllEntries(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.play(func(tick int) {
		switch tick {
		case 37:
			for _, n := range []string{"a", "b"} {
				f.kill(n)
			}
		case 45:
			f.start("a")
			f.start("b")
		case 52:
			f.grant("b")
		}
	})
	// 1.4 s at two entries and five requests a second: the checkpoint, its write and the
	// exchange.
	f.assertReported(3, 14)
}

// The rows of an entry that is out of reach of the holder must reach it over the store.
func TestCutOffEntryIsCounted(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  string
	}{
		{"another entry cut off", "c"},
		{"holder cut off", "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, "a", "b", "c")
			f.play(func(tick int) { f.entries[c.cut].link = tick < 12 })
			f.assertReported(3, 0)
		})
	}
}

// A journal that cannot be decoded hides what was reported, so that windows from before
// must not be reported again.
func TestUnreadableJournalReportsNothingOld(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.count()
	f.run(window + time.Second)
	is := is.New(t)
	is.Equal(len(f.accepted), 1)
	f.accepted = map[int64]accountant.Counts{}
	f.kill("a")
	f.damaged = true
	f.grant("b")
	f.count()
	f.run(window + time.Second)
	_, again := f.accepted[first]
	is.True(!again)
	is.True(f.accepted[first+1] != nil)
}

// A journal that was deleted or set back does not show what was reported since. The entries
// that know of it must not report it again.
func TestLostJournalReportsNothingAgain(t *testing.T) {
	for name, journal := range map[string]Journal{"deleted": {}, "set back": {Token: 1, Holder: "x@1", Next: first}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "a", "b")
			f.count()
			f.run(2*window + 2*time.Second)
			is := is.New(t)
			is.Equal(len(f.accepted), 2)
			f.accepted = map[int64]accountant.Counts{}
			f.kill("a")
			f.journal, f.version = journal, journal.Token
			f.grant("b")
			f.count()
			f.run(window)
			is.Equal(len(f.accepted), 1)
			is.Equal(f.accepted[first+2], accountant.Counts{"hule": 1})
		})
	}
}

// A journal must be decoded to what was encoded, and must fit into the store at the size
// that the system is built for.
func TestJournalIsRestoredAndFits(t *testing.T) {
	j := Journal{Token: 4, Holder: "a@7", Next: first + 1, Reports: []accountant.Report{
		{Window: first - 1, Counts: accountant.Counts{}, Confirmed: true}, {Window: first, Counts: accountant.Counts{"hule": 412}},
	}}
	for i := range 3 {
		j.Rows = append(j.Rows, accountant.Row{
			Incarnation: accountant.Incarnation{Entry: fmt.Sprint("entry-", i), StartUnixMilli: 1_800_000_000_000},
			Window:      first + 1, Counts: accountant.Counts{"hule": 300, "fida": i},
		})
	}
	t.Run("restored", func(t *testing.T) {
		data, err := j.Encode()
		is.New(t).NoErr(err)
		got, err := DecodeJournal(data)
		is.New(t).NoErr(err)
		is.New(t).Equal(got, j)
	})
	t.Run("damaged", func(t *testing.T) {
		for _, text := range []string{``, `7`, `{}`, `{"token":1,"holder":"a","checkpoint":"/////w=="}`} {
			_, err := DecodeJournal([]byte(text))
			is.New(t).True(err != nil)
		}
	})
	for windows, checkpoint := range map[int]bool{1: true, 8: false} {
		t.Run(fmt.Sprint(windows, " open windows of the largest fleet"), func(t *testing.T) {
			large := largeJournal(windows)
			data, err := large.Encode()
			is.New(t).NoErr(err)
			is.New(t).True(len(data) <= 1<<20)
			got, err := DecodeJournal(data)
			is.New(t).NoErr(err)
			is.New(t).Equal(len(got.Reports), accountant.MaxReports)
			is.New(t).Equal(len(got.Rows) > 0, checkpoint)
			t.Logf("%d bytes", len(data))
		})
	}
}

// largeJournal returns a journal of 410 entries and 210 organisations.
func largeJournal(windows int) Journal {
	counts := accountant.Counts{}
	for o := range 210 {
		counts[fmt.Sprint("organisation-", o)] = 200
	}
	j := Journal{Token: 1, Holder: "a@7", Next: first}
	for w := range accountant.MaxReports {
		j.Reports = append(j.Reports, accountant.Report{Window: first - int64(w), Counts: counts})
	}
	for e := range 410 {
		for w := range windows {
			i := accountant.Incarnation{Entry: fmt.Sprint("entry-", e), StartUnixMilli: 1_800_000_000_000}
			j.Rows = append(j.Rows, accountant.Row{Incarnation: i, Window: first + int64(w), Counts: counts})
		}
	}
	return j
}
