package merger

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors.
const (
	// ErrorUnreachable means that the events of a process could not be fetched.
	ErrorUnreachable ErrorKind = iota
	// ErrorFormat means that the input is not a sequence of events in JSON lines.
	ErrorFormat
	// ErrorWrite means that the output could not be written.
	ErrorWrite
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("time line: %s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
