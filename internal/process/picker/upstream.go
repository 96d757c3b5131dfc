package picker

import (
	"hash/fnv"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
)

const (
	// gapWeight is the weight of one token in the average of token gaps. An
	// upstream at a fifth of its speed with 5 runs of an entry gives 50 gaps a
	// second, which move the average nine tenths of the way in 2 s.
	gapWeight = 0.02
	// firstTokenWeight is the weight of one request in the average of first
	// token times.
	firstTokenWeight = 0.2
	// errorWeight is the weight of one request in the average of failures. An
	// upstream that begins to fail half of its requests is noticed after about
	// four.
	errorWeight = 0.15
	// gapLimit bounds one observation in averages of the fleet. The gap of a
	// run that was preempted says nothing about the speed of the upstream.
	gapLimit = 10
	// slowRatio and normalRatio are gaps in those of the fleet. Above the first
	// an upstream gets a quota; below the second it gains quota. The space
	// between them keeps an upstream from changing state with every answer.
	slowRatio   = 1.5
	normalRatio = 1.25
	// quotaLimit is the quota at which an upstream is no longer limited.
	quotaLimit = 16
	// After a failure an upstream is avoided for the first of these times,
	// doubled with each failure up to the second.
	avoidFirst = 500 * time.Millisecond
	avoidLast  = 8 * time.Second
	// marksKept is the number of changes of Outstanding that are kept to match
	// a late report.
	marksKept = 64
)

// Upstream is what an entry knows of one upstream.
type Upstream struct {
	Name             string
	AvailabilityZone string
	Connected        bool
	Leaving          bool
	Load             scheduler.Load
	// Reported is the time to which Load refers. Zero means no report.
	Reported time.Time
	// Others is the number of runs of other entries at that time.
	Others int
	// Outstanding counts the requests of this entry that are in flight there, and
	// Pending the prompt tokens of those that wait for their first token.
	Outstanding int
	Pending     int
	// SharedRuns and SharedPending are the same of the other entries, as far as
	// these have told.
	SharedRuns    int
	SharedPending int
	// Slots is the number of requests that the upstream works on at once, zero if
	// unknown.
	Slots int
	// Suspects counts those of them that were in flight in a crash before.
	Suspects int
	// LastSent is the time of the last dispatch and Sequence its number among
	// all dispatches of this entry.
	LastSent time.Time
	Sequence uint64
	// Gap and FirstToken are moving averages in seconds, zero without an
	// observation.
	Gap        float64
	FirstToken float64
	// Errors is the moving average of the share of requests that failed.
	Errors float64
	// Progress is the time of the last token or end of a request, or of the
	// dispatch that found the upstream without requests of this entry.
	Progress time.Time
	// Quota limits the requests in flight while the upstream recovers from
	// being slow. Zero means no limit.
	Quota int
	// AvoidUntil is the end of the time without new work after a failure.
	AvoidUntil time.Time
	failures   int
	hashed     uint64
	marks      [marksKept]mark
	marked     int
}

// mark is the number of requests in flight from a time on.
type mark struct {
	at          time.Time
	outstanding int
}

func (u *Upstream) report(at time.Time, l scheduler.Load) {
	if at.Before(u.Reported) {
		return
	}
	u.Load, u.Reported = l, at
	u.Others = max(0, l.Waiting+l.Active-u.outstandingAt(at))
}

// outstandingAt returns the number of requests in flight at a past time, as
// far back as the marks go.
func (u *Upstream) outstandingAt(at time.Time) int {
	first := max(0, u.marked-marksKept)
	for i := u.marked - 1; i >= first; i-- {
		if m := u.marks[i%marksKept]; !m.at.After(at) {
			return m.outstanding
		}
	}
	if first > 0 {
		return u.marks[first%marksKept].outstanding
	}
	return 0
}

func (u *Upstream) setOutstanding(now time.Time, n int) {
	u.Outstanding = max(0, n)
	u.marks[u.marked%marksKept] = mark{at: now, outstanding: u.Outstanding}
	u.marked++
}

func (u *Upstream) send(now time.Time, sequence uint64) {
	if u.Outstanding == 0 {
		u.Progress = now
	}
	u.LastSent, u.Sequence = now, sequence
	u.setOutstanding(now, u.Outstanding+1)
}

// read takes the prompt of a request off the pending ones.
func (u *Upstream) read(promptTokens int) { u.Pending = max(0, u.Pending-promptTokens) }

// addResult takes in whether a request failed.
func (u *Upstream) addResult(failed bool, f *Fleet) {
	seen := 0.0
	if failed {
		seen = 1
	}
	u.Errors += errorWeight * (seen - u.Errors)
	f.Errors += fleetWeight * (seen - f.Errors)
}

// hash returns a hash of the name.
func (u *Upstream) hash() uint64 {
	if u.hashed == 0 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(u.Name))
		u.hashed = max(1, h.Sum64())
	}
	return u.hashed
}

func (u *Upstream) suspect(is bool, change int) {
	if is {
		u.Suspects = max(0, u.Suspects+change)
	}
}

func (u *Upstream) addFirstToken(now time.Time, elapsed time.Duration) {
	u.Progress, u.failures = now, 0
	if elapsed > 0 {
		u.FirstToken = average(u.FirstToken, elapsed.Seconds(), firstTokenWeight)
	}
}

func (u *Upstream) addGap(now time.Time, elapsed time.Duration, tokens int, f *Fleet) {
	u.Progress = now
	u.Gap = average(u.Gap, min(elapsed.Seconds()/float64(max(1, tokens)), gapLimit*f.Gap), gapWeight)
	if u.Gap > slowRatio*f.Gap {
		u.Quota = 1
	}
}

func (u *Upstream) end(now time.Time, tokens int, f *Fleet) {
	// A refusal is a sign of life as well.
	u.Progress = now
	u.setOutstanding(now, u.Outstanding-1)
	if tokens == 0 || u.Quota == 0 || u.Gap > normalRatio*f.Gap {
		return
	}
	u.Quota *= 2
	if u.Quota >= quotaLimit {
		u.Quota = 0
	}
}

// lose counts a failure. The losses that one crash causes count once.
func (u *Upstream) lose(now time.Time) {
	u.setOutstanding(now, u.Outstanding-1)
	if now.Before(u.AvoidUntil) {
		return
	}
	u.AvoidUntil = now.Add(min(avoidFirst<<u.failures, avoidLast))
	u.failures = min(u.failures+1, 8)
}

// Fleet holds moving averages over all upstreams. They stand in where nothing
// recent is known of one.
type Fleet struct {
	// Gap and FirstToken are in seconds.
	Gap        float64
	FirstToken float64
	// Others is the number of runs of other entries for each slot.
	Others float64
	// Tokens is the length of an answer.
	Tokens float64
	// Errors is the share of requests that failed.
	Errors float64
	// Run is the time of a whole answer in seconds.
	Run float64
}

// fleetWeight is the weight of one observation in an average of the fleet.
const fleetWeight = 0.01

func (f *Fleet) addGap(elapsed time.Duration, tokens int) {
	gap := elapsed.Seconds() / float64(max(1, tokens))
	if f.Gap > 0 {
		// One slow upstream must not become the measure for the others.
		gap = min(gap, 2*f.Gap)
	}
	f.Gap = average(f.Gap, gap, fleetWeight)
}

func (f *Fleet) addFirstToken(elapsed time.Duration) {
	if elapsed > 0 {
		f.FirstToken = average(f.FirstToken, elapsed.Seconds(), fleetWeight)
	}
}

func (f *Fleet) addRun(elapsed time.Duration) {
	if elapsed > 0 {
		f.Run = average(f.Run, elapsed.Seconds(), fleetWeight)
	}
}

func (f *Fleet) addAnswer(tokens int) {
	if tokens > 0 {
		f.Tokens = average(f.Tokens, float64(tokens), fleetWeight)
	}
}

func (f *Fleet) addLoad(u *Upstream) {
	f.Others += fleetWeight * (float64(u.Others)/float64(max(1, u.Load.Slots)) - f.Others)
}

func average(old, seen, weight float64) float64 {
	if old == 0 {
		return seen
	}
	return old + weight*(seen-old)
}
