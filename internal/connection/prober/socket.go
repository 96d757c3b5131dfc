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

// Confirm checks whether the upstream is there after it has ended the connection, with which
// an answer ended. It returns a new connection, or nil if only the other connections show
// that. Whether they do is what ask returns, unless ctx has ended; err is that of the probe.
func (s *Socket) Confirm(ctx context.Context, c timer.Clock, dial Dial, ask func(err error) (there, ok bool)) (net.Conn, error) {
	s.endedAt.Store(c.Now().UnixNano())
	defer s.endedAt.Store(0)
	conn, err := Probe(ctx, dial, c)
	if err == nil {
		return conn, nil
	}
	for _, wait := range Waits() {
		sleep(ctx, c, wait)
		there, ok := ask(err)
		switch {
		case !ok:
			return nil, context.Cause(ctx)
		case !there:
			return nil, goneError(err)
		}
	}
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

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, c timer.Clock, d time.Duration) {
	wake, stop := c.After(d)
	defer stop()
	select {
	case <-wake:
	case <-ctx.Done():
	}
}
