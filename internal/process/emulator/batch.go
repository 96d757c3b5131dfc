package emulator

import (
	"slices"
	"time"
)

// Defaults for zero fields of [BatchOptions].
const (
	defaultSlots        = 16
	defaultKVTokens     = 65536
	defaultPrefillChunk = 512
)

// BatchOptions configures a [Batch]. Sizes are in tokens unless stated
// otherwise.
type BatchOptions struct {
	// Slots is the maximum number of runs in the batch, 16 if zero.
	Slots int
	// KVTokens is the size of the KV cache that the running runs share, 65,536
	// if zero.
	KVTokens int
	// PrefixTokens is the size of the prefix cache. Zero disables it.
	PrefixTokens int
	// PromptDelay is the delay before the prefill of a run starts. It does not
	// delay other runs.
	PromptDelay time.Duration
	// PrefillTimePerToken is the prefill time of each uncached prompt token. It
	// delays all runs of the batch.
	PrefillTimePerToken time.Duration
	// PrefillChunk is the maximum number of prompt tokens in one iteration, 512
	// if zero.
	PrefillChunk int
	// DecodeTime is the base time of an iteration. DecodeTimePerRun is added for
	// each run that takes part in it.
	DecodeTime       time.Duration
	DecodeTimePerRun time.Duration
	// ReportLag is the delay with which load reports and cache events become
	// visible.
	ReportLag time.Duration
	// EventDropInterval drops every EventDropInterval-th cache event. Zero drops
	// none.
	EventDropInterval int
}

// BatchRun is one request to a [Batch].
type BatchRun struct {
	ID int64
	// Prefix identifies the first PrefixTokens tokens of the prompt. Zero means
	// that no other prompt shares them.
	Prefix       uint64
	PrefixTokens int
	PromptTokens int
	// Tokens is the length of the whole answer. Its first ResumeFrom tokens are
	// prefilled together with the prompt.
	Tokens     int
	ResumeFrom int
	// Priority orders the waiting runs; smaller values go first.
	Priority int
}

// Output is a generated token of a run or the end of the run.
type Output struct {
	ID int64
	At time.Time
	// Token is the index of the token in the whole answer, from zero. If
	// Finished is set, it is the length of the answer.
	Token    int
	Finished bool
}

// BatchLoad is a load report of an engine at the time At.
type BatchLoad struct {
	At       time.Time `json:"at"`
	Waiting  int       `json:"waiting"`
	Running  int       `json:"running"`
	Slots    int       `json:"slots"`
	KVUsed   int       `json:"kv_used"`
	KVTokens int       `json:"kv_tokens"`
}

// CacheEvent reports that a prefix was added to the prefix cache or removed
// from it.
type CacheEvent struct {
	At      time.Time `json:"at"`
	Prefix  uint64    `json:"prefix"`
	Removed bool      `json:"removed"`
}

// Batch simulates a model engine with continuous batching and chunked prefill.
// Each iteration prefills up to one chunk of prompt tokens and decodes one
// token for every run whose prefill is complete. A Batch has no goroutine and
// no clock: the owner calls [Batch.Step] at the time returned by
// [Batch.NextStep], and before any other method that takes a time.
type Batch struct {
	options  BatchOptions
	slowdown float64
	down     bool
	// waiting and running are ordered by priority, then by insertion. Running
	// runs are prefilled in that order.
	waiting []*batchRun
	running []*batchRun
	// stepAt is the end of the current iteration, or the time at which the next
	// prompt delay ends if no run is scheduled. It is zero without runs.
	stepAt      time.Time
	prefixes    []cachedPrefix
	loadReports []BatchLoad
	cacheEvents []CacheEvent
	eventCount  int
	// Evictions counts the runs that were removed from the batch because the KV
	// cache was full.
	Evictions int
	// PrefillTokens counts the prefilled prompt tokens, CachedTokens the prompt
	// tokens found in the prefix cache.
	PrefillTokens int
	CachedTokens  int
}

// batchRun is a run with its progress. prefillChunk and scheduled apply to the
// current iteration.
type batchRun struct {
	BatchRun
	// nextToken is the index of the next token to generate.
	nextToken    int
	prefillLeft  int
	prefillChunk int
	scheduled    bool
	readyAt      time.Time
}

type cachedPrefix struct {
	id     uint64
	tokens int
}

// NewBatch returns an empty batch.
func NewBatch(o BatchOptions) *Batch {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.KVTokens == 0 {
		o.KVTokens = defaultKVTokens
	}
	if o.PrefillChunk == 0 {
		o.PrefillChunk = defaultPrefillChunk
	}
	return &Batch{options: o, slowdown: 1}
}

// Add queues a run. It returns false if the engine is down or the prompt
// doesn't fit into the KV cache.
func (b *Batch) Add(now time.Time, r BatchRun) bool {
	if b.down || r.PromptTokens+r.ResumeFrom >= b.options.KVTokens {
		return false
	}
	b.waiting = insertByPriority(b.waiting, &batchRun{BatchRun: r, nextToken: r.ResumeFrom})
	if b.stepAt.IsZero() {
		b.startIteration(now)
	}
	return true
}

// Cancel removes a run and reports whether it was waiting or running.
func (b *Batch) Cancel(id int64) bool {
	n := len(b.waiting) + len(b.running)
	hasID := func(r *batchRun) bool { return r.ID == id }
	b.waiting = slices.DeleteFunc(b.waiting, hasID)
	b.running = slices.DeleteFunc(b.running, hasID)
	return len(b.waiting)+len(b.running) < n
}

// Crash drops all runs, clears the caches and makes the engine reject new runs
// until [Batch.Restart]. It returns the IDs of the dropped runs in ascending
// order.
func (b *Batch) Crash() []int64 {
	var lost []int64
	for _, r := range slices.Concat(b.running, b.waiting) {
		lost = append(lost, r.ID)
	}
	slices.Sort(lost)
	b.waiting, b.running, b.prefixes, b.stepAt, b.down = nil, nil, nil, time.Time{}, true
	return lost
}

// Restart makes a crashed engine accept runs again.
func (b *Batch) Restart() { b.down = false }

// Down reports whether the engine has crashed and has not been restarted.
func (b *Batch) Down() bool { return b.down }

// SlowDown multiplies the duration of all later iterations and prompt delays by
// factor. One is the normal speed.
func (b *Batch) SlowDown(factor float64) { b.slowdown = factor }

// NextStep returns the time at which [Batch.Step] is due, or zero without runs.
func (b *Batch) NextStep() time.Time { return b.stepAt }

// Step completes all iterations that have ended by now and returns their
// outputs in order.
func (b *Batch) Step(now time.Time) []Output {
	var out []Output
	for !b.stepAt.IsZero() && !b.stepAt.After(now) {
		at := b.stepAt
		out = b.finishIteration(at, out)
		b.startIteration(at)
	}
	return out
}

// Load returns the newest load report that is at least ReportLag old.
func (b *Batch) Load(now time.Time) BatchLoad {
	var out BatchLoad
	for _, l := range b.loadReports {
		if l.At.After(now.Add(-b.options.ReportLag)) {
			break
		}
		out = l
	}
	return out
}

// CacheEvents removes and returns the cache events that are at least ReportLag
// old, oldest first.
func (b *Batch) CacheEvents(now time.Time) []CacheEvent {
	n := 0
	for n < len(b.cacheEvents) && !b.cacheEvents[n].At.After(now.Add(-b.options.ReportLag)) {
		n++
	}
	out := slices.Clone(b.cacheEvents[:n])
	b.cacheEvents = slices.Delete(b.cacheEvents, 0, n)
	return out
}

// insertByPriority inserts r after the runs of the same or a more urgent
// priority.
func insertByPriority(runs []*batchRun, r *batchRun) []*batchRun {
	i := len(runs)
	for i > 0 && runs[i-1].Priority > r.Priority {
		i--
	}
	return slices.Insert(runs, i, r)
}

// finishIteration emits one token for every scheduled run whose prefill is
// complete, and removes the runs that have finished.
func (b *Batch) finishIteration(at time.Time, out []Output) []Output {
	remaining := b.running[:0]
	for _, r := range b.running {
		if !r.scheduled {
			remaining = append(remaining, r)
			continue
		}
		r.prefillLeft -= r.prefillChunk
		if r.prefillLeft > 0 {
			remaining = append(remaining, r)
			continue
		}
		if r.prefillChunk > 0 {
			b.cachePrefix(at, r)
		}
		if r.nextToken < r.Tokens {
			out = append(out, Output{ID: r.ID, At: at, Token: r.nextToken})
			r.nextToken++
		}
		if r.nextToken >= r.Tokens {
			out = append(out, Output{ID: r.ID, At: at, Token: r.nextToken, Finished: true})
			continue
		}
		remaining = append(remaining, r)
	}
	b.running = remaining
	b.evict()
	return out
}

// evict moves runs back to the waiting queue until the others fit into the KV
// cache. The run added last at the least urgent priority goes first. An evicted
// run is prefilled again from its start.
func (b *Batch) evict() {
	for b.kvUsed() > b.options.KVTokens && len(b.running) > 1 {
		last := len(b.running) - 1
		r := b.running[last]
		b.running = slices.Delete(b.running, last, last+1)
		b.waiting = insertByPriority(b.waiting, r)
		b.Evictions++
	}
}

// startIteration admits waiting runs, selects the runs that take part in the
// next iteration and computes its end.
func (b *Batch) startIteration(at time.Time) {
	b.admitWaiting(at)
	b.stepAt = time.Time{}
	var nextReady time.Time
	duration, budget, scheduled := b.options.DecodeTime, b.options.PrefillChunk, 0
	for _, r := range b.running {
		r.scheduled, r.prefillChunk = false, 0
		if r.readyAt.After(at) {
			if nextReady.IsZero() || r.readyAt.Before(nextReady) {
				nextReady = r.readyAt
			}
			continue
		}
		r.prefillChunk = min(r.prefillLeft, budget)
		r.scheduled = r.prefillLeft == 0 || r.prefillChunk > 0
		budget -= r.prefillChunk
		duration += time.Duration(r.prefillChunk)*b.options.PrefillTimePerToken + b.options.DecodeTimePerRun
		scheduled++
	}
	switch {
	case scheduled > 0:
		b.stepAt = at.Add(max(b.scale(duration), time.Microsecond))
	case !nextReady.IsZero():
		b.stepAt = nextReady
	}
	b.recordLoad(at)
}

// admitWaiting moves waiting runs into the batch while a slot is free and their
// prompts fit into the KV cache. It always admits a run to an empty batch.
func (b *Batch) admitWaiting(at time.Time) {
	used := b.kvUsed()
	for len(b.waiting) > 0 && len(b.running) < b.options.Slots {
		r := b.waiting[0]
		need := r.PromptTokens + r.nextToken
		if used+need >= b.options.KVTokens && len(b.running) > 0 {
			return
		}
		used += need
		b.waiting = slices.Delete(b.waiting, 0, 1)
		// A fully cached prompt still needs a prefill of one token.
		cached := b.touchPrefix(r)
		r.prefillLeft = max(1, need-cached)
		b.CachedTokens += cached
		b.PrefillTokens += r.prefillLeft
		r.readyAt = at.Add(b.scale(b.options.PromptDelay))
		b.running = insertByPriority(b.running, r)
	}
}

func (b *Batch) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * b.slowdown)
}

func (b *Batch) kvUsed() int {
	n := 0
	for _, r := range b.running {
		n += r.PromptTokens + r.nextToken
	}
	return n
}

// touchPrefix returns the number of cached prompt tokens of r and marks the
// prefix as most recently used.
func (b *Batch) touchPrefix(r *batchRun) int {
	i := slices.IndexFunc(b.prefixes, func(p cachedPrefix) bool { return p.id == r.Prefix })
	if r.Prefix == 0 || i < 0 {
		return 0
	}
	p := b.prefixes[i]
	b.prefixes = append(slices.Delete(b.prefixes, i, i+1), p)
	return min(p.tokens, r.PromptTokens)
}

// cachePrefix adds the prefix of r to the prefix cache and removes the least
// recently used prefixes until the cache fits its size.
func (b *Batch) cachePrefix(at time.Time, r *batchRun) {
	if r.Prefix == 0 || r.PrefixTokens == 0 || r.PrefixTokens > b.options.PrefixTokens || b.touchPrefix(r) > 0 {
		return
	}
	b.prefixes = append(b.prefixes, cachedPrefix{id: r.Prefix, tokens: r.PrefixTokens})
	b.publishEvent(CacheEvent{At: at, Prefix: r.Prefix})
	used := 0
	for _, p := range b.prefixes {
		used += p.tokens
	}
	for used > b.options.PrefixTokens {
		used -= b.prefixes[0].tokens
		b.publishEvent(CacheEvent{At: at, Prefix: b.prefixes[0].id, Removed: true})
		b.prefixes = slices.Delete(b.prefixes, 0, 1)
	}
}

// maxCacheEvents bounds the cache events that CacheEvents has not returned yet.
// The oldest are dropped first.
const maxCacheEvents = 1024

// publishEvent appends e to the cache events, unless EventDropInterval drops it.
func (b *Batch) publishEvent(e CacheEvent) {
	b.eventCount++
	if b.options.EventDropInterval > 0 && b.eventCount%b.options.EventDropInterval == 0 {
		return
	}
	if len(b.cacheEvents) == maxCacheEvents {
		b.cacheEvents = slices.Delete(b.cacheEvents, 0, 1)
	}
	b.cacheEvents = append(b.cacheEvents, e)
}

// recordLoad appends a load report and drops those that [Batch.Load] can no
// longer return.
func (b *Batch) recordLoad(at time.Time) {
	stale := 0
	for stale+1 < len(b.loadReports) && !b.loadReports[stale+1].At.After(at.Add(-b.options.ReportLag)) {
		stale++
	}
	b.loadReports = append(slices.Delete(b.loadReports, 0, stale), BatchLoad{
		At: at, Waiting: len(b.waiting), Running: len(b.running), Slots: b.options.Slots,
		KVUsed: b.kvUsed(), KVTokens: b.options.KVTokens,
	})
}
