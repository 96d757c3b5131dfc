package resumer

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// maxWriteSkew bounds the time within which entries write that a version has come or gone,
// and the difference of their clocks.
const maxWriteSkew = 5 * time.Second

// EntryRecord is the record that one entry has kept.
type EntryRecord struct {
	Record
	Entry string
	// Own is true for the record of this entry, or of an earlier process in its place.
	Own bool
	// Revision orders the records by the times at which the platform has stored them.
	Revision int64
	// WrittenAt is the time of the record by the clock of its entry.
	WrittenAt time.Time
}

// Recall is the outcome of reading the records of all entries.
type Recall struct {
	// Ticket is the number of the call, which began after it was given out. It is zero for
	// the first call after the start.
	Ticket  uint64
	Records []EntryRecord
	// Failed is true if the records could not be read.
	Failed bool
}

// Merge returns what the records say together: the versions in use, and the streams that may
// still be taken up. Times are compared with that of the newest record only, as the clock of
// this entry may differ.
func Merge(records []EntryRecord) Record {
	out := Record{Served: inUse(records)}
	newest := newestWrite(records)
	for _, r := range records {
		if newest.Sub(r.WrittenAt) <= Horizon {
			out.Streams = append(out.Streams, r.Streams...)
		}
	}
	return out
}

// inUse returns the versions of the newest records, since each entry writes at once when they
// change, and records of entries that ended long ago remain. If the clocks of the entries
// disagree, it returns those of all records.
func inUse(records []EntryRecord) []Served {
	var out []Served
	newest, inOrder := newestWrite(records), areClocksInOrder(records)
	for _, r := range records {
		if !inOrder || newest.Sub(r.WrittenAt) <= maxWriteSkew {
			out = append(out, r.Served...)
		}
	}
	return out
}

func newestWrite(records []EntryRecord) time.Time {
	var newest time.Time
	for _, r := range records {
		if r.WrittenAt.After(newest) {
			newest = r.WrittenAt
		}
	}
	return newest
}

// areClocksInOrder reports whether the times of the records are in the order in which the
// platform has stored them.
func areClocksInOrder(records []EntryRecord) bool {
	ordered := slices.SortedFunc(slices.Values(records), func(a, b EntryRecord) int { return cmp.Compare(a.Revision, b.Revision) })
	var latest time.Time
	for _, r := range ordered {
		if latest.Sub(r.WrittenAt) > maxWriteSkew {
			return false
		}
		if r.WrittenAt.After(latest) {
			latest = r.WrittenAt
		}
	}
	return true
}

// digestBase is the base of a digest in text.
const digestBase = 16

// FormatDigest returns a digest as text, since not every reader of JSON keeps all digits of a
// large number.
func FormatDigest(digest uint64) string { return strconv.FormatUint(digest, digestBase) }

// ParseDigest returns the digest that a text stands for.
func ParseDigest(text string) (uint64, error) { return strconv.ParseUint(text, digestBase, 64) }
