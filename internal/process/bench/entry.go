package bench

import (
	"strconv"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/estimator"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
)

// entry stands for the router of one entry.
// lengthQuantile is the quantile of learned lengths that the executor uses.
const lengthQuantile = 0.75

type entry[P picker.Policy] struct {
	index      int
	zone       string
	picker     *picker.Picker[P]
	flights    int
	leaving    bool
	restarting bool
	lengths    estimator.Lengths
	budget     retrier.Budget
}

// flight is a request in flight.
type flight[P picker.Policy] struct {
	request Request
	entry   *entry[P]
	id      string
	arrived time.Time
	state   retrier.RequestState
	attempt int
	agent   int
	tried   []string
	sent    time.Time
	first   time.Time
	last    time.Time
	// seen is the time of the last token of the present attempt.
	seen    time.Time
	suspect bool
	done    bool
	// generated counts the tokens that engines made for the request.
	generated int
}

// Callers that wait longer than this for the first token of a stream, or for a
// whole answer, give up.
const (
	patienceFirst  = 10 * time.Second
	patienceAnswer = 120 * time.Second
)

func newEntry[P picker.Policy, S scheduler.Policy](sim *simulation[S, P], i int) *entry[P] {
	e := &entry[P]{index: i, zone: zone(i), picker: picker.New[P](sim.seed*16 + uint64(i))}
	for _, a := range sim.agents {
		e.picker.Step(sim.now, picker.Event{Kind: picker.EventConnected, Upstream: a.name, AvailabilityZone: a.zone})
	}
	return e
}

func (s *simulation[S, P]) submit(e *entry[P], r Request) {
	if s.verdict(r) == detector.Quarantined {
		s.result.Quarantined++
		s.result.count(s.classes, r, outcomeRefused, time.Time{}, time.Time{}, time.Time{})
		s.open--
		return
	}
	c := s.classes[r.Class]
	f := &flight[P]{
		request: r, entry: e, id: strconv.Itoa(s.sequence), arrived: s.now, agent: -1,
		state: retrier.RequestState{Repeatable: true},
	}
	e.flights++
	e.budget.RequestAdmitted()
	patience := patienceAnswer
	if c.FirstTokenTarget > 0 {
		patience = patienceFirst
	}
	s.after(patience, func() {
		if !f.done && (c.FirstTokenTarget == 0 || f.first.IsZero()) {
			s.abandon(f)
		}
	})
	s.dispatch(f)
}

func (s *simulation[S, P]) dispatch(f *flight[P]) {
	r, c := f.request, s.classes[f.request.Class]
	f.suspect = s.verdict(r) == detector.Suspect
	name, ok := f.entry.picker.Pick(s.now, picker.Query{
		Candidates: s.names, AvailabilityZone: f.entry.zone, Exclude: f.tried, Tier: c.Tier,
		TokenGapTarget: c.TokenGapTarget, Prefix: r.Prefix, PrefixTokens: r.PrefixTokens, PromptTokens: r.PromptTokens,
		Suspect: f.suspect,
	})
	if !ok {
		s.retry(f, retrier.CauseNoUpstream)
		return
	}
	f.attempt++
	f.tried = append(f.tried, name)
	f.sent, f.seen = s.now, time.Time{}
	f.entry.picker.Step(s.now, picker.Event{Kind: picker.EventSent, Upstream: name, Prefix: r.Prefix, Suspect: f.suspect})
	m := submission[P]{flight: f, run: scheduler.Run{
		Key: scheduler.Key{Request: f.id, Attempt: f.attempt}, Class: c.Name, Tier: c.Tier,
		Organisation: strconv.Itoa(r.Organisation), PromptTokens: r.PromptTokens,
		ExpectedTokens: f.entry.lengths.Quantile(s.now, estimator.Key{Class: c.Name}, lengthQuantile), ResumeFrom: f.state.DeliveredTokens,
		TokenGapTarget: c.TokenGapTarget,
	}}
	if c.FirstTokenTarget > 0 && f.state.DeliveredTokens == 0 {
		m.run.FirstTokenBy = f.arrived.Add(c.FirstTokenTarget)
	}
	if c.AnswerTarget > 0 {
		m.run.AnswerBy = f.arrived.Add(c.AnswerTarget)
	}
	for i, a := range s.agents {
		if a.name == name {
			f.agent = i
		}
	}
	a := s.agents[f.agent]
	s.after(latency, func() { a.submit(m) })
}

// receive takes in a frame. Frames of earlier attempts are dropped.
func (s *simulation[S, P]) receive(m frame[P]) {
	f := m.flight
	if f.done || m.attempt != f.attempt {
		return
	}
	name := s.agents[f.agent].name
	switch m.kind {
	case frameTokens:
		s.tokens(f, m, name)
	case frameFinished:
		f.entry.lengths.Observe(s.now, estimator.Key{Class: s.classes[f.request.Class].Name}, f.state.DeliveredTokens)
		f.entry.picker.Step(s.now, picker.Event{Kind: picker.EventEnded, Upstream: name, Tokens: f.state.DeliveredTokens, Suspect: f.suspect})
		s.detector.Step(s.now, detector.Event{Kind: detector.EventAnswered, Fingerprints: []string{fingerprint(f.request)}})
		s.end(f, outcomeAnswered)
	case frameRefused, frameReturned:
		f.state.Refused++
		f.entry.picker.Step(s.now, picker.Event{Kind: picker.EventEnded, Upstream: name, Suspect: f.suspect})
		s.retry(f, retrier.CauseRefused)
	case frameLost, frameCrashed:
		f.state.Lost++
		f.entry.picker.Step(s.now, picker.Event{Kind: picker.EventLost, Upstream: name, Suspect: f.suspect})
		if m.kind == frameCrashed {
			s.detector.Step(s.now, detector.Event{Kind: detector.EventCrashed, Upstream: name, Fingerprints: []string{fingerprint(f.request)}})
		}
		if s.verdict(f.request) == detector.Quarantined {
			s.result.Quarantined++
			s.end(f, outcomeRefused)
			return
		}
		s.retry(f, retrier.CauseLost)
	}
}

func (s *simulation[S, P]) tokens(f *flight[P], m frame[P], name string) {
	f.state.DeliveredTokens += m.tokens
	if f.first.IsZero() {
		f.first = s.now
	}
	f.last = s.now
	e := picker.Event{Kind: picker.EventTokens, Upstream: name, Tokens: m.tokens, Elapsed: s.now.Sub(f.seen)}
	if f.seen.IsZero() {
		e.Kind, e.Elapsed = picker.EventFirstToken, 0
		if s.classes[f.request.Class].FirstTokenTarget > 0 {
			e.Elapsed = s.now.Sub(f.sent)
		}
	}
	f.seen = s.now
	f.entry.picker.Step(s.now, e)
}

func (s *simulation[S, P]) retry(f *flight[P], c retrier.Cause) {
	if d := f.entry.budget.Decide(f.state, c); d.Failure == nil {
		s.dispatch(f)
		return
	}
	if c == retrier.CauseRefused {
		s.result.ShedTokens += f.generated
	}
	s.end(f, outcomeRefused)
}

// abandon ends a request whose caller has given up.
func (s *simulation[S, P]) abandon(f *flight[P]) {
	a := s.agents[f.agent]
	k := scheduler.Key{Request: f.id, Attempt: f.attempt}
	f.entry.picker.Step(s.now, picker.Event{Kind: picker.EventEnded, Upstream: a.name, Suspect: f.suspect})
	s.after(latency, func() { a.cancel(k) })
	s.end(f, outcomeAbandoned)
}

func (s *simulation[S, P]) end(f *flight[P], o outcome) {
	f.done = true
	f.entry.flights--
	s.open--
	s.result.count(s.classes, f.request, o, f.arrived, f.first, f.last)
}

// verdict asks the detector, which all entries share without delay.
func (s *simulation[S, P]) verdict(r Request) detector.Verdict {
	return s.detector.Verdict(s.now, fingerprint(r))
}

func fingerprint(r Request) string { return strconv.Itoa(r.Content) }
