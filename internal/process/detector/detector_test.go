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
		assertVerdict(t, &d, start.Add(RetrialDelay-1), "poison", Quarantined)
		end := crashOnTrial(&d, start.Add(RetrialDelay)).Add(QuarantineDuration)
		assertVerdict(t, &d, end.Add(-1), "poison", Quarantined)
		assertVerdict(t, &d, end, "poison", Unsuspected)
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
	t.Run("the withdrawal for an answer from before the strikes does not lift a quarantine", func(t *testing.T) {
		var d Detector
		crash(&d, start, "desk-1", "poison")
		crash(&d, start, "desk-2", "poison")
		late := Strike{Fingerprint: "poison", Cleared: true, Age: AnswerFreshness + 1}
		d.Step(start, Event{Kind: EventStrikeReceived, Strike: late})
		assertVerdict(t, &d, start, "poison", Quarantined)
	})
	t.Run("an answer after the strikes lifts a quarantine at all entries", func(t *testing.T) {
		var d, other Detector
		for i := range MaxBegunStrikes {
			teach(&other, start, crash(&d, start, fmt.Sprint("desk-", i), "sound"))
		}
		assertVerdict(t, &other, start, "sound", Quarantined)
		teach(&other, start, d.Step(start.Add(time.Second), Event{Kind: EventAnswered, Fingerprints: []string{"sound"}}))
		assertVerdict(t, &d, start, "sound", Unsuspected)
		assertVerdict(t, &other, start, "sound", Unsuspected)
	})
	t.Run("a withdrawal that arrives before the strike withdraws it", func(t *testing.T) {
		var d Detector
		d.Step(start, Event{Kind: EventStrikeReceived, Strike: Strike{Fingerprint: "sound", Cleared: true}})
		d.Step(start, Event{Kind: EventStrikeReceived, Strike: Strike{Fingerprint: "sound", Upstream: "desk-1", Age: time.Second}})
		assertVerdict(t, &d, start, "sound", Unsuspected)
	})
	t.Run("answers to content without strikes cause no messages", func(t *testing.T) {
		var d Detector
		for i := range 100 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			is.New(t).Equal(len(d.Step(now, Event{Kind: EventAnswered, Fingerprints: []string{"sound"}})), 0)
			is.New(t).Equal(len(crash(&d, now, fmt.Sprint("desk-", i), "sound")), 0)
		}
		assertVerdict(t, &d, start, "sound", Unsuspected)
	})
}

// A quarantine by chance refused sound content for its whole duration. One entry must
// try it again, also if several saw the last loss, and a crash must confirm it.
func TestQuarantinedContentIsTriedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	first, second := Detector{ID: 1}, Detector{ID: 2}
	// As many strikes as are recorded must not hide the one of the trial.
	for i := range maxContentStrikes {
		upstream := fmt.Sprint("desk-", i)
		a, b := crash(&first, start, upstream, "poison"), crash(&second, start, upstream, "poison")
		teach(&second, start, a)
		teach(&first, start, b)
	}
	trial := start.Add(RetrialDelay)
	assertVerdict(t, &first, trial.Add(-1), "poison", Quarantined)
	assertVerdict(t, &first, trial, "poison", OnTrial)
	assertVerdict(t, &second, trial, "poison", Quarantined)
	first.Step(trial, Event{Kind: EventTrial, Fingerprints: []string{"poison"}})
	assertVerdict(t, &first, trial, "poison", Quarantined)
	teach(&second, trial, crash(&first, trial, "desk-9", "poison"))
	for _, d := range []*Detector{&first, &second} {
		assertVerdict(t, d, trial.Add(QuarantineDuration-1), "poison", Quarantined)
	}
}

// crashOnTrial lets the content poison crash an upstream on trial. It returns now.
func crashOnTrial(d *Detector, now time.Time) time.Time {
	d.Step(now, Event{Kind: EventTrial, Fingerprints: []string{"poison"}})
	crash(d, now, "desk-trial", "poison")
	return now
}

func teach(d *Detector, now time.Time, strikes []Strike) {
	for _, s := range strikes {
		d.Step(now, Event{Kind: EventStrikeReceived, Strike: s})
	}
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
	mesh := r.IntN(2) == 0
	for i := range detectors {
		detectors[i] = Detector{ID: uint64(i), Mesh: mesh}
	}
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
