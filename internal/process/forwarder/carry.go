package forwarder

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

// dispatch passes an event to the dispatcher and executes the resulting actions.
func (f *Forwarder) dispatch(now time.Time, e dispatcher.Event) {
	for _, a := range f.dispatcher.Step(now, e) {
		f.execute(now, a)
	}
}

func (f *Forwarder) execute(now time.Time, a dispatcher.Action) {
	switch a.Kind {
	case dispatcher.ActionSend:
		f.send(now, a)
	case dispatcher.ActionFail:
		f.failRequest(a)
	case dispatcher.ActionResume:
		f.resume(a)
	case dispatcher.ActionRelay:
		if t := f.inFlight[a.ID]; t != nil {
			t.ready.PermitRelay()
		}
	case dispatcher.ActionAbandon:
		f.abandon(a)
	case dispatcher.ActionForwardError:
		if t := f.endRequest(a); t != nil {
			t.job.Replies.End(t.errorResponse)
		}
	case dispatcher.ActionFinish:
		f.endRequest(a)
	case dispatcher.ActionRemoveUpstream:
		f.removeUpstream(a)
	case dispatcher.ActionSendStrikes:
		logStrikes(a)
		if f.options.SendStrikes != nil {
			f.options.SendStrikes(a.Strikes)
		}
	case dispatcher.ActionRoutesSeparated:
		klog.InfoS("routes with long prompts changed", "service", a.Summary.Service, "routes", a.Separation.Routes,
			"upstream_share", a.Separation.Share, "prefill_per_token", a.Separation.PrefillPerToken)
	case dispatcher.ActionUpstreamHeldBack:
		klog.InfoS("upstream held back", "upstream", a.Upstream.InstanceID(), "service", a.Upstream.Service,
			"address", a.Upstream.Address, "request", a.ID, "retry_after", a.RetryAfter)
	case dispatcher.ActionCountUsage:
		f.countUsage(a.Organisation)
	case dispatcher.ActionKeepVersions, dispatcher.ActionRecallVersions, dispatcher.ActionShareVersions, dispatcher.ActionFetchVersions:
		f.executeVersions(a)
	case dispatcher.ActionSendLoad:
		if f.options.SendLoad != nil {
			f.options.SendLoad(a.Report)
		}
	}
}

func (f *Forwarder) countUsage(organisation string) {
	if f.options.CountUsage != nil {
		f.options.CountUsage(organisation)
	}
}

// abandon ends a suspended call.
func (f *Forwarder) abandon(a dispatcher.Action) {
	if t := f.inFlight[a.ID]; t != nil && t.suspended != nil {
		logDecision("silent attempt abandoned", a)
		t.suspended.cancel()
		t.suspended = nil
	}
}

// removeUpstream closes the connections to an upstream that gets no more requests.
func (f *Forwarder) removeUpstream(a dispatcher.Action) {
	if p := f.pools[a.Upstream.InstanceID()]; p != nil {
		klog.InfoS("upstream dropped", "upstream", a.Upstream.InstanceID(), "service", a.Upstream.Service)
		p.removed = true
		f.cleanUpPool(p)
	}
}

// send starts an attempt on an idle connection, or on a new one.
func (f *Forwarder) send(now time.Time, a dispatcher.Action) {
	t := f.inFlight[a.ID]
	if t == nil {
		return
	}
	p := f.poolOf(a.Upstream)
	if a.Contested && t.suspended == nil {
		silent := t.liveCall
		t.suspended = &silent
	}
	ctx, cancel := context.WithCancel(t.job.Context)
	t.liveCall = liveCall{number: a.Attempt, cancel: cancel, pool: p, final: a.IdleTimeout == 0}
	t.call = carrier.Call{
		Request: a.ID, Attempt: a.Attempt, Context: ctx,
		Head: f.options.Codec.Encode(t.job, a, a.Deadline.Sub(now)), Body: t.job.Body,
		DialTimeout: a.DialTimeout, Deadline: a.Deadline.Add(dispatcher.DeadlineGrace), IdleTimeout: a.IdleTimeout,
		Contested: a.Contested, Stream: a.Stream, Begun: a.Begun, LastEvent: a.LastEvent, EndIfEmpty: a.EndIfEmpty,
		Framed:       t.headFraming.MarksEnd(),
		Classify:     f.options.Codec.ClassifyResponse(a.ID), //nolint:bodyclose // the function reads only the head
		DecodeNotice: f.options.Codec.DecodeNotice,
		Replies:      t.job.Replies,
	}
	if a.Attempt > 1 {
		logDecision("request sent again", a)
	}
	f.startCall(now, t)
}

// startCall sends the call of an attempt on an idle or a new connection.
func (f *Forwarder) startCall(now time.Time, t *inFlightRequest) {
	c := t.pool.get(now)
	if c == nil {
		p := t.pool
		var dial func(context.Context, string, string) (net.Conn, error)
		if !f.makeRoom() {
			dial = refuseDial
		}
		p.connections++
		f.connections.Add(1)
		c = carrier.New(carrier.Options{
			Address: p.upstream.Address, Clock: f.options.Clock, Recoverer: f.options.Recoverer, Dial: dial,
			Report: func(r carrier.Report) { f.put(event{kind: eventReport, pool: p, report: r}) },
			ReportNotice: func(request string, n carrier.Notice) {
				f.put(event{kind: eventNotice, pool: p, request: request, notice: n})
			},
		})
	}
	t.pool.busy[c] = struct{}{}
	c.Send(t.call)
}

// handleReport handles a report of a connection about a call. Reports of an earlier
// attempt only return the connection to its pool, unless that attempt is suspended: it
// may have a part of its answer, and must not be resumed once it has ended.
func (f *Forwarder) handleReport(now time.Time, p *pool, r carrier.Report) {
	if r.Unconfirmed {
		p.confirm(r)
		return
	}
	t := f.inFlight[r.Request]
	current := t != nil && t.number == r.Attempt
	suspended := t != nil && t.suspended != nil && t.suspended.number == r.Attempt
	t.recordAnswer(r)
	if current {
		t.dropBody(r)
	}
	if !r.Ended {
		if current || suspended && r.Ready {
			f.dispatch(now, t.interimEvent(r))
		}
		return
	}
	p.put(now, r)
	f.observeAnswer(r)
	if suspended {
		f.dispatch(now, dispatcher.Event{Kind: dispatcher.EventEnded, ID: r.Request, Attempt: r.Attempt, Outcome: attemptOutcome(r)})
	}
	if !current {
		if t != nil {
			t.job.Replies.Account.Release(r.ErrorResponse.Reserved)
		}
		f.cleanUpPool(p)
		return
	}
	if r.Outcome == carrier.OutcomeStale && !p.removed {
		// Nothing was sent, so the call is started on another connection.
		f.startCall(now, t)
		return
	}
	t.cancel()
	t.job.Replies.Account.Release(t.errorResponse.Reserved)
	t.errorResponse, t.firstEvent, t.longestPause = r.ErrorResponse, r.FirstEvent, r.LongestPause
	t.framing = r.Framing
	if r.Err != nil || r.Outcome != carrier.OutcomeAnswered {
		klog.InfoS("attempt ended", "request", r.Request, "attempt", r.Attempt, "upstream", p.upstream.InstanceID(),
			"address", p.upstream.Address, "outcome", outcomeName(r.Outcome), "status", r.Status, "begun", r.Begun,
			"framing", r.Framing.String(), "events", r.RelayedEvents, "err", r.Err)
	}
	f.dispatch(now, dispatcher.Event{
		Kind: dispatcher.EventEnded, ID: r.Request, Attempt: r.Attempt, Outcome: attemptOutcome(r),
		Begun: r.Begun, LastEvent: r.LastEvent, Unresumable: r.Unresumable, Elapsed: r.Elapsed, Empty: r.Empty,
	})
	f.cleanUpPool(p)
}

// interimEvent returns the event for a report of a call that has not ended.
func (t *inFlightRequest) interimEvent(r carrier.Report) dispatcher.Event {
	e := dispatcher.Event{
		Kind: dispatcher.EventProgress, ID: r.Request, Attempt: r.Attempt, First: r.First,
		Events: r.Events, Elapsed: r.Elapsed, Begun: r.Begun, LastEvent: r.LastEvent, Unresumable: r.Unresumable,
	}
	switch {
	case r.Sent:
		e.Kind = dispatcher.EventSent
	case r.Silent:
		e.Kind = dispatcher.EventSilent
	case r.Ready:
		e.Kind = dispatcher.EventReady
		t.ready = r.Conn
	}
	return e
}

// resume makes a suspended call the current one again.
func (f *Forwarder) resume(a dispatcher.Action) {
	t := f.inFlight[a.ID]
	if t == nil {
		return
	}
	if t.suspended != nil {
		t.cancel()
		t.liveCall, t.suspended = *t.suspended, nil
	}
	logDecision("silent attempt goes on", a)
}

// attemptOutcome translates the outcome of a call for the dispatcher.
func attemptOutcome(r carrier.Report) dispatcher.AttemptOutcome {
	switch r.Outcome {
	case carrier.OutcomeAnswered:
		return dispatcher.OutcomeAnswered
	case carrier.OutcomeFailed:
		return dispatcher.OutcomeFailed
	case carrier.OutcomeRefused:
		return dispatcher.OutcomeRefused
	case carrier.OutcomeNotSent, carrier.OutcomeStale:
		return dispatcher.OutcomeNotSent
	case carrier.OutcomeExpired:
		return dispatcher.OutcomeExpired
	case carrier.OutcomeCancelled:
		return dispatcher.OutcomeCancelled
	}
	if r.ClosedByPeer {
		return dispatcher.OutcomeCrashed
	}
	return dispatcher.OutcomeLost
}

// outcomeName returns the name of o in log lines. The names are in the order of the
// constants in package carrier.
func outcomeName(o carrier.Outcome) string {
	names := [...]string{"answered", "failed", "refused", "not_sent", "stale", "lost", "expired", "cancelled"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// failRequest answers a caller with a failure, or closes the connection to the
// caller if a part of the answer was sent.
func (f *Forwarder) failRequest(a dispatcher.Action) {
	t := f.endRequest(a)
	if t == nil {
		return
	}
	if a.Begun {
		t.job.Replies.Close()
		return
	}
	t.job.Replies.End(relayer.Reply{Kind: relayer.KindFailed, Failure: a.Failure})
}

// endRequest removes a request from the requests in flight and logs how it ended.
// It returns nil if the request is not in flight.
func (f *Forwarder) endRequest(a dispatcher.Action) *inFlightRequest {
	t := f.inFlight[a.ID]
	if t == nil {
		return nil
	}
	delete(f.inFlight, a.ID)
	t.cancelCalls()
	logDecision("request ended", a, "begun", a.Begun, "framing", t.framing.String(), "events", t.countEvents(), "first_event", t.firstEvent, "longest_pause", t.longestPause)
	if f.options.Observe != nil {
		s := a.Summary
		f.options.Observe(Observation{
			Route: s.Route, Result: s.Reason, Elapsed: s.Elapsed, Sent: s.Attempts > 0,
			PromptTokens: s.PromptTokens, PrefillTokens: s.PrefillTokens, Deferred: s.Deferred, TakeUp: s.TakeUp,
		})
	}
	return t
}

// observeAnswer reports the end of a call to the metrics if there was an answer.
func (f *Forwarder) observeAnswer(r carrier.Report) {
	if f.options.ObserveAnswer != nil && r.Framing != carrier.FramingNone {
		f.options.ObserveAnswer(AnswerObservation{Framing: r.Framing.String(), End: outcomeName(r.Outcome)})
	}
}

// logDecision logs message with the summary of a and further key-value pairs.
func logDecision(message string, a dispatcher.Action, keysAndValues ...any) {
	s := a.Summary
	status := 0
	if a.Failure != nil {
		status = a.Failure.Status
		keysAndValues = append(keysAndValues, "parts", partNames(s.Parts))
	}
	klog.InfoS(message, append([]any{"request", a.ID, "route", s.Route, "service", s.Service, "organisation", s.Organisation,
		"version", s.Version, "upstream", s.Upstream, "attempts", s.Attempts, "outstanding", s.Outstanding,
		"pending_tokens", s.PendingTokens, "prefix", s.Prefix, "cache_source", s.CacheSource, "prompt_tokens", s.PromptTokens, "prefill_tokens", s.PrefillTokens, "expected_start", s.ExpectedStart, "deferred", s.Deferred, "content", s.Digest, "take_up", s.TakeUp, "elapsed", s.Elapsed, "outcome", s.Reason, "status", status}, keysAndValues...)...)
}

// logStrikes logs the strikes of an action: one line for all strikes against content,
// and one for each against a prompt part that has not been logged before.
func logStrikes(a dispatcher.Action) {
	var content []detector.Strike
	for _, s := range a.Strikes {
		switch {
		case s.Part == 0:
			content = append(content, s)
		case !s.Repeated:
			klog.InfoS("prompt part struck", "part", partNames([]uint64{s.Part}), "upstream", s.Upstream, "strikes", s.Count, "in_flight", s.SentAge, "cleared", s.Cleared, "learned", a.Received)
		}
	}
	if len(content) > 0 {
		s := content[0]
		klog.InfoS("content struck", "strikes", len(content), "fingerprint", s.Fingerprint, "upstream", s.Upstream, "cleared", s.Cleared, "learned", a.Received)
	}
}

// partNames returns the hashes of prompt parts as they appear in log lines.
func partNames(parts []uint64) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = strconv.FormatUint(p, 16)
	}
	return strings.Join(names, ",")
}
