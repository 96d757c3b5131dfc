package registrar

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An upstream that announced its shutdown in an answer must get no new requests,
// whatever the platform says of the same instance afterwards.
func TestAnnouncedDrainingOutlastsRegistration(t *testing.T) {
	removed := Event{Kind: EventRemoved, Names: []string{"desk-0"}}
	listed := Event{Kind: EventListed, Upstreams: upstreams(3)}
	restarted := upstreams(1)
	restarted[0].StartUnixMilli = 2
	for _, c := range []struct {
		name   string
		events []Event
		want   int
	}{
		{"nothing further: not eligible", nil, 2},
		{"listed as ready: not eligible", []Event{listed}, 2},
		{"changed to ready: not eligible", []Event{{Kind: EventChanged, Upstreams: upstreams(1)}}, 2},
		{"platform out of reach: not eligible", []Event{{Kind: EventOutageBegan}}, 2},
		{"removed and listed again: not eligible", []Event{removed, listed}, 2},
		{"lapsed in an outage and registered again: not eligible", []Event{
			{Kind: EventOutageBegan}, {Kind: EventListed, Upstreams: upstreams(3)[1:]}, {Kind: EventOutageEnded}, listed,
		}, 2},
		{"restarted under the same name: eligible", []Event{{Kind: EventChanged, Upstreams: restarted}}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRegistrar(3)
			r.HandleEvent(start(), Event{Kind: EventDraining, Upstreams: upstreams(1)})
			for _, e := range c.events {
				r.HandleEvent(start(), e)
			}
			assertEligible(t, r, start(), c.want)
		})
	}
	t.Run("announced before it is listed: not eligible", func(t *testing.T) {
		var r Registrar
		r.HandleEvent(start(), Event{Kind: EventDraining, Upstreams: upstreams(1)})
		r.HandleEvent(start(), listed)
		assertEligible(t, &r, start(), 2)
	})
	t.Run("without a start time, removed and listed again: eligible", func(t *testing.T) {
		all := []Upstream{{Name: "desk-0", Service: "desk"}}
		var r Registrar
		r.HandleEvent(start(), Event{Kind: EventListed, Upstreams: all})
		r.HandleEvent(start(), Event{Kind: EventDraining, Upstreams: all})
		assertEligible(t, &r, start(), 0)
		r.HandleEvent(start(), removed)
		r.HandleEvent(start(), Event{Kind: EventListed, Upstreams: all})
		assertEligible(t, &r, start(), 1)
	})
}

// The announcements of a year of replaced upstreams must not accumulate.
func TestAnnouncementsAreBounded(t *testing.T) {
	var r Registrar
	for i := range maxAnnouncements + 10 {
		u := Upstream{Name: fmt.Sprint("desk-", i), StartUnixMilli: 1, Service: "desk"}
		now := start().Add(time.Duration(i) * time.Second)
		r.HandleEvent(now, Event{Kind: EventChanged, Upstreams: []Upstream{u}})
		r.HandleEvent(now, Event{Kind: EventDraining, Upstreams: []Upstream{u}})
		is.New(t).True(r.AnnouncedDraining(u))
		r.HandleEvent(now, Event{Kind: EventRemoved, Names: []string{u.Name}})
	}
	is.New(t).True(len(r.announced) <= maxAnnouncements)
}
