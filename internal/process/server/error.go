package server

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The error kinds.
const (
	// ErrorListen means that the server could not listen on its address.
	ErrorListen ErrorKind = iota
	// ErrorTimeout means that requests were still in flight when the context of
	// Stop ended.
	ErrorTimeout
)

// Error describes a failure to start or to shut down a server.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("server: %s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
