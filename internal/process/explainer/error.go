package explainer

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors.
const (
	// ErrorQuestion means that the entry cannot read the question.
	ErrorQuestion ErrorKind = iota
	// ErrorUnavailable means that the entry has not answered.
	ErrorUnavailable
	// ErrorAnswer means that the answer cannot be read.
	ErrorAnswer
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
