package cataloger

import "fmt"

// ErrorKind is the kind of an [Error].
type ErrorKind int

// Kinds of errors.
const (
	// ErrorFormat means that the data is not a valid head, bucket or delta.
	ErrorFormat ErrorKind = iota
	// ErrorBase means that a delta starts at another revision than that of the
	// set.
	ErrorBase
	// ErrorOrder means that a delta does not lead to a later revision.
	ErrorOrder
	// ErrorHash means that a content hash differs from the expected one.
	ErrorHash
)

// Error is an error in the encoding or verification of a set.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("catalog: %s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
