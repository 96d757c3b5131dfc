package soaker

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// proxyMode selects how a proxy handles the bytes of its connections.
type proxyMode int

const (
	// proxyForwards forwards all bytes unchanged.
	proxyForwards proxyMode = iota
	// proxyDelays delays each read by readDelay.
	proxyDelays
	// proxyResets resets all open and new connections.
	proxyResets
	// proxyDropsRequests drops the bytes from the client, and proxyDropsResponses
	// those from the server.
	proxyDropsRequests
	proxyDropsResponses
	// proxyDropsAll drops the bytes of both directions.
	proxyDropsAll
	// proxyModeCount is the number of modes.
	proxyModeCount
)

// readDelay is the delay of each read in mode [proxyDelays].
const readDelay = 60 * time.Millisecond

// proxy forwards TCP connections to a server on loopback.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     proxyMode
	conns    map[*net.TCPConn]struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &proxy{listener: l, target: target, conns: map[*net.TCPConn]struct{}{}}
	t.Cleanup(func() {
		_ = l.Close()
		p.setMode(proxyResets)
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serveConn(c.(*net.TCPConn))
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode sets the mode of all open and new connections.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != proxyResets {
		return
	}
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// serveConn forwards one connection until both directions have ended.
func (p *proxy) serveConn(client *net.TCPConn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil || p.currentMode() == proxyResets {
		_ = client.SetLinger(0)
		_ = client.Close()
		if err == nil {
			_ = server.Close()
		}
		return
	}
	conns := []*net.TCPConn{client, server.(*net.TCPConn)}
	p.mu.Lock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(conns[1], conns[0], proxyDropsRequests) })
	directions.Go(func() { p.forward(conns[0], conns[1], proxyDropsResponses) })
	directions.Wait()
	p.mu.Lock()
	for _, c := range conns {
		delete(p.conns, c)
	}
	p.mu.Unlock()
}

// forward copies bytes in one direction. It drops them while the mode is dropMode
// or [proxyDropsAll]. Once bytes were dropped, it also drops all later ones, since
// a TCP stream has no gaps.
func (p *proxy) forward(to, from *net.TCPConn, dropMode proxyMode) {
	b := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(b)
		m := p.currentMode()
		dropped = dropped || n > 0 && (m == dropMode || m == proxyDropsAll)
		if m == proxyDelays {
			time.Sleep(readDelay)
		}
		if n > 0 && !dropped {
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
