package collector

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The error kinds.
const (
	// ErrorTooLarge means that the body is, or is announced as, larger than allowed.
	ErrorTooLarge ErrorKind = iota
	// ErrorIncomplete means that the body ended before its end, or is malformed.
	ErrorIncomplete
	// ErrorSlow means that nothing of the body arrived for some time, or that it arrived
	// below the minimum rate.
	ErrorSlow
	// ErrorNoRoom means that the body was given up because memory was short.
	ErrorNoRoom
	errorKinds
)

// String returns the name of the kind in metrics and log lines.
func (k ErrorKind) String() string {
	names := [errorKinds]string{"too_large", "incomplete", "slow", "no_room"}
	if k < 0 || k >= errorKinds {
		return "unknown"
	}
	return names[k]
}

// Error describes a body that was not read to its end.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("collect a body: %s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of err if it is an [Error].
func KindOf(err error) (ErrorKind, bool) {
	var e *Error
	if !errors.As(err, &e) {
		return 0, false
	}
	return e.Kind, true
}
