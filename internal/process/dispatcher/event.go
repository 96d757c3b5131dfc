package dispatcher

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

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
	// Stream is the digest of the identity of the request that begins the stream: the
	// request itself or, if TakesUp is true, the one that began the stream that it takes up.
	Stream  uint64
	TakesUp bool
}

// EventKind is the kind of an [Event].
type EventKind int

// The kinds of events.
const (
	// EventArrived carries a new request.
	EventArrived EventKind = iota
	// EventProgress means that events of an answer arrived.
	EventProgress
	// EventSent means that the request of a contested attempt was written.
	EventSent
	// EventSilent means that an attempt has made no progress for its idle timeout. It
	// goes on, but is contested from then on.
	EventSilent
	// EventReady means that a contested attempt has a part of its answer for the caller.
	// It waits for ActionRelay.
	EventReady
	// EventOverlapEnded is due at [Dispatcher.OverlapEndsAt].
	EventOverlapEnded
	// EventEnded means that an attempt has ended.
	EventEnded
	// EventAborted means that a request cannot be continued after a fault of the
	// program.
	EventAborted
	// EventConfigured carries a configuration.
	EventConfigured
	// EventUpstreams carries the upstreams that may get requests, and as Registered all that
	// are registered, such as those that are draining.
	EventUpstreams
	// EventEntryCount carries the number of entries of the system.
	EventEntryCount
	// EventStrikesReceived carries strikes that another entry sent.
	EventStrikesReceived
	// EventStrikesLearned carries the strikes that another entry knows, after the start.
	// If Complete is true, the entry has learned enough to begin.
	EventStrikesLearned
	// EventVersionsRecalled carries the software versions that all entries have kept in the
	// platform, after the start and after an ActionRecallVersions.
	EventVersionsRecalled
	// EventVersionsKept carries the Record of an ActionKeepVersions that the platform has
	// acknowledged.
	EventVersionsKept
	// EventVersionsReceived carries the Reply of Entry to an ActionFetchVersions.
	EventVersionsReceived
	// EventTakeUpDue is due at [Dispatcher.TakeUpDueAt].
	EventTakeUpDue
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
	// EventStopping means that the entry has begun to stop, as Stop says.
	EventStopping
	// EventFinalAnswers is due at [Dispatcher.FinalAnswersAt].
	EventFinalAnswers
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
	// ID and Attempt identify the attempt of EventProgress, EventSent, EventSilent,
	// EventReady and EventEnded. ID identifies the request of EventAborted.
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
	// Empty is true if the answer to an attempt that resumes a stream has ended and has no
	// event after LastEvent, which another upstream is to confirm.
	Empty bool

	// Upstream and RetryAfter are set for EventHeldBack.
	Upstream   registrar.Upstream
	RetryAfter time.Duration

	Table     *matcher.Table
	Upstreams []registrar.Upstream
	// Registered is set for EventUpstreams.
	Registered []registrar.Upstream
	Entries    int
	Strikes    []detector.Strike
	Synced     bool
	Complete   bool
	// Entry is the identity of the entry that sent the Report of EventLoadReceived or the
	// Reply of EventVersionsReceived.
	Entry  string
	Report LoadReport
	// RetryRatio and RetryCapacity replace the values of [Settings], with
	// EventRetryBudget.
	RetryRatio    float64
	RetryCapacity float64
	// Stop is set for EventStopping.
	Stop Stop
	// Recall, Record and Reply are set for EventVersionsRecalled, EventVersionsKept and
	// EventVersionsReceived.
	Recall resumer.Recall
	Record resumer.Record
	Reply  resumer.Reply
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
	// ActionResume makes the suspended attempt the current one again, in place of the
	// attempt that was current, if there is another, which ends.
	ActionResume
	// ActionRelay lets a contested attempt relay its answer. It is contested no longer.
	ActionRelay
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
	// ActionCountUsage counts a request of Organisation that an upstream has begun.
	ActionCountUsage
	// ActionKeepVersions keeps Record in the platform, in place of the last one.
	ActionKeepVersions
	// ActionRecallVersions reads what all entries have kept, in a call that begins after the
	// action. Its result has the same Ticket.
	ActionRecallVersions
	// ActionShareVersions tells a few other entries of the streams Shared.
	ActionShareVersions
	// ActionFetchVersions asks all other entries for the versions of Streams.
	ActionFetchVersions
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
	// Contested is true if another attempt at the request is suspended.
	Contested bool
	Begun     bool
	LastEvent string
	// EndIfEmpty is true if an earlier attempt to resume the stream had no event after
	// LastEvent.
	EndIfEmpty bool
	Failure    *admitter.Failure
	Strikes    []detector.Strike
	// Received is true if the strikes of ActionSendStrikes came from another entry.
	Received bool
	// Report is set for ActionSendLoad.
	Report LoadReport
	// Separation is set for ActionRoutesSeparated.
	Separation Separation
	// RetryAfter is set for ActionUpstreamHeldBack.
	RetryAfter time.Duration
	// Record is set for ActionKeepVersions, Ticket for ActionRecallVersions, Streams for
	// ActionFetchVersions and Shared for ActionShareVersions.
	Record  resumer.Record
	Ticket  uint64
	Streams []uint64
	Shared  []resumer.Stream
	// Summary describes the request for logs and metrics.
	Summary Summary
}
