package loader

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors.
const (
	// ErrorRead means that the file could not be read.
	ErrorRead ErrorKind = iota
	// ErrorSyntax means that the file is not a single JSON object of the expected
	// fields and types.
	ErrorSyntax
	// ErrorField means that fields are missing or have invalid values.
	ErrorField
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
