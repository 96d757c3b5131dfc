package carrier

import (
	"net"

	"github.com/go-faster/errors"
)

// maxHeadBytes is the maximum size of the head of a response, with all informational
// responses before it.
const maxHeadBytes = 64 << 10

// errHeadTooLarge ends the read of a head that exceeds maxHeadBytes.
var errHeadTooLarge = errors.Errorf("the head of the answer exceeds %d bytes", maxHeadBytes)

// limitedConn is the receive side of a connection. While a head is read, it returns an
// error after a number of bytes, since the parser of net/http would collect a head
// without an end in memory.
type limitedConn struct {
	net.Conn
	limited   bool
	remaining int
}

// limit starts to limit the bytes that are read, and unlimit ends it.
func (c *limitedConn) limit(n int) { c.limited, c.remaining = true, n }
func (c *limitedConn) unlimit()    { c.limited = false }

// Read implements io.Reader.
func (c *limitedConn) Read(b []byte) (int, error) {
	if !c.limited {
		return c.Conn.Read(b)
	}
	if c.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}
