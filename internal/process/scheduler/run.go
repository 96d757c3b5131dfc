package scheduler

import (
	"time"

	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

// Key identifies one attempt to run a request.
type Key struct {
	Request string
	Attempt int
}

// Run is one attempt to run a request on this upstream.
type Run struct {
	Key
	Class string
	// Tier is 1 for the most urgent to 8. Any other value counts as 8.
	Tier         int
	Organisation string
	Arrived      time.Time
	// FirstTokenBy and AnswerBy are the times at which the first token and the
	// complete answer are due by the targets of the class. Zero means no target.
	FirstTokenBy time.Time
	AnswerBy     time.Time
	// TokenGapTarget is the target for the time between tokens. Zero means no
	// target.
	TokenGapTarget time.Duration
	// NotPreemptible is true for a run that must not be interrupted after it has
	// started, because its side effects must not be repeated.
	NotPreemptible bool
	PromptTokens   int
	// ExpectedTokens is the estimated length of the whole answer. Zero means
	// unknown.
	ExpectedTokens int
	// ResumeFrom is the number of tokens that were generated before and that the
	// caller already has.
	ResumeFrom int
	// StartBy is the latest start with which the run meets its targets. The
	// scheduler sets it. Zero means no target.
	StartBy time.Time
}

// Capacity is the configured load that the upstream can run within its targets.
type Capacity struct {
	// Slots is the largest number of active runs.
	Slots int
	// KVTokens is the size of the KV cache in tokens. Zero means no limit.
	KVTokens int
	// QueueLimit is the largest number of waiting runs of each class. Zero means
	// no limit. Preempted runs, at most one for each slot, may exceed it.
	QueueLimit int
}

// EventKind is the kind of an [Event].
type EventKind int

// The kinds of events.
const (
	// EventTicked reports that the time returned by [Scheduler.Wake] was reached.
	EventTicked EventKind = iota
	// EventConfigured sets the capacity.
	EventConfigured
	// EventSubmitted adds a new run.
	EventSubmitted
	// EventAdvanced reports new tokens of an active run.
	EventAdvanced
	// EventEnded reports that an active run finished or was lost.
	EventEnded
	// EventWithdrawn cancels a waiting or active run.
	EventWithdrawn
)

// Event is an input of [Scheduler.Step]. Only the fields of its kind are set.
type Event struct {
	Kind EventKind
	// Run is the run of an EventSubmitted.
	Run Run
	// Key identifies the run of an EventAdvanced, EventEnded or EventWithdrawn.
	Key Key
	// Tokens is the number of new tokens of an EventAdvanced.
	Tokens int
	// Capacity is the capacity of an EventConfigured.
	Capacity Capacity
}

// ActionKind is the kind of an [Action].
type ActionKind int

// The kinds of actions.
const (
	// ActionStart starts the run on the upstream, or resumes it after ResumeFrom
	// tokens.
	ActionStart ActionKind = iota
	// ActionPreempt stops an active run, which returns to its queue.
	ActionPreempt
	// ActionShed refuses a run that was never handed to an upstream.
	ActionShed
	// ActionReturn returns a run that was handed to this or another upstream
	// before. The first ResumeFrom tokens of its answer are valid, and another
	// upstream may resume it, but it must not be reported as not executed. If the
	// run is active, it is stopped as well.
	ActionReturn
	// ActionStop stops an active run that was withdrawn.
	ActionStop
)

// Reason says why a run was preempted, shed or returned.
type Reason string

// The reasons.
const (
	// ReasonQueueFull means that the queue of the class is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDeadline means that the target cannot be met on this upstream.
	ReasonDeadline Reason = "deadline"
	// ReasonTooLarge means that the run does not fit into an empty KV cache.
	ReasonTooLarge Reason = "too_large"
	// ReasonTier means that a run of a higher tier needs the capacity of the run.
	ReasonTier Reason = "tier"
	// ReasonCacheFull means that the active runs exceed the KV cache.
	ReasonCacheFull Reason = "cache_full"
)

// Action is an instruction to the caller of [Scheduler.Step].
type Action struct {
	Kind       ActionKind
	Key        Key
	ResumeFrom int
	Tier       int
	Reason     Reason
	// Cause is the run that preempts this one. It is empty for
	// [ReasonCacheFull].
	Cause Key
	// Floor is true for the start of a floor run, which keeps its class from
	// starving.
	Floor bool
}

// Load is the load of one upstream as it is reported to the entries.
type Load struct {
	Waiting int `json:"waiting"`
	Active  int `json:"active"`
	// Slots is the current limit of active runs, which may be lower than the
	// configured number of slots.
	Slots int `json:"slots"`
	// TokenRate is the number of tokens generated per second, over all runs.
	TokenRate int `json:"token_rate,omitempty"`
	// ExpectedWait is the expected time in milliseconds until a new run of each
	// tier can start, tier 1 first. If the policy preempts, preemptible runs of
	// lower tiers do not count, since they are preempted in time.
	ExpectedWait [descriptor.Tiers]int `json:"expected_wait"`
}
