package reader

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The error kinds.
const (
	// ErrorRejected means that the upstream did not run the request.
	ErrorRejected ErrorKind = iota
	// ErrorUnreachable means that no connection could be established, so that
	// nothing was sent.
	ErrorUnreachable
	// ErrorMalformed means that the response cannot be parsed, is too large or has
	// a status that says that the upstream failed.
	ErrorMalformed
	// ErrorBroken means that the request may have been sent and the response is
	// missing or incomplete.
	ErrorBroken
)

// Error describes a failed request to an upstream.
type Error struct {
	Op   string
	Kind ErrorKind
	// Status is the HTTP status of the response, zero if there was none.
	Status int
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("upstream %s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
