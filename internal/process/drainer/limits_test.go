package drainer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
)

// boundedServer is a server with few connections, which answers /hold after release.
type boundedServer struct {
	t       *testing.T
	drainer *Drainer
	address string
	release chan struct{}
}

func newBoundedServer(t *testing.T, o Options) *boundedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &boundedServer{t: t, address: l.Addr().String(), release: make(chan struct{}, 8)}
	s.drainer = Serve(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/hold" {
			<-s.release
		}
	})}, l, o)
	t.Cleanup(func() {
		close(s.release)
		s.drainer.Close()
	})
	return s
}

// connect opens a connection and sends text.
func (s *boundedServer) connect(text string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	is := is.New(s.t)
	is.NoErr(err)
	s.t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
	_, err = io.WriteString(conn, text)
	is.NoErr(err)
	return conn
}

const (
	request    = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	longAnswer = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
)

// answered opens a connection that has had an answer.
func (s *boundedServer) answered() net.Conn {
	s.t.Helper()
	conn := s.connect(request)
	s.assertAnswer(conn, http.StatusOK)
	return conn
}

func (s *boundedServer) assertAnswer(conn net.Conn, status int) *http.Response {
	s.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is := is.New(s.t)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, status)
	return resp
}

// await waits until the state of the connections is the expected one.
func (s *boundedServer) await(reached func(Connections) bool) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); !reached(s.drainer.Connections()); time.Sleep(time.Millisecond) {
		is.New(s.t).True(time.Now().Before(end))
	}
}

// assertMakesRoom checks that a connection ends when others are opened. The server may count
// it as idle only after its caller has the answer.
func (s *boundedServer) assertMakesRoom(conn net.Conn) {
	s.t.Helper()
	is := is.New(s.t)
	for range 1000 {
		s.answered()
		is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
		_, err := conn.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) {
			return
		}
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
	}
	s.t.Fatal("the connection stays open")
}

func (s *boundedServer) assertEnded(conn net.Conn) {
	s.t.Helper()
	_, err := conn.Read(make([]byte, 1))
	is.New(s.t).Equal(err, io.EOF)
}

// Idle connections were kept, and new ones got no place.
func TestNewConnectionTakesPlaceOfOldestIdleOne(t *testing.T) {
	s := newBoundedServer(t, Options{MaxConns: 3})
	first := s.answered()
	second := s.answered()
	busy := s.connect(longAnswer)
	s.assertMakesRoom(first)
	s.assertMakesRoom(second)
	s.release <- struct{}{}
	s.assertAnswer(busy, http.StatusOK)
	s.await(func(c Connections) bool { return c.Closed["evicted"] >= 2 })
}

// Connections that found no place waited without an end, or one after the other.
func TestConnectionsAreRefusedWhileAllAreInUse(t *testing.T) {
	s := newBoundedServer(t, Options{MaxConns: 1})
	busy := s.connect(longAnswer)
	var refused []net.Conn
	for range 20 {
		refused = append(refused, s.connect(request))
	}
	for _, conn := range refused {
		resp := s.assertAnswer(conn, http.StatusServiceUnavailable)
		is.New(t).Equal(resp.Header.Get("Retry-After"), "1")
	}
	s.await(func(c Connections) bool { return c.Refused == uint64(len(refused)) })
	s.release <- struct{}{}
	s.assertAnswer(busy, http.StatusOK)
	s.answered()
}

// A caller that sends its head in pieces was taken for an idle one.
func TestArrivingHeadIsNotCutOff(t *testing.T) {
	s := newBoundedServer(t, Options{MaxConns: 2})
	arriving := s.connect(request[:8])
	s.await(func(c Connections) bool { return c.Open == 1 })
	s.answered()
	s.answered()
	_, err := io.WriteString(arriving, request[8:])
	is.New(t).NoErr(err)
	s.assertAnswer(arriving, http.StatusOK)
}

// Limits that changed were not in force on open connections.
func TestRefreshedLimitsEndOpenConnections(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(time.Hour))
	s := newBoundedServer(t, Options{Limits: func() closer.Limits { return closer.Limits{IdleTimeout: time.Duration(idle.Load())} }})
	silent, answered := s.connect(""), s.answered()
	idle.Store(int64(time.Millisecond))
	s.drainer.RefreshLimits()
	s.assertEnded(silent)
	s.assertEnded(answered)
}
