package dispatcher

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

const (
	// arrivalsInterval is the time between two reports of arrivals. It is longer than
	// LoadReportInterval, since each costs 8 bytes for each service and other entry.
	arrivalsInterval = time.Second
	// heardExpiry is the age at which an entry counts as silent. Reports with arrivals are
	// sent even without load, so two of them may be lost.
	heardExpiry = 3 * arrivalsInterval
	// minHeardShare is the share of the other entries that must have been heard for the
	// demand to be known. Entries that have just started or ended are silent although
	// there is no partition.
	minHeardShare = 0.75
	// recentPeriod is the time for which an entry that fell silent is expected to be heard
	// again. The store may list entries that were killed for much longer. minListedShare
	// is the share of the listed entries that must be heard nevertheless, since an entry
	// cut off from most others sees a fraction of the demand, and learningTime the time
	// after the first configuration until the entries that were heard count.
	recentPeriod   = 10 * time.Minute
	minListedShare = 0.25
	learningTime   = 30 * time.Second
	// demandSettleTime is the time after the first configuration within which the demand
	// is unknown: the other entries have then had time to send a report each.
	demandSettleTime = 2 * arrivalsInterval
	// arrivalHalfLife is the half-life of the arrivals from which a rate is computed.
	arrivalHalfLife = 2 * time.Second
)

// Codes of failures for want of room. Package retrier uses codeOverloaded and
// codeNoUpstream, too.
const (
	codeOverloaded = "overloaded"
	codeHeldBack   = "held_back"
	codeNoUpstream = "no_upstream"
)

// Arrivals is the number of requests of a service that arrived at an entry, and of those
// that were refused for want of room.
type Arrivals struct {
	Service string
	Arrived int
	Refused int
}

// Demand is the demand of the services with limits for the number of their upstreams, at
// all entries together.
type Demand struct {
	// Known is false until reports of enough other entries have arrived.
	Known    bool
	Services []ServiceDemand
}

// ServiceDemand is the demand of one service.
type ServiceDemand struct {
	Service string
	// Slots is the usual number of slots of an upstream, zero if unknown.
	Slots           int
	PrefillPerToken time.Duration
	Zones           []ZoneDemand
}

// ZoneDemand is the demand of one service at the entries of an availability zone,
// whatever the zone of the upstreams that serve it.
type ZoneDemand struct {
	AvailabilityZone string
	// Running and Waiting are the numbers of requests in flight with and without a slot,
	// and PendingTokens is the number of their prompt tokens that wait for prefill.
	Running       int
	Waiting       int
	PendingTokens int
	// ArrivalRate and RefusalRate are the numbers of requests a second that arrive and
	// that are refused for want of room.
	ArrivalRate float64
	RefusalRate float64
}

// demandMeter holds what the load of upstreams does not show of the demand. The zero
// value measures nothing.
type demandMeter struct {
	// scaled are the services whose number of upstreams can be ordered.
	scaled map[string]struct{}
	// unreported holds the arrivals at this entry since its last report of arrivals.
	unreported map[string]Arrivals
	nextReport time.Time
	rates      map[demandKey]*arrivalRate
	// heardAt holds the time of the last report of each other entry.
	heardAt map[string]time.Time
	// startedAt is the time of the first configuration.
	startedAt time.Time
}

// demandKey identifies the arrivals of a service in an availability zone.
type demandKey struct{ service, availabilityZone string }

// arrivalRate holds decaying numbers of arrivals at the time at.
type arrivalRate struct {
	arrived, refused float64
	at               time.Time
}

// configure sets the services that can be scaled.
func (m *demandMeter) configure(now time.Time, services []matcher.Service) {
	m.scaled = map[string]struct{}{}
	for _, s := range services {
		if s.Scaling != nil {
			m.scaled[s.Name] = struct{}{}
		}
	}
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	maps.DeleteFunc(m.rates, func(k demandKey, _ *arrivalRate) bool { return !m.isScaled(k.service) })
	maps.DeleteFunc(m.unreported, func(service string, _ Arrivals) bool { return !m.isScaled(service) })
}

func (m *demandMeter) isScaled(service string) bool {
	_, ok := m.scaled[service]
	return ok
}

// record adds arrivals at the entries of an availability zone.
func (m *demandMeter) record(now time.Time, availabilityZone string, a Arrivals) {
	if !m.isScaled(a.Service) {
		return
	}
	if m.rates == nil {
		m.rates = map[demandKey]*arrivalRate{}
	}
	k := demandKey{a.Service, availabilityZone}
	if m.rates[k] == nil {
		m.rates[k] = &arrivalRate{at: now}
	}
	m.rates[k].add(now, a)
}

// recordOwn adds arrivals at this entry, which are reported to the others.
func (m *demandMeter) recordOwn(now time.Time, availabilityZone string, a Arrivals) {
	if !m.isScaled(a.Service) {
		return
	}
	m.record(now, availabilityZone, a)
	if m.unreported == nil {
		m.unreported = map[string]Arrivals{}
	}
	sum := m.unreported[a.Service]
	m.unreported[a.Service] = Arrivals{a.Service, sum.Arrived + a.Arrived, sum.Refused + a.Refused}
}

func (r *arrivalRate) add(now time.Time, a Arrivals) {
	decay := math.Exp2(-now.Sub(r.at).Seconds() / arrivalHalfLife.Seconds())
	r.arrived, r.refused, r.at = r.arrived*decay+float64(a.Arrived), r.refused*decay+float64(a.Refused), now
}

// perSecond returns the rates. In the long run, the decaying sum covers the half-life
// divided by ln 2.
func (r *arrivalRate) perSecond(now time.Time) (arrived, refused float64) {
	r.add(now, Arrivals{})
	scale := math.Ln2 / arrivalHalfLife.Seconds()
	return r.arrived * scale, r.refused * scale
}

// takeDue returns the arrivals at this entry since the last report of them, and whether
// a report of them is due.
func (m *demandMeter) takeDue(now time.Time) ([]Arrivals, bool) {
	if len(m.scaled) == 0 || now.Before(m.nextReport) {
		return nil, false
	}
	m.nextReport = now.Add(arrivalsInterval)
	out := slices.SortedFunc(maps.Values(m.unreported), func(a, b Arrivals) int { return cmp.Compare(a.Service, b.Service) })
	clear(m.unreported)
	return out, true
}

// receive adds a report of another entry.
func (m *demandMeter) receive(now time.Time, entry string, r LoadReport) {
	if m.heardAt == nil {
		m.heardAt = map[string]time.Time{}
	}
	m.heardAt[entry] = now
	for _, a := range r.Arrivals {
		m.record(now, r.AvailabilityZone, a)
	}
}

// isKnown reports whether reports of enough of the other entries have arrived. The store
// lists the given number of entries.
func (m *demandMeter) isKnown(now time.Time, entries int) bool {
	if m.startedAt.IsZero() || now.Sub(m.startedAt) < demandSettleTime {
		return false
	}
	heard := 0
	for entry, at := range m.heardAt {
		switch silence := now.Sub(at); {
		case silence < heardExpiry:
			heard++
		case silence >= recentPeriod:
			delete(m.heardAt, entry)
		}
	}
	listed, recent := float64(entries-1), float64(len(m.heardAt))
	if float64(heard) >= minHeardShare*listed {
		return true
	}
	return now.Sub(m.startedAt) >= learningTime && float64(heard) >= minHeardShare*recent && float64(heard) >= minListedShare*listed
}

// isRefusedForRoom reports whether a request failed because no upstream had room for it,
// so that more upstreams could have run it.
func isRefusedForRoom(f *admitter.Failure) bool {
	switch f.Code {
	case codeOverloaded, codeHeldBack, codeNoUpstream:
		return f.Outcome == admitter.OutcomeNotRun
	}
	return false
}

// MeasuresDemand reports whether there are services whose demand is measured.
func (d *Dispatcher) MeasuresDemand() bool { return len(d.demand.scaled) > 0 }

// Demand returns the demand at all entries according to the requests of this entry and
// the last reports of the others.
func (d *Dispatcher) Demand(now time.Time) Demand {
	out := Demand{Known: d.demand.isKnown(now, d.entries)}
	shared := d.sharedDemand()
	for _, name := range slices.Sorted(maps.Keys(d.demand.scaled)) {
		out.Services = append(out.Services, d.serviceDemand(now, name, shared[name]))
	}
	return out
}

// sharedDemand returns the load of the other entries on each service that can be scaled,
// by their availability zone.
func (d *Dispatcher) sharedDemand() map[string]map[string]*Load {
	out := map[string]map[string]*Load{}
	for name := range d.demand.scaled {
		out[name] = map[string]*Load{}
	}
	for _, r := range d.exchange.reports {
		for i := range r.loads {
			byZone := out[d.serviceNames[r.loads[i].Upstream]]
			if byZone == nil {
				continue
			}
			sum := byZone[r.availabilityZone]
			if sum == nil {
				sum = &Load{}
				byZone[r.availabilityZone] = sum
			}
			sum.Runs += r.loads[i].Runs
			sum.PendingTokens += r.loads[i].PendingTokens
		}
	}
	return out
}

// serviceDemand returns the demand of one service. The load of the other entries by
// availability zone is shared.
func (d *Dispatcher) serviceDemand(now time.Time, name string, shared map[string]*Load) ServiceDemand {
	zones := map[string]ZoneDemand{}
	waiting := 0
	out := ServiceDemand{Service: name}
	if s := d.services[name]; s != nil {
		own := zones[d.settings.AvailabilityZone]
		own.Running, own.PendingTokens, waiting = s.ownLoad()
		zones[d.settings.AvailabilityZone] = own
		out.Slots, out.PrefillPerToken = s.usualSlots, s.separator.PrefillPerToken()
	}
	for name, l := range shared {
		z := zones[name]
		z.Running += l.Runs
		z.PendingTokens += l.PendingTokens
		zones[name] = z
	}
	for k, r := range d.demand.rates {
		if k.service == name {
			z := zones[k.availabilityZone]
			z.ArrivalRate, z.RefusalRate = r.perSecond(now)
			zones[k.availabilityZone] = z
		}
	}
	out.Zones = separateWaiting(zones, waiting)
	return out
}

// ownLoad returns the requests of this entry in flight, their prompt tokens that wait for
// prefill, and the requests of all entries that wait for a slot.
func (s *service) ownLoad() (runs, pendingTokens, waiting int) {
	for _, id := range s.instanceIDs {
		u := s.picker.Upstream(id)
		if u == nil {
			continue
		}
		runs += u.Outstanding
		pendingTokens += u.PendingTokens
		waiting += waitingAt(u)
	}
	return runs, pendingTokens, waiting
}

// waitingAt returns the number of requests that wait for a slot of u.
func waitingAt(u *picker.Upstream) int {
	if u.Slots == 0 {
		return 0
	}
	return max(0, u.Outstanding+u.SharedRuns-u.Slots)
}

// separateWaiting returns the zones sorted by name. Of the requests in flight, which are
// all in Running, it moves those that wait to Waiting, in proportion: it is not known
// whose requests wait.
func separateWaiting(zones map[string]ZoneDemand, waiting int) []ZoneDemand {
	total := 0
	for _, z := range zones {
		total += z.Running
	}
	out := make([]ZoneDemand, 0, len(zones))
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		z := zones[name]
		z.AvailabilityZone = name
		if total > 0 {
			z.Waiting = min(z.Running, z.Running*waiting/total)
			z.Running -= z.Waiting
		}
		out = append(out, z)
	}
	return out
}
