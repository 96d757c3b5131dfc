package exchanger

import "fmt"

// ErrorKind is the kind of an [Error].
type ErrorKind int

// The kinds of errors.
const (
	// ErrorNoLink means that the link to the peer is closed.
	ErrorNoLink ErrorKind = iota
	// ErrorPeer means that the call to the peer failed or its response is invalid.
	ErrorPeer
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
