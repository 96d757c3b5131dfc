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
// deferrable requests that no upstream could begin in time.
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
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/process/separator"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
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
}

// Request holds the properties of a caller's request that decisions depend on.
type Request struct {
	ID       string
	Received time.Time
	// Deadline is the time at which the caller stops waiting, or the zero time if
	// the request has no deadline header.
	Deadline time.Time
	Query    matcher.Query
	// Prefix is the hash of the prompt prefix that other requests may share, or
	// zero if there is none. PrefixTokens is its length, and PromptTokens the
	// length of the whole prompt.
	Prefix       uint64
	PrefixTokens int
	PromptTokens int
	// Parts are the hashes of the parts of the prompt that other requests may share.
	Parts []uint64
	// Digest is a hash of the content. A retry by the caller has the same digest.
	Digest string
}

// EventKind is the kind of an [Event].
type EventKind int

// The kinds of events.
const (
	// EventArrived carries a new request.
	EventArrived EventKind = iota
	// EventProgress means that events of an answer arrived.
	EventProgress
	// EventSent means that the request of an attempt was written. It is due only
	// while an earlier attempt is suspended.
	EventSent
	// EventSilent means that an attempt has made no progress for its idle timeout. It
	// is suspended until ActionResume.
	EventSilent
	// EventEnded means that an attempt has ended.
	EventEnded
	// EventAborted means that a request cannot be continued after a fault of the
	// program.
	EventAborted
	// EventConfigured carries a configuration.
	EventConfigured
	// EventUpstreams carries the upstreams that may get requests.
	EventUpstreams
	// EventEntryCount carries the number of entries of the system.
	EventEntryCount
	// EventStrikesReceived carries strikes that another entry sent.
	EventStrikesReceived
	// EventRetryBudget carries new settings of the retry budget.
	EventRetryBudget
	// EventLoadReceived carries the load report of another entry.
	EventLoadReceived
	// EventTick is due every LoadReportInterval. It returns the load report of this
	// entry as an ActionSendLoad and deletes expired reports of others.
	EventTick
	// EventSynced means that the entry became synced with the platform, or is no
	// longer synced.
	EventSynced
	// EventHeldBack means that Upstream wants no requests from this entry for
	// RetryAfter, as it said in the answer to request ID.
	EventHeldBack
)

// AttemptOutcome is the way in which an attempt ended.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	// OutcomeAnswered means that the caller has received the whole answer.
	OutcomeAnswered AttemptOutcome = iota
	// OutcomeFailed means that the upstream ran the request and answered with an
	// error, which has not been forwarded to the caller.
	OutcomeFailed
	// OutcomeRefused means that the upstream did not run the request.
	OutcomeRefused
	// OutcomeNotSent means that nothing was sent.
	OutcomeNotSent
	// OutcomeLost means that the request was sent and no complete answer arrived.
	OutcomeLost
	// OutcomeCrashed is OutcomeLost after the upstream closed the connection.
	OutcomeCrashed
	// OutcomeExpired means that the deadline of the request passed.
	OutcomeExpired
	// OutcomeCancelled means that the caller disconnected.
	OutcomeCancelled
)

// Event is an input of the dispatcher. Only the fields of its kind are set.
type Event struct {
	Kind    EventKind
	Request Request
	// ID and Attempt identify the attempt of EventProgress, EventSent, EventSilent
	// and EventEnded. ID identifies the request of EventAborted.
	ID      string
	Attempt int
	// First is true for the first event of an answer, which arrived Elapsed after
	// the request was sent. In a later EventProgress, Elapsed is the time in which
	// Events further events arrived. In an EventEnded, Elapsed is the duration of
	// the attempt, set only if the whole answer was buffered.
	First   bool
	Events  int
	Elapsed time.Duration
	Outcome AttemptOutcome
	// Begun is true if the head of the answer was relayed to the caller. LastEvent
	// is the ID of the last event that was relayed. Unresumable is true if no other
	// answer can continue the part that was relayed.
	Begun       bool
	LastEvent   string
	Unresumable bool

	// Upstream and RetryAfter are set for EventHeldBack.
	Upstream   registrar.Upstream
	RetryAfter time.Duration

	Table     *matcher.Table
	Upstreams []registrar.Upstream
	Entries   int
	Strikes   []detector.Strike
	Synced    bool
	// Entry is the identity of the entry that sent the Report of EventLoadReceived.
	Entry  string
	Report LoadReport
	// RetryRatio and RetryCapacity replace the values of [Settings], with
	// EventRetryBudget.
	RetryRatio    float64
	RetryCapacity float64
}

// ActionKind is the kind of an [Action].
type ActionKind int

// The kinds of actions.
const (
	// ActionSend sends an attempt to an upstream.
	ActionSend ActionKind = iota
	// ActionFail answers the caller with Failure. If Begun is true, the connection
	// to the caller must be closed instead, since a part of the answer was sent.
	ActionFail
	// ActionResume lets the suspended attempt go on.
	ActionResume
	// ActionAbandon ends the suspended attempt.
	ActionAbandon
	// ActionForwardError forwards the error response of the upstream to the caller.
	ActionForwardError
	// ActionFinish means that the request was answered or cancelled, so its
	// resources can be released.
	ActionFinish
	// ActionRemoveUpstream means that an upstream gets no more requests.
	ActionRemoveUpstream
	// ActionSendStrikes sends strikes to the other entries.
	ActionSendStrikes
	// ActionSendLoad sends the load report of this entry to the other entries.
	ActionSendLoad
	// ActionRoutesSeparated means that the routes with long prompts have changed.
	ActionRoutesSeparated
	// ActionUpstreamHeldBack means that Upstream gets no requests for RetryAfter. It is
	// returned only if the upstream was not held back before.
	ActionUpstreamHeldBack
)

// Action is an instruction for the caller of [Dispatcher.Step]. Only the fields of
// its kind are set.
type Action struct {
	Kind     ActionKind
	ID       string
	Attempt  int
	Upstream registrar.Upstream
	// CacheSource is the address of another upstream from which Upstream can copy
	// the cached prefix, or empty if there is none.
	CacheSource string
	// Priority and the fields up to LastEvent are set for ActionSend. Begun is also
	// set for ActionFail and ActionFinish.
	Priority     int
	Organisation string
	Deadline     time.Time
	// IdleTimeout is the time without progress after which EventSilent is due. Zero
	// means that it is never due.
	IdleTimeout time.Duration
	DialTimeout time.Duration
	Stream      bool
	Begun       bool
	LastEvent   string
	Failure     *admitter.Failure
	Strikes     []detector.Strike
	// Received is true if the strikes of ActionSendStrikes came from another entry.
	Received bool
	// Report is set for ActionSendLoad.
	Report LoadReport
	// Separation is set for ActionRoutesSeparated.
	Separation Separation
	// RetryAfter is set for ActionUpstreamHeldBack.
	RetryAfter time.Duration
	// Summary describes the request for logs and metrics.
	Summary Summary
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
	inFlight map[string]*inFlightRequest
	// suspended holds the requests in flight that have a suspended attempt.
	suspended map[string]*inFlightRequest
	// trial is the ID of the last request that was sent on trial.
	trial    string
	exchange loadExchange
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
	// upstreams holds the upstreams that may get requests by instance ID, and
	// instanceIDs lists their instance IDs in the order of the last update.
	upstreams   map[string]registrar.Upstream
	instanceIDs []string
	// usualSlots is the median of the known numbers of slots of the upstreams.
	usualSlots int
}

// New returns a dispatcher without a configuration and without upstreams.
func New(s Settings) *Dispatcher {
	return &Dispatcher{
		settings: s, entries: 1, services: map[string]*service{},
		inFlight: map[string]*inFlightRequest{}, suspended: map[string]*inFlightRequest{},
	}
}

// Step processes one event and returns the resulting actions.
func (d *Dispatcher) Step(now time.Time, e Event) []Action {
	switch e.Kind {
	case EventArrived:
		return d.admit(now, e.Request)
	case EventProgress:
		return d.recordProgress(now, e)
	case EventSent:
		d.beginOverlap(now, e)
	case EventSilent:
		return d.handleSilence(now, e)
	case EventEnded:
		return d.endAttempt(now, e)
	case EventAborted:
		return d.abort(now, e.ID)
	case EventConfigured:
		// An older configuration must not replace a newer one.
		if d.table == nil || e.Table.Configuration.Version > d.table.Configuration.Version {
			d.table = e.Table
		}
	case EventUpstreams:
		return d.updateUpstreams(now, e.Upstreams)
	case EventEntryCount:
		d.entries = max(1, e.Entries)
		d.setBudgets()
	case EventRetryBudget:
		d.settings.RetryRatio, d.settings.RetryCapacity = e.RetryRatio, e.RetryCapacity
		d.setBudgets()
	case EventStrikesReceived:
		return d.receiveStrikes(now, e.Strikes)
	case EventLoadReceived:
		d.receiveLoad(now, e.Entry, e.Report)
	case EventTick:
		out := append(d.abandonOverdue(now), d.tick(now)...)
		return append(out, sendStrikes(d.detector.RepeatedStrikes(now))...)
	case EventSynced:
		d.synced = e.Synced
	case EventHeldBack:
		return d.holdBack(now, e)
	}
	return nil
}

// service returns the service with the given name. It is created on first use.
func (d *Dispatcher) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{
			picker:    picker.New[picker.LeastBacklog](d.settings.Seed),
			upstreams: map[string]registrar.Upstream{},
			budget:    retrier.Budget{CountAllRetries: true},
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
	byService := map[string]map[string]registrar.Upstream{}
	for _, u := range all {
		if byService[u.Service] == nil {
			byService[u.Service] = map[string]registrar.Upstream{}
		}
		byService[u.Service][u.InstanceID()] = u
	}
	for name := range byService {
		d.service(name)
	}
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
