package claimer

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// State is the state of a claim.
type State string

// The states.
const (
	StateClaimed  State = "claimed"
	StateFinished State = "finished"
	StateReleased State = "released"
)

// Record is the state of one claim in a segment. If a chain has several records
// with the same key, the last one is valid.
type Record struct {
	Key         string `json:"key"`
	Run         string `json:"run"`
	Fingerprint string `json:"fingerprint"`
	State       State  `json:"state"`
	// At is the time at which the record was written, in milliseconds since the
	// Unix epoch on the clock of the writer.
	At     int64  `json:"at"`
	Answer []byte `json:"answer,omitempty"`
}

// Segment is the value of an object in the chain of a shard.
type Segment struct {
	// Sealed is true if the segment never changes again and the chain continues
	// with the next sequence number.
	Sealed  bool     `json:"sealed,omitempty"`
	Records []Record `json:"records"`
}

// expired reports whether the record is older than [ClaimLifetime].
func (r Record) expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(r.At)) >= ClaimLifetime
}

// latestTime returns the time of the newest record in milliseconds since the Unix
// epoch.
func (s Segment) latestTime() int64 {
	var at int64
	for _, r := range s.Records {
		at = max(at, r.At)
	}
	return at
}

// withRecord returns a copy of s with r appended and without any earlier record of
// the same key.
func (s Segment) withRecord(r Record) Segment {
	out := Segment{Sealed: s.Sealed, Records: make([]Record, 0, len(s.Records)+1)}
	for _, old := range s.Records {
		if old.Key != r.Key {
			out.Records = append(out.Records, old)
		}
	}
	out.Records = append(out.Records, r)
	return out
}

// maxEncodedBytes returns an upper bound of the encoded size of r in bytes.
func (r Record) maxEncodedBytes() int {
	const overheadBytes = 128
	return overheadBytes + len(r.Key) + 2*len(r.Run) + len(r.Fingerprint) + 4*(len(r.Answer)+2)/3
}

// maxEncodedBytes returns an upper bound of the encoded size of s in bytes.
func (s Segment) maxEncodedBytes() int {
	n := 64
	for _, r := range s.Records {
		n += r.maxEncodedBytes()
	}
	return n
}

// Encode returns the object value of s. It fails with [ErrorSegment].
func (s Segment) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, &Error{Op: "encode segment", Kind: ErrorSegment, Err: err}
	}
	return data, nil
}

// DecodeSegment decodes the value of an object. It fails with [ErrorSegment].
func DecodeSegment(value []byte) (Segment, error) {
	var s Segment
	if err := json.Unmarshal(value, &s); err != nil {
		return s, &Error{Op: "decode segment", Kind: ErrorSegment, Err: err}
	}
	return s, nil
}

// segmentKeyPrefix returns the common prefix of the object keys of the segments of
// a shard.
func segmentKeyPrefix(shard int) string { return fmt.Sprintf("claims/%d/", shard) }

// segmentKey returns the object key of a segment. The sequence number is padded
// with zeros so that keys sort in its order.
func segmentKey(shard int, sequence int64) string {
	return fmt.Sprintf("%s%012d", segmentKeyPrefix(shard), sequence)
}

// parseSequence returns the sequence number in the object key of a segment.
func parseSequence(key string) (int64, error) {
	text := key[strings.LastIndexByte(key, '/')+1:]
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 {
		return 0, &Error{Op: "parse key " + key, Kind: ErrorSegment, Err: errors.Errorf("sequence %q is not a positive integer", text)}
	}
	return n, nil
}
