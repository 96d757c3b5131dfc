package bench

import (
	"cmp"
	"slices"
	"time"
)

// bucketCount is the number of buckets into which the arrival period of a trace is
// divided. Fewer buckets give a looser bound; the computing time grows with the
// square of the number.
const bucketCount = 90

// Bound returns an upper bound on the goodput of a trace in tokens. It is the
// goodput of an offline scheduler that knows all arrivals and answer lengths in
// advance, may split a request and serve it in part, finds every shared prefix
// cached, moves work between engines at no cost and ignores tiers.
//
// A request takes at least its [engineTime] between its arrival and its deadline.
// The requests whose arrival and deadline both lie in an interval together get at
// most the engine time of that interval. These constraints define a polymatroid,
// on which the greedy choice by tokens per second of engine time is optimal
// (Edmonds, 1970).
func Bound(s Scenario, requests []Request) float64 {
	return greedyGoodput(s, requests, func(a, b boundJob) int { return cmp.Compare(b.tokens/b.engineSeconds, a.tokens/a.engineSeconds) })
}

// TierBound returns the goodput in tokens of the scheduler of [Bound] with strict
// priority of tiers and without a choice by length within a tier. It shows how
// much of the difference to [Bound] results from these two rules. It is no upper
// bound, because a scheduler may get more goodput by serving fewer requests of the
// higher tiers.
func TierBound(s Scenario, requests []Request) float64 {
	return greedyGoodput(s, requests, func(a, b boundJob) int { return cmp.Compare(a.tier, b.tier) })
}

// greedyGoodput serves the requests of a trace in the given order, each as far as
// the remaining engine time allows, and returns the tokens of the served parts.
func greedyGoodput(s Scenario, requests []Request, order func(a, b boundJob) int) float64 {
	bucket := s.Duration / bucketCount
	jobs, last := boundJobs(requests, bucket)
	slices.SortStableFunc(jobs, order)
	unused := intervalCapacities(s, last, bucket)
	total := 0.0
	for _, j := range jobs {
		allocated := j.engineSeconds
		for first := range j.firstBucket + 1 {
			for _, remaining := range unused[first][j.lastBucket-first:] {
				allocated = min(allocated, remaining)
			}
		}
		if allocated <= 0 {
			continue
		}
		for first := range j.firstBucket + 1 {
			row := unused[first][j.lastBucket-first:]
			for i := range row {
				row[i] -= allocated
			}
		}
		total += j.tokens * allocated / j.engineSeconds
	}
	return total
}

// boundJob is the work of one request, which must be done from firstBucket to
// lastBucket, both included.
type boundJob struct {
	engineSeconds, tokens   float64
	firstBucket, lastBucket int
	tier                    int
}

// boundJobs returns the jobs of a trace without its poison requests, and the last
// bucket in which a job may be served.
func boundJobs(requests []Request, bucket time.Duration) ([]boundJob, int) {
	classes, last := workloadClasses(), 0
	var jobs []boundJob
	for _, r := range requests {
		if r.Poison {
			continue
		}
		c := classes[r.Class]
		deadline := r.At + c.AnswerTarget
		if c.AnswerTarget == 0 {
			deadline = r.At + c.FirstTokenTarget + time.Duration(r.AnswerTokens)*c.TokenGapTarget
		}
		j := boundJob{
			engineSeconds: engineTime(r).Seconds(), tokens: float64(r.AnswerTokens),
			firstBucket: int(r.At / bucket), lastBucket: int(deadline / bucket), tier: c.Tier,
		}
		last = max(last, j.lastBucket)
		jobs = append(jobs, j)
	}
	return jobs, last
}

// intervalCapacities returns the engine time of each interval of buckets in
// seconds, indexed by the first bucket and the number of further buckets.
func intervalCapacities(s Scenario, last int, bucket time.Duration) [][]float64 {
	perBucket := make([]float64, last+1)
	for i := range perBucket {
		for agent := range s.Agents {
			perBucket[i] += s.maxSpeed(agent, time.Duration(i)*bucket, bucket) * bucket.Seconds()
		}
	}
	out := make([][]float64, last+1)
	for from := range out {
		sum := 0.0
		for _, c := range perBucket[from:] {
			sum += c
			out[from] = append(out[from], sum)
		}
	}
	return out
}

// maxSpeed returns the highest speed of the engine of an agent in an interval, as
// a multiple of its speed without a fault.
func (s Scenario) maxSpeed(agent int, at, length time.Duration) float64 {
	speed := 1.0
	for _, f := range s.Faults {
		if f.Index != agent {
			continue
		}
		switch {
		case f.Kind == FaultSlowEngine && f.Factor > 1 && f.At <= at:
			speed = 1 / f.Factor
		case f.Kind == FaultSlowEngine && f.Factor <= 1 && f.At < at+length:
			speed = 1
		case f.Kind == FaultEngineCrash && f.At <= at && at+length <= f.At+engineRestartTime:
			return 0
		}
	}
	return speed
}
