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

// wire forwards TCP connections to an agent, whatever process is the agent at
// the time, and can cut them.
type wire struct {
	listener net.Listener
	// mu guards the fields below, which the test and all connections use.
	mu     sync.Mutex
	target string
	conns  map[net.Conn]struct{}
}

func newWire(t *testing.T) *wire {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	w := &wire{listener: l, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.forward(c)
		}
	}()
	t.Cleanup(func() { _ = l.Close(); w.cut() })
	return w
}

func (w *wire) forward(c net.Conn) {
	w.mu.Lock()
	target := w.target
	w.mu.Unlock()
	out, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	w.mu.Lock()
	w.conns[c], w.conns[out] = struct{}{}, struct{}{}
	w.mu.Unlock()
	var both sync.WaitGroup
	pass := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		_, _ = to.Close(), from.Close()
	}
	both.Go(func() { pass(out, c) })
	both.Go(func() { pass(c, out) })
	both.Wait()
	w.mu.Lock()
	delete(w.conns, c)
	delete(w.conns, out)
	w.mu.Unlock()
}

// lead makes new connections go to target.
func (w *wire) lead(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.target = target
}

// cut closes all connections.
func (w *wire) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

// engine is the stand-in of a model engine that can be slowed and crashed.
type engine struct {
	next  *emulator.Engine
	crash atomic.Int64
	down  atomic.Bool
	// poison is the text of requests that crash the engine. Nil means none.
	poison atomic.Pointer[[]byte]
}

func newEngine(t *testing.T, prefill, gap time.Duration) *engine {
	e := &engine{next: emulator.NewEngine(emulator.EngineOptions{
		Clock: timer.System{}, Batch: emulator.BatchOptions{PromptDelay: prefill, DecodeTime: gap},
	})}
	t.Cleanup(e.next.Stop)
	return e
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if e.down.Load() {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	p := e.poison.Load()
	e.next.ServeHTTP(&crashWriter{ResponseWriter: w, e: e, crashes: e.crash.Load(), poisoned: p != nil && bytes.Contains(body, *p)}, r)
}

// crashWriter is the answer of an engine that may crash.
type crashWriter struct {
	http.ResponseWriter
	e        *engine
	crashes  int64
	poisoned bool
}

func (m *crashWriter) Write(data []byte) (int, error) {
	if m.poisoned {
		m.e.crash.Add(1)
	}
	if m.e.crash.Load() != m.crashes {
		panic(http.ErrAbortHandler)
	}
	return m.ResponseWriter.Write(data)
}

// Unwrap lets the handler flush.
func (m *crashWriter) Unwrap() http.ResponseWriter { return m.ResponseWriter }
