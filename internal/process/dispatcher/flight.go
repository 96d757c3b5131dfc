package dispatcher

import (
	"net/http"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

const (
	// dialLimit bounds the time for a new connection. It is many round trips
	// within a region, and below the first retransmission of TCP after 1 s.
	dialLimit = 300 * time.Millisecond
	// silenceFactor is the time without an answer, in targets, after which a
	// request that may run again is tried elsewhere. minSilence keeps requests
	// with a short target from being run twice in a short congestion.
	silenceFactor = 3
	minSilence    = 150 * time.Millisecond
	// streamSilence is the same between the events of a stream. Callers give up
	// after 2 s.
	streamSilence = 1200 * time.Millisecond
	// maxUnreached is the number of upstreams that may be out of reach for one
	// request.
	maxUnreached = 4
	// retryFraction is the part of the time that is left after which a caller may
	// come again; minRetryAfter and maxRetryAfter bound it. Callers wait for a
	// third of the time that they have left at most.
	retryFraction = 5
	maxRetryAfter = time.Second
	minRetryAfter = 50 * time.Millisecond
	// longFraction is the same for what takes longer to pass: the start of an entry
	// that knows no configuration, with startRetryAfter, and a burst of patient
	// requests, with overloadRetryAfter. Their first events are late in any case.
	longFraction       = 3.2
	startRetryAfter    = 2 * time.Second
	overloadRetryAfter = 5 * time.Second
	// connectionUse is the part of the connections of an upstream that the
	// entries divide among them. The rest is for those that have just started.
	connectionUse = 0.8
	// minConnections is the number of connections that an entry may have to an
	// upstream in any case.
	minConnections = 4
)

// flight is a request in flight.
type flight struct {
	request   Request
	admission matcher.Admission
	version   int64
	state     retrier.RequestState
	until     time.Time
	attempt   int
	unreached int
	// upstream is the identity of that of the present attempt.
	upstream string
	tried    []string
	suspect  bool
	// reading is the number of prompt tokens that the upstream has to read until
	// the first event.
	reading int
	sent    time.Time
	begun   bool
	last    string
	summary Summary
}

func (d *Dispatcher) arrive(now time.Time, r Request) []Action {
	a, failure := d.table.Admit(r.Query)
	f := &flight{request: r, admission: a, until: r.Deadline}
	f.summary = Summary{Route: a.Route.Name, Service: a.Service.Name, Organisation: a.Organisation, Prefix: r.Prefix, Prompt: r.PromptTokens, Content: r.Digest}
	if d.table != nil {
		f.version = d.table.Configuration.Version
	}
	f.summary.Version = f.version
	if failure != nil && !d.synced && failure.Status != http.StatusServiceUnavailable {
		// A newer configuration may allow it.
		failure = unavailable("not_in_step", "the configuration may be out of date")
	}
	if failure == nil && len(d.flights) >= maxFlights {
		failure = admitter.OverloadedFailure()
	}
	if failure == nil && d.flights[r.ID] != nil {
		failure = unavailable("duplicate_identity", "a request with this identity is in flight")
	}
	if failure == nil && d.detector.Verdict(now, f.fingerprint()) == detector.Quarantined {
		failure = unavailable("quarantined", "upstreams crashed while they ran this content; it is refused for some minutes")
	}
	if failure != nil {
		return []Action{d.failure(now, f, failure)}
	}
	f.state = retrier.RequestState{Repeatable: a.Route.Repeatable(), MaxRuns: max(1, a.Route.MaxAttempts)}
	if end := r.Received.Add(a.Route.Timeout); a.Route.Timeout > 0 && (f.until.IsZero() || end.Before(f.until)) {
		f.until = end
	}
	d.flights[r.ID] = f
	d.service(a.Service.Name).budget.RequestAdmitted()
	return d.send(now, f)
}

// fingerprint identifies the content of a request among those of all
// organisations.
func (f *flight) fingerprint() string { return f.admission.Organisation + "/" + f.request.Digest }

// send sends the next attempt of f.
func (d *Dispatcher) send(now time.Time, f *flight) []Action {
	if !now.Before(f.until) {
		return d.next(now, f, retrier.CauseExpired, nil)
	}
	s := d.service(f.admission.Service.Name)
	f.suspect = d.detector.Verdict(now, f.fingerprint()) == detector.Suspect
	q := picker.Query{
		Candidates: s.names, AvailabilityZone: d.settings.AvailabilityZone, Exclude: d.exclude(s, f),
		Tier: f.admission.Priority + 1, TokenGapTarget: f.admission.Route.GapTarget, LatencyTarget: f.admission.Route.LatencyTarget,
		Prefix: f.request.Prefix, PrefixTokens: f.request.PrefixTokens, PromptTokens: f.request.PromptTokens,
		Suspect: f.suspect, LatencyTolerant: d.table.ToleratesLongGaps(f.admission.Route),
	}
	name, ok := s.picker.Pick(now, q)
	if !ok {
		return d.next(now, f, retrier.CauseNoUpstream, nil)
	}
	if f.attempt == 0 && d.overloaded(s, f, name) {
		f.summary.Upstream = name
		delete(d.flights, f.request.ID)
		return []Action{d.failure(now, f, unavailable("overloaded", "no upstream could begin the request in time"))}
	}
	f.attempt++
	f.upstream, f.tried = name, append(f.tried, name)
	d.place(f)
	f.reading, f.sent = f.request.PromptTokens, now
	u := s.picker.Upstream(name)
	f.summary.Upstream, f.summary.Attempts = name, f.attempt
	f.summary.Outstanding, f.summary.Pending = u.Outstanding, u.PendingTokens
	s.picker.Step(now, picker.Event{Kind: picker.EventSent, Upstream: name, Prefix: f.request.Prefix, Suspect: f.suspect, LatencyTolerant: q.LatencyTolerant, PromptTokens: f.reading})
	left := f.until.Sub(now)
	source, _ := s.picker.CacheSource(now, q, name)
	f.summary.CacheSource = source
	return []Action{{
		Kind: ActionSend, ID: f.request.ID, Attempt: f.attempt, Upstream: s.upstreams[name], CacheSource: s.upstreams[source].Address,
		Priority: f.admission.Priority, Organisation: f.admission.Organisation,
		Until: f.until, Silence: silence(f, left), DialTimeout: min(dialLimit, left/3),
		Stream: f.admission.Route.Kind == matcher.Streaming, Begun: f.begun, LastEvent: f.last,
		Summary: f.summary,
	}}
}

// overloaded reports whether a patient request is to be refused, since it would
// wait for more than half of its target at the best upstream. Its first event
// would be late, and its prompt would delay all others. The most urgent requests
// are never refused for the sake of others.
func (d *Dispatcher) overloaded(s *service, f *flight, best string) bool {
	r := f.admission.Route
	return r.LatencyTarget > 0 && f.admission.Priority > 0 && d.table.ToleratesLongGaps(r) && s.picker.ExpectedWait(best, true) > r.LatencyTarget/2
}

// exclude returns the upstreams that f must not go to: those that it has been
// at, and those to which this entry has as many connections as it may.
func (d *Dispatcher) exclude(s *service, f *flight) []string {
	out := f.tried
	limit := f.admission.Service.MaxConnections
	if limit == 0 {
		return out
	}
	share := max(minConnections, int(connectionUse*float64(limit)/float64(d.entries)))
	for _, name := range s.names {
		if u := s.picker.Upstream(name); u != nil && u.Outstanding >= share {
			out = append(out[:len(out):len(out)], name)
		}
	}
	return out
}

// silence returns the longest time without a byte of the answer to f after
// which it is tried elsewhere, zero if it cannot be.
func silence(f *flight, left time.Duration) time.Duration {
	if !f.state.Repeatable || f.state.Lost+f.state.Failed+1 >= f.state.MaxRuns {
		return 0
	}
	if f.admission.Route.Kind == matcher.Streaming {
		return streamSilence
	}
	return min(max(minSilence, silenceFactor*f.admission.Route.LatencyTarget), left/2)
}

func (d *Dispatcher) progress(now time.Time, e Event) {
	f := d.flights[e.ID]
	if f == nil || f.attempt != e.Attempt {
		return
	}
	s := d.service(f.admission.Service.Name)
	f.begun, f.last = e.Begun, e.LastEvent
	if e.First {
		s.picker.Step(now, picker.Event{Kind: picker.EventFirstToken, Upstream: f.upstream, Elapsed: e.Elapsed, PromptTokens: f.reading})
		f.reading = 0
		return
	}
	s.picker.Step(now, picker.Event{Kind: picker.EventTokens, Upstream: f.upstream, Elapsed: e.Elapsed, Tokens: e.Events})
}

func (d *Dispatcher) ended(now time.Time, e Event) []Action {
	f := d.flights[e.ID]
	if f == nil || f.attempt != e.Attempt {
		return nil
	}
	f.begun, f.last = e.Begun, e.LastEvent
	strikes := d.account(now, f, e)
	switch e.Ending {
	case EndingAnswered:
		return append(strikes, d.finish(now, f, "answered"))
	case EndingCancelled:
		return append(strikes, d.finish(now, f, "cancelled"))
	case EndingFailed:
		f.state.Failed++
		return d.next(now, f, retrier.CauseFailed, strikes)
	case EndingRefused:
		f.state.Refused++
		return d.next(now, f, retrier.CauseRefused, strikes)
	case EndingUnreached:
		f.unreached++
		if f.unreached >= maxUnreached {
			return d.next(now, f, retrier.CauseNoUpstream, strikes)
		}
		return append(strikes, d.send(now, f)...)
	case EndingExpired:
		f.state.Lost++
		return d.next(now, f, retrier.CauseExpired, strikes)
	case EndingLost, EndingCrashed:
		f.state.Lost++
		return d.next(now, f, retrier.CauseLost, strikes)
	}
	return strikes
}

// account tells the picker and the detector how an attempt ended.
func (d *Dispatcher) account(now time.Time, f *flight, e Event) []Action {
	s := d.service(f.admission.Service.Name)
	p := picker.Event{Kind: picker.EventEnded, Upstream: f.upstream, Suspect: f.suspect, PromptTokens: f.reading}
	f.reading = 0
	switch e.Ending {
	case EndingLost, EndingCrashed, EndingUnreached:
		p.Kind = picker.EventLost
	case EndingFailed:
		p.Failed = true
	case EndingAnswered:
		p.Elapsed, p.LatencyTolerant = now.Sub(f.sent), d.table.ToleratesLongGaps(f.admission.Route)
		if f.admission.Route.Kind != matcher.Streaming {
			s.picker.Step(now, picker.Event{Kind: picker.EventFirstToken, Upstream: f.upstream, Elapsed: e.Elapsed})
		}
	}
	s.picker.Step(now, p)
	if _, ok := s.upstreams[f.upstream]; !ok && s.picker.Upstream(f.upstream).Outstanding == 0 {
		s.picker.Remove(f.upstream)
	}
	switch e.Ending {
	case EndingCrashed:
		return spread(d.detector.Step(now, detector.Event{
			Kind: detector.EventCrashed, Upstream: f.upstream, Fingerprints: []string{f.fingerprint()},
		}))
	case EndingAnswered:
		return spread(d.detector.Step(now, detector.Event{Kind: detector.EventAnswered, Fingerprints: []string{f.fingerprint()}}))
	}
	return nil
}

// next decides what follows an attempt that ended without an answer.
func (d *Dispatcher) next(now time.Time, f *flight, c retrier.Cause, before []Action) []Action {
	f.state.Quarantined = d.detector.Verdict(now, f.fingerprint()) == detector.Quarantined
	if f.begun {
		f.state.DeliveredTokens = 1
	}
	decision := d.service(f.admission.Service.Name).budget.Decide(f.state, c)
	switch {
	case decision.ForwardUpstreamError && !f.begun:
		delete(d.flights, f.request.ID)
		return append(before, Action{Kind: ActionDeliver, ID: f.request.ID, Attempt: f.attempt, Summary: f.describe(now, decision.Failure.Message)})
	case decision.Failure != nil:
		delete(d.flights, f.request.ID)
		return append(before, d.failure(now, f, decision.Failure))
	}
	return append(before, d.send(now, f)...)
}

func (d *Dispatcher) finish(now time.Time, f *flight, reason string) Action {
	delete(d.flights, f.request.ID)
	return Action{Kind: ActionFinish, ID: f.request.ID, Attempt: f.attempt, Begun: f.begun, Summary: f.describe(now, reason)}
}

// failure returns the action that tells a caller that its request has failed.
func (d *Dispatcher) failure(now time.Time, f *flight, failure *admitter.Failure) Action {
	told := *failure
	if told.Status == http.StatusUnprocessableEntity {
		// A 4xx would say that the request is at fault, which is not certain.
		told.Status = http.StatusBadGateway
		if told.Outcome == admitter.OutcomeNotRun {
			told.Status = http.StatusServiceUnavailable
		}
	}
	if told.Status == http.StatusServiceUnavailable {
		told.RetryAfter = d.retryAfter(now, f)
	}
	return Action{
		Kind: ActionFail, ID: f.request.ID, Attempt: f.attempt, Begun: f.begun, Failure: &told,
		Summary: f.describe(now, told.Code),
	}
}

// retryAfter returns the time after which the caller of f may come again.
func (d *Dispatcher) retryAfter(now time.Time, f *flight) time.Duration {
	fraction, limit := float64(retryFraction), maxRetryAfter
	switch {
	case d.table == nil:
		fraction, limit = longFraction, startRetryAfter
	case d.table.ToleratesLongGaps(f.admission.Route):
		fraction, limit = longFraction, overloadRetryAfter
	}
	if f.until.IsZero() {
		return limit
	}
	return min(limit, max(minRetryAfter, time.Duration(float64(f.until.Sub(now))/fraction)))
}

func (f *flight) describe(now time.Time, reason string) Summary {
	s := f.summary
	s.Elapsed, s.Reason = now.Sub(f.request.Received), reason
	return s
}

func unavailable(code, message string) *admitter.Failure {
	return &admitter.Failure{Status: http.StatusServiceUnavailable, Code: code, Message: message, Outcome: admitter.OutcomeNotRun}
}
