// Package writer changes the accepted set of records in the platform by
// optimistic concurrency control.
//
// The platform stores the set as buckets, which are immutable objects with a part
// of the records each, and a head, which names the buckets of the accepted set; see
// the package cataloger.
//
// A [Writer] reads the accepted set, applies a change to it and validates the
// result as a whole. It writes the changed buckets and then updates the head
// conditionally, which accepts the set. If another writer has updated the head
// in the meantime, the writer retries from the new set. If the other writer has
// changed a record of the same change, the writer does not retry: the operator
// must decide, and the error contains both versions of the record.
//
// The response to the write of the head can be lost after the write has taken
// effect. Each attempt therefore adds a unique [cataloger.RevisionWriter] to the
// head. After a lost response, the writer first reads the head back and searches
// for that entry.
//
// # Usage
//
//	w := writer.Writer{Store: store, Clock: c, Name: "operator-1"}
//	result, err := w.Change(ctx, writer.Change{Put: records})
//	for key, state := range result.States {
//		// created, changed, unchanged, withdrawn
//	}
package writer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"reflect"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// maxAttempts limits the attempts to apply one change while other writers
	// change other records.
	maxAttempts = 32
	// maxReadBacks and readBackInterval limit reading the head back while the
	// platform is unavailable to 20 s, which is longer than its usual short
	// outages.
	maxReadBacks     = 40
	readBackInterval = 500 * time.Millisecond
	// maxRecentWriters is the maximum number of entries in
	// [cataloger.Head.RecentWriters]. At 4,900 changes a day, 64 entries cover
	// about 19 minutes.
	maxRecentWriters = 64
	// replacedRetention is the time for which a replaced bucket is retained for
	// readers of an earlier head, and maxReplacedBuckets limits the list of such
	// buckets to about 40 KB.
	replacedRetention  = 10 * time.Minute
	maxReplacedBuckets = 512
)

// Writer applies changes to the accepted set. Its methods only read its fields.
type Writer struct {
	Store accessor.Store
	Clock timer.Clock
	// Name is the prefix of this writer's entries in
	// [cataloger.Head.RecentWriters], so that operators can identify it.
	Name string
}

// Change lists the records to put and to withdraw. It is accepted or refused as
// a whole.
type Change struct {
	Put      []descriptor.Record
	Withdraw []descriptor.Key
	// BaseRevision is the revision on which the change is based. A record that was
	// changed after it is a conflict. Zero means the revision at the start of
	// [Writer.Change].
	BaseRevision int64
}

// State is the effect of a change on one record.
type State string

// The effects of a change on a record. [StateUnchanged] includes the withdrawal
// of a record that does not exist.
const (
	StateCreated   State = "created"
	StateChanged   State = "changed"
	StateUnchanged State = "unchanged"
	StateWithdrawn State = "withdrawn"
)

// Result is the outcome of an accepted change.
type Result struct {
	// Revision is the revision that contains the change. If the change had no
	// effect, it is the current revision.
	Revision int64
	States   map[descriptor.Key]State
}

// recordSet is an accepted set with its head.
type recordSet struct {
	head cataloger.Head
	// headVersion is the object version of the head.
	headVersion int64
	catalog     *cataloger.Catalog
}

// pendingChange is the state of one change over all its attempts.
type pendingChange struct {
	change Change
	// base is the set that was read before the first attempt.
	base *recordSet
	// writtenBuckets lists the keys of the buckets that were written. Those of
	// failed attempts are deleted later.
	writtenBuckets []string
	// resultByWriter holds the results of the attempts that sent a write of the
	// head. A write that seemed to have had no effect can take effect later.
	resultByWriter map[cataloger.RevisionWriter]Result
	// outcomeUnknown is true if the response to a write of the head was lost.
	outcomeUnknown bool
}

// Read returns the head and the accepted set. Its errors have the type
// [*Error].
func Read(ctx context.Context, s accessor.Store) (cataloger.Head, *cataloger.Catalog, error) {
	set, err := readSet(ctx, s, nil)
	if err != nil {
		return cataloger.Head{}, nil, err
	}
	return set.head, set.catalog, nil
}

// Change applies c to the accepted set and retries if another writer updates the
// head first. Its errors have the type [*Error].
func (w Writer) Change(ctx context.Context, c Change) (Result, error) {
	base, err := readSet(ctx, w.Store, nil)
	if err != nil {
		return Result{}, err
	}
	p := &pendingChange{change: c, base: base, resultByWriter: map[cataloger.RevisionWriter]Result{}}
	current := base
	for range maxAttempts {
		result, done, err := w.attempt(ctx, p, current)
		if err != nil || done {
			return result, err
		}
		if current, err = readSet(ctx, w.Store, current.catalog); err != nil {
			return Result{}, p.withOutcome(err)
		}
	}
	return Result{}, p.withOutcome(&Error{Op: "change records", Kind: ErrorContention, Err: errors.Errorf("%d attempts lost to concurrent changes", maxAttempts)})
}

// withOutcome wraps err in [ErrorOutcomeUnknown] if the response to an earlier
// write of the head was lost, since the other kinds mean that nothing was
// changed.
func (p *pendingChange) withOutcome(err error) error {
	if !p.outcomeUnknown {
		return err
	}
	return &Error{Op: "change records", Kind: ErrorOutcomeUnknown, Err: err}
}

// attempt tries to apply p to the set current. It returns false if another writer
// updated the head first.
func (w Writer) attempt(ctx context.Context, p *pendingChange, current *recordSet) (Result, bool, error) {
	for _, recent := range current.head.RecentWriters {
		if result, ok := p.resultByWriter[recent]; ok {
			return result, true, nil
		}
	}
	if err := p.checkConflicts(current); err != nil {
		return Result{}, false, err
	}
	put, withdraw, states := p.diff(current.catalog)
	if len(put)+len(withdraw) == 0 {
		return Result{Revision: current.head.Revision, States: states}, true, nil
	}
	revision := current.head.Revision + 1
	next, err := current.catalog.Update(revision, put, withdraw)
	if err != nil {
		return Result{}, false, &Error{Op: "change records", Kind: ErrorInvalid, Err: err}
	}
	if _, err := compiler.Compile(revision, next.List()); err != nil {
		return Result{}, false, &Error{Op: "change records", Kind: ErrorInvalid, Err: err}
	}
	if err := w.writeBuckets(ctx, p, current.catalog, next); err != nil {
		return Result{}, false, err
	}
	result := Result{Revision: revision, States: states}
	id := cataloger.RevisionWriter{Revision: revision, Writer: w.Name + "-" + nonce()}
	p.resultByWriter[id] = result
	accepted, err := w.writeHead(ctx, p, current, next, id)
	return result, accepted, err
}

// checkConflicts returns [ErrorConflict] if another writer has changed a record of
// p after the base revision. Equal content is not a conflict, nor is a record that
// both withdraw.
func (p *pendingChange) checkConflicts(current *recordSet) error {
	check := func(k descriptor.Key, mine *descriptor.Record) error {
		entry, ok := current.catalog.Entries[k]
		old, existed := p.base.catalog.Entries[k]
		since := p.base.head.Revision
		if p.change.BaseRevision > 0 {
			since = p.change.BaseRevision
		}
		if (!ok || entry.Revision <= since) && ok == existed {
			return nil
		}
		if !ok {
			if mine == nil {
				return nil
			}
			// The set does not contain the revision of a withdrawal, so the error
			// contains the current one.
			return &Error{Op: "change records", Kind: ErrorConflict, Key: k, Mine: mine, Revision: max(current.head.Revision, old.Revision)}
		}
		if mine != nil && equalRecords(entry.Record, descriptor.PreserveNewerFields(entry.Record, *mine)) {
			return nil
		}
		return &Error{Op: "change records", Kind: ErrorConflict, Key: k, Mine: mine, Theirs: &entry.Record, Revision: entry.Revision}
	}
	for _, r := range p.change.Put {
		if err := check(r.Key(), &r); err != nil {
			return err
		}
	}
	for _, k := range p.change.Withdraw {
		if err := check(k, nil); err != nil {
			return err
		}
	}
	return nil
}

// diff returns the records to put and the keys to withdraw that differ from c,
// and the states of all records of the change.
func (p *pendingChange) diff(c *cataloger.Catalog) ([]descriptor.Record, []descriptor.Key, map[descriptor.Key]State) {
	states := map[descriptor.Key]State{}
	var put []descriptor.Record
	var withdraw []descriptor.Key
	for _, r := range p.change.Put {
		old, ok := c.Entries[r.Key()]
		if ok {
			r = descriptor.PreserveNewerFields(old.Record, r)
		}
		switch {
		case !ok:
			states[r.Key()] = StateCreated
		case equalRecords(old.Record, r):
			states[r.Key()] = StateUnchanged
			continue
		default:
			states[r.Key()] = StateChanged
		}
		put = append(put, r)
	}
	for _, k := range p.change.Withdraw {
		if _, ok := c.Entries[k]; !ok {
			states[k] = StateUnchanged
			continue
		}
		states[k] = StateWithdrawn
		withdraw = append(withdraw, k)
	}
	return put, withdraw, states
}

// equalRecords reports whether two records are equal except for the schema
// version in which they were written.
func equalRecords(a, b descriptor.Record) bool {
	a.SchemaVersion = b.SchemaVersion
	return reflect.DeepEqual(a, b)
}

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
