package validator

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The error kinds.
const (
	// ErrorStatus means that the status is not one of a response.
	ErrorStatus ErrorKind = iota
	// ErrorFieldName means that a field name is not a token of HTTP.
	ErrorFieldName
)

// Error describes a response that is not valid HTTP.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("invalid response: %s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
