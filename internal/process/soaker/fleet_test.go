package soaker

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

const (
	entries = 3
	runners = 5
	// retryShare and retrySlack are the budget of all entries for further attempts.
	retryShare = 0.2
	retrySlack = 40
	// patience bounds each wait for something that must come.
	patience = 30 * time.Second
	// restartPause is the time between the end of a process and its restart.
	restartPause = 200 * time.Millisecond
)

// fleet is a store, runners and entries, with a proxy before each runner and
// between each entry and the store.
type fleet struct {
	t       *testing.T
	store   *emulator.ObjectStore
	runners []*emulator.Runner
	proxies []*proxy
	// stranger serves another service, at an address that stood for a runner.
	stranger *emulator.Runner
	entries  []*entry
	version  int
	mu       sync.Mutex
	faults   []fault
	// starts are the times at which entries were started.
	starts []time.Time
}

// fault is a disturbance that was not planned work.
type fault struct {
	start, end time.Time
}

// entry is one entry of the system and its present process.
type entry struct {
	fleet    *fleet
	name     string
	front    string
	ready    string
	settings string
	binary   string
	store    *proxy
	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	// log is the path of the log of the present process.
	log string
	// ending is true while the soak itself ends or restarts the process.
	ending bool
}

func newFleet(t *testing.T, binary string) *fleet {
	t.Helper()
	f := &fleet{t: t, store: emulator.NewObjectStore()}
	t.Cleanup(f.store.Stop)
	srv := httptest.NewServer(f.store.Handler())
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	for i := range runners + 1 {
		r, err := emulator.NewRunner(fmt.Sprint("i-", i))
		is.New(t).NoErr(err)
		t.Cleanup(r.Stop)
		if i == runners {
			f.stranger = r
			break
		}
		f.runners = append(f.runners, r)
		f.proxies = append(f.proxies, newProxy(t, r.Address()))
		f.register(i, "ready")
	}
	f.configure()
	var addresses [entries][3]string
	var peers []string
	for i := range entries {
		addresses[i] = freeAddresses(t, i)
		peers = append(peers, addresses[i][2])
	}
	for i := range entries {
		e := &entry{
			fleet: f, name: fmt.Sprint("entry-", i+1), front: addresses[i][0], ready: addresses[i][1], binary: binary,
			store: newProxy(t, strings.TrimPrefix(srv.URL, "http://")),
		}
		e.write(peers[i], peers)
		f.entries = append(f.entries, e)
		e.start()
		t.Cleanup(e.kill)
	}
	return f
}

// register writes the store's object of a runner, whose address is that of its
// proxy.
func (f *fleet) register(i int, state string) {
	e := f.runners[i].StoreSpec("desk", state)
	e["address"] = f.proxies[i].address()
	f.store.Put("servers", f.runners[i].ID, e)
}

func (f *fleet) configure() {
	f.version++
	route := func(name, kind string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "path_prefix": "/" + name + "/", "route_type": kind, "service": "desk",
			"timeout_ms": 4000, "target_latency_ms": 250, "target_gap_ms": 200, "priority": 1,
			"max_attempts": attempts, "resumable": resumable, "public": false,
		}
	}
	f.store.Put("config", "main", map[string]any{
		"version": f.version,
		"routes": []any{
			route("stream/chat", "streaming", 2, true), route("stream/brief", "streaming", 1, false),
			route("hold", "non_idempotent", 1, false), route("check", "idempotent", 2, false),
		},
		"services": []any{map[string]any{"name": "desk", "health_check": "/health", "max_connections": 200}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "guides", "api_keys": []any{"key"}}},
	})
}

// begin notes a fault and returns the function that notes its end.
func (f *fleet) begin() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := len(f.faults)
	f.faults = append(f.faults, fault{start: time.Now()})
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.faults[i].end = time.Now()
	}
}

// disturbed reports whether a fault may have touched what happened from start to
// end. The effects of a fault last for a while.
func (f *fleet) disturbed(start, end time.Time) bool {
	const after = 3 * time.Second
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.faults {
		if x.start.Before(end) && (x.end.IsZero() || x.end.Add(after).After(start)) {
			return true
		}
	}
	return false
}

func (e *entry) write(peer string, peers []string) {
	data, err := json.Marshal(map[string]any{
		"identity": e.name, "availability_zone": "z", "listen": e.front, "ready_listen": e.ready, "peer_listen": peer, "peers": peers,
		"platform": "http://" + e.store.address(), "shared_secret": "secret of the soak", "grace_period": "8s", "notice_period": "500ms",
		"leaving_limit": "2s", "retry_share": retryShare, "retry_slack": retrySlack,
	})
	is := is.New(e.fleet.t)
	is.NoErr(err)
	e.settings = filepath.Join(e.fleet.t.TempDir(), e.name+".json")
	is.NoErr(os.WriteFile(e.settings, data, 0o600))
}

func (e *entry) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := exec.Command(e.binary, "gateway", "--settings", e.settings)
	log, err := os.Create(filepath.Join(e.fleet.t.ArtifactDir(), fmt.Sprintf("%s-%d.log", e.name, time.Now().UnixMilli())))
	is.New(e.fleet.t).NoErr(err)
	c.Stdout, c.Stderr = log, log
	is.New(e.fleet.t).NoErr(c.Start())
	e.fleet.mu.Lock()
	e.fleet.starts = append(e.fleet.starts, time.Now())
	e.fleet.mu.Unlock()
	exited := make(chan struct{})
	e.command, e.exited, e.log, e.ending = c, exited, log.Name(), false
	go func() {
		defer close(exited)
		err := c.Wait()
		_ = log.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.ending {
			e.fleet.t.Errorf("%s ended by itself: %v, see %s", e.name, err, log.Name())
		}
	}()
}

// signal sends a signal to the present process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.command.Process.Signal(s)
}

// reload sends SIGHUP once the process has written something. Before the
// runtime of Go has started no program can catch a signal.
func (e *entry) reload() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, err := os.Stat(e.log); err == nil && s.Size() > 0 {
		_ = e.command.Process.Signal(syscall.SIGHUP)
	}
}

// end ends the process by a signal and waits for it.
func (e *entry) end(s syscall.Signal) {
	e.mu.Lock()
	e.ending = true
	_ = e.command.Process.Signal(s)
	exited := e.exited
	e.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(patience):
		e.fleet.t.Errorf("%s did not end", e.name)
	}
}

func (e *entry) kill() { e.end(syscall.SIGKILL) }

func (e *entry) restart(s syscall.Signal) {
	e.end(s)
	time.Sleep(restartPause)
	e.start()
}

func (e *entry) isReady() bool {
	resp, err := http.Get("http://" + e.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freeAddresses returns addresses for entry i. Each entry has an IP address of
// its own, so that no outgoing connection takes its ports while it is down.
func freeAddresses(t *testing.T, i int) (all [3]string) {
	t.Helper()
	for j := range all {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 2+i))
		is.New(t).NoErr(err)
		defer func() { _ = l.Close() }()
		all[j] = l.Addr().String()
	}
	return all
}
