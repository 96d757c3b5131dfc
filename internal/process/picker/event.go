package picker

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
)

// EventKind is the kind of an [Event].
type EventKind int

// The kinds of events.
const (
	// EventLoad carries a load report of the agent.
	EventLoad EventKind = iota
	// EventSent means that this entry sent a request to the upstream.
	EventSent
	// EventFirstToken means that the first token of a request arrived, Elapsed
	// after the request was sent. Elapsed is zero if the class has no target for
	// the first token, since its requests may have queued behind other classes.
	EventFirstToken
	// EventTokens means that Tokens further tokens arrived, Elapsed after the
	// previous one.
	EventTokens
	// EventEnded means that a request of this entry was answered with Tokens
	// tokens or refused, Elapsed after it was sent. Elapsed is zero if the request
	// was not answered.
	EventEnded
	// EventLost means that the upstream was lost with a request of this entry in
	// flight.
	EventLost
	// EventWithdrawn means that this entry or the caller ended a request. The end shows
	// nothing about the upstream; what came before it was reported as it came.
	EventWithdrawn
	// EventSilent means that the upstream makes no progress with a request of this entry,
	// which goes on.
	EventSilent
	// EventConnected and EventDisconnected report the state of the connection.
	EventConnected
	EventDisconnected
	// EventLeaving means that the upstream accepts no new requests.
	EventLeaving
	// EventCached and EventUncached mean that the upstream cached or evicted a
	// prefix.
	EventCached
	EventUncached
	// EventShared carries a change in the requests that another entry has in
	// flight on the upstream: RunsDelta requests and PromptTokens pending tokens,
	// negative for a decrease.
	EventShared
	// EventDoubted means that another entry, Entry, could not connect to the upstream, or
	// that the upstream closed its connection during a request.
	EventDoubted
	// EventHeldBack means that the upstream wants no requests from this entry for
	// RetryAfter.
	EventHeldBack
)

// Event is a change of the state of an upstream. Only the fields of its kind are
// set.
type Event struct {
	Kind             EventKind
	Upstream         string
	AvailabilityZone string
	Load             scheduler.Load
	// At is the time to which a load report or a cache event refers, on the
	// clock of the entry. Zero means now.
	At time.Time
	// Prefix is the hash of the prompt prefix, zero without one.
	Prefix  uint64
	Elapsed time.Duration
	Tokens  int
	// PromptTokens is the number of prompt tokens that the upstream has to
	// prefill. It is set when a request is sent, and again when its first token
	// arrives or when it ends before that. In an EventShared it is the change in
	// the pending prompt tokens.
	PromptTokens int
	// RunsDelta is the change in requests in flight of EventShared.
	RunsDelta int
	// RetryAfter is set for EventHeldBack.
	RetryAfter time.Duration
	// Entry is the identity of the entry that reported an EventDoubted.
	Entry string
	// Slots is the number of requests that the upstream runs concurrently, with
	// EventConnected. Zero means unknown.
	Slots int
	// Failed is true for a request that the upstream answered with an error of its
	// own.
	Failed bool
	// Suspect has the value of the query, with the kinds of events that begin and end
	// a request.
	Suspect bool
	// Deferred is true for a request that the upstream runs after all others, until its
	// first token. It is set when the request is sent and with the event that ends its wait.
	Deferred bool
}
