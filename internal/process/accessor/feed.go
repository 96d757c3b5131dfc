package accessor

import (
	"context"
	"time"
)

// Change is an object as it was written, or its key alone if it was deleted.
type Change struct {
	Object
	Deleted bool
}

// Feed follows all objects of one kind, which is the part of a key before the
// first slash.
type Feed interface {
	// Snapshot returns the objects of a kind and the version at which they stood
	// so.
	Snapshot(ctx context.Context, kind string) ([]Object, int64, error)
	// Changes waits up to wait for changes of a kind after a version, and returns
	// them, possibly none, with the version up to which they are complete. It
	// fails with [ErrorCompacted] if these changes are not kept any more.
	Changes(ctx context.Context, kind string, after int64, wait time.Duration) ([]Change, int64, error)
}
