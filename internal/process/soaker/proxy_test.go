package soaker

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// mode is what a proxy does with the bytes of its connections.
type mode int

const (
	pass mode = iota
	// slow delays each read.
	slow
	// reset cuts all connections and each new one.
	reset
	// deaf drops what comes from the caller, and mute what comes from the server.
	deaf
	mute
	// silent drops both.
	silent
	modes
)

// slowness is the delay of each read in mode slow.
const slowness = 60 * time.Millisecond

// proxy passes connections on to a server on loopback.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     mode
	conns    map[*net.TCPConn]struct{}
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &proxy{listener: l, target: target, conns: map[*net.TCPConn]struct{}{}}
	t.Cleanup(func() {
		_ = l.Close()
		p.set(reset)
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != reset {
		return
	}
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) serve(caller *net.TCPConn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil || p.now() == reset {
		_ = caller.SetLinger(0)
		_ = caller.Close()
		if err == nil {
			_ = server.Close()
		}
		return
	}
	both := []*net.TCPConn{caller, server.(*net.TCPConn)}
	p.mu.Lock()
	for _, c := range both {
		p.conns[c] = struct{}{}
	}
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(both[1], both[0], deaf) })
	copies.Go(func() { p.copy(both[0], both[1], mute) })
	copies.Wait()
	p.mu.Lock()
	for _, c := range both {
		delete(p.conns, c)
	}
	p.mu.Unlock()
}

// copy passes bytes on, unless the mode is the given one or silent. A connection
// that has lost bytes stays silent.
func (p *proxy) copy(to, from *net.TCPConn, dropping mode) {
	b := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(b)
		m := p.now()
		lost = lost || n > 0 && (m == dropping || m == silent)
		if m == slow {
			time.Sleep(slowness)
		}
		if n > 0 && !lost {
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
