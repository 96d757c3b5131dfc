// Package acceptor accepts connections from other processes of the system.
//
// An [Acceptor] runs a goroutine that accepts connections on one TCP listener.
// Package messenger starts a reader and a writer goroutine for each connection. A
// message is dispatched to the handler of its method. For a method without a
// handler the response is an error, from which a peer of a newer version learns
// that this process does not support the method.
//
// # Usage
//
//	a, err := acceptor.New("10.0.0.5:9001", options, acceptor.Routes{
//		messenger.MethodSubmit: executor.Handle,
//	})
//	defer a.Stop()
package acceptor

import (
	"net"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/listener"
	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// Routes maps methods to their handlers. The handler of the empty method is
// called when a connection ends.
type Routes map[string]messenger.Handler

// ringCapacity is the capacity of each ring to the goroutine that tracks the open
// connections.
const ringCapacity = 64

// Limits bounds the connections of an acceptor. Zero means no bound.
type Limits struct {
	// Clock is the clock of all waits. If it is nil, it is the system's.
	Clock timer.Clock
	// MaxConns is the maximum number of connections, and MaxUnauthenticated that of
	// connections whose handshake is not complete.
	MaxConns           int
	MaxUnauthenticated int
}

// Acceptor accepts connections on one listener.
type Acceptor struct {
	listener   *listener.Listener
	limits     Limits
	accepted   *buffer.Ring[*messenger.Conn, buffer.Block]
	ended      *buffer.Ring[*messenger.Conn, buffer.Block]
	admissions *buffer.Ring[admission, buffer.Block]
	draining   chan struct{}
	acceptDone chan struct{}
	connsDone  chan struct{}
	counters   counters
}

// New is [NewLimited] without limits.
func New(address string, o messenger.Options, routes Routes) (*Acceptor, error) {
	return NewLimited(address, o, routes, Limits{})
}

// NewLimited listens on address and starts two goroutines: one accepts connections, the
// other owns the set of open connections. It replaces the handler in o with one
// that dispatches to routes.
func NewLimited(address string, o messenger.Options, routes Routes, limits Limits) (*Acceptor, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen on " + address, Kind: ErrorListen, Err: err}
	}
	if limits.Clock == nil {
		limits.Clock = timer.System{}
	}
	a := &Acceptor{
		listener:   &listener.Listener{Listener: l, Clock: limits.Clock, Name: "peers"},
		limits:     limits,
		accepted:   buffer.New[*messenger.Conn, buffer.Block]("acceptor_accepted", ringCapacity),
		ended:      buffer.New[*messenger.Conn, buffer.Block]("acceptor_ended", ringCapacity),
		admissions: buffer.New[admission, buffer.Block]("acceptor_admissions", 1),
		draining:   make(chan struct{}),
		acceptDone: make(chan struct{}),
		connsDone:  make(chan struct{}),
	}
	o.Handle = a.dispatch(routes)
	go func() {
		defer close(a.acceptDone)
		patience, ok := acceptPatience, true
		for ok {
			patience, ok = a.acceptNext(o, patience)
		}
	}()
	go func() {
		defer close(a.connsDone)
		(&tracker{acceptor: a, conns: map[*messenger.Conn]struct{}{}, unauthenticated: map[*messenger.Conn]time.Time{}}).run()
	}()
	return a, nil
}

// Address returns the address on which the acceptor listens.
func (a *Acceptor) Address() string { return a.listener.Addr().String() }

// Stop closes the listener, drains the send queues of all connections and closes
// them.
func (a *Acceptor) Stop() {
	_ = a.listener.Close()
	a.admissions.Close()
	<-a.acceptDone
	close(a.draining)
	<-a.connsDone
}

// dispatch returns a handler that calls the handler of the message's method.
func (a *Acceptor) dispatch(routes Routes) messenger.Handler {
	return func(c *messenger.Conn, m messenger.Message) (any, error) {
		h := routes[m.Method]
		if h == nil && m.Method == "" {
			return nil, nil
		}
		if h == nil {
			return nil, &Error{Op: "route", Kind: ErrorMethod, Err: errors.Errorf("method %q is not known", m.Method)}
		}
		return h(c, m)
	}
}
