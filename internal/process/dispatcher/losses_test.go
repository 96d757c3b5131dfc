package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendChats sends 80 requests a second at random entries, no two alike. A caller whose
// request failed after two attempts sends it again 200 ms later, at most four times. It returns the number
// of requests that were never answered.
func (f *fleet) sendChats(until time.Duration) *int {
	unanswered := 0
	f.contentPath = "/chat/"
	for at := time.Duration(0); at < until; at += 12500 * time.Microsecond {
		unanswered++
		digest, left := fmt.Sprint("chat-", at), 4
		var call func()
		call = func() {
			f.sendContent(f.random.IntN(entryCount), digest, false, func(a Action) {
				if a.Kind == ActionFinish {
					unanswered--
				} else if left--; left >= 0 {
					f.at(f.elapsed+200*ms, call)
				}
			})
		}
		f.at(at, call)
	}
	return &unanswered
}

// loseAtOneMoment loses upstreams within 15 ms at each of five moments while chats run. It
// returns the number of chats that were never answered.
func (f *fleet) loseAtOneMoment(upstreams int) *int {
	f.maxDelay, f.downtime = 20*ms, 2*time.Second
	unanswered := f.sendChats(22 * time.Second)
	for moment := range 5 {
		for i, u := range f.random.Perm(upstreamCount)[:upstreams] {
			f.at(time.Duration(2+4*moment)*time.Second+time.Duration(i)*3*ms, func() { f.crash(f.upstreams[u]) })
		}
	}
	f.run(40 * time.Second)
	return unanswered
}

// Two losses look like crashes to a chat that was sent just before the first one and
// again before the second. The share of lost attempts that leads to a refusal must stay
// under the false-positive rate of docs/design/detector.md.
func TestFewSoundChatsAreRefusedAfterTwoLosses(t *testing.T) {
	const falsePositiveRate = 0.01
	lost, unanswered := 0, 0
	for seed := range uint64(40) {
		f := newFleet(seed)
		unanswered += *f.loseAtOneMoment(2)
		lost += f.lost
	}
	is := is.New(t)
	is.True(lost > 2000)
	is.True(float64(unanswered) <= falsePositiveRate*float64(lost))
}

// A chat was sent again within 1 ms of the loss of its upstream and lost the second one
// 7 ms later, when several upstreams ended at one moment. It was quarantined and refused
// when its caller sent it again.
func TestSoundChatsAreServedAfterLossesAtOneMoment(t *testing.T) {
	for _, lost := range []int{3, 4, 5} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprint(lost, " upstreams seed ", seed), func(t *testing.T) {
				f := newFleet(seed)
				unanswered := f.loseAtOneMoment(lost)
				is := is.New(t)
				is.Equal(f.refusals[codeQuarantined], 0)
				is.Equal(*unanswered, 0)
			})
		}
	}
}

// A poison part in requests that hold popular parts too must be found beside content that
// is in flight everywhere, which must not be refused for the crashes by the part.
func TestPoisonPartIsFoundBesidePopularContent(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(seed)
			f.maxDelay = 50 * ms
			f.sendTraffic(25*time.Second, 0.05, 40)
			result := f.callers(40, "popular", 25*time.Second)
			f.kill(3*time.Second, 10, 1500*ms, 1)
			f.at(9*time.Second, func() { f.restartEntry(1) })
			f.run(40 * time.Second)
			assertPoisonPartStopped(t, f)
			assertSoundRequestsBegin(t, f)
			is := is.New(t)
			is.Equal(result.quarantined, 0)
			is.True(result.answered > 200)
		})
	}
}
