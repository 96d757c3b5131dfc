package reporter

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/accountant"
	"magnoliafront.dev/magnoliafront/internal/process/leaser"
)

const (
	window = 5 * time.Second
	due    = 10 * time.Second
	tick   = 200 * time.Millisecond
	first  = 360_000_000
)

// fleet simulates entries with their store and their API on one clock. The test gives the
// lease to an entry.
type fleet struct {
	t       *testing.T
	now     time.Time
	entries map[string]*entry
	// holder is the entry with the lease, empty if there is none, and token the last one.
	holder string
	token  int64
	// version and journal are the object of the journal, damaged if it cannot be decoded.
	version int64
	journal Journal
	damaged bool
	rows    map[string][]accountant.Row
	// accepted holds the counts that the API has accepted, acceptedAt when, and apiToken
	// the highest token that it has seen.
	accepted   map[int64]accountant.Counts
	acceptedAt map[int64]time.Time
	apiToken   int64
	// begun holds the true counts by window.
	begun map[int64]int
	// fault decides what happens to a call, nil for no fault.
	fault func(entry string, a Action) fault
	// late holds calls that are executed later.
	late []func()
	// actions counts the calls of holders, and given up the causes.
	actions int
	givenUp []string
}

// fault is what happens to a call.
type fault int

const (
	faultNone fault = iota
	// faultDown loses the call, faultAnswer its answer, and faultLate delays the call.
	faultDown
	faultAnswer
	faultLate
	// faultKill ends the entry before the call, and faultKillAfter after it.
	faultKill
	faultKillAfter
)

// entry is an entry of the fleet. It is paused while paused is true.
type entry struct {
	name   string
	core   Core
	paused bool
	// link is false while the entry is cut off from the others.
	link bool
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{
		t: t, now: time.Unix(first*5, 0), entries: map[string]*entry{}, rows: map[string][]accountant.Row{},
		accepted: map[int64]accountant.Counts{}, acceptedAt: map[int64]time.Time{}, begun: map[int64]int{},
	}
	for _, n := range names {
		f.start(n)
	}
	f.grant(names[0])
	f.step()
	return f
}

// start starts an entry, or starts it again.
func (f *fleet) start(name string) {
	self := accountant.Incarnation{Entry: name, StartUnixMilli: f.now.UnixMilli()}
	f.entries[name] = &entry{name: name, link: true, core: Core{
		Settings: Settings{Holder: holderName(self), Due: due, Pace: leaser.NewPace(4, 0.5)},
		Accounts: accountant.New(accountant.Settings{Self: self, Window: window, Due: due}),
	}}
}

// grant gives the lease to an entry under a new token.
func (f *fleet) grant(name string) {
	f.holder = name
	f.token++
}

// kill ends an entry.
func (f *fleet) kill(name string) {
	delete(f.entries, name)
	if f.holder == name {
		f.holder = ""
	}
}

// count counts a request at each entry that runs.
func (f *fleet) count() {
	for _, e := range f.entries {
		if !e.paused {
			e.core.Accounts.Count(f.now, "hule")
			f.begun[f.now.Unix()/5]++
		}
	}
}

// run advances the clock by d.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		f.step()
	}
}

// step lets each entry exchange updates and make its calls.
func (f *fleet) step() {
	names := slices.Sorted(maps.Keys(f.entries))
	for _, name := range names {
		e := f.entries[name]
		if e == nil || e.paused {
			continue
		}
		e.core.Accounts.SetMembers(f.now, slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name }))
		if u, ok := e.core.Accounts.Publish(f.now, f.now); ok {
			for _, other := range f.entries {
				if other != e && !other.paused && other.link && e.link {
					other.core.Accounts.Merge(f.now, u)
				}
			}
		}
		in := Event{Kind: EventTick, WindowTime: f.now}
		if f.holder == name {
			in.Token, in.Remaining = f.token, 2*time.Second
		}
		f.execute(e, e.core.Step(f.now, in))
	}
}

// execute executes actions until the entry has none left.
func (f *fleet) execute(e *entry, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ActionObserve:
		case ActionGiveUp:
			f.givenUp = append(f.givenUp, a.Cause)
			f.holder = ""
		case ActionRaiseToken:
			f.token = a.Number + 1
		default:
			f.actions++
			f.call(e, a)
		}
	}
}

// call makes a call with the fault that the test wants.
func (f *fleet) call(e *entry, a Action) {
	kind := faultNone
	if f.fault != nil {
		kind = f.fault(e.name, a)
	}
	answer := a.failed(OutcomeUnknown)
	switch kind {
	case faultNone:
		answer = f.serve(a, e.name)
	case faultDown:
		if a.Kind == ActionReadJournal {
			answer = a.failed(OutcomeUnavailable)
		}
	case faultAnswer:
		f.serve(a, e.name)
	case faultLate:
		f.late = append(f.late, func() { f.serve(a, e.name) })
	case faultKill:
		f.kill(e.name)
		return
	case faultKillAfter:
		f.serve(a, e.name)
		f.kill(e.name)
		return
	}
	f.execute(e, e.core.Step(f.now, answer))
}

// serve executes a call at the store or the API.
func (f *fleet) serve(a Action, name string) Event {
	out := a.failed(OutcomeDone)
	switch a.Kind {
	case ActionReadJournal:
		out.Version, out.Journal = f.version, f.journal
		if f.damaged {
			out.Outcome = OutcomeUnreadable
		}
	case ActionWriteJournal:
		if a.Version != f.version {
			return a.failed(OutcomeConflict)
		}
		data, err := a.Journal.Encode()
		is.New(f.t).NoErr(err)
		f.journal, err = DecodeJournal(data)
		is.New(f.t).NoErr(err)
		f.version++
		f.damaged, out.Version = false, f.version
	case ActionReadRows:
		for _, rows := range f.rows {
			out.Rows = append(out.Rows, rows...)
		}
	case ActionWriteRows:
		f.rows[name] = a.Rows
	case ActionReport:
		return f.serveReport(a)
	}
	return out
}

// serveReport checks that no window gets two reports.
func (f *fleet) serveReport(a Action) Event {
	if a.Token < f.apiToken {
		return a.failed(OutcomeTokenRefused)
	}
	f.apiToken = a.Token
	if old, ok := f.accepted[a.Report.Window]; ok {
		is.New(f.t).Equal(old, a.Report.Counts) // counts of a window that was reported before
		return a.failed(OutcomeDone)
	}
	f.accepted[a.Report.Window], f.acceptedAt[a.Report.Window] = a.Report.Counts, f.now
	return a.failed(OutcomeDone)
}

// assertReported checks that each of the windows was reported in time with its true counts,
// of which missing may be lost.
func (f *fleet) assertReported(windows, missing int) {
	f.t.Helper()
	for w := int64(first); w < first+int64(windows); w++ {
		f.t.Run(fmt.Sprint("window ", w-first), func(t *testing.T) {
			is := is.New(t)
			got, ok := f.accepted[w]
			is.True(ok)                                               // reported
			is.True(!f.acceptedAt[w].After(time.Unix((w+1)*5+10, 0))) // in time
			is.True(got["hule"] <= f.begun[w])                        // not too much
			is.True(got["hule"] >= f.begun[w]-missing && got != nil)  // not too little
		})
	}
}
