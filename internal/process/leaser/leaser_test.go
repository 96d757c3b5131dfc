package leaser

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// Each candidate costs calls of the store, so that a few entries must be candidates,
// but never none: a duty without a candidate is not done.
func TestFewLivingEntriesAreCandidates(t *testing.T) {
	for _, n := range []int{1, 2, 3, 26, 410} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			var living []string
			for i := range n {
				living = append(living, fmt.Sprint("entry-", i))
			}
			candidates := 0
			for _, e := range living {
				if IsCandidate("usage", e, living) {
					candidates++
				}
			}
			is.New(t).Equal(candidates, min(n, Candidates))
		})
	}
	t.Run("entry that hears from nobody", func(t *testing.T) {
		is.New(t).True(IsCandidate("usage", "entry-1", nil))
	})
}

// An entry that cannot do a duty must leave it to those that can, and must not be left out
// if there are none.
func TestEligibleEntriesAreCandidatesFirst(t *testing.T) {
	is := is.New(t)
	var all []string
	for i := range 26 {
		all = append(all, fmt.Sprint("entry-", i))
	}
	count := func(eligible []string) (n int, others int) {
		for i, e := range all {
			isEligible := i < len(eligible)
			if IsCandidateAmong("usage", e, isEligible, all, eligible) {
				n++
				if !isEligible {
					others++
				}
			}
		}
		return n, others
	}
	n, others := count(all[:20])
	is.Equal(n, Candidates)
	is.Equal(others, 0)
	n, _ = count(nil)
	is.Equal(n, Candidates)
	n, others = count(all[:1])
	is.True(n-others == 1 && others >= Candidates-1 && others <= Candidates)
}

// The first call of a term and each further one must wait for an interval, or a handover
// would exceed the rate that all entries share.
func TestPaceSpacesCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := NewPace(4, 0.5)
	p.Begin(now)
	is.True(!p.Ready(now.Add(499 * time.Millisecond)))
	now = now.Add(500 * time.Millisecond)
	is.True(p.Ready(now))
	p.Called(now)
	is.True(!p.Ready(now.Add(499 * time.Millisecond)))
	is.Equal(p.Next(), now.Add(500*time.Millisecond))
	slow := NewPace(0.1, 1)
	slow.Begin(now)
	is.Equal(slow.Next(), now.Add(time.Second))
}

// assertWins waits until an entry has won the lease with the token.
func assertWins(t *testing.T, l *Leaser, changed <-chan struct{}, want int64) {
	t.Helper()
	for {
		if token, held := l.Held(); held {
			is.New(t).Equal(token, want)
			return
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Second):
			t.Fatal("the lease was not won")
		}
	}
}

// An entry that gives up must hold nothing from then on, and another one must get the
// lease with a higher token.
func TestGivenUpLeaseGoesToAnotherEntry(t *testing.T) {
	is := is.New(t)
	platform := emulator.NewPlatform()
	defer platform.Stop()
	start := func(identity string) (*Leaser, chan struct{}) {
		changed := make(chan struct{}, 16)
		l := New(Options{
			Duty: "usage", Identity: identity, Started: time.Unix(7, 0), Duration: 2 * time.Second, Store: platform, Clock: timer.System{},
			Changed: func() { changed <- struct{}{} },
		})
		t.Cleanup(l.Stop)
		return l, changed
	}
	first, changed := start("entry-1")
	assertWins(t, first, changed, 1)
	is.True(first.Remaining() > 0)
	first.GiveUp("test")
	_, held := first.Held()
	is.True(!held)
	is.Equal(first.Remaining(), time.Duration(0))
	is.True(first.GaveUpWithin(time.Hour))
	second, changed := start("entry-2")
	assertWins(t, second, changed, 2)
	second.RaiseToken(9)
	assertWins(t, second, changed, 10)
}
