package starter

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// silencingProxy passes connections on to a server. Those that are open when it is muted
// go silent for good, without an end; later ones work.
type silencingProxy struct {
	listener    net.Listener
	connections atomic.Int64
	// lastSilenced is the number of the last connection that is silent.
	lastSilenced atomic.Int64
}

func newSilencingProxy(t *testing.T, target string) *silencingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	m := &silencingProxy{listener: l}
	go func() {
		for {
			caller, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = caller.Close()
				continue
			}
			number := m.connections.Add(1)
			go m.forward(server, caller, number)
			go m.forward(caller, server, number)
		}
	}()
	return m
}

func (m *silencingProxy) silence() { m.lastSilenced.Store(m.connections.Load()) }

func (m *silencingProxy) forward(to, from net.Conn, number int64) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if number <= m.lastSilenced.Load() {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// A kept connection that has gone silent must cost an idempotent request no more
// than another attempt, and must not make one that runs once run twice.
func TestGatewaySilentConnectionCostsOneAttempt(t *testing.T) {
	r := newGatewayFixture(t, 2)
	m := newSilencingProxy(t, r.runners[0].Address())
	e := r.runners[0].StoreSpec("desk", "ready")
	e["address"] = m.listener.Addr().String()
	r.store.Put("servers", r.runners[0].ID, e)
	g := r.startReadyEntry()
	assertEventually(t, "a connection is kept", func() bool {
		assertStatus(t, g.call(http.MethodPost, "/check/1", "k", "", nil), http.StatusOK)
		return m.connections.Load() > 0
	})
	m.silence()
	for i := range 6 {
		id := fmt.Sprint("s", i)
		assertStatus(t, g.call(http.MethodPost, "/check/1", id, "", nil), http.StatusOK)
	}
	m.silence()
	a := g.call(http.MethodPost, "/hold/1", "h", "", func(req *http.Request) { req.Header.Set("Magnoliafront-Deadline-Ms", "700") })
	is := is.New(t)
	is.NoErr(a.err)
	is.True(a.status == http.StatusOK || a.status == http.StatusGatewayTimeout || a.status == http.StatusBadGateway)
	is.True(len(r.executedRequests("h")) <= 1)
}
