package picker

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// maxPrefixes bounds the prefix table, at about 250 B for each prefix.
	maxPrefixes = 8192
	// prefixHalfLife is the half-life of the probability that a prefix is still
	// cached. Cache events may be missed, so a record must also decay without
	// them.
	prefixHalfLife = time.Minute
)

// prefixBytes is the length of the body prefix that is hashed.
const prefixBytes = 1024

// PrefixTokens is the length in tokens of the prefix that [HashPrefix] hashes, at
// four bytes a token.
const PrefixTokens = prefixBytes / 4

// HashPrefix returns the FNV-1a hash of the first 1,024 bytes of the body of a
// chat completion. It returns zero for a shorter body, whose prefill is cheap to
// repeat.
func HashPrefix(body []byte) uint64 {
	if len(body) < prefixBytes {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(body[:prefixBytes])
	return max(1, h.Sum64())
}

// maxHolders is the number of upstreams recorded for a prefix. The load of a
// popular prefix exceeds the capacity of a single upstream.
const maxHolders = 4

// prefixTable records which upstreams served a prompt prefix most recently.
type prefixTable struct {
	holders map[uint64]*holders
	// insertions is a ring of the prefixes in insertion order, with the oldest at
	// index next once it is full.
	insertions []uint64
	next       int
}

// holders are the upstreams that served a prefix. An empty name marks a free
// element.
type holders [maxHolders]holder

// holder is an upstream that served a prefix, and the time of the last dispatch
// or cache event.
type holder struct {
	upstream string
	at       time.Time
	// filled is true once an answer has begun on the prefix there. Until then the
	// upstream may still have to prefill it, and it cannot be copied.
	filled bool
}

// get returns the holders of a prefix, nil if the prefix is not in the table.
func (t *prefixTable) get(prefix uint64) *holders {
	if prefix == 0 {
		return nil
	}
	return t.holders[prefix]
}

// store records that an upstream served a prefix. A new holder replaces the least
// recent one, unless that one is more recent than at.
func (t *prefixTable) store(at time.Time, prefix uint64, upstream string, filled bool) {
	if prefix == 0 {
		return
	}
	if t.holders == nil {
		t.holders = map[uint64]*holders{}
	}
	if t.holders[prefix] == nil {
		t.insert(prefix)
		t.holders[prefix] = &holders{}
	}
	all := t.holders[prefix]
	oldest := 0
	for i, h := range all {
		if h.upstream == upstream {
			all[i].at, all[i].filled = later(at, h.at), filled || h.filled
			return
		}
		if h.at.Before(all[oldest].at) {
			oldest = i
		}
	}
	if all[oldest].at.Before(at) {
		all[oldest] = holder{upstream: upstream, at: at, filled: filled}
	}
}

// insert adds a prefix to the ring. If the ring is full, the oldest prefix is
// evicted.
func (t *prefixTable) insert(prefix uint64) {
	if len(t.insertions) < maxPrefixes {
		t.insertions = append(t.insertions, prefix)
		return
	}
	delete(t.holders, t.insertions[t.next])
	t.insertions[t.next] = prefix
	t.next = (t.next + 1) % maxPrefixes
}

// remove deletes a holder, unless it served the prefix after at: cache events
// arrive late.
func (t *prefixTable) remove(at time.Time, prefix uint64, upstream string) {
	all := t.get(prefix)
	if all == nil {
		return
	}
	for i, h := range all {
		if h.upstream == upstream && !h.at.After(at) {
			all[i] = holder{}
		}
	}
}

// cachedTokens returns the expected number of prompt tokens of q that the upstream
// has cached.
func (t *prefixTable) cachedTokens(now time.Time, q Query, upstream string) float64 {
	all := t.get(q.Prefix)
	if all == nil {
		return 0
	}
	for _, h := range all {
		if h.upstream == upstream {
			return float64(q.PrefixTokens) * q.holds(now.Sub(h.at))
		}
	}
	return 0
}

// copyableProbability returns the highest probability that the prefix of q can be copied
// from one of the upstreams that served it, zero if none is known.
func (p *Picker[P]) copyableProbability(now time.Time, q Query) float64 {
	all := p.prefixes.get(q.Prefix)
	if all == nil {
		return 0
	}
	best := 0.0
	for _, h := range all {
		best = max(best, p.copyProbability(now, q, h))
	}
	return best
}

// copyProbability returns the probability that the prefix of q can be copied from h. It is
// zero if h is not available or has not begun to answer.
func (p *Picker[P]) copyProbability(now time.Time, q Query, h holder) float64 {
	if !h.filled || !p.available(now, q, p.upstreams[h.upstream]) {
		return 0
	}
	return q.holds(now.Sub(h.at))
}

// holds returns the probability that an upstream still holds the prefix of q some time
// after the last request with it.
func (q Query) holds(age time.Duration) float64 {
	if q.CacheResidence > 0 {
		return decay(age, min(prefixHalfLife, q.CacheResidence))
	}
	return decay(age, prefixHalfLife)
}

// IsCached reports whether an upstream is known to have served a prefix.
func (p *Picker[P]) IsCached(prefix uint64) bool { return p.prefixes.get(prefix) != nil }

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// decay returns the weight of an observation of the given age: one if it is new,
// halved with each half-life.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / halfLife.Seconds())
}
