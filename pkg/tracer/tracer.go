// Package tracer defines the events of the timeline.
//
// Each process records its actions as a sequence of typed events. Every event
// has a [Stamp], a timestamp of a hybrid logical clock: the wall clock of the
// process, advanced whenever a message arrives with a later stamp. Sorting the
// events of several processes by stamp yields an order that respects causality,
// even if the wall clocks of two VMs disagree.
//
// # Usage
//
//	var c tracer.Stamp
//	c = c.Next(now)              // for each recorded event or sent message
//	c = c.Merge(received, now)   // for each received message
//	if a.Compare(b) < 0 {
//		// a did not happen after b
//	}
package tracer

import (
	"cmp"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock, after Kulkarni et al.,
// "Logical Physical Clocks" (2014). The zero value orders before all others.
type Stamp struct {
	// Wall is the wall time in nanoseconds since the Unix epoch.
	Wall int64 `json:"wall"`
	// Logical is the logical counter, which orders stamps of equal wall time.
	Logical int64 `json:"logical,omitempty"`
}

// Next returns the stamp of the next event of a process whose latest stamp is s.
func (s Stamp) Next(now time.Time) Stamp {
	if w := now.UnixNano(); w > s.Wall {
		return Stamp{Wall: w}
	}
	return Stamp{Wall: s.Wall, Logical: s.Logical + 1}
}

// Merge returns the stamp for the receipt of a message with the stamp other, in
// a process whose latest stamp is s.
func (s Stamp) Merge(other Stamp, now time.Time) Stamp {
	if other.Compare(s) > 0 {
		s = other
	}
	return s.Next(now)
}

// Compare returns a negative number if s is before other, zero if they are
// equal and a positive number otherwise.
func (s Stamp) Compare(other Stamp) int {
	if c := cmp.Compare(s.Wall, other.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Logical, other.Logical)
}

// Kind is the type of an event, as encoded in JSON.
type Kind string

// The kinds of events.
const (
	// Events of a request. The entry records KindAdmitted, KindSent and KindAnswered.
	// The agent of the upstream records KindQueued, KindStarted, KindPreempted,
	// KindResumed, KindShed and KindFinished. Both record the other kinds.
	KindAdmitted   Kind = "admitted"
	KindRefused    Kind = "refused"
	KindSent       Kind = "sent"
	KindQueued     Kind = "queued"
	KindStarted    Kind = "started"
	KindFirstToken Kind = "first_token"
	KindPreempted  Kind = "preempted"
	KindResumed    Kind = "resumed"
	KindShed       Kind = "shed"
	KindFinished   Kind = "finished"
	KindLost       Kind = "lost"
	KindCancelled  Kind = "cancelled"
	KindAnswered   Kind = "answered"

	// Other events. An order loads a model on an engine or unloads it. A claim
	// reserves an idempotency key. A request is quarantined when its content is
	// suspected of having crashed several upstreams.
	KindRevisionInForce Kind = "revision_in_force"
	KindRevisionRefused Kind = "revision_refused"
	KindLeaseWon        Kind = "lease_won"
	KindLeaseLost       Kind = "lease_lost"
	KindMemberJoined    Kind = "member_joined"
	KindMemberLeaving   Kind = "member_leaving"
	KindMemberGone      Kind = "member_gone"
	KindOrderGiven      Kind = "order_given"
	KindOrderRefused    Kind = "order_refused"
	KindClaimed         Kind = "claimed"
	KindQuarantined     Kind = "quarantined"
	KindViolation       Kind = "violation"

	// KindProcessStarted is the first event of a process. A graceful stop begins
	// with KindProcessStopping and ends with KindProcessStopped.
	KindProcessStarted  Kind = "process_started"
	KindProcessStopping Kind = "process_stopping"
	KindProcessStopped  Kind = "process_stopped"
	// KindFaultBegan and KindFaultEnded are recorded by tests that inject faults.
	// The event's Reason is the name of the fault.
	KindFaultBegan Kind = "fault_began"
	KindFaultEnded Kind = "fault_ended"
)

// ReasonConnectionClosed is the Reason of the [KindCancelled] event of a run that
// was cancelled because the connection to its entry was closed.
const ReasonConnectionClosed = "connection_closed"

// Event is one event of the timeline. Fields that do not apply to its kind are
// zero.
type Event struct {
	Stamp            Stamp  `json:"stamp"`
	Process          string `json:"process"`
	AvailabilityZone string `json:"availability_zone,omitempty"`
	Kind             Kind   `json:"kind"`
	Request          string `json:"request,omitempty"`
	Attempt          int    `json:"attempt,omitempty"`
	Class            string `json:"class,omitempty"`
	Tier             int    `json:"tier,omitempty"`
	Organisation     string `json:"organisation,omitempty"`
	Upstream         string `json:"upstream,omitempty"`
	Reason           string `json:"reason,omitempty"`
	// Cause is the identity of the request for which this one was preempted.
	Cause    string `json:"cause,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	Tokens   int    `json:"tokens,omitempty"`
	Outcome  string `json:"outcome,omitempty"`
	// NotRepeatable is true for a request that must run at most once.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
	// Operation identifies an operation for which its caller may send several
	// requests. It is a hash of the organisation and the idempotency key.
	Operation string `json:"operation,omitempty"`
	// Floor is true for a floor run: a run that got the next free slot, whatever its
	// tier, because its class had waited too long. This prevents starvation.
	Floor bool `json:"floor,omitempty"`
	// Promise is the number of the promise (an invariant of the system) that a
	// violation breaks, such as P1.
	Promise string `json:"promise,omitempty"`
	// Model or Service is the target of an admitted request. PromptTokens is the
	// estimated length of its prompt.
	Model        string `json:"model,omitempty"`
	Service      string `json:"service,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	// The latency targets of the class are set on admitted events. Gap is the
	// longest time between two consecutive tokens of an answered request. All are
	// encoded in nanoseconds.
	FirstTokenTarget time.Duration `json:"first_token_target,omitempty"`
	TokenGapTarget   time.Duration `json:"token_gap_target,omitempty"`
	AnswerTarget     time.Duration `json:"answer_target,omitempty"`
	Gap              time.Duration `json:"gap,omitempty"`
}
