package relayer

import (
	"fmt"

	"github.com/go-faster/errors"
)

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors.
const (
	// ErrorCaller means that the caller is gone or does not read.
	ErrorCaller ErrorKind = iota
	// ErrorBroken means that the answer broke off after a part of it had been
	// written. The connection must be cut, so that the answer does not look
	// complete.
	ErrorBroken
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("relay: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an error of this package with the kind k.
func IsKind(err error, k ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
