package registrar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func start() time.Time { return time.Unix(1000, 0) }

func upstreams(n int) []Upstream {
	out := make([]Upstream, n)
	for i := range out {
		out[i] = Upstream{Name: fmt.Sprint("desk-", i), Service: "desk", Address: "10.0.0.1:80", StartUnixMilli: 1}
	}
	return out
}

func newRegistrar(n int) *Registrar {
	var r Registrar
	r.HandleEvent(start(), Event{Kind: EventListed, Upstreams: upstreams(n)})
	return &r
}

// An upstream that shuts down must get no new requests once its registration
// is marked as draining or removed.
func TestDrainingOrRemovedUpstreamIsNotEligible(t *testing.T) {
	t.Run("registration marked as draining", func(t *testing.T) {
		r := newRegistrar(3)
		u := upstreams(1)[0]
		u.Draining = true
		r.HandleEvent(start(), Event{Kind: EventChanged, Upstreams: []Upstream{u}})
		assertEligible(t, r, start(), 2)
	})
	t.Run("registration removed", func(t *testing.T) {
		r := newRegistrar(3)
		r.HandleEvent(start(), Event{Kind: EventRemoved, Names: []string{"desk-0"}})
		assertEligible(t, r, start(), 2)
	})
	t.Run("registration missing in the next list", func(t *testing.T) {
		r := newRegistrar(3)
		r.HandleEvent(start(), Event{Kind: EventListed, Upstreams: upstreams(2)})
		assertEligible(t, r, start(), 2)
	})
	t.Run("registration marked as draining before an outage", func(t *testing.T) {
		r := newRegistrar(1)
		u := upstreams(1)[0]
		u.Draining = true
		r.HandleEvent(start(), Event{Kind: EventChanged, Upstreams: []Upstream{u}})
		r.HandleEvent(start(), Event{Kind: EventOutageBegan})
		r.HandleEvent(start(), Event{Kind: EventOutageEnded})
		r.HandleEvent(start(), Event{Kind: EventListed})
		assertEligible(t, r, start(), 0)
	})
}

// An object that describes no upstream must remove the upstream of its name, also while
// removed registrations are taken to have lapsed.
func TestInvalidatedUpstreamIsNotEligible(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []EventKind
	}{
		{"without an outage", nil},
		{"in an outage", []EventKind{EventOutageBegan}},
		{"after an outage", []EventKind{EventOutageBegan, EventOutageEnded}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRegistrar(3)
			for _, kind := range c.before {
				r.HandleEvent(start(), Event{Kind: kind})
			}
			r.HandleEvent(start(), Event{Kind: EventInvalidated, Names: []string{"desk-0", "unknown"}})
			assertEligible(t, r, start(), 2)
		})
	}
}

// Registrations that expire while the platform is unreachable must not make
// healthy upstreams ineligible. They must be removed if their upstreams do not
// register again.
func TestLapsedRegistrationsStayEligibleUntilReregistrationPeriodEnds(t *testing.T) {
	end := start().Add(time.Minute)
	outage := func(lapsed int) *Registrar {
		r := newRegistrar(4)
		r.HandleEvent(start(), Event{Kind: EventOutageBegan})
		r.HandleEvent(end, Event{Kind: EventOutageEnded})
		r.HandleEvent(end, Event{Kind: EventListed, Upstreams: upstreams(4 - lapsed)})
		return r
	}
	t.Run("all lapsed: eligible until the period ends", func(t *testing.T) {
		r := outage(4)
		assertEligible(t, r, end.Add(ReregistrationPeriod-1), 4)
		is.New(t).Equal(r.NextChange(), end.Add(ReregistrationPeriod))
		assertEligible(t, r, end.Add(ReregistrationPeriod), 0)
	})
	t.Run("a minority lapsed: not eligible", func(t *testing.T) { assertEligible(t, outage(1), end, 3) })
	t.Run("all registered again: eligible", func(t *testing.T) {
		r := outage(4)
		r.HandleEvent(end.Add(time.Second), Event{Kind: EventChanged, Upstreams: upstreams(4)})
		assertEligible(t, r, end.Add(ReregistrationPeriod), 4)
	})
	t.Run("removal long after an outage: not eligible", func(t *testing.T) {
		r := outage(0)
		r.HandleEvent(end.Add(time.Minute), Event{Kind: EventRemoved, Names: []string{"desk-0", "desk-1", "desk-2"}})
		assertEligible(t, r, end.Add(time.Minute), 1)
	})
}

// A restart under the same name is a different upstream.
func TestInstanceIDDiffersBetweenStarts(t *testing.T) {
	a, b := Upstream{Name: "a", StartUnixMilli: 1}, Upstream{Name: "a", StartUnixMilli: 2}
	is.New(t).True(a.InstanceID() != b.InstanceID())
}

func assertEligible(t *testing.T, r *Registrar, now time.Time, want int) {
	t.Helper()
	is.New(t).Equal(len(r.Eligible(now)), want)
}
