package provisioner

import (
	"maps"
	"slices"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/process/scaler"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// Snapshot is the state of this entry on which orders are based.
type Snapshot struct {
	Services []matcher.Service
	// Upstreams are all registered upstreams, including draining ones.
	Upstreams []registrar.Upstream
	Demand    dispatcher.Demand
}

// zoneMemory holds the availability zones in which upstreams of each service have been
// seen, with the numbers of those that are there. A zone whose upstreams are all gone
// needs orders, too.
type zoneMemory struct {
	byService map[string]map[string]*upstreamCount
}

// upstreamCount is the number of upstreams of a service in a zone.
type upstreamCount struct{ ready, leaving int }

// observe returns the observation for the scaler.
func (m *zoneMemory) observe(s Snapshot) scaler.Observation {
	m.remember(s)
	demands := map[string]dispatcher.ServiceDemand{}
	for _, d := range s.Demand.Services {
		demands[d.Service] = d
	}
	out := scaler.Observation{DemandKnown: s.Demand.Known}
	for _, v := range s.Services {
		if v.Scaling == nil {
			continue
		}
		d := demands[v.Name]
		out.Services = append(out.Services, scaler.Service{
			Name: v.Name, Slots: d.Slots, PrefillPerToken: d.PrefillPerToken,
			Limits: scaler.Limits{Min: v.Scaling.MinReplicas, Max: v.Scaling.MaxReplicas, Startup: v.Scaling.StartupTime},
			Zones:  m.zones(v.Name, d.Zones),
		})
	}
	return out
}

// remember adds the zones of the upstreams and counts them. It forgets services that
// cannot be scaled.
func (m *zoneMemory) remember(s Snapshot) {
	before := m.byService
	m.byService = map[string]map[string]*upstreamCount{}
	for _, v := range s.Services {
		if v.Scaling == nil {
			continue
		}
		seen := before[v.Name]
		if seen == nil {
			seen = map[string]*upstreamCount{}
		}
		for _, n := range seen {
			*n = upstreamCount{}
		}
		m.byService[v.Name] = seen
	}
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if seen := m.byService[u.Service]; seen != nil && u.AvailabilityZone != "" {
			count(seen, u)
		}
	}
}

func count(byZone map[string]*upstreamCount, u *registrar.Upstream) {
	n := byZone[u.AvailabilityZone]
	if n == nil {
		n = &upstreamCount{}
		byZone[u.AvailabilityZone] = n
	}
	if u.Draining {
		n.leaving++
	} else {
		n.ready++
	}
}

// zones returns the zones of a service with their demand and upstreams. Demand of zones
// without upstreams of the service is divided evenly among those with upstreams.
func (m *zoneMemory) zones(service string, demands []dispatcher.ZoneDemand) []scaler.Zone {
	byName := map[string]scaler.Zone{}
	for name, n := range m.byService[service] {
		byName[name] = scaler.Zone{Name: name, Ready: n.ready, Leaving: n.leaving}
	}
	known := slices.Sorted(maps.Keys(byName))
	for _, z := range demands {
		if _, ok := byName[z.AvailabilityZone]; ok || len(known) == 0 {
			byName[z.AvailabilityZone] = addDemand(byName[z.AvailabilityZone], z.AvailabilityZone, z)
			continue
		}
		for i, name := range known {
			byName[name] = addDemand(byName[name], name, divide(z, len(known), i))
		}
	}
	out := make([]scaler.Zone, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, byName[name])
	}
	return out
}

func addDemand(to scaler.Zone, name string, d dispatcher.ZoneDemand) scaler.Zone {
	to.Name = name
	to.Running += d.Running
	to.Waiting += d.Waiting
	to.PendingTokens += d.PendingTokens
	to.ArrivalRate += d.ArrivalRate
	to.RefusalRate += d.RefusalRate
	return to
}

// divide returns part i of n parts of d.
func divide(d dispatcher.ZoneDemand, n, i int) dispatcher.ZoneDemand {
	part := func(v int) int { return v*(i+1)/n - v*i/n }
	d.Running, d.Waiting, d.PendingTokens = part(d.Running), part(d.Waiting), part(d.PendingTokens)
	d.ArrivalRate /= float64(n)
	d.RefusalRate /= float64(n)
	return d
}
