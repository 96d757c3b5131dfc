// Package acceptor takes in connections from other processes of the system.
//
// An [Acceptor] is the duty that accepts on one TCP listener. Each connection
// then has its own read and write duties, which package messenger starts.
// Messages go to the route of their method; a method without a route is
// answered with an error, so that a newer peer learns that this process is
// older.
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

// ringCapacity bounds the connections that wait for the owner duty.
const ringCapacity = 64

// Acceptor accepts connections.
type Acceptor struct {
	listener net.Listener
	accepted *buffer.Ring[*messenger.Conn, buffer.Block]
	ended    *buffer.Ring[*messenger.Conn, buffer.Block]
	closing  chan struct{}
	stopped  chan struct{}
	done     chan struct{}
}

// New listens on address and starts two duties: one accepts, the other owns
// the set of open connections.
func New(address string, o messenger.Options, routes Routes) (*Acceptor, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen on " + address, Kind: ErrorListen, Err: err}
	}
	a := &Acceptor{
		listener: l,
		accepted: buffer.New[*messenger.Conn, buffer.Block]("acceptor_accepted", ringCapacity),
		ended:    buffer.New[*messenger.Conn, buffer.Block]("acceptor_ended", ringCapacity),
		closing:  make(chan struct{}),
		stopped:  make(chan struct{}),
		done:     make(chan struct{}),
	}
	o.Handle = a.handler(routes)
	go func() {
		defer close(a.stopped)
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			a.accepted.Put(context.Background(), messenger.Accept(nc, o))
		}
	}()
	go func() {
		defer close(a.done)
		a.own()
	}()
	return a, nil
}

// Address returns the address on which the acceptor listens.
func (a *Acceptor) Address() string { return a.listener.Addr().String() }

// Stop closes the listener and, once they have sent what is queued, all
// connections.
func (a *Acceptor) Stop() {
	_ = a.listener.Close()
	<-a.stopped
	close(a.closing)
	<-a.done
}

func (a *Acceptor) own() {
	conns := map[*messenger.Conn]struct{}{}
	ctx := context.Background()
	closing := a.closing
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

func (a *Acceptor) handler(routes Routes) messenger.Handler {
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
