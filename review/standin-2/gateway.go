package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gateway is a process of the project's program, started as deploy/system.toml says.
type gateway struct {
	name, zone             string
	front, ready, peer     string
	settings, log, program string
	command                *exec.Cmd
	exited                 chan struct{}
}

// bounds are those of a small deployment.
type fleetSettings struct {
	folder  string
	program string
	store   string
	cloud   string
	// dutyPerS is the rate of calls that the platform takes.
	dutyPerS float64
}

// newGateways prepares n gateways, in zones a, b, c by turns.
func newGateways(n int, f fleetSettings) []*gateway {
	var out []*gateway
	var peers []string
	for i := range n {
		g := &gateway{name: fmt.Sprintf("front-%d", i+1), zone: zoneName(i), front: freeAddress(), ready: freeAddress(), peer: freeAddress(), program: f.program}
		g.settings = filepath.Join(f.folder, g.name+".json")
		g.log = filepath.Join(f.folder, g.name+".log")
		out, peers = append(out, g), append(peers, g.peer)
	}
	for _, g := range out {
		s := map[string]any{
			"identity": g.name, "availability_zone": g.zone, "listen": g.front, "ready_listen": g.ready, "peer_listen": g.peer,
			"peers": peers[:min(3, len(peers))], "platform": "http://" + f.store, "shared_secret": "entries-on-the-control-network",
			"metrics": freeAddress(), "grace_period": "8s", "notice_period": "2700ms", "leaving_limit": "2000ms", "stall_limit": "3000ms",
			"retry_share": 0.2, "retry_slack": 56, "memory_limit_mb": 284,
		}
		if f.cloud != "" {
			names := []string{"metering", "autoscale"}
			s["duties"] = map[string]any{
				"api":   "http://" + f.cloud,
				"usage": map[string]any{"name": "metering", "in": names}, "scale": map[string]any{"name": "autoscale", "in": names},
				"calls_per_second": f.dutyPerS, "lease_duration": "3000ms", "usage_window": "5s", "usage_due": "10s",
			}
		}
		data, err := json.Marshal(s)
		if err == nil {
			err = os.WriteFile(g.settings, data, 0o600)
		}
		if err != nil {
			cannotRun("settings: %v", err)
		}
	}
	return out
}

func zoneName(i int) string { return string(rune('a' + i%3)) }

// freeAddress returns a loopback address that was free a moment ago. Its port is below those
// that the kernel gives to outgoing connections, so that none of them takes it meanwhile.
func freeAddress() string {
	const first, count, tries = 21000, 11000, 100
	for range tries {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+rand.IntN(count)))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String()
		}
	}
	cannotRun("no free port")
	return ""
}

// start starts the process. It writes its log to the folder of the case's run.
func (g *gateway) start() {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	c := exec.Command(g.program, "gateway")
	c.Env = append(os.Environ(), "MAGNOLIAFRONT_SETTINGS="+g.settings)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		cannotRun("start %s: %v", g.name, err)
	}
	g.command, g.exited = c, make(chan struct{})
	go func(done chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(done)
	}(g.exited)
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady(limit time.Duration) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + g.ready + "/-/ready")
		if err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return
			}
		}
	}
	cannotRun("%s does not get ready", g.name)
}

func (g *gateway) signal(s syscall.Signal) { _ = g.command.Process.Signal(s) }

// lives reports whether the process runs.
func (g *gateway) lives() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for it.
func (g *gateway) kill() {
	if g.command == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-g.exited
}
