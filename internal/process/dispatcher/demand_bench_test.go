package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// BenchmarkDemand measures the demand of 24 services with 3,500 upstreams and reports of
// 409 other entries, which the holder of the lease computes every 400 ms.
func BenchmarkDemand(b *testing.B) {
	const services, entries = 24, 409
	d := New(Settings{AvailabilityZone: "zone-0", Seed: 1, MeasureDemand: true})
	c := matcher.Configuration{Version: 1}
	for i := range services {
		c.Services = append(c.Services, matcher.Service{Name: fmt.Sprint("model-", i), Scaling: &matcher.Scaling{MaxReplicas: 60}})
	}
	d.Step(testTime(), Event{Kind: EventConfigured, Table: matcher.New(c)})
	var all []registrar.Upstream
	for i := range 3500 {
		all = append(all, registrar.Upstream{Name: fmt.Sprint("i-", i), Service: fmt.Sprint("model-", i%services), Slots: 64})
	}
	d.Step(testTime(), Event{Kind: EventUpstreams, Upstreams: all})
	for e := range entries {
		var r LoadReport
		for i := range 30 {
			r.Loads = append(r.Loads, Load{Upstream: fmt.Sprint("i-", (e*31+i*117)%3500), Runs: 1, PendingTokens: 1024})
		}
		receiveReport(d, testTime(), fmt.Sprint("entry-", e), fmt.Sprint("zone-", e%6), r)
	}
	now := testTime().Add(time.Second)
	b.ReportAllocs()
	for range b.N {
		d.Demand(now)
	}
}
