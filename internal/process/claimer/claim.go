package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"time"
)

const (
	// Shards is the number of shards. With one write per shard in each
	// [MinWriteInterval], the fleet makes at most 160 claim writes per second. The
	// platform accepts several hundred writes per second, so more than half remain
	// for all other uses.
	Shards = 8
	// MinWriteInterval is the minimum interval between two writes of a shard by one
	// process.
	MinWriteInterval = 50 * time.Millisecond
	// MaxSegmentBytes is the maximum size of a segment, which is always read and
	// written as a whole.
	MaxSegmentBytes = 32 << 10
	// MaxAnswerBytes is the maximum size of a stored answer.
	MaxAnswerBytes = 2 << 10
	// ClaimLifetime is the time after which a claim expires.
	ClaimLifetime = time.Hour
)

// OpKind is the kind of an [Op].
type OpKind int

// The kinds of operations.
const (
	// OpClaim claims a key for a run.
	OpClaim OpKind = iota
	// OpFinish marks the claim as finished and stores the answer of the run.
	OpFinish
	// OpRelease releases the key of a run that was certainly not started.
	OpRelease
)

// Op is an operation on a claim.
type Op struct {
	Kind OpKind
	// Key is the result of [HashKey].
	Key string
	// Run is the unique identifier of the request that claims the key.
	Run string
	// Fingerprint identifies the content of the request.
	Fingerprint string
	// Answer is the answer that OpFinish stores. It is nil if it is larger than
	// [MaxAnswerBytes].
	Answer []byte
	// Deadline is the time at which the operation fails with
	// [VerdictUnavailable].
	Deadline time.Time
}

// Verdict is the decision on an operation.
type Verdict int

// The verdicts.
const (
	// VerdictUnavailable means that there was no decision before the deadline. The
	// claim may still be written, but its run must not start.
	VerdictUnavailable Verdict = iota
	// VerdictGranted means that the run, and no other, may start.
	VerdictGranted
	// VerdictRunning means that another run holds the key and has neither finished
	// nor released it.
	VerdictRunning
	// VerdictFinished means that a run with the key has finished.
	VerdictFinished
	// VerdictMismatch means that the key was claimed by a request with other
	// content.
	VerdictMismatch
	// VerdictRecorded means that an [OpFinish] or [OpRelease] is stored or no longer
	// has any effect.
	VerdictRecorded
)

// Result is the result of an operation.
type Result struct {
	Verdict Verdict
	// Answer is the stored answer with [VerdictFinished]. It is nil if no answer
	// was stored.
	Answer []byte
}

// HashKey returns the hash by which the idempotency key of an organisation is
// stored: 128 bits of SHA-256 in hexadecimal digits.
func HashKey(organisation, key string) string { return hashParts([]byte(organisation), []byte(key)) }

// hashParts hashes the hashes of the parts, so that moving bytes from one part to
// the next changes the result.
func hashParts(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256(p)
		_, _ = h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// ShardOf returns the index of the shard of a hashed key.
func ShardOf(key string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum32() % Shards)
}

// String returns the name of the verdict in the trace.
func (v Verdict) String() string {
	switch v {
	case VerdictGranted:
		return "granted"
	case VerdictRunning:
		return "running"
	case VerdictFinished:
		return "finished"
	case VerdictMismatch:
		return "mismatch"
	case VerdictRecorded:
		return "recorded"
	}
	return "unavailable"
}
