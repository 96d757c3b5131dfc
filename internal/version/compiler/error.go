package compiler

import (
	"fmt"

	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

// ErrorKind is the kind of an [Error].
type ErrorKind int

// Kinds of errors.
const (
	// ErrorDuplicate means that a record or a key hash occurs more than once.
	ErrorDuplicate ErrorKind = iota
	// ErrorReference means that a record refers to a record that does not exist.
	ErrorReference
)

// Error is a validation error of one record.
type Error struct {
	Op     string
	Kind   ErrorKind
	Record descriptor.Key
	Err    error
}

// Error returns the operation, the record and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s %q: %v", e.Op, e.Record.Kind, e.Record.Name, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
