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
