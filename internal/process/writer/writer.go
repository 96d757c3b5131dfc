// Package writer changes the accepted records in the platform.
//
// A [Writer] reads the accepted set, applies a change to it and validates the
// result as a whole. It writes the buckets that changed and then the head by
// conditional update, which accepts the set. When somebody else changed the
// head in between, the writer starts again from the new set, unless a record of
// its own change was touched: then the operator must decide, and the error
// carries both versions.
//
// The answer to the write of the head can be lost after the write took effect.
// Each attempt therefore leaves a mark of its own in the head. The writer reads
// the head back and looks for the mark before it does anything else.
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
	// attempts bounds the tries of one change under concurrent changes of other
	// records.
	attempts = 32
	// readBacks and readPause bound the search for the own mark when the
	// platform does not answer: 20 s, longer than its usual hiccups.
	readBacks = 40
	readPause = 500 * time.Millisecond
	// keptMarks is the number of changes after which a mark is forgotten. At
	// 4,900 changes a day, 64 are about 19 minutes.
	keptMarks = 64
	// keepReplaced is the time for which a replaced bucket is kept for readers
	// of the head before, and maxReplaced bounds the list of such buckets to
	// about 40 KB.
	keepReplaced = 10 * time.Minute
	maxReplaced  = 512
)

// Writer changes records. Its fields are read only.
type Writer struct {
	Store accessor.Store
	Clock timer.Clock
	// Name stands in the marks of the writer, for operators to see.
	Name string
}

// Change is a set of changes that is accepted as a whole or not at all.
type Change struct {
	Put      []descriptor.Record
	Withdraw []descriptor.Key
	// Base is the revision that the author has seen. A record changed since then
	// is a conflict. Zero means the revision at the start of the change.
	Base int64
}

// State says what a change did to a record.
type State string

// The states.
const (
	StateCreated   State = "created"
	StateChanged   State = "changed"
	StateUnchanged State = "unchanged"
	StateWithdrawn State = "withdrawn"
)

// Result is the outcome of an accepted change.
type Result struct {
	// Revision holds the change. If nothing changed it is the present one.
	Revision int64
	States   map[descriptor.Key]State
}

// set is an accepted set as it was read.
type set struct {
	head    cataloger.Head
	version int64
	catalog *cataloger.Catalog
}

// attempt is the state of one change over its tries.
type attempt struct {
	change Change
	base   *set
	// written lists the buckets of failed tries, to be deleted later.
	written []string
	// sent holds the tries by their marks. One that seemed to have had no effect
	// may have taken it later.
	sent map[cataloger.RevisionWriter]Result
	// uncertain is true if the answer to a write of the head was lost.
	uncertain bool
}

// Read returns the accepted set and its head. Its errors have the type
// [*Error].
func Read(ctx context.Context, s accessor.Store) (cataloger.Head, *cataloger.Catalog, error) {
	got, err := read(ctx, s, nil)
	if err != nil {
		return cataloger.Head{}, nil, err
	}
	return got.head, got.catalog, nil
}

// Change applies c. Its errors have the type [*Error].
func (w Writer) Change(ctx context.Context, c Change) (Result, error) {
	base, err := read(ctx, w.Store, nil)
	if err != nil {
		return Result{}, err
	}
	a := &attempt{change: c, base: base, sent: map[cataloger.RevisionWriter]Result{}}
	present := base
	for range attempts {
		result, done, err := w.try(ctx, a, present)
		if err != nil || done {
			return result, err
		}
		if present, err = read(ctx, w.Store, present.catalog); err != nil {
			return Result{}, a.doubt(err)
		}
	}
	return Result{}, a.doubt(&Error{Op: "change records", Kind: ErrorBusy, Err: errors.Errorf("other changes won %d attempts", attempts)})
}

// doubt turns an error that says that nothing was changed into one that says
// that this is not known, if an answer was lost before.
func (a *attempt) doubt(err error) error {
	if !a.uncertain {
		return err
	}
	return &Error{Op: "change records", Kind: ErrorUnknown, Err: err}
}

// try makes one attempt on the set present. It reports false if another change
// came first.
func (w Writer) try(ctx context.Context, a *attempt, present *set) (Result, bool, error) {
	for _, m := range present.head.RecentWriters {
		if result, ok := a.sent[m]; ok {
			return result, true, nil
		}
	}
	if err := a.conflict(present); err != nil {
		return Result{}, false, err
	}
	put, withdraw, states := a.effect(present.catalog)
	if len(put)+len(withdraw) == 0 {
		return Result{Revision: present.head.Revision, States: states}, true, nil
	}
	revision := present.head.Revision + 1
	next, err := present.catalog.Update(revision, put, withdraw)
	if err != nil {
		return Result{}, false, &Error{Op: "change records", Kind: ErrorInvalid, Err: err}
	}
	if _, err := compiler.Compile(revision, next.List()); err != nil {
		return Result{}, false, &Error{Op: "change records", Kind: ErrorInvalid, Err: err}
	}
	if err := w.writeBuckets(ctx, a, present.catalog, next); err != nil {
		return Result{}, false, err
	}
	result := Result{Revision: revision, States: states}
	mark := cataloger.RevisionWriter{Revision: revision, Writer: w.Name + "-" + nonce()}
	a.sent[mark] = result
	accepted, err := w.writeHead(ctx, a, present, next, mark)
	return result, accepted, err
}

// conflict returns an error if somebody else changed a record of a since its
// author has seen it.
func (a *attempt) conflict(present *set) error {
	check := func(k descriptor.Key, mine *descriptor.Record) error {
		entry, ok := present.catalog.Entries[k]
		old, was := a.base.catalog.Entries[k]
		since := a.base.head.Revision
		if a.change.Base > 0 {
			since = a.change.Base
		}
		if (!ok || entry.Revision <= since) && ok == was {
			return nil
		}
		if !ok {
			if mine == nil {
				return nil
			}
			return &Error{Op: "change records", Kind: ErrorConflict, Key: k, Mine: mine, Revision: max(present.head.Revision, old.Revision)}
		}
		if mine != nil && sameRecord(entry.Record, descriptor.PreserveNewerFields(entry.Record, *mine)) {
			return nil
		}
		return &Error{Op: "change records", Kind: ErrorConflict, Key: k, Mine: mine, Theirs: &entry.Record, Revision: entry.Revision}
	}
	for _, r := range a.change.Put {
		if err := check(r.Key(), &r); err != nil {
			return err
		}
	}
	for _, k := range a.change.Withdraw {
		if err := check(k, nil); err != nil {
			return err
		}
	}
	return nil
}

// effect returns what differs from the present set.
func (a *attempt) effect(c *cataloger.Catalog) ([]descriptor.Record, []descriptor.Key, map[descriptor.Key]State) {
	states := map[descriptor.Key]State{}
	var put []descriptor.Record
	var withdraw []descriptor.Key
	for _, r := range a.change.Put {
		old, ok := c.Entries[r.Key()]
		if ok {
			r = descriptor.PreserveNewerFields(old.Record, r)
		}
		switch {
		case !ok:
			states[r.Key()] = StateCreated
		case sameRecord(old.Record, r):
			states[r.Key()] = StateUnchanged
			continue
		default:
			states[r.Key()] = StateChanged
		}
		put = append(put, r)
	}
	for _, k := range a.change.Withdraw {
		if _, ok := c.Entries[k]; !ok {
			states[k] = StateUnchanged
			continue
		}
		states[k] = StateWithdrawn
		withdraw = append(withdraw, k)
	}
	return put, withdraw, states
}

// sameRecord compares what two records mean, whatever the schema version in
// which they were written.
func sameRecord(a, b descriptor.Record) bool {
	a.SchemaVersion = b.SchemaVersion
	return reflect.DeepEqual(a, b)
}

func (w Writer) writeBuckets(ctx context.Context, a *attempt, old, next *cataloger.Catalog) error {
	for n, hash := range next.Hashes {
		if hash == old.Hashes[n] || hash == "" {
			continue
		}
		key := cataloger.BucketKey(n, hash)
		a.written = append(a.written, key)
		_, err := w.Store.Put(ctx, key, next.Buckets[n], 0)
		switch {
		case err == nil, accessor.IsKind(err, accessor.ErrorConflict):
			// A conflict means that the object exists. Its key says its content.
		case accessor.IsKind(err, accessor.ErrorOutcomeUnknown):
			if err := w.confirm(ctx, key); err != nil {
				return err
			}
		case accessor.IsKind(err, accessor.ErrorTooLarge):
			return &Error{Op: "write bucket", Kind: ErrorInvalid, Err: err}
		default:
			return &Error{Op: "write bucket", Kind: ErrorPlatform, Err: err}
		}
	}
	return nil
}

// confirm fails unless the object exists.
func (w Writer) confirm(ctx context.Context, key string) error {
	o, err := w.Store.Get(ctx, key)
	if err == nil && o.Version == 0 {
		err = errors.Errorf("object %s was not written", key)
	}
	if err != nil {
		return &Error{Op: "write bucket", Kind: ErrorPlatform, Err: err}
	}
	return nil
}

// writeHead reports whether the set next was accepted.
func (w Writer) writeHead(ctx context.Context, a *attempt, present *set, next *cataloger.Catalog, mark cataloger.RevisionWriter) (bool, error) {
	now := w.Clock.Now().UTC()
	h := cataloger.Head{Revision: next.Revision, Buckets: next.Hashes, AcceptedAt: now, RecentWriters: append(last(present.head.RecentWriters, keptMarks-1), mark)}
	h.ReplacedBuckets = w.replaced(ctx, a, present, next, now)
	value, err := encode(h)
	if err != nil {
		return false, err
	}
	_, err = w.Store.Put(ctx, cataloger.HeadKey, value, present.version)
	switch {
	case err == nil:
		return true, nil
	case accessor.IsKind(err, accessor.ErrorConflict):
		return false, nil
	case accessor.IsKind(err, accessor.ErrorOutcomeUnknown):
		a.uncertain = true
		return w.readBack(ctx, present, mark)
	}
	return false, &Error{Op: "write head", Kind: ErrorPlatform, Err: err}
}

// readBack finds out whether the head with the given mark was accepted.
func (w Writer) readBack(ctx context.Context, present *set, mark cataloger.RevisionWriter) (bool, error) {
	unknown := func(err error) error {
		return &Error{Op: "read the head back", Kind: ErrorUnknown, Revision: mark.Revision, Err: err}
	}
	for range readBacks {
		o, err := w.Store.Get(ctx, cataloger.HeadKey)
		if err != nil {
			if !pause(ctx, w.Clock, readPause) {
				return false, unknown(ctx.Err())
			}
			continue
		}
		h, err := cataloger.DecodeHead(o.Value)
		if err != nil {
			return false, unknown(err)
		}
		for _, m := range h.RecentWriters {
			if m == mark {
				return true, nil
			}
		}
		// With the version unchanged, the write had no effect so far. Should it
		// still take effect, the next attempt conflicts and finds the records as
		// this one wanted them.
		if o.Version == present.version {
			return false, nil
		}
		if len(h.RecentWriters) > 0 && h.RecentWriters[0].Revision <= mark.Revision {
			return false, nil
		}
		return false, unknown(errors.Errorf("%d later changes have removed the mark", h.Revision-mark.Revision))
	}
	return false, unknown(errors.New("the platform does not answer"))
}

// replaced returns the list of buckets to delete later. It deletes those whose
// time has come; should the head not be accepted, the next writer finds them
// gone.
func (w Writer) replaced(ctx context.Context, a *attempt, present *set, next *cataloger.Catalog, now time.Time) []cataloger.ReplacedBucket {
	live := map[string]bool{}
	for n, hash := range next.Hashes {
		live[cataloger.BucketKey(n, hash)] = true
	}
	list := append([]cataloger.ReplacedBucket(nil), present.head.ReplacedBuckets...)
	listed := map[string]bool{}
	for _, r := range list {
		listed[r.Key] = true
	}
	add := func(key string) {
		if !live[key] && !listed[key] {
			listed[key] = true
			list = append(list, cataloger.ReplacedBucket{Key: key, ReplacedAt: now})
		}
	}
	for n, hash := range present.catalog.Hashes {
		if hash != "" {
			add(cataloger.BucketKey(n, hash))
		}
	}
	for _, key := range a.written {
		add(key)
	}
	kept := list[:0]
	for i, r := range list {
		due := now.Sub(r.ReplacedAt) >= keepReplaced || len(list)-i > maxReplaced
		if !due || !w.remove(ctx, r.Key) {
			kept = append(kept, r)
		}
	}
	return kept
}

func (w Writer) remove(ctx context.Context, key string) bool {
	o, err := w.Store.Get(ctx, key)
	if err != nil {
		return false
	}
	return o.Version == 0 || w.Store.Delete(ctx, key, o.Version) == nil
}

func last(marks []cataloger.RevisionWriter, n int) []cataloger.RevisionWriter {
	return append([]cataloger.RevisionWriter(nil), marks[max(0, len(marks)-n):]...)
}

func nonce() string {
	b := make([]byte, 8)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func pause(ctx context.Context, c timer.Clock, d time.Duration) bool {
	wake, stop := c.After(d)
	defer stop()
	select {
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}
