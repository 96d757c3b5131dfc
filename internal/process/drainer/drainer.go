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
// The number of connections may be bounded, so that callers cannot use up the descriptors
// of the process. Near the bound, the owner closes the connections that package evictor
// chooses. At the bound, no connection is accepted until one has closed: those that wait in
// the kernel use no descriptor. If all are in use for longer than [acceptPatience], those
// that wait are answered with 503.
//
// # Usage
//
//	d := drainer.Serve(&http.Server{Handler: h}, listener, drainer.Options{Clock: c, Name: "callers", MaxConns: 1000})
//	err := d.Stop(ctx)
package drainer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
	"magnoliafront.dev/magnoliafront/internal/connection/listener"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
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
	eventAdmit
	eventConnIdle
	eventLimits
	eventRefused
	eventStopping
	// eventWake is the time of the next look at the connections.
	eventWake
)

// event is an input of the goroutine. Only the fields of its kind are set.
type event struct {
	kind eventKind
	conn *closer.Conn
	// idle is closed once no connection is open, and handled once the event is handled.
	idle    chan struct{}
	handled chan struct{}
	// admitted gets a value once there is room for another connection, and false if there
	// is none by refuseAt.
	admitted chan bool
	refuseAt time.Time
}

// Options configures a drainer. The zero value sets no bounds.
type Options struct {
	// Clock is the clock of all limits. Deadlines of connections are computed from it, so
	// that it must not fall behind the system's, which it is if it is nil.
	Clock timer.Clock
	// Name is that of the server in log lines and metrics.
	Name string
	// MaxConns is the maximum number of open connections. Zero means no maximum.
	MaxConns int
	// Limits returns the limits of connections. The drainer calls it at its start and
	// after [Drainer.RefreshLimits]. If it is nil, the server sets them.
	Limits func() closer.Limits
}

// Drainer is a running HTTP server and its open connections.
type Drainer struct {
	options  Options
	server   *http.Server
	listener *listener.Listener
	events   *buffer.Ring[event, buffer.Block]
	// accepted is closed when no more connections are accepted, and done when the
	// goroutine that owns the open connections has ended.
	accepted chan struct{}
	done     chan struct{}
	// stopping is true once only connections that wait already are accepted.
	stopping atomic.Bool
	// short is true while no connection is accepted for lack of room.
	short    atomic.Bool
	limits   atomic.Pointer[closer.Limits]
	counters counters
}

// Serve starts to serve connections that l accepts. It wraps the handler of srv and sets its
// hooks ConnState and ConnContext.
func Serve(srv *http.Server, l net.Listener, o Options) *Drainer {
	if o.Clock == nil {
		o.Clock = timer.System{}
	}
	d := &Drainer{
		options: o, server: srv, listener: &listener.Listener{Listener: l, Clock: o.Clock, Name: o.Name},
		events:   buffer.New[event, buffer.Block]("caller_connections", eventsCapacity),
		accepted: make(chan struct{}),
		done:     make(chan struct{}),
	}
	d.loadLimits()
	srv.Handler = closer.Guard(srv.Handler)
	srv.ConnState, srv.ConnContext = closer.FollowState, closer.WithConn
	go func() {
		defer close(d.done)
		(&owner{drainer: d, open: map[*closer.Conn]struct{}{}}).run()
	}()
	go func() {
		defer close(d.accepted)
		_ = srv.Serve(&followingListener{Listener: d.listener, drainer: d, patience: acceptPatience})
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

// Close stops the server at once and cuts off what is in flight.
func (d *Drainer) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.Stop(ctx)
}

// Stats returns the state of the ring of events.
func (d *Drainer) Stats() buffer.Stats { return d.events.Stats() }

// RefreshLimits puts the present limits in force, on open connections too.
func (d *Drainer) RefreshLimits() { d.put(event{kind: eventLimits}) }

// Limits returns the limits in force.
func (d *Drainer) Limits() closer.Limits { return *d.limits.Load() }

func (d *Drainer) loadLimits() {
	l := closer.Limits{}
	if d.options.Limits != nil {
		l = d.options.Limits()
	}
	d.limits.Store(&l)
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
	d.put(event{kind: eventStopping})
	if l, ok := d.listener.Listener.(deadliner); ok && l.SetDeadline(time.Unix(1, 0)) == nil {
		return
	}
	_ = d.listener.Close()
}
