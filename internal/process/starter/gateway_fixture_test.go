package starter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// gatewayFixture runs a store, runners, which stand in for the upstreams, and
// entries that call them directly, all on loopback.
type gatewayFixture struct {
	t                    *testing.T
	store                *emulator.ObjectStore
	storeURL             string
	runners              []*emulator.Runner
	configurationVersion int
	// noticePeriod and gracePeriod are the periods of the entries that are started
	// next, and clock is their clock.
	noticePeriod string
	gracePeriod  string
	clock        timer.Clock
	// duties are the duties of the entries that are started next, nil for none.
	duties *loader.Duties
	// secret is that of the entries that are started next. Entries with different ones have
	// no links.
	secret string
}

// waitTimeout bounds each wait of a test. Waits usually end long before.
const waitTimeout = 20 * time.Second

func newGatewayFixture(t *testing.T, runners int) *gatewayFixture {
	t.Helper()
	r := &gatewayFixture{t: t, store: emulator.NewObjectStore(), noticePeriod: "50ms", gracePeriod: "8s", clock: timer.System{}, secret: "secret of the test"}
	r.storeURL = r.serveStore(r.store).URL
	t.Cleanup(r.store.Stop)
	for i := range runners {
		run, err := emulator.NewRunner(fmt.Sprint("i-", i))
		is.New(t).NoErr(err)
		t.Cleanup(run.Stop)
		r.runners = append(r.runners, run)
		r.store.Put("servers", run.ID, run.StoreSpec("desk", "ready"))
	}
	r.configure(nil)
	return r
}

// serveStore serves a store on a server of its own.
func (r *gatewayFixture) serveStore(s *emulator.ObjectStore) *httptest.Server {
	srv := httptest.NewServer(s.Handler())
	r.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv
}

// configure writes the default configuration under a new version, after change has
// modified it. change may be nil.
func (r *gatewayFixture) configure(change func(c map[string]any)) {
	r.configurationVersion++
	route := func(name, prefix, kind string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "path_prefix": prefix, "route_type": kind, "service": "desk",
			"timeout_ms": 15000, "target_latency_ms": 250, "target_gap_ms": 200, "priority": 1,
			"max_attempts": attempts, "resumable": resumable, "public": false,
		}
	}
	c := map[string]any{
		"version": r.configurationVersion,
		"routes": []any{
			route("chat", "/stream/chat/", "streaming", 2, true), route("brief", "/stream/brief/", "streaming", 1, false),
			route("hold", "/hold/", "non_idempotent", 1, false), route("check", "/check/", "idempotent", 2, false),
		},
		"services": []any{map[string]any{"name": "desk", "health_check": "/health", "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "guides", "api_keys": []any{"key"}}},
	}
	if change != nil {
		change(c)
	}
	r.store.Put("config", "main", c)
}

// gateway is an entry of a fixture.
type gateway struct {
	t             *testing.T
	app           *fx.App
	callerAddress string
	readyAddress  string
	peerAddress   string
	// metricsAddress is where the entry serves its metrics and explains requests.
	metricsAddress string
	forwarder      *forwarder.Forwarder
	peering        *peering
	meter          *meter.Meter
}

// startEntry starts an entry that uses the store at url and the peers as seeds.
func (r *gatewayFixture) startEntry(name, url string, peers ...string) *gateway {
	r.t.Helper()
	is := is.New(r.t)
	g := &gateway{t: r.t, callerAddress: freeAddress(r.t), readyAddress: freeAddress(r.t), peerAddress: freeAddress(r.t), metricsAddress: freeAddress(r.t)}
	s := loader.Gateway{
		Common: loader.Common{
			Identity: name, AvailabilityZone: "z", PeerListen: g.peerAddress, Platform: url,
			SharedSecret: r.secret, Peers: peers, Metrics: g.metricsAddress,
		},
		Listen: g.callerAddress, ReadyListen: g.readyAddress, GracePeriod: r.gracePeriod, NoticePeriod: r.noticePeriod, LeavingLimit: "2s", RetryShare: 0.2, RetrySlack: 50,
		Duties: r.duties,
	}
	is.NoErr(s.Check())
	path := filepath.Join(r.t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte("{}"), 0o600))
	g.app = fx.New(Gateway(s, SettingsFile{Path: path}), fx.Populate(&g.forwarder, &g.peering, &g.meter),
		fx.Decorate(func(timer.Clock) timer.Clock { return r.clock }))
	is.NoErr(g.app.Err())
	is.NoErr(g.app.Start(context.Background()))
	r.t.Cleanup(func() { _ = g.app.Stop(context.Background()) })
	return g
}

// startReadyEntry starts an entry on the store of the fixture and waits until it
// is ready.
func (r *gatewayFixture) startReadyEntry() *gateway {
	r.t.Helper()
	g := r.startEntry("entry-1", r.storeURL)
	assertEventually(r.t, "ready", g.isReady)
	return g
}

// freeAddress returns an address at which nothing listens. Its IP address belongs to this
// process alone, since an outgoing connection from 127.0.0.1 may take any free port there
// before an entry listens on it. No address is returned twice: two of those of an entry were
// the same now and then.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, pid&255))
		is.New(t).NoErr(err)
		address := l.Addr().String()
		_ = l.Close()
		if _, taken := takenAddresses.LoadOrStore(address, struct{}{}); !taken {
			return address
		}
	}
}

// takenAddresses has the addresses that freeAddress has returned.
var takenAddresses sync.Map

func (g *gateway) isReady() bool {
	resp, err := http.Get("http://" + g.readyAddress + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer is the answer that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set if there is no answer or its body is incomplete.
	err error
}

// call sends a request on a new connection, after change has modified it. change
// may be nil.
func (g *gateway) call(method, path, id, body string, change func(*http.Request)) answer {
	g.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return g.callWith(client, method, path, id, body, change)
}

func (g *gateway) callWith(client *http.Client, method, path, id, body string, change func(*http.Request)) answer {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req := g.newRequest(ctx, method, path, id, body)
	if change != nil {
		change(req)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// newRequest returns a request with the headers of a caller.
func (g *gateway) newRequest(ctx context.Context, method, path, id, body string) *http.Request {
	g.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.callerAddress+path, strings.NewReader(body))
	is.New(g.t).NoErr(err)
	req.Host = "desk.example"
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Magnoliafront-Request-Id", id)
	req.Header.Set("Magnoliafront-Deadline-Ms", "10000")
	return req
}

// setBehaviour sets the behaviour of all runners.
func (r *gatewayFixture) setBehaviour(b emulator.RunnerBehaviour) {
	for _, run := range r.runners {
		run.SetBehaviour(b)
	}
}

// setBehaviourOnce sets the behaviour for the next request only, whichever runner
// it reaches.
func (r *gatewayFixture) setBehaviourOnce(b emulator.RunnerBehaviour) {
	once := &emulator.OneTimeBehaviour{Behaviour: b}
	for _, run := range r.runners {
		run.SetOnce(once)
	}
}

func (r *gatewayFixture) allRequests() []*emulator.RunnerRequest {
	var out []*emulator.RunnerRequest
	for _, run := range r.runners {
		out = append(out, run.Requests()...)
	}
	return out
}

// executedRequests returns the executions of the request with an id by all
// runners.
func (r *gatewayFixture) executedRequests(id string) []*emulator.RunnerRequest {
	var out []*emulator.RunnerRequest
	for _, run := range r.allRequests() {
		if run.ID == id && run.Executed {
			out = append(out, run)
		}
	}
	return out
}

// assertEventually waits until ok returns true and fails the test after
// waitTimeout.
func assertEventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition %q does not hold after %v", condition, waitTimeout)
}

func assertStatus(t *testing.T, a answer, status int) {
	t.Helper()
	is := is.New(t)
	is.NoErr(a.err)
	is.Equal(a.status, status)
}

// assertStream checks that an answer consists of all events of a stream, each
// once and in order.
func assertStream(t *testing.T, a answer, id string, events int) {
	t.Helper()
	assertStatus(t, a, http.StatusOK)
	want := ""
	for i := 1; i <= events; i++ {
		want += emulator.Event(id, i)
	}
	is.New(t).Equal(a.body, want)
}

// assertExecuted checks how many times the runners executed a request.
func assertExecuted(t *testing.T, r *gatewayFixture, id string, want int) {
	t.Helper()
	is.New(t).Equal(len(r.executedRequests(id)), want)
}
