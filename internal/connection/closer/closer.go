// Package closer closes the connection of a caller without losing a request.
//
// A server that stops closes the connections on which no request is in flight. On
// HTTP/1.1 it cannot agree on that with the caller, who may send the next request at
// the same moment. A request that the server has not read may be sent again to another
// server, since it certainly did not run. One of which the server has read a part must
// be answered.
//
// A [Conn] counts the bytes that were read since the last answer. A draining connection
// is closed only while there are none, and after one more look at what has arrived. If a
// request has begun to arrive, the connection stays open until it is answered.
//
// An answer without a length or chunks ends with its connection. [Guard] resets the
// connection of one that is cut off, also when the process is killed.
//
// # Usage
//
//	c := &closer.Conn{Conn: accepted, OnClose: forget}
//	srv := &http.Server{Handler: closer.Guard(h), ConnState: closer.FollowState, ConnContext: closer.WithConn}
//	// srv serves c
//	c.Drain()
package closer

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/peeker"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// phase is what a connection is used for at a moment.
type phase int

const (
	// phaseIdle means that no request is being served: the connection is new, or the
	// last answer has ended.
	phaseIdle phase = iota
	// phaseHead means that the server reads the head of a request whose first bytes it
	// read together with the request before.
	phaseHead
	// phaseRequest means that the head of a request has been read and nothing of its
	// answer has been written.
	phaseRequest
	// phaseAnswer means that the answer has begun.
	phaseAnswer
	// phaseEnded means that the server has sent its last byte. What arrives after that
	// is the rest of a body that was too large, or a request that cannot be answered.
	phaseEnded
)

// maxLateBytes is the maximum number of bytes of a head that are read after its deadline,
// since they had arrived before. It is about what the kernel holds for a connection.
const maxLateBytes = 64 << 10

// Conn is the connection of a caller. It knows whether a part of a request that is
// not being served has been read from it.
type Conn struct {
	net.Conn
	// OnClose is called once, when the connection is closed.
	OnClose func(*Conn)
	// OnIdle is called when an answer has ended. It may be nil.
	OnIdle func(*Conn)
	// Limits returns the limits in force. It must not block. If it is nil, the server sets
	// them.
	Limits func() Limits
	// Clock is that of the limits. If it is nil, it is the system's.
	Clock timer.Clock

	mu    sync.Mutex
	phase phase
	// unserved is the number of bytes that were read of a request that is not being
	// served yet.
	unserved int
	// draining is true once the connection is to be closed as soon as it is idle.
	draining bool
	// readDeadline is the deadline that the server has set. While the connection is
	// draining and idle, another is in force. awaited is true once the server has set
	// one since the connection became idle.
	readDeadline time.Time
	awaited      bool
	// lateBytes is the number of bytes of a head that may still be read after the
	// deadline.
	lateBytes int
	closed    bool
	// idleSince is the start of the wait for a request, headSince the time of the first
	// byte of a head and lastRead that of its last one. answered is true once an answer
	// has ended.
	idleSince time.Time
	headSince time.Time
	lastRead  time.Time
	answered  bool
	// headBytes is the number of bytes that had been read when the last head was complete.
	headBytes int
	// evicted is true once the connection is to make room for another, until a byte
	// arrives, and cause why it is closed.
	evicted bool
	cause   Cause
	// handled is true while a handler runs that has not taken the connection over. Nobody
	// else should close the connection meanwhile.
	handled bool
	// unframed is true while only the close of the connection may mark the end of the
	// answer, and handlerReturned once its handler has. See [Guard]. cutOff is true once
	// the connection is closed whatever is in flight on it.
	unframed        bool
	handlerReturned bool
	cutOff          bool
}

// Read reads from the connection. If the deadline passes while it is idle, as on a draining
// connection, or within a head, as when the process was frozen, it returns what has already
// arrived, or an error if there is nothing. It is that of the deadline: at any other,
// net/http may answer 400.
func (c *Conn) Read(p []byte) (int, error) {
	if c.isHeadTooLarge() {
		return 0, c.refuseHead()
	}
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		limit := c.lateLimit(len(p))
		if limit == 0 || peeker.Peek(c.Conn) != peeker.DataAvailable {
			c.endAtTimeout()
			return 0, err
		}
		_ = c.Conn.SetReadDeadline(time.Time{})
		n, err = c.Conn.Read(p[:limit])
		c.recordLateRead(n)
	}
	c.recordRead(n)
	return n, err
}

// lateLimit returns how many of n bytes may be read after the deadline. Within a head they
// are bounded, so that a caller who sends a byte now and then does not keep it open.
func (c *Conn) lateLimit(n int) int {
	if c.isIdle() {
		return n
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitsHead() {
		return min(n, c.lateBytes)
	}
	return 0
}

// recordLateRead counts bytes that were read after the deadline within a head.
func (c *Conn) recordLateRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle() {
		c.lateBytes -= n
	}
}

// recordRead counts bytes that belong to the next request: those that were read while
// the connection was idle, or after the answer had begun, since the body of a request is
// read before that.
func (c *Conn) recordRead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 || c.phase == phaseRequest {
		return
	}
	c.lastRead, c.evicted = c.now(), false
	if c.idle() {
		c.headSince = c.lastRead
	}
	c.unserved += n
	_ = c.applyReadDeadline()
}

// interimPrefix is how an interim response starts, such as 100 Continue. The body of the
// request and the answer follow it. The server writes it in a call of its own.
const interimPrefix = "HTTP/1.1 1"

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.phase == phaseRequest && !bytes.HasPrefix(p, []byte(interimPrefix)) {
		c.phase = phaseAnswer
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SetReadDeadline sets the deadline of reads. It is in force unless the connection is
// draining and idle, or the limits of the connection ask for another.
//
// On an idle connection, net/http sets the deadline for the first bytes of a request, and
// then that for the rest of its head. The first bytes need not have been read meanwhile.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline, c.lateBytes = t, maxLateBytes
	if c.phase == phaseIdle && c.awaited {
		c.phase = phaseHead
		c.beginHead()
	}
	c.awaited = true
	return c.applyReadDeadline()
}

// Close closes the connection. It logs a request that gets no answer, or not all of it
// although its handler has not ended, unless the caller has closed the connection before.
func (c *Conn) Close() error {
	c.mu.Lock()
	first, phase, unserved, handled := !c.closed, c.phase, c.unserved, c.handled
	c.closed = true
	c.unguard()
	reset := c.unframed
	c.mu.Unlock()
	if !first {
		return c.Conn.Close()
	}
	state := peeker.Peek(c.Conn)
	if hasUnanswered(phase, unserved, state) {
		klog.InfoS("connection closed before an answer", "caller", c.RemoteAddr().String(),
			"serving", phase == phaseRequest, "bytes_read", unserved, "bytes_unread", state == peeker.DataAvailable)
	}
	if hasUnfinished(phase, handled, state) {
		klog.InfoS("connection closed within an answer", "caller", c.RemoteAddr().String(), "reset", reset)
	}
	c.OnClose(c)
	return c.Conn.Close()
}

// hasUnanswered reports whether a connection that is closed has at least a part of a request
// without an answer, and its caller waits for one.
func hasUnanswered(p phase, unserved int, s peeker.State) bool {
	if p == phaseEnded || s == peeker.Ended {
		return false
	}
	return p == phaseHead || p == phaseRequest || unserved > 0 || s == peeker.DataAvailable
}

// hasUnfinished reports whether a connection that is closed has a part of an answer whose
// handler has not ended, and its caller waits for the rest.
func hasUnfinished(p phase, handled bool, s peeker.State) bool {
	return handled && p == phaseAnswer && s != peeker.Ended
}

// CloseWrite closes the sending side of the connection.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	c.phase = phaseEnded
	c.unguard()
	c.mu.Unlock()
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// FollowState is the hook of [http.Server] by which a connection knows whether the server
// is serving a request on it.
func FollowState(conn net.Conn, s http.ConnState) {
	if c, ok := conn.(*Conn); ok {
		c.setState(s)
	}
}

func (c *Conn) setState(s http.ConnState) {
	c.followState(s)
	if s == http.StateIdle && c.OnIdle != nil {
		c.OnIdle(c)
	}
}

func (c *Conn) followState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.beginIdle(false)
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.phase, c.awaited = phaseIdle, false
		c.beginIdle(true)
		c.unguard()
	case http.StateHijacked:
		c.handled = false
	}
	_ = c.applyReadDeadline()
}

// beginIdle notes that the server begins to wait for a request, of which a part may have
// been read. answered is true if an answer has ended. The caller holds the lock.
func (c *Conn) beginIdle(answered bool) {
	c.idleSince, c.answered = c.now(), answered
	if c.unserved > 0 {
		c.beginHead()
	}
}

// beginRequest notes that a head has been read. net/http also tells so when it gives one up.
// The caller holds the lock.
func (c *Conn) beginRequest() {
	c.headBytes, c.unserved, c.evicted = c.unserved, 0, false
	if c.phase != phaseEnded {
		c.phase = phaseRequest
	}
}

// beginHead notes that the server begins to read a head of which a part has been read
// before. The caller holds the lock.
func (c *Conn) beginHead() {
	c.headSince = c.now()
	c.lastRead = c.headSince
}

// Drain makes the connection close as soon as it is idle.
func (c *Conn) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	_ = c.applyReadDeadline()
}

func (c *Conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle()
}

// idle reports whether nothing of a request has been read that is not answered. The caller
// holds the lock.
func (c *Conn) idle() bool { return c.phase == phaseIdle && c.unserved == 0 }

// applyReadDeadline puts the deadline in force that the state asks for: a past one wakes
// the server from its wait for the next request. The caller holds the lock.
func (c *Conn) applyReadDeadline() error {
	switch {
	case c.draining && c.idle(), c.evicted && c.awaitsHead():
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	case c.awaitsHead():
		return c.Conn.SetReadDeadline(c.limitDeadline())
	}
	return c.Conn.SetReadDeadline(c.readDeadline)
}
