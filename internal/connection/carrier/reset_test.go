package carrier

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"magnoliafront.dev/magnoliafront/internal/process/collector"
)

// awaitFinAcknowledged waits until the peer has acknowledged the end of a connection. A
// reset before that may overtake the end, which the peer then never sees.
func awaitFinAcknowledged(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	for acknowledged := false; !acknowledged && err == nil; time.Sleep(time.Millisecond) {
		err = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			acknowledged = err != nil || info.State == unix.BPF_TCP_FIN_WAIT2
		})
	}
}

// newEarlyUpstream returns an upstream that answers before it reads the body of a request
// and resets the connection. With closes, it has closed its side before.
func newEarlyUpstream(t *testing.T, response string, closes bool) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
		if tcp, ok := conn.(*net.TCPConn); ok {
			if closes {
				_ = tcp.CloseWrite()
				awaitFinAcknowledged(tcp)
			}
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}()
	return &rawUpstream{address: l.Addr().String()}
}

// An answer that ends with its connection was relayed as ended when the connection was
// reset while the request was being written: the kernel reports a reset once, the write
// got it, and the read only found the end.
func TestResetThatWriteReportsCutsAnswer(t *testing.T) {
	// The body does not fit into the buffers of the connection, so that it is being
	// written when the connection is reset.
	withBody := func(c *Call) { c.Body, c.IdleTimeout = collector.NewBody(make([]byte, 64<<20)), 20*time.Second }
	t.Run("answer that ends with its connection", func(t *testing.T) {
		u := newEarlyUpstream(t, "HTTP/1.1 200 OK\r\n\r\nhalf", false)
		r, replies := u.call(t, withBody)
		is := is.New(t)
		is.Equal(r.Outcome, OutcomeLost)
		is.True(r.ClosedByPeer)
		is.Equal(len(replies), 0)
	})
	t.Run("stream that ends with its connection", func(t *testing.T) {
		u := newEarlyUpstream(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata:\n\n", false)
		r, replies := u.call(t, func(c *Call) { withBody(c); c.Stream = true })
		is := is.New(t)
		is.Equal(r.Outcome, OutcomeLost)
		is.True(r.ClosedByPeer)
		is.True(!newRelayedAnswer(replies).ended)
	})
	t.Run("answer with a length", func(t *testing.T) {
		u := newEarlyUpstream(t, "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nfull", false)
		r, replies := u.call(t, withBody)
		is := is.New(t)
		is.Equal(r.Outcome, OutcomeAnswered)
		is.Equal(string(replies[0].Bytes), "full")
	})
	t.Run("answer whose upstream closed before the reset", func(t *testing.T) {
		u := newEarlyUpstream(t, "HTTP/1.1 413 Too Large\r\n\r\nfull", true)
		r, replies := u.call(t, withBody)
		is := is.New(t)
		is.Equal(r.Outcome, OutcomeAnswered)
		is.Equal(string(replies[0].Bytes), "full")
		is.True(replies[0].CloseDelimited)
	})
}
