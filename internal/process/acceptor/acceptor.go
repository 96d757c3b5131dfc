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
	"context"
	"net"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// Routes maps methods to their handlers. The handler of the empty method is
// called when a connection ends.
type Routes map[string]messenger.Handler

// ringCapacity is the capacity of each ring to the goroutine that tracks the open
// connections.
const ringCapacity = 64

// Acceptor accepts connections on one listener.
type Acceptor struct {
	listener   net.Listener
	accepted   *buffer.Ring[*messenger.Conn, buffer.Block]
	ended      *buffer.Ring[*messenger.Conn, buffer.Block]
	draining   chan struct{}
	acceptDone chan struct{}
	connsDone  chan struct{}
}

// New listens on address and starts two goroutines: one accepts connections, the
// other owns the set of open connections. It replaces the handler in o with one
// that dispatches to routes.
func New(address string, o messenger.Options, routes Routes) (*Acceptor, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen on " + address, Kind: ErrorListen, Err: err}
	}
	a := &Acceptor{
		listener:   l,
		accepted:   buffer.New[*messenger.Conn, buffer.Block]("acceptor_accepted", ringCapacity),
		ended:      buffer.New[*messenger.Conn, buffer.Block]("acceptor_ended", ringCapacity),
		draining:   make(chan struct{}),
		acceptDone: make(chan struct{}),
		connsDone:  make(chan struct{}),
	}
	o.Handle = a.dispatch(routes)
	go func() {
		defer close(a.acceptDone)
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			a.accepted.Put(context.Background(), messenger.Accept(nc, o))
		}
	}()
	go func() {
		defer close(a.connsDone)
		a.trackConns()
	}()
	return a, nil
}

// Address returns the address on which the acceptor listens.
func (a *Acceptor) Address() string { return a.listener.Addr().String() }

// Stop closes the listener, drains the send queues of all connections and closes
// them.
func (a *Acceptor) Stop() {
	_ = a.listener.Close()
	<-a.acceptDone
	close(a.draining)
	<-a.connsDone
}

// trackConns tracks the open connections. When draining is closed, it drains them
// and returns once all have ended.
func (a *Acceptor) trackConns() {
	conns := map[*messenger.Conn]struct{}{}
	ctx := context.Background()
	closing := a.draining
	for closing != nil || len(conns) > 0 {
		select {
		case c := <-a.accepted.C():
			conns[c] = struct{}{}
			go func() {
				<-c.Done()
				a.ended.Put(ctx, c)
			}()
		case c := <-a.ended.C():
			delete(conns, c)
		case <-closing:
			closing = nil
			for c := range conns {
				c.Drain()
			}
		}
	}
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
