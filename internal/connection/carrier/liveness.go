package carrier

import (
	"syscall"

	"github.com/go-faster/errors"
)

// readState is the state of the receive side of a connection.
type readState int

const (
	noData readState = iota
	dataAvailable
	connectionEnded
)

// peek returns the state of the receive side without consuming data. It does not
// block.
func (c *Conn) peek() readState {
	if c.reader.Buffered() > 0 {
		return dataAvailable
	}
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return noData
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return connectionEnded
	}
	state := noData
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = dataAvailable
		case err == nil:
			state = connectionEnded
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		default:
			state = connectionEnded
		}
	})
	if err != nil {
		return connectionEnded
	}
	return state
}

// alive reports whether a keep-alive connection can carry a call: it is open, and
// the upstream has sent nothing since the last response.
func (c *Conn) alive() bool { return c.conn != nil && c.peek() == noData }
