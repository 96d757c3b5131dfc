package carrier

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/peeker"
)

const (
	// maxHeadBytes is the maximum size of the head of a response, with all informational
	// responses before it.
	maxHeadBytes = 64 << 10
	// headLineBytes is what a line of a head counts besides its own bytes: about what the
	// parsed form of a short one takes in memory.
	headLineBytes = 256
	// headShareBytes is the size of a head that is held without a reservation.
	headShareBytes = 8 << 10
)

// maxLateBytes is the maximum number of bytes that are read after a deadline, since they
// had arrived before. It is about what the kernel holds for a connection.
const maxLateBytes = 64 << 10

var (
	// errHeadTooLarge ends the read of a head that exceeds maxHeadBytes.
	errHeadTooLarge = errors.Errorf("the head of the answer exceeds %d bytes, with %d for each line", maxHeadBytes, headLineBytes)
	// errNoMemory ends a call whose bytes do not fit into the budget of the process.
	errNoMemory = errors.New("the memory for answers is used up")
)

// headSize returns the size of a parsed head, with headLineBytes for each line.
func headSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + headLineBytes
		}
	}
	return n
}

// limitedConn is the receive side of a connection. While a head is read, it returns an
// error after a number of bytes, since the parser of net/http would collect a head
// without an end in memory.
type limitedConn struct {
	net.Conn
	limited bool
	// counted is the size of the head so far; see headSize.
	counted int
	// hold reserves memory for a head of that size. It reports false if there is none.
	hold func(bytes int) bool
	// headErr is the error with which the limit has ended a head. The parser may return
	// another one for the line that it ended in.
	headErr error
	// lateBytes is the number of bytes that may still be read after the deadline.
	lateBytes int
	// onTimeout is called when a read has reached its deadline and nothing has arrived.
	// If it returns true, the read is repeated, so that the parsers above do not see the
	// timeout, after which they could not continue.
	onTimeout func() bool
	// endErr is the error with which the connection ended, if a write or peek got it. The
	// kernel reports it only once, so that a read after it would find an orderly end.
	endErr error
}

// limitHead starts to limit the bytes that are read to those of a head, and unlimit ends
// it.
func (c *limitedConn) limitHead(hold func(bytes int) bool) {
	c.limited, c.counted, c.hold, c.headErr = true, 0, hold, nil
}
func (c *limitedConn) unlimit() { c.limited, c.hold = false, nil }

// Read implements io.Reader.
func (c *limitedConn) Read(b []byte) (int, error) {
	if !c.limited {
		return c.read(b)
	}
	if c.counted >= maxHeadBytes {
		c.headErr = errHeadTooLarge
	} else if !c.hold(c.counted) {
		c.headErr = errNoMemory
	}
	if c.headErr != nil {
		return 0, c.headErr
	}
	n, err := c.read(b[:min(len(b), maxHeadBytes-c.counted)])
	c.counted += n + headLineBytes*bytes.Count(b[:n], []byte("\n"))
	return n, err
}

// read reads from the connection until onTimeout ends it. After a freeze of the process,
// deadlines have passed although the upstream has sent what was awaited.
func (c *limitedConn) read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.readLate(b)
		}
		if errors.Is(err, io.EOF) && c.endErr != nil {
			err = c.endErr
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.onTimeout == nil || !c.onTimeout() {
			return n, err
		}
	}
}

// peek returns the state of the receive side. It keeps the error of a connection that has
// ended in endErr.
func (c *limitedConn) peek() peeker.State {
	state, err := peeker.PeekError(c.Conn)
	if err != nil {
		c.endErr = err
	}
	return state
}

// readLate reads what has arrived although the deadline has passed: bytes, or the end of
// the connection.
func (c *limitedConn) readLate(b []byte) (int, error) {
	if c.lateBytes <= 0 || c.peek() == peeker.NoData {
		return 0, os.ErrDeadlineExceeded
	}
	_ = c.SetReadDeadline(time.Time{})
	n, err := c.Conn.Read(b[:min(len(b), c.lateBytes)])
	c.lateBytes -= n
	_ = c.SetReadDeadline(time.Unix(1, 0))
	return n, err
}
