// Package executor runs the attempts of one upstream in an agent, in the order
// that the scheduler decides.
//
// The goroutine of an [Executor] owns the scheduler of the upstream and the
// table of runs. All its input arrives over one ring: attempts and
// cancellations from entries, events of the readers, new snapshots of the
// records. It starts and stops one reader for each active run and reports to
// the entry that sent the attempt.
//
// The executor decides whether an attempt counts as not run or as possibly run.
// It refuses an attempt only if the attempt was never sent to the upstream, and
// it never accepts a refused attempt again under the same number. A run that was
// sent to the upstream and cannot continue is reported as lost; its tokens stay
// valid.
//
// # Usage
//
//	x := executor.New(executor.Options{Upstream: "desk-1", URL: url, Clock: c})
//	routes := acceptor.Routes{messenger.MethodSubmit: x.Handle}
//	x.Leave()          // refuses new attempts
//	<-x.Disconnected() // no attempt is left and no entry is connected
//	x.Stop()
package executor

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/connection/reader"
	"magnoliafront.dev/magnoliafront/internal/process/estimator"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	// inputCapacity is the capacity of the input ring in events. While the ring is
	// full, readers and connections block, and TCP flow control slows down their
	// senders.
	inputCapacity = 1024
	// maxQueuedPerClass is the maximum number of queued runs of a class.
	maxQueuedPerClass = 512
	// loadReportInterval is the minimum time between two token frames of a
	// connection that carry the load. A load takes about 150 bytes: sent with
	// each of 343 tokens a second it would use 51 KB/s, ten times the limit of 5 KB/s
	// for the control traffic of a process.
	loadReportInterval = time.Second
	// answerLengthQuantile is the quantile of the observed answer lengths that
	// predicts the length of an answer. With the median, half of the runs that
	// started at their latest start time finished after their target.
	answerLengthQuantile = 0.75
)

// Options configures an executor.
type Options struct {
	// Upstream is the name of the upstream in the records.
	Upstream string
	// URL is the base URL of the upstream.
	URL      string
	Client   *http.Client
	Clock    timer.Clock
	Recorder *recorder.Recorder
	// OnNewerRevision is called with the revision of a submit if it is later than
	// the revision of this agent's snapshot. It may be nil.
	OnNewerRevision func(revision int64)
}

// Executor queues and runs the attempts of one upstream.
type Executor struct {
	options      Options
	input        *buffer.Ring[event, buffer.Block]
	drained      chan struct{}
	disconnected chan struct{}
	done         chan struct{}
	// attemptCount is the length of runs, for other goroutines to read.
	attemptCount atomic.Int64

	// The fields below are owned by the goroutine.
	scheduler scheduler.Scheduler[scheduler.Tiered]
	lengths   estimator.Lengths
	runs      map[scheduler.Key]*run
	// conns maps each connection to the time at which the load was last sent on
	// it.
	conns map[*messenger.Conn]time.Time
	// suspects are the attempts with suspect content, in the order of their
	// arrival. Only the first is submitted to the scheduler, so that they run one
	// at a time.
	suspects []scheduler.Key
	snapshot *compiler.Snapshot
	upstream descriptor.Upstream
	leaving  bool
	// probe is non-nil while the upstream is down.
	probe *reader.Probe
	ended endedAttempts
}

type eventKind int

const (
	eventSubmit eventKind = iota
	eventConnOpened
	eventCancel
	eventConnClosed
	eventReader
	eventSnapshot
	eventLeave
	eventUpstreamReachable
)

type event struct {
	kind     eventKind
	conn     *messenger.Conn
	submit   messenger.Submit
	cancel   messenger.Cancel
	reader   reader.Event
	snapshot *compiler.Snapshot
}

// New starts an executor. It refuses attempts until [Executor.Apply] has passed
// it a snapshot.
func New(o Options) *Executor {
	x := &Executor{
		options:      o,
		input:        buffer.New[event, buffer.Block]("executor_input", inputCapacity),
		drained:      make(chan struct{}),
		disconnected: make(chan struct{}),
		done:         make(chan struct{}),
		runs:         map[scheduler.Key]*run{},
		conns:        map[*messenger.Conn]time.Time{},
	}
	go func() {
		defer close(x.done)
		for x.step() {
		}
	}()
	return x
}

// Handle queues a submit, cancel or notice message, or the end of a connection,
// for the goroutine. The first message of an entry is a notice, and the executor
// replies with a notice.
func (x *Executor) Handle(c *messenger.Conn, m messenger.Message) (any, error) {
	e := event{conn: c}
	switch m.Method {
	case messenger.MethodSubmit:
		e.kind = eventSubmit
		if err := m.Decode(&e.submit); err != nil {
			return nil, err
		}
		x.options.Recorder.Merge(e.submit.Stamp)
	case messenger.MethodNotice:
		e.kind = eventConnOpened
	case messenger.MethodCancel:
		e.kind = eventCancel
		if err := m.Decode(&e.cancel); err != nil {
			return nil, err
		}
		x.options.Recorder.Merge(e.cancel.Stamp)
	default:
		e.kind = eventConnClosed
	}
	x.input.Put(context.Background(), e)
	return nil, nil
}

// Apply replaces the snapshot of the records. If the snapshot has no record of
// the upstream, the executor starts to leave.
func (x *Executor) Apply(s *compiler.Snapshot) {
	x.input.Put(context.Background(), event{kind: eventSnapshot, snapshot: s})
}

// Leave makes the executor refuse all new attempts and sends the entries a
// notice that it is leaving.
func (x *Executor) Leave() {
	x.input.Put(context.Background(), event{kind: eventLeave})
}

// Drained returns a channel that is closed once the executor is leaving and has
// no attempt left.
func (x *Executor) Drained() <-chan struct{} { return x.drained }

// Disconnected returns a channel that is closed once the executor is drained and
// every entry has closed its connection. An entry closes it after it has received
// the leaving notice, so that no attempt can still be in transit.
func (x *Executor) Disconnected() <-chan struct{} { return x.disconnected }

// Stop ends the goroutine, the probe and all readers. Remaining attempts are not
// reported to their entries.
func (x *Executor) Stop() {
	x.input.Close()
	<-x.done
	if x.probe != nil {
		x.probe.Stop()
	}
	for _, r := range x.runs {
		if r.reader != nil {
			r.reader.Stop()
		}
	}
}

// Attempts returns the number of queued and running attempts.
func (x *Executor) Attempts() int { return int(x.attemptCount.Load()) }

// Stats returns the state of the input ring.
func (x *Executor) Stats() buffer.Stats { return x.input.Stats() }

func (x *Executor) step() bool {
	var wake <-chan time.Time
	if at := x.scheduler.Wake(); !at.IsZero() {
		c, stop := x.options.Clock.After(at.Sub(x.options.Clock.Now()))
		defer stop()
		wake = c
	}
	select {
	case e := <-x.input.C():
		x.handleEvent(e)
	case <-wake:
		x.stepScheduler(scheduler.Event{Kind: scheduler.EventTicked})
	case <-x.input.Done():
		return false
	}
	x.attemptCount.Store(int64(len(x.runs)))
	x.signalDrained()
	return true
}

func (x *Executor) signalDrained() {
	if !x.leaving || len(x.runs) > 0 {
		return
	}
	closeOnce(x.drained)
	if len(x.conns) == 0 {
		closeOnce(x.disconnected)
	}
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

func (x *Executor) handleEvent(e event) {
	switch e.kind {
	case eventSubmit:
		x.handleSubmit(e.conn, e.submit)
	case eventConnOpened:
		x.registerConn(e.conn)
	case eventCancel:
		x.handleCancel(e.cancel)
	case eventConnClosed:
		x.removeConn(e.conn)
	case eventReader:
		x.handleReaderEvent(e.reader)
	case eventSnapshot:
		x.applySnapshot(e.snapshot)
	case eventLeave:
		x.startLeaving()
	case eventUpstreamReachable:
		x.probe = nil
		x.updateCapacity()
		x.broadcastNotice()
	}
}

// registerConn registers a connection and sends it a notice. An entry that learns
// from this notice that the upstream is leaving closes the connection at once, so
// such a connection doesn't delay [Executor.Disconnected].
func (x *Executor) registerConn(c *messenger.Conn) {
	if !x.leaving {
		x.conns[c] = time.Time{}
	}
	x.sendNotice(c)
}

func (x *Executor) broadcastNotice() {
	for c := range x.conns {
		x.sendNotice(c)
	}
}

func (x *Executor) sendNotice(c *messenger.Conn) {
	load := x.scheduler.Load()
	n := messenger.Notice{Stamp: x.options.Recorder.Stamp(), Leaving: x.leaving, Down: x.probe != nil, Load: &load}
	if x.snapshot != nil {
		n.Revision = x.snapshot.Revision
	}
	c.Notify(messenger.MethodNotice, n)
}

func (x *Executor) removeConn(c *messenger.Conn) {
	delete(x.conns, c)
	for k, r := range x.runs {
		if r.conn == c {
			x.withdraw(k, tracer.ReasonConnectionClosed)
		}
	}
}

// handleUpstreamDown refuses the queued attempts, reports those that have run in
// part as lost, and starts a probe that waits until the upstream is reachable
// again. Active attempts end with the events of their own readers.
func (x *Executor) handleUpstreamDown() {
	if x.probe != nil {
		return
	}
	x.probe = reader.NewProbe(x.options.Client, x.options.URL, x.options.Clock, func() {
		x.input.Put(context.Background(), event{kind: eventUpstreamReachable})
	})
	x.updateCapacity()
	for k, r := range x.runs {
		if r.active {
			continue
		}
		x.stepScheduler(scheduler.Event{Kind: scheduler.EventWithdrawn, Key: k})
		x.removeRun(k)
		if r.started {
			x.reportLost(k, r, "upstream_down")
			continue
		}
		x.refuse(k, r, "upstream_down")
	}
	x.broadcastNotice()
}

func (x *Executor) applySnapshot(s *compiler.Snapshot) {
	x.snapshot = s
	u, ok := s.Upstreams[x.options.Upstream]
	if !ok {
		x.startLeaving()
		return
	}
	x.upstream = u
	x.updateCapacity()
}

// updateCapacity passes the capacity of the upstream to the scheduler. While the
// upstream is down, the capacity has no slots.
func (x *Executor) updateCapacity() {
	c := scheduler.Capacity{Slots: x.upstream.Slots, KVTokens: x.upstream.KVTokens, QueueLimit: maxQueuedPerClass}
	if x.probe != nil {
		c.Slots = 0
	}
	x.stepScheduler(scheduler.Event{Kind: scheduler.EventConfigured, Capacity: c})
}

func (x *Executor) startLeaving() {
	if x.leaving {
		return
	}
	x.leaving = true
	x.options.Recorder.Record(tracer.Event{Kind: tracer.KindMemberLeaving, Upstream: x.options.Upstream})
	x.broadcastNotice()
}

func (x *Executor) traceEvent(kind tracer.Kind, k scheduler.Key, r *run) tracer.Event {
	return tracer.Event{
		Kind: kind, Request: k.Request, Attempt: k.Attempt, Class: r.submit.Class, Tier: r.submit.Tier,
		Organisation: r.submit.Organisation, Upstream: x.options.Upstream, Tokens: r.nextToken,
		NotRepeatable: !r.submit.Repeatable,
	}
}
