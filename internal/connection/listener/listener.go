// Package listener accepts connections through failures of the kernel that pass.
//
// Accept fails while the process or the machine has no descriptors or buffers left, and
// when a caller leaves before its connection is accepted. A server that ends its loop at
// such an error takes no connection until it is restarted. A [Listener] waits and accepts
// again. The pause doubles from 5 ms to 1 s with each failure in a row. Other errors, such
// as that of a closed listener, are returned.
//
// # Usage
//
//	l := &listener.Listener{Listener: l, Clock: clock, Name: "peers"}
//	conn, err := l.Accept()
package listener

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// minPause and maxPause bound the time between two attempts to accept a connection.
	minPause = 5 * time.Millisecond
	maxPause = time.Second
	// logInterval is the minimum time between two log lines of a listener.
	logInterval = time.Second
)

// Listener is a [net.Listener] whose Accept returns no error that passes. Accept is called
// by one goroutine. Set the exported fields before the first call.
type Listener struct {
	net.Listener
	Clock timer.Clock
	// Name is that of the listener in log lines.
	Name string

	failures atomic.Uint64
	closed   atomic.Bool
	logged   time.Time
}

// Failures returns the number of failed attempts to accept a connection.
func (l *Listener) Failures() uint64 { return l.failures.Load() }

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		conn, err := l.Listener.Accept()
		if err == nil || l.closed.Load() || !Passes(err) {
			return conn, err
		}
		l.report(err)
		wake, stop := l.Clock.After(pause)
		<-wake
		stop()
	}
}

// Close closes the listener. An Accept that pauses returns an error after the pause.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// report counts a failure, and logs one a second at most.
func (l *Listener) report(err error) {
	n := l.failures.Add(1)
	now := l.Clock.Now()
	if now.Sub(l.logged) < logInterval {
		return
	}
	l.logged = now
	klog.InfoS("connection not accepted", "listener", l.Name, "failures", n, "err", err)
}

// Passes reports whether an error of Accept may not occur at a later attempt.
func Passes(err error) bool {
	for _, passing := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EINTR, syscall.EPROTO, syscall.EPERM,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
