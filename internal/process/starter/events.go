package starter

import (
	"context"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/checker"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// Observer is called with each event of a process, on the goroutine of the
// recorder. It must not block.
type Observer func(tracer.Event)

// upstreamName is the name of the upstream that an agent serves. It is empty in
// an entry.
type upstreamName string

// recorderParams are the dependencies of newRecorder. The observer is optional.
type recorderParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  loader.Common
	Upstream  upstreamName
	Clock     timer.Clock
	Meter     *meter.Meter
	Observe   Observer `optional:"true"`
}

// newRecorder starts the recorder, whose goroutine also checks each event against
// the promises, the invariants that package checker defines. Each violation is
// counted in the metrics and recorded as an event, which is logged.
func newRecorder(p recorderParams) *recorder.Recorder {
	var promiseChecker checker.Checker
	var r *recorder.Recorder
	started := make(chan struct{})
	r = recorder.New(recorder.Options{
		Process: p.Settings.Identity, AvailabilityZone: p.Settings.AvailabilityZone, Clock: p.Clock,
		Observe: func(e tracer.Event) {
			<-started
			p.Meter.Event(e)
			logEvent(e)
			if p.Observe != nil {
				p.Observe(e)
			}
			for _, v := range promiseChecker.Observe(e) {
				p.Meter.Violation(string(v.Promise))
				r.Record(violationEvent(v))
			}
		},
	})
	close(started)
	upstream := string(p.Upstream)
	r.Record(tracer.Event{Kind: tracer.KindProcessStarted, Upstream: upstream})
	p.Lifecycle.Append(fx.StopHook(func() {
		r.Record(tracer.Event{Kind: tracer.KindProcessStopped, Upstream: upstream})
		// The recorder answers a query only after its goroutine has checked all earlier
		// events, so a violation by the last event is recorded before the stop.
		r.Fetch(context.Background(), recorder.Query{Limit: 1})
		r.Stop()
	}))
	return r
}

// recordStopping registers a stop hook that records the start of a graceful stop.
// It must be the last function that is invoked: fx runs stop hooks in reverse
// order, and this hook must run before the hooks of drainEntry and drainAgent.
func recordStopping(lc fx.Lifecycle, u upstreamName, r *recorder.Recorder) {
	lc.Append(fx.StopHook(func() {
		r.Record(tracer.Event{Kind: tracer.KindProcessStopping, Upstream: string(u)})
	}))
}

// violationEvent returns the event that records a violation. It has the request
// and the upstream of the event that broke the promise.
func violationEvent(v checker.Violation) tracer.Event {
	e := v.Event
	return tracer.Event{
		Kind: tracer.KindViolation, Promise: string(v.Promise), Reason: v.Detail, Request: e.Request, Attempt: e.Attempt,
		Class: e.Class, Tier: e.Tier, Organisation: e.Organisation, Upstream: e.Upstream,
	}
}

// logEvent logs the events that are rare and that an operator must see. Events
// of single requests are not logged; they are in the timeline only.
func logEvent(e tracer.Event) {
	switch e.Kind {
	case tracer.KindRevisionInForce, tracer.KindRevisionRefused, tracer.KindViolation,
		tracer.KindMemberJoined, tracer.KindMemberLeaving, tracer.KindMemberGone,
		tracer.KindLeaseWon, tracer.KindLeaseLost, tracer.KindOrderGiven, tracer.KindOrderRefused,
		tracer.KindQuarantined, tracer.KindProcessStarted, tracer.KindProcessStopping, tracer.KindProcessStopped:
		klog.InfoS(string(e.Kind), "process", e.Process, "upstream", e.Upstream, "revision", e.Revision, "request", e.Request, "promise", e.Promise, "reason", e.Reason)
	}
}
