package picker

import (
	"hash/fnv"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
)

const (
	// tokenGapWeight is the weight of one token in the moving average of token
	// gaps. An upstream at a fifth of its speed with 5 runs of an entry yields 50
	// gaps a second, which move the average nine tenths of the way in 2 s.
	tokenGapWeight = 0.02
	// firstTokenWeight is the weight of one request in the moving average of the
	// time to first token.
	firstTokenWeight = 0.2
	// failureRateWeight is the weight of one request in the moving average of the
	// failure rate. An upstream that begins to fail half of its requests is
	// detected after about four requests.
	failureRateWeight = 0.15
	// maxGapRatio bounds one observed token gap, as a multiple of the fleet
	// average. The gap of a preempted run does not show the speed of the upstream.
	maxGapRatio = 10
	// slowGapRatio and normalGapRatio are token gaps as multiples of the fleet
	// average. Above slowGapRatio an upstream gets a quota; up to normalGapRatio
	// its quota grows. The hysteresis keeps an upstream from changing state with
	// every answer.
	slowGapRatio   = 1.5
	normalGapRatio = 1.25
	// maxQuota is the quota at which an upstream is no longer limited.
	maxQuota = 16
	// minBackoff is the time without new requests after the first failure of an
	// upstream. It doubles with each further failure, up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
	// maxOutstandingSamples is the number of recent values of Outstanding that are
	// stored to interpret delayed load reports.
	maxOutstandingSamples = 64
)

// Upstream is the state of one upstream as an entry knows it.
type Upstream struct {
	Name             string
	AvailabilityZone string
	Connected        bool
	Leaving          bool
	Load             scheduler.Load
	// ReportedAt is the time to which Load refers. Zero means that there is no
	// report.
	ReportedAt time.Time
	// OtherRuns is the number of runs of other entries at ReportedAt, derived from
	// Load.
	OtherRuns int
	// Outstanding is the number of requests of this entry in flight on the
	// upstream, and PendingTokens the number of prompt tokens of those that wait
	// for their first token.
	Outstanding   int
	PendingTokens int
	// SharedRuns and SharedPendingTokens are the same numbers for the other
	// entries, from the events of kind [EventShared].
	SharedRuns          int
	SharedPendingTokens int
	// Deferred is the number of outstanding requests that the upstream runs after all
	// others and that wait for their first token.
	Deferred int
	// Slots is the number of requests that the upstream runs concurrently, zero if
	// unknown.
	Slots int
	// Suspects is the number of outstanding requests that were in flight on
	// another upstream when it crashed.
	Suspects int
	// LastDispatch is the time of the last dispatch and Sequence its number among
	// all dispatches of this entry.
	LastDispatch time.Time
	Sequence     uint64
	// TokenGap and FirstTokenTime are moving averages in seconds of the time
	// between tokens and of the time to first token, zero without an observation.
	TokenGap       float64
	FirstTokenTime float64
	// FailureRate is the moving average of the share of requests that failed.
	FailureRate float64
	// LastProgress is the time of the last token or of the end of a request, or of
	// a later dispatch while no other request of this entry was in flight there.
	LastProgress time.Time
	// Quota is the number of requests in flight at which a slow or recovering
	// upstream gets no further request with a token gap target. Zero means no limit.
	Quota int
	// BackoffUntil is the end of the backoff after a failure, during which the
	// upstream gets no new requests.
	BackoffUntil time.Time
	// HeldBackUntil is the time until which the upstream asked this entry to send it
	// no requests.
	HeldBackUntil time.Time
	// doubts has the last report of each entry that lost the upstream, at most maxDoubts.
	doubts   []doubt
	failures int
	nameHash uint64
	// samples is a ring of the last values of Outstanding, and samplesTaken the
	// number of all values so far.
	samples      [maxOutstandingSamples]outstandingSample
	samplesTaken int
}

// outstandingSample is the number of requests in flight from a time on.
type outstandingSample struct {
	at          time.Time
	outstanding int
}

// updateLoad stores a load report unless it is older than the current one, and
// reports whether it did. It subtracts the requests of this entry to get the runs of
// the other entries.
func (u *Upstream) updateLoad(at time.Time, l scheduler.Load) bool {
	if at.Before(u.ReportedAt) {
		return false
	}
	u.Load, u.ReportedAt = l, at
	u.OtherRuns = max(0, l.Waiting+l.Active-u.outstandingAt(at))
	return true
}

// outstandingAt returns the number of requests in flight at a past time. For a
// time before the oldest sample it returns that sample if older ones were
// overwritten, zero otherwise.
func (u *Upstream) outstandingAt(at time.Time) int {
	first := max(0, u.samplesTaken-maxOutstandingSamples)
	for i := u.samplesTaken - 1; i >= first; i-- {
		if m := u.samples[i%maxOutstandingSamples]; !m.at.After(at) {
			return m.outstanding
		}
	}
	if first > 0 {
		return u.samples[first%maxOutstandingSamples].outstanding
	}
	return 0
}

// setOutstanding sets the number of requests in flight and records a sample of it.
func (u *Upstream) setOutstanding(now time.Time, n int) {
	u.Outstanding = max(0, n)
	u.samples[u.samplesTaken%maxOutstandingSamples] = outstandingSample{at: now, outstanding: u.Outstanding}
	u.samplesTaken++
}

// recordDispatch counts a request that this entry sent.
func (u *Upstream) recordDispatch(now time.Time, sequence uint64) {
	if u.Outstanding == 0 {
		u.LastProgress = now
	}
	u.LastDispatch, u.Sequence = now, sequence
	u.setOutstanding(now, u.Outstanding+1)
}

// removePending subtracts the prompt tokens of a request that no longer waits for
// its first token.
func (u *Upstream) removePending(promptTokens int) {
	u.PendingTokens = max(0, u.PendingTokens-promptTokens)
}

// recordResult adds the result of a request to the failure rates of the upstream
// and of the fleet.
func (u *Upstream) recordResult(failed bool, f *Fleet) {
	result := 0.0
	if failed {
		result = 1
	}
	u.FailureRate += failureRateWeight * (result - u.FailureRate)
	f.FailureRate += fleetWeight * (result - f.FailureRate)
}

// hash returns the FNV-1a hash of the name, computed once.
func (u *Upstream) hash() uint64 {
	if u.nameHash == 0 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(u.Name))
		u.nameHash = max(1, h.Sum64())
	}
	return u.nameHash
}

// changeSuspects adds delta to the number of suspects if the request is one.
func (u *Upstream) changeSuspects(suspect bool, delta int) {
	if suspect {
		u.Suspects = max(0, u.Suspects+delta)
	}
}

// changeDeferred adds delta to the number of deferred requests if the request is one.
func (u *Upstream) changeDeferred(deferred bool, delta int) {
	if deferred {
		u.Deferred = max(0, u.Deferred+delta)
	}
}

// Runs returns the number of requests of all entries in flight on the upstream, without
// the deferred ones of this entry, which wait behind a new one.
func (u *Upstream) Runs() int { return u.OwnRuns() + u.SharedRuns }

// OwnRuns returns the number of requests of this entry in flight without the deferred ones.
func (u *Upstream) OwnRuns() int { return u.Outstanding - u.Deferred }

// recordFirstToken ends a series of failures and updates the time to first token
// if elapsed is set.
func (u *Upstream) recordFirstToken(now time.Time, elapsed time.Duration) {
	u.LastProgress, u.failures, u.doubts = now, 0, u.doubts[:0]
	if elapsed > 0 {
		u.FirstTokenTime = movingAverage(u.FirstTokenTime, elapsed.Seconds(), firstTokenWeight)
	}
}

// recordGap updates the average token gap. An upstream that becomes slow gets a
// quota of one request.
func (u *Upstream) recordGap(now time.Time, elapsed time.Duration, tokens int, f *Fleet) {
	u.LastProgress, u.doubts = now, u.doubts[:0]
	u.TokenGap = movingAverage(u.TokenGap, min(elapsed.Seconds()/float64(max(1, tokens)), maxGapRatio*f.TokenGap), tokenGapWeight)
	if u.TokenGap > slowGapRatio*f.TokenGap {
		u.Quota = 1
	}
}

// recordEnd counts a request that ended. An answer doubles the quota of an
// upstream that is no longer slow. At maxQuota the quota is removed.
func (u *Upstream) recordEnd(now time.Time, tokens int, f *Fleet) {
	// A refusal also shows that the upstream responds.
	u.LastProgress = now
	u.setOutstanding(now, u.Outstanding-1)
	if tokens == 0 || u.Quota == 0 || u.TokenGap > normalGapRatio*f.TokenGap {
		return
	}
	u.Quota *= 2
	if u.Quota >= maxQuota {
		u.Quota = 0
	}
}

// recordLoss counts a request that was lost with the upstream.
func (u *Upstream) recordLoss(now time.Time) {
	u.setOutstanding(now, u.Outstanding-1)
	u.beginBackoff(now)
}

// beginBackoff counts a failure and starts a backoff. Failures during a backoff
// count as the same crash and do not extend it.
func (u *Upstream) beginBackoff(now time.Time) {
	if now.Before(u.BackoffUntil) {
		return
	}
	u.BackoffUntil = now.Add(min(minBackoff<<u.failures, maxBackoff))
	u.failures = min(u.failures+1, 8)
}

// Fleet holds moving averages over all upstreams. They are the baseline for
// comparison, and the estimate for an upstream without recent observations.
type Fleet struct {
	// TokenGap and FirstTokenTime are in seconds.
	TokenGap       float64
	FirstTokenTime float64
	// OtherRunsPerSlot is the number of runs of other entries divided by the slots
	// of the upstream.
	OtherRunsPerSlot float64
	// AnswerTokens is the number of tokens of an answer.
	AnswerTokens float64
	// FailureRate is the share of requests that failed.
	FailureRate float64
	// RunTime is the time until the end of an answer in seconds.
	RunTime float64
}

// fleetWeight is the weight of one observation in a moving average of the fleet.
const fleetWeight = 0.01

func (f *Fleet) recordGap(elapsed time.Duration, tokens int) {
	gap := elapsed.Seconds() / float64(max(1, tokens))
	if f.TokenGap > 0 {
		// One slow upstream must not dominate the average of the fleet.
		gap = min(gap, 2*f.TokenGap)
	}
	f.TokenGap = movingAverage(f.TokenGap, gap, fleetWeight)
}

func (f *Fleet) recordFirstToken(elapsed time.Duration) {
	if elapsed > 0 {
		f.FirstTokenTime = movingAverage(f.FirstTokenTime, elapsed.Seconds(), fleetWeight)
	}
}

func (f *Fleet) recordRunTime(elapsed time.Duration) {
	if elapsed > 0 {
		f.RunTime = movingAverage(f.RunTime, elapsed.Seconds(), fleetWeight)
	}
}

func (f *Fleet) recordAnswerTokens(tokens int) {
	if tokens > 0 {
		f.AnswerTokens = movingAverage(f.AnswerTokens, float64(tokens), fleetWeight)
	}
}

func (f *Fleet) recordLoad(u *Upstream) {
	f.OtherRunsPerSlot += fleetWeight * (float64(u.OtherRuns)/float64(max(1, u.Load.Slots)) - f.OtherRunsPerSlot)
}

// movingAverage returns the exponential moving average after an observation. An
// old value of zero means that there is none yet.
func movingAverage(old, observed, weight float64) float64 {
	if old == 0 {
		return observed
	}
	return old + weight*(observed-old)
}
