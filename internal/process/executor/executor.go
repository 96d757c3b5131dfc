// Package executor carries out the decisions of the scheduler in an agent.
//
// The [Executor] is the duty that owns the scheduler of its upstream and the
// table of runs. Everything reaches it over one ring: attempts and
// cancellations of entries, events of the readers, new snapshots of the
// records. It starts and stops one reader for each active run and reports to
// the entry that sent the attempt.
//
// This is where the boundary between "not run" and "perhaps run" lies. An
// attempt is refused only while it has never been handed to the upstream, and
// one that was refused is not accepted again under the same number. A run that
// was handed over and cannot go on is reported as lost; its tokens stay valid.
//
// # Usage
//
//	x := executor.New(executor.Options{Upstream: "desk-1", URL: url, Clock: c})
//	routes := acceptor.Routes{messenger.MethodSubmit: x.Handle}
//	x.Leave()      // refuses new work
//	<-x.Idle()     // everything in flight has ended
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
	// inputCapacity is the number of events that may wait for the duty. When it
	// is full, readers and connections wait, which TCP passes on.
	inputCapacity = 1024
	// queueLimit bounds the waiting runs of each class.
	queueLimit = 512
	// loadInterval is the time between two loads that a connection gets with
	// tokens. A load takes about 150 bytes: with each of 343 tokens a second it
	// would take 51 KB/s, ten times what a node may spend on control.
	loadInterval = time.Second
	// lengthQuantile is the quantile of the learned lengths that is expected of
	// an answer. With the median, half of the runs that started at their latest
	// start finished after their target.
	lengthQuantile = 0.75
)

// Options configures an executor.
type Options struct {
	// Upstream is the name of the upstream's record.
	Upstream string
	// URL is the address of the upstream itself.
	URL      string
	Client   *http.Client
	Clock    timer.Clock
	Recorder *recorder.Recorder
	// Hint is called with a revision that an entry has and this agent has not.
	// It may be nil.
	Hint func(revision int64)
}

// Executor runs the attempts of one upstream.
type Executor struct {
	options Options
	input   *buffer.Ring[event, buffer.Block]
	quiet   chan struct{}
	idle    chan struct{}
	done    chan struct{}
	// held is the number of runs, for other goroutines to read.
	held atomic.Int64

	// The fields below are owned by the duty.
	scheduler scheduler.Scheduler[scheduler.Tiered]
	lengths   estimator.Lengths
	runs      map[scheduler.Key]*run
	// conns holds the time at which each connection last got the load.
	conns map[*messenger.Conn]time.Time
	// suspects are the attempts of suspect content, in the order of their
	// arrival. Only the first of them is known to the scheduler.
	suspects []scheduler.Key
	snapshot *compiler.Snapshot
	upstream descriptor.Upstream
	leaving  bool
	// probe is set while the upstream is down.
	probe  *reader.Probe
	memory memory
}

type eventKind int

const (
	eventSubmit eventKind = iota
	eventOpened
	eventCancel
	eventClosed
	eventRead
	eventSnapshot
	eventLeave
	eventReachable
)

type event struct {
	kind     eventKind
	conn     *messenger.Conn
	submit   messenger.Submit
	cancel   messenger.Cancel
	read     reader.Event
	snapshot *compiler.Snapshot
}

// New starts an executor.
func New(o Options) *Executor {
	x := &Executor{
		options: o,
		input:   buffer.New[event, buffer.Block]("executor_input", inputCapacity),
		quiet:   make(chan struct{}),
		idle:    make(chan struct{}),
		done:    make(chan struct{}),
		runs:    map[scheduler.Key]*run{},
		conns:   map[*messenger.Conn]time.Time{},
	}
	go func() {
		defer close(x.done)
		for x.step() {
		}
	}()
	return x
}

// Handle takes in the messages submit, cancel and notice, and the end of a
// connection. An entry's first message is a notice, which is answered by one.
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
		e.kind = eventOpened
	case messenger.MethodCancel:
		e.kind = eventCancel
		if err := m.Decode(&e.cancel); err != nil {
			return nil, err
		}
		x.options.Recorder.Merge(e.cancel.Stamp)
	default:
		e.kind = eventClosed
	}
	x.input.Put(context.Background(), e)
	return nil, nil
}

// Apply puts a snapshot of the records in force.
func (x *Executor) Apply(s *compiler.Snapshot) {
	x.input.Put(context.Background(), event{kind: eventSnapshot, snapshot: s})
}

// Leave refuses all attempts from now on and tells the entries.
func (x *Executor) Leave() {
	x.input.Put(context.Background(), event{kind: eventLeave})
}

// Quiet returns a channel that is closed once the executor is leaving and has
// no attempt left.
func (x *Executor) Quiet() <-chan struct{} { return x.quiet }

// Idle returns a channel that is closed once, in addition, every entry has
// closed its connection. An entry does so after it has seen the notice, so that
// no attempt can still be on its way.
func (x *Executor) Idle() <-chan struct{} { return x.idle }

// Stop ends the duty and stops all readers.
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

// Active returns the number of attempts that the executor holds.
func (x *Executor) Active() int { return int(x.held.Load()) }

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
		x.take(e)
	case <-wake:
		x.decide(scheduler.Event{Kind: scheduler.EventTicked})
	case <-x.input.Done():
		return false
	}
	x.held.Store(int64(len(x.runs)))
	x.signalIdle()
	return true
}

func (x *Executor) signalIdle() {
	if !x.leaving || len(x.runs) > 0 {
		return
	}
	closeOnce(x.quiet)
	if len(x.conns) == 0 {
		closeOnce(x.idle)
	}
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

func (x *Executor) take(e event) {
	switch e.kind {
	case eventSubmit:
		x.submit(e.conn, e.submit)
	case eventOpened:
		x.opened(e.conn)
	case eventCancel:
		x.cancel(e.cancel)
	case eventClosed:
		x.closed(e.conn)
	case eventRead:
		x.read(e.read)
	case eventSnapshot:
		x.apply(e.snapshot)
	case eventLeave:
		x.leave()
	case eventReachable:
		x.probe = nil
		x.configure()
		x.notifyAll()
	}
}

// opened registers a connection. An entry that is told here that the upstream
// is leaving closes the connection at once, so it is not waited for.
func (x *Executor) opened(c *messenger.Conn) {
	if !x.leaving {
		x.conns[c] = time.Time{}
	}
	x.notify(c)
}

func (x *Executor) notifyAll() {
	for c := range x.conns {
		x.notify(c)
	}
}

func (x *Executor) notify(c *messenger.Conn) {
	load := x.scheduler.Load()
	n := messenger.Notice{Stamp: x.options.Recorder.Stamp(), Leaving: x.leaving, Down: x.probe != nil, Load: &load}
	if x.snapshot != nil {
		n.Revision = x.snapshot.Revision
	}
	c.Notify(messenger.MethodNotice, n)
}

func (x *Executor) closed(c *messenger.Conn) {
	delete(x.conns, c)
	for k, r := range x.runs {
		if r.conn == c {
			x.withdraw(k, tracer.ReasonConnectionClosed)
		}
	}
}

// down gives back what is waiting and waits until the upstream is up again. The
// attempts that were active end by the events of their own readers.
func (x *Executor) down() {
	if x.probe != nil {
		return
	}
	x.probe = reader.NewProbe(x.options.Client, x.options.URL, x.options.Clock, func() {
		x.input.Put(context.Background(), event{kind: eventReachable})
	})
	x.configure()
	for k, r := range x.runs {
		if r.active {
			continue
		}
		x.decide(scheduler.Event{Kind: scheduler.EventWithdrawn, Key: k})
		x.remove(k)
		if r.started {
			x.giveBack(k, r, "upstream_down")
			continue
		}
		x.refuse(k, r, "upstream_down")
	}
	x.notifyAll()
}

func (x *Executor) apply(s *compiler.Snapshot) {
	x.snapshot = s
	u, ok := s.Upstreams[x.options.Upstream]
	if !ok {
		x.leave()
		return
	}
	x.upstream = u
	x.configure()
}

// configure tells the scheduler the capacity, which is none while the upstream
// is down.
func (x *Executor) configure() {
	c := scheduler.Capacity{Slots: x.upstream.Slots, KVTokens: x.upstream.KVTokens, QueueLimit: queueLimit}
	if x.probe != nil {
		c.Slots = 0
	}
	x.decide(scheduler.Event{Kind: scheduler.EventConfigured, Capacity: c})
}

func (x *Executor) leave() {
	if x.leaving {
		return
	}
	x.leaving = true
	x.options.Recorder.Record(tracer.Event{Kind: tracer.KindMemberLeaving, Upstream: x.options.Upstream})
	x.notifyAll()
}

func (x *Executor) event(kind tracer.Kind, k scheduler.Key, r *run) tracer.Event {
	return tracer.Event{
		Kind: kind, Request: k.Request, Attempt: k.Attempt, Class: r.submit.Class, Tier: r.submit.Tier,
		Organisation: r.submit.Organisation, Upstream: x.options.Upstream, Tokens: r.next,
		NotRepeatable: !r.submit.Repeatable,
	}
}
