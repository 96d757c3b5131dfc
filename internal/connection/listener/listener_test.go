package listener

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// failingListener fails with each of its errors, and then accepts a connection.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
}

// The loop that accepts connections of peers ended at the first shortage of descriptors.
func TestAcceptGoesOnAfterFailure(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM} {
		t.Run(errno.Error(), func(t *testing.T) {
			is := is.New(t)
			l := &Listener{Listener: &failingListener{errs: []error{acceptError(errno), acceptError(errno)}}, Clock: timer.System{}}
			conn, err := l.Accept()
			is.NoErr(err)
			is.NoErr(conn.Close())
			is.Equal(l.Failures(), uint64(2))
		})
	}
}

// A listener that is closed, or whose deadline has passed, must end the loop.
func TestAcceptReturnsOtherErrors(t *testing.T) {
	for _, want := range []error{net.ErrClosed, os.ErrDeadlineExceeded} {
		l := &Listener{Listener: &failingListener{errs: []error{want}}, Clock: timer.NewManual(time.Unix(0, 0))}
		_, err := l.Accept()
		is.New(t).Equal(err, want)
	}
}
