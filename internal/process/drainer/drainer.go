// Package drainer follows the open connections of an HTTP server and closes them when
// the server stops.
//
// Shutdown of [http.Server] loses requests: it closes a connection as idle while the head
// of the next request is read, and drops a request that it has read after it was called.
// A [Drainer] closes a connection only while no request has begun to arrive; see package
// closer.
//
// One goroutine of a drainer accepts connections. Another owns the set of the open ones;
// it gets their events over a ring, whose senders block while it is full.
//
// # Usage
//
//	d := drainer.Serve(&http.Server{Handler: h}, listener)
//	err := d.Stop(ctx)
package drainer

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
	"magnoliafront.dev/magnoliafront/internal/connection/peeker"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// eventsCapacity is the capacity of the ring of events. When it is full, connections
// are accepted and closed more slowly.
const eventsCapacity = 256

// acceptTimeout bounds the call that accepts a connection that waits while the server
// stops.
const acceptTimeout = 100 * time.Millisecond

// deadliner is implemented by listeners that can bound the wait for a connection.
type deadliner interface {
	SetDeadline(time.Time) error
}

type eventKind int

const (
	eventOpened eventKind = iota
	eventClosed
	eventDrain
	eventAwaitIdle
	eventCutOff
)

// event is an input of the goroutine. Only the fields of its kind are set.
type event struct {
	kind eventKind
	conn *closer.Conn
	// idle is closed once no connection is open, and handled once the event is handled.
	idle    chan struct{}
	handled chan struct{}
}

// Drainer is a running HTTP server and its open connections.
type Drainer struct {
	server   *http.Server
	listener net.Listener
	events   *buffer.Ring[event, buffer.Block]
	// accepted is closed when no more connections are accepted, and done when the
	// goroutine that owns the open connections has ended.
	accepted chan struct{}
	done     chan struct{}
	// stopping is true once only connections that wait already are accepted.
	stopping atomic.Bool
}

// Serve starts to serve connections that l accepts. It wraps the handler of srv and sets its
// hooks ConnState and ConnContext.
func Serve(srv *http.Server, l net.Listener) *Drainer {
	d := &Drainer{
		server: srv, listener: l,
		events:   buffer.New[event, buffer.Block]("caller_connections", eventsCapacity),
		accepted: make(chan struct{}),
		done:     make(chan struct{}),
	}
	srv.Handler = closer.Guard(srv.Handler)
	srv.ConnState, srv.ConnContext = closer.FollowState, closer.WithConn
	go func() {
		defer close(d.done)
		d.run()
	}()
	go func() {
		defer close(d.accepted)
		_ = srv.Serve(followingListener{Listener: l, drainer: d})
	}()
	return d
}

// Idle returns a channel that is closed as soon as no connection is open, and at the end of
// Stop.
func (d *Drainer) Idle() <-chan struct{} {
	idle := make(chan struct{})
	if !d.put(event{kind: eventAwaitIdle, idle: idle}) {
		// The server has stopped.
		close(idle)
	}
	return idle
}

// Stop accepts the connections that wait, stops accepting, and closes each open connection
// once no request is in flight on it and none has begun to arrive. It waits until all are
// closed or ctx ends, which cuts off what is left; it then returns the cause of that end.
func (d *Drainer) Stop(ctx context.Context) error {
	d.stopAccepting()
	select {
	case <-d.accepted:
	case <-ctx.Done():
		_ = d.listener.Close()
		<-d.accepted
	}
	d.put(event{kind: eventDrain})
	var err error
	select {
	case <-d.Idle():
	case <-ctx.Done():
		err = context.Cause(ctx)
		d.cutOff()
	}
	_ = d.server.Close()
	d.events.Close()
	<-d.done
	return err
}

// Stats returns the state of the ring of events.
func (d *Drainer) Stats() buffer.Stats { return d.events.Stats() }

// run handles events until the ring is closed.
func (d *Drainer) run() {
	open := map[*closer.Conn]struct{}{}
	var awaiting []chan struct{}
	draining := false
	for {
		e, ok := d.events.Take(context.Background())
		if !ok {
			closeAll(awaiting)
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
		case eventAwaitIdle:
			awaiting = append(awaiting, e.idle)
		case eventCutOff:
			for c := range open {
				c.CutOff()
			}
			close(e.handled)
		}
		if len(open) > 0 {
			continue
		}
		closeAll(awaiting)
		awaiting = nil
	}
}

func closeAll(channels []chan struct{}) {
	for _, c := range channels {
		close(c)
	}
}

// cutOff makes the answers that have not ended look cut off when their connections close.
func (d *Drainer) cutOff() {
	handled := make(chan struct{})
	if d.put(event{kind: eventCutOff, handled: handled}) {
		<-handled
	}
}

func (d *Drainer) put(e event) bool { return d.events.Put(context.Background(), e) }

// stopAccepting ends the goroutine that accepts connections after it has accepted those
// that wait. The kernel would reset them, with the requests that their callers have sent,
// if the listener were closed at once.
func (d *Drainer) stopAccepting() {
	d.stopping.Store(true)
	if l, ok := d.listener.(deadliner); ok && l.SetDeadline(time.Unix(1, 0)) == nil {
		return
	}
	_ = d.listener.Close()
}

// followingListener wraps the connections that it accepts.
type followingListener struct {
	net.Listener
	drainer *Drainer
}

// Accept waits for the next connection.
func (l followingListener) Accept() (net.Conn, error) {
	conn, err := l.acceptNext()
	if err != nil {
		return nil, err
	}
	c := &closer.Conn{Conn: conn, OnClose: func(c *closer.Conn) { l.drainer.put(event{kind: eventClosed, conn: c}) }}
	l.drainer.put(event{kind: eventOpened, conn: c})
	return c, nil
}

// acceptNext waits for the next connection. Once the drainer stops, it returns those that
// wait already, then [net.ErrClosed].
func (l followingListener) acceptNext() (net.Conn, error) {
	d := l.drainer
	for {
		if d.stopping.Load() && !peeker.HasWaiting(l.Listener) {
			return nil, net.ErrClosed
		}
		conn, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		// The deadline of stopAccepting has passed. Another lets the next call take what
		// waits, and bounds it if the caller has left meanwhile.
		_ = l.Listener.(deadliner).SetDeadline(time.Now().Add(acceptTimeout))
	}
}
