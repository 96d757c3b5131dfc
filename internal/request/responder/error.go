package responder

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The error kinds.
const (
	// ErrorDisconnected means that the caller has disconnected.
	ErrorDisconnected ErrorKind = iota
	// ErrorOverrun means that the ring of replies was closed before the last
	// reply, because the caller reads too slowly or the entry stopped.
	ErrorOverrun
	// ErrorEncoding means that an event or an answer could not be encoded as JSON.
	ErrorEncoding
)

// Error describes a response that could not be written completely.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("respond: %s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
