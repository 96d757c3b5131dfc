// Package dispatcher schedules the requests of an entry that calls its upstreams
// directly: it admits them, selects upstreams, and retries or fails them.
//
// It is a decision package: [Dispatcher.Step] processes an event and returns
// actions. It does no I/O and is independent of the encoding of messages. It owns
// the requests in flight, the configuration in force, the upstreams, and a picker
// and a retry budget for each service. It combines the packages matcher, picker,
// retrier and detector, which other front ends use as well.
//
// A request is admitted, sent to one upstream, and ends with an answer or a
// failure. If an attempt ends without an answer, a request that was not run may
// be sent to another upstream; a request that may have been run is retried only
// if its route permits another run.
//
// The dispatcher quarantines content and prompt parts that crash upstreams: it gives
// them a strike for each crash and exchanges strikes with the other entries; see
// package detector.
//
// Entries report to each other the load that they put on upstreams and the
// upstreams that cache long prompt prefixes; see [Load] and [Placement]. The
// dispatcher derives the total load of an upstream from these reports and sheds
// deferrable requests that no upstream could begin in time. If it is told to, it also
// derives the demand of the services whose number of upstreams can be ordered; see
// [Demand].
//
// An entry that stops takes, and sends again, only requests that will end before it
// exits, and answers all others before that; see [Stop].
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Settings{AvailabilityZone: "stowe", Seed: 1})
//	d.Step(now, dispatcher.Event{Kind: dispatcher.EventConfigured, Table: table})
//	for _, a := range d.Step(now, dispatcher.Event{Kind: dispatcher.EventArrived, Request: r}) {
//		// execute a
//	}
package dispatcher

import (
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
	"magnoliafront.dev/magnoliafront/internal/process/separator"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// maxInFlight is the maximum number of requests in flight of an entry.
const maxInFlight = 4096

// Settings configures a dispatcher.
type Settings struct {
	AvailabilityZone string
	Seed             uint64
	// RetryRatio and RetryCapacity are the retry budget of each service: all entries
	// together may send RetryRatio retries per request and accumulate up to
	// RetryCapacity unused retries.
	RetryRatio    float64
	RetryCapacity float64
	// MeasureDemand is true if the demand of services with limits for the number of their
	// upstreams is measured and reported to the other entries; see [Dispatcher.Demand].
	MeasureDemand bool
	// CountUsage is true if the requests that upstreams begin are counted.
	CountUsage bool
	// StrikesWait bounds the time in which an entry that has just started holds requests,
	// until it has a configuration, upstreams and the strikes that the other entries know. Zero means
	// that it does not wait.
	StrikesWait time.Duration
	// KeepVersions is true if the software versions of streams are kept in the platform, and
	// recalled after the start.
	KeepVersions bool
}

// Dispatcher holds the requests in flight and the state of all services of an
// entry. Create it with [New].
type Dispatcher struct {
	settings Settings
	// table is the configuration in force, or nil before the first one.
	table *matcher.Table
	// synced is true while the configuration is known to be up to date.
	synced bool
	// entries is the number of entries of the system.
	entries  int
	detector detector.Detector
	services map[string]*service
	// serviceNames holds the name of the service of each upstream that may get requests,
	// by instance ID.
	serviceNames map[string]string
	inFlight     map[string]*inFlightRequest
	// contents holds by fingerprint the number of requests in flight.
	contents map[string]int
	// strikesLearned is true once the entry knows the strikes of the others, or has
	// waited for them until strikesDue.
	strikesLearned bool
	strikesDue     time.Time
	// upstreamsListed is true once the upstreams are known.
	upstreamsListed bool
	// held holds the requests that arrived while the entry was starting, in that order.
	held []Request
	// suspended holds the requests in flight that have a suspended attempt.
	suspended map[string]*inFlightRequest
	// trial is the ID of the last request that was sent on trial.
	trial    string
	exchange loadExchange
	demand   demandMeter
	// resumer knows at which software version streams may go on.
	resumer *resumer.Resumer
	// versionsRecalled is true once it knows what the entries have kept.
	versionsRecalled bool
	// takeUps holds the requests that wait for the version of the stream that they take up.
	takeUps takeUpQueue
	// stop is set once the entry stops, and finalAnswersGiven is true once the requests
	// without an answer have got a final one.
	stop              Stop
	finalAnswersGiven bool
}

// service holds the load balancer, the retry budget and the upstreams of one
// service.
type service struct {
	picker    *picker.Picker[picker.LeastBacklog]
	budget    retrier.Budget
	separator separator.Separator
	// sharesSum is the sum of the shares of long prompts in the reports of
	// sharesCount other entries.
	sharesSum   float64
	sharesCount int
	// notReporting is the number of other entries that have loads on the upstreams, and
	// whose reports have had no kinds of requests so far.
	notReporting int
	// upstreams holds the upstreams that may get requests by instance ID, and
	// instanceIDs lists their instance IDs in the order of the last update.
	upstreams   map[string]registrar.Upstream
	instanceIDs []string
	// missShare is the mean share of the prompt tokens that upstreams have to prefill.
	missShare float64
	// deferredTokens is the number of prompt tokens to prefill for the deferred requests
	// of this entry that wait for their first event.
	deferredTokens int
	// usualSlots is the median of the known numbers of slots of the upstreams.
	usualSlots int
}

// New returns a dispatcher without a configuration and without upstreams.
func New(s Settings) *Dispatcher {
	return &Dispatcher{
		settings: s, entries: 1, services: map[string]*service{},
		inFlight: map[string]*inFlightRequest{}, suspended: map[string]*inFlightRequest{},
		contents: map[string]int{}, resumer: resumer.New(), versionsRecalled: !s.KeepVersions, strikesLearned: s.StrikesWait == 0,
		// Zero is the observer of strikes from entries that send none.
		detector: detector.Detector{ID: s.Seed + 1, Mesh: true},
	}
}

// Step processes one event and returns the resulting actions.
func (d *Dispatcher) Step(now time.Time, e Event) []Action {
	d.updateStrikesLearned(now)
	return slices.Concat(d.handle(now, e), d.admitHeld(now), d.shareVersions(), d.keepVersions(now))
}

func (d *Dispatcher) handle(now time.Time, e Event) []Action {
	switch e.Kind {
	case EventArrived:
		return d.arrive(now, e.Request)
	case EventProgress:
		return d.recordProgress(now, e)
	case EventSent, EventSilent, EventReady, EventOverlapEnded:
		return d.handleOverlap(now, e)
	case EventEnded:
		return d.endAttempt(now, e)
	case EventAborted:
		return d.abort(now, e.ID)
	case EventConfigured:
		d.configure(now, e.Table)
	case EventUpstreams:
		d.listVersions(now, e)
		return d.updateUpstreams(now, e.Upstreams)
	case EventEntryCount:
		d.entries = max(1, e.Entries)
		d.setBudgets()
	case EventVersionsRecalled, EventVersionsKept, EventVersionsReceived, EventTakeUpDue:
		return d.handleVersions(now, e)
	case EventRetryBudget:
		d.settings.RetryRatio, d.settings.RetryCapacity = e.RetryRatio, e.RetryCapacity
		d.setBudgets()
	case EventStrikesReceived:
		return d.receiveStrikes(now, e.Strikes)
	case EventStrikesLearned:
		d.learnStrikes(now, e)
	case EventLoadReceived:
		d.receiveLoad(now, e.Entry, e.Report)
	case EventTick:
		return append(d.tick(now), sendStrikes(d.detector.RepeatedStrikes(now))...)
	case EventSynced:
		d.synced = e.Synced
	case EventHeldBack:
		return d.holdBack(now, e)
	case EventStopping:
		d.stop = e.Stop
	case EventFinalAnswers:
		return d.giveFinalAnswers(now)
	}
	return nil
}

// configure puts a configuration in force unless it is older than the present one.
func (d *Dispatcher) configure(now time.Time, t *matcher.Table) {
	if d.table != nil && t.Configuration.Version <= d.table.Configuration.Version {
		return
	}
	d.table = t
	if d.settings.MeasureDemand {
		d.demand.configure(now, t.Configuration.Services)
	}
}

// service returns the service with the given name. It is created on first use.
func (d *Dispatcher) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{
			picker:    picker.New[picker.LeastBacklog](d.settings.Seed),
			upstreams: map[string]registrar.Upstream{},
			budget:    retrier.Budget{CountAllRetries: true},
			missShare: 1,
		}
		d.services[name] = s
		d.setBudget(s)
	}
	return s
}

const (
	// usableBudgetShare is the share of the configured retry budget that is used.
	// The rest covers restarts, since an entry that has just started does not know
	// how many retries it sent before.
	usableBudgetShare = 0.7
	// minRetryCapacity is the minimum number of unused retries that an entry may
	// accumulate.
	minRetryCapacity = 1
)

// setBudget sets the share of this entry in the retry budget of s.
func (d *Dispatcher) setBudget(s *service) {
	s.budget.RetryRatio = usableBudgetShare * d.settings.RetryRatio
	s.budget.Capacity = max(minRetryCapacity, usableBudgetShare*d.settings.RetryCapacity/float64(d.entries))
}

func (d *Dispatcher) setBudgets() {
	for _, s := range d.services {
		d.setBudget(s)
	}
}

// updateUpstreams replaces the upstreams that may get requests.
func (d *Dispatcher) updateUpstreams(now time.Time, all []registrar.Upstream) []Action {
	d.upstreamsListed = true
	byService := map[string]map[string]registrar.Upstream{}
	d.serviceNames = make(map[string]string, len(all))
	for _, u := range all {
		if byService[u.Service] == nil {
			byService[u.Service] = map[string]registrar.Upstream{}
		}
		byService[u.Service][u.InstanceID()] = u
		d.serviceNames[u.InstanceID()] = u.Service
	}
	for name := range byService {
		d.service(name)
	}
	d.forgetSharedLoads(now)
	var out []Action
	for name, s := range d.services {
		for id, u := range s.upstreams {
			if _, ok := byService[name][id]; !ok {
				s.picker.Step(now, picker.Event{Kind: picker.EventLeaving, Upstream: id})
				out = append(out, Action{Kind: ActionRemoveUpstream, Upstream: u})
			}
		}
		s.instanceIDs = s.instanceIDs[:0]
		for _, u := range all {
			if u.Service != name {
				continue
			}
			id := u.InstanceID()
			if old, ok := s.upstreams[id]; !ok || old != u {
				s.picker.Step(now, picker.Event{Kind: picker.EventConnected, Upstream: id, AvailabilityZone: u.AvailabilityZone, Slots: u.Slots})
			}
			s.instanceIDs = append(s.instanceIDs, id)
		}
		s.upstreams = byService[name]
		s.usualSlots = medianSlots(s.upstreams)
		s.picker.RemoveIdle(now)
	}
	return out
}

// receiveStrikes applies strikes of another entry and returns an action that sends
// on those that this entry did not know yet.
func (d *Dispatcher) receiveStrikes(now time.Time, strikes []detector.Strike) []Action {
	var changed []detector.Strike
	for _, s := range strikes {
		changed = append(changed, d.detector.Step(now, detector.Event{Kind: detector.EventStrikeReceived, Strike: s})...)
	}
	out := sendStrikes(changed)
	for i := range out {
		out[i].Received = true
	}
	return out
}

func sendStrikes(strikes []detector.Strike) []Action {
	if len(strikes) == 0 {
		return nil
	}
	return []Action{{Kind: ActionSendStrikes, Strikes: strikes}}
}
