package writer

import (
	"fmt"

	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors. Only after [ErrorOutcomeUnknown] can the change have
// taken effect.
const (
	// ErrorUnavailable means that a call to the platform failed. Nothing was
	// changed.
	ErrorUnavailable ErrorKind = iota
	// ErrorOutcomeUnknown means that no response to the write of the head arrived:
	// the change may or may not have been accepted.
	ErrorOutcomeUnknown
	// ErrorConflict means that another writer has changed one of the records.
	ErrorConflict
	// ErrorInvalid means that the resulting set failed the validation. Sets are
	// refused as a whole.
	ErrorInvalid
	// ErrorFormat means that the accepted set cannot be decoded.
	ErrorFormat
	// ErrorContention means that each attempt lost to a concurrent change of other
	// records.
	ErrorContention
)

// Error describes a failed operation of this package.
type Error struct {
	// Op is the operation that failed, with the object key where there is one.
	Op   string
	Kind ErrorKind
	// Key, Mine and Theirs describe a conflict. Mine is the record of the refused
	// change, Theirs the accepted one. Nil means that the record was withdrawn.
	Key    descriptor.Key
	Mine   *descriptor.Record
	Theirs *descriptor.Record
	// Revision is the revision of the conflicting record, or the revision whose
	// outcome is unknown.
	Revision int64
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Kind != ErrorConflict {
		return fmt.Sprintf("%s: %v", e.Op, e.Err)
	}
	return fmt.Sprintf("%s: conflict on %s %q, changed by another writer in revision %d\n  mine:   %s\n  theirs: %s",
		e.Op, e.Key.Kind, e.Key.Name, e.Revision, formatRecord(e.Mine), formatRecord(e.Theirs))
}

// Unwrap returns Err.
func (e *Error) Unwrap() error { return e.Err }

func formatRecord(r *descriptor.Record) string {
	if r == nil {
		return "withdrawn"
	}
	data, err := descriptor.Encode(*r)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
