package messenger

import (
	"time"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// Claim asks an entry to write one operation on the claim of an idempotency
// key. It is a notification and not a call, so that many operations can be
// pending on one connection.
type Claim struct {
	Stamp tracer.Stamp `json:"stamp"`
	// ID matches a [ClaimAnswer] to its Claim.
	ID          uint64 `json:"id"`
	Kind        int    `json:"kind"`
	Key         string `json:"key"`
	Run         string `json:"run"`
	Fingerprint string `json:"fingerprint,omitempty"`
	Answer      []byte `json:"answer,omitempty"`
	// Timeout is the time left for the answer, in nanoseconds. It is relative,
	// since the clocks of two VMs differ.
	Timeout time.Duration `json:"in"`
}

// ClaimAnswer is the response to a [Claim]. It is a notification with the same
// method on the same connection.
type ClaimAnswer struct {
	Stamp   tracer.Stamp `json:"stamp"`
	ID      uint64       `json:"id"`
	Verdict int          `json:"verdict"`
	Answer  []byte       `json:"answer,omitempty"`
}
