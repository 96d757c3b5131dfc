package elector

import (
	"encoding/json"
	"time"
)

// Record is the stored content of a lease object.
type Record struct {
	// Holder is empty if the last holder released the lease.
	Holder string `json:"holder"`
	// FencingNumber increases with each holder.
	FencingNumber int64 `json:"number"`
	// Duration is the time for which each write of the record is valid, in
	// nanoseconds.
	Duration time.Duration `json:"duration"`
}

// Encode encodes the record as JSON.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, &Error{Op: "encode record", Kind: ErrorRecord, Err: err}
	}
	return data, nil
}

// DecodeRecord decodes a stored record. Its errors have the kind
// [ErrorRecord].
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return r, &Error{Op: "decode record", Kind: ErrorRecord, Err: err}
	}
	return r, nil
}

// Key returns the object key of the lease with the given name.
func Key(name string) string { return "leases/" + name }

// Lease is the validity of a lease for its holder. The zero value is not
// held.
type Lease struct {
	FencingNumber int64
	// ValidFrom is the time before the write that acquired or renewed the lease.
	// ValidFor is the time from then on in which the holder may act.
	ValidFrom time.Time
	ValidFor  time.Duration
}

// Held reports whether the holder may act at the time now.
func (l Lease) Held(now time.Time) bool {
	return l.ValidFor > 0 && maxElapsed(l.ValidFrom, now) < l.ValidFor
}

// Remaining returns the time after now in which the holder may still act. It is zero if
// the lease is not held.
func (l Lease) Remaining(now time.Time) time.Duration {
	if !l.Held(now) {
		return 0
	}
	return l.ValidFor - maxElapsed(l.ValidFrom, now)
}

// maxElapsed returns the longer of the times that elapsed on the wall clock
// and on the monotonic clock. A suspended VM may stop the monotonic clock,
// and a correction may set the wall clock back; the holder must not act too
// long in either case.
func maxElapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// minElapsed returns the shorter of the two elapsed times, for a candidate
// that waits until the lease of another holder expires.
func minElapsed(from, to time.Time) time.Duration {
	return shorterElapsed(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// shorterElapsed returns the shorter of the times that elapsed on the monotonic clock
// and on the wall clock. A wall clock that was set back says nothing: the candidate
// would wait until it has caught up, which may take hours.
func shorterElapsed(monotonic, wall time.Duration) time.Duration {
	if wall < 0 {
		return monotonic
	}
	return min(monotonic, wall)
}
