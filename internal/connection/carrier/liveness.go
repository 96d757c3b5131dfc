package carrier

import (
	"syscall"

	"github.com/go-faster/errors"
)

// readiness is what a connection has to read.
type readiness int

const (
	nothing readiness = iota
	bytesWaiting
	endWaiting
)

// readable looks at what the connection has to read, without reading it.
func (c *Conn) readable() readiness {
	if c.reader.Buffered() > 0 {
		return bytesWaiting
	}
	sc, ok := c.conn.(syscall.Conn)
	if !ok {
		return nothing
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return endWaiting
	}
	state := nothing
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = bytesWaiting
		case err == nil:
			state = endWaiting
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		default:
			state = endWaiting
		}
	})
	if err != nil {
		return endWaiting
	}
	return state
}

// alive reports whether a kept connection can carry a call: it is open, and the
// upstream has sent nothing since the last answer.
func (c *Conn) alive() bool { return c.conn != nil && c.readable() == nothing }
