package cataloger

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

func class(name string, tier int) descriptor.Record {
	return descriptor.Record{SchemaVersion: 1 + tier%2, Kind: descriptor.KindClass, Name: name, Class: &descriptor.Class{Tier: tier}}
}

func mustUpdate(t *testing.T, c *Catalog, put []descriptor.Record, withdraw ...descriptor.Key) *Catalog {
	t.Helper()
	next, err := c.Update(c.Revision+1, put, withdraw)
	is.New(t).NoErr(err)
	return next
}

// assertSame checks that got and want have the same revision, root hash and
// records.
func assertSame(t *testing.T, got, want *Catalog) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.Revision, want.Revision)
	is.Equal(got.Root(), want.Root())
	is.Equal(got.List(), want.List())
}

func assertErrorKind(t *testing.T, err error, kind ErrorKind) {
	t.Helper()
	is := is.New(t)
	var e *Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, kind)
}

// A set must be the same whether it was updated, assembled from buckets or
// reached by a delta.
func TestCatalogIsSameWhenUpdatedAssembledOrDeltaApplied(t *testing.T) {
	is := is.New(t)
	a := mustUpdate(t, &Catalog{}, []descriptor.Record{class("a", 1), class("b", 2), class("c", 3)})
	b := mustUpdate(t, a, []descriptor.Record{class("b", 4)}, class("c", 0).Key())
	t.Run("assembled from buckets: same set", func(t *testing.T) {
		got, err := Assemble(b.Revision, b.Hashes, b.Buckets)
		is.NoErr(err)
		assertSame(t, got, b)
	})
	t.Run("encoded delta applied: same set", func(t *testing.T) {
		data, err := json.Marshal(Diff(a, b))
		is.NoErr(err)
		var d Delta
		is.NoErr(json.Unmarshal(data, &d))
		got, err := a.Apply(d)
		is.NoErr(err)
		assertSame(t, got, b)
		is.Equal(len(d.Changes), 2)
	})
	t.Run("unchanged buckets keep their hashes", func(t *testing.T) {
		is.Equal(a.Hashes[BucketOf(class("a", 0).Key())], b.Hashes[BucketOf(class("a", 0).Key())])
	})
	t.Run("content never returns to an earlier hash", func(t *testing.T) {
		c := mustUpdate(t, b, []descriptor.Record{class("b", 2), class("c", 3)})
		is.True(c.Hashes[BucketOf(class("b", 0).Key())] != a.Hashes[BucketOf(class("b", 0).Key())])
	})
}

// Data from a faulty peer or store must not take effect.
func TestInvalidDeltaOrBucketIsRejected(t *testing.T) {
	a := mustUpdate(t, &Catalog{}, []descriptor.Record{class("a", 1)})
	b := mustUpdate(t, a, []descriptor.Record{class("a", 2)})
	t.Run("wrong root hash: rejected", func(t *testing.T) {
		d := Diff(a, b)
		d.Root = a.Root()
		_, err := a.Apply(d)
		assertErrorKind(t, err, ErrorHash)
	})
	t.Run("modified record: rejected", func(t *testing.T) {
		d := Diff(a, b)
		d.Changes[0].Entry = &Entry{Revision: 2, Record: class("a", 3)}
		_, err := a.Apply(d)
		assertErrorKind(t, err, ErrorHash)
	})
	t.Run("different base revision: rejected", func(t *testing.T) {
		_, err := b.Apply(Diff(a, b))
		assertErrorKind(t, err, ErrorBase)
	})
	t.Run("delta to an earlier revision: rejected", func(t *testing.T) {
		_, err := b.Apply(Diff(b, a))
		assertErrorKind(t, err, ErrorOrder)
	})
	t.Run("modified bucket: rejected", func(t *testing.T) {
		contents := b.Buckets
		contents[BucketOf(class("a", 0).Key())] = a.Buckets[BucketOf(class("a", 0).Key())]
		_, err := Assemble(b.Revision, b.Hashes, contents)
		assertErrorKind(t, err, ErrorHash)
	})
}

// A log must return a delta from each revision that it contains to the last
// one, and hold at most MaxLogChanges changes.
func TestDeltaLogReturnsDeltaFromEachKeptRevision(t *testing.T) {
	is := is.New(t)
	var l DeltaLog
	sets := []*Catalog{{}}
	for i := range MaxLogChanges + 40 {
		next := mustUpdate(t, sets[i], []descriptor.Record{class(fmt.Sprint("c", i%7), 1+i%8)})
		l.Append(Diff(sets[i], next))
		sets = append(sets, next)
	}
	last := sets[len(sets)-1]
	is.Equal(len(l.Deltas), MaxLogChanges)
	_, ok := l.DeltaFrom(39)
	is.True(!ok)
	for _, from := range []int64{40, 300, last.Revision - 1} {
		d, ok := l.DeltaFrom(from)
		is.True(ok)
		got, err := sets[from].Apply(d)
		is.NoErr(err)
		assertSame(t, got, last)
	}
	l.Append(Delta{From: last.Revision + 5, To: last.Revision + 6})
	_, ok = l.DeltaFrom(last.Revision - 1)
	is.True(!ok)
}
