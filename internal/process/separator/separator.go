// Package separator decides which kinds of request get upstreams of their own
// because their prompts would delay the streams of other requests.
//
// An engine prefills prompts between the tokens of its running streams. A stream is
// late if the prefill of another prompt makes one of its gaps longer than its
// target, and a request is late if the prompts before it take too long. Whether that
// happens depends on how long a prompt takes on this engine, and not on how the gap
// targets of two kinds compare.
//
// It is a decision package: it does no I/O and gets the time as an argument. A
// [Separator] learns a [Profile] of each kind of request of a service from its
// answers. [Choose] estimates with a queueing model which share of the requests
// would be late if all kinds shared all engines, and if the kinds with the longest
// prefill had some of the engines to themselves, and chooses the least loss.
//
// # Usage
//
//	var s separator.Separator
//	s.Step(now, separator.Event{Kind: separator.EventArrived, Request: "letter", PromptTokens: 9000})
//	s.Decide(now, separator.Fleet{Engines: 9, Slots: 64, Entries: 4})
//	if s.IsSeparated("letter") {
//		// send the request to the engines for long prompts
//	}
package separator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxKinds bounds the number of kinds with a profile.
	maxKinds = 256
	// maxCompared bounds the number of kinds that [Choose] gets. Kinds with less
	// traffic are separated by their prefill time alone.
	maxCompared = 8
	// minRateShare is the share of the highest rate of a kind from which another kind
	// is compared. Below it, its route may have been removed.
	minRateShare = 0.01
	// rateHalfLife is the half-life of the arrivals from which a rate is computed.
	rateHalfLife = 5 * time.Second
	// observationWeight is the weight of one answer in the moving averages.
	observationWeight = 0.05
	// decisionInterval is the minimum time between two decisions.
	decisionInterval = 500 * time.Millisecond
	// switchLossDifference is the share of late requests that a change of the choice
	// must save. Entries that estimate slightly different rates must not change their
	// choice all the time.
	switchLossDifference = 0.03
	// minStartArrivals is the number of requests of a service from which a decision is
	// taken if each kind has got an answer, and maxStartArrivals the number from
	// which it is taken in any case.
	minStartArrivals = 16
	maxStartArrivals = 128
	// sharedWeight is the weight of the demand of a kind that is not separated. Its
	// engines must be less busy to keep gaps short.
	sharedWeight = 3
	// burstHeadroom is the headroom of the kinds that are not separated, in a burst of
	// separated ones too, in units of the square root of their demand (square-root
	// staffing). It is at most their demand: with more, long prompts spill over to them.
	burstHeadroom = 1.41
	// minLossDifference is the share of late requests below which two choices are
	// equally good.
	minLossDifference = 0.01
)

// Separator learns the kinds of request of one service. The zero value knows none
// and separates none.
type Separator struct {
	kinds   map[string]*kind
	decided time.Time
	// arrivals is the number of requests so far, at most maxStartArrivals.
	arrivals int
	// decisive is true once enough answers have arrived for a decision.
	decisive bool
	// share is the share of the demand of the separated kinds, and leastUrgent the
	// highest priority number among them.
	share       float64
	leastUrgent int
	// separated is the number of kinds that are separated, those with the longest
	// prefill, and threshold the prefill time from which a kind belongs to them.
	separated int
	threshold time.Duration
	// maxSpillover is the result of MaxSpilloverTokens.
	maxSpillover int
	// residence is the result of CacheResidence.
	residence time.Duration
	prefill   Prefill
	// others is what the other entries have reported.
	others Report
}

// Step learns from one event.
func (s *Separator) Step(now time.Time, e Event) {
	k := s.kinds[e.Request]
	if k == nil {
		if e.Kind == EventPrefilled || e.Kind == EventProgress {
			return
		}
		if e.Kind == EventKnown && len(s.kinds) >= maxKinds {
			// Reports of others must not displace what this entry has learned.
			return
		}
		k = s.add(now, e.Request)
	}
	switch e.Kind {
	case EventArrived:
		s.arrivals = min(s.arrivals+1, maxStartArrivals)
		k.recordArrival(now, e)
	case EventPrefilled:
		s.prefill.observe(float64(e.PromptTokens), e.Elapsed.Seconds())
	case EventProgress:
		if e.Events > 0 {
			k.profile.Gap = average(k.profile.Gap, e.Elapsed/time.Duration(e.Events), observationWeight)
		}
	case EventEnded:
		k.profile.Run = average(k.profile.Run, e.Elapsed, observationWeight)
	case EventKnown:
		k.setTargets(e)
	}
}

// add adds a kind. If there are too many, it forgets the one without an arrival for
// the longest time.
func (s *Separator) add(now time.Time, name string) *kind {
	if s.kinds == nil {
		s.kinds = map[string]*kind{}
	}
	if len(s.kinds) >= maxKinds {
		oldest := ""
		for other, k := range s.kinds {
			if oldest == "" || k.updated.Before(s.kinds[oldest].updated) {
				oldest = other
			}
		}
		delete(s.kinds, oldest)
	}
	k := &kind{profile: Profile{Name: name}, first: now, updated: now}
	s.kinds[name] = k
	return k
}

// Fleet describes the engines of a service and its callers.
type Fleet struct {
	// Engines is the number of engines, and Slots the number of requests that each
	// runs at once, zero if unknown.
	Engines int
	Slots   int
	// Entries is the number of entries, which get equal shares of the requests.
	Entries int
	// NotReporting is the number of other entries that have requests and do not report
	// their kinds, such as those of an older version.
	NotReporting int
	// KVCapacity is the number of tokens in the KV cache of each engine, zero if unknown,
	// and MissShare the share of the prompt tokens that engines prefill because they are
	// not cached.
	KVCapacity int
	MissShare  float64
}

// Decide chooses the separated kinds again if the last decision is old enough. It
// reports whether their number has changed.
func (s *Separator) Decide(now time.Time, f Fleet) bool {
	if s.decisive && now.Sub(s.decided) < decisionInterval {
		return false
	}
	s.decided = now
	profiles := s.profiles(now, f)
	s.decisive = s.decisive || s.arrivals >= maxStartArrivals || s.arrivals >= minStartArrivals && allAnswered(profiles)
	before := s.separated
	if s.decisive {
		s.choose(profiles, f.Engines)
	}
	s.share = s.separatedShare(profiles, f.Engines, f.Slots)
	s.maxSpillover = s.tokensWithinGaps(profiles)
	s.residence = residence(profiles, f)
	s.leastUrgent = 0
	for _, p := range profiles {
		if s.IsSeparated(p.Name) {
			s.leastUrgent = max(s.leastUrgent, p.Priority)
		}
	}
	return s.separated != before
}

// Separated returns the names of the separated kinds in ascending order.
func (s *Separator) Separated() []string {
	var out []string
	for name := range s.kinds {
		if s.IsSeparated(name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// MeanRun returns the mean time until the answers of a kind of request were complete, or
// zero if none has been.
func (s *Separator) MeanRun(request string) time.Duration {
	if k := s.kinds[request]; k != nil {
		return k.profile.Run
	}
	return 0
}

// PrefillPerToken returns the time in which an engine prefills a prompt token.
func (s *Separator) PrefillPerToken() time.Duration {
	return time.Duration(s.secondsPerToken() * float64(time.Second))
}

// secondsPerToken returns the prefill time of a prompt token in seconds, from the
// observations of all entries.
func (s *Separator) secondsPerToken() float64 {
	all := s.prefill
	all.Add(s.others.Prefill)
	return all.secondsPerToken()
}

// allAnswered reports whether each kind has got an answer.
func allAnswered(profiles []Profile) bool {
	return !slices.ContainsFunc(profiles, func(p Profile) bool { return p.Run == 0 })
}

// choose changes the number of separated kinds if another number loses less, and
// adapts the threshold to the present prefill times.
func (s *Separator) choose(profiles []Profile, engines int) {
	s.separated = max(0, min(s.separated, len(profiles)-1))
	best := Choose(profiles, engines)
	current := leastLoss(profiles, engines, s.separated)
	if current.Loss-best.Loss > switchLossDifference {
		s.separated = best.Separated
	}
	s.threshold = 0
	if n := s.separated; n > 0 {
		s.threshold = (profiles[n-1].Prefill + profiles[n].Prefill) / 2
	}
}

// separatedShare returns the share of the separated kinds in the demand for engines.
// A request needs the time to prefill its prompt and a slot for the time of its run.
// In a burst of separated requests the other ones keep the engines that they need.
func (s *Separator) separatedShare(profiles []Profile, engines, slots int) float64 {
	separated, shared := 0.0, 0.0
	for _, p := range profiles {
		demand := p.Prefill.Seconds()
		if slots > 0 {
			demand += p.Run.Seconds() / float64(slots)
		}
		demand *= p.Rate
		if s.IsSeparated(p.Name) {
			separated += demand
		} else {
			shared += demand
		}
	}
	if separated == 0 {
		return 0
	}
	share := separated / (separated + sharedWeight*shared)
	if engines > 0 {
		share = min(share, max(1./engineSteps, 1-(shared+min(shared, burstHeadroom*math.Sqrt(shared)))/float64(engines)))
	}
	return share
}

// profiles returns the kinds with the most traffic, the longest prefill first.
func (s *Separator) profiles(now time.Time, f Fleet) []Profile {
	out := make([]Profile, 0, len(s.kinds))
	perToken := s.secondsPerToken()
	for name, k := range s.kinds {
		r := s.fleetWide(now, name, k, f)
		k.profile.Prefill = time.Duration(r.PromptTokens * perToken * float64(time.Second))
		p := k.profile
		p.Rate, p.PromptTokens, p.Run, p.Gap = r.Rate, r.PromptTokens, r.Run, r.Gap
		if p.Rate > 0 && r.PromptTokens > 0 {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Profile) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name)) })
	out = out[:min(len(out), maxCompared)]
	for len(out) > 1 && out[len(out)-1].Rate < minRateShare*out[0].Rate {
		out = out[:len(out)-1]
	}
	slices.SortFunc(out, func(a, b Profile) int {
		return cmp.Or(cmp.Compare(b.Prefill, a.Prefill), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// startStallShare is the share of the shortest gap target of a service from which the
// prefill of a prompt is long until enough requests have arrived for a decision.
const startStallShare = 0.25

// IsSeparated reports whether a kind of request gets upstreams of its own. Until the
// first decision, the mean length of its prompts decides, on an engine of usual
// speed.
func (s *Separator) IsSeparated(request string) bool {
	k := s.kinds[request]
	if k == nil {
		return false
	}
	if s.decisive {
		return s.separated > 0 && k.profile.Prefill >= s.threshold
	}
	prefill := k.promptTokens * s.secondsPerToken()
	return prefill >= startStallShare*s.shortestGapTarget().Seconds()
}

// IsLeastUrgent reports whether a kind of request is separated and no separated kind
// with traffic is less urgent.
func (s *Separator) IsLeastUrgent(request string) bool {
	k := s.kinds[request]
	return k != nil && k.profile.Priority >= s.leastUrgent && s.IsSeparated(request)
}

// shortestGapTarget returns the shortest gap target of the known kinds.
func (s *Separator) shortestGapTarget() time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, k := range s.kinds {
		if k.profile.GapTarget > 0 {
			shortest = min(shortest, k.profile.GapTarget)
		}
	}
	return shortest
}

// Share returns the share of the engines that the separated kinds need, zero if none
// is separated and one if all are.
func (s *Separator) Share() float64 { return s.share }

// MaxSpilloverTokens returns the number of prompt tokens that an engine of the kinds
// that are not separated can prefill while their gaps stay within the targets.
func (s *Separator) MaxSpilloverTokens() int { return s.maxSpillover }

func (s *Separator) tokensWithinGaps(profiles []Profile) int {
	room := time.Duration(math.MaxInt64)
	for _, p := range profiles {
		if p.GapTarget > 0 && !s.IsSeparated(p.Name) {
			room = min(room, max(0, p.GapTarget-p.Gap))
		}
	}
	return int(min(room.Seconds()/s.secondsPerToken(), math.MaxInt32))
}

// average returns the moving average after an observation, which is the first one
// if old is zero.
func average(old, observed time.Duration, weight float64) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(weight*float64(observed-old))
}

// decay returns the weight of arrivals after the given time.
func decay(age time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / rateHalfLife.Seconds())
}
