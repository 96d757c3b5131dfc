package bench

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors.
const (
	// ErrorUnknownName means that no scenario or policy has the given name.
	ErrorUnknownName ErrorKind = iota
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("bench: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
