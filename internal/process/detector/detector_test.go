package detector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Content that crashes each upstream must be quarantined after the second crash,
// whichever entry observed which crash. Sound streams that lost two upstreams in their
// midst were refused as well (issue 24).
func TestSecondCrashQuarantines(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("two crashes observed by one entry quarantine", func(t *testing.T) {
		var d Detector
		crash(&d, start, "desk-1", "poison", "a", "b")
		assertVerdict(t, &d, start, "poison", Suspect)
		crash(&d, start, "desk-2", "poison", "c")
		assertVerdict(t, &d, start, "poison", Quarantined)
		assertVerdict(t, &d, start, "c", Suspect)
	})
	t.Run("one crash each observed by two entries quarantines", func(t *testing.T) {
		var d, other Detector
		crash(&d, start, "desk-1", "poison")
		for _, s := range crash(&other, start, "desk-2", "poison") {
			d.Step(start, Event{Kind: EventStrikeReceived, Strike: s})
		}
		assertVerdict(t, &d, start, "poison", Quarantined)
	})
	t.Run("the same crash reported twice counts once", func(t *testing.T) {
		var d Detector
		crash(&d, start, "desk-1", "a")
		crash(&d, start, "desk-1", "a")
		assertVerdict(t, &d, start, "a", Suspect)
	})
	t.Run("two crashes after the answer had begun do not quarantine, a third does", func(t *testing.T) {
		var d, other Detector
		for i, want := range []Verdict{Suspect, Suspect, Quarantined} {
			begun := Event{Kind: EventCrashed, Upstream: fmt.Sprint("desk-", i), Fingerprints: []string{"a"}, Begun: true}
			for _, s := range d.Step(start, begun) {
				other.Step(start, Event{Kind: EventStrikeReceived, Strike: s})
			}
			assertVerdict(t, &d, start, "a", want)
			assertVerdict(t, &other, start, "a", want)
		}
	})
	t.Run("quarantine ends after QuarantineDuration", func(t *testing.T) {
		var d Detector
		crash(&d, start, "desk-1", "poison")
		crash(&d, start, "desk-2", "poison")
		assertVerdict(t, &d, start.Add(QuarantineDuration-1), "poison", Quarantined)
		assertVerdict(t, &d, start.Add(QuarantineDuration), "poison", Unsuspected)
	})
}

// Harmless content that was in flight in a crash with poison content must not stay
// suspect once it has been answered.
func TestAnswerWithdrawsStrikes(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("an answer withdraws the strike at all entries", func(t *testing.T) {
		var d, other Detector
		for _, s := range crash(&d, start, "desk-1", "poison", "harmless") {
			other.Step(start, Event{Kind: EventStrikeReceived, Strike: s})
		}
		for _, s := range d.Step(start, Event{Kind: EventAnswered, Fingerprints: []string{"harmless"}}) {
			other.Step(start, Event{Kind: EventStrikeReceived, Strike: s})
		}
		assertVerdict(t, &d, start, "harmless", Unsuspected)
		assertVerdict(t, &other, start, "harmless", Unsuspected)
		assertVerdict(t, &other, start, "poison", Suspect)
	})
	t.Run("a late answer does not lift a quarantine", func(t *testing.T) {
		var d Detector
		crash(&d, start, "desk-1", "poison")
		crash(&d, start, "desk-2", "poison")
		d.Step(start, Event{Kind: EventStrikeReceived, Strike: Strike{Fingerprint: "poison", Cleared: true}})
		assertVerdict(t, &d, start, "poison", Quarantined)
	})
}

// The number of histories must stay bounded when many upstreams fail.
func TestFingerprintsAreBounded(t *testing.T) {
	var d Detector
	start := time.Unix(1000, 0)
	for i := range 2 * MaxFingerprints {
		crash(&d, start.Add(time.Duration(i)*time.Millisecond), "desk-1", fmt.Sprint(i))
	}
	is.New(t).True(len(d.histories) <= MaxFingerprints)
	assertVerdict(t, &d, start, fmt.Sprint(2*MaxFingerprints-1), Suspect)
}

func crash(d *Detector, now time.Time, upstream string, fingerprints ...string) []Strike {
	return d.Step(now, Event{Kind: EventCrashed, Upstream: upstream, Fingerprints: fingerprints})
}

func assertVerdict(t *testing.T, d *Detector, now time.Time, fingerprint string, want Verdict) {
	t.Helper()
	is.New(t).Equal(d.Verdict(now, fingerprint), want)
}

// Entries must stop forwarding strikes and withdrawals that arrive out of order.
// Strikes and withdrawals used to undo each other: content that got a strike and
// was answered kept entries forwarding both for ever, which took all CPU time.
func TestStrikeExchangeTerminates(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			assertStrikeExchangeTerminates(t, rand.New(rand.NewPCG(seed, 1)))
		})
	}
}

// assertStrikeExchangeTerminates lets five entries forward strikes to each other
// in random order and checks that at most 10,000 deliveries empty the queue.
func assertStrikeExchangeTerminates(t *testing.T, r *rand.Rand) {
	t.Helper()
	const entries = 5
	type message struct {
		to     int
		strike Strike
	}
	start := time.Unix(1000, 0)
	var detectors [entries]Detector
	var queue []message
	broadcast := func(from int, strikes []Strike) {
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
		broadcast(i%entries, crash(&detectors[i%entries], start, fmt.Sprint("desk-", i%2), content))
		broadcast(i%entries, detectors[i%entries].Step(start, Event{Kind: EventAnswered, Fingerprints: []string{content}}))
	}
	delivered := 0
	for ; len(queue) > 0 && delivered < 10_000; delivered++ {
		i := r.IntN(len(queue))
		m := queue[i]
		queue[i] = queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		broadcast(m.to, detectors[m.to].Step(start, Event{Kind: EventStrikeReceived, Strike: m.strike}))
	}
	is.New(t).Equal(len(queue), 0)
}
