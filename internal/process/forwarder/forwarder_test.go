package forwarder_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// An entry that reported ready after the end of an outage and before the list of
// upstreams refused its first callers with no_upstream.
func TestUpstreamsListedOnlyAfterCompleteList(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []registrar.Event
		want   bool
	}{
		{"no event", nil, false},
		{"outage began", []registrar.Event{{Kind: registrar.EventOutageBegan}}, false},
		{"outage ended", []registrar.Event{{Kind: registrar.EventOutageBegan}, {Kind: registrar.EventOutageEnded}}, false},
		{"single change", []registrar.Event{{Kind: registrar.EventChanged, Upstreams: []registrar.Upstream{{Name: "desk-1"}}}}, false},
		{"list", []registrar.Event{{Kind: registrar.EventOutageEnded}, {Kind: registrar.EventListed}}, true},
		{"outage after a list", []registrar.Event{{Kind: registrar.EventListed}, {Kind: registrar.EventOutageBegan}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := forwarder.New(forwarder.Options{Clock: timer.NewManual(time.Unix(1000, 0))})
			t.Cleanup(f.Stop)
			for _, e := range c.events {
				f.HandleRegistrarEvent(e)
			}
			awaitConfigured(f)
			is.New(t).Equal(f.State().UpstreamsListed, c.want)
		})
	}
}

// awaitConfigured waits until f has handled a configuration, and with it all earlier
// events.
func awaitConfigured(f *forwarder.Forwarder) {
	f.Configure(matcher.New(matcher.Configuration{Version: 1}))
	for f.State().Table == nil {
		time.Sleep(time.Millisecond)
	}
}
