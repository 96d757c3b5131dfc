package elector

import "fmt"

// ErrorKind is the kind of an [Error].
type ErrorKind int

// Kinds of errors.
const (
	// ErrorRecord means that the record of a lease cannot be encoded or decoded.
	ErrorRecord ErrorKind = iota
)

// Error is an error in the encoding of a lease record.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("lease: %s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
