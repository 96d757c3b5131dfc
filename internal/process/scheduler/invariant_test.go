package scheduler

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes the result of CI repeatable.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// withoutPreemption is Tiered without preemption.
type withoutPreemption struct{ Tiered }

func (withoutPreemption) Rules() Rules { return Rules{Fair: true, Floors: true, Shed: true} }

// withoutFloors is Tiered without floors.
type withoutFloors struct{ Tiered }

func (withoutFloors) Rules() Rules { return Rules{Fair: true, Preempt: true, Shed: true} }

// newSetup returns a setup with classes of four tiers, with and without targets.
// The runs of class batch are not preemptible if batchNotPreemptible is true.
func newSetup(c Capacity, batchNotPreemptible bool) setup {
	in := func(d time.Duration) time.Time { return time.Time{}.Add(d) }
	// Each of the five classes needs a slot and at most 300 prompt tokens, 3 tokens
	// of a resumed answer and 200 further tokens.
	fitsAll := c.Slots >= 5 && (c.KVTokens == 0 || c.KVTokens >= 5*(303+200))
	return setup{capacity: c, roomForAll: fitsAll, classes: []Run{
		{Class: "alert", Tier: 1, FirstTokenBy: in(time.Second)},
		{Class: "chat", Tier: 3, FirstTokenBy: in(2 * time.Second)},
		{Class: "draft", Tier: 3},
		{Class: "summary", Tier: 5, AnswerBy: in(20 * time.Second)},
		{Class: "batch", Tier: 8, NotPreemptible: batchNotPreemptible},
	}}
}

// TestInvariants checks that P1, P2 and P4 hold for random bursts of runs and that the
// scheduler neither loses a run nor exceeds its slots. It also checks that the
// simulation detects a policy without preemption or floors, and that it reaches
// each kind of preemption, shed and return.
func TestInvariants(t *testing.T) {
	ample := newSetup(Capacity{Slots: 5, QueueLimit: 40}, false)
	tight := Capacity{Slots: 4, KVTokens: 600, QueueLimit: 8}
	t.Run("invariants hold with room for all classes", func(t *testing.T) { assertNoViolation[Tiered](t, ample) })
	t.Run("invariants hold with a KV cache for all classes", func(t *testing.T) {
		assertNoViolation[Tiered](t, newSetup(Capacity{Slots: 6, KVTokens: 2515, QueueLimit: 40}, false))
	})
	t.Run("invariants hold with too little capacity", func(t *testing.T) { assertNoViolation[Tiered](t, newSetup(tight, false)) })
	t.Run("invariants hold with runs that are not preemptible", func(t *testing.T) { assertNoViolation[Tiered](t, newSetup(tight, true)) })
	t.Run("P1 is violated without preemption", func(t *testing.T) { assertOccurs[withoutPreemption](t, newSetup(tight, false), "P1") })
	t.Run("P2 is violated without floors", func(t *testing.T) { assertOccurs[withoutFloors](t, ample, "P2") })
	for _, a := range []Action{
		{Kind: ActionPreempt, Reason: ReasonTier}, {Kind: ActionPreempt, Reason: ReasonCacheFull},
		{Kind: ActionShed, Reason: ReasonQueueFull}, {Kind: ActionShed, Reason: ReasonDeadline},
		{Kind: ActionReturn, Reason: ReasonQueueFull},
	} {
		name := fmt.Sprint(a.Kind, a.Reason)
		t.Run("action occurs: "+name, func(t *testing.T) { assertOccurs[Tiered](t, newSetup(tight, false), name) })
	}
}
