// Package claimer makes requests that must not be repeated run at most once.
//
// Before such a request with an idempotency key is sent to an agent, its key is
// claimed in the platform. Claims are spread over eight shards; each shard is a
// chain of segments, objects of at most 32 KB to which records are added. A
// record is accepted only by a conditional update of the last segment under the
// version that its writer has read, and from that alone it follows that two
// runs never hold one key. The answer to a write can be lost; the writer then
// reads the segment again and looks for the identifier of its run.
//
// The [Core] decides, from events to actions, without a clock or I/O. The
// [Claimer] is the duty that owns it. Beside it each shard has a duty that makes
// one call of the platform at a time. To keep the number of writes small, all
// entries send the claims of a shard to the same entry, which writes those of
// 50 ms together; an entry that cannot reach it writes by itself.
//
// A claim holds for an hour on the clock of the process that reads it, so the
// clocks of the VMs should agree to within some minutes.
//
// # Usage
//
//	c := claimer.New(claimer.Options{Self: self, Store: store, Clock: clock, Recorder: rec})
//	defer c.Stop()
//	op := claimer.Op{Kind: claimer.OpClaim, Key: claimer.HashKey(organisation, key), Run: id, By: by}
//	if !c.Ask(ctx, op, func(r claimer.Result) { ... }) {
//		// no room: the request is refused and was not run
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
	// asksCapacity is the number of operations of this process that may wait for
	// the duty. A full ring refuses, so that the router never waits.
	asksCapacity = 1024
	// eventsCapacity is the number of messages and results that may wait.
	eventsCapacity = 1024
	// callTimeout bounds a call of the platform. Its answers take milliseconds;
	// a call that takes longer may also be lost.
	callTimeout = time.Second
)

// Peer is another live entry.
type Peer struct {
	Identity string
	// Address is its IP address and port for other processes.
	Address string
}

// Options configures a claimer.
type Options struct {
	Self     messenger.Peer
	Secret   []byte
	Store    accessor.Store
	Clock    timer.Clock
	Recorder *recorder.Recorder
	// Peers returns the other live entries. It is called by the duty for each
	// operation and must not wait. Nil means that there are none.
	Peers func() []Peer
	// SegmentLimit is the size of a segment in bytes. Zero means [MaxSegment].
	SegmentLimit int
}

// Claimer claims keys for one entry.
type Claimer struct {
	options Options
	asks    *buffer.Ring[ask, buffer.Reject]
	events  *buffer.Ring[input, buffer.Block]
	calls   [Shards]*buffer.Ring[Call, buffer.Reject]
	cancel  context.CancelFunc
	done    chan struct{}
	stopped [Shards]chan struct{}

	// The fields below are owned by the duty.
	core  *Core
	open  map[uint64]ask
	ids   uint64
	peers []Peer
	links map[string]*link
}

// ask is an operation and what to do with its answer.
type ask struct {
	op     Op
	answer func(Result)
	peer   bool
}

// input is an event for the core, or an operation of a peer.
type input struct {
	event Event
	conn  *messenger.Conn
	ask   *ask
}

// link is the connection to the usual writer of a shard.
type link struct {
	address string
	dialer  *dialer.Dialer
	conn    *messenger.Conn
}

// New starts a claimer.
func New(o Options) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{
		options: o,
		asks:    buffer.New[ask, buffer.Reject]("claimer_asks", asksCapacity),
		events:  buffer.New[input, buffer.Block]("claimer_events", eventsCapacity),
		cancel:  cancel,
		done:    make(chan struct{}),
		core:    NewCore(o.Self.Identity, o.SegmentLimit),
		open:    map[uint64]ask{},
		links:   map[string]*link{},
	}
	for i := range c.calls {
		// The core has one call of each shard outstanding.
		c.calls[i] = buffer.New[Call, buffer.Reject]("claimer_calls", 1)
		c.stopped[i] = make(chan struct{})
		go func() {
			defer close(c.stopped[i])
			c.serve(ctx, c.calls[i])
		}()
	}
	go func() {
		defer close(c.done)
		c.meet()
		for c.step() {
		}
	}()
	return c
}

// Ask starts an operation. It reports false if there is no room; the operation
// then has no effect and answer is not called. The duty calls answer once, which
// must not wait for the claimer.
func (c *Claimer) Ask(ctx context.Context, op Op, answer func(Result)) bool {
	return c.asks.Put(ctx, ask{op: op, answer: answer})
}

// Handle takes in the claim messages of other entries.
func (c *Claimer) Handle(conn *messenger.Conn, m messenger.Message) (any, error) {
	var q messenger.Claim
	if err := m.Decode(&q); err != nil {
		return nil, err
	}
	c.options.Recorder.Merge(q.Stamp)
	op := Op{
		Kind: OpKind(q.Kind), Key: q.Key, Run: q.Run, Fingerprint: q.Fingerprint, Answer: q.Answer,
		By: c.options.Clock.Now().Add(q.Timeout),
	}
	a := ask{op: op, peer: true, answer: func(r Result) {
		conn.Notify(messenger.MethodClaim, messenger.ClaimAnswer{
			Stamp: c.options.Recorder.Stamp(), ID: q.ID, Verdict: int(r.Verdict), Answer: r.Answer,
		})
	}}
	c.events.Put(context.Background(), input{ask: &a})
	return nil, nil
}

// Stop ends the duties. Operations without an answer get none.
func (c *Claimer) Stop() {
	c.asks.Close()
	c.events.Close()
	c.cancel()
	<-c.done
	for i := range c.calls {
		c.calls[i].Close()
		<-c.stopped[i]
	}
	for _, l := range c.links {
		l.dialer.Stop()
	}
}

// Stats returns the states of the rings.
func (c *Claimer) Stats() []buffer.Stats { return []buffer.Stats{c.asks.Stats(), c.events.Stats()} }

func (c *Claimer) step() bool {
	var wake <-chan time.Time
	if at := c.core.Wake(); !at.IsZero() {
		t, stop := c.options.Clock.After(at.Sub(c.options.Clock.Now()))
		defer stop()
		wake = t
		if !c.options.Clock.Now().Before(at) {
			// The time came before the timer was set.
			c.decide(Event{Kind: EventTicked})
			return true
		}
	}
	select {
	case a := <-c.asks.C():
		c.meet()
		c.ask(a)
	case in := <-c.events.C():
		c.take(in)
	case <-wake:
		c.decide(Event{Kind: EventTicked})
	case <-c.events.Done():
		return false
	}
	return true
}

func (c *Claimer) ask(a ask) {
	c.ids++
	c.open[c.ids] = a
	kind := EventAsked
	if a.peer {
		kind = EventAskedByPeer
	}
	c.decide(Event{Kind: kind, ID: c.ids, Op: a.op})
}

func (c *Claimer) take(in input) {
	if in.ask != nil {
		c.ask(*in.ask)
		return
	}
	if l := c.links[in.event.Peer]; in.conn != nil {
		switch {
		case l == nil:
			in.conn.Close()
			return
		case in.event.Kind == EventReached:
			l.conn = in.conn
			c.options.Recorder.Record(tracer.Event{Kind: tracer.KindMemberJoined, Reason: "claim_writer " + in.event.Peer})
		case l.conn != in.conn:
			return
		default:
			l.conn = nil
			c.options.Recorder.Record(tracer.Event{Kind: tracer.KindMemberGone, Reason: "claim_writer " + in.event.Peer})
		}
	}
	c.decide(in.event)
}

func (c *Claimer) decide(e Event) {
	for _, a := range c.core.Step(c.options.Clock.Now(), e) {
		switch a.Kind {
		case ActionCall:
			c.calls[a.Call.Shard].Put(context.Background(), a.Call)
		case ActionForward:
			c.forward(a)
		case ActionAnswer:
			asked := c.open[a.ID]
			delete(c.open, a.ID)
			c.record(asked, a.Result)
			asked.answer(a.Result)
		}
	}
}

func (c *Claimer) record(a ask, r Result) {
	if a.peer || a.op.Kind != OpClaim {
		return
	}
	c.options.Recorder.Record(tracer.Event{Kind: tracer.KindClaimed, Request: a.op.Run, Reason: r.Verdict.String()})
}

// forward sends an operation to its usual writer. If the connection has just
// ended, the core learns of it by a later event.
func (c *Claimer) forward(a Action) {
	l := c.links[a.Peer]
	if l == nil || l.conn == nil {
		return
	}
	l.conn.Notify(messenger.MethodClaim, messenger.Claim{
		Stamp: c.options.Recorder.Stamp(), ID: a.ID, Kind: int(a.Op.Kind), Key: a.Op.Key, Run: a.Op.Run,
		Fingerprint: a.Op.Fingerprint, Answer: a.Op.Answer, Timeout: a.Op.By.Sub(c.options.Clock.Now()),
	})
}

// meet takes in the list of live entries and keeps a connection to each usual
// writer.
func (c *Claimer) meet() {
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
	c.decide(Event{Kind: EventPeers, Peers: names})
	wanted := c.core.Writers()
	for name, l := range c.links {
		if !slices.Contains(wanted, name) || addresses[name] != l.address {
			delete(c.links, name)
			c.decide(Event{Kind: EventLost, Peer: name})
			go l.dialer.Stop()
		}
	}
	for _, name := range wanted {
		if c.links[name] == nil {
			c.connect(name, addresses[name])
		}
	}
}

func (c *Claimer) connect(name, address string) {
	put := func(e Event, conn *messenger.Conn) {
		e.Peer = name
		c.events.Put(context.Background(), input{event: e, conn: conn})
	}
	handle := func(conn *messenger.Conn, m messenger.Message) (any, error) {
		switch m.Method {
		case "":
			put(Event{Kind: EventLost}, conn)
		case messenger.MethodClaim:
			var a messenger.ClaimAnswer
			if err := m.Decode(&a); err != nil {
				return nil, err
			}
			c.options.Recorder.Merge(a.Stamp)
			put(Event{Kind: EventAnswered, ID: a.ID, Result: Result{Verdict: Verdict(a.Verdict), Answer: a.Answer}}, nil)
		}
		return nil, nil
	}
	c.links[name] = &link{address: address, dialer: dialer.New(dialer.Options{
		Address: address, Clock: c.options.Clock,
		Messenger: messenger.Options{Self: c.options.Self, Secret: c.options.Secret, Handle: handle},
		OnConnect: func(conn *messenger.Conn) { put(Event{Kind: EventReached}, conn) },
	})}
}
