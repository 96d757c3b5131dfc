package relayer

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The error kinds.
const (
	// ErrorCaller means that the caller has disconnected or does not read.
	ErrorCaller ErrorKind = iota
	// ErrorBroken means that the response ended prematurely and may have been
	// written in part. The connection must be aborted, so that the caller can tell
	// that the response is incomplete.
	ErrorBroken
	// ErrorNoReply means that the ring was closed before the first reply. Nothing has
	// been written, so the caller can still get a failure.
	ErrorNoReply
)

// Error describes a response that could not be relayed completely.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("relay: %s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an [Error] with the kind k.
func IsKind(err error, k ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
