// Package linker sends messages to other entries by their identity.
//
// An entry rarely needs to send a message to one particular entry, for example to
// the owner of an organisation's limit. A [Linker] runs a goroutine that dials on demand, queues a
// few messages until the connection is open, and closes connections that have been
// idle for a while. The number of connections thus depends on use and does not grow
// with the square of the fleet's size.
//
// # Usage
//
//	l := linker.New(linker.Options{Self: self, Secret: secret, Clock: c, Members: x.Members})
//	ok := l.Send("entry-2", messenger.MethodReport, report)
package linker

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/dialer"
	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/recoverer"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// ringCapacity is the capacity of the message ring and of the ring of connection
	// events. When the message ring is full, Send returns false, as for an unknown
	// entry.
	ringCapacity = 512
	// maxPendingMessages bounds the messages that wait until one connection is open.
	// Further messages are dropped and counted.
	maxPendingMessages = 32
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = time.Minute
)

// Options configures a linker.
type Options struct {
	Self   messenger.Peer
	Secret []byte
	Clock  timer.Clock
	// Members returns the addresses of the live entries by identity. It must not
	// block.
	Members func() map[string]string
	// Handle handles the messages on the connections that this entry has dialled. It
	// may be nil.
	Handle messenger.Handler
	// Count is called with the method of each message before it is sent. It may be
	// nil.
	Count func(method string)
	// MaxLinks is the maximum number of entries to which connections are kept. Messages to
	// further ones are dropped and counted. Zero means no maximum.
	MaxLinks int
	// Recoverer handles panics of Handle. It may be nil.
	Recoverer *recoverer.Recoverer
}

// Linker maintains connections to other entries.
type Linker struct {
	options    Options
	messages   *buffer.Ring[outMessage, buffer.Reject]
	connEvents *buffer.Ring[connEvent, buffer.Block]
	done       chan struct{}
	// dropped counts the messages for which no room was left on a link, or for a link.
	dropped atomic.Uint64
	// links holds the links by identity. It is owned by the linker's goroutine.
	links map[string]*link
}

// outMessage is a message to the entry with the given identity.
type outMessage struct {
	identity string
	method   string
	params   any
}

// connEvent reports that a connection of a link was opened or has ended.
type connEvent struct {
	link *link
	conn *messenger.Conn
	// closed is true if the connection has ended.
	closed bool
}

// link is the state of the connection to one entry.
type link struct {
	dialer          *dialer.Dialer
	address         string
	conn            *messenger.Conn
	pendingMessages []outMessage
	lastUsed        time.Time
}

// New starts a linker. The caller must call Stop to release it.
func New(o Options) *Linker {
	l := &Linker{
		options:    o,
		messages:   buffer.New[outMessage, buffer.Reject]("linker_input", ringCapacity),
		connEvents: buffer.New[connEvent, buffer.Block]("linker_events", ringCapacity),
		done:       make(chan struct{}),
		links:      map[string]*link{},
	}
	go func() {
		defer close(l.done)
		for l.step() {
		}
	}()
	return l
}

// Send queues a message for the entry with the given identity. It returns false if
// the entry is not live or the ring is full. The message may be lost even if Send
// returns true.
func (l *Linker) Send(identity, method string, params any) bool {
	if _, ok := l.options.Members()[identity]; !ok {
		return false
	}
	return l.messages.Put(context.Background(), outMessage{identity, method, params})
}

// Stop ends the goroutine and closes all connections.
func (l *Linker) Stop() {
	l.messages.Close()
	l.connEvents.Close()
	<-l.done
	for _, k := range l.links {
		k.dialer.Stop()
	}
}

// Stats returns the statistics of the rings, and the number of messages that were
// dropped while they waited for a connection.
func (l *Linker) Stats() []buffer.Stats {
	pending := buffer.Stats{Name: "linker_pending", Capacity: maxPendingMessages, Dropped: l.dropped.Load()}
	return []buffer.Stats{l.messages.Stats(), l.connEvents.Stats(), pending}
}

// step processes one message, connection event or timeout. It returns false after
// Stop.
func (l *Linker) step() bool {
	wake, stop := l.options.Clock.After(idleTimeout)
	defer stop()
	select {
	case m := <-l.messages.C():
		l.deliver(m)
	case e := <-l.connEvents.C():
		l.handleConnEvent(e)
	case <-wake:
		l.closeIdle()
	case <-l.messages.Done():
		return false
	}
	return true
}

// deliver sends a message, or queues it until the connection is open. It dials if
// there is no link to the entry or the entry's address has changed.
func (l *Linker) deliver(m outMessage) {
	address, ok := l.options.Members()[m.identity]
	if !ok {
		return
	}
	k := l.links[m.identity]
	if k != nil && k.address != address {
		go k.dialer.Stop()
		k = nil
	}
	if k == nil && l.isFull() {
		l.dropped.Add(1)
		l.closeIdle()
		return
	}
	if k == nil {
		k = l.dial(address)
		l.links[m.identity] = k
	}
	k.lastUsed = l.options.Clock.Now()
	switch {
	case k.conn != nil:
		l.notify(k, m)
	default:
		l.queue(k, m)
	}
	l.closeIdle()
}

// isFull reports whether no other entry may be dialled.
func (l *Linker) isFull() bool {
	return l.options.MaxLinks > 0 && len(l.links) >= l.options.MaxLinks
}

// queue adds a message to those that wait for the connection. A load report replaces
// the last one: reports are sent all the time, and would leave no room for strikes.
func (l *Linker) queue(k *link, m outMessage) {
	isLoad := func(other outMessage) bool { return other.method == messenger.MethodLoad }
	if isLoad(m) {
		k.pendingMessages = slices.DeleteFunc(k.pendingMessages, isLoad)
	}
	if len(k.pendingMessages) >= maxPendingMessages {
		l.dropped.Add(1)
		return
	}
	k.pendingMessages = append(k.pendingMessages, m)
}

func (l *Linker) notify(k *link, m outMessage) {
	if l.options.Count != nil {
		l.options.Count(m.method)
	}
	k.conn.Notify(m.method, m.params)
}

// dial starts a dialer for address and returns its link.
func (l *Linker) dial(address string) *link {
	k := &link{address: address}
	handle := func(c *messenger.Conn, m messenger.Message) (any, error) {
		if m.Method == "" {
			l.connEvents.Put(context.Background(), connEvent{link: k, conn: c, closed: true})
			return nil, nil
		}
		if l.options.Handle == nil {
			return nil, nil
		}
		return l.options.Handle(c, m)
	}
	k.dialer = dialer.New(dialer.Options{
		Address: address, Clock: l.options.Clock,
		Messenger: messenger.Options{Self: l.options.Self, Secret: l.options.Secret, Handle: handle, Recoverer: l.options.Recoverer},
		OnConnect: func(c *messenger.Conn) {
			l.connEvents.Put(context.Background(), connEvent{link: k, conn: c})
		},
	})
	return k
}

// handleConnEvent updates the connection of a link and sends the pending messages
// on a new connection.
func (l *Linker) handleConnEvent(e connEvent) {
	if e.closed {
		if e.link.conn == e.conn {
			e.link.conn = nil
		}
		return
	}
	e.link.conn = e.conn
	for _, m := range e.link.pendingMessages {
		l.notify(e.link, m)
	}
	e.link.pendingMessages = nil
}

// closeIdle closes the links that have been idle for idleTimeout.
func (l *Linker) closeIdle() {
	now := l.options.Clock.Now()
	for identity, k := range l.links {
		if now.Sub(k.lastUsed) >= idleTimeout {
			delete(l.links, identity)
			// The dialer may be blocked on the ring of connection events, which this
			// goroutine drains, so waiting for Stop here could deadlock.
			go k.dialer.Stop()
		}
	}
}
