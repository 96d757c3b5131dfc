package drainer

import (
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
	"magnoliafront.dev/magnoliafront/internal/connection/peeker"
)

const (
	// acceptPatience is the time for which connections wait to be accepted before they are
	// refused. It is longer than a connection without a request may be kept from making room.
	acceptPatience = 2 * time.Second
	// refusalPause is acceptPatience after a refusal. Those behind have waited as well.
	refusalPause = 10 * time.Millisecond
)

// followingListener wraps the connections that it accepts.
type followingListener struct {
	net.Listener
	drainer *Drainer
	// patience is the time to wait for room for the next connection.
	patience time.Duration
}

// Accept waits for the next connection that is served. It refuses those for which there is
// no room.
func (l *followingListener) Accept() (net.Conn, error) {
	d := l.drainer
	for {
		admitted := d.awaitRoom(l.patience)
		conn, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		c := d.follow(conn)
		// There may be room since, if it took long until somebody connected.
		if admitted || d.awaitRoom(0) {
			d.put(event{kind: eventOpened, conn: c})
			l.patience = acceptPatience
			return c, nil
		}
		l.patience = refusalPause
		c.OnClose = func(*closer.Conn) { d.put(event{kind: eventRefused}) }
		c.Refuse()
	}
}

// follow returns an accepted connection whose events reach the drainer.
func (d *Drainer) follow(conn net.Conn) *closer.Conn {
	return &closer.Conn{
		Conn: conn, Clock: d.options.Clock,
		Limits:  d.Limits,
		OnClose: func(c *closer.Conn) { d.put(event{kind: eventClosed, conn: c}) },
		OnIdle: func(c *closer.Conn) {
			if d.short.Load() {
				d.put(event{kind: eventConnIdle, conn: c})
			}
		},
	}
}

// awaitRoom waits until another connection may be open, but no longer than patience, and
// reports whether it may.
func (d *Drainer) awaitRoom(patience time.Duration) bool {
	if d.options.MaxConns == 0 {
		return true
	}
	admitted := make(chan bool, 1)
	if !d.put(event{kind: eventAdmit, admitted: admitted, refuseAt: d.options.Clock.Now().Add(patience)}) {
		return true
	}
	return <-admitted
}

// acceptNext waits for the next connection. Once the drainer stops, it returns those that
// wait already, then [net.ErrClosed].
func (l *followingListener) acceptNext() (net.Conn, error) {
	d := l.drainer
	for {
		if d.stopping.Load() && !peeker.HasWaiting(d.listener.Listener) {
			return nil, net.ErrClosed
		}
		conn, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		// The deadline of stopAccepting has passed. Another lets the next call take what
		// waits, and bounds it if the caller has left meanwhile.
		_ = d.listener.Listener.(deadliner).SetDeadline(time.Now().Add(acceptTimeout))
	}
}
