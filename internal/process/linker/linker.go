// Package linker sends messages to other entries by their identity.
//
// An entry seldom needs a certain other one: for the limit of an organisation
// that the other owns, say. A [Linker] is a duty that dials on demand, keeps a
// few messages until the connection is there, and hangs up when a connection
// has not been used for a while. So the number of connections follows use and
// not the square of the fleet.
//
// # Usage
//
//	l := linker.New(linker.Options{Self: self, Secret: secret, Clock: c, Members: x.Members})
//	ok := l.Send("entry-2", messenger.MethodReport, report)
package linker

import (
	"context"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/dialer"
	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// inputCapacity is the number of messages that may wait for the duty. A full
	// ring refuses, as if there were no connection.
	inputCapacity = 512
	// maxPending bounds the messages that wait for one connection.
	maxPending = 32
	// idleTime is the time after which an unused connection is closed.
	idleTime = time.Minute
)

// Options configures a linker.
type Options struct {
	Self   messenger.Peer
	Secret []byte
	Clock  timer.Clock
	// Members returns the addresses of the live entries by identity. It must not
	// wait.
	Members func() map[string]string
	// Handle takes in the messages of the entries to which this one has dialled.
	// It may be nil.
	Handle messenger.Handler
	// Count is called with the method of each message that is sent. It may be
	// nil.
	Count func(method string)
}

// Linker keeps connections to other entries.
type Linker struct {
	options Options
	input   *buffer.Ring[message, buffer.Reject]
	events  *buffer.Ring[event, buffer.Block]
	done    chan struct{}
	// links is owned by the duty.
	links map[string]*link
}

type message struct {
	identity string
	method   string
	params   any
}

type event struct {
	link *link
	conn *messenger.Conn
	// closed is true for the end of a connection.
	closed bool
}

type link struct {
	dialer  *dialer.Dialer
	address string
	conn    *messenger.Conn
	pending []message
	used    time.Time
}

// New starts a linker.
func New(o Options) *Linker {
	l := &Linker{
		options: o,
		input:   buffer.New[message, buffer.Reject]("linker_input", inputCapacity),
		events:  buffer.New[event, buffer.Block]("linker_events", inputCapacity),
		done:    make(chan struct{}),
		links:   map[string]*link{},
	}
	go func() {
		defer close(l.done)
		for l.step() {
		}
	}()
	return l
}

// Send queues a message for the entry with the given identity. It reports
// false if the message cannot be sent; true is no proof that it arrives.
func (l *Linker) Send(identity, method string, params any) bool {
	if _, ok := l.options.Members()[identity]; !ok {
		return false
	}
	return l.input.Put(context.Background(), message{identity, method, params})
}

// Stop ends the duty and closes all connections.
func (l *Linker) Stop() {
	l.input.Close()
	l.events.Close()
	<-l.done
	for _, k := range l.links {
		k.dialer.Stop()
	}
}

// Stats returns the states of the rings.
func (l *Linker) Stats() []buffer.Stats { return []buffer.Stats{l.input.Stats(), l.events.Stats()} }

func (l *Linker) step() bool {
	wake, stop := l.options.Clock.After(idleTime)
	defer stop()
	select {
	case m := <-l.input.C():
		l.send(m)
	case e := <-l.events.C():
		l.take(e)
	case <-wake:
		l.hangUp()
	case <-l.input.Done():
		return false
	}
	return true
}

func (l *Linker) send(m message) {
	address, ok := l.options.Members()[m.identity]
	if !ok {
		return
	}
	k := l.links[m.identity]
	if k != nil && k.address != address {
		go k.dialer.Stop()
		k = nil
	}
	if k == nil {
		k = l.dial(address)
		l.links[m.identity] = k
	}
	k.used = l.options.Clock.Now()
	switch {
	case k.conn != nil:
		l.notify(k, m)
	case len(k.pending) < maxPending:
		k.pending = append(k.pending, m)
	}
	l.hangUp()
}

func (l *Linker) notify(k *link, m message) {
	if l.options.Count != nil {
		l.options.Count(m.method)
	}
	k.conn.Notify(m.method, m.params)
}

func (l *Linker) dial(address string) *link {
	k := &link{address: address}
	handle := func(c *messenger.Conn, m messenger.Message) (any, error) {
		if m.Method == "" {
			l.events.Put(context.Background(), event{link: k, conn: c, closed: true})
			return nil, nil
		}
		if l.options.Handle == nil {
			return nil, nil
		}
		return l.options.Handle(c, m)
	}
	k.dialer = dialer.New(dialer.Options{
		Address: address, Clock: l.options.Clock,
		Messenger: messenger.Options{Self: l.options.Self, Secret: l.options.Secret, Handle: handle},
		OnConnect: func(c *messenger.Conn) {
			l.events.Put(context.Background(), event{link: k, conn: c})
		},
	})
	return k
}

func (l *Linker) take(e event) {
	if e.closed {
		if e.link.conn == e.conn {
			e.link.conn = nil
		}
		return
	}
	e.link.conn = e.conn
	for _, m := range e.link.pending {
		l.notify(e.link, m)
	}
	e.link.pending = nil
}

func (l *Linker) hangUp() {
	now := l.options.Clock.Now()
	for identity, k := range l.links {
		if now.Sub(k.used) >= idleTime {
			delete(l.links, identity)
			// The dialer may be reporting to this duty, so it is not waited for.
			go k.dialer.Stop()
		}
	}
}
