package closer

import (
	"context"
	"io"
	"os"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/evictor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// headTooLargeAnswer is the answer to a request whose head is too large, without a
	// handler. The request has not run.
	headTooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"
	// headTimeoutAnswer is the answer to a request whose head takes too long. net/http takes
	// a part of a request line for a malformed one, and would answer with 400.
	headTimeoutAnswer = "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n408 Request Timeout"
	// refusedAnswer is the answer to a connection that gets no place in the server.
	refusedAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n503 Service Unavailable"
	// maxDiscardedBytes and discardTimeout bound what is read after such an answer. A close
	// with unread bytes would reset the connection, and the caller might lose the answer.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 500 * time.Millisecond
	// refusalTimeout is discardTimeout for a refused connection, whose request has usually
	// arrived while it waited, and for a head of which nothing more arrives.
	refusalTimeout = 10 * time.Millisecond
)

// Limits bound what a caller may do between two answers. The server sets the limits whose
// fields are zero.
type Limits struct {
	// HeadTimeout is the maximum time from the first byte of a request to the end of its
	// head.
	HeadTimeout time.Duration
	// IdleTimeout is the maximum time from the end of an answer, or from the start of the
	// connection, to the first byte of a request.
	IdleTimeout time.Duration
	// MaxHeadBytes is the maximum size of the head of a request.
	MaxHeadBytes int
}

// Cause is why a connection was closed, if a limit was.
type Cause int

// The causes.
const (
	// CauseOther stands for all other causes, such as a caller that has left.
	CauseOther Cause = iota
	CauseIdleTimeout
	CauseHeadTimeout
	CauseHeadTooLarge
	// CauseEvicted means that the connection made room for another.
	CauseEvicted
	// CauseCount is the number of causes.
	CauseCount
)

// String returns the name of the cause in metrics.
func (c Cause) String() string {
	return [CauseCount]string{"other", "idle_timeout", "head_timeout", "head_too_large", "evicted"}[c]
}

// Cause returns why the connection was closed.
func (c *Conn) Cause() Cause {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cause
}

// Activity returns what the connection is used for.
func (c *Conn) Activity() evictor.Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activity()
}

// activity is [Conn.Activity] for a caller that holds the lock.
func (c *Conn) activity() evictor.Connection {
	switch {
	case c.closed || c.evicted || !c.awaitsHead():
		return evictor.Connection{Activity: evictor.ActivityBusy}
	case !c.idle():
		return evictor.Connection{Activity: evictor.ActivityHead, Since: c.lastRead}
	case c.answered:
		return evictor.Connection{Activity: evictor.ActivityIdle, Since: c.idleSince}
	}
	return evictor.Connection{Activity: evictor.ActivitySilent, Since: c.idleSince}
}

// Evict closes the connection to make room, unless its activity is no longer the given one,
// or bytes have arrived. It reports whether it was so far.
func (c *Conn) Evict(chosen evictor.Connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if chosen.Activity == evictor.ActivityBusy || c.activity() != chosen {
		return false
	}
	c.evicted = true
	_ = c.applyReadDeadline()
	return true
}

// ApplyLimits puts changed limits in force.
func (c *Conn) ApplyLimits() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.applyReadDeadline()
}

// now returns the present time.
func (c *Conn) now() time.Time {
	if c.Clock == nil {
		return timer.System{}.Now()
	}
	return c.Clock.Now()
}

// limits returns the limits in force.
func (c *Conn) limits() Limits {
	if c.Limits == nil {
		return Limits{}
	}
	return c.Limits()
}

// awaitsHead reports whether the server waits for a request or for the rest of its head.
// The caller holds the lock.
func (c *Conn) awaitsHead() bool { return c.phase == phaseIdle || c.phase == phaseHead }

// limitDeadline returns the read deadline that the limits ask for while the server waits
// for a head. The caller holds the lock.
func (c *Conn) limitDeadline() time.Time {
	l := c.limits()
	switch {
	case c.idle() && l.IdleTimeout > 0:
		return c.idleSince.Add(l.IdleTimeout)
	case !c.idle() && l.HeadTimeout > 0:
		return c.headSince.Add(l.HeadTimeout)
	}
	return c.readDeadline
}

// endAtTimeout notes why the read deadline has passed. A head that is too slow is answered.
func (c *Conn) endAtTimeout() {
	if c.recordTimeout() {
		c.answerAndDiscard(headTimeoutAnswer, refusalTimeout)
	}
}

// recordTimeout is the first part of [Conn.endAtTimeout]. It reports whether a part of a
// head has arrived.
func (c *Conn) recordTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaitsHead() || c.draining && c.idle() {
		return false
	}
	switch {
	case c.evicted:
		c.cause = CauseEvicted
	case c.idle():
		c.cause = CauseIdleTimeout
	default:
		c.cause = CauseHeadTimeout
	}
	return !c.idle()
}

// isHeadTooLarge reports whether the server asks for more of a head than there may be.
func (c *Conn) isHeadTooLarge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.limits().MaxHeadBytes
	return limit > 0 && c.awaitsHead() && c.unserved >= limit
}

// refuseHead answers a request whose head is too large. It returns the error at which
// net/http writes no answer of its own.
func (c *Conn) refuseHead() error {
	c.mu.Lock()
	c.cause = CauseHeadTooLarge
	c.mu.Unlock()
	c.answerAndDiscard(headTooLargeAnswer, discardTimeout)
	return os.ErrDeadlineExceeded
}

// Refuse answers with 503 and closes the connection, on which nothing was read. The request
// of the caller, if any, has not run.
func (c *Conn) Refuse() {
	c.answerAndDiscard(refusedAnswer, refusalTimeout)
	_ = c.Close()
}

// answerAndDiscard writes the last answer and reads what the caller still sends, for a
// limited time.
func (c *Conn) answerAndDiscard(answer string, timeout time.Duration) {
	_ = c.SetDeadline(c.now().Add(timeout))
	_, _ = io.WriteString(c.Conn, answer)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedBytes)
}

// HeadBytes returns the number of bytes that were read until the head of the request with
// the context ctx had arrived: the head, and perhaps a part of what follows.
func HeadBytes(ctx context.Context) int {
	c, ok := connOf(ctx)
	if !ok {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headBytes
}
