package dispatcher

import (
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/process/separator"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// Separation describes the routes whose requests get upstreams of their own.
type Separation struct {
	Routes []string
	// Share is the share of the upstreams that they get.
	Share float64
	// PrefillPerToken is the time in which an upstream prefills a prompt token, as
	// learned from answers.
	PrefillPerToken time.Duration
}

// recordKind tells the separator of a service about a new request. It returns an
// action if the routes with long prompts have changed.
func (d *Dispatcher) recordKind(now time.Time, s *service, f *inFlightRequest) []Action {
	r := f.admission.Route
	if r.Kind != matcher.Streaming {
		return nil
	}
	s.separator.Step(now, separator.Event{
		Kind: separator.EventArrived, Request: r.Name, PromptTokens: f.request.PromptTokens,
		GapTarget: r.GapTarget, LatencyTarget: r.LatencyTarget, Priority: r.Priority,
	})
	if !s.separator.Decide(now, s.fleet(d.entries, f.admission.Service.KVCapacity)) {
		return nil
	}
	return []Action{{Kind: ActionRoutesSeparated, Summary: Summary{Service: f.admission.Service.Name}, Separation: Separation{
		Routes: s.separator.Separated(), Share: s.separator.Share(), PrefillPerToken: s.separator.PrefillPerToken(),
	}}}
}

// appendKinds appends what this entry has learned of the requests of s, if anything.
func (s *service) appendKinds(now time.Time, name string, all []ServiceKinds) []ServiceKinds {
	r := s.separator.Report(now)
	if len(r.Kinds) == 0 {
		return all
	}
	return append(all, ServiceKinds{name, r})
}

// learnKinds tells the separators about the targets of the kinds of requests that another
// entry has reported, of which this one may have got none.
func (d *Dispatcher) learnKinds(now time.Time, all []ServiceKinds) {
	for _, k := range all {
		s := d.services[k.Service]
		if s == nil || d.table == nil {
			continue
		}
		for _, r := range k.Report.Kinds {
			if route, ok := d.table.Route(r.Request); ok {
				s.separator.Step(now, separator.Event{
					Kind: separator.EventKnown, Request: r.Request,
					GapTarget: route.GapTarget, LatencyTarget: route.LatencyTarget, Priority: route.Priority,
				})
			}
		}
	}
}

// sumKinds passes on to the separators what the other entries have reported together.
func (d *Dispatcher) sumKinds() {
	reports := map[string][]separator.Report{}
	notReporting := map[string]int{}
	for _, r := range d.exchange.reports {
		if len(r.kinds) == 0 {
			d.countServices(r.loads, notReporting)
		}
		for _, k := range r.kinds {
			reports[k.Service] = append(reports[k.Service], k.Report)
		}
	}
	for name, s := range d.services {
		s.separator.SetOthers(separator.Sum(reports[name]))
		s.notReporting = notReporting[name]
	}
}

// countServices adds one to the count of each service that has one of the loads.
func (d *Dispatcher) countServices(loads []Load, counts map[string]int) {
	services := map[string]bool{}
	for _, l := range loads {
		services[d.serviceNames[l.Upstream]] = true
	}
	for name := range services {
		counts[name]++
	}
}

// fleet describes the upstreams of s and the entries to its separator.
func (s *service) fleet(entries, kvCapacity int) separator.Fleet {
	return separator.Fleet{
		Engines: len(s.instanceIDs), Slots: s.usualSlots, Entries: entries, NotReporting: s.notReporting,
		KVCapacity: kvCapacity, MissShare: s.missShare,
	}
}

// missShareWeight is the weight of one request in the moving average of missShare.
const missShareWeight = 0.02

// recordMiss records how many of the tokens of a prompt an upstream has to prefill.
func (s *service) recordMiss(tokens, promptTokens int) {
	if promptTokens > 0 {
		s.missShare += missShareWeight * (float64(tokens)/float64(promptTokens) - s.missShare)
	}
}

// medianSlots returns the median of the known numbers of slots, zero if none is known.
func medianSlots(upstreams map[string]registrar.Upstream) int {
	var known []int
	for _, u := range upstreams {
		if u.Slots > 0 {
			known = append(known, u.Slots)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// hasLongPrompt reports whether the prompts of the route of f would delay the streams
// of other requests too much.
func (f *inFlightRequest) hasLongPrompt(s *service) bool {
	return s.separator.IsSeparated(f.admission.Route.Name)
}

// isDeferrable reports whether f must make way for more urgent requests in a burst: it
// has a long prompt, is not of the most urgent priority, and no other request with a
// long prompt is less urgent.
func (f *inFlightRequest) isDeferrable(s *service) bool {
	return f.admission.Priority > 0 && s.separator.IsLeastUrgent(f.admission.Route.Name)
}

// busyDivisor limits how busy an upstream may be for the time to the first event to show
// the prefill time. The prompts before a new one may have at most its tokens divided by
// busyDivisor, and the requests in flight may take at most that part of the slots.
const busyDivisor = 2

// prefillTokens returns the number of prompt tokens that u prefills until the first
// event of a new request, or zero if it is too busy for the time to show their prefill.
func prefillTokens(u *picker.Upstream, promptTokens int) int {
	before := u.PendingTokens + u.SharedPendingTokens
	if busyDivisor*before > promptTokens || busyDivisor*(u.Outstanding+u.SharedRuns) > u.Slots {
		return 0
	}
	return before + promptTokens
}
