package dispatcher

import (
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
	"magnoliafront.dev/magnoliafront/internal/process/separator"
)

// Entries report to each other their requests in flight, the upstreams that began an
// answer on a long prompt prefix, those that they lost, and what they have learned of
// kinds of requests, since an engine that is called directly reports no load. A received
// report is a few hundred milliseconds old; an entry knows its own requests exactly.

const (
	// LoadReportInterval is the time between two load reports of an entry. It is
	// short compared with the duration of an answer, which is seconds.
	LoadReportInterval = 200 * time.Millisecond
	// loadReportExpiry is the age at which the report of another entry expires,
	// since the entry may have ended.
	loadReportExpiry = 4 * LoadReportInterval
)

// Load is the load that an entry puts on one upstream.
type Load struct {
	// Upstream is the instance ID of the upstream.
	Upstream string
	// Runs is the number of requests in flight, and PendingTokens the number of
	// their prompt tokens that wait for prefill.
	Runs          int
	PendingTokens int
}

// LongPromptShare is the share of the upstreams of a service that an entry wants for
// requests with long prompts.
type LongPromptShare struct {
	Service string
	Share   float64
}

// LoadReport is what an entry tells the others.
type LoadReport struct {
	// Loads is the complete load of the entry on all upstreams.
	Loads []Load
	// Placements are the placements since the previous report.
	Placements []Placement
	// Shares has the services in which the entry separates requests with long prompts.
	Shares []LongPromptShare
	// Lost has the instance IDs of the upstreams to which the entry could not connect, or
	// which closed a connection during a request, since the previous report.
	Lost []string
	// Kinds has what the entry has learned of the requests of each service. It is in
	// one report of kindReportDivisor.
	Kinds []ServiceKinds
	// Arrivals are the arrivals since the previous report with arrivals.
	Arrivals []Arrivals
	// Streams are the streams that the entry has begun since the previous report, while a
	// service has several software versions.
	Streams []resumer.Stream
	// AvailabilityZone is that of the entry. The receiver sets it.
	AvailabilityZone string
}

// ServiceKinds is what an entry has learned of the requests of one service.
type ServiceKinds struct {
	Service string
	Report  separator.Report
}

// Placement means that an upstream has begun to answer a request with a prompt prefix,
// and therefore caches the prefix for a while.
type Placement struct {
	// Upstream is the instance ID of the upstream.
	Upstream string
	Prefix   uint64
}

const (
	// minPlacementTokens is the minimum length in tokens of a prefix whose placement
	// is reported. The prefill of a shorter prefix takes less time than copying it
	// from another upstream.
	minPlacementTokens = 1024
	// maxPlacementsPerReport is the maximum number of placements in one report.
	maxPlacementsPerReport = 512
	// kindReportDivisor is the number of reports of which one has the kinds of requests,
	// so that they are sent each second. Rates and prefill times change more slowly
	// than the load.
	kindReportDivisor = 5
)

// loadExchange is the state of the exchange of load reports with the other entries.
// The zero value has no reports.
type loadExchange struct {
	// reports holds the last report of each other entry by its identity.
	reports map[string]receivedReport
	// lastReportHadLoads is true if the last report of this entry contained loads.
	// The next report must be sent even if it is empty, to remove them.
	lastReportHadLoads bool
	// placements are the placements since the last report of this entry.
	placements []Placement
	// lost has the upstreams for the next report.
	lost []string
	// ticks is the number of ticks so far.
	ticks int
}

// receivedReport is a report of another entry, reduced to the upstreams that were
// known on receipt.
type receivedReport struct {
	receivedAt time.Time
	loads      []Load
	shares     []LongPromptShare
	// kinds are those of the last report that had some.
	kinds []ServiceKinds
	// availabilityZone is that of the entry.
	availabilityZone string
}

// recordPlacement records the upstream that has begun to answer a request with a long
// prefix, for the next report.
func (d *Dispatcher) recordPlacement(f *inFlightRequest) {
	if f.request.Prefix != 0 && f.request.PrefixTokens >= minPlacementTokens && len(d.exchange.placements) < maxPlacementsPerReport {
		d.exchange.placements = append(d.exchange.placements, Placement{f.upstream, f.request.Prefix})
	}
}

// recordLost records an upstream that was lost or not reached, for the next report.
func (d *Dispatcher) recordLost(upstream string) {
	if !slices.Contains(d.exchange.lost, upstream) {
		d.exchange.lost = append(d.exchange.lost, upstream)
	}
}

// receiveLoad replaces the last report of another entry.
func (d *Dispatcher) receiveLoad(now time.Time, entry string, r LoadReport) {
	if d.exchange.reports == nil {
		d.exchange.reports = map[string]receivedReport{}
	}
	last := d.exchange.reports[entry]
	d.addSharedLoads(now, last.loads, -1)
	kinds := last.kinds
	if len(r.Kinds) > 0 {
		kinds = r.Kinds
		d.learnKinds(now, kinds)
	}
	d.exchange.reports[entry] = receivedReport{now, d.addSharedLoads(now, r.Loads, 1), r.Shares, kinds, r.AvailabilityZone}
	if d.MeasuresDemand() {
		d.demand.receive(now, entry, r)
	}
	d.resumer.HandleEvent(now, resumer.Event{Kind: resumer.EventLearned, Streams: r.Streams})
	for _, id := range r.Lost {
		for _, s := range d.services {
			if _, ok := s.upstreams[id]; ok {
				s.picker.Step(now, picker.Event{Kind: picker.EventDoubted, Upstream: id, Entry: entry})
			}
		}
	}
	for _, p := range r.Placements {
		for _, s := range d.services {
			if _, ok := s.upstreams[p.Upstream]; ok {
				s.picker.Step(now, picker.Event{Kind: picker.EventCached, Upstream: p.Upstream, Prefix: p.Prefix})
			}
		}
	}
}

// addSharedLoads adds loads of another entry to the shared load of the upstreams,
// which is the load of all other entries, if sign is 1, or subtracts them if sign
// is -1. It returns the loads on upstreams that this entry
// knows.
func (d *Dispatcher) addSharedLoads(now time.Time, loads []Load, sign int) (known []Load) {
	for _, l := range loads {
		for _, s := range d.services {
			if _, ok := s.upstreams[l.Upstream]; ok {
				s.picker.Step(now, picker.Event{
					Kind: picker.EventShared, Upstream: l.Upstream, RunsDelta: sign * l.Runs, PromptTokens: sign * l.PendingTokens,
				})
				known = append(known, l)
			}
		}
	}
	return known
}

// forgetSharedLoads removes the loads on upstreams that are no longer in the list from the
// reports of the other entries and from the shared load. An upstream that comes back with
// the same instance ID would keep them otherwise. It must be called while the services
// still have the upstreams that have left.
func (d *Dispatcher) forgetSharedLoads(now time.Time) {
	hasLeft := func(l Load) bool {
		_, ok := d.serviceNames[l.Upstream]
		return !ok
	}
	for entry, r := range d.exchange.reports {
		for _, l := range r.loads {
			if hasLeft(l) {
				d.addSharedLoads(now, []Load{l}, -1)
			}
		}
		r.loads = slices.DeleteFunc(r.loads, hasLeft)
		d.exchange.reports[entry] = r
	}
}

// SharedRuns returns the number of requests that the other entries have in flight
// according to their last reports.
func (d *Dispatcher) SharedRuns() int {
	n := 0
	for _, r := range d.exchange.reports {
		for _, l := range r.loads {
			n += l.Runs
		}
	}
	return n
}

// tick deletes expired reports and returns the report of this entry. An entry
// without load and placements sends no report, unless one of arrivals is due: the others
// must know that it is there and has no demand.
func (d *Dispatcher) tick(now time.Time) []Action {
	for entry, r := range d.exchange.reports {
		if now.Sub(r.receivedAt) >= loadReportExpiry {
			d.addSharedLoads(now, r.loads, -1)
			delete(d.exchange.reports, entry)
		}
	}
	d.sumShares()
	d.sumKinds()
	var report LoadReport
	d.exchange.ticks++
	withKinds := d.exchange.ticks%kindReportDivisor == 0
	for name, s := range d.services {
		if share := s.separator.Share(); share > 0 {
			report.Shares = append(report.Shares, LongPromptShare{name, share})
		}
		if withKinds {
			report.Kinds = s.appendKinds(now, name, report.Kinds)
		}
		for _, id := range s.instanceIDs {
			if u := s.picker.Upstream(id); u != nil && u.Outstanding > 0 {
				report.Loads = append(report.Loads, Load{id, u.OwnRuns(), u.PendingTokens})
			}
		}
	}
	report.Placements, report.Lost = d.exchange.placements, d.exchange.lost
	arrivals, arrivalsDue := d.demand.takeDue(now)
	report.Arrivals = arrivals
	report.Streams = d.resumer.TakeReport(now)
	if len(report.Loads)+len(report.Placements)+len(report.Lost)+len(report.Streams) == 0 && !d.exchange.lastReportHadLoads && !arrivalsDue {
		return nil
	}
	d.exchange.lastReportHadLoads, d.exchange.placements, d.exchange.lost = len(report.Loads) > 0, nil, nil
	return []Action{{Kind: ActionSendLoad, Report: report}}
}

// sumShares adds up the shares of long prompts in the reports of the other entries.
func (d *Dispatcher) sumShares() {
	for _, s := range d.services {
		s.sharesSum, s.sharesCount = 0, 0
	}
	for _, r := range d.exchange.reports {
		for _, x := range r.shares {
			if s := d.services[x.Service]; s != nil {
				s.sharesSum += x.Share
				s.sharesCount++
			}
		}
	}
}

// longPromptShare returns the share of the upstreams for requests with long prompts:
// the mean of the shares of all entries that separate such requests. Entries must use
// the same upstreams, and each sees only a part of the traffic.
func (s *service) longPromptShare() float64 {
	own := s.separator.Share()
	if own == 0 {
		return 0
	}
	return (own + s.sharesSum) / float64(1+s.sharesCount)
}
