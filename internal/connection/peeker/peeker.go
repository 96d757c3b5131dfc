// Package peeker tells whether a connection has bytes that have not been read, or a
// listener connections that have not been accepted, without taking them and without
// waiting.
//
// A connection that was kept open between two messages may have ended, or carry
// bytes, at any moment. A reader finds out by reading, which takes the bytes and
// waits if there are none. [Peek] asks the kernel instead.
//
// # Usage
//
//	if peeker.Peek(conn) == peeker.NoData {
//		// the connection is open and has nothing to read
//	}
package peeker

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// State is the state of the receive side of a connection.
type State int

// The states.
const (
	// NoData means that the connection is open and there is nothing to read.
	NoData State = iota
	// DataAvailable means that there are bytes to read.
	DataAvailable
	// Ended means that the peer has closed or reset the connection, or that it is
	// closed on this side.
	Ended
)

// Peek returns the state of the receive side of conn. The state of a connection that
// is not a socket is not known; it is returned as NoData.
func Peek(conn net.Conn) State {
	state, _ := PeekError(conn)
	return state
}

// PeekError is like [Peek] and also returns the error with which the connection has ended, as
// by a reset. The kernel reports it once, so that a read after it finds an orderly end.
func PeekError(conn net.Conn) (state State, ended error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return NoData, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Ended, err
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = DataAvailable
		case err == nil:
			state = Ended
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		default:
			state, ended = Ended, err
		}
	})
	if err != nil {
		return Ended, err
	}
	return state, ended
}

// IsOpen reports whether conn is open and its peer has not closed it, also if there are
// bytes to read. Where the kernel does not tell, a connection with bytes to read counts as
// open.
func IsOpen(conn net.Conn) bool {
	if _, ok := conn.(syscall.Conn); !ok {
		return true
	}
	info, err := tcpInfo(conn)
	switch {
	case errors.Is(err, errControl):
		return false
	case err != nil:
		return Peek(conn) != Ended
	}
	return info.State == unix.BPF_TCP_ESTABLISHED
}

// Received returns the number of bytes that have arrived on conn, whether or not they have
// been read. It reports false where the kernel does not tell.
func Received(conn net.Conn) (uint64, bool) {
	info, err := tcpInfo(conn)
	if err != nil {
		return 0, false
	}
	return info.Bytes_received, true
}

// errControl means that a connection is closed on this side.
var errControl = errors.New("the socket is not usable")

// tcpInfo returns what the kernel knows of a connection.
func tcpInfo(conn net.Conn) (*unix.TCPInfo, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection is not a socket")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(errControl, err.Error())
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil, errors.Wrap(errControl, err.Error())
	}
	return info, infoErr
}

// HasWaiting reports whether a connection waits at l to be accepted. It returns false if l
// is not a socket.
func HasWaiting(l net.Listener) bool {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		waiting = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waiting
}
