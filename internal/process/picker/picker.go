// Package picker decides to which upstream an entry sends a request.
//
// It is a decision package. It keeps what the entry knows of each upstream: the
// last load that its agent reported, the requests of this entry in flight
// there, how fast it answers and whether it is connected or leaving. It also
// remembers which upstreams last served a prompt prefix, since those need not
// read the prefix again.
//
// The policy, a type parameter, gives each candidate a cost; the lowest wins.
// [ExpectedFirstToken] is the one for upstreams with an agent, whose load is
// reported; [LeastBacklog] is the one for upstreams that entries call directly;
// [RoundRobin] and [LeastOutstanding] are baselines.
//
// A load report tells the past. The picker knows its own requests exactly, so
// it takes from a report only the load of other entries and discounts that with
// age. Entries that see the same report still choose differently, because each
// compares a few candidates drawn at random (Mitzenmacher, 2001, on the power of
// two choices).
//
// # Usage
//
//	p := picker.New[picker.ExpectedFirstToken](seed)
//	p.Step(now, picker.Event{Kind: picker.EventLoad, Upstream: "desk-1", Load: l})
//	name, ok := p.Pick(now, picker.Query{Candidates: names, AvailabilityZone: "stowe"})
//	p.Step(now, picker.Event{Kind: picker.EventSent, Upstream: name})
package picker

import (
	"math/rand/v2"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
)

// EventKind says what the entry learned of an upstream.
type EventKind int

// The kinds of events.
const (
	// EventLoad brings a load report of the agent.
	EventLoad EventKind = iota
	// EventSent means that this entry sent a request.
	EventSent
	// EventFirstToken means that the first token came, Elapsed after the
	// request was sent. Elapsed is zero for a class without a target for it,
	// whose requests may have waited long for others.
	EventFirstToken
	// EventTokens means that Tokens more tokens came, Elapsed after the one
	// before.
	EventTokens
	// EventEnded means that a request of this entry ended there, with Tokens
	// tokens or refused, Elapsed after it was sent. Elapsed is zero if it was not
	// answered.
	EventEnded
	// EventLost means that the upstream failed under a request of this entry.
	EventLost
	// EventConnected and EventDisconnected follow the connection.
	EventConnected
	EventDisconnected
	// EventLeaving means that the upstream takes no new work.
	EventLeaving
	// EventCached and EventUncached bring the cache events of the upstream.
	EventCached
	EventUncached
	// EventShared brings a change of what another entry has in flight there: Runs
	// requests and PromptTokens pending tokens more, or fewer if negative.
	EventShared
)

// Event is one thing that the entry learned. Only the fields of its kind are
// set.
type Event struct {
	Kind             EventKind
	Upstream         string
	AvailabilityZone string
	Load             scheduler.Load
	// At is the time to which a load report or a cache event refers, on the
	// clock of the entry. Zero means now.
	At      time.Time
	Prefix  uint64
	Elapsed time.Duration
	Tokens  int
	// PromptTokens is the number of prompt tokens that the upstream has to read,
	// with the events that begin a request, bring its first token or end it
	// before that.
	PromptTokens int
	// Runs is the change of EventShared.
	Runs int
	// Slots is the number of requests that the upstream works on at once, with
	// EventConnected. Zero means unknown.
	Slots int
	// Failed is true for a request that the upstream ended with an error of its
	// own.
	Failed bool
	// Suspect and Patient are those of the query, with the kinds of events that
	// begin and end a request.
	Suspect bool
	Patient bool
}

// Query asks for an upstream.
type Query struct {
	Candidates       []string
	AvailabilityZone string
	// Exclude lists upstreams that have already refused or lost the request.
	Exclude []string
	Tier    int
	// TokenGapTarget is that of the class, zero without one.
	TokenGapTarget time.Duration
	// Target is the time to the first token, or to the whole answer, that counts
	// as on time. Zero means that none is promised.
	Target time.Duration
	// Prefix identifies the first PrefixTokens of the prompt, zero if no other
	// prompt shares them.
	Prefix       uint64
	PrefixTokens int
	PromptTokens int
	// Suspect is true for a request that was in flight on an upstream that
	// crashed. It may have been the cause.
	Suspect bool
	// Patient is true for a request whose pauses may be much longer than those
	// of others.
	Patient bool
}

// Policy compares upstreams for a query.
type Policy interface {
	// Sample returns the number of candidates to compare from the zone of the
	// query, and as many from the other zones. Zero means all.
	Sample() int
	// Usable reports whether u may get the request. If no candidate is usable,
	// all that are connected are compared.
	Usable(now time.Time, q Query, f *Fleet, u *Upstream) bool
	// Cost returns the cost of a candidate in a unit of the policy's own.
	// Smaller is better.
	Cost(now time.Time, q Query, f *Fleet, c Candidate) float64
}

// Candidate is an upstream that may get the request of a query.
type Candidate struct {
	*Upstream
	// CachedTokens is the expected number of prompt tokens in its cache.
	CachedTokens float64
	// Rank is the place of the upstream for the prefix of the query, on which all
	// entries agree: zero for the one to which they send it while they can, then
	// those that they turn to in its place. It is [Unranked] for all others.
	Rank int
	// Fits is false if the upstream belongs to requests of the other kind,
	// patient or not.
	Fits bool
}

// Picker holds the table of upstreams. Make it with [New].
type Picker[P Policy] struct {
	policy    P
	fleet     Fleet
	upstreams map[string]*Upstream
	prefixes  prefixTable
	random    *rand.Rand
	sent      uint64
	// near and far are the candidates that the present Pick has drawn.
	near, far draw
	// holders are the upstreams that served the prefix of the present Pick, and
	// ranking has those that rank highest for it.
	holders []*Upstream
	ranking ranking
	lane    lane
	usable  []*Upstream
}

// New returns a picker whose random choices follow seed.
func New[P Policy](seed uint64) *Picker[P] {
	return &Picker[P]{upstreams: map[string]*Upstream{}, random: rand.New(rand.NewPCG(seed, 1))}
}

// Step takes in one event.
func (p *Picker[P]) Step(now time.Time, e Event) {
	u := p.upstreams[e.Upstream]
	if u == nil {
		u = &Upstream{Name: e.Upstream}
		p.upstreams[e.Upstream] = u
	}
	if e.At.IsZero() {
		e.At = now
	}
	switch e.Kind {
	case EventLoad:
		u.report(e.At, e.Load)
		p.fleet.addLoad(u)
	case EventSent:
		p.sent++
		u.send(now, p.sent)
		u.suspect(e.Suspect, 1)
		u.Pending += e.PromptTokens
		p.lane.add(now, e.Patient, e.PromptTokens)
		p.prefixes.store(now, e.Prefix, u.Name)
	case EventFirstToken:
		u.addFirstToken(now, e.Elapsed)
		u.read(e.PromptTokens)
		p.fleet.addFirstToken(e.Elapsed)
	case EventTokens:
		p.fleet.addGap(e.Elapsed, e.Tokens)
		u.addGap(now, e.Elapsed, e.Tokens, &p.fleet)
	case EventEnded:
		u.end(now, e.Tokens, &p.fleet)
		p.fleet.addRun(e.Elapsed)
		if u.Slots > 0 {
			// A run takes a part of the engine for its whole time.
			p.lane.add(now, e.Patient, int(e.Elapsed.Seconds()/float64(u.Slots)/tokenTime))
		}
		u.read(e.PromptTokens)
		u.addResult(e.Failed, &p.fleet)
		u.suspect(e.Suspect, -1)
		p.fleet.addAnswer(e.Tokens)
	case EventLost:
		u.lose(now)
		u.read(e.PromptTokens)
		u.addResult(true, &p.fleet)
		u.suspect(e.Suspect, -1)
	case EventConnected:
		u.Connected, u.Leaving, u.AvailabilityZone, u.Slots = true, false, e.AvailabilityZone, e.Slots
	case EventDisconnected:
		*u = Upstream{Name: u.Name, AvailabilityZone: u.AvailabilityZone}
	case EventLeaving:
		u.Leaving = true
	case EventCached:
		p.prefixes.store(e.At, e.Prefix, u.Name)
	case EventUncached:
		p.prefixes.remove(e.At, e.Prefix, u.Name)
	case EventShared:
		u.SharedRuns = max(0, u.SharedRuns+e.Runs)
		u.SharedPending = max(0, u.SharedPending+e.PromptTokens)
	}
}

// Forget drops an upstream that will not come back.
func (p *Picker[P]) Forget(upstream string) { delete(p.upstreams, upstream) }

// Upstream returns what is known of an upstream, nil if it is unknown. The
// caller must not change it.
func (p *Picker[P]) Upstream(name string) *Upstream { return p.upstreams[name] }

// scanLimit is the number of candidates up to which Pick looks at each of
// them. Above it Pick looks at as many drawn at random: a look at 3,500 known
// upstreams costs about 130 ns, so that 512 looks took 69 µs, above the 50 µs
// that a choice may cost.
const scanLimit = 192

// Pick returns the preferred upstream among the candidates that are connected,
// not leaving and not excluded.
func (p *Picker[P]) Pick(now time.Time, q Query) (string, bool) {
	sample := p.policy.Sample()
	if sample == 0 || q.Suspect {
		sample = len(q.Candidates)
	}
	p.near.reset(sample)
	p.far.reset(sample)
	looks := min(len(q.Candidates), scanLimit)
	for i := range looks {
		if len(q.Candidates) > scanLimit {
			i = p.random.IntN(len(q.Candidates))
		}
		p.consider(now, q, p.upstreams[q.Candidates[i]], true)
	}
	p.findHolders(now, q)
	p.ranking, p.lane.members = ranking{}, p.lane.members[:0]
	if len(q.Candidates) <= scanLimit {
		p.rank(now, q)
	}
	if len(p.near.kept)+len(p.far.kept)+len(p.holders) == 0 {
		for _, name := range q.Candidates {
			p.consider(now, q, p.upstreams[name], false)
		}
	}
	return p.cheapest(now, q)
}

// consider draws u into the sample if it may get the request. Unless strict,
// the policy is not asked.
func (p *Picker[P]) consider(now time.Time, q Query, u *Upstream, strict bool) {
	if !p.open(q, u) || strict && !p.policy.Usable(now, q, &p.fleet, u) {
		return
	}
	if u.AvailabilityZone == q.AvailabilityZone {
		p.near.add(p.random, u)
		return
	}
	p.far.add(p.random, u)
}

func (p *Picker[P]) open(q Query, u *Upstream) bool {
	return u != nil && u.Connected && !u.Leaving && !slices.Contains(q.Exclude, u.Name)
}

// findHolders finds the upstreams that served the prefix of q and are usable
// candidates.
func (p *Picker[P]) findHolders(now time.Time, q Query) {
	p.holders = p.holders[:0]
	all := p.prefixes.get(q.Prefix)
	if all == nil {
		return
	}
	for _, h := range all {
		u := p.upstreams[h.upstream]
		if p.open(q, u) && p.policy.Usable(now, q, &p.fleet, u) && slices.Contains(q.Candidates, u.Name) {
			p.holders = append(p.holders, u)
		}
	}
}

func (p *Picker[P]) cheapest(now time.Time, q Query) (string, bool) {
	var best *Upstream
	lowest, equal := 0.0, 0
	weigh := func(u *Upstream) {
		c := Candidate{Upstream: u, CachedTokens: p.prefixes.cached(now, q, u.Name), Rank: p.ranking.of(u), Fits: p.lane.fits(u, q.Patient)}
		cost := p.policy.Cost(now, q, &p.fleet, c)
		switch {
		case best == nil || cost < lowest:
			best, lowest, equal = u, cost, 1
		case cost == lowest:
			// Equal candidates have equal chances.
			if equal++; p.random.IntN(equal) == 0 {
				best = u
			}
		}
	}
	for _, u := range p.holders {
		weigh(u)
	}
	for _, u := range p.near.kept {
		weigh(u)
	}
	for _, u := range p.far.kept {
		weigh(u)
	}
	if best == nil {
		return "", false
	}
	return best.Name, true
}

// draw is a uniform sample of bounded size from a sequence (reservoir
// sampling).
type draw struct {
	kept  []*Upstream
	size  int
	shown int
}

func (d *draw) reset(size int) { d.kept, d.size, d.shown = d.kept[:0], size, 0 }

func (d *draw) add(r *rand.Rand, u *Upstream) {
	d.shown++
	if len(d.kept) < d.size {
		d.kept = append(d.kept, u)
		return
	}
	if i := r.IntN(d.shown); i < d.size {
		d.kept[i] = u
	}
}
