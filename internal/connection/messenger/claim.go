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
	ID uint64 `json:"id"`
	// Kind is the number of the operation, a claimer.OpKind.
	Kind int `json:"kind"`
	// Key is a hash of the idempotency key.
	Key string `json:"key"`
	// Run is the ID of the request that claims the key.
	Run string `json:"run"`
	// Fingerprint identifies the content of the request.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Answer is the answer to store when the run has finished.
	Answer []byte `json:"answer,omitempty"`
	// Timeout is the time left for the answer, in nanoseconds. It is relative,
	// since the clocks of two VMs differ.
	Timeout time.Duration `json:"in"`
}

// ClaimAnswer is the response to a [Claim]. It is a notification with the same
// method on the same connection.
type ClaimAnswer struct {
	Stamp tracer.Stamp `json:"stamp"`
	ID    uint64       `json:"id"`
	// Verdict is the number of the decision, a claimer.Verdict.
	Verdict int `json:"verdict"`
	// Answer is the stored answer of a finished run.
	Answer []byte `json:"answer,omitempty"`
}
