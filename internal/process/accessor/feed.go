package accessor

import (
	"context"
	"time"
)

// Change is an updated object, or only the key of a deleted one.
type Change struct {
	Object
	Deleted bool
}

// Feed lists and watches the objects of a kind. The kind of an object is the part
// of its key before the first slash.
type Feed interface {
	// Snapshot returns the objects of a kind and the version of the store at which
	// the list is consistent.
	Snapshot(ctx context.Context, kind string) ([]Object, int64, error)
	// Changes waits up to wait for changes of a kind after a version. It returns
	// the changes, possibly none, and the version up to which they are complete.
	// It fails with [ErrorCompacted] if these changes have been compacted.
	Changes(ctx context.Context, kind string, after int64, wait time.Duration) ([]Change, int64, error)
}
