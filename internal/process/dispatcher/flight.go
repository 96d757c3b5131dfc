package dispatcher

import (
	"net/http"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
	"magnoliafront.dev/magnoliafront/internal/process/separator"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

const (
	// maxDialTimeout is the maximum time to establish a connection. It allows for
	// many round trips within a region, and ends before the first retransmission
	// of TCP after 1 s.
	maxDialTimeout = 300 * time.Millisecond
	// dialTimeoutDivisor is the ratio of the latency target of a request to the time after
	// which another upstream is tried if a connection is not established. Nothing has been
	// sent by then. minDialTimeout allows for a queue at a thin link.
	dialTimeoutDivisor = 4
	minDialTimeout     = 60 * time.Millisecond
	// idleTimeoutFactor is the ratio of the idle timeout of a repeatable request to
	// its latency target. After the idle timeout, the request is also sent to another
	// upstream. minIdleTimeout keeps a short congestion from causing a second run of
	// requests with a short target.
	idleTimeoutFactor = 3
	minIdleTimeout    = 150 * time.Millisecond
	// A caller abandons a stream after a gap of minCallerPatience, of
	// latencyPatienceFactor latency targets or of gapPatienceFactor gap targets,
	// whichever is longest. streamIdleShare is the share of this time after which a
	// stream is resumed on another upstream.
	minCallerPatience     = 2 * time.Second
	latencyPatienceFactor = 4
	gapPatienceFactor     = 8
	streamIdleShare       = 0.6
	// maxNotSent is the number of unsent attempts after which a request fails. An
	// attempt is unsent if, for example, the upstream was unreachable.
	maxNotSent = 6
	// usableConnectionShare is the share of the connection limit of an upstream
	// that is divided among the entries. The rest is for entries that have just
	// started.
	usableConnectionShare = 0.8
	// minConnections is the minimum of an entry's share of the connection limit of
	// an upstream.
	minConnections = 4
)

// codeDuplicateIdentity is the code of the refusal of a request whose identity is that of
// another one in flight.
const codeDuplicateIdentity = "duplicate_identity"

// inFlightRequest is the state of a request in flight.
type inFlightRequest struct {
	request              Request
	admission            matcher.Admission
	configurationVersion int64
	state                retrier.RequestState
	deadline             time.Time
	// run is the current attempt, and suspended an earlier one on a silent upstream
	// while the current one is tried, nil if there is none.
	run
	suspended *run
	// overlapSince is the time at which another attempt was first sent while one is
	// suspended, zero if none is known to be sent.
	overlapSince time.Time
	// attempts is the number of attempts, and notSent the number of those that could
	// not be sent.
	attempts int
	notSent  int
	// tried lists the upstreams of all attempts.
	tried     []string
	begun     bool
	lastEvent string
	// boundVersion is the digest of the software version at which the stream may go on, zero
	// while any may.
	boundVersion uint64
	// foundEmpty is true if an upstream had no event after lastEvent.
	foundEmpty bool
	// counted is true once the request was counted for the usage of its organisation.
	counted bool
	summary Summary
}

// run is an attempt of a request at one upstream.
type run struct {
	// attempt is the number of the attempt, and upstream the instance ID of its
	// upstream.
	attempt  int
	upstream string
	// version is the digest of the software version of the upstream.
	version uint64
	// suspect is true if the content was suspect when the attempt was sent.
	suspect bool
	// answering is true once the attempt has had a first event.
	answering bool
	// sent is true once the request of a contested attempt is known to be written.
	sent bool
	// permitted is true once the attempt may relay its answer, which it was contested for.
	permitted bool
	// pendingTokens is the number of prompt tokens that wait for prefill: all until
	// the first event, then zero.
	pendingTokens int
	// deferred is true for a deferred attempt until its first event, and deferredTokens
	// the number of prompt tokens that it waits to have prefilled.
	deferred       bool
	deferredTokens int
	sentAt         time.Time
	// prefillTokens is the number of prompt tokens, its own included, whose prefill the
	// time to the first event of the attempt shows. It is zero if the time depends on
	// other things: many requests were on the upstream when it was sent, or an upstream
	// had cached its prefix.
	prefillTokens int
}

// check returns the state of a new request and the failure with which it is refused, or
// nil. It changes nothing.
func (d *Dispatcher) check(now time.Time, r Request) (*inFlightRequest, *admitter.Failure) {
	a, failure := d.table.Admit(r.Query)
	f := &inFlightRequest{request: r, admission: a, deadline: r.Deadline}
	f.summary = Summary{Route: a.Route.Name, Service: a.Service.Name, Organisation: a.Organisation, Prefix: r.Prefix, PromptTokens: r.PromptTokens, Parts: r.Parts, Digest: r.Digest}
	if d.table != nil {
		f.configurationVersion = d.table.Configuration.Version
	}
	f.summary.Version = f.configurationVersion
	if end := r.Received.Add(a.Route.Timeout); a.Route.Timeout > 0 && (f.deadline.IsZero() || end.Before(f.deadline)) {
		f.deadline = end
	}
	if failure != nil && !d.synced && failure.Status != http.StatusServiceUnavailable {
		// A newer configuration may permit the request.
		failure = unavailable("not_in_step", "the configuration may be out of date")
	}
	if failure == nil && len(d.inFlight)+len(d.takeUps.waiting) >= maxInFlight {
		failure = admitter.OverloadedFailure()
	}
	if failure == nil && d.inFlight[r.ID] != nil {
		failure = unavailable(codeDuplicateIdentity, "a request with this identity is in flight")
	}
	if failure == nil {
		failure = d.quarantine(now, f)
	}
	if stopping := d.refuseWhileStopping(now, f); stopping != nil && (failure == nil || !now.Before(d.stop.NoticeEnd)) {
		failure = stopping
	}
	return f, failure
}

// admit starts a new request or refuses it.
func (d *Dispatcher) admit(now time.Time, r Request) []Action {
	f, failure := d.check(now, r)
	if failure != nil {
		return []Action{d.failAction(now, f, failure)}
	}
	if d.isUnknownTakeUp(now, f) {
		return d.holdTakeUp(now, f)
	}
	if failure := d.bindTakeUp(now, f); failure != nil {
		return []Action{d.failAction(now, f, failure)}
	}
	return d.start(now, f)
}

// start starts a request that was checked and, if it takes up a stream, bound to its version.
func (d *Dispatcher) start(now time.Time, f *inFlightRequest) []Action {
	a := f.admission
	f.state = retrier.RequestState{Repeatable: a.Route.Repeatable(), MaxRuns: max(1, a.Route.MaxAttempts)}
	d.add(f)
	s := d.service(a.Service.Name)
	s.budget.RequestAdmitted()
	d.demand.recordOwn(now, d.settings.AvailabilityZone, Arrivals{Service: a.Service.Name, Arrived: 1})
	return append(d.recordKind(now, s, f), d.send(now, f)...)
}

// send starts the next attempt of f on the upstream that the picker selects.
func (d *Dispatcher) send(now time.Time, f *inFlightRequest) []Action {
	if !now.Before(f.deadline) {
		return d.retryOrFail(now, f, retrier.CauseExpired, nil)
	}
	s := d.service(f.admission.Service.Name)
	verdict := d.verdict(now, f)
	if verdict == detector.Quarantined {
		return d.retryOrFail(now, f, retrier.CauseNoUpstream, nil)
	}
	if verdict == detector.OnTrial {
		d.trial = f.request.ID
		d.detector.Step(now, detector.Event{Kind: detector.EventTrial, Parts: f.request.Parts, Fingerprints: []string{f.fingerprint()}})
	}
	q := d.query(now, s, f)
	c, ok := d.choose(now, s, s.picker, f, q)
	if !ok && f.attempts == 0 && d.allHeldBack(now, f) {
		d.remove(f)
		return []Action{d.failAction(now, f, heldBackFailure())}
	}
	if !ok {
		return d.retryOrFail(now, f, retrier.CauseNoUpstream, nil)
	}
	q = c.query
	id, tokens, wait, placed := c.upstream, c.prefillTokens, c.wait, c.placed
	f.summary.ExpectedStart, f.summary.PrefillTokens, f.summary.Deferred = wait, tokens, placed == placedDeferred
	if placed == refused {
		f.summary.Upstream = id
		d.remove(f)
		return []Action{d.failAction(now, f, tooLateFailure())}
	}
	f.attempts++
	f.run = run{attempt: f.attempts, upstream: id, version: resumer.Digest(s.upstreams[id].Version), suspect: q.Suspect, pendingTokens: tokens, sentAt: now}
	priority := f.admission.Priority
	if placed == placedDeferred {
		priority = matcher.PriorityLevels - 1
		f.deferred, f.deferredTokens, f.pendingTokens = true, tokens, 0
		s.deferredTokens += tokens
	}
	f.tried = append(f.tried, id)
	s.recordMiss(tokens, f.request.PromptTokens)
	u := s.picker.Upstream(id)
	if !f.deferred && (f.request.PrefixTokens < minPlacementTokens || !s.picker.IsCached(f.request.Prefix)) {
		f.prefillTokens = prefillTokens(u, f.pendingTokens)
	}
	f.summary.Upstream, f.summary.Attempts = id, f.attempts
	f.summary.Outstanding, f.summary.PendingTokens = u.Outstanding, u.PendingTokens
	s.picker.Step(now, picker.Event{Kind: picker.EventSent, Upstream: id, Prefix: f.request.Prefix, Suspect: f.suspect, Deferred: f.deferred, PromptTokens: f.pendingTokens})
	remaining := f.deadline.Sub(now)
	source, _ := s.picker.CacheSource(now, q, id)
	f.summary.CacheSource = source
	return []Action{{
		Kind: ActionSend, ID: f.request.ID, Attempt: f.attempt, Upstream: s.upstreams[id], CacheSource: s.upstreams[source].Address,
		Priority: priority, Organisation: f.admission.Organisation,
		Deadline: f.deadline, IdleTimeout: idleTimeout(f, remaining), DialTimeout: dialTimeout(f, remaining),
		Stream: f.admission.Route.Kind == matcher.Streaming, Contested: f.suspended != nil, Begun: f.begun, LastEvent: f.lastEvent, EndIfEmpty: f.foundEmpty,
		Summary: f.summary,
	}}
}

// query returns the query for the upstream of the next attempt of f.
func (d *Dispatcher) query(now time.Time, s *service, f *inFlightRequest) picker.Query {
	return picker.Query{
		Candidates: d.candidates(s, f), AvailabilityZone: d.settings.AvailabilityZone, Exclude: d.exclude(s, f),
		Tier: f.admission.Priority + 1, TokenGapTarget: f.admission.Route.GapTarget, LatencyTarget: f.admission.Route.LatencyTarget,
		Prefix: f.request.Prefix, PrefixTokens: f.request.PrefixTokens, PromptTokens: f.request.PromptTokens,
		PrefillPerToken: s.separator.PrefillPerToken(), CacheResidence: s.separator.CacheResidence(),
		Suspect:    d.verdict(now, f) != detector.Unsuspected,
		LongPrompt: f.hasLongPrompt(s), LongPromptShare: s.longPromptShare(),
		MaxSpilloverTokens: s.separator.MaxSpilloverTokens(), Deferrable: f.isDeferrable(s),
	}
}

// exclude returns the instance IDs of the upstreams that must not get f: those of
// its previous attempts, and those on which this entry has used up its share of the
// connection limit.
func (d *Dispatcher) exclude(s *service, f *inFlightRequest) []string {
	out := f.tried
	limit := f.admission.Service.MaxConnections
	if limit == 0 {
		return out
	}
	share := max(minConnections, int(usableConnectionShare*float64(limit)/float64(d.entries)))
	for _, id := range s.instanceIDs {
		if u := s.picker.Upstream(id); u != nil && u.Outstanding >= share {
			out = append(out[:len(out):len(out)], id)
		}
	}
	return out
}

// dialTimeout returns the time after which another upstream is tried if a connection for
// f is not established.
func dialTimeout(f *inFlightRequest, remaining time.Duration) time.Duration {
	limit := min(maxDialTimeout, remaining/3)
	if target := f.admission.Route.LatencyTarget; target > 0 {
		limit = min(limit, max(minDialTimeout, target/dialTimeoutDivisor))
	}
	return limit
}

// idleTimeout returns the time without progress after which another upstream is
// tried for f, or zero if f must not run again.
func idleTimeout(f *inFlightRequest, remaining time.Duration) time.Duration {
	if !f.state.Repeatable || f.state.Lost+f.state.Failed+1 >= f.state.MaxRuns {
		return 0
	}
	if f.admission.Route.Kind == matcher.Streaming {
		return time.Duration(streamIdleShare * float64(callerPatience(f.admission.Route)))
	}
	idle := min(max(minIdleTimeout, idleTimeoutFactor*f.admission.Route.LatencyTarget), remaining/2)
	if f.suspended != nil {
		// The attempt may show a part of its answer until the end of the overlap.
		idle = max(idle, maxOverlap)
	}
	return idle
}

// recordPart records the part of the answer that the caller has according to e, a report of
// the current attempt.
func (d *Dispatcher) recordPart(now time.Time, f *inFlightRequest, e Event) {
	f.foundEmpty = f.foundEmpty && e.LastEvent == f.lastEvent
	f.begun, f.lastEvent = e.Begun, e.LastEvent
	d.bindVersion(now, f)
}

// recordProgress handles events of an answer.
func (d *Dispatcher) recordProgress(now time.Time, e Event) []Action {
	f := d.inFlight[e.ID]
	if f == nil || f.attempt != e.Attempt {
		return nil
	}
	s := d.service(f.admission.Service.Name)
	d.recordPart(now, f, e)
	if e.First {
		out := d.countBegin(f)
		s.picker.Step(now, picker.Event{Kind: picker.EventFirstToken, Upstream: f.upstream, Elapsed: e.Elapsed, Prefix: f.request.Prefix, Deferred: f.deferred, PromptTokens: f.pendingTokens})
		d.recordPlacement(f)
		f.pendingTokens = 0
		s.endDeferral(&f.run)
		if f.prefillTokens > 0 {
			s.separator.Step(now, separator.Event{Kind: separator.EventPrefilled, Request: f.admission.Route.Name, PromptTokens: f.prefillTokens, Elapsed: e.Elapsed})
		}
		return append(out, d.detectProgress(now, f)...)
	}
	s.separator.Step(now, separator.Event{Kind: separator.EventProgress, Request: f.admission.Route.Name, Elapsed: e.Elapsed, Events: e.Events})
	s.picker.Step(now, picker.Event{Kind: picker.EventTokens, Upstream: f.upstream, Elapsed: e.Elapsed, Tokens: e.Events})
	return d.detectProgress(now, f)
}
