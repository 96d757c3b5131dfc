package validator

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The error kinds.
const (
	// ErrorStatus means that the status is none that a response may have.
	ErrorStatus ErrorKind = iota
	// ErrorFieldName means that the name of a field has a byte that no name may have.
	ErrorFieldName
)

// Error describes a response that is not valid in HTTP.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("invalid response: %s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
