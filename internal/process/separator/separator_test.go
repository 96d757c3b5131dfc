package separator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

func start() time.Time { return time.Unix(1000, 0) }

// traffic is a kind of request with its behaviour on an engine.
type traffic struct {
	name          string
	perSecond     int
	promptTokens  int
	gapTarget     time.Duration
	latencyTarget time.Duration
	run           time.Duration
	priority      int
}

// engine is the speed of an engine and the time that an answer takes besides.
type engine struct {
	tokensPerMs float64
	overhead    time.Duration
}

// play sends the traffic of some seconds to a separator, with the answers of idle
// engines.
func play(s *Separator, from time.Time, seconds int, e engine, f Fleet, all ...traffic) time.Time {
	now := from
	for i := range seconds * 100 {
		now = from.Add(time.Duration(i+1) * 10 * ms)
		for _, t := range all {
			if i*t.perSecond/100 == (i+1)*t.perSecond/100 {
				continue
			}
			// The lengths of prompts alternate around their mean.
			tokens := t.promptTokens * (3 + i%2*2) / 4
			s.Step(now, Event{Kind: EventArrived, Request: t.name, PromptTokens: tokens, GapTarget: t.gapTarget, LatencyTarget: t.latencyTarget, Priority: t.priority})
			prefill := e.overhead + time.Duration(float64(tokens)/e.tokensPerMs*float64(ms))
			s.Step(now, Event{Kind: EventPrefilled, Request: t.name, PromptTokens: tokens, Elapsed: prefill})
			s.Step(now, Event{Kind: EventProgress, Request: t.name, Events: 10, Elapsed: 250 * ms})
			s.Step(now, Event{Kind: EventEnded, Request: t.name, Elapsed: t.run})
			s.Decide(now, f)
		}
	}
	return now
}

// The run time of calls, which have no prompt, was not known. They must not change the
// decision on the kinds that have one.
func TestMeanRunIsLearnedFromCalls(t *testing.T) {
	var s Separator
	is := is.New(t)
	is.Equal(s.MeanRun("hold"), time.Duration(0))
	s.Step(start(), Event{Kind: EventEnded, Request: "hold", Elapsed: 100 * ms})
	is.Equal(s.MeanRun("hold"), 100*ms)
	s.Step(start(), Event{Kind: EventEnded, Request: "hold", Elapsed: 300 * ms})
	is.Equal(s.MeanRun("hold"), 110*ms)
	is.True(!s.IsSeparated("hold"))
	is.Equal(len(s.profiles(start(), Fleet{Entries: 1})), 0)
}

func chat() traffic {
	return traffic{name: "chat", perSecond: 20, promptTokens: 800, gapTarget: 150 * ms, latencyTarget: 300 * ms, run: 2500 * ms}
}

func letter() traffic {
	return traffic{name: "letter", perSecond: 20, promptTokens: 9000, gapTarget: 250 * ms, latencyTarget: 600 * ms, run: 500 * ms, priority: 1}
}

func assertSeparated(t *testing.T, s *Separator, want ...string) {
	t.Helper()
	is.New(t).Equal(s.Separated(), want)
	is.New(t).Equal(s.Share() > 0, len(want) > 0)
}

// A fixed ratio of gap targets decided which requests got engines of their own, so
// that chats with a target of 150 ms shared engines with prompts of 9,000 tokens of
// requests with 250 ms.
func TestPrefillTimeDecidesSeparation(t *testing.T) {
	slow, fast := engine{50, 20 * ms}, engine{2000, 20 * ms}
	fleet := Fleet{Engines: 9, Slots: 64, Entries: 1}
	for _, c := range []struct {
		name   string
		engine engine
		fleet  Fleet
		kinds  []traffic
		want   []string
	}{
		{"gap targets close together, prompts far apart", slow, fleet, []traffic{chat(), letter()}, []string{"letter"}},
		{"equal gap targets", slow, fleet, []traffic{chat(), change(letter(), func(k *traffic) { k.gapTarget = 150 * ms })}, []string{"letter"}},
		{"long prompts with the shortest gap target", slow, fleet, []traffic{chat(), change(letter(), func(k *traffic) { k.gapTarget = 100 * ms })}, []string{"letter"}},
		{"long prompts without gap target", slow, fleet, []traffic{chat(), change(letter(), func(k *traffic) { k.gapTarget = 0 })}, []string{"letter"}},
		{"engines that read a prompt in a fraction of the target", fast, fleet, []traffic{chat(), letter()}, nil},
		{"gap targets far apart and short prompts", slow, fleet, []traffic{chat(), change(letter(), func(k *traffic) { k.gapTarget, k.promptTokens = 2*time.Second, 500 })}, nil},
		{"streams without gap targets", slow, fleet, []traffic{change(chat(), func(k *traffic) { k.gapTarget, k.latencyTarget = 0, 0 }), change(letter(), func(k *traffic) { k.gapTarget, k.latencyTarget = 0, 0 })}, nil},
		{"single kind", slow, fleet, []traffic{letter()}, nil},
		{"single engine", slow, Fleet{Engines: 1, Slots: 64, Entries: 1}, []traffic{chat(), letter()}, nil},
		{"no engines", slow, Fleet{}, []traffic{chat(), letter()}, nil},
		{"two kinds with long prompts", slow, fleet, []traffic{chat(), letter(), change(letter(), func(k *traffic) { k.name, k.promptTokens = "report", 12_000 })}, []string{"letter", "report"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Separator
			play(&s, start(), 10, c.engine, c.fleet, c.kinds...)
			assertSeparated(t, &s, c.want...)
		})
	}
}

func change(t traffic, f func(*traffic)) traffic {
	f(&t)
	return t
}

// In a burst, requests of the middle priority were refused while less urgent ones with
// longer prompts began, since both were separated.
func TestOnlyLeastUrgentSeparatedKindIsDeferrable(t *testing.T) {
	var s Separator
	report := change(letter(), func(k *traffic) { k.name, k.promptTokens, k.priority = "report", 12_000, 2 })
	now := play(&s, start(), 10, engine{50, 20 * ms}, Fleet{Engines: 9, Slots: 64, Entries: 1}, chat(), letter(), report)
	is := is.New(t)
	is.True(s.IsSeparated("letter"))
	is.True(!s.IsLeastUrgent("letter"))
	is.True(s.IsLeastUrgent("report"))
	is.True(!s.IsLeastUrgent("chat"))
	// Without traffic of the less urgent kind, the other one is deferrable.
	play(&s, now, 150, engine{50, 20 * ms}, Fleet{Engines: 9, Slots: 64, Entries: 1}, chat(), letter())
	is.True(s.IsLeastUrgent("letter"))
}

// With long prompts for more engines than there are, chats got a single engine, whose
// full batch made each of their gaps too long. With more than twice the engines that
// they need, long prompts spilled over to them.
func TestBurstOfLongPromptsLeavesEnginesToOthers(t *testing.T) {
	var s Separator
	fleet := Fleet{Engines: 9, Slots: 64, Entries: 1}
	burst := change(letter(), func(k *traffic) { k.perSecond = 90 })
	play(&s, start(), 20, engine{50, 20 * ms}, fleet, chat(), burst)
	// A chat needs 16 ms for its prompt and one of 64 slots for 2.5 s.
	demand := 20 * (0.016 + 2.5/64)
	left := (1 - s.Share()) * float64(fleet.Engines)
	is.New(t).True(left >= 2*demand)
	is.New(t).True(left <= 2.05*demand)
	is.New(t).True(s.Share() >= 1./engineSteps)
}

// Until answers have shown the speed of the engines, long prompts must be separated by
// their length, since the first seconds of a process would else be late.
func TestSeparationBeforeTheFirstAnswer(t *testing.T) {
	arrive := func(s *Separator, k traffic) {
		s.Step(start(), Event{Kind: EventArrived, Request: k.name, PromptTokens: k.promptTokens, GapTarget: k.gapTarget, LatencyTarget: k.latencyTarget})
	}
	t.Run("long prompts beside chats are separated", func(t *testing.T) {
		var s Separator
		arrive(&s, chat())
		arrive(&s, letter())
		is.New(t).True(s.IsSeparated("letter"))
		is.New(t).True(!s.IsSeparated("chat"))
	})
	t.Run("without a gap target nothing is separated", func(t *testing.T) {
		var s Separator
		arrive(&s, change(letter(), func(k *traffic) { k.gapTarget = 0 }))
		is.New(t).True(!s.IsSeparated("letter"))
		is.New(t).True(!s.IsSeparated("unknown"))
	})
}

// The prompts that may be sent to the engines of other kinds must follow from the speed
// of the engines and from the gap targets. A fixed number stalled streams on slow
// engines.
func TestSpilloverFollowsSpeedAndGapTargets(t *testing.T) {
	fleet := Fleet{Engines: 9, Slots: 64, Entries: 1}
	spillover := func(e engine, all ...traffic) int {
		var s Separator
		play(&s, start(), 30, e, fleet, all...)
		return s.MaxSpilloverTokens()
	}
	slow := spillover(engine{50, 20 * ms}, chat(), letter())
	t.Run("slow engines allow fewer tokens", func(t *testing.T) {
		is.New(t).True(2*slow < spillover(engine{150, 20 * ms}, chat(), letter()))
	})
	t.Run("the prefill takes less than the shortest target", func(t *testing.T) {
		is.New(t).True(slow > 0 && time.Duration(slow)*time.Second/50_000 < chat().gapTarget)
	})
	t.Run("without gap targets nothing limits it", func(t *testing.T) {
		none := func(k *traffic) { k.gapTarget = 0 }
		is.New(t).Equal(spillover(engine{50, 20 * ms}, change(chat(), none), change(letter(), none)), math.MaxInt32)
	})
}

// Entries that see the same traffic with different noise must agree, and one entry
// must not change its choice with the noise.
func TestChoiceIsStable(t *testing.T) {
	for _, rate := range []int{5, 10, 20, 40} {
		t.Run(fmt.Sprint(rate, " requests a second"), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(rate), 1))
			var s Separator
			changes, last, now := 0, 0, start()
			for range 60 {
				noisy := func(k traffic) traffic {
					k.perSecond = rate * (70 + random.IntN(60)) / 100
					return k
				}
				now = play(&s, now, 1, engine{50, 20 * ms}, Fleet{Engines: 9, Slots: 64, Entries: 1}, noisy(chat()), noisy(letter()))
				if s.separated != last {
					changes, last = changes+1, s.separated
				}
			}
			is.New(t).True(changes <= 1)
		})
	}
}

// The state must stay bounded when the names of routes change all the time.
func TestNumberOfKindsIsBounded(t *testing.T) {
	var s Separator
	for i := range 3 * maxKinds {
		now := start().Add(time.Duration(i) * ms)
		s.Step(now, Event{Kind: EventArrived, Request: fmt.Sprint("route-", i), PromptTokens: 100, GapTarget: 200 * ms})
		s.Decide(now, Fleet{Engines: 3500, Slots: 12, Entries: 410})
	}
	is := is.New(t)
	is.Equal(len(s.kinds), maxKinds)
	is.True(!s.IsSeparated("route-0"))
	// A kind that only other entries get must not displace one that this entry gets.
	s.Step(start().Add(time.Minute), Event{Kind: EventKnown, Request: "route-0"})
	is.True(s.kinds[fmt.Sprint("route-", 2*maxKinds)] != nil)
	is.Equal(len(s.kinds), maxKinds)
}

// The fit must find the time for a token whatever the overhead, and must not follow
// observations that do not show it.
func TestPrefillModelFindsTimePerToken(t *testing.T) {
	observe := func(tokens []float64, seconds func(float64) float64) float64 {
		var m Prefill
		for range 20 {
			for _, n := range tokens {
				m.observe(n, seconds(n))
			}
		}
		return m.secondsPerToken()
	}
	assertNear := func(t *testing.T, got, want float64) {
		t.Helper()
		is.New(t).True(got > 0.99*want && got < 1.01*want)
	}
	t.Run("overhead does not count", func(t *testing.T) {
		assertNear(t, observe([]float64{800, 9000}, func(n float64) float64 { return 0.05 + 20e-6*n }), 20e-6)
	})
	t.Run("prompts of one length do not show it", func(t *testing.T) {
		assertNear(t, observe([]float64{800, 810}, func(n float64) float64 { return n }), defaultSecondsPerToken)
	})
	t.Run("shorter times for longer prompts do not show it", func(t *testing.T) {
		assertNear(t, observe([]float64{800, 9000}, func(n float64) float64 { return 1 - 1e-6*n }), defaultSecondsPerToken)
	})
	t.Run("no observation", func(t *testing.T) { assertNear(t, observe(nil, nil), defaultSecondsPerToken) })
}

// Over random deployments, the choice must never lose more than sharing all engines.
func TestChoiceNeverLosesMoreThanSharing(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 2000 {
		engines := 1 + random.IntN(40)
		profiles := make([]Profile, 1+random.IntN(5))
		for i := range profiles {
			profiles[i] = Profile{
				Name: fmt.Sprint(i), Rate: 1 + 100*random.Float64(), Prefill: time.Duration(random.IntN(300)) * ms, Run: time.Duration(random.IntN(4000)) * ms,
				Gap: time.Duration(random.IntN(60)) * ms, GapTarget: time.Duration(50+random.IntN(900)) * ms, LatencyTarget: time.Duration(100+random.IntN(1500)) * ms,
				Priority: random.IntN(4),
			}
		}
		slices.SortFunc(profiles, func(a, b Profile) int { return int(b.Prefill - a.Prefill) })
		c := Choose(profiles, engines)
		is.New(t).True(c.Loss <= leastLoss(profiles, engines, 0).Loss)
		is.New(t).True(c.Loss >= 0 && c.Loss <= 1)
		is.New(t).True(c.Separated < len(profiles) && c.Engines < max(1, engines))
	}
}

// A decision must stay cheap with many kinds and engines, since the goroutine that
// takes it forwards all requests of an entry.
func BenchmarkDecide(b *testing.B) {
	var s Separator
	now := start()
	for i := range maxKinds {
		s.Step(now, Event{Kind: EventArrived, Request: fmt.Sprint("route-", i), PromptTokens: 100 * i, GapTarget: 200 * ms, LatencyTarget: 300 * ms})
	}
	for b.Loop() {
		now = now.Add(decisionInterval)
		s.Decide(now, Fleet{Engines: 3500, Slots: 12, Entries: 410})
	}
}
