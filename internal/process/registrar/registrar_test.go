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
		out[i] = Upstream{Name: fmt.Sprint("desk-", i), Service: "desk", Address: "10.0.0.1:80", Born: 1}
	}
	return out
}

func listed(n int) *Registrar {
	var r Registrar
	r.Step(start(), Event{Kind: EventListed, Upstreams: upstreams(n)})
	return &r
}

// An upstream that leaves must get nothing more at once.
func TestLeaving(t *testing.T) {
	t.Run("it says so", func(t *testing.T) {
		r := listed(3)
		u := upstreams(1)[0]
		u.Leaving = true
		r.Step(start(), Event{Kind: EventChanged, Upstreams: []Upstream{u}})
		assertUsable(t, r, start(), 2)
	})
	t.Run("its entry is removed", func(t *testing.T) {
		r := listed(3)
		r.Step(start(), Event{Kind: EventRemoved, Names: []string{"desk-0"}})
		assertUsable(t, r, start(), 2)
	})
	t.Run("it is not in the next list", func(t *testing.T) {
		r := listed(3)
		r.Step(start(), Event{Kind: EventListed, Upstreams: upstreams(2)})
		assertUsable(t, r, start(), 2)
	})
	t.Run("it had said so before an outage", func(t *testing.T) {
		r := listed(1)
		u := upstreams(1)[0]
		u.Leaving = true
		r.Step(start(), Event{Kind: EventChanged, Upstreams: []Upstream{u}})
		r.Step(start(), Event{Kind: EventOutage})
		r.Step(start(), Event{Kind: EventReturned})
		r.Step(start(), Event{Kind: EventListed})
		assertUsable(t, r, start(), 0)
	})
}

// Entries that lapse while the platform is out of reach must not take away
// upstreams that are well, and must do so when they do not come back.
func TestOutage(t *testing.T) {
	back := start().Add(time.Minute)
	outage := func(lapsed int) *Registrar {
		r := listed(4)
		r.Step(start(), Event{Kind: EventOutage})
		r.Step(back, Event{Kind: EventReturned})
		r.Step(back, Event{Kind: EventListed, Upstreams: upstreams(4 - lapsed)})
		return r
	}
	t.Run("all lapsed", func(t *testing.T) {
		r := outage(4)
		assertUsable(t, r, back.Add(ReturnTime-1), 4)
		is.New(t).Equal(r.Next(), back.Add(ReturnTime))
		assertUsable(t, r, back.Add(ReturnTime), 0)
	})
	t.Run("few lapsed", func(t *testing.T) { assertUsable(t, outage(1), back, 3) })
	t.Run("all came back", func(t *testing.T) {
		r := outage(4)
		r.Step(back.Add(time.Second), Event{Kind: EventChanged, Upstreams: upstreams(4)})
		assertUsable(t, r, back.Add(ReturnTime), 4)
	})
	t.Run("a calm removal long after it", func(t *testing.T) {
		r := outage(0)
		r.Step(back.Add(time.Minute), Event{Kind: EventRemoved, Names: []string{"desk-0", "desk-1", "desk-2"}})
		assertUsable(t, r, back.Add(time.Minute), 1)
	})
}

// A new start under an old name is another upstream.
func TestIdentity(t *testing.T) {
	a, b := Upstream{Name: "a", Born: 1}, Upstream{Name: "a", Born: 2}
	is.New(t).True(a.Identity() != b.Identity())
}

func assertUsable(t *testing.T, r *Registrar, now time.Time, want int) {
	t.Helper()
	is.New(t).Equal(len(r.Usable(now)), want)
}
