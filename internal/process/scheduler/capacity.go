package scheduler

import (
	"slices"
	"time"
)

const (
	// adaptInterval is the time over which token gaps are evaluated.
	adaptInterval = time.Second
	// minGaps is the number of gaps below which an interval is extended, up to
	// maxAdaptInterval: a single run generates about 30 tokens per second, which
	// is too few samples to measure a share of 5%.
	minGaps          = 40
	maxAdaptInterval = 5 * time.Second
	// maxLateShare is the largest share of gaps that may exceed their target:
	// targets apply to the 95th percentile.
	maxLateShare = 0.05
	// intervalsToIncrease is the number of successive good intervals before slots
	// are added. Together with maxMeanGapRatio it keeps the limit from
	// oscillating.
	intervalsToIncrease = 3
	// maxMeanGapRatio is the largest mean ratio of gap to target in a good
	// interval.
	maxMeanGapRatio = 0.85
	// The limit changes in steps of the limit divided by decreaseDivisor or
	// increaseDivisor. It decreases faster than it increases, since a missed
	// target affects requests at once, while an unused slot costs little.
	decreaseDivisor = 8
	increaseDivisor = 16
)

// adaptiveLimit adjusts the limit of active runs to the measured token gaps.
type adaptiveLimit struct {
	// limit is the current limit of active runs.
	limit int
	// The following fields describe the current interval: its start, the number
	// of all tokens, and for gaps with a target their number, the number above
	// the target and the sum of the ratios of gap to target.
	intervalStart time.Time
	tokens        int
	gaps          int
	lateGaps      int
	gapRatioSum   float64
	// peakActive is the largest number of active runs in the interval.
	peakActive    int
	goodIntervals int
	// maximum is the configured number of slots.
	maximum int
	// tokenRate is the number of tokens per second in the previous interval.
	tokenRate float64
}

// configure sets the configured number of slots to n. A limit that was reduced
// below the previous maximum is not raised, since it reflects the measured
// speed of the upstream.
func (l *adaptiveLimit) configure(n int) {
	if l.limit >= l.maximum {
		l.limit = n
	}
	l.maximum = n
	l.limit = min(l.limit, n)
}

func (l *adaptiveLimit) countTokens(tokens int) { l.tokens += tokens }

// observeGap records tokens that arrived with the given average gap.
func (l *adaptiveLimit) observeGap(gap, target time.Duration, tokens int) {
	l.countTokens(tokens)
	if target <= 0 {
		return
	}
	l.gaps += tokens
	l.gapRatioSum += float64(tokens) * float64(gap) / float64(target)
	if gap > target {
		l.lateGaps += tokens
	}
}

// adapt evaluates the interval if it has ended, adjusts the limit and starts the
// next interval. An interval without gaps that have a target counts as good. Good
// intervals in which the active runs did not reach the limit are not counted.
func (l *adaptiveLimit) adapt(now time.Time, active int) {
	l.peakActive = max(l.peakActive, active)
	elapsed := now.Sub(l.intervalStart)
	if elapsed < adaptInterval || l.gaps > 0 && l.gaps < minGaps && elapsed < maxAdaptInterval {
		return
	}
	l.tokenRate = float64(l.tokens) / elapsed.Seconds()
	switch {
	case float64(l.lateGaps) > maxLateShare*float64(l.gaps):
		l.goodIntervals = 0
		// Active runs above the reduced limit are not stopped.
		l.limit = min(l.limit, max(1, min(l.limit, l.peakActive)-max(1, l.limit/decreaseDivisor)))
	case l.gapRatioSum > maxMeanGapRatio*float64(l.gaps):
		l.goodIntervals = 0
	case l.peakActive >= l.limit:
		if l.goodIntervals++; l.goodIntervals >= intervalsToIncrease {
			l.goodIntervals = 0
			l.limit = min(l.maximum, l.limit+max(1, l.limit/increaseDivisor))
		}
	}
	l.intervalStart, l.tokens, l.gaps, l.lateGaps, l.gapRatioSum, l.peakActive = now, 0, 0, 0, 0, active
}

// kvCache accounts for the KV-cache tokens of the active runs.
type kvCache struct {
	// capacity is the size of the cache in tokens. Zero means no limit.
	capacity int
	runs     int
	used     int
	// expectedGrowth is the number of tokens that the active runs are expected to
	// add.
	expectedGrowth int
}

// fitsEmpty reports whether a run that needs size tokens fits into an empty
// cache.
func (c *kvCache) fitsEmpty(size int) bool { return c.capacity == 0 || size < c.capacity }

// fits reports whether a run fits into the cache in addition to the active runs.
// Only half of the expected growth is reserved, since runs end at different
// times: when one reaches its full length, another has just started.
func (c *kvCache) fits(it *item) bool {
	if c.capacity == 0 || c.runs == 0 {
		return true
	}
	return c.used+it.kvTokens()+(c.expectedGrowth+it.remainingTokens)/2 <= c.capacity
}

func (c *kvCache) reserve(it *item) {
	c.runs++
	c.used += it.kvTokens()
	c.expectedGrowth += it.remainingTokens
}

func (c *kvCache) release(it *item) {
	c.runs--
	c.used -= it.kvTokens()
	c.expectedGrowth -= it.remainingTokens
}

// grow adds to the tokens in use and to the expected growth. growth may be
// negative.
func (c *kvCache) grow(used, growth int) {
	c.used += used
	c.expectedGrowth += growth
}

func (c *kvCache) overflowing() bool { return c.capacity > 0 && c.used > c.capacity }

// fits reports whether the KV cache can hold a waiting run in addition to the
// active runs.
func (s *Scheduler[P]) fits(it *item) bool { return s.cache.fits(it) }

// preemptForCache preempts runs until the active runs fit into the KV cache, the
// lowest tier first and within a tier the run that started last. Floor runs and
// runs that are not preemptible are not preempted.
func (s *Scheduler[P]) preemptForCache() {
	for t := lowestTier; t > 0; t-- {
		for s.cache.overflowing() && len(s.active[t]) > 0 {
			s.preempt(s.active[t][len(s.active[t])-1], Action{Reason: ReasonCacheFull})
		}
	}
}

func (s *Scheduler[P]) activeRuns() int { return s.cache.runs }

// expectedWait returns the expected time until a new run of a tier can start. It
// counts the runs of the same and higher tiers and the runs that cannot be
// preempted, or all runs if the rules exclude preemption.
func (s *Scheduler[P]) expectedWait(tier int) time.Duration {
	if !s.rules.Preempt {
		tier = lowestTier
	}
	var waiting, active workload
	for t := 0; t <= tier; t++ {
		waiting.add(s.waitingLoad[t])
		active.add(s.activeLoad[t])
	}
	return s.estimateWait(waiting, active)
}

// estimateWait returns the expected time until a new run can start behind the
// given waiting and active runs. For this, one run must end, and another one for
// each of the given runs in excess of the slots. The ends are assumed to be spread
// evenly over time.
func (s *Scheduler[P]) estimateWait(waiting, active workload) time.Duration {
	excess := waiting.runs + active.runs - s.slots.limit
	if s.slots.limit == 0 || excess < 0 {
		return 0
	}
	// Without recorded gaps the upstream is a service that generates no tokens.
	// On average, half of the duration of its active calls has passed.
	remaining := s.rates.Call / 2
	if s.rates.Gap > 0 && active.runs > 0 {
		remaining = s.rates.Gap * time.Duration(active.answerTokens/active.runs)
	}
	total := remaining
	if waiting.runs > 0 {
		total += time.Duration(excess) * s.rates.ServiceTime(waiting.promptTokens/waiting.runs, waiting.answerTokens/waiting.runs)
	}
	return total / time.Duration(s.slots.limit)
}

func (w *workload) add(other workload) {
	w.runs += other.runs
	w.promptTokens += other.promptTokens
	w.answerTokens += other.answerTokens
}

// Load returns the current load, with the expected wait for each tier.
func (s *Scheduler[P]) Load() Load {
	l := Load{Active: s.activeRuns(), Slots: s.slots.limit, TokenRate: int(s.slots.tokenRate)}
	for t := 1; t <= lowestTier; t++ {
		l.Waiting += s.waitingLoad[t].runs
		l.ExpectedWait[t-1] = int(s.expectedWait(t).Milliseconds())
	}
	return l
}

// removeItem deletes a run from items, the active runs of one tier. The linear
// search is short, since the number of slots bounds the active runs.
func removeItem(items []*item, it *item) []*item {
	i := slices.Index(items, it)
	return slices.Delete(items, i, i+1)
}
