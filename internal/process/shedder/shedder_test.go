package shedder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const kb = 1 << 10

// start is the time at which the bodies of the tests began.
var start = time.Unix(1000, 0)

var limits = Limits{Idle: 2 * time.Second, MaxWait: 3 * time.Second, Stall: 10 * time.Second, Grace: 10 * time.Second, MinRate: 16 * kb}

// readBody returns a body that is read and got its last byte at the given age.
func readBody(id uint64, large bool, held int64, progress time.Duration) Body {
	return Body{ID: id, Large: large, Held: held, Received: held, Progress: start.Add(progress)}
}

// waitingBody returns a body that waits for 64 KB since start.
func waitingBody(id uint64, large bool, held int64) Body {
	b := readBody(id, large, held, 0)
	b.Wanted, b.WaitingSince = 64*kb, start
	return b
}

// assertPlan checks a decision at the given time after start.
func assertPlan(t *testing.T, after time.Duration, room Room, bodies []Body, want Plan) {
	t.Helper()
	p := Decide(start.Add(after), bodies, room, limits)
	is := is.New(t)
	is.Equal(p.Granted, want.Granted)
	is.Equal(p.Shed, want.Shed)
	is.True(p.Next.Equal(want.Next))
}

// A flood of large bodies kept everybody else from being served, or took all the memory.
func TestSmallBodiesPassBesideLargeOnes(t *testing.T) {
	t.Run("small before large", func(t *testing.T) {
		bodies := []Body{waitingBody(1, true, 100*kb), waitingBody(2, false, 4*kb)}
		assertPlan(t, 0, Room{Small: 100 * kb, Large: 100 * kb}, bodies, Plan{Granted: []uint64{2}, Next: start.Add(3 * time.Second)})
	})
	t.Run("large ones have a limit of their own", func(t *testing.T) {
		bodies := []Body{waitingBody(1, true, 100*kb), waitingBody(2, false, 4*kb)}
		assertPlan(t, 0, Room{Small: 1000 * kb, Large: 10 * kb}, bodies, Plan{Granted: []uint64{2}, Next: start.Add(3 * time.Second)})
	})
	t.Run("a large one that waits yields to a small one", func(t *testing.T) {
		bodies := []Body{waitingBody(1, true, 200*kb), waitingBody(2, true, 100*kb), waitingBody(3, false, 4*kb)}
		assertPlan(t, 0, Room{}, bodies, Plan{Shed: []uint64{2}, Next: start.Add(3 * time.Second)})
	})
	t.Run("a small one does not yield to a large one", func(t *testing.T) {
		bodies := []Body{readBody(1, false, 60*kb, 0), waitingBody(2, true, 100*kb)}
		assertPlan(t, 4*time.Second, Room{}, bodies, Plan{Shed: []uint64{2}})
	})
}

// Bodies that waited for each other held the memory until their callers gave up.
func TestMostAdvancedBodyGetsRoom(t *testing.T) {
	far, near := waitingBody(1, true, 3000*kb), waitingBody(2, true, 2000*kb)
	t.Run("first", func(t *testing.T) {
		assertPlan(t, 0, Room{Small: 100 * kb, Large: 100 * kb}, []Body{near, far}, Plan{Granted: []uint64{1}, Next: start.Add(3 * time.Second)})
	})
	t.Run("nobody yields before the end of the wait", func(t *testing.T) {
		assertPlan(t, 2*time.Second, Room{}, []Body{near, far}, Plan{Next: start.Add(3 * time.Second)})
	})
	t.Run("then the least advanced one does", func(t *testing.T) {
		assertPlan(t, 3*time.Second, Room{}, []Body{near, far}, Plan{Shed: []uint64{2}})
	})
	t.Run("also if it is read", func(t *testing.T) {
		bodies := []Body{readBody(2, true, 2000*kb, 3*time.Second), far}
		assertPlan(t, 3*time.Second, Room{}, bodies, Plan{Shed: []uint64{2}, Next: start.Add(5 * time.Second)})
	})
	t.Run("a body that finds no less advanced one ends itself", func(t *testing.T) {
		bodies := []Body{readBody(1, true, 3000*kb, 3*time.Second), near}
		assertPlan(t, 3*time.Second, Room{}, bodies, Plan{Shed: []uint64{2}, Next: start.Add(5 * time.Second)})
	})
}

// Of a crowd that waits, those that are further must be served by the others, and none may
// wait for ever. A decision about a large crowd must stay cheap.
func TestCrowdIsThinnedOut(t *testing.T) {
	const size = 1000
	var bodies []Body
	for id := uint64(1); id <= size; id++ {
		bodies = append(bodies, waitingBody(id, true, int64(id)*64*kb))
	}
	is := is.New(t)
	before := Decide(start.Add(2*time.Second), bodies, Room{}, limits)
	is.Equal(len(before.Shed), 0)
	is.True(before.Next.Equal(start.Add(3 * time.Second)))
	after := Decide(start.Add(3*time.Second), bodies, Room{}, limits)
	is.Equal(len(after.Granted), 0)
	is.Equal(len(after.Shed), size-maxServed)
	for _, id := range after.Shed {
		is.True(id <= size-maxServed)
	}
}

func BenchmarkDecide(b *testing.B) {
	var bodies []Body
	for id := uint64(1); id <= 1000; id++ {
		bodies = append(bodies, waitingBody(id, true, int64(id)*64*kb))
	}
	for b.Loop() {
		Decide(start.Add(2*time.Second), bodies, Room{}, limits)
	}
}

// Bodies that stop just before their end are the most advanced of all. They kept the memory
// for as long as their callers liked.
func TestIdleBodyYields(t *testing.T) {
	idle, busy := readBody(1, true, 4000*kb, 0), readBody(2, true, 100*kb, 2*time.Second)
	waiting := waitingBody(3, true, 0)
	t.Run("not before it counts as idle", func(t *testing.T) {
		assertPlan(t, time.Second, Room{}, []Body{idle, waiting}, Plan{Next: start.Add(2 * time.Second)})
	})
	t.Run("before one that is read", func(t *testing.T) {
		assertPlan(t, 2*time.Second, Room{}, []Body{busy, idle, waiting}, Plan{Shed: []uint64{1}, Next: start.Add(4 * time.Second)})
	})
	t.Run("only as many as are needed", func(t *testing.T) {
		bodies := []Body{idle, readBody(4, true, 4000*kb, 0), waiting}
		assertPlan(t, 2*time.Second, Room{}, bodies, Plan{Shed: []uint64{1}})
	})
	t.Run("none while an earlier one leaves", func(t *testing.T) {
		room := Room{Leaving: 4000 * kb, LeavingLarge: 4000 * kb}
		assertPlan(t, 2*time.Second, room, []Body{idle, waiting}, Plan{})
	})
	t.Run("none while nobody waits", func(t *testing.T) {
		assertPlan(t, time.Hour, Room{}, []Body{idle, busy}, Plan{})
	})
}

// A caller within the limits on a link of 10 Mbit/s must not be taken for a slow one.
func TestMinimumRate(t *testing.T) {
	is := is.New(t)
	is.True(!limits.IsTooSlow(limits.Grace, 0))
	is.True(!limits.IsTooSlow(11*time.Second, 16*kb))
	is.True(limits.IsTooSlow(11*time.Second, 16*kb-1))
	for sent := int64(0); sent <= 4<<20; sent += 64 * kb {
		// Sixteen such callers share the link.
		elapsed := time.Duration(float64(16*sent*8) / 10e6 * float64(time.Second))
		is.True(!limits.IsTooSlow(elapsed, sent))
	}
}
