package sharer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/limiter"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// testFleet is a set of sharers that call each other directly. Reports to the entry
// named by unreachable are lost.
type testFleet struct {
	clock        *timer.Manual
	sharers      map[string]*Sharer
	names        []string
	decisions    chan Decision
	unreachable  string
	requestCount int
}

func newFleet(t *testing.T, n int, unreachable string) *testFleet {
	f := &testFleet{
		clock:       timer.NewManual(time.Unix(1000, 0)),
		sharers:     map[string]*Sharer{},
		decisions:   make(chan Decision, 64),
		unreachable: unreachable,
	}
	for i := range n {
		f.names = append(f.names, fmt.Sprint("entry-", i))
	}
	for _, name := range f.names {
		f.sharers[name] = New(Options{
			Entry: name, Clock: f.clock,
			EntryCount:      func() int { return len(f.names) },
			OwnerCandidates: func() []string { return f.names },
			SendReport: func(to string, r limiter.Report) bool {
				if to != f.unreachable {
					f.sharers[to].Report(r, func(s limiter.Share) { f.sharers[name].Share(s) })
				}
				return true
			},
			OnDecision: func(d Decision) { f.decisions <- d },
		})
	}
	t.Cleanup(func() {
		for _, s := range f.sharers {
			s.Stop()
		}
	})
	return f
}

// TestLimitAcrossEntries checks that a limit holds across all entries, and that a
// request gets a decision even if the owner of its limit is unreachable.
func TestLimitAcrossEntries(t *testing.T) {
	t.Run("three entries together admit at most the concurrency limit", func(t *testing.T) {
		f := newFleet(t, 3, "")
		f.clock.Advance(limiter.ShareValid)
		assertAdmittedWithin(t, f, limiter.Limit{Concurrency: 6}, 30, 6)
	})
	t.Run("a request is admitted if the owner does not answer its report", func(t *testing.T) {
		f := newFleet(t, 2, "")
		owner := f.sharers["entry-0"].ownerOf("o")
		f.unreachable = owner
		other := f.names[1-slices.Index(f.names, owner)]
		f.ask(other, limiter.Limit{Concurrency: 4})
		assertEventuallyAdmitted(t, f)
	})
}

func (f *testFleet) ask(entry string, l limiter.Limit) {
	f.requestCount++
	f.sharers[entry].Ask(Request{ID: fmt.Sprint(f.requestCount), Organisation: "o", Limit: l})
}

// assertAdmittedWithin sends requests to all entries in turn and checks that at
// least one and at most limit are admitted.
func assertAdmittedWithin(t *testing.T, f *testFleet, l limiter.Limit, requests, limit int) {
	t.Helper()
	admitted := 0
	for i := range requests {
		f.ask(f.names[i%len(f.names)], l)
		if d := <-f.decisions; d.Admitted {
			admitted++
		}
	}
	is.New(t).True(admitted > 0)
	is.New(t).True(admitted <= limit)
}

// assertEventuallyAdmitted advances the clock until a decision arrives, which must
// admit the request.
func assertEventuallyAdmitted(t *testing.T, f *testFleet) {
	t.Helper()
	for {
		select {
		case d := <-f.decisions:
			is.New(t).True(d.Admitted)
			return
		case <-time.After(time.Millisecond):
			f.clock.Advance(AnswerTimeout)
		}
	}
}
