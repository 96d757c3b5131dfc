package reporter

import "fmt"

// ErrorKind is the kind of an [Error].
type ErrorKind int

// The kinds of errors.
const (
	// ErrorFormat means that an object of the store cannot be encoded or decoded.
	ErrorFormat ErrorKind = iota
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("usage reports: %s: %v", e.Op, e.Err) }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }
