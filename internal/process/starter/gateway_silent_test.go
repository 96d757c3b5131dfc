package starter

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

// silencingProxy forwards TCP connections to a server. From a call of silence on,
// it drops all data on the connections that were open then, without closing them;
// later connections work.
type silencingProxy struct {
	listener    net.Listener
	connections atomic.Int64
	// lastSilenced is the number of the last silenced connection. Connections are
	// numbered from 1 in the order of their opening.
	lastSilenced atomic.Int64
}

func newSilencingProxy(t *testing.T, target string) *silencingProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	p := &silencingProxy{listener: l}
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
			number := p.connections.Add(1)
			go p.forward(server, caller, number)
			go p.forward(caller, server, number)
		}
	}()
	return p
}

func (p *silencingProxy) silence() { p.lastSilenced.Store(p.connections.Load()) }

func (p *silencingProxy) forward(to, from net.Conn, number int64) {
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
		if number <= p.lastSilenced.Load() {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// A keep-alive connection that goes silent must cost an idempotent request at
// most one more attempt, and must not make a non-idempotent request run twice.
func TestGatewaySilentConnectionCostsOneAttempt(t *testing.T) {
	r := newGatewayFixture(t, 2)
	p := newSilencingProxy(t, r.runners[0].Address())
	e := r.runners[0].StoreSpec("desk", "ready")
	e["address"] = p.listener.Addr().String()
	r.store.Put("servers", r.runners[0].ID, e)
	g := r.startReadyEntry()
	assertEventually(t, "the entry has a keep-alive connection", func() bool {
		assertStatus(t, g.call(http.MethodPost, "/check/1", "k", "", nil), http.StatusOK)
		return p.connections.Load() > 0
	})
	p.silence()
	for i := range 6 {
		id := fmt.Sprint("s", i)
		assertStatus(t, g.call(http.MethodPost, "/check/1", id, "", nil), http.StatusOK)
	}
	p.silence()
	a := g.call(http.MethodPost, "/hold/1", "h", "", func(req *http.Request) { req.Header.Set("Magnoliafront-Deadline-Ms", "700") })
	is := is.New(t)
	is.NoErr(a.err)
	is.True(a.status == http.StatusOK || a.status == http.StatusGatewayTimeout || a.status == http.StatusBadGateway)
	is.True(len(r.executedRequests("h")) <= 1)
}

// A sound upstream that is silent for a second or so must not cost the caller its
// answer: the entry ended the silent attempt before it had another one, and cut the
// stream off when the other upstream refused.
func TestGatewayKeepsAnswerOfSilentUpstream(t *testing.T) {
	for _, c := range []struct{ name, path string }{
		{"stream that has begun", "/stream/chat/1"},
		{"call", "/check/1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newGatewayFixture(t, 2)
			g := r.startReadyEntry()
			r.setBehaviour(emulator.RunnerRefuses)
			r.setBehaviourOnce(emulator.RunnerPauses)
			answers := make(chan answer, 1)
			go func() { answers <- g.call(http.MethodPost, c.path, "x1", "", nil) }()
			assertEventually(t, "the other upstream has refused", func() bool { return len(r.allRequests()) > 1 })
			for _, run := range r.runners {
				close(run.Continue)
			}
			a := <-answers
			assertStatus(t, a, http.StatusOK)
			assertExecuted(t, r, "x1", 1)
			if strings.HasPrefix(c.path, "/stream/") {
				assertStream(t, a, "x1", r.runners[0].Events)
			}
		})
	}
}
