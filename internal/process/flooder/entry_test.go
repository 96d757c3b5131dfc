package flooder

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
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

const (
	// memoryLimitMB is the memory limit of the entry, the smallest that its settings take.
	memoryLimitMB = 64
	// maxBodyBytes is the largest body that the configuration allows.
	maxBodyBytes = 4 << 20
	// fileDescriptors is the number of descriptors that an entry may have beside those of
	// its callers.
	fileDescriptors = 200
	// waitTimeout limits each wait for an expected condition.
	waitTimeout = 60 * time.Second
	// readyPollInterval is the time between two looks at a condition that is waited for.
	readyPollInterval = 10 * time.Millisecond
)

// entry is an entry process with a store and one runner.
type entry struct {
	t       *testing.T
	address string
	ready   string
	command *exec.Cmd
	exited  chan struct{}
}

// buildProgram builds the program and returns the path of its binary.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "magnoliafront")
	out, err := exec.Command("go", "build", "-o", binary, "magnoliafront.dev/magnoliafront/cmd/magnoliafront").CombinedOutput()
	if err != nil {
		t.Fatalf("build %s: %v\n%s", binary, err, out)
	}
	return binary
}

// startEntry starts an entry and waits until it is ready.
func startEntry(t *testing.T, binary string) *entry {
	t.Helper()
	is := is.New(t)
	store := startStore(t)
	var addresses [3]string
	for i := range addresses {
		addresses[i] = freeAddress(t)
	}
	settings, err := json.Marshal(map[string]any{
		"identity": "entry-1", "availability_zone": "z", "listen": addresses[0], "ready_listen": addresses[1], "peer_listen": addresses[2],
		"platform": store, "shared_secret": "secret of the test", "grace_period": "8s", "notice_period": "500ms",
		"leaving_limit": "2s", "retry_share": 0.2, "retry_slack": 40, "memory_limit_mb": memoryLimitMB,
	})
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, settings, 0o600))
	log, err := os.Create(filepath.Join(t.ArtifactDir(), "entry.log"))
	is.NoErr(err)
	e := &entry{t: t, address: addresses[0], ready: addresses[1], exited: make(chan struct{})}
	e.command = exec.Command(binary, "gateway", "--settings", path)
	e.command.Stdout, e.command.Stderr = log, log
	is.NoErr(e.command.Start())
	go func() {
		defer close(e.exited)
		_ = e.command.Wait()
		_ = log.Close()
	}()
	t.Cleanup(func() {
		_ = e.command.Process.Kill()
		<-e.exited
	})
	e.await("the entry is ready", func() bool {
		resp, err := http.Get("http://" + e.ready + "/-/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return e
}

// startStore starts a runner and a store that lists it, and returns the URL of the store.
func startStore(t *testing.T) string {
	t.Helper()
	runner, err := emulator.NewRunner("desk-1")
	is.New(t).NoErr(err)
	t.Cleanup(runner.Stop)
	store := emulator.NewObjectStore()
	t.Cleanup(store.Stop)
	server := httptest.NewServer(store.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	store.Put("servers", runner.ID, runner.StoreSpec("desk", "ready"))
	store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "check", "host": "desk.example", "path_prefix": "/check/", "route_type": "idempotent", "service": "desk",
			"timeout_ms": 60000, "target_latency_ms": 60000, "target_gap_ms": 60000, "priority": 1,
			"max_attempts": 2, "resumable": false, "public": false,
		}},
		"services": []any{map[string]any{"name": "desk", "health_check": "/health", "max_connections": 200}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "guides", "api_keys": []any{"key"}}},
	})
	return server.URL
}

// freeAddress returns an address at which nothing listens. Its IP address belongs to this
// process alone, so that no outgoing connection takes the port.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 128+pid>>16&63, pid>>8&255, pid&255))
	is.New(t).NoErr(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// await waits until a condition holds.
func (e *entry) await(condition string, holds func() bool) {
	e.t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(readyPollInterval) {
		e.assertLives()
		if time.Now().After(end) {
			e.t.Fatalf("after %v, not true: %s", waitTimeout, condition)
		}
	}
}

// assertLives checks that the process has not ended.
func (e *entry) assertLives() {
	e.t.Helper()
	select {
	case <-e.exited:
		e.t.Fatalf("the entry has ended: %v", e.command.ProcessState)
	default:
	}
}

// assertServes checks that the entry answers an ordinary request. Refusals that promise
// that the request has not run may come before.
func (e *entry) assertServes() {
	e.t.Helper()
	n := 0
	e.await("an ordinary request is answered", func() bool {
		n++
		return e.post(fmt.Sprint("ordinary-", n), strings.Repeat("x", 2000)) == http.StatusOK
	})
}

// post sends a whole request and returns the status of its answer, 0 if there is none.
func (e *entry) post(id, body string) int {
	ctx := e.t.Context()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+"/check/"+id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host, req.Close = "desk.example", true
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Magnoliafront-Request-Id", id)
	req.Header.Set("Magnoliafront-Deadline-Ms", "30000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
