package accessor

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrorKind is the category of an [Error].
type ErrorKind int

// The kinds of errors.
const (
	// ErrorUnavailable means that the platform did not serve the call, which had no
	// effect.
	ErrorUnavailable ErrorKind = iota
	// ErrorOutcomeUnknown means that a write may or may not have taken effect.
	ErrorOutcomeUnknown
	// ErrorConflict means that the version of the object is not the expected one.
	ErrorConflict
	// ErrorTooLarge means that the value is larger than [MaxValueBytes].
	ErrorTooLarge
	// ErrorCompacted means that the changes since a version have been compacted
	// and the caller must take a new snapshot.
	ErrorCompacted
	// ErrorMissing means that the object does not exist.
	ErrorMissing
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, with its key or prefix.
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("platform: %s: %v", e.Op, e.Err) }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err wraps an [*Error] of the kind k.
func IsKind(err error, k ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
