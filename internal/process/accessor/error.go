package accessor

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors.
const (
	// ErrorUnavailable means that the call had no effect.
	ErrorUnavailable ErrorKind = iota
	// ErrorUnknown means that a write may or may not have taken effect.
	ErrorUnknown
	// ErrorConflict means that the object has another version than expected.
	ErrorConflict
	// ErrorTooLarge means that the value is larger than [MaxValue].
	ErrorTooLarge
	// ErrorCompacted means that the changes since a version are not kept any
	// more, and a snapshot must be taken.
	ErrorCompacted
	// ErrorMissing means that there is no such object.
	ErrorMissing
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("platform: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an error of this package with the kind k.
func IsKind(err error, k ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
