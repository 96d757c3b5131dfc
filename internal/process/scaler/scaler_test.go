package scaler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	testSlots   = 10
	testStartup = 4 * time.Second
	stepTime    = 500 * time.Millisecond
	// perUpstream is the number of requests that an upstream serves at TargetUtilisation.
	perUpstream = testSlots * TargetUtilisation
)

// world is a service whose upstreams follow the orders after the start-up time.
type world struct {
	scaler   Scaler
	elapsed  time.Duration
	limits   Limits
	unknown  bool
	zones    []*worldZone
	changes  int
	previous map[string]int
}

type worldZone struct {
	Zone
	requests func(elapsed time.Duration) float64
	desired  int
	reason   Reason
	// starting holds the times at which ordered upstreams are ready.
	starting []time.Duration
}

func newWorld(ready int, requests ...func(time.Duration) float64) *world {
	w := &world{limits: Limits{Min: 1, Max: 40, Startup: testStartup}, previous: map[string]int{}}
	for i, r := range requests {
		w.zones = append(w.zones, &worldZone{Zone: Zone{Name: string(rune('a' + i)), Ready: ready}, requests: r})
	}
	return w
}

func constant(n float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return n }
}

// step advances the world by stepTime and applies the orders.
func (w *world) step() {
	w.elapsed += stepTime
	in := Service{Name: "desk", Limits: w.limits, Slots: testSlots}
	for _, z := range w.zones {
		for len(z.starting) > 0 && z.starting[0] <= w.elapsed {
			z.starting, z.Ready = z.starting[1:], z.Ready+1
		}
		z.Running, z.Starting = int(math.Round(z.requests(w.elapsed))), len(z.starting)
		in.Zones = append(in.Zones, z.Zone)
	}
	orders := w.scaler.Step(time.Unix(0, 0).Add(w.elapsed), Observation{DemandKnown: !w.unknown, Services: []Service{in}})
	for i, o := range orders {
		w.apply(w.zones[i], o)
	}
}

func (w *world) apply(z *worldZone, o Order) {
	if old, ok := w.previous[z.Name]; ok && old != o.Desired {
		w.changes++
	}
	w.previous[z.Name], z.desired, z.reason = o.Desired, o.Desired, o.Reason
	for z.Ready+len(z.starting) < o.Desired {
		z.starting = append(z.starting, w.elapsed+testStartup)
	}
	z.Ready = min(z.Ready, o.Desired)
}

// run advances the world by d and calls check after each step.
func (w *world) run(d time.Duration, check func()) {
	for end := w.elapsed + d; w.elapsed < end; {
		w.step()
		if check != nil {
			check()
		}
	}
}

func (w *world) ready() int {
	n := 0
	for _, z := range w.zones {
		n += z.Ready
	}
	return n
}

// assertDesired fails unless the zones have these orders.
func assertDesired(t *testing.T, w *world, want ...int) {
	t.Helper()
	var got []int
	for _, z := range w.zones {
		got = append(got, z.desired)
	}
	is.New(t).Equal(got, want)
}

// Capacity that is ordered when the demand is there is missing for one start-up time.
func TestTrendForeseesRisingDemand(t *testing.T) {
	assertServed := func(t *testing.T, requests func(time.Duration) float64, d time.Duration) {
		t.Helper()
		w := newWorld(5, requests)
		is := is.New(t)
		w.run(d, func() { is.True(requests(w.elapsed) <= float64(w.ready()*testSlots)) })
	}
	t.Run("ramp", func(t *testing.T) {
		// From 35 to 245 requests within a minute.
		assertServed(t, func(e time.Duration) float64 { return 35 + 3.5*min(e, time.Minute).Seconds() }, 90*time.Second)
	})
	t.Run("wave", func(t *testing.T) {
		assertServed(t, func(e time.Duration) float64 {
			return 100 - 70*math.Cos(2*math.Pi*e.Minutes())
		}, 3*time.Minute)
	})
	t.Run("reason is the trend", func(t *testing.T) {
		w := newWorld(5, func(e time.Duration) float64 { return 35 + 3.5*e.Seconds() })
		seen := false
		w.run(20*time.Second, func() { seen = seen || w.zones[0].reason == ReasonTrend })
		is.New(t).True(seen)
	})
}

// A step must be followed at once, and must not be extrapolated.
func TestStepIsFollowedAtOnce(t *testing.T) {
	w := newWorld(3, func(e time.Duration) float64 {
		if e < 20*time.Second {
			return 3 * perUpstream
		}
		return 8 * perUpstream
	})
	w.run(20*time.Second, nil)
	assertDesired(t, w, 8)
	w.run(time.Minute, func() { assertDesired(t, w, 8) })
	is.New(t).Equal(w.zones[0].reason, ReasonDemand)
}

// After a burst, the order must stay for several start-up times and then fall by one
// upstream at a time.
func TestOrderFallsSlowlyAfterBurst(t *testing.T) {
	const burstEnd = 26 * time.Second
	w := newWorld(3, func(e time.Duration) float64 {
		if e >= 20*time.Second && e < burstEnd {
			return 8 * perUpstream
		}
		return 3 * perUpstream
	})
	w.run(burstEnd-stepTime, nil)
	assertDesired(t, w, 8)
	w.run(lowerDelayStartups*testStartup, func() { assertDesired(t, w, 8) })
	last := 8
	w.run(time.Minute, func() {
		is.New(t).True(w.zones[0].desired >= last-1)
		last = w.zones[0].desired
	})
	// 21 requests take 3 upstreams at the target, and 4 at the utilisation for lowering.
	assertDesired(t, w, 4)
	is.New(t).Equal(w.zones[0].reason, ReasonLowDemand)
}

// Orders that change with the noise of the demand start and stop upstreams for nothing.
func TestOscillationAroundThresholdKeepsOrder(t *testing.T) {
	for _, period := range []time.Duration{time.Second, 10 * time.Second, 2 * time.Minute} {
		t.Run(period.String(), func(t *testing.T) {
			w := newWorld(4, func(e time.Duration) float64 {
				return 4*perUpstream + 2*math.Sin(2*math.Pi*e.Seconds()/period.Seconds())
			})
			w.run(10*time.Minute, nil)
			is.New(t).True(w.changes <= 1)
		})
	}
}

// Upstreams that crash and come back do not change the demand.
func TestFlappingUpstreamsKeepOrder(t *testing.T) {
	w := newWorld(5, constant(5*perUpstream))
	w.run(testStartup, nil)
	w.run(2*time.Minute, func() {
		z := w.zones[0]
		z.Ready = 5
		if int(w.elapsed/time.Second)%2 == 0 {
			z.Ready = 3
		}
		assertDesired(t, w, 5)
	})
}

// Each zone gets upstreams by its demand, and a zone without demand its minimum.
func TestDemandIsSpreadOverZones(t *testing.T) {
	t.Run("empty zone keeps its minimum", func(t *testing.T) {
		w := newWorld(2, constant(60), constant(20), constant(0))
		w.run(2*time.Minute, nil)
		assertDesired(t, w, 9, 3, 1)
	})
	t.Run("demand beyond the maximum of a zone goes to others", func(t *testing.T) {
		w := newWorld(2, constant(60), constant(20), constant(0))
		w.limits.Max = 5
		w.run(2*time.Minute, nil)
		is := is.New(t)
		is.Equal(w.zones[0].desired, 5)
		is.True(w.ready()*perUpstream >= 80)
	})
	t.Run("demand that moves to another zone is followed", func(t *testing.T) {
		w := newWorld(4, constant(4*perUpstream), constant(perUpstream))
		w.run(time.Minute, nil)
		w.zones[0].requests, w.zones[1].requests = constant(perUpstream), constant(4*perUpstream)
		w.run(2*time.Minute, nil)
		is := is.New(t)
		is.True(w.zones[1].desired >= 4)
		is.True(w.zones[0].desired <= 2)
	})
}

// A release that replaces upstreams one by one must not cost capacity, and must not
// change the order with each upstream.
func TestReplacedUpstreamsAreMadeUpFor(t *testing.T) {
	w := newWorld(6, constant(6*perUpstream))
	w.run(10*time.Second, nil)
	z := w.zones[0]
	for range 6 {
		// One upstream drains for 3 s. The platform counts it among those ordered.
		z.Ready, z.Leaving = z.Ready-1, 1
		w.run(time.Second, nil)
		is.New(t).True(z.desired == 7)
		w.run(2*time.Second, nil)
		z.Leaving = 0
		w.run(testStartup+time.Second, nil)
	}
	is.New(t).Equal(w.changes, 1)
	is.New(t).Equal(z.reason, ReasonLeaving)
	w.run(2*time.Minute, nil)
	is.New(t).True(w.changes <= 2)
}

// Upstreams that shut down because an order was lowered must not be made up for, or the
// order would rise again or stay high until they have ended.
func TestLoweredUpstreamsAreNotMadeUpFor(t *testing.T) {
	const drainTime = 20 * time.Second
	w := newWorld(8, constant(2*perUpstream))
	last, z := 8, w.zones[0]
	var drained []time.Duration
	// The order is lowered by 5, once in each start-up time after the first three.
	w.run((lowerDelayStartups+5)*testStartup, func() {
		is.New(t).True(z.desired <= last)
		for ; last > z.desired; last-- {
			drained = append(drained, w.elapsed+drainTime)
		}
		for len(drained) > 0 && drained[0] <= w.elapsed {
			drained = drained[1:]
		}
		z.Leaving = len(drained)
	})
	assertDesired(t, w, 3)
}

// An entry that has just become the holder sees the demand of the others only after their
// next reports, and must not take their silence for a low demand.
func TestUnknownDemandHoldsOrders(t *testing.T) {
	t.Run("new holder gives no orders", func(t *testing.T) {
		w := newWorld(5, constant(0))
		w.unknown = true
		w.run(time.Minute, func() { is.New(t).Equal(w.zones[0].desired, 0) })
	})
	t.Run("new holder starts from the upstreams that are there", func(t *testing.T) {
		w := newWorld(5, constant(4.2*perUpstream))
		w.step()
		assertDesired(t, w, 5)
		is.New(t).Equal(w.zones[0].reason, ReasonAdopted)
	})
	t.Run("last order is kept", func(t *testing.T) {
		w := newWorld(5, constant(5*perUpstream))
		w.run(10*time.Second, nil)
		w.unknown, w.zones[0].requests = true, constant(0)
		w.run(time.Minute, func() { assertDesired(t, w, 5) })
	})
}

// Demand that does not show in the running requests must be served too.
func TestWaitingAndRefusedRequestsCount(t *testing.T) {
	for _, c := range []struct {
		name string
		zone Zone
		want int
	}{
		{"running only", Zone{Ready: 2, Running: 14}, 2},
		{"waiting for a slot", Zone{Ready: 2, Running: 20, Waiting: 8}, 4},
		{"half of the requests refused", Zone{Ready: 2, Running: 14, ArrivalRate: 10, RefusalRate: 5}, 4},
		{"refused without any upstream", Zone{ArrivalRate: 14, RefusalRate: 14}, 2},
		{"prompts that wait for prefill", Zone{Ready: 2, Running: 4, PendingTokens: 50_000}, 4},
		{"waiting requests that add up", Zone{Ready: 2, Running: 20, Waiting: 400}, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Scaler
			c.zone.Name = "a"
			got := s.Step(time.Unix(0, 0), Observation{DemandKnown: true, Services: []Service{{
				Name: "desk", Limits: Limits{Min: 0, Max: 40, Startup: testStartup}, Slots: testSlots,
				PrefillPerToken: 20 * time.Microsecond, Zones: []Zone{c.zone},
			}}})
			is.New(t).Equal(got[0].Desired, c.want)
		})
	}
}

// Limits of a new configuration apply at once, and a service without them gets no orders.
func TestLimitsApplyAtOnce(t *testing.T) {
	w := newWorld(5, constant(5*perUpstream))
	w.run(10*time.Second, nil)
	w.limits.Max = 4
	w.step()
	assertDesired(t, w, 4)
	is.New(t).Equal(w.zones[0].reason, ReasonLimits)
	is.New(t).Equal(len(w.scaler.Step(time.Unix(0, 0).Add(w.elapsed), Observation{DemandKnown: true})), 0)
}

// The random differences of a steady demand must not start and stop upstreams time and
// again.
func TestRandomNoiseChangesOrderRarely(t *testing.T) {
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 3))
		w := newWorld(2, func(time.Duration) float64 {
			// The number of requests in flight with random arrivals has the variance of
			// its mean.
			return 10*perUpstream + math.Sqrt(10*perUpstream)*random.NormFloat64()
		})
		w.run(30*time.Second, nil)
		w.changes = 0
		w.run(10*time.Minute, nil)
		is := is.New(t)
		is.True(w.changes <= 20)
		is.True(w.zones[0].desired >= 10)
		is.True(w.zones[0].desired <= 15)
	}
}
