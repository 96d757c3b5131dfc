package cataloger

import (
	"reflect"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

// MaxLogChanges is the maximum number of record changes in a [DeltaLog].
const MaxLogChanges = 512

// Change is a record that differs between two sets. Entry is nil if the
// record is withdrawn.
type Change struct {
	Kind  descriptor.Kind `json:"kind"`
	Name  string          `json:"name"`
	Entry *Entry          `json:"entry,omitempty"`
}

// Key returns the key of the record.
func (c Change) Key() descriptor.Key { return descriptor.Key{Kind: c.Kind, Name: c.Name} }

// Delta holds the changes from the set of one revision to that of a later
// one.
type Delta struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
	// Root is the root hash of the resulting set.
	Root    string   `json:"root"`
	Changes []Change `json:"changes"`
}

// Diff returns the delta from a to b.
func Diff(a, b *Catalog) Delta {
	d := Delta{From: a.Revision, To: b.Revision, Root: b.Root()}
	all := map[descriptor.Key]struct{}{}
	for k, e := range b.Entries {
		if old, ok := a.Entries[k]; !ok || old.Revision != e.Revision || !reflect.DeepEqual(old.Record, e.Record) {
			all[k] = struct{}{}
		}
	}
	for k := range a.Entries {
		if _, ok := b.Entries[k]; !ok {
			all[k] = struct{}{}
		}
	}
	for _, k := range SortedKeys(all) {
		change := Change{Kind: k.Kind, Name: k.Name}
		if e, ok := b.Entries[k]; ok {
			change.Entry = &e
		}
		d.Changes = append(d.Changes, change)
	}
	return d
}

// Apply returns the set that results from applying d to c. It fails with
// [ErrorBase] if d does not start at the revision of c, with [ErrorOrder] if
// d does not lead to a later revision, and with [ErrorHash] if the root hash
// of the result differs from that of d.
func (c *Catalog) Apply(d Delta) (*Catalog, error) {
	if d.From != c.Revision {
		return nil, &Error{Op: "apply delta", Kind: ErrorBase, Err: errors.Errorf("the delta starts at revision %d, the set has revision %d", d.From, c.Revision)}
	}
	if d.To <= d.From {
		return nil, &Error{Op: "apply delta", Kind: ErrorOrder, Err: errors.Errorf("the delta goes from revision %d to revision %d, which is not later", d.From, d.To)}
	}
	for _, change := range d.Changes {
		if change.Entry != nil && change.Entry.Record.Key() != change.Key() {
			return nil, &Error{Op: "apply delta", Kind: ErrorFormat, Err: errors.Errorf("the change of %s %q contains %s %q", change.Kind, change.Name, change.Entry.Record.Kind, change.Entry.Record.Name)}
		}
	}
	next, err := c.applyChanges(d.To, d.Changes)
	if err != nil {
		return nil, err
	}
	if next.Root() != d.Root {
		return nil, &Error{Op: "apply delta", Kind: ErrorHash, Err: errors.Errorf("the set of revision %d has root hash %q, the delta has %q", d.To, next.Root(), d.Root)}
	}
	return next, nil
}

// DeltaLog holds the latest deltas, limited to [MaxLogChanges] record
// changes. The zero value is an empty log.
type DeltaLog struct {
	Deltas []Delta
}

// Append adds the delta that produced the current set. A delta that does not
// follow the last one replaces the log.
func (l *DeltaLog) Append(d Delta) {
	if n := len(l.Deltas); n > 0 && l.Deltas[n-1].To != d.From {
		l.Deltas = nil
	}
	l.Deltas = append(l.Deltas, d)
	count := 0
	for i := len(l.Deltas) - 1; i >= 0; i-- {
		if count += len(l.Deltas[i].Changes); count > MaxLogChanges {
			l.Deltas = append([]Delta(nil), l.Deltas[i+1:]...)
			return
		}
	}
}

// DeltaFrom returns the combined delta from the given revision to the latest
// one, and false if the log does not contain that revision.
func (l *DeltaLog) DeltaFrom(revision int64) (Delta, bool) {
	for i, d := range l.Deltas {
		if d.From != revision {
			continue
		}
		last := l.Deltas[len(l.Deltas)-1]
		out := Delta{From: revision, To: last.To, Root: last.Root}
		latest := map[descriptor.Key]Change{}
		for _, later := range l.Deltas[i:] {
			for _, change := range later.Changes {
				latest[change.Key()] = change
			}
		}
		for _, k := range SortedKeys(latest) {
			out.Changes = append(out.Changes, latest[k])
		}
		return out, true
	}
	return Delta{}, false
}
