package elector

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The random test uses a fixed seed, so that its result is reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "6000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

const duration = 8 * time.Second

// No two candidates may hold the lease at the same time, and fencing numbers
// must increase, with any lost or delayed calls, pauses and crashes.
func TestAtMostOneHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, now: time.Unix(1_800_000_000, 0), lastHeld: map[string]time.Time{}}
		w.cooldown = time.Duration(rapid.IntRange(0, 1).Draw(t, "cooldown")) * 2 * duration
		for i := range w.cores {
			w.start(i)
		}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			w.step()
			w.check()
		}
	})
}

// simulation holds three candidates and the object of the lease.
type simulation struct {
	t             *rapid.T
	now           time.Time
	cores         [3]*candidate
	starts        int
	version       int64
	record        Record
	delayedWrites []Action
	// highestNumber is the highest fencing number that any candidate held, and
	// winner that candidate.
	highestNumber int64
	winner        string
	// cooldown is the cool-down of the candidates, and lastHeld the time at which each
	// was last seen to hold the lease.
	cooldown time.Duration
	lastHeld map[string]time.Time
}

// candidate is a core with the offset of its clock and its pending call.
type candidate struct {
	Core
	offset time.Duration
	call   Action
	// reply is the delayed response to call.
	reply *Event
}

func (w *simulation) start(i int) {
	w.starts++
	c := &candidate{Core: Core{Holder: fmt.Sprintf("entry-%d", w.starts), Duration: duration, WantsLease: true, Cooldown: w.cooldown}}
	c.offset = time.Duration(rapid.IntRange(-100, 100).Draw(w.t, "offset")) * time.Second
	w.cores[i] = c
	w.send(c, Event{Kind: EventTimerFired})
}

func (w *simulation) send(c *candidate, e Event) { c.call = c.HandleEvent(w.now.Add(c.offset), e) }

func (w *simulation) step() {
	c := w.cores[rapid.IntRange(0, len(w.cores)-1).Draw(w.t, "core")]
	switch rapid.SampledFrom([]string{"call", "call", "call", "tick", "time", "time", "crash", "delayed write", "resign", "give up"}).Draw(w.t, "step") {
	case "call":
		w.answer(c)
	case "tick":
		// A candidate whose timer does not fire is paused.
		if c.call.Kind == ActionNone {
			w.send(c, Event{Kind: EventTimerFired})
		}
	case "time":
		w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 500, 1500, 4000, 9000}).Draw(w.t, "ms")) * time.Millisecond)
	case "crash":
		if rapid.IntRange(0, 4).Draw(w.t, "die") == 0 {
			w.start(slices.Index(w.cores[:], c))
		}
	case "delayed write":
		if len(w.delayedWrites) > 0 {
			w.write(w.delayedWrites[0])
			w.delayedWrites = w.delayedWrites[1:]
		}
	case "resign":
		if c.call.Kind == ActionNone && rapid.IntRange(0, 4).Draw(w.t, "resigns") == 0 {
			w.send(c, Event{Kind: EventResigned})
		}
	case "give up":
		// It may come while a call is pending, whose result follows.
		if a := c.HandleEvent(w.now.Add(c.offset), Event{Kind: EventGivenUp}); c.call.Kind == ActionNone {
			c.call = a
		}
	}
}

func (w *simulation) answer(c *candidate) {
	if c.call.Kind == ActionNone {
		return
	}
	if c.reply == nil {
		e := w.serve(c.call)
		c.reply = &e
		if rapid.IntRange(0, 3).Draw(w.t, "slow") == 0 {
			return
		}
	}
	e := *c.reply
	c.reply = nil
	w.send(c, e)
}

// serve executes a call, or loses it before or after it takes effect.
func (w *simulation) serve(a Action) Event {
	callResult := rapid.SampledFrom([]string{"served", "served", "served", "answer lost", "late", "down"}).Draw(w.t, "platform")
	switch {
	case callResult == "down":
		return Event{Kind: EventUnavailable}
	case a.Kind == ActionRead:
		return Event{Kind: EventRead, Version: w.version, Record: w.record}
	case callResult == "late":
		w.delayedWrites = append(w.delayedWrites, a)
		return Event{Kind: EventOutcomeUnknown}
	case callResult == "answer lost":
		w.write(a)
		return Event{Kind: EventOutcomeUnknown}
	case w.write(a):
		return Event{Kind: EventWritten, Version: w.version}
	}
	return Event{Kind: EventConflicted}
}

func (w *simulation) write(a Action) bool {
	if w.version != a.ExpectedVersion {
		return false
	}
	w.version++
	w.record = a.Record
	return true
}

func (w *simulation) check() {
	holders := []string{}
	for _, c := range w.cores {
		l := c.Lease()
		if !l.Held(w.now.Add(c.offset)) {
			continue
		}
		holders = append(holders, c.Holder)
		if l.FencingNumber < w.highestNumber || (l.FencingNumber == w.highestNumber && c.Holder != w.winner) {
			w.t.Fatalf("%s holds number %d after %s held %d", c.Holder, l.FencingNumber, w.winner, w.highestNumber)
		}
		last, again := w.lastHeld[c.Holder]
		if again && w.winner != c.Holder && w.cooldown > 0 && w.now.Sub(last) < duration {
			w.t.Fatalf("%s holds the lease again after %s, %v after its last term", c.Holder, w.winner, w.now.Sub(last))
		}
		w.highestNumber, w.winner, w.lastHeld[c.Holder] = l.FencingNumber, c.Holder, w.now
	}
	if len(holders) > 1 {
		w.t.Fatalf("%v hold the lease at the same time", holders)
	}
}

// A holder that resigns must stop acting before the platform responds: the
// response may arrive after the next holder has acquired the lease.
func TestResignedHolderStopsAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := Core{Holder: "entry-1", Duration: duration, WantsLease: true}
	is.Equal(c.HandleEvent(now, Event{Kind: EventTimerFired}).Kind, ActionRead)
	is.Equal(c.HandleEvent(now, Event{Kind: EventRead}).Kind, ActionWrite)
	c.HandleEvent(now, Event{Kind: EventWritten, Version: 1})
	is.True(c.Lease().Held(now))
	a := c.HandleEvent(now, Event{Kind: EventResigned})
	is.Equal(a.Record, Record{FencingNumber: 1, Duration: duration})
	is.True(!c.Lease().Held(now))
}

// hold returns a core that holds the lease with number 1 as version 1.
func hold(t *testing.T, now time.Time) *Core {
	t.Helper()
	c := &Core{Holder: "entry-1", Duration: duration, WantsLease: true, Cooldown: 2 * duration}
	c.HandleEvent(now, Event{Kind: EventTimerFired})
	c.HandleEvent(now, Event{Kind: EventRead})
	c.HandleEvent(now, Event{Kind: EventWritten, Version: 1})
	is.New(t).True(c.Lease().Held(now))
	return c
}

// A holder that gives up must release the lease and leave it to others for the
// cool-down, or two entries that both fail would hold it in turns.
func TestGivenUpLeaseIsNotAcquiredInCooldown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := hold(t, now)
	a := c.HandleEvent(now, Event{Kind: EventGivenUp})
	is.Equal(a, Action{Kind: ActionWrite, ExpectedVersion: 1, Record: Record{FencingNumber: 1, Duration: duration}})
	is.True(!c.Lease().Held(now))
	is.Equal(c.HandleEvent(now, Event{Kind: EventWritten, Version: 2}).Kind, ActionNone)
	is.Equal(c.NextTimer(now), now.Add(2*duration))
	is.Equal(c.HandleEvent(now.Add(2*duration-1), Event{Kind: EventTimerFired}).Kind, ActionNone)
	is.Equal(c.HandleEvent(now.Add(2*duration), Event{Kind: EventTimerFired}).Record.Holder, "entry-1")
}

// The fencing number must rise although the object was deleted, and above one that is
// known from elsewhere: the receivers of orders have seen it.
func TestNumberRisesWithoutObject(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("object deleted", func(t *testing.T) {
		c := hold(t, now)
		later := now.Add(4 * duration)
		is.New(t).Equal(c.HandleEvent(later, Event{Kind: EventConflicted}).Kind, ActionRead)
		c.HandleEvent(later, Event{Kind: EventRead})
		a := c.HandleEvent(later.Add(4*duration), Event{Kind: EventTimerFired})
		is.New(t).Equal(a, Action{Kind: ActionWrite, Record: Record{Holder: "entry-1", FencingNumber: 2, Duration: duration}})
	})
	t.Run("higher number known", func(t *testing.T) {
		c := hold(t, now)
		c.MinNumber = 7
		a := c.HandleEvent(now, Event{Kind: EventTimerFired})
		is.New(t).Equal(a.Record.FencingNumber, int64(8))
		is.New(t).True(!c.Lease().Held(now))
		c.HandleEvent(now, Event{Kind: EventWritten, Version: 2})
		is.New(t).Equal(c.Lease().FencingNumber, int64(8))
	})
}

// A candidate whose wall clock was set back by an hour must not wait for an hour.
func TestWallClockSetBackDoesNotStopCandidate(t *testing.T) {
	for _, c := range []struct {
		name                  string
		monotonic, wall, want time.Duration
	}{
		{"both clocks agree", time.Second, time.Second, time.Second},
		{"suspended VM", time.Second, time.Hour, time.Second},
		{"wall clock slower", time.Second, time.Millisecond, time.Millisecond},
		{"wall clock set back", time.Second, -time.Hour, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(shorterElapsed(c.monotonic, c.wall), c.want) })
	}
}

// A holder must not act after the end of its lease on either clock.
func TestLeaseIsHeldUntilEndOnBothClocks(t *testing.T) {
	from := time.Now()
	l := Lease{FencingNumber: 1, ValidFrom: from, ValidFor: time.Second}
	for _, c := range []struct {
		name string
		now  time.Time
		want bool
	}{
		{"before the end: held", from.Add(time.Second - 1), true},
		{"at the end: not held", from.Add(time.Second), false},
		{"at the end on the wall clock alone: not held", from.Round(0).Add(time.Second), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(l.Held(c.now), c.want)
		})
	}
	t.Run("zero lease: not held", func(t *testing.T) {
		is.New(t).Equal(Lease{}.Held(from), false)
	})
}
