package receiver

import "fmt"

// ErrorKind is the category of an [Error].
type ErrorKind int

// The kinds of errors.
const (
	// ErrorListen means that listening on an address failed.
	ErrorListen ErrorKind = iota
	// ErrorTimeout means that requests were still in flight when the context of
	// Stop ended.
	ErrorTimeout
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("receive: %s: %v", e.Op, e.Err) }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }
