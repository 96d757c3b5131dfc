package carrier

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// writePollInterval is the time after which a blocked write checks for an
// early response.
const writePollInterval = 50 * time.Millisecond

// headOnly is a body that ends the encoding of its request after the head.
type headOnly struct {
	// read is true once the head is written. net/http wraps the error of the body in one
	// that does not unwrap to it.
	read bool
}

// Read implements io.Reader.
func (h *headOnly) Read([]byte) (int, error) {
	h.read = true
	return 0, io.ErrUnexpectedEOF
}

// encodeHead returns the head of a message as it is sent, whose body has n bytes.
func encodeHead(m *http.Request, n int) ([]byte, error) {
	var b bytes.Buffer
	body := &headOnly{}
	if n > 0 {
		m.Body = io.NopCloser(body)
		m.ContentLength = int64(n)
	}
	if err := m.Write(&b); err != nil && !body.read {
		return nil, errors.Wrap(err, "encode the request")
	}
	return b.Bytes(), nil
}

// writeRequest writes the request. It returns early, without an error, if a response
// arrives before the whole request was sent. The body is sent from the segments of the
// call.
func (c *Conn) writeRequest(a *attempt) error {
	size, parts := a.call.Body.Len(), a.call.Body.Parts()
	if size > 0 && parts == nil {
		return errors.New("the body is not held any more")
	}
	head, err := encodeHead(a.call.Head, size)
	if err != nil {
		return err
	}
	a.unsent = append(net.Buffers{head}, parts...)
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
		n, err := c.writeOnce(a)
		a.sent += n
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			if !errors.Is(err, syscall.EPIPE) {
				// EPIPE means that the upstream had closed its side before.
				c.received.endErr = err
			}
			return errors.Wrap(err, "write the request")
		case a.sent > 0 && c.hasUnread():
			return nil
		}
	}
	// Empty buffers would keep the written request in memory until the call ends.
	a.unsent = nil
	return nil
}

// writeOnce writes as much of the unsent rest as the connection takes. Several buffers are
// written with one system call.
func (c *Conn) writeOnce(a *attempt) (int, error) {
	if len(a.unsent) > 1 {
		// WriteTo takes what was written out of the buffers.
		n, err := a.unsent.WriteTo(c.conn)
		return int(n), err
	}
	n, err := c.conn.Write(a.unsent[0])
	if a.unsent[0] = a.unsent[0][n:]; len(a.unsent[0]) == 0 {
		a.unsent = nil
	}
	return n, err
}

// requestWritten reports whether the whole request was sent and no mismatched response
// was skipped. Otherwise the connection is not reused, and a timeout ends the call as
// lost rather than as expired or silent.
func (a *attempt) requestWritten() bool { return a.sent > 0 && len(a.unsent) == 0 && !a.skipped }
