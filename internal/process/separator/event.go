package separator

import "time"

// EventKind is the kind of an [Event].
type EventKind int

// The kinds of events.
const (
	// EventArrived carries a new request with its prompt and its targets.
	EventArrived EventKind = iota
	// EventPrefilled means that the first event of an answer arrived Elapsed after
	// the request was sent to an engine that had PromptTokens to prefill until then
	// and no part of this prompt cached.
	EventPrefilled
	// EventProgress means that Events further events arrived within Elapsed.
	EventProgress
	// EventEnded means that an answer was complete Elapsed after the request was
	// sent.
	EventEnded
	// EventKnown carries the targets of a kind of request that other entries report.
	EventKnown
)

// Event is an observation of one request. Only the fields of its kind are set.
type Event struct {
	Kind EventKind
	// Request is the name of the kind of request.
	Request string
	Elapsed time.Duration
	Events  int
	// PromptTokens is set for EventArrived and EventPrefilled. The targets and Priority
	// are set for EventArrived and EventKnown. A target of zero means none. Priority is
	// zero for the most urgent requests.
	PromptTokens  int
	GapTarget     time.Duration
	LatencyTarget time.Duration
	Priority      int
}
