package provisioner

import (
	"fmt"
	"testing"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/leaser"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// largeSnapshot returns 24 services in 6 zones with 3,500 upstreams and a rising demand.
func largeSnapshot(step int) Snapshot {
	s := Snapshot{Demand: dispatcher.Demand{Known: true}}
	for i := range 24 {
		name := fmt.Sprint("model-", i)
		s.Services = append(s.Services, matcher.Service{Name: name, Scaling: &matcher.Scaling{MinReplicas: 1, MaxReplicas: 60, StartupTime: 10 * time.Second}})
		d := dispatcher.ServiceDemand{Service: name, Slots: 64, PrefillPerToken: 15 * time.Microsecond}
		for z := range 6 {
			d.Zones = append(d.Zones, dispatcher.ZoneDemand{AvailabilityZone: fmt.Sprint("zone-", z), Running: 900 + step%100})
		}
		s.Demand.Services = append(s.Demand.Services, d)
	}
	for i := range 3500 {
		s.Upstreams = append(s.Upstreams, registrar.Upstream{
			Name: fmt.Sprint("i-", i), Service: fmt.Sprint("model-", i%24), AvailabilityZone: fmt.Sprint("zone-", i/24%6), Slots: 64,
		})
	}
	return s
}

// BenchmarkObserve measures an observation of the holder, two of which a second it makes.
func BenchmarkObserve(b *testing.B) {
	c := Core{Pace: leaser.NewPace(4, 1), MaxPending: senderCount}
	now := time.Unix(1000, 0)
	snapshots := make([]Snapshot, 100)
	for i := range snapshots {
		snapshots[i] = largeSnapshot(i)
	}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(heldStepInterval)
		c.Observe(now, Term{Token: 1, Held: true}, snapshots[i%len(snapshots)])
		c.Next(now)
	}
}
