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

// Observer is called with each event of a process. It must not wait.
type Observer func(tracer.Event)

// upstreamName is the upstream beside an agent. It is empty in an entry.
type upstreamName string

// recorderParams is what a recorder needs. The observer is optional.
type recorderParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  loader.Common
	Upstream  upstreamName
	Clock     timer.Clock
	Meter     *meter.Meter
	Observe   Observer `optional:"true"`
}

// newRecorder starts the recorder and, in its duty, the checker of the
// promises. A violation is counted, and recorded as an event, which is logged.
func newRecorder(p recorderParams) *recorder.Recorder {
	var promises checker.Checker
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
			for _, v := range promises.Observe(e) {
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
		// The duty has checked the last event once it answers a query; a violation
		// can then still be recorded.
		r.Fetch(context.Background(), recorder.Query{Limit: 1})
		r.Stop()
	}))
	return r
}

// markStopping records the begin of a graceful stop. It must be the last
// invocation, so that its hook is the first to run.
func recordStopping(lc fx.Lifecycle, u upstreamName, r *recorder.Recorder) {
	lc.Append(fx.StopHook(func() {
		r.Record(tracer.Event{Kind: tracer.KindProcessStopping, Upstream: string(u)})
	}))
}

// violation returns the event of a broken promise.
func violationEvent(v checker.Violation) tracer.Event {
	e := v.Event
	return tracer.Event{
		Kind: tracer.KindViolation, Promise: string(v.Promise), Reason: v.Detail, Request: e.Request, Attempt: e.Attempt,
		Class: e.Class, Tier: e.Tier, Organisation: e.Organisation, Upstream: e.Upstream,
	}
}

// logEvent logs the events that are rare and that an operator must see. The
// events of single requests stand on the time line alone.
func logEvent(e tracer.Event) {
	switch e.Kind {
	case tracer.KindRevisionInForce, tracer.KindRevisionRefused, tracer.KindViolation,
		tracer.KindMemberJoined, tracer.KindMemberLeaving, tracer.KindMemberGone,
		tracer.KindLeaseWon, tracer.KindLeaseLost, tracer.KindOrderGiven, tracer.KindOrderRefused,
		tracer.KindQuarantined, tracer.KindProcessStarted, tracer.KindProcessStopping, tracer.KindProcessStopped:
		klog.InfoS(string(e.Kind), "process", e.Process, "upstream", e.Upstream, "revision", e.Revision, "request", e.Request, "promise", e.Promise, "reason", e.Reason)
	}
}
