package starter

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// tcpProxy forwards TCP connections to a process and can close them. Its address
// stays the same when its target is replaced.
type tcpProxy struct {
	listener net.Listener
	// mu guards the fields below, which the test and all connections use.
	mu     sync.Mutex
	target string
	conns  map[net.Conn]struct{}
}

func newTCPProxy(t *testing.T) *tcpProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &tcpProxy{listener: l, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	t.Cleanup(func() { _ = l.Close(); p.closeConnections() })
	return p
}

func (p *tcpProxy) forward(c net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	pass := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		_, _ = to.Close(), from.Close()
	}
	both.Go(func() { pass(out, c) })
	both.Go(func() { pass(c, out) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, out)
	p.mu.Unlock()
}

// setTarget forwards connections that are opened from now on to target.
func (p *tcpProxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// cut closes all open connections and forwards no new ones.
func (p *tcpProxy) cut(t *testing.T) {
	t.Helper()
	p.setTarget(freeAddress(t))
	p.closeConnections()
}

// closeConnections closes all open connections.
func (p *tcpProxy) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// faultyEngine is a stand-in for a model engine that can be slowed down and
// crashed.
type faultyEngine struct {
	next    *emulator.Engine
	crashes atomic.Int64
	down    atomic.Bool
	// poison is the text that crashes the engine if a request contains it. Nil means
	// no text.
	poison atomic.Pointer[[]byte]
}

func newFaultyEngine(t *testing.T, c timer.Clock, prefill, gap time.Duration) *faultyEngine {
	e := &faultyEngine{next: emulator.NewEngine(emulator.EngineOptions{
		Clock: c, Batch: emulator.BatchOptions{PromptDelay: prefill, DecodeTime: gap},
	})}
	t.Cleanup(e.next.Stop)
	return e
}

func (e *faultyEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if e.down.Load() {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	p := e.poison.Load()
	e.next.ServeHTTP(&crashWriter{ResponseWriter: w, e: e, crashes: e.crashes.Load(), poisoned: p != nil && bytes.Contains(body, *p)}, r)
}

// crashWriter aborts the answer if the engine crashes while it answers.
type crashWriter struct {
	http.ResponseWriter
	e *faultyEngine
	// crashes is the number of crashes of the engine before the request.
	crashes int64
	// poisoned is set if the request contains the poison of the engine, so that the
	// first write of its answer crashes the engine.
	poisoned bool
}

func (w *crashWriter) Write(data []byte) (int, error) {
	if w.poisoned {
		w.e.crashes.Add(1)
	}
	if w.e.crashes.Load() != w.crashes {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the wrapped writer, through which http.ResponseController
// flushes.
func (w *crashWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
