// Package drainer follows the open connections of an HTTP server and closes them when
// the server stops.
//
// Shutdown of [http.Server] loses requests: it closes a connection as idle while the head
// of the next request is read, and drops a request that it has read after it was called.
// A [Drainer] closes a connection only while no request has begun to arrive; see package
// closer.
//
// The goroutine of a drainer owns the set of open connections. It gets the events of the
// connections over a ring, whose senders block while it is full.
//
// # Usage
//
//	d := drainer.New()
//	srv := &http.Server{Handler: h, ConnState: closer.FollowState}
//	go srv.Serve(d.Listen(listener))
//	listener.Close()
//	d.Drain()
//	<-d.Empty()
//	d.Stop()
package drainer

import (
	"context"
	"net"
	"sync/atomic"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// eventsCapacity is the capacity of the ring of events. When it is full, connections
// are accepted and closed more slowly.
const eventsCapacity = 256

type eventKind int

const (
	eventOpened eventKind = iota
	eventClosed
	eventDrain
	eventAwaitEmpty
)

// event is an input of the goroutine. Only the fields of its kind are set.
type event struct {
	kind eventKind
	conn *closer.Conn
	// empty is closed once no connection is open.
	empty chan struct{}
}

// Drainer follows the open connections of a server.
type Drainer struct {
	events *buffer.Ring[event, buffer.Block]
	done   chan struct{}
	open   atomic.Int64
}

// New starts a drainer.
func New() *Drainer {
	d := &Drainer{
		events: buffer.New[event, buffer.Block]("caller_connections", eventsCapacity),
		done:   make(chan struct{}),
	}
	go func() {
		defer close(d.done)
		d.run()
	}()
	return d
}

// run handles events until the ring is closed.
func (d *Drainer) run() {
	open := map[*closer.Conn]struct{}{}
	var awaiting []chan struct{}
	draining := false
	for {
		e, ok := d.events.Take(context.Background())
		if !ok {
			return
		}
		switch e.kind {
		case eventOpened:
			open[e.conn] = struct{}{}
			if draining {
				e.conn.Drain()
			}
		case eventClosed:
			delete(open, e.conn)
		case eventDrain:
			draining = true
			for c := range open {
				c.Drain()
			}
		case eventAwaitEmpty:
			awaiting = append(awaiting, e.empty)
		}
		d.open.Store(int64(len(open)))
		if len(open) > 0 {
			continue
		}
		for _, empty := range awaiting {
			close(empty)
		}
		awaiting = nil
	}
}

// Listen returns a listener whose connections d follows.
func (d *Drainer) Listen(l net.Listener) net.Listener { return listener{Listener: l, drainer: d} }

// Drain closes the idle connections, and each other one once it is idle.
func (d *Drainer) Drain() { d.put(event{kind: eventDrain}) }

// Empty returns a channel that is closed as soon as no connection is open.
func (d *Drainer) Empty() <-chan struct{} {
	empty := make(chan struct{})
	d.put(event{kind: eventAwaitEmpty, empty: empty})
	return empty
}

// Open returns the number of open connections.
func (d *Drainer) Open() int { return int(d.open.Load()) }

// Stats returns the state of the ring of events.
func (d *Drainer) Stats() buffer.Stats { return d.events.Stats() }

// Stop stops the goroutine. Connections that are open stay open.
func (d *Drainer) Stop() {
	d.events.Close()
	<-d.done
}

func (d *Drainer) put(e event) { d.events.Put(context.Background(), e) }

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	drainer *Drainer
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &closer.Conn{Conn: conn, OnClose: func(c *closer.Conn) { l.drainer.put(event{kind: eventClosed, conn: c}) }}
	l.drainer.put(event{kind: eventOpened, conn: c})
	return c, nil
}
