// Package claimer ensures that a request that is not repeatable and has an
// idempotency key runs at most once.
//
// Before such a request is sent to an agent, its key is claimed in the platform.
// Claims are divided among eight shards. Each shard is a chain of segments:
// objects of at most 32 KB to which records are appended. A record is written only
// by a conditional update of the last segment with the version that the writer has
// read. This alone guarantees that two runs never hold the same key. The response
// to a write can be lost; the writer then reads the segment again and looks for
// the identifier of its run.
//
// The [Core] maps events to actions and uses neither a clock nor I/O. The goroutine
// of a [Claimer] owns it. In addition, each shard has a goroutine that makes one
// call of the platform at a time. To reduce the number of writes, all entries
// forward the claims of a shard to its preferred writer, an entry that batches the
// claims of 50 ms into one write. An entry that cannot reach the preferred writer
// writes the claim itself.
//
// A claim expires after one hour on the clock of the process that reads it, so the
// clocks of the VMs should agree to within a few minutes.
//
// # Usage
//
//	c := claimer.New(claimer.Options{Self: self, Store: store, Clock: clock, Recorder: rec})
//	defer c.Stop()
//	op := claimer.Op{Kind: claimer.OpClaim, Key: claimer.HashKey(organisation, key), Run: id, Deadline: deadline}
//	if !c.Ask(ctx, op, func(r claimer.Result) { ... }) {
//		// the queue is full: refuse the request as not run
//	}
package claimer

import (
	"context"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/dialer"
	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	// submissionsCapacity is the maximum number of queued operations of this
	// process. A full ring refuses further ones, so that the router is never
	// blocked.
	submissionsCapacity = 1024
	// eventsCapacity is the maximum number of queued messages of peers and results
	// of calls.
	eventsCapacity = 1024
	// callTimeout is the timeout of a call of the platform, which normally takes
	// milliseconds. A call that takes longer is cancelled and treated as possibly lost.
	callTimeout = time.Second
)

// Peer is another live entry.
type Peer struct {
	Identity string
	// Address is the IP address and port on which it accepts connections of other
	// processes.
	Address string
}

// Options configures a claimer.
type Options struct {
	Self     messenger.Peer
	Secret   []byte
	Store    accessor.Store
	Clock    timer.Clock
	Recorder *recorder.Recorder
	// Peers returns the other live entries. The goroutine of the claimer calls it
	// for each operation, so it must not block. Nil means that there are none.
	Peers func() []Peer
	// MaxSegmentBytes is the maximum size of a segment. Zero means
	// [MaxSegmentBytes].
	MaxSegmentBytes int
}

// Claimer claims idempotency keys for one entry. Make it with [New].
type Claimer struct {
	options     Options
	submissions *buffer.Ring[submission, buffer.Reject]
	events      *buffer.Ring[ringEvent, buffer.Block]
	calls       [Shards]*buffer.Ring[Call, buffer.Reject]
	cancel      context.CancelFunc
	done        chan struct{}
	callersDone [Shards]chan struct{}

	// The fields below are owned by the goroutine of the claimer.
	core            *Core
	openSubmissions map[uint64]submission
	lastID          uint64
	peers           []Peer
	writerConns     map[string]*writerConn
}

// submission is an operation with the callback for its result. fromPeer is true if
// another entry forwarded it.
type submission struct {
	op       Op
	onResult func(Result)
	fromPeer bool
}

// ringEvent is an event for the core, or an operation that a peer submitted.
type ringEvent struct {
	event      Event
	conn       *messenger.Conn
	submission *submission
}

// writerConn is the connection to the preferred writer of a shard. Its conn is nil
// while there is no connection.
type writerConn struct {
	address string
	dialer  *dialer.Dialer
	conn    *messenger.Conn
}

// New starts the goroutines of a claimer.
func New(o Options) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{
		options:         o,
		submissions:     buffer.New[submission, buffer.Reject]("claimer_asks", submissionsCapacity),
		events:          buffer.New[ringEvent, buffer.Block]("claimer_events", eventsCapacity),
		cancel:          cancel,
		done:            make(chan struct{}),
		core:            NewCore(o.Self.Identity, o.MaxSegmentBytes),
		openSubmissions: map[uint64]submission{},
		writerConns:     map[string]*writerConn{},
	}
	for i := range c.calls {
		// The core has at most one outstanding call per shard.
		c.calls[i] = buffer.New[Call, buffer.Reject]("claimer_calls", 1)
		c.callersDone[i] = make(chan struct{})
		go func() {
			defer close(c.callersDone[i])
			c.runCaller(ctx, c.calls[i])
		}()
	}
	go func() {
		defer close(c.done)
		c.updatePeers()
		for c.step() {
		}
	}()
	return c
}

// Ask queues an operation. It returns false if the queue is full; the operation
// then has no effect and onResult is not called. Otherwise the goroutine of the
// claimer calls onResult at most once: not at all if the claimer is stopped first.
// onResult must not wait for the claimer.
func (c *Claimer) Ask(ctx context.Context, op Op, onResult func(Result)) bool {
	return c.submissions.Put(ctx, submission{op: op, onResult: onResult})
}

// Handle processes the claim messages of other entries. It is a
// [messenger.Handler].
func (c *Claimer) Handle(conn *messenger.Conn, m messenger.Message) (any, error) {
	var q messenger.Claim
	if err := m.Decode(&q); err != nil {
		return nil, err
	}
	c.options.Recorder.Merge(q.Stamp)
	op := Op{
		Kind: OpKind(q.Kind), Key: q.Key, Run: q.Run, Fingerprint: q.Fingerprint, Answer: q.Answer,
		Deadline: c.options.Clock.Now().Add(q.Timeout),
	}
	s := submission{op: op, fromPeer: true, onResult: func(r Result) {
		conn.Notify(messenger.MethodClaim, messenger.ClaimAnswer{
			Stamp: c.options.Recorder.Stamp(), ID: q.ID, Verdict: int(r.Verdict), Answer: r.Answer,
		})
	}}
	c.events.Put(context.Background(), ringEvent{submission: &s})
	return nil, nil
}

// Stop stops the goroutines. Operations that are still open get no result.
func (c *Claimer) Stop() {
	c.submissions.Close()
	c.events.Close()
	c.cancel()
	<-c.done
	for i := range c.calls {
		c.calls[i].Close()
		<-c.callersDone[i]
	}
	for _, w := range c.writerConns {
		w.dialer.Stop()
	}
}

// Stats returns the statistics of the rings.
func (c *Claimer) Stats() []buffer.Stats {
	return []buffer.Stats{c.submissions.Stats(), c.events.Stats()}
}

// step handles one operation, event or timer. It returns false when the claimer
// stops.
func (c *Claimer) step() bool {
	var wake <-chan time.Time
	if at := c.core.Wake(); !at.IsZero() {
		t, stop := c.options.Clock.After(at.Sub(c.options.Clock.Now()))
		defer stop()
		wake = t
		if !c.options.Clock.Now().Before(at) {
			// The time passed before the timer was set.
			c.stepCore(Event{Kind: EventTicked})
			return true
		}
	}
	select {
	case s := <-c.submissions.C():
		c.updatePeers()
		c.startOperation(s)
	case e := <-c.events.C():
		c.handleEvent(e)
	case <-wake:
		c.stepCore(Event{Kind: EventTicked})
	case <-c.events.Done():
		return false
	}
	return true
}

// startOperation assigns an ID to an operation and passes it to the core.
func (c *Claimer) startOperation(s submission) {
	c.lastID++
	c.openSubmissions[c.lastID] = s
	kind := EventSubmitted
	if s.fromPeer {
		kind = EventPeerSubmitted
	}
	c.stepCore(Event{Kind: kind, ID: c.lastID, Op: s.op})
}

// handleEvent tracks the connections to the preferred writers and passes the event
// to the core. It ignores the end of a connection that is no longer current.
func (c *Claimer) handleEvent(e ringEvent) {
	if e.submission != nil {
		c.startOperation(*e.submission)
		return
	}
	if w := c.writerConns[e.event.Peer]; e.conn != nil {
		switch {
		case w == nil:
			e.conn.Close()
			return
		case e.event.Kind == EventPeerConnected:
			w.conn = e.conn
			c.options.Recorder.Record(tracer.Event{Kind: tracer.KindMemberJoined, Reason: "claim_writer " + e.event.Peer})
		case w.conn != e.conn:
			return
		default:
			w.conn = nil
			c.options.Recorder.Record(tracer.Event{Kind: tracer.KindMemberGone, Reason: "claim_writer " + e.event.Peer})
		}
	}
	c.stepCore(e.event)
}

// stepCore passes an event to the core and executes the resulting actions.
func (c *Claimer) stepCore(e Event) {
	for _, a := range c.core.Step(c.options.Clock.Now(), e) {
		switch a.Kind {
		case ActionCall:
			c.calls[a.Call.Shard].Put(context.Background(), a.Call)
		case ActionForward:
			c.forward(a)
		case ActionAnswer:
			s := c.openSubmissions[a.ID]
			delete(c.openSubmissions, a.ID)
			c.recordClaim(s, a.Result)
			s.onResult(a.Result)
		}
	}
}

// recordClaim records the result of a claim of this process in the trace.
func (c *Claimer) recordClaim(s submission, r Result) {
	if s.fromPeer || s.op.Kind != OpClaim {
		return
	}
	c.options.Recorder.Record(tracer.Event{Kind: tracer.KindClaimed, Request: s.op.Run, Reason: r.Verdict.String()})
}

// forward sends an operation to the preferred writer of its shard. If the
// connection has just ended, a later event reports this to the core.
func (c *Claimer) forward(a Action) {
	w := c.writerConns[a.Peer]
	if w == nil || w.conn == nil {
		return
	}
	w.conn.Notify(messenger.MethodClaim, messenger.Claim{
		Stamp: c.options.Recorder.Stamp(), ID: a.ID, Kind: int(a.Op.Kind), Key: a.Op.Key, Run: a.Op.Run,
		Fingerprint: a.Op.Fingerprint, Answer: a.Op.Answer, Timeout: a.Op.Deadline.Sub(c.options.Clock.Now()),
	})
}

// updatePeers passes the list of live entries to the core if it has changed, and
// connects to each preferred writer.
func (c *Claimer) updatePeers() {
	if c.options.Peers == nil {
		return
	}
	peers := c.options.Peers()
	if slices.Equal(peers, c.peers) {
		return
	}
	c.peers = slices.Clone(peers)
	addresses := map[string]string{}
	names := []string{}
	for _, p := range peers {
		addresses[p.Identity] = p.Address
		names = append(names, p.Identity)
	}
	c.stepCore(Event{Kind: EventPeers, Peers: names})
	wanted := c.core.Writers()
	for name, w := range c.writerConns {
		if !slices.Contains(wanted, name) || addresses[name] != w.address {
			delete(c.writerConns, name)
			c.stepCore(Event{Kind: EventPeerDisconnected, Peer: name})
			go w.dialer.Stop()
		}
	}
	for _, name := range wanted {
		if c.writerConns[name] == nil {
			c.connectWriter(name, addresses[name])
		}
	}
}

// connectWriter starts a dialer that keeps a connection to a preferred writer.
func (c *Claimer) connectWriter(name, address string) {
	put := func(e Event, conn *messenger.Conn) {
		e.Peer = name
		c.events.Put(context.Background(), ringEvent{event: e, conn: conn})
	}
	handle := func(conn *messenger.Conn, m messenger.Message) (any, error) {
		switch m.Method {
		case "":
			put(Event{Kind: EventPeerDisconnected}, conn)
		case messenger.MethodClaim:
			var a messenger.ClaimAnswer
			if err := m.Decode(&a); err != nil {
				return nil, err
			}
			c.options.Recorder.Merge(a.Stamp)
			put(Event{Kind: EventPeerAnswered, ID: a.ID, Result: Result{Verdict: Verdict(a.Verdict), Answer: a.Answer}}, nil)
		}
		return nil, nil
	}
	c.writerConns[name] = &writerConn{address: address, dialer: dialer.New(dialer.Options{
		Address: address, Clock: c.options.Clock,
		Messenger: messenger.Options{Self: c.options.Self, Secret: c.options.Secret, Handle: handle},
		OnConnect: func(conn *messenger.Conn) { put(Event{Kind: EventPeerConnected}, conn) },
	})}
}
