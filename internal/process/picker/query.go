package picker

import "time"

// Query describes a request for which an upstream is to be selected.
type Query struct {
	// Candidates are the names of the upstreams that can serve the request.
	Candidates       []string
	AvailabilityZone string
	// Exclude lists upstreams that have already refused or lost the request.
	Exclude []string
	// Tier is the scheduling tier of the request, from 1 for the most urgent.
	Tier int
	// TokenGapTarget is the target of the class for the time between tokens. Zero
	// means that the class has no target.
	TokenGapTarget time.Duration
	// LatencyTarget is the target for the time to the first token, or to the whole
	// answer. Zero means that there is no target.
	LatencyTarget time.Duration
	// Prefix is the hash of the first PrefixTokens tokens of the prompt. With zero
	// the cached prefixes are not considered.
	Prefix       uint64
	PrefixTokens int
	PromptTokens int
	// PrefillPerToken is the time in which an upstream of the service prefills a prompt
	// token. Zero means unknown.
	PrefillPerToken time.Duration
	// CacheResidence is the time for which an upstream holds a prefix that no request
	// uses. Zero means unknown.
	CacheResidence time.Duration
	// Suspect is true for a request that was in flight on an upstream when it
	// crashed. The request may have caused the crash.
	Suspect bool
	// LongPrompt is true for a request whose prompt would delay the tokens of other
	// requests too much.
	LongPrompt bool
	// LongPromptShare is the share of the upstreams that requests with long prompts
	// need. Zero or one means that all requests share all upstreams.
	LongPromptShare float64
	// MaxSpilloverTokens is the number of pending prompt tokens, with those of this
	// request, up to which a long prompt may be sent to an upstream outside the pool.
	MaxSpilloverTokens int
	// Deferred is true for a request that upstreams run after all others. It is sent to
	// the best of a few random upstreams, since those of the other entries, which are not
	// reported, would all be sent to the same one.
	Deferred bool
	// Deferrable is true for a request that must leave some slots to more urgent
	// ones.
	Deferrable bool
}
