// Package estimator estimates the length of answers and the speed of an upstream
// from observations.
//
// It is a decision package: its input is observations with the time at which they
// were made, and its output is estimates. Recent observations have a higher weight
// than old ones, so that an estimate follows a change of model, prompt or load.
//
// [Lengths] has one histogram of answer lengths for each class, model and
// organisation, and one for each class. A group with too few recent answers
// falls back to its class, and a class to a default. [Rates] estimates the time
// to the first token as a linear function of the prompt length, the gap between
// tokens, and the duration of calls that produce no tokens.
//
// # Usage
//
//	var l estimator.Lengths
//	k := estimator.Key{Class: "briefing", Model: "desk", Organisation: "bureau"}
//	l.Observe(now, k, 120)
//	n := l.Quantile(now, k, 0.5)
//
//	var r estimator.Rates
//	r.ObserveFirstToken(800, 120*time.Millisecond)
//	d := r.PrefillTime(2000)
package estimator

import (
	"container/list"
	"math"
	"time"
)

const (
	// DefaultTokens is the estimated answer length without recent observations. It
	// is near the geometric mean of the range of lengths that occur, 10 to 2,000
	// tokens.
	DefaultTokens = 150
	// halfLife is the time after which the weight of an observation is halved.
	halfLife = 10 * time.Minute
	// minWeight is the sum of weights, in answers, below which a group is not
	// used: the median of fewer than five values is mostly random.
	minWeight = 5
	// maxGroups is the largest number of groups, which take 530 bytes each. A new
	// group replaces the least recently observed one when the limit is reached.
	maxGroups = 2048
	// bucketsPerOctave is the number of buckets for each doubling of the length.
	// A bucket has a width of 19%, which is less than the spread of the lengths of
	// answers to similar prompts.
	bucketsPerOctave = 4
	// bucketCount is the number of buckets, which cover lengths up to 2^15 tokens.
	bucketCount = 15*bucketsPerOctave + 1
)

// Key identifies a group of requests whose answers are expected to have similar
// lengths. An empty Model and Organisation stand for the whole class.
type Key struct {
	Class        string
	Model        string
	Organisation string
}

// Lengths estimates the length of answers in tokens. The zero value has no
// observations.
type Lengths struct {
	groups map[Key]*list.Element
	// byRecency holds the groups, the most recently observed at the front.
	byRecency list.List
}

// group is the histogram of the answer lengths of one group of requests.
type group struct {
	key     Key
	updated time.Time
	// weight is the sum of counts.
	weight float64
	counts [bucketCount]float32
}

// Observe records the length of a complete answer in tokens, for its group and
// its class.
func (l *Lengths) Observe(now time.Time, k Key, tokens int) {
	if tokens <= 0 {
		return
	}
	class := Key{Class: k.Class}
	l.group(class).observe(now, tokens)
	if k != class {
		l.group(k).observe(now, tokens)
	}
}

// Quantile returns the estimated quantile q, 0 to 1, of the answer lengths of a
// group in tokens.
func (l *Lengths) Quantile(now time.Time, k Key, q float64) int {
	for _, key := range [...]Key{k, {Class: k.Class}} {
		e, ok := l.groups[key]
		if !ok {
			continue
		}
		g := e.Value.(*group)
		if g.weight*decay(now.Sub(g.updated)) >= minWeight {
			return g.quantile(q)
		}
	}
	return DefaultTokens
}

// Groups returns the number of groups that have a histogram.
func (l *Lengths) Groups() int { return len(l.groups) }

// group returns the group for k as the most recently observed one, and creates it
// if necessary.
func (l *Lengths) group(k Key) *group {
	if l.groups == nil {
		l.groups = map[Key]*list.Element{}
	}
	if e, ok := l.groups[k]; ok {
		l.byRecency.MoveToFront(e)
		return e.Value.(*group)
	}
	if len(l.groups) >= maxGroups {
		last := l.byRecency.Back()
		delete(l.groups, l.byRecency.Remove(last).(*group).key)
	}
	g := &group{key: k}
	l.groups[k] = l.byRecency.PushFront(g)
	return g
}

func (g *group) observe(now time.Time, tokens int) {
	if f := decay(now.Sub(g.updated)); f < 1 {
		g.weight *= f
		for i := range g.counts {
			g.counts[i] *= float32(f)
		}
	}
	g.updated = now
	g.weight++
	g.counts[bucket(tokens)]++
}

func (g *group) quantile(q float64) int {
	rest := q * g.weight
	last := 0
	for i, c := range g.counts {
		if c == 0 {
			continue
		}
		last = i
		if rest -= float64(c); rest <= 0 {
			break
		}
	}
	return bucketMiddle(last)
}

// decay returns the weight of an observation of the given age. For the zero time,
// [time.Time.Sub] returns the maximum duration, whose weight is zero.
func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// bucket returns the index of the bucket for a length.
func bucket(tokens int) int {
	return min(int(math.Log2(float64(tokens))*bucketsPerOctave), bucketCount-1)
}

// bucketMiddle returns the geometric mean of the bounds of a bucket.
func bucketMiddle(i int) int {
	return int(math.Round(math.Exp2((float64(i) + 0.5) / bucketsPerOctave)))
}
