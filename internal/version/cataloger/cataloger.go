// Package cataloger defines the storage format of the accepted set of records
// and of the deltas between its revisions.
//
// The set is content-addressed. Each record belongs to one of 64 buckets,
// selected by the hash of its key. A bucket is an immutable object whose key
// contains the hash of its content. The [Head] contains the revision and the
// 64 hashes. A set is accepted as a whole by an update of the head, and the
// conditional update of the head puts all accepted sets in one order. The
// root hash, computed over the 64 bucket hashes, identifies a set.
//
// Each [Entry] of a bucket contains a record and the revision that last changed
// it.
// The content of a bucket therefore never returns to an earlier state, and an
// old bucket can be deleted while other writers are active.
//
// A [Delta] transforms the set of one revision into that of a later one.
// [Catalog.Apply] verifies the root hash of the result, so an incorrect delta
// never takes effect.
//
// # Usage
//
//	next, err := c.Update(revision, records, nil)
//	for n := range next.Buckets {
//		// write next.Buckets[n] where its hash differs from that of c
//	}
//	delta := cataloger.Diff(c, next)
//	same, err := c.Apply(delta)
package cataloger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

const (
	// HeadKey is the object key of the head.
	HeadKey = "records/head"
	// BucketCount is the number of buckets. With 3,500 upstreams a bucket
	// contains about 60 records in 16 KB, and the head is smaller than 3 KB.
	BucketCount = 64
	// hashBytes is the length to which SHA-256 hashes are truncated. 128 bits
	// rule out accidental collisions and halve the size of the head.
	hashBytes = 16
)

// Head is the object whose update accepts a set.
type Head struct {
	Revision int64 `json:"revision"`
	// Buckets holds the hash of each bucket. An empty bucket has no hash and no
	// object.
	Buckets [BucketCount]string `json:"buckets"`
	// AcceptedAt is the time of the update on the clock of the writer.
	AcceptedAt time.Time `json:"accepted_at"`
	// RecentWriters identifies the latest revisions and their writers, newest
	// last. A writer that got no response to its update checks here whether the
	// update was accepted.
	RecentWriters []RevisionWriter `json:"marks,omitempty"`
	// ReplacedBuckets lists the buckets to be deleted later.
	ReplacedBuckets []ReplacedBucket `json:"replaced,omitempty"`
}

// RevisionWriter identifies the writer of a revision.
type RevisionWriter struct {
	Revision int64  `json:"revision"`
	Writer   string `json:"writer"`
}

// ReplacedBucket is a bucket that is no longer part of the accepted set.
type ReplacedBucket struct {
	Key        string    `json:"key"`
	ReplacedAt time.Time `json:"at"`
}

// Root returns the hash over the bucket hashes.
func (h Head) Root() string { return Root(h.Buckets) }

// Root returns the hash over the bucket hashes.
func Root(buckets [BucketCount]string) string { return hash([]byte(strings.Join(buckets[:], ","))) }

// DecodeHead decodes a head. Empty data is the head before the first
// revision. It returns an error for a head whose last writer did not accept its
// revision: another program stored it, and its buckets may be missing.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if len(data) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(data, &h); err != nil {
		return h, &Error{Op: "decode head", Kind: ErrorFormat, Err: err}
	}
	if n := len(h.RecentWriters); n == 0 || h.RecentWriters[n-1].Revision != h.Revision {
		return h, &Error{Op: "decode head", Kind: ErrorFormat, Err: errors.Errorf("revision %d is not that of the last writer", h.Revision)}
	}
	return h, nil
}

// Entry is a record of a set with the revision that last changed it.
type Entry struct {
	// Revision is the revision that last changed the record.
	Revision int64
	Record   descriptor.Record
}

// entryJSON is the JSON form of an [Entry]. It holds the record in the latest
// schema version, so that no field is lost, and the schema version in which
// the record was written.
type entryJSON struct {
	Revision       int64           `json:"revision"`
	WrittenVersion int             `json:"written"`
	Record         json.RawMessage `json:"record"`
}

// MarshalJSON implements json.Marshaler.
func (e Entry) MarshalJSON() ([]byte, error) {
	raw, err := descriptor.Encode(e.Record)
	if err != nil {
		return nil, err
	}
	return json.Marshal(entryJSON{e.Revision, e.Record.SchemaVersion, raw})
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *Entry) UnmarshalJSON(data []byte) error {
	var w entryJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	r, err := descriptor.Decode(w.Record)
	if err != nil {
		return err
	}
	r.SchemaVersion = w.WrittenVersion
	e.Revision, e.Record = w.Revision, r
	return nil
}

// BucketOf returns the index of the bucket of k.
func BucketOf(k descriptor.Key) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(string(k.Kind) + "/" + k.Name))
	return int(h.Sum32() % BucketCount)
}

// BucketKey returns the object key of bucket n with the given content hash.
func BucketKey(n int, hash string) string { return fmt.Sprintf("records/bucket/%d/%s", n, hash) }

// Catalog is an accepted set of records. It is immutable. The zero value is
// the empty set before the first revision.
type Catalog struct {
	Revision int64
	Entries  map[descriptor.Key]Entry
	// Buckets holds the encoded content of each bucket, and Hashes the hash of
	// each content.
	Buckets [BucketCount][]byte
	Hashes  [BucketCount]string
}

// Root returns the root hash of c.
func (c *Catalog) Root() string { return Root(c.Hashes) }

// List returns the records sorted by key.
func (c *Catalog) List() []descriptor.Record {
	out := make([]descriptor.Record, 0, len(c.Entries))
	for _, k := range SortedKeys(c.Entries) {
		out = append(out, c.Entries[k].Record)
	}
	return out
}

// SortedKeys returns the keys of m sorted by kind and name.
func SortedKeys[V any](m map[descriptor.Key]V) []descriptor.Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b descriptor.Key) int {
		if n := strings.Compare(string(a.Kind), string(b.Kind)); n != 0 {
			return n
		}
		return strings.Compare(a.Name, b.Name)
	})
}

// Update returns the set of the given revision, in which the records of put
// are added or replaced and the keys of withdraw are removed.
func (c *Catalog) Update(revision int64, put []descriptor.Record, withdraw []descriptor.Key) (*Catalog, error) {
	changes := make([]Change, 0, len(put)+len(withdraw))
	for _, r := range put {
		changes = append(changes, Change{Kind: r.Kind, Name: r.Name, Entry: &Entry{Revision: revision, Record: r}})
	}
	for _, k := range withdraw {
		changes = append(changes, Change{Kind: k.Kind, Name: k.Name})
	}
	return c.applyChanges(revision, changes)
}

// applyChanges returns a copy of c with the changes applied. Only the buckets
// of changed records are encoded again.
func (c *Catalog) applyChanges(revision int64, changes []Change) (*Catalog, error) {
	next := &Catalog{Revision: revision, Entries: maps.Clone(c.Entries), Buckets: c.Buckets, Hashes: c.Hashes}
	if next.Entries == nil {
		next.Entries = map[descriptor.Key]Entry{}
	}
	changedBuckets := map[int]map[descriptor.Key]Entry{}
	for _, d := range changes {
		changedBuckets[BucketOf(d.Key())] = map[descriptor.Key]Entry{}
		if d.Entry == nil {
			delete(next.Entries, d.Key())
			continue
		}
		next.Entries[d.Key()] = *d.Entry
	}
	for k, e := range next.Entries {
		if entries := changedBuckets[BucketOf(k)]; entries != nil {
			entries[k] = e
		}
	}
	for n, entries := range changedBuckets {
		if err := next.encodeBucket(n, entries); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func (c *Catalog) encodeBucket(n int, entries map[descriptor.Key]Entry) error {
	if len(entries) == 0 {
		c.Buckets[n], c.Hashes[n] = nil, ""
		return nil
	}
	list := make([]Entry, 0, len(entries))
	for _, k := range SortedKeys(entries) {
		list = append(list, entries[k])
	}
	data, err := json.Marshal(list)
	if err != nil {
		return &Error{Op: "encode bucket", Kind: ErrorFormat, Err: errors.Wrapf(err, "bucket %d", n)}
	}
	c.Buckets[n], c.Hashes[n] = data, hash(data)
	return nil
}

// Assemble builds a set from the bucket hashes of a head and the bucket
// contents. It verifies each content against its hash.
func Assemble(revision int64, hashes [BucketCount]string, contents [BucketCount][]byte) (*Catalog, error) {
	c := &Catalog{Revision: revision, Entries: map[descriptor.Key]Entry{}, Buckets: contents, Hashes: hashes}
	for n, data := range contents {
		if len(data) == 0 && hashes[n] == "" {
			continue
		}
		if hash(data) != hashes[n] {
			return nil, &Error{Op: "assemble", Kind: ErrorHash, Err: errors.Errorf("bucket %d has hash %q, the head has %q", n, hash(data), hashes[n])}
		}
		var list []Entry
		if err := json.Unmarshal(data, &list); err != nil {
			return nil, &Error{Op: "assemble", Kind: ErrorFormat, Err: errors.Wrapf(err, "bucket %d", n)}
		}
		for _, e := range list {
			c.Entries[e.Record.Key()] = e
		}
	}
	return c, nil
}

func hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:hashBytes])
}
