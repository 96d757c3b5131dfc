package provisioner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/leaser"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

const (
	testSlots   = 10
	testStartup = 4 * time.Second
	stepTime    = 50 * time.Millisecond
	// adoptionTime is the time after which the number that a new holder has found is sent.
	adoptionTime = testStartup + mismatchMargin + time.Second
)

// world is a platform with the upstreams of one service in one zone, and a core that
// holds the lease.
type world struct {
	core    Core
	now     time.Time
	term    Term
	known   bool
	running int
	// answer returns the outcome of a call, and apply whether the platform executes it.
	answer func(Call) (o Outcome, apply bool)
	// desired is the number that the platform has, and ready that of upstreams.
	desired, ready int
	calls          []Call
	callTimes      []time.Time
	causes         []string
}

func newWorld(ready, running int) *world {
	w := &world{
		core: Core{Pace: leaser.NewPace(10, 1), MaxPending: senderCount}, now: time.Unix(1000, 0),
		term: Term{Token: 7, Held: true}, known: true, ready: ready, desired: ready, running: running,
	}
	w.answer = func(Call) (Outcome, bool) { return OutcomeConfirmed, true }
	return w
}

func (w *world) snapshot() Snapshot {
	s := Snapshot{
		Services: []matcher.Service{{Name: "desk", Scaling: &matcher.Scaling{MinReplicas: 1, MaxReplicas: 20, StartupTime: testStartup}}, {Name: "booking"}},
		Demand: dispatcher.Demand{Known: w.known, Services: []dispatcher.ServiceDemand{{
			Service: "desk", Slots: testSlots, Zones: []dispatcher.ZoneDemand{{AvailabilityZone: "stowe", Running: w.running}},
		}}},
	}
	for i := range w.ready {
		s.Upstreams = append(s.Upstreams, registrar.Upstream{Name: string(rune('a' + i)), Service: "desk", AvailabilityZone: "stowe"})
	}
	return s
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(stepTime) {
		if w.core.MustObserve(w.now) {
			w.core.Observe(w.now, w.term, w.snapshot())
		}
		for {
			c, ok := w.core.Next(w.now)
			if !ok {
				break
			}
			w.call(c)
		}
	}
}

// call executes a call at once.
func (w *world) call(c Call) {
	w.calls, w.callTimes = append(w.calls, c), append(w.callTimes, w.now)
	outcome, apply := w.answer(c)
	if apply {
		w.desired = c.Target.Desired
	}
	if cause := w.core.HandleResult(w.now, Result{c, outcome}); cause != "" {
		w.causes = append(w.causes, cause)
	}
}

// assertOrders fails unless the calls that changed the number had these numbers.
func assertOrders(t *testing.T, w *world, want ...int) {
	t.Helper()
	var got []int
	for _, c := range w.calls {
		if c.Changed {
			got = append(got, c.Target.Desired)
		}
	}
	is.New(t).Equal(got, want)
}

// An order whose answer is lost may not have been executed. It must be sent again until
// it is confirmed.
func TestUnconfirmedOrderIsSentAgain(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeUnknown, OutcomeFailed, OutcomeRateLimited} {
		t.Run(outcome.String(), func(t *testing.T) {
			w := newWorld(2, 28)
			lost := true
			w.answer = func(Call) (Outcome, bool) {
				if lost {
					lost = false
					return outcome, false
				}
				return OutcomeConfirmed, true
			}
			w.run(2 * time.Second)
			is := is.New(t)
			is.Equal(w.desired, 4)
			is.Equal(len(w.calls), 2)
			is.True(w.callTimes[1].Sub(w.callTimes[0]) >= minBackoff)
			is.Equal(len(w.causes), 0)
		})
	}
}

// An older order that is executed after a newer one must be mended by a repeat, sooner if
// the upstreams show it.
func TestOvertakenOrderIsRepeated(t *testing.T) {
	t.Run("upstreams as ordered", func(t *testing.T) {
		w := newWorld(4, 28)
		w.run(adoptionTime)
		w.desired = 3
		w.run(repeatInterval)
		is.New(t).Equal(w.desired, 4)
		assertOrders(t, w, 4)
	})
	t.Run("fewer upstreams than ordered", func(t *testing.T) {
		w := newWorld(4, 28)
		w.run(adoptionTime)
		w.desired, w.ready = 3, 3
		w.run(testStartup + mismatchMargin)
		is.New(t).Equal(w.desired, 4)
	})
}

// A refused token belongs to a term that is over. No call may be made with it again, even
// if the lease seems to be held.
func TestRefusedTokenEndsTerm(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, 28)
	w.answer = func(Call) (Outcome, bool) { return OutcomeTokenRefused, false }
	w.run(time.Minute)
	is.Equal(len(w.calls), 1)
	is.Equal(w.causes, []string{"the token was refused"})
	w.term.Token = 9
	w.answer = func(Call) (Outcome, bool) { return OutcomeConfirmed, true }
	w.run(time.Second)
	is.Equal(w.desired, 4)
	is.Equal(w.calls[1].Token, int64(9))
}

// A holder that cannot reach the API must leave the duty to an entry that can, but not
// because of a short fault.
func TestFailuresInARowEndTerm(t *testing.T) {
	t.Run("API down", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(2, 28)
		w.answer = func(Call) (Outcome, bool) { return OutcomeUnknown, false }
		w.run(time.Minute)
		is.Equal(len(w.causes), 1)
		is.True(len(w.calls) >= maxFailures)
		is.True(w.callTimes[len(w.calls)-1].Sub(w.callTimes[0]) >= minFailureTime)
	})
	t.Run("API down for a second", func(t *testing.T) {
		w := newWorld(2, 28)
		start := w.now
		w.answer = func(Call) (Outcome, bool) {
			if w.now.Sub(start) < time.Second {
				return OutcomeUnknown, false
			}
			return OutcomeConfirmed, true
		}
		w.run(time.Minute)
		is.New(t).Equal(len(w.causes), 0)
		is.New(t).Equal(w.desired, 4)
	})
	t.Run("rate limit", func(t *testing.T) {
		w := newWorld(2, 28)
		w.answer = func(Call) (Outcome, bool) { return OutcomeRateLimited, false }
		w.run(10 * time.Second)
		is.New(t).Equal(len(w.causes), 0)
		is.New(t).True(len(w.calls) <= 11)
	})
}

// All entries share a rate. Repeats must leave room for changes, and a handover must not
// add calls.
func TestCallsStayWithinPace(t *testing.T) {
	w := newWorld(2, 28)
	w.core.Pace = leaser.NewPace(1, 1)
	start := w.now
	for i := range 20 {
		w.running = 28 + 14*(i%2)
		w.run(3 * time.Second)
	}
	is := is.New(t)
	is.True(w.callTimes[0].Sub(start) >= time.Second)
	for i := 1; i < len(w.callTimes); i++ {
		is.True(w.callTimes[i].Sub(w.callTimes[i-1]) >= time.Second)
	}
}

// Rises must be sent before other calls: they are late by a start-up time already. An
// order that was probably replaced by an older one comes before other repeats.
func TestRisesAreSentFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	tm := term{pairs: map[pairKey]*pair{
		{"desk", "a"}: {ordered: true, desired: 3, wasSent: true, sent: 5, confirmed: true, sentAt: now.Add(-time.Hour)},
		{"desk", "b"}: {ordered: true, desired: 3, wasSent: true, sent: 2, confirmed: true, sentAt: now},
		{"desk", "c"}: {ordered: true, desired: 3, wasSent: true, sent: 3, confirmed: true, sentAt: now.Add(-time.Hour), ready: 3},
		{"desk", "e"}: {ordered: true, desired: 3, wasSent: true, sent: 3, confirmed: true, sentAt: now.Add(-time.Minute), ready: 2},
		{"desk", "d"}: {ordered: true, desired: 9, wasSent: true, sent: 3, pending: true},
	}}
	var got []string
	for {
		k, p := tm.mostUrgent(now, true)
		if p == nil {
			break
		}
		got = append(got, k.availabilityZone)
		p.markSent(now)
	}
	is.New(t).Equal(got, []string{"b", "a", "e", "c"})
}

// An entry without the lease must order nothing, and a new holder nothing before the
// demand is known: it would stop upstreams of callers that it does not see.
func TestOrdersNeedLeaseAndDemand(t *testing.T) {
	t.Run("not held", func(t *testing.T) {
		w := newWorld(2, 28)
		w.term.Held = false
		w.run(time.Minute)
		is.New(t).Equal(len(w.calls), 0)
	})
	t.Run("demand unknown after a handover", func(t *testing.T) {
		w := newWorld(6, 0)
		w.known = false
		w.run(time.Minute)
		is.New(t).Equal(len(w.calls), 0)
		w.known, w.running = true, 40
		w.run(adoptionTime)
		assertOrders(t, w, 6)
	})
	t.Run("upstreams that an earlier holder ordered", func(t *testing.T) {
		w := newWorld(5, 35)
		w.desired = 8
		w.run(testStartup / 2)
		w.ready = 8
		w.run(testStartup + mismatchMargin)
		assertOrders(t, w, 8)
	})
	t.Run("demand becomes unknown", func(t *testing.T) {
		w := newWorld(6, 40)
		w.run(adoptionTime)
		w.known, w.running = false, 0
		w.run(time.Minute)
		assertOrders(t, w, 6)
		is.New(t).True(len(w.calls) > 1)
	})
}

// A zone whose upstreams are all gone needs orders, too, and demand of a zone without
// upstreams of the service goes to those that have them.
func TestZonesOfServiceAreRemembered(t *testing.T) {
	is := is.New(t)
	var m zoneMemory
	s := newWorld(2, 20).snapshot()
	m.observe(s)
	s.Upstreams = s.Upstreams[:0]
	s.Demand.Services[0].Zones = []dispatcher.ZoneDemand{{AvailabilityZone: "pinkham", Running: 5, ArrivalRate: 2}}
	got := m.observe(s)
	is.Equal(len(got.Services), 1)
	is.Equal(len(got.Services[0].Zones), 1)
	is.Equal(got.Services[0].Zones[0].Name, "stowe")
	is.Equal(got.Services[0].Zones[0].Running, 5)
	is.Equal(got.Services[0].Zones[0].ArrivalRate, 2.0)
}

// Whatever becomes of calls, the number of the platform must be the one that the demand
// needs once faults have ended, and no term may go on after its token was refused.
func TestOrderIsInForceAfterRandomFaults(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
		w := newWorld(2, 28)
		var late []int
		w.answer = func(c Call) (Outcome, bool) {
			if random.IntN(3) == 0 && w.desired != c.Target.Desired {
				late = append(late, c.Target.Desired)
				return OutcomeUnknown, false
			}
			return Outcome(random.IntN(int(OutcomeNotSent) + 1)), random.IntN(2) == 0
		}
		for range 20 {
			w.running = random.IntN(80)
			w.ready = max(0, w.desired-random.IntN(2))
			w.known = random.IntN(5) > 0
			w.run(time.Duration(random.IntN(3000)) * time.Millisecond)
			if len(late) > 0 {
				w.desired, late = late[0], late[1:]
			}
			if w.core.endedToken == w.term.Token {
				w.term.Token++
			}
		}
		w.answer = func(Call) (Outcome, bool) { return OutcomeConfirmed, true }
		w.running, w.known, w.ready = 28, true, w.desired
		w.run(2 * time.Minute)
		w.ready = w.desired
		w.run(2 * time.Minute)
		is := is.New(t)
		is.True(w.desired >= 4)
		is.True(w.desired <= 5)
	}
}
