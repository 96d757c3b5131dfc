package starter

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors.
const (
	// ErrorListen means that an address cannot be listened on.
	ErrorListen ErrorKind = iota
	// ErrorRecords means that the records of the demo were not accepted.
	ErrorRecords
	// ErrorNotReady means that a process did not become ready in time.
	ErrorNotReady
	// ErrorMethod means that a peer sent a message that cannot be served.
	ErrorMethod
	// ErrorNoAgent means that an entry has no connection to an agent.
	ErrorNoAgent
	// ErrorSettings means that the settings do not fit together.
	ErrorSettings
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
