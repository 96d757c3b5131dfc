// Package bounder bounds what the connections of callers hold before their requests are
// served.
//
// The kernel keeps bytes that have arrived and were not read in the receive buffer of the
// socket, and bytes that the caller has not read in its send buffer, and lets both grow to
// several megabytes. A [Listener] gives the buffers a fixed size, which the accepted
// connections take from it.
//
// net/http collects the head of a request in memory, and a head of many short lines takes
// many times its size there. A [Conn] counts the head as it is read, with a constant for
// each line, and reserves what exceeds a share. If there is no room, it answers 503 and
// ends the connection. [Guard] tells it where a head ends: what a request holds while it is
// served is the parsed head, and the body is reserved by package collector.
//
// # Usage
//
//	l, err := bounder.Listen(ctx, address, bounder.Options{Heads: memory.Heads, Clock: c})
//	srv := &http.Server{Handler: bounder.Guard(h)}
//	drainer.Serve(srv, l)
package bounder

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// lineBytes is what a line of a head counts besides its own bytes: about what the
	// parsed form of a short one takes in memory.
	lineBytes = 256
	// shareBytes is the size of a head that is held without a reservation.
	shareBytes = 8 << 10
	// logInterval is the minimum time between two log lines about refused heads.
	logInterval = time.Second
	// refusal is the answer to a request whose head finds no room.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// errNoMemory ends a connection whose head finds no room.
var errNoMemory = errors.New("the memory for heads is used up")

// Options configures a listener.
type Options struct {
	// Config is used to listen, but for its Control.
	Config net.ListenConfig
	// Heads is the budget of all heads together. Nil means that there is none.
	Heads *reserver.Budget
	Clock timer.Clock
}

// Listener accepts connections whose heads are counted.
type Listener struct {
	*net.TCPListener
	heads *reserver.Budget
	clock timer.Clock
	// loggedAt is the time of the last log line in nanoseconds.
	loggedAt atomic.Int64
}

// Listen listens on a TCP address.
func Listen(ctx context.Context, address string, o Options) (*Listener, error) {
	o.Config.Control = setBuffers
	l, err := o.Config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener), heads: o.Heads, clock: o.Clock}, nil
}

// setBuffers sets the sizes of the buffers of a socket.
func setBuffers(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		for _, option := range [...]int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
			if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, reserver.SocketBytes); err != nil {
				optionErr = err
			}
		}
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &Conn{TCPConn: conn, listener: l, account: l.heads.Open()}, nil
}

// logRefusal logs a refused head unless one was logged shortly before.
func (l *Listener) logRefusal(caller net.Addr, counted int64) {
	now, last := l.clock.Now().UnixNano(), l.loggedAt.Load()
	if now-last >= int64(logInterval) && l.loggedAt.CompareAndSwap(last, now) {
		klog.InfoS("head not read", "cause", "no_room", "caller", caller.String(), "counted", counted, "refused", l.heads.Stats().Refused)
	}
}

// Conn is the connection of a caller. The server reads heads from it one after another; a
// read beside that, while a request is served, is not counted.
type Conn struct {
	*net.TCPConn
	listener *Listener
	account  *reserver.Account
	// serving is true while a request is served, from the end of its head on.
	serving atomic.Bool
	// counted is the size of the head so far, with lineBytes for each line, and reserved
	// the number of bytes that are reserved for it.
	counted  atomic.Int64
	reserved atomic.Int64
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 || c.serving.Load() {
		return n, err
	}
	counted := c.counted.Add(int64(n + lineBytes*bytes.Count(p[:n], []byte("\n"))))
	if c.hold(counted) {
		return n, err
	}
	c.listener.logRefusal(c.RemoteAddr(), counted)
	_, _ = c.Write([]byte(refusal))
	// net/http closes the connection after an error of this type and writes no answer.
	return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errNoMemory}
}

// hold reserves what a head of the given size takes beyond its share. It reports false if
// there is no room.
func (c *Conn) hold(size int64) bool {
	want := max(0, size-shareBytes)
	more := want - c.reserved.Load()
	if more <= 0 {
		c.account.Release(int(-more))
	} else if !c.account.Reserve(int(more)) {
		return false
	}
	c.reserved.Add(more)
	return true
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.account.Close()
	return c.TCPConn.Close()
}

// beginServing ends the count of a head, which takes size bytes in its parsed form.
func (c *Conn) beginServing(size int64) {
	c.serving.Store(true)
	// The parsed head may be smaller than what was counted, which includes the beginning of
	// the body. If it is larger, what is reserved stays.
	c.hold(min(size, max(shareBytes, c.counted.Load())))
}

// endServing begins the count of the next head.
func (c *Conn) endServing() {
	c.counted.Store(0)
	c.hold(0)
	c.serving.Store(false)
}

// Guard wraps the handler of a server whose connections come from a [Listener].
func Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c, ok := closer.Accepted(req.Context()).(*Conn)
		if !ok {
			next.ServeHTTP(w, req)
			return
		}
		c.beginServing(headBytes(req.Header))
		defer c.endServing()
		next.ServeHTTP(w, req)
	})
}

// headBytes returns what a parsed head takes in memory.
func headBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + lineBytes
		}
	}
	return int64(n)
}
