package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

const (
	// gatewayProgram and gatewayCommand are the command of the deploy file.
	gatewayProgram = "target/magnoliafront"
	gatewayCommand = "gateway"
	// startTimeout is the maximum time until a process is ready.
	startTimeout = 15 * time.Second
)

// fleet is a small deployment: a store, runners and entries.
type fleet struct {
	record  *record
	trouble bool
	// limit is the number of descriptors of an entry, zero for the usual one.
	limit int

	mu      sync.Mutex
	folder  string
	store   *emulator.ObjectStore
	server  *http.Server
	address string
	started []*process
	stopped bool
	runners int
}

func newFleet(r *record, trouble bool) *fleet { return &fleet{record: r, trouble: trouble} }

// process is a process that this case has started.
type process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// start starts a process that is killed when the fleet stops.
func (f *fleet) start(name string, c *exec.Cmd) (*process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return nil, errors.New("the fleet has stopped")
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, command: c, exited: make(chan struct{})}
	go func() {
		defer close(p.exited)
		_ = c.Wait()
	}()
	f.started = append(f.started, p)
	return p, nil
}

// stop ends all processes and the store, and removes the folder of the settings.
func (f *fleet) stop() {
	f.mu.Lock()
	if f.stopped {
		f.mu.Unlock()
		return
	}
	f.stopped = true
	started := f.started
	f.mu.Unlock()
	for _, p := range started {
		p.kill()
	}
	if f.server != nil {
		_ = f.server.Close()
		f.store.Stop()
	}
	if f.folder != "" {
		_ = os.RemoveAll(f.folder) //nolint:gosec // the temporary folder of this case
	}
}

// startStore starts the store of the platform with a configuration.
func (f *fleet) startStore(configuration map[string]any) error {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.folder, f.store, f.address = folder, emulator.NewObjectStore(), l.Addr().String()
	f.server = &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(l) }()
	f.store.Put("config", "main", configuration)
	return nil
}

// entry is a gateway process with its addresses.
type entry struct {
	*process
	fleet   *fleet
	name    string
	clients string
	ready   string
	control string
	metrics string
}

// newEntry returns an entry on free addresses. Its process is not started.
func (f *fleet) newEntry(name string) (*entry, error) {
	e := &entry{fleet: f, name: name}
	for _, a := range []*string{&e.clients, &e.ready, &e.control, &e.metrics} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		*a = l.Addr().String()
	}
	return e, nil
}

// startEntries starts a number of entries and waits until they are ready.
func (f *fleet) startEntries(n int) ([]*entry, error) {
	var all []*entry
	var seeds []string
	for i := range n {
		e, err := f.newEntry(fmt.Sprintf("front-%d", i+1))
		if err != nil {
			return nil, err
		}
		all, seeds = append(all, e), append(seeds, e.control)
	}
	for _, e := range all {
		if err := e.start(seeds); err != nil {
			return nil, err
		}
	}
	for _, e := range all {
		if err := e.awaitReady(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// start starts the process of the entry with the command and the template of settings
// of the deploy file, and the bounds of a small deployment.
func (e *entry) start(seeds []string) error {
	settings := map[string]any{
		"identity": e.name, "availability_zone": "z", "listen": e.clients, "ready_listen": e.ready,
		"peer_listen": e.control, "peers": seeds, "platform": "http://" + e.fleet.address,
		"shared_secret": "entries-on-the-control-network", "metrics": e.metrics,
		"grace_period": "8s", "notice_period": "2700ms", "leaving_limit": "2000ms", "stall_limit": "3000ms",
		"retry_share": 0.2, "retry_slack": 56,
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(e.fleet.folder, e.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil { //nolint:gosec // in the temporary folder of this case
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.fleet.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // in the temporary folder of this case
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(gatewayProgram, gatewayCommand)
	if e.fleet.limit > 0 {
		c = limitedCommand(e.fleet.limit, gatewayProgram, gatewayCommand)
	}
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MAGNOLIAFRONT_SETTINGS=" + path}
	c.Stdout, c.Stderr = log, log
	e.process, err = e.fleet.start(e.name, c)
	if err == nil {
		e.fleet.record.logf("entry %s started, clients at %s", e.name, e.clients)
	}
	return err
}

func (e *entry) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + e.ready + "/-/ready") //nolint:gosec // a loopback address of this case
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry %s is not ready after %v", e.name, startTimeout)
}

// runner is a runner process and its object in the store.
type runner struct {
	*process
	id      string
	address string
	// events receives the lines that the runner prints, such as "runs ID".
	events chan string
}

// startRunner starts a runner of a service and registers it in the store.
func (f *fleet) startRunner(service, behaviour string, events chan string) (*runner, error) {
	f.mu.Lock()
	f.runners++
	id := fmt.Sprintf("i-%08d", f.runners)
	f.mu.Unlock()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := exec.Command(self, "runner", id, behaviour)
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, events: events}
	if r.process, err = f.start(id, c); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("runner %s did not start", id)
	}
	r.address = strings.TrimPrefix(lines.Text(), "listens at ")
	f.record.logf("runner %s of %s started at %s", id, service, r.address)
	go func() {
		for lines.Scan() {
			f.record.logf("runner %s %s", id, lines.Text())
			events <- id + " " + lines.Text()
		}
	}()
	f.store.Put("servers", id, map[string]any{
		"service": service, "address": r.address, "zone": "z", "version": "v1", "slots": 6,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return r, nil
}

// heartbeatTimeout is the time of three heartbeats, after which the platform removes the
// object of a silent runner.
const heartbeatTimeout = 3600 * time.Millisecond

// expire removes the object of a runner that has crashed, after heartbeatTimeout.
func (f *fleet) expire(r *runner) {
	time.AfterFunc(heartbeatTimeout, func() { f.store.Delete("servers", r.id) })
}
