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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

const (
	entryCount  = 3
	runnerCount = 5
	// retryShare and retrySlack are the retry budget over all entries: a share of
	// the requests, and a number of retries on top.
	retryShare = 0.2
	retrySlack = 40
	// defaultGrace is the time between SIGTERM and the end of an entry at the latest.
	defaultGrace = 8 * time.Second
	// waitTimeout limits each wait for an expected condition.
	waitTimeout = 30 * time.Second
	// restartPause is the time between the end of a process and its restart.
	restartPause = 200 * time.Millisecond
)

// fleet is a store, runners and entries, with a proxy in front of each runner and
// between each entry and the store.
type fleet struct {
	t       *testing.T
	store   *emulator.ObjectStore
	runners []*emulator.Runner
	proxies []*proxy
	// runnerStarts is the number of starts of each runner after the first.
	runnerStarts [runnerCount]atomic.Int64
	// foreignRunner serves another service. It is registered at the address of a
	// removed runner.
	foreignRunner *emulator.Runner
	entries       []*entry
	// storeAddress is the address of the store, which each entry reaches through a
	// proxy.
	storeAddress string
	// routes are the routes of the next configuration.
	routes        []any
	configVersion int
	// grace is the grace period of the entries.
	grace  time.Duration
	mu     sync.Mutex
	faults []fault
	// entryStarts holds the start time of each entry process.
	entryStarts []time.Time
}

// fault is the time range of an injected fault. Its end is zero while it lasts.
type fault struct {
	start, end time.Time
}

// entry is one entry of the system and its current process.
type entry struct {
	process
	fleet        *fleet
	address      string
	readyAddress string
	settingsPath string
	binaryPath   string
	storeProxy   *proxy
}

// newFleet starts all processes and stops them at the end of the test.
func newFleet(t *testing.T, binary string) *fleet {
	t.Helper()
	f := newEmptyFleet(t)
	for i := range runnerCount + 1 {
		r, err := emulator.NewRunner(fmt.Sprint("i-", i))
		is.New(t).NoErr(err)
		t.Cleanup(r.Stop)
		if i == runnerCount {
			f.foreignRunner = r
			break
		}
		if i%2 == 1 {
			r.SetRetryAfter("0.7")
		}
		f.runners = append(f.runners, r)
		f.proxies = append(f.proxies, newProxy(t, r.Address()))
		f.registerRunner(i, "ready")
	}
	f.routes = []any{
		newRoute("stream/chat", "streaming", 2, true), newRoute("stream/brief", "streaming", 1, false),
		newRoute("hold", "non_idempotent", 1, false), newRoute("check", "idempotent", 2, false),
	}
	f.writeConfig()
	f.startEntries(binary, 0, entryCount)
	return f
}

// newEmptyFleet starts a store, without runners and entries.
func newEmptyFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, store: emulator.NewObjectStore(), grace: defaultGrace}
	t.Cleanup(f.store.Stop)
	srv := httptest.NewServer(f.store.Handler())
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	f.storeAddress = strings.TrimPrefix(srv.URL, "http://")
	return f
}

// startEntries starts entries at the IP addresses from number first on, and kills them at
// the end of the test.
func (f *fleet) startEntries(binary string, first, count int) {
	var addresses [][3]string
	var peers []string
	for i := range count {
		addresses = append(addresses, freeAddresses(f.t, first+i))
		peers = append(peers, addresses[i][2])
	}
	for i := range count {
		e := &entry{
			process: process{t: f.t, name: fmt.Sprint("entry-", i+1)}, fleet: f,
			address: addresses[i][0], readyAddress: addresses[i][1], binaryPath: binary, storeProxy: newProxy(f.t, f.storeAddress),
		}
		e.writeSettings(peers[i], peers)
		f.entries = append(f.entries, e)
		e.start()
		f.t.Cleanup(e.kill)
	}
}

// registerRunner writes the object of runner i to the store, with the address of
// its proxy.
func (f *fleet) registerRunner(i int, state string) {
	e := f.runners[i].StoreSpec("desk", state)
	e["address"], e["born"] = f.proxies[i].address(), 1+f.runnerStarts[i].Load()
	f.store.Put("servers", f.runners[i].ID, e)
}

// newServerSpec returns the spec of the object that registers an upstream of many slots.
func newServerSpec(address, state string, born int) map[string]any {
	return map[string]any{
		"service": "desk", "address": address, "zone": "z", "version": "v1", "slots": 64,
		"state": state, "warmup_left_ms": 0, "sequence": 1, "born": born,
	}
}

// newRoute returns a route below /name/ as the store spells it.
func newRoute(name, kind string, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "path_prefix": "/" + name + "/", "route_type": kind, "service": "desk",
		"timeout_ms": 4000, "target_latency_ms": 250, "target_gap_ms": 200, "priority": 1,
		"max_attempts": attempts, "resumable": resumable, "public": false,
	}
}

// writeConfig writes the next version of the configuration to the store.
func (f *fleet) writeConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configVersion++
	f.store.Put("config", "main", map[string]any{
		"version":  f.configVersion,
		"routes":   f.routes,
		"services": []any{map[string]any{"name": "desk", "health_check": "/health", "max_connections": 200}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "guides", "api_keys": []any{"key"}}},
	})
}

// beginFault records the start of a fault and returns the function that records
// its end.
func (f *fleet) beginFault() (end func()) {
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

// overlapsFault reports whether a fault may have affected a request from start to
// end. The effects of a fault last longer than the fault itself.
func (f *fleet) overlapsFault(start, end time.Time) bool {
	const effectTime = 3 * time.Second
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.faults {
		if x.start.Before(end) && (x.end.IsZero() || x.end.Add(effectTime).After(start)) {
			return true
		}
	}
	return false
}

// writeSettings writes the settings file of the entry.
func (e *entry) writeSettings(peer string, peers []string) {
	data, err := json.Marshal(map[string]any{
		"identity": e.name, "availability_zone": "z", "listen": e.address, "ready_listen": e.readyAddress, "peer_listen": peer, "peers": peers,
		"platform": "http://" + e.storeProxy.address(), "shared_secret": "secret of the soak", "grace_period": e.fleet.grace.String(), "notice_period": "500ms",
		"leaving_limit": "2s", "retry_share": retryShare, "retry_slack": retrySlack,
	})
	is := is.New(e.t)
	is.NoErr(err)
	e.settingsPath = filepath.Join(e.t.TempDir(), e.name+".json")
	is.NoErr(os.WriteFile(e.settingsPath, data, 0o600))
}

// start starts a process of the entry. The test fails if the process exits although
// expectExit is false.
func (e *entry) start() {
	log, err := os.Create(filepath.Join(e.t.ArtifactDir(), fmt.Sprintf("%s-%d.log", e.name, time.Now().UnixMilli())))
	is.New(e.t).NoErr(err)
	c := exec.Command(e.binaryPath, "gateway", "--settings", e.settingsPath)
	c.Stdout, c.Stderr = log, log
	e.run(c, log)
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	e.fleet.entryStarts = append(e.fleet.entryStarts, time.Now())
}

// reload sends SIGHUP if the process has written to its log. Before that, the Go
// runtime may not have installed its signal handlers yet, and SIGHUP would
// terminate the process.
func (e *entry) reload() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, err := os.Stat(e.logPath); err == nil && s.Size() > 0 {
		_ = e.command.Process.Signal(syscall.SIGHUP)
	}
}

func (e *entry) restart(s syscall.Signal) {
	e.terminate(s)
	time.Sleep(restartPause)
	e.start()
}

func (e *entry) isReady() bool {
	resp, err := http.Get("http://" + e.readyAddress + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freeAddresses returns listen addresses at the IP address with number i. Each entry has its own IP
// address, so that no outgoing connection uses its ports while it is down.
func freeAddresses(t *testing.T, i int) (addresses [3]string) {
	t.Helper()
	for j := range addresses {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 2+i))
		is.New(t).NoErr(err)
		defer func() { _ = l.Close() }()
		addresses[j] = l.Addr().String()
	}
	return addresses
}
