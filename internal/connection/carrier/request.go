package carrier

import (
	"bytes"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// writePollInterval is the time after which a blocked write checks for an
// early response.
const writePollInterval = 50 * time.Millisecond

// writeRequest writes the request. It returns early, without an error, if a response
// arrives before the whole request was sent.
func (c *Conn) writeRequest(a *attempt) error {
	var b bytes.Buffer
	b.Grow(len(a.call.Body) + 1024)
	m := a.call.Head
	if len(a.call.Body) > 0 {
		m.Body = io.NopCloser(bytes.NewReader(a.call.Body))
		m.ContentLength = int64(len(a.call.Body))
	}
	if err := m.Write(&b); err != nil {
		return errors.Wrap(err, "encode the request")
	}
	a.unsent = b.Bytes()
	return c.writeUnsent(a)
}

// writeUnsent writes the rest of the request like writeRequest.
func (c *Conn) writeUnsent(a *attempt) error {
	for len(a.unsent) > 0 {
		now := c.options.Clock.Now()
		if a.call.Context.Err() != nil || !now.Before(a.call.Deadline) {
			return os.ErrDeadlineExceeded
		}
		_ = c.conn.SetWriteDeadline(earlier(a.call.Deadline, now.Add(writePollInterval)))
		n, err := c.conn.Write(a.unsent)
		a.sent += n
		a.unsent = a.unsent[n:]
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			if !errors.Is(err, syscall.EPIPE) {
				// EPIPE means that the upstream had closed its side before.
				c.received.writeErr = err
			}
			return errors.Wrap(err, "write the request")
		case a.sent > 0 && c.hasUnread():
			return nil
		}
	}
	// An empty slice would keep the written request in memory until the call ends.
	a.unsent = nil
	return nil
}

// requestWritten reports whether the whole request was sent and no mismatched response
// was skipped. Otherwise the connection is not reused, and a timeout ends the call as
// lost rather than as expired or silent.
func (a *attempt) requestWritten() bool { return a.sent > 0 && len(a.unsent) == 0 && !a.skipped }
