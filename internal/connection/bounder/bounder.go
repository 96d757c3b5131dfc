// Package bounder bounds what the connections of callers hold before their requests are
// served.
//
// The kernel keeps bytes that have arrived and were not read in the receive buffer of the
// socket, and lets that grow to several megabytes. [Control] gives it a fixed size, which
// the accepted connections take from the listener.
//
// # Usage
//
//	c := net.ListenConfig{Control: bounder.Control}
//	l, err := c.Listen(ctx, "tcp", address)
package bounder

import (
	"syscall"

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
)

// Control is the hook of [net.ListenConfig] that bounds the receive buffers.
func Control(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, reserver.SocketBytes)
	})
	if err != nil {
		return err
	}
	return optionErr
}
