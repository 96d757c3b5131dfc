package separator

import "time"

// maxResidence is the residence time of cached tokens if the KV cache is hardly used, or if
// its size is unknown.
const maxResidence = time.Minute

// minResidence is the residence time if the running requests fill the KV cache.
const minResidence = 500 * time.Millisecond

// CacheResidence returns the time for which tokens that no request uses stay in the KV
// cache of an engine. It is that of the last decision.
func (s *Separator) CacheResidence() time.Duration {
	if s.residence == 0 {
		return maxResidence
	}
	return s.residence
}

// residence returns the time in which the tokens that are added to the KV cache of an
// engine fill what the running requests leave of it. The least recently used tokens are
// evicted then (Little's law).
func residence(profiles []Profile, f Fleet) time.Duration {
	if f.KVCapacity == 0 || f.Engines == 0 {
		return maxResidence
	}
	running, added := 0.0, 0.0
	for _, p := range profiles {
		tokensPerSecond := p.Rate * p.PromptTokens / float64(f.Engines)
		running += tokensPerSecond * p.Run.Seconds()
		added += tokensPerSecond * f.MissShare
	}
	free := float64(f.KVCapacity) - running
	if added == 0 {
		return maxResidence
	}
	seconds := min(max(free/added, minResidence.Seconds()), maxResidence.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
