package forwarder

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

// decide asks the dispatcher and carries out its actions.
func (f *Forwarder) decide(now time.Time, e dispatcher.Event) {
	for _, a := range f.dispatcher.Step(now, e) {
		f.carryOut(now, a)
	}
}

func (f *Forwarder) carryOut(now time.Time, a dispatcher.Action) {
	switch a.Kind {
	case dispatcher.ActionSend:
		f.send(now, a)
	case dispatcher.ActionFail:
		f.fail(a)
	case dispatcher.ActionForwardError:
		if t := f.finished(a); t != nil {
			t.job.Replies.Put(t.job.Context, t.held)
		}
	case dispatcher.ActionFinish:
		f.finished(a)
	case dispatcher.ActionRemoveUpstream:
		if p := f.pools[a.Upstream.InstanceID()]; p != nil {
			klog.InfoS("upstream dropped", "upstream", a.Upstream.InstanceID(), "service", a.Upstream.Service)
			p.leaving = true
			f.release(p)
		}
	case dispatcher.ActionSendStrikes:
		klog.InfoS("content struck", "strikes", len(a.Strikes), "fingerprint", a.Strikes[0].Fingerprint, "upstream", a.Strikes[0].Upstream, "cleared", a.Strikes[0].Cleared, "learned", a.Received)
		if f.options.Spread != nil {
			f.options.Spread(a.Strikes)
		}
	case dispatcher.ActionSendLoad:
		if f.options.Share != nil {
			f.options.Share(a.Loads, a.Placements)
		}
	}
}

// send sends an attempt over a kept connection, or over a new one.
func (f *Forwarder) send(now time.Time, a dispatcher.Action) {
	t := f.attempts[a.ID]
	if t == nil {
		return
	}
	identity := a.Upstream.InstanceID()
	p := f.pools[identity]
	if p == nil {
		p = &pool{upstream: a.Upstream}
		f.pools[identity] = p
	}
	ctx, cancel := context.WithCancel(t.job.Context)
	t.cancel, t.pool, t.number = cancel, p, a.Attempt
	t.call = carrier.Call{
		Request: a.ID, Attempt: a.Attempt, Context: ctx,
		Head: f.options.Codec.Encode(t.job, a, a.Deadline.Sub(now)), Body: t.job.Body,
		DialTimeout: a.DialTimeout, Deadline: a.Deadline.Add(expiryGrace), IdleTimeout: a.IdleTimeout,
		Stream: a.Stream, Begun: a.Begun, LastEvent: a.LastEvent,
		Classify: f.options.Codec.Judge(a.ID), //nolint:bodyclose // it looks at the head only
		Replies:  t.job.Replies,
	}
	if a.Attempt > 1 {
		logDecision("request sent again", a)
	}
	f.call(now, t)
}

// expiryGrace is the time after the end of an attempt for which the upstream's
// own answer to that is waited for.
const expiryGrace = 100 * time.Millisecond

// call hands the call of an attempt to a connection.
func (f *Forwarder) call(now time.Time, t *attempt) {
	c := t.pool.take(now)
	if c == nil {
		p := t.pool
		p.open++
		c = carrier.New(carrier.Options{
			Address: p.upstream.Address, Clock: f.options.Clock,
			Report: func(r carrier.Report) { f.put(event{kind: eventReport, pool: p, report: r}) },
		})
	}
	c.Send(t.call)
}

// report takes in what a connection says about a call.
func (f *Forwarder) report(now time.Time, p *pool, r carrier.Report) {
	t := f.attempts[r.Request]
	present := t != nil && t.number == r.Attempt
	if !r.Ended {
		if present {
			f.decide(now, dispatcher.Event{
				Kind: dispatcher.EventProgress, ID: r.Request, Attempt: r.Attempt, First: r.First,
				Events: r.Events, Elapsed: r.Elapsed, Begun: r.Begun, LastEvent: r.LastEvent,
			})
		}
		return
	}
	p.put(now, r)
	if !present {
		f.release(p)
		return
	}
	if r.Outcome == carrier.OutcomeStale {
		// Nothing has left, so the call goes over another connection.
		f.call(now, t)
		return
	}
	t.cancel()
	t.held, t.firstEvent, t.longestPause = r.ErrorResponse, r.FirstEvent, r.LongestPause
	if r.Err != nil || r.Outcome != carrier.OutcomeAnswered {
		klog.InfoS("attempt ended", "request", r.Request, "attempt", r.Attempt, "upstream", p.upstream.InstanceID(),
			"address", p.upstream.Address, "outcome", outcomeName(r.Outcome), "status", r.Status, "begun", r.Begun, "err", r.Err)
	}
	f.decide(now, dispatcher.Event{
		Kind: dispatcher.EventEnded, ID: r.Request, Attempt: r.Attempt, Outcome: ending(r),
		Begun: r.Begun, LastEvent: r.LastEvent, Elapsed: r.Elapsed,
	})
	f.release(p)
}

// ending translates the outcome of a call.
func ending(r carrier.Report) dispatcher.AttemptOutcome {
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

func outcomeName(o carrier.Outcome) string {
	names := [...]string{"answered", "failed", "refused", "not_sent", "stale", "lost", "silent", "expired", "cancelled"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// fail tells a caller that its request has failed, or cuts off its answer.
func (f *Forwarder) fail(a dispatcher.Action) {
	t := f.finished(a)
	if t == nil {
		return
	}
	if a.Begun {
		t.job.Replies.Close()
		return
	}
	t.job.Replies.Put(t.job.Context, relayer.Reply{Kind: relayer.KindFailed, Failure: a.Failure})
}

// finished takes a request off the ones in flight and logs how it ended.
func (f *Forwarder) finished(a dispatcher.Action) *attempt {
	t := f.attempts[a.ID]
	if t == nil {
		return nil
	}
	delete(f.attempts, a.ID)
	if t.cancel != nil {
		t.cancel()
	}
	logDecision("request ended", a, "first_event", t.firstEvent, "longest_pause", t.longestPause)
	if f.options.Observe != nil {
		f.options.Observe(Observation{Route: a.Summary.Route, Result: a.Summary.Reason, Elapsed: a.Summary.Elapsed})
	}
	return t
}

func logDecision(message string, a dispatcher.Action, more ...any) {
	s := a.Summary
	status := 0
	if a.Failure != nil {
		status = a.Failure.Status
	}
	klog.InfoS(message, append([]any{"request", a.ID, "route", s.Route, "service", s.Service, "organisation", s.Organisation,
		"version", s.Version, "upstream", s.Upstream, "attempts", s.Attempts, "outstanding", s.Outstanding,
		"pending_tokens", s.PendingTokens, "prefix", s.Prefix, "cache_source", s.CacheSource, "prompt_tokens", s.PromptTokens, "content", s.Digest, "elapsed", s.Elapsed, "outcome", s.Reason, "status", status}, more...)...)
}
