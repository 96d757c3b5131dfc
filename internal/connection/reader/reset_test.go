package reader

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// unsentBytes is more of a request than the kernel takes for a service that does not
	// read it.
	unsentBytes = 16 << 20
	// resetTries is the number of calls whose connection is reset while the request is
	// written. A few of so many met the fault.
	resetTries = 200
)

// startEarlyService starts a service that answers before it has read the body of a request
// and resets the connection. It returns its URL.
func startEarlyService(t *testing.T, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			answerEarly(conn, response)
		}
	}()
	return "http://" + l.Addr().String()
}

func answerEarly(conn net.Conn, response string) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, response)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// An answer that ends with its connection was taken for whole when the connection was reset
// while the request was being written: the kernel reports a reset once, the write got it, and
// the read found the end.
func TestResetThatWriteReportsCutsResponse(t *testing.T) {
	url, client, body := startEarlyService(t, "HTTP/1.1 200 OK\r\n\r\nhalf"), NewClient(), make([]byte, unsentBytes)
	answered := 0
	for i := range resetTries {
		events := make(chan Event, 2)
		call := &messenger.Call{Method: http.MethodPost, Path: "/holds", Body: body}
		NewService(client, timer.System{}, url, Job{Key: scheduler.Key{Request: fmt.Sprint("r", i)}, Call: call}, func(e Event) { events <- e })
		if e := <-events; e.Kind == EventResponse {
			answered++
		}
	}
	is.New(t).Equal(answered, 0) // responses that were cut off and look whole
}

// endedConn is a connection whose reads find an orderly end and whose writes fail.
type endedConn struct {
	net.Conn
	writeErr error
}

func (endedConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c endedConn) Write([]byte) (int, error)      { return 0, c.writeErr }
func (endedConn) SetWriteDeadline(time.Time) error { return nil }

// Only a reset that a write has got turns an orderly end into a reset.
func TestReadAfterFailedWrite(t *testing.T) {
	for _, c := range []struct {
		name           string
		writeErr, want error
	}{
		{"reset", unix.ECONNRESET, unix.ECONNRESET},
		{"closed before", unix.EPIPE, io.EOF},
		{"no failure", nil, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := &requestConn{Conn: endedConn{writeErr: c.writeErr}}
			_, _ = conn.Write([]byte("x"))
			_, err := conn.Read(make([]byte, 1))
			is.New(t).Equal(err, c.want)
		})
	}
}
