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

// lengthQuantile is the quantile of the observed answer lengths that serves as
// the expected length. The executor uses the same.
const lengthQuantile = 0.75

// entry simulates the router of one entry.
type entry[P picker.Policy] struct {
	index      int
	zone       string
	picker     *picker.Picker[P]
	inFlight   int
	leaving    bool
	restarting bool
	lengths    estimator.Lengths
	budget     retrier.Budget
}

// flight is a request in flight at an entry.
type flight[P picker.Policy] struct {
	request    Request
	entry      *entry[P]
	id         string
	arrivedAt  time.Time
	retryState retrier.RequestState
	attempt    int
	// agent is the index of the agent of the last attempt, -1 before the first.
	agent          int
	triedUpstreams []string
	attemptSentAt  time.Time
	firstTokenAt   time.Time
	lastTokenAt    time.Time
	// attemptLastTokenAt is the time of the last token of the current attempt, zero
	// before its first.
	attemptLastTokenAt time.Time
	suspect            bool
	ended              bool
	// generatedTokens counts the tokens of all attempts at the engines.
	generatedTokens int
}

// A caller cancels its request if the first token of a stream or a whole answer
// takes longer.
const (
	maxFirstTokenWait = 10 * time.Second
	maxAnswerWait     = 120 * time.Second
)

func newEntry[P picker.Policy, S scheduler.Policy](sim *simulation[S, P], i int) *entry[P] {
	e := &entry[P]{index: i, zone: zoneOf(i), picker: picker.New[P](sim.seed*16 + uint64(i))}
	for _, a := range sim.agents {
		e.picker.Step(sim.now, picker.Event{Kind: picker.EventConnected, Upstream: a.name, AvailabilityZone: a.zone})
	}
	return e
}

func (s *simulation[S, P]) submit(e *entry[P], r Request) {
	if s.verdict(r) == detector.Quarantined {
		s.result.Quarantined++
		s.result.recordEnd(s.classes, r, outcomeRefused, time.Time{}, time.Time{}, time.Time{})
		s.unfinished--
		return
	}
	c := s.classes[r.Class]
	f := &flight[P]{
		request: r, entry: e, id: strconv.Itoa(s.sequence), arrivedAt: s.now, agent: -1,
		retryState: retrier.RequestState{Repeatable: true},
	}
	e.inFlight++
	e.budget.RequestAdmitted()
	maxWait := maxAnswerWait
	if c.FirstTokenTarget > 0 {
		maxWait = maxFirstTokenWait
	}
	s.scheduleAfter(maxWait, func() {
		if !f.ended && (c.FirstTokenTarget == 0 || f.firstTokenAt.IsZero()) {
			s.abandon(f)
		}
	})
	s.dispatch(f)
}

func (s *simulation[S, P]) dispatch(f *flight[P]) {
	r, c := f.request, s.classes[f.request.Class]
	verdict := s.verdict(r)
	f.suspect = verdict != detector.Unsuspected
	if verdict == detector.OnTrial {
		s.detector.Step(s.now, detector.Event{Kind: detector.EventTrial, Fingerprints: []string{fingerprint(r)}})
	}
	name, ok := f.entry.picker.Pick(s.now, picker.Query{
		Candidates: s.upstreams, AvailabilityZone: f.entry.zone, Exclude: f.triedUpstreams, Tier: c.Tier,
		TokenGapTarget: c.TokenGapTarget, Prefix: r.Prefix, PrefixTokens: r.PrefixTokens, PromptTokens: r.PromptTokens,
		Suspect: f.suspect,
	})
	if !ok {
		s.retryOrRefuse(f, retrier.CauseNoUpstream)
		return
	}
	f.attempt++
	f.triedUpstreams = append(f.triedUpstreams, name)
	f.attemptSentAt, f.attemptLastTokenAt = s.now, time.Time{}
	f.entry.picker.Step(s.now, picker.Event{Kind: picker.EventSent, Upstream: name, Prefix: r.Prefix, Suspect: f.suspect})
	m := submission[P]{flight: f, run: scheduler.Run{
		Key: scheduler.Key{Request: f.id, Attempt: f.attempt}, Class: c.Name, Tier: c.Tier,
		Organisation: strconv.Itoa(r.Organisation), PromptTokens: r.PromptTokens,
		ExpectedTokens: f.entry.lengths.Quantile(s.now, estimator.Key{Class: c.Name}, lengthQuantile), ResumeFrom: f.retryState.DeliveredTokens,
		TokenGapTarget: c.TokenGapTarget,
	}}
	if c.FirstTokenTarget > 0 && f.retryState.DeliveredTokens == 0 {
		m.run.FirstTokenBy = f.arrivedAt.Add(c.FirstTokenTarget)
	}
	if c.AnswerTarget > 0 {
		m.run.AnswerBy = f.arrivedAt.Add(c.AnswerTarget)
	}
	for i, a := range s.agents {
		if a.name == name {
			f.agent = i
		}
	}
	a := s.agents[f.agent]
	s.scheduleAfter(latency, func() { a.submit(m) })
}

// receive processes a frame. Frames of earlier attempts are dropped.
func (s *simulation[S, P]) receive(m frame[P]) {
	f := m.flight
	if f.ended || m.attempt != f.attempt {
		return
	}
	name := s.agents[f.agent].name
	switch m.kind {
	case frameTokens:
		s.recordTokens(f, m, name)
	case frameFinished:
		f.entry.lengths.Observe(s.now, estimator.Key{Class: s.classes[f.request.Class].Name}, f.retryState.DeliveredTokens)
		f.entry.picker.Step(s.now, picker.Event{Kind: picker.EventEnded, Upstream: name, Tokens: f.retryState.DeliveredTokens, Suspect: f.suspect})
		s.detector.Step(s.now, detector.Event{Kind: detector.EventAnswered, Fingerprints: []string{fingerprint(f.request)}})
		s.endRequest(f, outcomeAnswered)
	case frameRefused, frameReturned:
		f.retryState.Refused++
		f.entry.picker.Step(s.now, picker.Event{Kind: picker.EventEnded, Upstream: name, Suspect: f.suspect})
		s.retryOrRefuse(f, retrier.CauseRefused)
	case frameLost, frameCrashed:
		f.retryState.Lost++
		f.entry.picker.Step(s.now, picker.Event{Kind: picker.EventLost, Upstream: name, Suspect: f.suspect})
		if m.kind == frameCrashed {
			s.detector.Step(s.now, detector.Event{Kind: detector.EventCrashed, Upstream: name, Fingerprints: []string{fingerprint(f.request)}})
		}
		if s.verdict(f.request) == detector.Quarantined {
			s.result.Quarantined++
			s.endRequest(f, outcomeRefused)
			return
		}
		s.retryOrRefuse(f, retrier.CauseLost)
	}
}

// recordTokens records the arrival of tokens at the entry and reports their delay
// to the picker.
func (s *simulation[S, P]) recordTokens(f *flight[P], m frame[P], name string) {
	f.retryState.DeliveredTokens += m.tokens
	if f.firstTokenAt.IsZero() {
		f.firstTokenAt = s.now
	}
	f.lastTokenAt = s.now
	e := picker.Event{Kind: picker.EventTokens, Upstream: name, Tokens: m.tokens, Elapsed: s.now.Sub(f.attemptLastTokenAt)}
	if f.attemptLastTokenAt.IsZero() {
		e.Kind, e.Elapsed = picker.EventFirstToken, 0
		if s.classes[f.request.Class].FirstTokenTarget > 0 {
			e.Elapsed = s.now.Sub(f.attemptSentAt)
		}
	}
	f.attemptLastTokenAt = s.now
	f.entry.picker.Step(s.now, e)
}

// retryOrRefuse starts another attempt if the retry budget permits it, and refuses
// the request otherwise.
func (s *simulation[S, P]) retryOrRefuse(f *flight[P], c retrier.Cause) {
	if d := f.entry.budget.Decide(f.retryState, c); d.Failure == nil {
		s.dispatch(f)
		return
	}
	if c == retrier.CauseRefused {
		s.result.ShedTokens += f.generatedTokens
	}
	s.endRequest(f, outcomeRefused)
}

// abandon ends a request that its caller has cancelled.
func (s *simulation[S, P]) abandon(f *flight[P]) {
	a := s.agents[f.agent]
	k := scheduler.Key{Request: f.id, Attempt: f.attempt}
	f.entry.picker.Step(s.now, picker.Event{Kind: picker.EventEnded, Upstream: a.name, Suspect: f.suspect})
	s.scheduleAfter(latency, func() { a.cancel(k) })
	s.endRequest(f, outcomeAbandoned)
}

func (s *simulation[S, P]) endRequest(f *flight[P], o outcome) {
	f.ended = true
	f.entry.inFlight--
	s.unfinished--
	s.result.recordEnd(s.classes, f.request, o, f.arrivedAt, f.firstTokenAt, f.lastTokenAt)
}

// verdict returns the verdict of the detector of poison requests. All entries
// share one detector, so that its state propagates without delay.
func (s *simulation[S, P]) verdict(r Request) detector.Verdict {
	return s.detector.Verdict(s.now, fingerprint(r))
}

func fingerprint(r Request) string { return strconv.Itoa(r.Content) }
