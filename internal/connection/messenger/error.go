package messenger

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The error kinds.
const (
	// ErrorNetwork means that the connection failed or the peer returned an
	// error response.
	ErrorNetwork ErrorKind = iota
	// ErrorProtocol means that a message violates the protocol.
	ErrorProtocol
	// ErrorVersion means that the peers have no protocol version in common.
	ErrorVersion
	// ErrorUnauthenticated means that the peer has not proved that it knows the
	// shared secret.
	ErrorUnauthenticated
)

// Error describes a failed operation on a connection.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
