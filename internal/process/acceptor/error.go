package acceptor

import "fmt"

// ErrorKind is the kind of an [Error].
type ErrorKind int

// The kinds of errors.
const (
	// ErrorListen means that listening on the address failed.
	ErrorListen ErrorKind = iota
	// ErrorMethod means that a message has a method without a handler.
	ErrorMethod
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }
