package prober

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/peeker"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// goneReason is the reason why an answer counts as cut off that ended with its connection.
const goneReason = "the upstream is not there after an answer without a length or chunks"

// Socket is a connection to an upstream, of whose state other goroutines may ask. The zero
// value has no connection.
type Socket struct {
	conn atomic.Pointer[net.Conn]
	// endedAt is the time at which the upstream ended the connection, in nanoseconds since
	// the Unix epoch, while the upstream is probed, else zero.
	endedAt atomic.Int64
	// received holds the number of bytes that other connections had received when they were
	// first looked at after watchedSince, a value of endedAt. Only their owner uses it.
	received     map[*Socket]uint64
	watchedSince int64
}

// Set makes conn the connection. Nil means that there is none.
func (s *Socket) Set(conn net.Conn) {
	if conn == nil {
		s.conn.Store(nil)
		return
	}
	s.conn.Store(&conn)
}

// isOpen reports whether the connection is established and the upstream has not ended it.
func (s *Socket) isOpen() bool {
	conn := s.conn.Load()
	return conn != nil && peeker.IsOpen(*conn)
}

// hasEndedWith reports whether the upstream has ended the connection at about the same time
// as other. An end that has not been read yet is a late one.
func (s *Socket) hasEndedWith(other *Socket) bool {
	at := s.endedAt.Load()
	if at == 0 {
		return s.conn.Load() != nil && !s.isOpen()
	}
	return time.Duration(max(at, other.endedAt.Load())-min(at, other.endedAt.Load())) <= closeSkew
}

// seesDataOn reports whether data has arrived on the connection other since it was first asked
// after the end of s.
func (s *Socket) seesDataOn(other *Socket) bool {
	if at := s.endedAt.Load(); at != s.watchedSince {
		s.watchedSince, s.received = at, map[*Socket]uint64{}
	}
	conn := other.conn.Load()
	if conn == nil {
		return false
	}
	n, ok := peeker.Received(*conn)
	before, known := s.received[other]
	if ok && !known {
		s.received[other] = n
	}
	return ok && known && n > before
}

// Inquiry configures [Socket.Confirm].
type Inquiry struct {
	Clock timer.Clock
	Dial  Dial
	// Ask returns what the other connections show, after a probe that failed with err. It
	// reports false if the call was cancelled.
	Ask func(err error) (v Verdict, ok bool)
	// Local is true if the upstream is on the same VM, so that no connection falls silent.
	Local bool
	// Deadline bounds the time for which connections to other VMs are watched.
	Deadline time.Time
}

// Confirm checks whether the upstream is there after it has ended the connection, with which
// an answer ended. It returns a new connection, or nil if only the other connections show
// that.
func (s *Socket) Confirm(ctx context.Context, q Inquiry) (net.Conn, error) {
	s.endedAt.Store(q.Clock.Now().UnixNano())
	defer s.endedAt.Store(0)
	conn, err := Probe(ctx, q.Dial, q.Clock)
	if err == nil {
		return conn, nil
	}
	start := q.Clock.Now()
	for _, look := range Looks(q.Local || errors.Is(err, errClosesConnections)) {
		at := start.Add(look)
		if look > closeSkew && at.After(q.Deadline) {
			return nil, goneError(err)
		}
		sleepUntil(ctx, q.Clock, at)
		v, ok := q.Ask(err)
		switch {
		case !ok:
			return nil, context.Cause(ctx)
		case v == Gone:
			return nil, goneError(err)
		case v == There && look >= closeSkew:
			return nil, nil
		}
	}
	// What is still open is not silent.
	return nil, nil
}

// goneError returns the error of an answer whose upstream is not there, after another
// connection to it failed with err. If that was refused, the upstream closed the connection
// of the answer because it ended, as [io.ErrUnexpectedEOF] says. A timeout of the probe is
// not one of the answer.
func goneError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Wrapf(io.ErrUnexpectedEOF, "%s: %v", goneReason, err)
	}
	return errors.Errorf("%s: %v", goneReason, err)
}

// sleepUntil waits until a time or until ctx is done.
func sleepUntil(ctx context.Context, c timer.Clock, at time.Time) {
	wake, stop := c.After(at.Sub(c.Now()))
	defer stop()
	select {
	case <-wake:
	case <-ctx.Done():
	}
}
