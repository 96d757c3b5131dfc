package executor

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/connection/prober"
	"magnoliafront.dev/magnoliafront/internal/connection/reader"
	"magnoliafront.dev/magnoliafront/internal/process/estimator"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// run is the state of a queued or running attempt.
type run struct {
	submit messenger.Submit
	conn   *messenger.Conn
	reader *reader.Reader
	// started is true from the first time that the attempt is sent to the
	// upstream.
	started bool
	// active is true while the upstream runs the attempt.
	active bool
	// lengthGroup is the key under which the estimator predicts and observes the
	// length of the answer. Answers with the same key are of similar length.
	lengthGroup estimator.Key
	// preemptionIgnored is true while the scheduler has preempted the run, but its
	// reader continues, because the request must not be repeated.
	preemptionIgnored bool
	// generation identifies the present reader of the run. It is incremented when
	// a preemption stops the reader, and events of earlier readers are dropped.
	generation int
	// nextToken is the index of the next token in the whole answer.
	nextToken int
}

func (x *Executor) handleSubmit(c *messenger.Conn, m messenger.Submit) {
	if x.options.OnNewerRevision != nil && x.snapshot != nil && m.Revision > x.snapshot.Revision {
		x.options.OnNewerRevision(m.Revision)
	}
	k := scheduler.Key{Request: m.Request, Attempt: m.Attempt}
	if x.runs[k] != nil {
		return
	}
	r := &run{submit: m, conn: c, nextToken: m.ResumeFrom}
	if state := x.ended.lookup(k, m.Stamp); state != stateNew {
		x.answerDuplicate(r, state)
		return
	}
	if x.leaving {
		x.refuse(k, r, "leaving")
		return
	}
	if x.probe != nil {
		x.refuse(k, r, "upstream_down")
		return
	}
	if x.snapshot == nil || x.upstream.Slots == 0 {
		x.refuse(k, r, "no_records")
		return
	}
	x.runs[k] = r
	x.trace(tracer.KindQueued, k, r, "")
	if m.Suspect {
		x.suspects = append(x.suspects, k)
		if len(x.suspects) > 1 {
			return
		}
	}
	x.stepScheduler(scheduler.Event{Kind: scheduler.EventSubmitted, Run: x.schedulerRun(k, r)})
}

func (x *Executor) schedulerRun(k scheduler.Key, attempt *run) scheduler.Run {
	now, m := x.options.Clock.Now(), attempt.submit
	r := scheduler.Run{
		Key: k, Class: m.Class, Tier: m.Tier, Organisation: m.Organisation, Arrived: now,
		TokenGapTarget: x.snapshot.Classes[m.Class].TokenGapTarget, NotPreemptible: !m.Repeatable,
		PromptTokens: m.PromptTokens, ExpectedTokens: m.ExpectedTokens, ResumeFrom: m.ResumeFrom,
	}
	if m.Call == nil {
		x.estimateLength(now, attempt, &r)
	}
	if m.FirstTokenIn > 0 {
		r.FirstTokenBy = now.Add(m.FirstTokenIn)
	}
	if m.AnswerIn > 0 {
		r.AnswerBy = now.Add(m.AnswerIn)
	}
	return r
}

// estimateLength sets the length group of an attempt. If the entry sent no
// expected length, it fills in the estimate for the group. The token limit in the
// body is an upper bound in both cases.
func (x *Executor) estimateLength(now time.Time, attempt *run, r *scheduler.Run) {
	var body struct {
		Model               string `json:"model"`
		MaxTokens           int    `json:"max_tokens"`
		MaxCompletionTokens int    `json:"max_completion_tokens"`
	}
	// The engine rejects a body that cannot be parsed.
	_ = json.Unmarshal(attempt.submit.Body, &body)
	attempt.lengthGroup = estimator.Key{Class: r.Class, Model: body.Model, Organisation: r.Organisation}
	if r.ExpectedTokens == 0 {
		r.ExpectedTokens = x.lengths.Quantile(now, attempt.lengthGroup, answerLengthQuantile)
	}
	if limit := cmp.Or(body.MaxCompletionTokens, body.MaxTokens); limit > 0 {
		r.ExpectedTokens = min(r.ExpectedTokens, limit)
	}
}

func (x *Executor) stepScheduler(e scheduler.Event) {
	for _, a := range x.scheduler.Step(x.options.Clock.Now(), e) {
		if r := x.runs[a.Key]; r != nil {
			x.execute(a, r)
		}
	}
}

// execute applies an action of the scheduler to the run r.
func (x *Executor) execute(a scheduler.Action, r *run) {
	switch a.Kind {
	case scheduler.ActionStart:
		x.startRun(a, r)
	case scheduler.ActionPreempt:
		if !r.submit.Repeatable {
			r.preemptionIgnored = true
			return
		}
		r.generation++
		r.active = false
		r.reader.Stop()
		x.traceAction(tracer.KindPreempted, a, r)
	case scheduler.ActionShed:
		x.removeRun(a.Key)
		x.traceAction(tracer.KindShed, a, r)
		x.refuse(a.Key, r, string(a.Reason))
	case scheduler.ActionReturn:
		if r.reader != nil {
			r.reader.Stop()
		}
		x.removeRun(a.Key)
		x.reportLost(a.Key, r, string(a.Reason))
	case scheduler.ActionStop:
		r.reader.Stop()
		x.removeRun(a.Key)
		x.addEnded(a.Key, r, stateRan)
	}
}

func (x *Executor) startRun(a scheduler.Action, r *run) {
	if r.preemptionIgnored {
		r.preemptionIgnored = false
		return
	}
	kind := tracer.KindStarted
	if r.nextToken > r.submit.ResumeFrom || r.submit.ResumeFrom > 0 {
		kind = tracer.KindResumed
	}
	r.started, r.active = true, true
	e := x.traceEvent(kind, a.Key, r)
	e.Floor = a.Floor
	x.options.Recorder.Record(e)
	x.sendFrame(r, messenger.Frame{Kind: messenger.FrameStarted})
	job := reader.Job{Key: a.Key, Generation: r.generation, Body: r.submit.Body, Call: r.submit.Call, ResumeFrom: r.nextToken, Priority: a.Tier}
	emit := func(e reader.Event) {
		x.input.Put(context.Background(), event{kind: eventReader, reader: e})
	}
	if r.submit.Call != nil {
		r.reader = reader.NewService(x.options.Client, x.options.Clock, x.options.URL, job, emit)
		return
	}
	r.reader = reader.NewEngine(x.options.Client, x.options.Clock, x.options.URL, job, emit)
}

// handleCancel withdraws an attempt. The submit of an unknown attempt may still
// arrive, so the attempt is recorded as not run and is refused then.
func (x *Executor) handleCancel(m messenger.Cancel) {
	k := scheduler.Key{Request: m.Request, Attempt: m.Attempt}
	if x.runs[k] == nil {
		x.ended.add(x.options.Clock.Now(), k, m.Stamp, stateNotRun)
		return
	}
	x.withdraw(k, "")
}

// withdraw ends an attempt that its entry has cancelled or whose connection was
// closed. No frame is sent.
func (x *Executor) withdraw(k scheduler.Key, reason string) {
	r := x.runs[k]
	if r == nil {
		return
	}
	if r.started && !r.submit.Repeatable {
		// The call is not idempotent and its side effect cannot be undone, so it
		// runs to completion.
		return
	}
	x.trace(tracer.KindCancelled, k, r, reason)
	if !r.started {
		x.addEnded(k, r, stateNotRun)
	}
	x.stepScheduler(scheduler.Event{Kind: scheduler.EventWithdrawn, Key: k})
	x.removeRun(k)
}

// removeRun deletes an attempt from the table. If it was the first suspect, the
// next suspect is submitted to the scheduler.
func (x *Executor) removeRun(k scheduler.Key) {
	delete(x.runs, k)
	i := slices.Index(x.suspects, k)
	if i < 0 {
		return
	}
	x.suspects = slices.Delete(x.suspects, i, i+1)
	if i == 0 && len(x.suspects) > 0 {
		next := x.suspects[0]
		x.stepScheduler(scheduler.Event{Kind: scheduler.EventSubmitted, Run: x.schedulerRun(next, x.runs[next])})
	}
}

func (x *Executor) handleReaderEvent(e reader.Event) {
	if e.Unreachable {
		x.handleUpstreamDown()
	}
	r := x.runs[e.Key]
	if r == nil || e.Generation != r.generation {
		return
	}
	switch e.Kind {
	case reader.EventTokens:
		x.forwardTokens(r, e)
		x.stepScheduler(scheduler.Event{Kind: scheduler.EventAdvanced, Key: e.Key, Tokens: len(e.Tokens)})
		return
	case reader.EventUnconfirmed:
		r.reader.Confirm(prober.Judge(x.evidenceBeside(e.Key)))
	case reader.EventResponse:
		x.endRun(e.Key, r, tracer.KindFinished, "", messenger.Frame{Kind: messenger.FrameResponse, Response: e.Response})
	case reader.EventFinished:
		x.lengths.Observe(x.options.Clock.Now(), r.lengthGroup, r.nextToken)
		x.endRun(e.Key, r, tracer.KindFinished, "", messenger.Frame{Kind: messenger.FrameFinished, First: r.nextToken, FinishReason: e.FinishReason})
	case reader.EventRejected:
		f := messenger.Frame{Kind: messenger.FrameRefused, Reason: "upstream_rejected"}
		if r.generation > 0 || r.nextToken > r.submit.ResumeFrom {
			// The upstream has already run a part of this attempt.
			f.Kind = messenger.FrameLost
		} else if e.Status != 0 {
			f.Status, f.Reason = e.Status, e.Err.Error()
		}
		x.endRun(e.Key, r, tracer.KindLost, "rejected", f)
	case reader.EventLost:
		x.endRun(e.Key, r, tracer.KindLost, e.Err.Error(), messenger.Frame{Kind: messenger.FrameLost, Reason: "upstream_lost", Crashed: e.Crashed})
	}
}

// evidenceBeside returns what the calls beside that of a run show of the upstream.
func (x *Executor) evidenceBeside(k scheduler.Key) prober.Evidence {
	var e prober.Evidence
	for other, r := range x.runs {
		if other != k && r.reader != nil {
			e.Add(&x.runs[k].reader.Socket, &r.reader.Socket)
		}
	}
	return e
}

func (x *Executor) forwardTokens(r *run, e reader.Event) {
	if r.nextToken == r.submit.ResumeFrom {
		x.trace(tracer.KindFirstToken, e.Key, r, "")
	}
	r.nextToken = e.First + len(e.Tokens)
	x.sendFrame(r, messenger.Frame{Kind: messenger.FrameTokens, First: e.First, Tokens: e.Tokens})
}

func (x *Executor) endRun(k scheduler.Key, r *run, kind tracer.Kind, reason string, f messenger.Frame) {
	x.removeRun(k)
	x.trace(kind, k, r, reason)
	if f.Kind == messenger.FrameRefused {
		x.addEnded(k, r, stateNotRun)
	} else {
		x.addEnded(k, r, stateRan)
	}
	e := scheduler.Event{Kind: scheduler.EventEnded, Key: k}
	if r.preemptionIgnored {
		// For the scheduler the run is waiting, and it ignores the end of a run that
		// is not active.
		e.Kind = scheduler.EventWithdrawn
	}
	x.stepScheduler(e)
	x.sendFrame(r, f)
}

// refuse ends an attempt that the executor doesn't run. It is reported as refused
// if it was never sent to the upstream, otherwise as lost.
func (x *Executor) refuse(k scheduler.Key, r *run, reason string) {
	f := messenger.Frame{Kind: messenger.FrameRefused, Reason: reason}
	if r.started {
		f.Kind = messenger.FrameLost
		x.addEnded(k, r, stateRan)
	} else {
		x.addEnded(k, r, stateNotRun)
	}
	x.trace(tracer.KindRefused, k, r, reason)
	x.sendFrame(r, f)
}

// reportLost ends an attempt that has run in part. The entry resumes it on
// another upstream after the tokens that it has received.
func (x *Executor) reportLost(k scheduler.Key, r *run, reason string) {
	x.addEnded(k, r, stateRan)
	x.trace(tracer.KindLost, k, r, reason)
	x.sendFrame(r, messenger.Frame{Kind: messenger.FrameLost, Reason: reason})
}

// answerDuplicate replies to the submit of an attempt that has ended without being
// run or whose state may have expired. For an attempt that was run, the last frame
// has been sent already, so there is no reply.
func (x *Executor) answerDuplicate(r *run, state attemptState) {
	switch state {
	case stateNotRun:
		x.sendFrame(r, messenger.Frame{Kind: messenger.FrameRefused, Reason: "refused_before"})
	case stateExpired:
		x.sendFrame(r, messenger.Frame{Kind: messenger.FrameLost, Reason: "too_old"})
	}
}

func (x *Executor) addEnded(k scheduler.Key, r *run, state attemptState) {
	x.ended.add(x.options.Clock.Now(), k, r.submit.Stamp, state)
}

func (x *Executor) sendFrame(r *run, f messenger.Frame) {
	f.Stamp = x.options.Recorder.Stamp()
	f.Request, f.Attempt = r.submit.Request, r.submit.Attempt
	if now := x.options.Clock.Now(); f.Kind != messenger.FrameTokens || now.Sub(x.conns[r.conn]) >= loadReportInterval {
		load := x.scheduler.Load()
		f.Load = &load
		if _, ok := x.conns[r.conn]; ok {
			x.conns[r.conn] = now
		}
	}
	if x.snapshot != nil {
		f.Revision = x.snapshot.Revision
	}
	r.conn.Notify(messenger.MethodFrame, f)
}

func (x *Executor) trace(kind tracer.Kind, k scheduler.Key, r *run, reason string) {
	e := x.traceEvent(kind, k, r)
	e.Reason = reason
	x.options.Recorder.Record(e)
}

// traceAction records an action together with its reason and the request that
// caused it.
func (x *Executor) traceAction(kind tracer.Kind, a scheduler.Action, r *run) {
	e := x.traceEvent(kind, a.Key, r)
	e.Reason, e.Cause = string(a.Reason), a.Cause.Request
	x.options.Recorder.Record(e)
}
