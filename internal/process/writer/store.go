package writer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// writeBuckets writes the buckets of next that differ from those of old. Each must
// exist before the head refers to it.
func (w Writer) writeBuckets(ctx context.Context, p *pendingChange, old, next *cataloger.Catalog) error {
	for n, hash := range next.Hashes {
		if hash == old.Hashes[n] || hash == "" {
			continue
		}
		key := cataloger.BucketKey(n, hash)
		p.writtenBuckets = append(p.writtenBuckets, key)
		_, err := w.Store.Put(ctx, key, next.Buckets[n], 0)
		switch {
		case err == nil, accessor.IsKind(err, accessor.ErrorConflict):
			// A conflict means that the object exists. Its key contains the hash of
			// its content, so it is the same bucket.
		case accessor.IsKind(err, accessor.ErrorOutcomeUnknown):
			if err := w.checkWritten(ctx, key); err != nil {
				return err
			}
		case accessor.IsKind(err, accessor.ErrorTooLarge):
			return &Error{Op: "write bucket " + key, Kind: ErrorInvalid, Err: err}
		default:
			return &Error{Op: "write bucket " + key, Kind: ErrorUnavailable, Err: err}
		}
	}
	return nil
}

// checkWritten returns an error unless the bucket with the given key exists. It is
// called after the response to the write was lost.
func (w Writer) checkWritten(ctx context.Context, key string) error {
	o, err := w.Store.Get(ctx, key)
	if err == nil && o.Version == 0 {
		err = errors.New("the bucket does not exist")
	}
	if err != nil {
		return &Error{Op: "write bucket " + key, Kind: ErrorUnavailable, Err: err}
	}
	return nil
}

// writeHead updates the head to the set next and reports whether it was accepted.
// It returns false if another writer updated the head first.
func (w Writer) writeHead(ctx context.Context, p *pendingChange, current *recordSet, next *cataloger.Catalog, id cataloger.RevisionWriter) (bool, error) {
	now := w.Clock.Now().UTC()
	h := cataloger.Head{Revision: next.Revision, Buckets: next.Hashes, AcceptedAt: now, RecentWriters: append(lastWriters(current.head.RecentWriters, maxRecentWriters-1), id)}
	h.ReplacedBuckets = w.updateReplacedBuckets(ctx, p, current, next, now)
	value, err := encodeHead(h)
	if err != nil {
		return false, err
	}
	_, err = w.Store.Put(ctx, cataloger.HeadKey, value, current.headVersion)
	switch {
	case err == nil:
		return true, nil
	case accessor.IsKind(err, accessor.ErrorConflict):
		return false, nil
	case accessor.IsKind(err, accessor.ErrorOutcomeUnknown):
		p.outcomeUnknown = true
		return w.readBackHead(ctx, current, id)
	}
	return false, &Error{Op: fmt.Sprintf("write head of revision %d", next.Revision), Kind: ErrorUnavailable, Err: err}
}

// readBackHead reports whether the head with the given writer was accepted. It
// fails with [ErrorOutcomeUnknown] if the head cannot be read, or if the entry may
// have been removed from the recent writers.
func (w Writer) readBackHead(ctx context.Context, current *recordSet, id cataloger.RevisionWriter) (bool, error) {
	unknown := func(err error) error {
		return &Error{Op: fmt.Sprintf("read back head of revision %d", id.Revision), Kind: ErrorOutcomeUnknown, Revision: id.Revision, Err: err}
	}
	for range maxReadBacks {
		o, err := w.Store.Get(ctx, cataloger.HeadKey)
		if err != nil {
			if !sleep(ctx, w.Clock, readBackInterval) {
				return false, unknown(ctx.Err())
			}
			continue
		}
		h, err := cataloger.DecodeHead(o.Value)
		if err != nil {
			return false, unknown(err)
		}
		for _, recent := range h.RecentWriters {
			if recent == id {
				return true, nil
			}
		}
		// An unchanged version means that the write has had no effect so far. If it
		// takes effect later, the write of the next attempt conflicts, and the
		// attempt after it finds this writer among the recent ones.
		if o.Version == current.headVersion {
			return false, nil
		}
		if len(h.RecentWriters) > 0 && h.RecentWriters[0].Revision <= id.Revision {
			return false, nil
		}
		return false, unknown(errors.Errorf("%d later revisions have removed the entry from the recent writers", h.Revision-id.Revision))
	}
	return false, unknown(errors.Errorf("no response in %d reads", maxReadBacks))
}

// updateReplacedBuckets deletes the replaced buckets whose retention has ended or
// that exceed maxReplacedBuckets, and returns the list of those that remain. If
// the head is then not accepted, the deleted buckets stay on the list, and the
// next writer finds that they no longer exist.
func (w Writer) updateReplacedBuckets(ctx context.Context, p *pendingChange, current *recordSet, next *cataloger.Catalog, now time.Time) []cataloger.ReplacedBucket {
	used := map[string]bool{}
	for n, hash := range next.Hashes {
		used[cataloger.BucketKey(n, hash)] = true
	}
	list := append([]cataloger.ReplacedBucket(nil), current.head.ReplacedBuckets...)
	listed := map[string]bool{}
	for _, r := range list {
		listed[r.Key] = true
	}
	add := func(key string) {
		if !used[key] && !listed[key] {
			listed[key] = true
			list = append(list, cataloger.ReplacedBucket{Key: key, ReplacedAt: now})
		}
	}
	for n, hash := range current.catalog.Hashes {
		if hash != "" {
			add(cataloger.BucketKey(n, hash))
		}
	}
	for _, key := range p.writtenBuckets {
		add(key)
	}
	remaining := list[:0]
	for i, r := range list {
		due := now.Sub(r.ReplacedAt) >= replacedRetention || len(list)-i > maxReplacedBuckets
		if !due || !w.deleteBucket(ctx, r.Key) {
			remaining = append(remaining, r)
		}
	}
	return remaining
}

// deleteBucket reports whether the bucket no longer exists. A failed deletion is
// repeated by a later change.
func (w Writer) deleteBucket(ctx context.Context, key string) bool {
	o, err := w.Store.Get(ctx, key)
	if err != nil {
		return false
	}
	return o.Version == 0 || w.Store.Delete(ctx, key, o.Version) == nil
}

// lastWriters returns a copy of the last n writers.
func lastWriters(writers []cataloger.RevisionWriter, n int) []cataloger.RevisionWriter {
	return append([]cataloger.RevisionWriter(nil), writers[max(0, len(writers)-n):]...)
}

// nonce returns 64 random bits in hexadecimal.
func nonce() string {
	b := make([]byte, 8)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// sleep waits for d and reports whether it ended before ctx.
func sleep(ctx context.Context, c timer.Clock, d time.Duration) bool {
	wake, stop := c.After(d)
	defer stop()
	select {
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}
