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
	conn    atomic.Pointer[net.Conn]
	probing atomic.Bool
}

// Set makes conn the connection. Nil means that there is none.
func (s *Socket) Set(conn net.Conn) {
	if conn == nil {
		s.conn.Store(nil)
		return
	}
	s.conn.Store(&conn)
}

// State returns whether the connection is established, and whether the upstream has ended it,
// which lasts until a probe of the upstream has ended. Neither is true while there is none.
func (s *Socket) State() (open, ended bool) {
	if s.probing.Load() {
		return false, true
	}
	conn := s.conn.Load()
	if conn == nil {
		return false, false
	}
	open = peeker.IsOpen(*conn)
	return open, !open
}

// Confirm checks whether the upstream is there after it has ended the connection, with which
// an answer ended. It returns a new connection, or nil if only the other connections show
// that. Whether they do is what ask returns, unless ctx has ended; err is that of the probe.
func (s *Socket) Confirm(ctx context.Context, c timer.Clock, dial Dial, ask func(err error) (there, ok bool)) (net.Conn, error) {
	s.probing.Store(true)
	defer s.probing.Store(false)
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
