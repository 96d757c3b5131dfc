package meter

import "fmt"

// ErrorKind is the category of an [Error].
type ErrorKind int

// The kinds of errors.
const (
	// ErrorInstrument means that an instrument, a callback or the exporter could
	// not be created or stopped.
	ErrorInstrument ErrorKind = iota
)

// Error describes a failure to set up or to stop the export of metrics.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("metrics: %s: %v", e.Op, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
