package forwarder_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// The demand must not be known before the upstreams are listed, and a new holder must not
// get the demand of an earlier term.
func TestDemandIsComputedWhileItIsAskedFor(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1000, 0))
	f := forwarder.New(forwarder.Options{Clock: clock, Dispatcher: dispatcher.Settings{MeasureDemand: true}})
	t.Cleanup(f.Stop)
	f.Configure(matcher.New(matcher.Configuration{Version: 1, Services: []matcher.Service{{Name: "desk", Scaling: &matcher.Scaling{MaxReplicas: 3}}}}))
	f.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventListed})
	awaitConfigured(f)
	is.Equal(len(f.Demand().Services), 0)
	awaitDemand(clock, func() bool { return f.Demand().Known })
	is.Equal(f.Demand().Services[0].Service, "desk")
	awaitDemand(clock, func() bool { return len(f.State().Demand.Services) == 0 })
}

// awaitDemand advances the clock until the condition is true. The test times out if it
// never is.
func awaitDemand(clock *timer.Manual, condition func() bool) {
	for !condition() {
		clock.Advance(dispatcher.LoadReportInterval)
		time.Sleep(time.Millisecond)
	}
}
