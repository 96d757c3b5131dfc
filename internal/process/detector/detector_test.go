package detector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Content that crashes each upstream must be refused after the second one,
// whichever entry saw which crash.
func TestQuarantine(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("two crashes seen by one entry", func(t *testing.T) {
		var d Detector
		crash(&d, start, "desk-1", "poison", "a", "b")
		assertVerdict(t, &d, start, "poison", Suspect)
		crash(&d, start, "desk-2", "poison", "c")
		assertVerdict(t, &d, start, "poison", Quarantined)
		assertVerdict(t, &d, start, "c", Suspect)
	})
	t.Run("one crash each seen by two entries", func(t *testing.T) {
		var d, other Detector
		crash(&d, start, "desk-1", "poison")
		for _, s := range crash(&other, start, "desk-2", "poison") {
			d.Step(start, Event{Kind: EventLearned, Strike: s})
		}
		assertVerdict(t, &d, start, "poison", Quarantined)
	})
	t.Run("the same crash reported twice", func(t *testing.T) {
		var d Detector
		crash(&d, start, "desk-1", "a")
		crash(&d, start, "desk-1", "a")
		assertVerdict(t, &d, start, "a", Suspect)
	})
	t.Run("ends in time", func(t *testing.T) {
		var d Detector
		crash(&d, start, "desk-1", "poison")
		crash(&d, start, "desk-2", "poison")
		assertVerdict(t, &d, start.Add(Quarantine-1), "poison", Quarantined)
		assertVerdict(t, &d, start.Add(Quarantine), "poison", Unsuspected)
	})
}

// Content that was beside the guilty one must not stay blamed once it has been
// answered.
func TestInnocent(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("answered here", func(t *testing.T) {
		var d, other Detector
		for _, s := range crash(&d, start, "desk-1", "poison", "innocent") {
			other.Step(start, Event{Kind: EventLearned, Strike: s})
		}
		for _, s := range d.Step(start, Event{Kind: EventAnswered, Fingerprints: []string{"innocent"}}) {
			other.Step(start, Event{Kind: EventLearned, Strike: s})
		}
		assertVerdict(t, &d, start, "innocent", Unsuspected)
		assertVerdict(t, &other, start, "innocent", Unsuspected)
		assertVerdict(t, &other, start, "poison", Suspect)
	})
	t.Run("a late answer does not lift a quarantine", func(t *testing.T) {
		var d Detector
		crash(&d, start, "desk-1", "poison")
		crash(&d, start, "desk-2", "poison")
		d.Step(start, Event{Kind: EventLearned, Strike: Strike{Fingerprint: "poison", Cleared: true}})
		assertVerdict(t, &d, start, "poison", Quarantined)
	})
}

// Strikes must not grow without bound when many upstreams fail.
func TestCapacity(t *testing.T) {
	var d Detector
	start := time.Unix(1000, 0)
	for i := range 2 * Capacity {
		crash(&d, start.Add(time.Duration(i)*time.Millisecond), "desk-1", fmt.Sprint(i))
	}
	is.New(t).True(len(d.contents) <= Capacity)
	assertVerdict(t, &d, start, fmt.Sprint(2*Capacity-1), Suspect)
}

func crash(d *Detector, now time.Time, upstream string, fingerprints ...string) []Strike {
	return d.Step(now, Event{Kind: EventCrashed, Upstream: upstream, Fingerprints: fingerprints})
}

func assertVerdict(t *testing.T, d *Detector, now time.Time, fingerprint string, want Verdict) {
	t.Helper()
	is.New(t).Equal(d.Verdict(now, fingerprint), want)
}

// Strikes and their withdrawals that overtake each other between entries must
// die out. Each used to bring the other back: strikes of content that was
// struck and answered went round for ever and took all processor time.
func TestSpreadEnds(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			assertSpreadEnds(t, rand.New(rand.NewPCG(seed, 1)))
		})
	}
}

// assertSpreadEnds lets five entries pass strikes on to each other in random
// order until none is left.
func assertSpreadEnds(t *testing.T, r *rand.Rand) {
	t.Helper()
	const entries = 5
	type message struct {
		to     int
		strike Strike
	}
	start := time.Unix(1000, 0)
	var detectors [entries]Detector
	var queue []message
	spread := func(from int, strikes []Strike) {
		for to := range entries {
			for _, s := range strikes {
				if to != from {
					queue = append(queue, message{to, s})
				}
			}
		}
	}
	for i := range 10 {
		content := fmt.Sprint("content-", i%2)
		spread(i%entries, crash(&detectors[i%entries], start, fmt.Sprint("desk-", i%2), content))
		spread(i%entries, detectors[i%entries].Step(start, Event{Kind: EventAnswered, Fingerprints: []string{content}}))
	}
	delivered := 0
	for ; len(queue) > 0 && delivered < 10_000; delivered++ {
		i := r.IntN(len(queue))
		m := queue[i]
		queue[i] = queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		spread(m.to, detectors[m.to].Step(start, Event{Kind: EventLearned, Strike: m.strike}))
	}
	is.New(t).Equal(len(queue), 0)
}
