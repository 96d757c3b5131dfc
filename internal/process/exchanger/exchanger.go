// Package exchanger keeps a process in touch with its peers.
//
// Every entry keeps connections to a few entries of its own and of other
// availability zones, every agent to two entries. Over these go the messages
// exchange: regularly with the next peer, which repairs whatever was lost, and
// at once to all peers when a new revision of the records is in force. The
// messages also carry news of some entries, from which package tracker decides
// who is a member; the first two live entries of each zone by rendezvous
// hashing watch the platform for all others.
//
// [Decision] is the decision: events in, actions out. An [Exchanger] is the
// duty that owns it and the connections.
//
// # Usage
//
//	x := exchanger.New(exchanger.Options{
//		Settings: exchanger.Settings{Self: self, Seeds: peers}, Clock: c, Recorder: rec,
//		Relay: w.Relay, Heard: w.Heard, Gone: w.Gone,
//	})
//	routes[messenger.MethodExchange] = x.Handle
//	x.InForce(revision)
//	records, err := x.Fetch(ctx, link, query)
package exchanger

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/dialer"
	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/tracker"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// inputCapacity is the number of events that may wait for the duty. When it is
// full, connections wait, which TCP passes on.
const inputCapacity = 1024

const (
	// broadcastCapacity bounds the broadcasts that wait. They are rare, and the
	// oldest is the least urgent.
	broadcastCapacity = 64
	// broadcastSize is the size in bytes at which a broadcast is counted.
	broadcastSize = 256
)

// Options configures an exchanger.
type Options struct {
	Settings Settings
	Secret   []byte
	Store    accessor.Store
	Clock    timer.Clock
	Recorder *recorder.Recorder
	// Relay, Heard and Gone pass on what concerns the records.
	Relay func(on bool)
	Heard func(link, identity string, revision int64, known int)
	Gone  func(link string)
	// Serve handles the other messages of the peers to which this process has
	// dialled. It may be nil.
	Serve messenger.Handler
	// Count is called with the size of each message. It may be nil.
	Count func(method, direction string, bytes int)
}

// Exchanger exchanges with peers.
type Exchanger struct {
	options Options
	input   *buffer.Ring[input, buffer.Block]
	reports *buffer.Ring[cataloger.Status, buffer.DropOldest]
	// inForce and hints hold only the latest revision. Their senders never wait
	// here, since this duty may in turn wait for them.
	inForce *buffer.Ring[int64, buffer.DropOldest]
	hints   *buffer.Ring[int64, buffer.DropOldest]
	// broadcasts holds messages for all entries to which there is a link.
	broadcasts *buffer.Ring[broadcast, buffer.DropOldest]
	// members holds the addresses of the live entries by identity. The map is
	// replaced and never changed, so that other duties may read it.
	members atomic.Pointer[map[string]string]
	// owners holds the identities of the tracker's owners, likewise.
	owners atomic.Pointer[[]string]
	// entries is the number of live entries.
	entries atomic.Int64
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	written chan struct{}

	// The fields below are owned by the duty.
	decision *Decision
	dialers  map[string]*dialer.Dialer
	conns    map[string]*messenger.Conn
	links    map[*messenger.Conn]string
	accepted int
}

type broadcast struct {
	method string
	params any
}

// input is an event with the connection that it concerns. A lookup asks for
// the connection of a link instead.
type input struct {
	event  Event
	conn   *messenger.Conn
	lookup chan *messenger.Conn
}

// New starts an exchanger.
func New(o Options) *Exchanger {
	ctx, cancel := context.WithCancel(context.Background())
	x := &Exchanger{
		options: o, ctx: ctx, cancel: cancel, done: make(chan struct{}), written: make(chan struct{}),
		input:      buffer.New[input, buffer.Block]("exchanger_input", inputCapacity),
		reports:    buffer.New[cataloger.Status, buffer.DropOldest]("exchanger_reports", 1),
		inForce:    buffer.New[int64, buffer.DropOldest]("exchanger_in_force", 1),
		hints:      buffer.New[int64, buffer.DropOldest]("exchanger_hints", 1),
		broadcasts: buffer.New[broadcast, buffer.DropOldest]("exchanger_broadcasts", broadcastCapacity),
		decision:   NewDecision(o.Clock.Now(), o.Settings),
		dialers:    map[string]*dialer.Dialer{}, conns: map[string]*messenger.Conn{}, links: map[*messenger.Conn]string{},
	}
	x.members.Store(&map[string]string{})
	x.owners.Store(&[]string{o.Settings.Self.Identity})
	x.entries.Store(1)
	go func() {
		defer close(x.done)
		for x.step() {
		}
	}()
	go func() {
		defer close(x.written)
		for {
			s, ok := x.reports.Take(ctx)
			if !ok {
				return
			}
			x.write(s)
		}
	}()
	return x
}

// Stop ends the duties and the connections that this process has dialled.
func (x *Exchanger) Stop() {
	x.input.Close()
	x.reports.Close()
	x.cancel()
	<-x.done
	<-x.written
	for _, d := range x.dialers {
		d.Stop()
	}
}

// InForce says which revision this process has in force.
func (x *Exchanger) InForce(revision int64) { x.inForce.Put(x.ctx, revision) }

// Hint says that another process has the given revision.
func (x *Exchanger) Hint(revision int64) { x.hints.Put(x.ctx, revision) }

// Listening says on which address this process listens for others.
func (x *Exchanger) Listening(address string) {
	x.put(input{event: Event{Kind: EventListening, Address: address}})
}

// Members returns the addresses of the live entries by identity, without this
// process. The map must not be changed.
func (x *Exchanger) Members() map[string]string { return *x.members.Load() }

// Owners returns the identities among which the owner of a shared duty is
// chosen, the same in all entries. The slice must not be changed.
func (x *Exchanger) Owners() []string { return *x.owners.Load() }

// Entries returns the number of live entries, this process included.
func (x *Exchanger) Entries() int { return int(x.entries.Load()) }

// Broadcast sends a message to all entries to which there is a link.
func (x *Exchanger) Broadcast(method string, params any) {
	x.broadcasts.Put(x.ctx, broadcast{method, params})
}

// Leave tells the peers that this process is leaving.
func (x *Exchanger) Leave() { x.put(input{event: Event{Kind: EventLeaving}}) }

// Stats returns the states of the rings.
func (x *Exchanger) Stats() []buffer.Stats {
	return []buffer.Stats{x.input.Stats(), x.reports.Stats(), x.inForce.Stats(), x.hints.Stats(), x.broadcasts.Stats()}
}

// Handle takes in the message exchange and the end of a connection.
func (x *Exchanger) Handle(c *messenger.Conn, m messenger.Message) (any, error) {
	e := Event{Kind: EventReceived, Peer: c.Peer}
	switch m.Method {
	case messenger.MethodExchange:
		x.count(m.Method, "received", len(m.Params))
		if err := m.Decode(&e.Message); err != nil {
			return nil, err
		}
		x.options.Recorder.Merge(e.Message.Stamp)
	default:
		e.Kind = EventClosed
	}
	x.put(input{event: e, conn: c})
	return nil, nil
}

// Fetch asks the peer at the end of a link for records.
func (x *Exchanger) Fetch(ctx context.Context, link string, q messenger.FetchRecords) (*messenger.Records, error) {
	i := input{event: Event{Link: link}, lookup: make(chan *messenger.Conn, 1)}
	x.put(i)
	var c *messenger.Conn
	select {
	case c = <-i.lookup:
	case <-ctx.Done():
	case <-x.done:
	}
	if c == nil {
		return nil, &Error{Op: "fetch records", Kind: ErrorNoLink, Err: errors.Errorf("link %s has ended", link)}
	}
	var raw json.RawMessage
	if err := c.Call(ctx, messenger.MethodFetchRecords, q, &raw); err != nil {
		return nil, &Error{Op: "fetch records", Kind: ErrorPeer, Err: err}
	}
	x.count(messenger.MethodFetchRecords, "received", len(raw))
	var r messenger.Records
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, &Error{Op: "fetch records", Kind: ErrorPeer, Err: err}
	}
	return &r, nil
}

func (x *Exchanger) put(i input) { x.input.Put(x.ctx, i) }

func (x *Exchanger) count(method, direction string, bytes int) {
	if x.options.Count != nil {
		x.options.Count(method, direction, bytes)
	}
}

func (x *Exchanger) step() bool {
	wake, stop := x.options.Clock.After(x.decision.Wake().Sub(x.options.Clock.Now()))
	defer stop()
	i := input{event: Event{Kind: EventTicked}}
	select {
	case i = <-x.input.C():
	case r := <-x.inForce.C():
		i.event = Event{Kind: EventInForce, Revision: r}
	case r := <-x.hints.C():
		i.event = Event{Kind: EventHinted, Revision: r}
	case b := <-x.broadcasts.C():
		x.broadcast(b)
		return true
	case <-wake:
	case <-x.input.Done():
		return false
	}
	if i.lookup != nil {
		i.lookup <- x.conns[i.event.Link]
		return true
	}
	if i.conn != nil && !x.name(&i) {
		return true
	}
	changed := false
	for _, a := range x.decision.Step(x.options.Clock.Now(), i.event) {
		x.act(a)
		changed = changed || a.Kind == ActionMember
	}
	if changed {
		x.publish()
	}
	return true
}

// publish replaces the addresses of the live entries.
func (x *Exchanger) publish() {
	members := map[string]string{}
	for _, m := range x.decision.Tracker.Live("") {
		if m.Identity != x.options.Settings.Self.Identity {
			members[m.Identity] = m.Address
		}
	}
	x.members.Store(&members)
	owners := x.decision.Tracker.OwnerCandidates()
	x.owners.Store(&owners)
	x.entries.Store(int64(x.decision.Tracker.EstimateEntries()))
}

func (x *Exchanger) broadcast(b broadcast) {
	for _, c := range x.conns {
		if c.Peer.Role == messenger.RoleEntry {
			x.count(b.method, "sent", broadcastSize)
			c.Notify(b.method, b.params)
		}
	}
}

// name gives the event the link of its connection. It reports false for the
// end of a connection that is not known.
func (x *Exchanger) name(i *input) bool {
	link, known := x.links[i.conn]
	switch {
	case i.event.Kind == EventClosed:
		if !known {
			return false
		}
		delete(x.links, i.conn)
		if x.conns[link] != i.conn {
			// The link has been opened anew meanwhile.
			return false
		}
		delete(x.conns, link)
	case i.event.Kind == EventOpened:
		link = i.event.Link
		x.conns[link], x.links[i.conn] = i.conn, link
	case !known:
		x.accepted++
		link = "from " + i.conn.Peer.Identity + " " + strconv.Itoa(x.accepted)
		x.conns[link], x.links[i.conn] = i.conn, link
	}
	i.event.Link = link
	return true
}

func (x *Exchanger) act(a Action) {
	switch a.Kind {
	case ActionDial:
		x.dial(a.Address)
	case ActionHang:
		d := x.dialers[a.Address]
		delete(x.dialers, a.Address)
		// The end of the connection comes back as an event, for which the duty
		// must not wait here.
		go d.Stop()
	case ActionSend:
		x.send(a)
	case ActionRelay:
		x.options.Relay(a.Relay)
	case ActionHeard:
		x.options.Heard(a.Link, a.Identity, a.Revision, a.Known)
	case ActionGone:
		x.options.Gone(a.Link)
	case ActionReadList:
		go x.list()
	case ActionReport:
		x.reports.Put(x.ctx, a.Status)
	case ActionMember:
		x.record(a.Member)
	}
}

func (x *Exchanger) send(a Action) {
	c := x.conns[a.Link]
	if c == nil {
		return
	}
	a.Message.Stamp = x.options.Recorder.Stamp()
	data, err := json.Marshal(a.Message)
	if err != nil {
		return
	}
	x.count(messenger.MethodExchange, "sent", len(data))
	c.Notify(messenger.MethodExchange, json.RawMessage(data))
}

func (x *Exchanger) dial(address string) {
	link := linkTo(address)
	x.dialers[address] = dialer.New(dialer.Options{
		Address: address, Clock: x.options.Clock,
		Messenger: messenger.Options{Self: x.options.Settings.Self, Secret: x.options.Secret, Handle: x.serve},
		OnConnect: func(c *messenger.Conn) {
			x.put(input{event: Event{Kind: EventOpened, Link: link, Peer: c.Peer}, conn: c})
		},
	})
}

// serve handles the messages of a peer to which this process has dialled.
func (x *Exchanger) serve(c *messenger.Conn, m messenger.Message) (any, error) {
	if m.Method == messenger.MethodExchange || m.Method == "" || x.options.Serve == nil {
		return x.Handle(c, m)
	}
	return x.options.Serve(c, m)
}

// list reads the platform's list of the own zone. A failure is repaired by the
// next reading.
func (x *Exchanger) list() {
	o, err := x.options.Store.Get(x.ctx, tracker.ListPrefix+x.options.Settings.Self.AvailabilityZone)
	if err != nil || o.Version == 0 {
		return
	}
	var l tracker.List
	if json.Unmarshal(o.Value, &l) != nil {
		return
	}
	x.put(input{event: Event{Kind: EventListed, List: l}})
}

// write writes the status of the zone. After a failure the next change of the
// status is written.
func (x *Exchanger) write(s cataloger.Status) {
	key := cataloger.StatusPrefix + s.AvailabilityZone
	o, err := x.options.Store.Get(x.ctx, key)
	if err != nil {
		return
	}
	var old cataloger.Status
	if json.Unmarshal(o.Value, &old) == nil && len(s.Reached) > 0 && len(old.Reached) > 0 {
		// Another relay may have written the history before this one.
		merged := old
		for _, r := range s.Reached {
			merged.AddReached(r.Revision, r.Since)
		}
		s.Reached = merged.Reached
	}
	data, err := json.Marshal(s)
	if err != nil {
		return
	}
	_, _ = x.options.Store.Put(x.ctx, key, data, o.Version)
}

func (x *Exchanger) record(a tracker.Action) {
	kinds := map[tracker.State]tracer.Kind{
		tracker.StateLive: tracer.KindMemberJoined, tracker.StateLeaving: tracer.KindMemberLeaving,
		tracker.StateUnreachable: tracer.KindMemberGone, tracker.StateLeft: tracer.KindMemberGone,
	}
	x.options.Recorder.Record(tracer.Event{Kind: kinds[a.Member.State], Upstream: a.Member.Identity, Reason: string(a.Member.State)})
}
