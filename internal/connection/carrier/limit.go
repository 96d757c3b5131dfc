package carrier

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/peeker"
)

// maxHeadBytes is the maximum size of the head of a response, with all informational
// responses before it.
const maxHeadBytes = 64 << 10

// maxLateBytes is the maximum number of bytes that are read after a deadline, since they
// had arrived before. It is about what the kernel holds for a connection.
const maxLateBytes = 64 << 10

// errHeadTooLarge ends the read of a head that exceeds maxHeadBytes.
var errHeadTooLarge = errors.Errorf("the head of the answer exceeds %d bytes", maxHeadBytes)

// limitedConn is the receive side of a connection. While a head is read, it returns an
// error after a number of bytes, since the parser of net/http would collect a head
// without an end in memory.
type limitedConn struct {
	net.Conn
	limited   bool
	remaining int
	// lateBytes is the number of bytes that may still be read after the deadline.
	lateBytes int
	// onTimeout is called when a read has reached its deadline and nothing has arrived.
	// If it returns true, the read is repeated, so that the parsers above do not see the
	// timeout, after which they could not continue.
	onTimeout func() bool
	// writeErr is the error with which the connection ended during a write. The kernel
	// reports it only once, so that a read after it would find an orderly end.
	writeErr error
}

// limit starts to limit the bytes that are read, and unlimit ends it.
func (c *limitedConn) limit(n int) { c.limited, c.remaining = true, n }
func (c *limitedConn) unlimit()    { c.limited = false }

// Read implements io.Reader.
func (c *limitedConn) Read(b []byte) (int, error) {
	if !c.limited {
		return c.read(b)
	}
	if c.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.read(b[:min(len(b), c.remaining)])
	c.remaining -= n
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
		if errors.Is(err, io.EOF) && c.writeErr != nil {
			err = c.writeErr
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.onTimeout == nil || !c.onTimeout() {
			return n, err
		}
	}
}

// readLate reads what has arrived although the deadline has passed: bytes, or the end of
// the connection.
func (c *limitedConn) readLate(b []byte) (int, error) {
	if c.lateBytes <= 0 || peeker.Peek(c.Conn) == peeker.NoData {
		return 0, os.ErrDeadlineExceeded
	}
	_ = c.SetReadDeadline(time.Time{})
	n, err := c.Conn.Read(b[:min(len(b), c.lateBytes)])
	c.lateBytes -= n
	_ = c.SetReadDeadline(time.Unix(1, 0))
	return n, err
}
