package starter

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors.
const (
	// ErrorListen means that a process cannot listen on an address.
	ErrorListen ErrorKind = iota
	// ErrorRecords means that the records of the demo could not be read or written.
	ErrorRecords
	// ErrorNotReady means that a process did not become ready in time.
	ErrorNotReady
	// ErrorMethod means that a message of a peer has an unknown method or that its
	// answer cannot be encoded.
	ErrorMethod
	// ErrorNoAgent means that an entry has no connection to an agent.
	ErrorNoAgent
	// ErrorSettings means that a setting is invalid.
	ErrorSettings
)

// Error reports the operation Op that failed, the kind of the failure and its
// cause.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
