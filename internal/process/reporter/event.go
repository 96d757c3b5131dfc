package reporter

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/accountant"
)

// EventKind is the kind of an [Event].
type EventKind int

// The kinds of events.
const (
	// EventTick is due several times a second. It carries the lease.
	EventTick EventKind = iota
	// EventJournalRead is the result of ActionReadJournal, and EventJournalWritten that
	// of ActionWriteJournal.
	EventJournalRead
	EventJournalWritten
	// EventRowsRead is the result of ActionReadRows, and EventRowsWritten that of
	// ActionWriteRows.
	EventRowsRead
	EventRowsWritten
	// EventReported is the result of ActionReport.
	EventReported
)

// Outcome is the result of a call.
type Outcome int

// The outcomes.
const (
	// OutcomeDone means that the call succeeded.
	OutcomeDone Outcome = iota
	// OutcomeConflict means that the object has another version.
	OutcomeConflict
	// OutcomeUnknown means that there was no answer. The call may still be executed.
	OutcomeUnknown
	// OutcomeUnavailable means that the call had no effect.
	OutcomeUnavailable
	// OutcomeUnreadable means that the object cannot be decoded.
	OutcomeUnreadable
	// OutcomeTokenRefused means that the API has seen a higher token.
	OutcomeTokenRefused
	// OutcomeRateLimited means that the API refused the call because of its rate.
	OutcomeRateLimited
	// OutcomeFailed means that the API answered with another error.
	OutcomeFailed
)

// Event is an input of the core. Only the fields of its kind are set.
type Event struct {
	Kind EventKind
	// Token is the fencing token: with EventTick that of the lease, zero if it is not
	// held, otherwise that of the action.
	Token int64
	// Remaining is the time in which the holder may act. WindowTime is the time on the
	// clock of windows.
	Remaining  time.Duration
	WindowTime time.Time
	Outcome    Outcome
	// Journal and Version are the journal that was read and its version, which is zero if
	// it does not exist. Version is also set for EventJournalWritten.
	Journal Journal
	Version int64
	Rows    []accountant.Row
	// Window is the window of EventReported.
	Window int64
}

// ActionKind is the kind of an [Action].
type ActionKind int

// The kinds of actions.
const (
	// ActionReadJournal reads the journal.
	ActionReadJournal ActionKind = iota
	// ActionWriteJournal writes Journal if the object has the version Version.
	ActionWriteJournal
	// ActionReadRows reads the rows that entries have left in the store.
	ActionReadRows
	// ActionWriteRows leaves the rows of this entry in the store.
	ActionWriteRows
	// ActionReport sends Report to the API within Timeout.
	ActionReport
	// ActionGiveUp gives up the lease because of Cause.
	ActionGiveUp
	// ActionRaiseToken makes the token of the lease higher than Number.
	ActionRaiseToken
	// ActionObserve logs and counts what has happened to a window.
	ActionObserve
)

// Result is what has happened to a window, or to the journal.
type Result string

// The results.
const (
	ResultFrozen     Result = "frozen"
	ResultSent       Result = "sent"
	ResultRepeated   Result = "repeated"
	ResultConfirmed  Result = "confirmed"
	ResultLate       Result = "confirmed_late"
	ResultGivenUp    Result = "given_up"
	ResultMissing    Result = "missing"
	ResultFailed     Result = "failed"
	ResultUnreadable Result = "journal_unreadable"
)

// Action is an instruction for the caller of [Core.Step]. Only the fields of its kind are
// set.
type Action struct {
	Kind ActionKind
	// Token is the fencing token of the term, zero for ActionWriteRows.
	Token   int64
	Journal Journal
	Version int64
	Rows    []accountant.Row
	Report  accountant.Report
	Timeout time.Duration
	Cause   string
	Number  int64
	// Result, Window and Windows describe an observation. Windows is the number of
	// windows from Window on.
	Result  Result
	Window  int64
	Windows int64
}
