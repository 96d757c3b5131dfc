package carrier

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// userTimeout is the TCP user timeout: a connection is closed if sent data
	// stays unacknowledged for longer. It is many round trips within a region, and
	// leaves time to use another upstream.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP
	// keep-alive probes. A connection without traffic is closed within 3 s if its
	// peer does not respond.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeoutOption is the number of the Linux socket option TCP_USER_TIMEOUT,
	// whose value is in milliseconds. Package syscall does not define it.
	userTimeoutOption = 18
)

// Dialer returns a dialer that sets the TCP user timeout and TCP keep-alive, so
// that connections to an unresponsive peer are closed.
func Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
}

// KeepAlive returns the configuration of the TCP keep-alive probes.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeoutOption, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// dial connects to the upstream for a call.
func (c *Conn) dial(call Call) error {
	conn, err := c.connect(call.Context, earlier(call.Deadline, c.options.Clock.Now().Add(call.DialTimeout)))
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	c.adopt(conn)
	return nil
}

// connect returns a network connection to the upstream that is established by a deadline.
func (c *Conn) connect(ctx context.Context, deadline time.Time) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	dial := c.options.Dial
	if dial == nil {
		dial = Dialer().DialContext
	}
	return dial(ctx, "tcp", c.options.Address)
}

// dialOutcome returns the outcome of a call whose dial failed with err.
func dialOutcome(call Call, err error) Outcome {
	if call.Context.Err() != nil || errors.Is(err, context.Canceled) {
		return OutcomeCancelled
	}
	return OutcomeNotSent
}
