package detector

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const sound, poison, companion = 1, 2, 3

// A part that was in flight without a first event in three crashes must be
// quarantined, and a first event on any entry must withdraw all its strikes.
func TestPartIsQuarantinedAtThirdCrash(t *testing.T) {
	t.Run("three crashes quarantine", func(t *testing.T) {
		var d Detector
		loseUpstreams(&d, 0, MaxPartStrikes-1, poison)
		assertPartsVerdict(t, &d, time.Minute, Suspect, poison)
		loseUpstreams(&d, MaxPartStrikes-1, MaxPartStrikes, poison)
		assertPartsVerdict(t, &d, time.Second, Quarantined, poison)
		assertPartsVerdict(t, &d, time.Second, Quarantined, sound, poison)
		assertPartsVerdict(t, &d, time.Second, Unsuspected, sound)
	})
	t.Run("crashes that other entries observed count", func(t *testing.T) {
		var d, other Detector
		for i := range MaxPartStrikes {
			exchange(crashTime(i), loseUpstreams(&other, i, i+1, poison), &d)
		}
		assertPartsVerdict(t, &d, time.Second, Quarantined, poison)
	})
	t.Run("a first event in between withdraws the strikes on all entries", func(t *testing.T) {
		var d, other Detector
		exchange(crashTime(0), loseUpstreams(&d, 0, 2, sound, poison), &other)
		exchange(crashTime(1), begin(&other, crashTime(1), sound), &d)
		loseUpstreams(&d, 2, 3, sound, poison)
		assertPartsVerdict(t, &d, time.Second, Unsuspected, sound)
		assertPartsVerdict(t, &d, time.Second, Quarantined, poison)
	})
	t.Run("a part that was proven just before gets no strike", func(t *testing.T) {
		var d Detector
		for i := range MaxPartStrikes {
			begin(&d, crashTime(i).Add(-ProofFreshness/2), sound)
			loseUpstreams(&d, i, i+1, sound)
		}
		assertPartsVerdict(t, &d, time.Second, Unsuspected, sound)
	})
	t.Run("the quarantine ends", func(t *testing.T) {
		var d Detector
		loseUpstreams(&d, 0, MaxPartStrikes, poison)
		d.Step(crashTime(MaxPartStrikes), Event{Kind: EventTrial, Parts: []uint64{poison}})
		assertPartsVerdict(t, &d, QuarantineDuration-1, Quarantined, poison, sound)
		assertPartsVerdict(t, &d, QuarantineDuration, Unsuspected, poison)
	})
}

// Two parts in flight in the same crashes must be told apart by requests with one of
// them, without a refusal of the sound one for the rest of the quarantine.
func TestPartsWithSameStrikesAreToldApart(t *testing.T) {
	accuse := func() *Detector {
		var d Detector
		loseUpstreams(&d, 0, MaxPartStrikes, poison, companion)
		return &d
	}
	t.Run("only requests with both are quarantined", func(t *testing.T) {
		assertPartsVerdict(t, accuse(), time.Second, Quarantined, poison, companion)
		assertPartsVerdict(t, accuse(), time.Second, OnTrial, companion)
	})
	t.Run("an answer clears the sound part and accuses the other one", func(t *testing.T) {
		d := accuse()
		begin(d, crashTime(4), companion)
		assertPartsVerdict(t, d, time.Second, Unsuspected, companion)
		assertPartsVerdict(t, d, time.Second, Quarantined, poison)
	})
	t.Run("a crash accuses one part and explains the strikes of the other one", func(t *testing.T) {
		d := accuse()
		loseUpstreams(d, 4, 5, poison)
		assertPartsVerdict(t, d, time.Second, Suspect, companion)
		assertPartsVerdict(t, d, time.Second, Quarantined, poison)
	})
}

// Losses that are no crashes by a part must not add up to a quarantine.
func TestLossesWithOtherCausesDoNotCount(t *testing.T) {
	lose := func(d *Detector, now, sentAt time.Time, upstream int) {
		d.Step(now, Event{Kind: EventCrashed, Upstream: fmt.Sprint("desk-", upstream), Parts: []uint64{sound}, SentAt: sentAt})
	}
	t.Run("upstreams lost at one moment accuse no part", func(t *testing.T) {
		var d Detector
		for i := range 9 {
			lose(&d, crashTime(0).Add(time.Duration(i)*time.Millisecond), crashTime(0), i)
		}
		assertPartsVerdict(t, &d, time.Second, Suspect, sound)
	})
	t.Run("upstreams lost at two moments accuse a part that was never proven", func(t *testing.T) {
		var d Detector
		lose(&d, crashTime(0), crashTime(0), 0)
		lose(&d, crashTime(1), crashTime(0), 1)
		lose(&d, crashTime(1).Add(sameCause/2), crashTime(0), 2)
		assertPartsVerdict(t, &d, time.Second, Quarantined, sound)
	})
	t.Run("after a proof only requests sent after the last loss count", func(t *testing.T) {
		var d Detector
		begin(&d, crashTime(0).Add(-time.Minute), sound)
		for i := range 9 {
			lose(&d, crashTime(i), crashTime(0).Add(-time.Second), i)
		}
		assertPartsVerdict(t, &d, time.Second, Suspect, sound)
	})
	t.Run("many upstreams lost at one moment do not hide later crashes", func(t *testing.T) {
		var d Detector
		begin(&d, crashTime(0).Add(-time.Minute), sound)
		for i := range 2 * maxStrikesPerPart {
			lose(&d, crashTime(0), crashTime(0).Add(-time.Second), 100+i)
		}
		loseUpstreams(&d, 1, MaxPartStrikes, sound)
		assertPartsVerdict(t, &d, time.Second, Quarantined, sound)
	})
	t.Run("upstreams that go on withdraw their strikes on all entries", func(t *testing.T) {
		var d, other Detector
		exchange(crashTime(0), loseUpstreams(&d, 0, MaxPartStrikes, sound), &other)
		for i := range MaxPartStrikes {
			progress := Event{Kind: EventProgress, Upstream: fmt.Sprint("desk-", i)}
			is.New(t).Equal(len(d.Step(crashTime(i), progress)), 0)
			exchange(crashTime(i), d.Step(crashTime(i).Add(bufferedProgress), progress), &other)
		}
		assertPartsVerdict(t, &d, time.Second, Unsuspected, sound)
		assertPartsVerdict(t, &other, time.Second, Unsuspected, sound)
	})
	t.Run("an upstream that comes back keeps its strike", func(t *testing.T) {
		var d Detector
		loseUpstreams(&d, 0, MaxPartStrikes, poison)
		d.Step(crashTime(MaxPartStrikes).Add(minRestart), Event{Kind: EventProgress, Upstream: "desk-0"})
		assertPartsVerdict(t, &d, 5*time.Second, Quarantined, poison)
	})
}

// A part that was accused by chance must get one more request before the quarantine
// ends, on one entry only.
func TestAccusedPartIsRetriedOnce(t *testing.T) {
	var d, other Detector
	exchange(crashTime(0), loseUpstreams(&d, 0, MaxPartStrikes, poison), &other)
	assertPartsVerdict(t, &d, RetrialDelay-time.Second, Quarantined, poison)
	assertPartsVerdict(t, &d, RetrialDelay+time.Second, OnTrial, poison)
	assertPartsVerdict(t, &other, RetrialDelay+time.Second, Quarantined, poison)
	d.Step(crashTime(40), Event{Kind: EventTrial, Parts: []uint64{poison}})
	assertPartsVerdict(t, &d, RetrialDelay+time.Second, Quarantined, poison)
}

// An entry that has just started must learn the quarantine, and the repeats must not
// extend it.
func TestRepeatedStrikesTeachQuarantine(t *testing.T) {
	var d, started Detector
	loseUpstreams(&d, 0, MaxPartStrikes, poison)
	loseUpstreams(&d, 0, 1, sound)
	deliver(crashTime(60), d.RepeatedStrikes(crashTime(60)), &started)
	assertPartsVerdict(t, &started, time.Minute, Quarantined, poison)
	assertPartsVerdict(t, &started, time.Minute, Unsuspected, sound)
	is.New(t).Equal(len(d.RepeatedStrikes(crashTime(60).Add(RepeatInterval-1))), 0)
	end := crashTime(MaxPartStrikes - 1).Add(QuarantineDuration)
	deliver(end, started.RepeatedStrikes(end.Add(-1)), &d)
	assertPartsVerdict(t, &d, QuarantineDuration+1, Unsuspected, poison)
	assertPartsVerdict(t, &started, QuarantineDuration+1, Unsuspected, poison)
}

// The memory for parts must stay bounded when callers send many parts and many
// upstreams fail, and a quarantine must not be evicted by single strikes.
func TestPartsAreBounded(t *testing.T) {
	var d Detector
	loseUpstreams(&d, 0, MaxPartStrikes, 500_000)
	for i := range uint64(2 * maxProofs) {
		begin(&d, crashTime(0), 1_000_000+i)
	}
	for i := range 2 * MaxStruckParts {
		loseUpstreams(&d, i, i+1, uint64(i+1))
	}
	is := is.New(t)
	is.True(len(d.parts) <= MaxStruckParts)
	is.Equal(len(d.parts[500_000].strikes), MaxPartStrikes)
	is.True(len(d.proofs.young)+len(d.proofs.previous) <= maxProofs)
	d.RepeatedStrikes(crashTime(2*MaxStruckParts + 60))
	is.Equal(len(d.checks), 0)
}

// crashTime returns the time of crash i. Crashes are 400 ms apart.
func crashTime(i int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(i) * 400 * time.Millisecond)
}

// loseUpstreams loses the upstreams from the first to before the last, each with a
// request in flight that holds the parts and has no first event.
func loseUpstreams(d *Detector, first, last int, parts ...uint64) []Strike {
	var out []Strike
	for i := first; i < last; i++ {
		now := crashTime(i)
		out = append(out, d.Step(now, Event{Kind: EventCrashed, Upstream: fmt.Sprint("desk-", i), Parts: parts, SentAt: now.Add(-100 * time.Millisecond)})...)
	}
	return out
}

func begin(d *Detector, now time.Time, parts ...uint64) []Strike {
	return d.Step(now, Event{Kind: EventBegun, Parts: parts})
}

// exchange delivers the strikes of several crashes, each at its own time.
func exchange(now time.Time, strikes []Strike, to *Detector) {
	for i, s := range strikes {
		deliver(now.Add(time.Duration(i)*2*sameCause), []Strike{s}, to)
	}
}

func deliver(now time.Time, strikes []Strike, to *Detector) {
	for _, s := range strikes {
		to.Step(now, Event{Kind: EventStrikeReceived, Strike: s})
	}
}

// assertPartsVerdict checks the verdict some time after the last of MaxPartStrikes
// crashes.
func assertPartsVerdict(t *testing.T, d *Detector, after time.Duration, want Verdict, parts ...uint64) {
	t.Helper()
	is.New(t).Equal(d.PartsVerdict(crashTime(MaxPartStrikes-1).Add(after), parts), want)
}
