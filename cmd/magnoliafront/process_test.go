package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
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
	"magnoliafront.dev/magnoliafront/internal/process/starter"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// fleet is a set of processes started from the built command.
type fleet struct {
	t             *testing.T
	binary        string
	dir           string
	platform      string
	settingsCount int
}

// process is one running process.
type process struct {
	command *exec.Cmd
	// readyFields holds the space-separated fields of the ready line that the
	// process printed.
	readyFields []string
	// exit receives the result of Wait when the process has ended.
	exit chan error
}

// No request must fail while the entries and agents, which run as separate
// processes, are replaced one after another, nor when an agent is killed.
func TestRequestsCompleteWhileProcessesAreReplacedOrKilled(t *testing.T) {
	f := newFleet(t)
	var upstreams []upstreamRecord
	var agents []*process
	for i := 1; i <= 3; i++ {
		name := fmt.Sprint("desk-", i)
		engine := f.start("emulate", "engine", "--prefill", "5ms", "--gap", "3ms")
		agent := f.startAgent(name, engine.readyFields[2], "127.0.0.1:0")
		agents = append(agents, agent)
		upstreams = append(upstreams, upstreamRecord{name, agent.readyFields[2], engine.readyFields[2]})
	}
	f.applyRecords(upstreams)
	entries := []*process{f.startEntry("entry-1"), f.startEntry("entry-2")}
	for _, entry := range entries {
		f.awaitReady(entry)
	}
	balancer := &loadBalancer{t: t, urls: []string{entries[0].readyFields[2], entries[1].readyFields[2]}}

	t.Run("rolling replacement fails no request", func(t *testing.T) {
		balancer.t = t
		stopLoad := balancer.startLoad(4)
		for i, agent := range agents {
			name := upstreams[i].name
			joined := f.countJoined(name, entries)
			assertGracefulExit(t, agent)
			agents[i] = f.startAgent(name, upstreams[i].engineURL, upstreams[i].address)
			f.awaitJoined(name, entries, joined)
		}
		for i, entry := range entries {
			balancer.remove(entry.readyFields[2])
			assertGracefulExit(t, entry)
			entries[i] = f.startEntry(fmt.Sprint("entry-", i+3))
			f.awaitReady(entries[i])
			balancer.add(entries[i].readyFields[2])
		}
		is.New(t).True(stopLoad() > 0)
	})
	t.Run("killed agent fails no request", func(t *testing.T) {
		balancer.t = t
		stopLoad := balancer.startLoad(4)
		is.New(t).NoErr(agents[0].command.Process.Kill())
		is.New(t).True(<-agents[0].exit != nil)
		for range 20 {
			balancer.sendRequest("after the kill")
		}
		is.New(t).True(stopLoad() > 0)
	})
	for _, p := range append(entries, agents[1:]...) {
		assertGracefulExit(t, p)
	}
}

type upstreamRecord struct {
	name, address, engineURL string
}

// newFleet builds the command and starts the platform.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir()}
	f.binary = filepath.Join(f.dir, "magnoliafront")
	out, err := exec.Command("go", "build", "-o", f.binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	f.platform = f.start("emulate", "platform").readyFields[2]
	return f
}

// start starts a command and waits for its ready line.
func (f *fleet) start(args ...string) *process {
	f.t.Helper()
	p := &process{command: exec.Command(f.binary, args...), exit: make(chan error, 1)}
	out, err := p.command.StdoutPipe()
	is.New(f.t).NoErr(err)
	is.New(f.t).NoErr(p.command.Start())
	f.t.Cleanup(func() { _ = p.command.Process.Kill() })
	line, err := bufio.NewReader(out).ReadString('\n')
	is.New(f.t).NoErr(err)
	p.readyFields = strings.Fields(line)
	go func() { p.exit <- p.command.Wait() }()
	return p
}

func (f *fleet) startAgent(name, engineURL, address string) *process {
	f.t.Helper()
	return f.start("agent", "--settings", f.writeSettings(map[string]any{
		"identity": "agent-" + name, "peer_listen": address, "upstream": name, "upstream_url": engineURL,
	}))
}

func (f *fleet) startEntry(identity string) *process {
	f.t.Helper()
	return f.start("entry", "--settings", f.writeSettings(map[string]any{
		"identity": identity, "peer_listen": "127.0.0.1:0", "listen": "127.0.0.1:0", "leaving_pause": "200ms",
	}))
}

// writeSettings writes the fields, with those common to all processes, to a new
// settings file and returns its path.
func (f *fleet) writeSettings(fields map[string]any) string {
	f.t.Helper()
	fields["availability_zone"] = "pinkham"
	fields["platform"] = f.platform
	fields["shared_secret"] = "a secret of this test"
	data, err := json.Marshal(fields)
	is.New(f.t).NoErr(err)
	f.settingsCount++
	path := filepath.Join(f.dir, fmt.Sprint("settings-", f.settingsCount, ".json"))
	is.New(f.t).NoErr(os.WriteFile(path, data, 0o600))
	return path
}

// applyRecords applies a class, an organisation and the upstreams, from one file
// with records of both schema versions.
func (f *fleet) applyRecords(upstreams []upstreamRecord) {
	f.t.Helper()
	is := is.New(f.t)
	sum := sha256.Sum256([]byte(starter.DemoKey))
	records := []string{
		`{"schema_version":1,"kind":"class","name":"chat","priority":7,"target":"1s/33ms","repeatable":true}`,
		`{"schema_version":2,"kind":"organisation","name":"guides","key_hashes":["` + hex.EncodeToString(sum[:]) + `"],"default_class":"chat"}`,
	}
	for _, u := range upstreams {
		records = append(records, fmt.Sprintf(`{"schema_version":2,"kind":"upstream","name":%q,"service":"desk-assistant","type":"engine",`+
			`"address":%q,"availability_zone":"pinkham","models":["desk"],"slots":16,"kv_tokens":65536}`, u.name, u.address))
	}
	path := filepath.Join(f.dir, "records.json")
	is.NoErr(os.WriteFile(path, []byte("["+strings.Join(records, ",")+"]"), 0o600))
	out, err := exec.Command(f.binary, "apply", "-f", path, "--platform", f.platform).CombinedOutput()
	if err != nil {
		f.t.Fatalf("apply: %v\n%s", err, out)
	}
}

// awaitReady waits at most 30 s until /readyz of the process returns 200.
func (f *fleet) awaitReady(p *process) {
	f.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		resp, err := http.Get(p.readyFields[2] + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("entry %s was not ready within 30s", p.readyFields[2])
}

// countJoined returns how often each entry has connected to the agent of an
// upstream, as its time line tells an operator.
func (f *fleet) countJoined(upstream string, entries []*process) []int {
	f.t.Helper()
	counts := make([]int, len(entries))
	for i, entry := range entries {
		c := timelineCommand{ctx: f.t.Context(), Peers: []string{entry.readyFields[4]}, Settings: f.writeSettings(map[string]any{})}
		// An agent that is starting cannot be asked for its events yet.
		events, _ := c.gatherEvents()
		for _, e := range events {
			if e.Kind == tracer.KindMemberJoined && e.Upstream == upstream && strings.HasPrefix(e.Process, "entry-") {
				counts[i]++
			}
		}
	}
	return counts
}

// awaitJoined waits at most 30 s until each entry has connected to the agent of an
// upstream again since it was counted. Until then another agent must not be stopped:
// the entries could be left without an upstream.
func (f *fleet) awaitJoined(upstream string, entries []*process, before []int) {
	f.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for time.Now().Before(deadline) {
		now := f.countJoined(upstream, entries)
		if everyGreater(now, before) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("the entries did not connect to %s again within 30s", upstream)
}

// everyGreater reports whether each element of a is greater than that of b.
func everyGreater(a, b []int) bool {
	for i := range a {
		if a[i] <= b[i] {
			return false
		}
	}
	return true
}

// loadBalancer emulates the platform's load balancer: it sends the requests in
// turn to the entries that are in service.
type loadBalancer struct {
	t    *testing.T
	mu   sync.Mutex
	urls []string
	next int
}

func (b *loadBalancer) remove(url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, u := range b.urls {
		if u == url {
			b.urls = append(b.urls[:i:i], b.urls[i+1:]...)
			return
		}
	}
}

func (b *loadBalancer) add(url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.urls = append(b.urls, url)
}

func (b *loadBalancer) nextURL() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.urls[b.next%len(b.urls)]
}

// startLoad starts n callers that send requests one after another. The returned
// function stops them and returns the number of requests. Every answer must be
// complete.
func (b *loadBalancer) startLoad(n int) func() int {
	ctx, cancel := context.WithCancel(context.Background())
	counts := make(chan int)
	for i := range n {
		go func() {
			count := 0
			for ctx.Err() == nil {
				b.sendRequest(fmt.Sprint("caller ", i, " request ", count))
				count++
			}
			counts <- count
		}()
	}
	return func() int {
		cancel()
		total := 0
		for range n {
			total += <-counts
		}
		return total
	}
}

// sendRequest sends one request to the next entry and checks the answer.
func (b *loadBalancer) sendRequest(prompt string) {
	messages := fmt.Sprintf(`[{"role":"user","content":%q}]`, prompt)
	body := fmt.Sprintf(`{"model":"desk","max_tokens":30,"messages":%s}`, messages)
	req, err := http.NewRequest(http.MethodPost, b.nextURL()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.t.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+starter.DemoKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.t.Errorf("request failed: %v", err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.t.Errorf("request failed: status %d %s %v", resp.StatusCode, data, err)
		return
	}
	assertCompleteAnswer(b.t, messages, data)
}

// assertCompleteAnswer checks that data holds the complete answer to the messages.
func assertCompleteAnswer(t *testing.T, messages string, data []byte) {
	t.Helper()
	var c struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal(data, &c); err != nil || len(c.Choices) != 1 {
		t.Errorf("answer %s: %v", data, err)
		return
	}
	seed := emulator.AnswerSeed([]byte(messages))
	var want strings.Builder
	for i := range emulator.AnswerLength(seed, 30) {
		want.WriteString(emulator.AnswerToken(seed, i))
	}
	if c.Choices[0].Message.Content != want.String() {
		t.Errorf("answer %q, want %q", c.Choices[0].Message.Content, want.String())
	}
}

// assertGracefulExit sends SIGTERM and checks that the process exits with code 0.
func assertGracefulExit(t *testing.T, p *process) {
	t.Helper()
	is.New(t).NoErr(p.command.Process.Signal(syscall.SIGTERM))
	is.New(t).NoErr(<-p.exit)
}
