package driver

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors.
const (
	// ErrorFormat means that a trace does not follow its format.
	ErrorFormat ErrorKind = iota
	// ErrorWrite means that a report, a plot or a trace can't be written.
	ErrorWrite
	// ErrorOutcome means that a run missed an expectation of the trace.
	ErrorOutcome
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("load: %s: %v", e.Op, e.Err) }

// Unwrap returns Err, the cause.
func (e *Error) Unwrap() error { return e.Err }
