package descriptor

import "fmt"

// ErrorKind is the category of an [Error].
type ErrorKind int

// The kinds of errors.
const (
	// ErrorSyntax means that the data is not a JSON object.
	ErrorSyntax ErrorKind = iota
	// ErrorVersion means that the schema version is unknown or cannot express the
	// record.
	ErrorVersion
	// ErrorField means that a field is unknown, missing, duplicated or out of its
	// range.
	ErrorField
	// ErrorReference means that a record refers to a record that does not exist.
	ErrorReference
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind ErrorKind
	// Path is the path of the invalid field, such as [3].target. It is empty if
	// the error concerns the whole record.
	Path string
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%s record: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("%s record: field %s: %v", e.Op, e.Path, e.Err)
}

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }
