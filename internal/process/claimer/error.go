package claimer

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors.
const (
	// ErrorSegment means that a segment cannot be encoded or decoded, or that its
	// object key is invalid.
	ErrorSegment ErrorKind = iota
)

// Error is the error type of this package. Op names the failed operation.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("claims: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
