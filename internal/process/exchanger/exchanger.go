// Package exchanger spreads record revisions and membership among the processes
// by gossip.
//
// Every entry maintains connections to a few entries of its own and of other
// availability zones, every agent to two entries. Each process sends exchange
// messages over these connections: periodically to one peer, round-robin, as
// anti-entropy that repairs lost messages, and at once to all peers when a new
// revision of the records is in force. The messages also carry gossip about some
// entries, from which package tracker derives the membership. The first two live
// entries of each zone by rendezvous hashing are relays: they watch the platform
// for all others.
//
// [Decision] is the state machine that turns events into actions. An [Exchanger]
// runs the goroutine that owns it and the connections.
//
// # Usage
//
//	x := exchanger.New(exchanger.Options{
//		Settings: exchanger.Settings{Self: self, Seeds: peers}, Clock: c, Recorder: rec,
//		OnRelayChange: w.SetRelay, OnPeerRevision: w.SetPeerRevision, OnLinkClosed: w.RemoveLink,
//	})
//	routes[messenger.MethodExchange] = x.Handle
//	x.SetRevision(revision)
//	records, err := x.FetchRecords(ctx, link, query)
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
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// inputCapacity is the capacity of the input ring. When the ring is full, the
// goroutines of the connections block, and TCP flow control passes the
// backpressure on to the peers.
const inputCapacity = 1024

const (
	// broadcastCapacity is the capacity of the ring of broadcasts. Broadcasts are
	// rare, and the oldest is the least urgent, so it is dropped when the ring is
	// full.
	broadcastCapacity = 64
	// countedBroadcastBytes is the fixed size that is passed to Options.Count for a
	// broadcast on one link, in place of its encoded size.
	countedBroadcastBytes = 256
)

// Options configures an exchanger.
type Options struct {
	Settings Settings
	Secret   []byte
	Store    accessor.Store
	Clock    timer.Clock
	Recorder *recorder.Recorder
	// OnRelayChange is called when this process becomes a relay or ceases to be one,
	// OnPeerRevision with the revision of the peer on a link and the number of known
	// entries, and OnLinkClosed when a link ends. They are called on the exchanger's
	// goroutine.
	OnRelayChange  func(on bool)
	OnPeerRevision func(link, identity string, revision int64, knownEntries int)
	OnLinkClosed   func(link string)
	// Handle handles the messages, except exchange messages, of the peers that this
	// process has dialled. It may be nil.
	Handle messenger.Handler
	// OnDialled is called with each connection that this process has dialled. It must
	// not block. It may be nil.
	OnDialled func(c *messenger.Conn)
	// Count is called with the size of each exchange message, broadcast and response
	// to FetchRecords; the direction is "sent" or "received". It may be nil.
	Count func(method, direction string, bytes int)
}

// Exchanger maintains the connections to peers and exchanges messages with them.
type Exchanger struct {
	options  Options
	input    *buffer.Ring[input, buffer.Block]
	statuses *buffer.Ring[cataloger.Status, buffer.DropOldest]
	// inForce and hints hold only the latest revision. Their senders never block,
	// since the exchanger's goroutine may in turn wait for them, which would be a
	// deadlock.
	inForce *buffer.Ring[int64, buffer.DropOldest]
	hints   *buffer.Ring[int64, buffer.DropOldest]
	// broadcasts holds messages for all connected entries.
	broadcasts *buffer.Ring[broadcast, buffer.DropOldest]
	// memberAddresses holds the addresses of the live entries by identity, without
	// this process. The map is replaced and never changed, so that other goroutines
	// may read it.
	memberAddresses atomic.Pointer[map[string]string]
	// ownerCandidates holds the tracker's owner candidates. The slice is replaced and
	// never changed as well.
	ownerCandidates atomic.Pointer[[]string]
	// entryCount is the tracker's estimate of the number of live entries.
	entryCount atomic.Int64
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{}
	statusDone chan struct{}

	// The fields below are owned by the exchanger's goroutine.
	decision      *Decision
	dialers       map[string]*dialer.Dialer
	conns         map[string]*messenger.Conn
	links         map[*messenger.Conn]string
	acceptedCount int
}

// broadcast is a message to all connected entries.
type broadcast struct {
	method string
	params any
}

// input is an event and the connection that it belongs to. If lookup is not nil,
// input is a request for the connection of event.Link instead.
type input struct {
	event  Event
	conn   *messenger.Conn
	lookup chan *messenger.Conn
}

// New starts an exchanger. The caller must call Stop to release it.
func New(o Options) *Exchanger {
	ctx, cancel := context.WithCancel(context.Background())
	x := &Exchanger{
		options: o, ctx: ctx, cancel: cancel, done: make(chan struct{}), statusDone: make(chan struct{}),
		input:      buffer.New[input, buffer.Block]("exchanger_input", inputCapacity),
		statuses:   buffer.New[cataloger.Status, buffer.DropOldest]("exchanger_reports", 1),
		inForce:    buffer.New[int64, buffer.DropOldest]("exchanger_in_force", 1),
		hints:      buffer.New[int64, buffer.DropOldest]("exchanger_hints", 1),
		broadcasts: buffer.New[broadcast, buffer.DropOldest]("exchanger_broadcasts", broadcastCapacity),
		decision:   NewDecision(o.Clock.Now(), o.Settings),
		dialers:    map[string]*dialer.Dialer{}, conns: map[string]*messenger.Conn{}, links: map[*messenger.Conn]string{},
	}
	x.memberAddresses.Store(&map[string]string{})
	x.ownerCandidates.Store(&[]string{o.Settings.Self.Identity})
	x.entryCount.Store(1)
	go func() {
		defer close(x.done)
		for x.step() {
		}
	}()
	go func() {
		defer close(x.statusDone)
		for {
			s, ok := x.statuses.Take(ctx)
			if !ok {
				return
			}
			x.writeStatus(s)
		}
	}()
	return x
}

// Stop ends the goroutines and closes the connections that this process has
// dialled.
func (x *Exchanger) Stop() {
	x.input.Close()
	x.statuses.Close()
	x.cancel()
	<-x.done
	<-x.statusDone
	for _, d := range x.dialers {
		d.Stop()
	}
}

// SetRevision sets the revision that this process has in force.
func (x *Exchanger) SetRevision(revision int64) { x.inForce.Put(x.ctx, revision) }

// HintRevision reports that another process has the given revision. If it is newer
// than the revision of this process, the exchanger sends exchange messages to the
// next two peers, which reply with their revisions.
func (x *Exchanger) HintRevision(revision int64) { x.hints.Put(x.ctx, revision) }

// SetListenAddress sets the address on which this process listens for others.
func (x *Exchanger) SetListenAddress(address string) {
	x.enqueue(input{event: Event{Kind: EventListening, Address: address}})
}

// Members returns the addresses of the live entries by identity, without this
// process. The map must not be changed.
func (x *Exchanger) Members() map[string]string { return *x.memberAddresses.Load() }

// OwnerCandidates returns the identities of the entries among which the owner of a
// shared task is selected. All entries have the same candidates. The slice must
// not be changed.
func (x *Exchanger) OwnerCandidates() []string { return *x.ownerCandidates.Load() }

// EntryCount returns the estimated number of live entries, this process included.
func (x *Exchanger) EntryCount() int { return int(x.entryCount.Load()) }

// Broadcast sends a message to all connected entries. It does not block; when too
// many broadcasts wait, the oldest is dropped.
func (x *Exchanger) Broadcast(method string, params any) {
	x.broadcasts.Put(x.ctx, broadcast{method, params})
}

// Leave announces to the peers that this process is leaving.
func (x *Exchanger) Leave() { x.enqueue(input{event: Event{Kind: EventLeaving}}) }

// Stats returns the statistics of the rings.
func (x *Exchanger) Stats() []buffer.Stats {
	return []buffer.Stats{x.input.Stats(), x.statuses.Stats(), x.inForce.Stats(), x.hints.Stats(), x.broadcasts.Stats()}
}

// Handle processes exchange messages. It treats any other method as the end of the
// connection, which package messenger reports with an empty method. It is a
// [messenger.Handler].
func (x *Exchanger) Handle(c *messenger.Conn, m messenger.Message) (any, error) {
	e := Event{Kind: EventMessageReceived, Peer: c.Peer}
	switch m.Method {
	case messenger.MethodExchange:
		x.count(m.Method, "received", len(m.Params))
		if err := m.Decode(&e.Message); err != nil {
			return nil, err
		}
		x.options.Recorder.Merge(e.Message.Stamp)
	default:
		e.Kind = EventLinkClosed
	}
	x.enqueue(input{event: e, conn: c})
	return nil, nil
}

// FetchRecords requests records from the peer on a link.
func (x *Exchanger) FetchRecords(ctx context.Context, link string, q messenger.FetchRecords) (*messenger.Records, error) {
	request := input{event: Event{Link: link}, lookup: make(chan *messenger.Conn, 1)}
	x.enqueue(request)
	op := "fetch records on link " + link
	var c *messenger.Conn
	select {
	case c = <-request.lookup:
	case <-ctx.Done():
	case <-x.done:
	}
	if c == nil {
		return nil, &Error{Op: op, Kind: ErrorNoLink, Err: errors.New("the link has ended")}
	}
	var raw json.RawMessage
	if err := c.Call(ctx, messenger.MethodFetchRecords, q, &raw); err != nil {
		return nil, &Error{Op: op, Kind: ErrorPeer, Err: err}
	}
	x.count(messenger.MethodFetchRecords, "received", len(raw))
	var r messenger.Records
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, &Error{Op: op, Kind: ErrorPeer, Err: err}
	}
	return &r, nil
}

func (x *Exchanger) enqueue(i input) { x.input.Put(x.ctx, i) }

func (x *Exchanger) count(method, direction string, bytes int) {
	if x.options.Count != nil {
		x.options.Count(method, direction, bytes)
	}
}

// step processes one input. It returns false after Stop.
func (x *Exchanger) step() bool {
	wake, stop := x.options.Clock.After(x.decision.Wake().Sub(x.options.Clock.Now()))
	defer stop()
	i := input{event: Event{Kind: EventTicked}}
	select {
	case i = <-x.input.C():
	case r := <-x.inForce.C():
		i.event = Event{Kind: EventRevisionInForce, Revision: r}
	case r := <-x.hints.C():
		i.event = Event{Kind: EventRevisionHint, Revision: r}
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
	if i.conn != nil && !x.resolveLink(&i) {
		return true
	}
	membersChanged := false
	for _, a := range x.decision.Step(x.options.Clock.Now(), i.event) {
		x.execute(a)
		membersChanged = membersChanged || a.Kind == ActionMemberChanged
	}
	if membersChanged {
		x.publishMembers()
	}
	return true
}

// publishMembers replaces the addresses of the live entries, the owner candidates
// and the number of entries.
func (x *Exchanger) publishMembers() {
	members := map[string]string{}
	for _, m := range x.decision.Tracker.Live("") {
		if m.Identity != x.options.Settings.Self.Identity {
			members[m.Identity] = m.Address
		}
	}
	x.memberAddresses.Store(&members)
	owners := x.decision.Tracker.OwnerCandidates()
	x.ownerCandidates.Store(&owners)
	x.entryCount.Store(int64(x.decision.Tracker.EstimateEntries()))
}

func (x *Exchanger) broadcast(b broadcast) {
	for _, c := range x.conns {
		if c.Peer.Role == messenger.RoleEntry {
			x.count(b.method, "sent", countedBroadcastBytes)
			c.Notify(b.method, b.params)
		}
	}
}

// resolveLink sets the link of the event from its connection. It returns false if
// the event reports the end of a connection that is unknown or was replaced.
func (x *Exchanger) resolveLink(i *input) bool {
	link, known := x.links[i.conn]
	switch {
	case i.event.Kind == EventLinkClosed:
		if !known {
			return false
		}
		delete(x.links, i.conn)
		if x.conns[link] != i.conn {
			// A new connection has replaced this one on the link.
			return false
		}
		delete(x.conns, link)
	case i.event.Kind == EventLinkOpened:
		link = i.event.Link
		x.conns[link], x.links[i.conn] = i.conn, link
	case !known:
		x.acceptedCount++
		link = "from " + i.conn.Peer.Identity + " " + strconv.Itoa(x.acceptedCount)
		x.conns[link], x.links[i.conn] = i.conn, link
	}
	i.event.Link = link
	return true
}
