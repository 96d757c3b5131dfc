package dispatcher

import "time"

// Summary describes a request at the time of a decision, for logs and metrics.
type Summary struct {
	Route        string
	Service      string
	Organisation string
	Upstream     string
	Attempts     int
	// Version is the version of the configuration that admitted the request.
	Version int64
	Elapsed time.Duration
	// Outstanding is the number of requests of this entry in flight on the upstream
	// when the request was sent, and PendingTokens the number of their prompt
	// tokens that waited for prefill.
	Outstanding   int
	PendingTokens int
	// Prefix is the hash of the shared prompt prefix, and PromptTokens the length
	// of the whole prompt.
	Prefix       uint64
	PromptTokens int
	// ExpectedStart is the time after which the first event of the last attempt was
	// expected when it was sent or refused, and PrefillTokens the number of prompt tokens
	// that the upstream was expected to prefill for it. Deferred is true if it was run
	// after all others.
	ExpectedStart time.Duration
	PrefillTokens int
	Deferred      bool
	// CacheSource is the instance ID of the upstream from which the prefix was
	// copied, or empty if there is none.
	CacheSource string
	// Parts are the [Request.Parts] of the request.
	Parts []uint64
	// Digest is the [Request.Digest] of the request.
	Digest string
	// TakeUp says what the software version of a stream that was taken up rests on, or why it
	// is not known, like the Reason of a judgement of package resumer. It is empty for other
	// requests.
	TakeUp string
	// Reason is the code of the failure, or why the request ended.
	Reason string
}
