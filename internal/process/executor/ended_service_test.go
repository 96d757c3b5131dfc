package executor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/connection/reader"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// unframedService is a plain service that has written the beginning of an answer without a
// length or chunks to each of its callers.
type unframedService struct {
	listener net.Listener
	conns    chan net.Conn
}

func startUnframedService(t *testing.T) *unframedService {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	s := &unframedService{listener: l, conns: make(chan net.Conn, 8)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go s.begin(conn)
		}
	}()
	return s
}

func (s *unframedService) begin(conn net.Conn) {
	q, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil || q.Method != http.MethodPost {
		_ = conn.Close()
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhold")
	s.conns <- conn
}

// serviceCalls are calls of an unframedService through an executor.
type serviceCalls struct {
	service *unframedService
	// conns are the connections of the calls, in no order, and ends their last frames.
	conns []net.Conn
	ends  chan messenger.Frame
}

// beginCalls starts n calls, none of which may be repeated, and waits until the answers of
// all have begun.
func beginCalls(t *testing.T, n int) *serviceCalls {
	t.Helper()
	c := &serviceCalls{service: startUnframedService(t), ends: make(chan messenger.Frame, n)}
	handle := func(_ *messenger.Conn, m messenger.Message) (any, error) {
		var f messenger.Frame
		if m.Method == messenger.MethodFrame && m.Decode(&f) == nil && f.Kind != messenger.FrameStarted {
			c.ends <- f
		}
		return nil, nil
	}
	o := Options{Upstream: "u", URL: "http://" + c.service.listener.Addr().String(), Client: reader.NewClient(), Clock: timer.System{}}
	entry := startExecutor(t, o, descriptor.Upstream{Slots: n}, handle)
	for i := range n {
		entry.Notify(messenger.MethodSubmit, messenger.Submit{
			Request: fmt.Sprint("r", i), Attempt: 1, Class: "hold", Tier: 1,
			Call: &messenger.Call{Method: http.MethodPost, Path: "/holds"},
		})
	}
	for range n {
		c.conns = append(c.conns, <-c.service.conns)
	}
	return c
}

// assertEnds checks the kind of the last frames of n calls.
func (c *serviceCalls) assertEnds(t *testing.T, n int, kind messenger.FrameKind) {
	t.Helper()
	for range n {
		f := <-c.ends
		is.New(t).Equal(f.Kind, kind)
		if kind == messenger.FrameResponse {
			is.New(t).Equal(string(f.Response.Body), "hold")
			is.New(t).True(f.Response.CloseDelimited)
		}
	}
}

// A service that was killed within its answers left parts that entries passed on as whole.
// One that stops, whose listener is closed before its answers have ended, must lose none of
// those that end while others go on.
func TestOtherCallsShowWhetherServiceHasEnded(t *testing.T) {
	t.Run("killed with one call", func(t *testing.T) {
		c := beginCalls(t, 1)
		_ = c.service.listener.Close()
		_ = c.conns[0].Close()
		c.assertEnds(t, 1, messenger.FrameLost)
	})
	t.Run("killed with several calls", func(t *testing.T) {
		c := beginCalls(t, 3)
		_ = c.service.listener.Close()
		for _, conn := range c.conns {
			_ = conn.Close()
		}
		c.assertEnds(t, 3, messenger.FrameLost)
	})
	t.Run("stopping", func(t *testing.T) {
		c := beginCalls(t, 3)
		_ = c.service.listener.Close()
		_ = c.conns[0].Close()
		c.assertEnds(t, 1, messenger.FrameResponse)
		_ = c.conns[1].Close()
		c.assertEnds(t, 1, messenger.FrameResponse)
	})
	t.Run("serving", func(t *testing.T) {
		c := beginCalls(t, 3)
		for _, conn := range c.conns {
			_ = conn.Close()
		}
		c.assertEnds(t, 3, messenger.FrameResponse)
	})
}
