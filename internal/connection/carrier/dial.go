package carrier

import (
	"net"
	"syscall"
	"time"
)

const (
	// unacknowledgedLimit is the time after which a connection ends whose peer
	// does not acknowledge what was sent. It is many round trips within a region,
	// and leaves time to use another upstream.
	unacknowledgedLimit = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount make a connection
	// without traffic end within 3 s when its peer is silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, in
	// milliseconds, which package syscall does not name.
	tcpUserTimeout = 18
)

// Dialer returns a dialer whose connections end when the peer has gone silent.
func Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
}

// KeepAlive returns the probes that find out that a peer has gone silent.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedLimit/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}
