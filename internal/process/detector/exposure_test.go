package detector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Sound content that lost two upstreams at one moment was quarantined like content that
// had crashed them. The share of harmless content with two losses by chance that is
// quarantined must stay under maxFalsePositive.
func TestFalsePositiveRateIsBounded(t *testing.T) {
	for _, c := range []struct {
		upstreams, lost, attempts int
	}{
		{6, 1, 2}, {6, 3, 2}, {9, 4, 2}, {48, 2, 2}, {48, 12, 2}, {48, 29, 2}, {48, 29, 6}, {900, 300, 2},
	} {
		t.Run(fmt.Sprintf("%d of %d upstreams are lost, %d attempts", c.lost, c.upstreams, c.attempts), func(t *testing.T) {
			const contents = 4000
			n := 0
			r := rand.New(rand.NewPCG(1, uint64(c.upstreams)))
			for range contents {
				if isQuarantinedByChance(r, c.upstreams, c.lost, c.attempts) {
					n++
				}
			}
			// Three standard deviations of the count of a binomial distribution are 19.
			is.New(t).True(n <= maxFalsePositive*contents+19)
		})
	}
}

// Content that loses three attempts by chance is quarantined, and must be tried again soon.
func TestImprobableQuarantineIsTriedLater(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		others int
		want   Verdict
	}{{0, Quarantined}, {24, OnTrial}} {
		t.Run(fmt.Sprint(c.others, " other losses"), func(t *testing.T) {
			var d Detector
			for i := range c.others {
				d.Step(start, Event{Kind: EventCrashed, Upstream: fmt.Sprint("other-", i), Upstreams: 48})
			}
			for i := range MaxBegunStrikes {
				crash(&d, start, fmt.Sprint("desk-", i), "sound")
			}
			assertVerdict(t, &d, start.Add(ShortRetrialDelay-1), "sound", Quarantined)
			assertVerdict(t, &d, start.Add(ShortRetrialDelay), "sound", c.want)
			assertVerdict(t, &d, start.Add(RetrialDelay), "sound", OnTrial)
		})
	}
}

// isQuarantinedByChance loses upstreams within 10 ms in random order, each with the
// harmless contents whose attempts were sent there at random, and reports whether two
// strikes quarantine a content.
func isQuarantinedByChance(r *rand.Rand, upstreams, lost, attempts int) bool {
	var d Detector
	start := time.Unix(1000, 0)
	held := map[int]bool{}
	for range attempts {
		held[r.IntN(upstreams)] = true
	}
	strikes := 0
	for i, u := range r.Perm(upstreams)[:lost] {
		e := Event{Kind: EventCrashed, Upstream: fmt.Sprint("desk-", u), Upstreams: upstreams, Attempts: attempts}
		if held[u] {
			e.Fingerprints = []string{"sound"}
			strikes++
		}
		d.Step(start.Add(time.Duration(i)*10*time.Millisecond/time.Duration(lost)), e)
	}
	return strikes == MaxStrikes && d.Verdict(start.Add(time.Second), "sound") == Quarantined
}

// Content that crashes each upstream must be quarantined at the second crash if no more
// than chance gives is lost besides, and at the third one in any case.
func TestPoisonContentIsFoundBesideLosses(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		others int
		second Verdict
	}{
		{0, Quarantined}, {4, Quarantined}, {5, Suspect}, {24, Suspect},
	} {
		t.Run(fmt.Sprint(c.others, " other losses"), func(t *testing.T) {
			var d Detector
			for i := range c.others {
				d.Step(start, Event{Kind: EventCrashed, Upstream: fmt.Sprint("other-", i), Upstreams: 48})
			}
			for i, want := range []Verdict{Suspect, c.second, Quarantined} {
				e := Event{Kind: EventCrashed, Upstream: fmt.Sprint("desk-", i), Fingerprints: []string{"poison"}, Attempts: 1, Upstreams: 48}
				d.Step(start.Add(time.Duration(i)*time.Second), e)
				assertVerdict(t, &d, start.Add(2*time.Second), "poison", want)
			}
		})
	}
}
