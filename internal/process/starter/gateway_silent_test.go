package starter

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// muter passes connections on to a server. Those that are open when it is muted
// go silent for good, without an end; later ones work.
type muter struct {
	listener net.Listener
	opened   atomic.Int64
	// muted is the number of the last connection that is silent.
	muted atomic.Int64
}

func newMuter(t *testing.T, target string) *muter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	m := &muter{listener: l}
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
			number := m.opened.Add(1)
			go m.copy(server, caller, number)
			go m.copy(caller, server, number)
		}
	}()
	return m
}

func (m *muter) mute() { m.muted.Store(m.opened.Load()) }

func (m *muter) copy(to, from net.Conn, number int64) {
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
		if number <= m.muted.Load() {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// A kept connection that has gone silent must cost an idempotent request no more
// than another attempt, and must not make one that runs once run twice.
func TestGatewaySilentConnection(t *testing.T) {
	r := newGatewayRig(t, 2)
	m := newMuter(t, r.runners[0].Address())
	e := r.runners[0].StoreSpec("desk", "ready")
	e["address"] = m.listener.Addr().String()
	r.store.Put("servers", r.runners[0].ID, e)
	g := r.readyEntry()
	assertEventually(t, "a connection is kept", func() bool {
		assertStatus(t, g.call(http.MethodPost, "/check/1", "k", "", nil), http.StatusOK)
		return m.opened.Load() > 0
	})
	m.mute()
	for i := range 6 {
		id := fmt.Sprint("s", i)
		assertStatus(t, g.call(http.MethodPost, "/check/1", id, "", nil), http.StatusOK)
	}
	m.mute()
	a := g.call(http.MethodPost, "/hold/1", "h", "", func(req *http.Request) { req.Header.Set("Magnoliafront-Deadline-Ms", "700") })
	is := is.New(t)
	is.NoErr(a.err)
	is.True(a.status == http.StatusOK || a.status == http.StatusGatewayTimeout || a.status == http.StatusBadGateway)
	is.True(len(r.executed("h")) <= 1)
}
