package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

const (
	callerCount = 16
	// callerTimeout is the deadline of a request, which the caller also sends in a
	// header.
	callerTimeout = 3 * time.Second
	// answerTolerance is the time after the deadline within which the answer must
	// have arrived.
	answerTolerance = 1500 * time.Millisecond
	// maxThinkTime is the maximum pause of a caller between two requests.
	maxThinkTime = 40 * time.Millisecond
)

// request is one request and its result at the caller.
type request struct {
	id, kind   string
	entry      *entry
	start, end time.Time
	status     int
	body       string
	err        error
}

// defaultSeeds are the seeds that run unless the environment selects others: the
// first, and those that have failed before, with the fault that they found.
var defaultSeeds = []int{
	1,
	4,  // a chat whose resumption returned a plain body was taken for complete
	21, // SIGHUP terminated a process that had just started
}

// Under random faults and maintenance operations, the guarantees of the system must hold for
// each request.
func TestSoakKeepsGuaranteesUnderRandomFaults(t *testing.T) {
	binary := buildProgram(t)
	length := time.Duration(envInt("MAGNOLIAFRONT_SOAK_SECONDS", 10)) * time.Second
	for _, seed := range selectSeeds(defaultSeeds) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runSoak(t, binary, uint64(seed), length) })
	}
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

// selectSeeds returns the seeds that the environment selects, or else defaults.
func selectSeeds(defaults []int) []int {
	first := envInt("MAGNOLIAFRONT_SOAK_SEED", 0)
	if first <= 0 {
		return defaults
	}
	var seeds []int
	for i := range envInt("MAGNOLIAFRONT_SOAK_SEEDS", 1) {
		seeds = append(seeds, first+i)
	}
	return seeds
}

// envInt returns the integer in an environment variable, or fallback if it is not
// set to one.
func envInt(name string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return fallback
	}
	return n
}

// runSoak runs callers and the fault injector against a fleet for the given time and
// checks all requests.
func runSoak(t *testing.T, binary string, seed uint64, length time.Duration) {
	f := newFleet(t, binary)
	for _, e := range f.entries {
		assertEventually(t, e.name+" ready", e.isReady)
	}
	ctx, stop := context.WithCancel(context.Background())
	var requests []request
	var mu sync.Mutex
	var load sync.WaitGroup
	for i := range callerCount {
		load.Go(func() {
			c := newCaller(f, seed, i)
			for ctx.Err() == nil {
				r := c.sendRandom()
				mu.Lock()
				requests = append(requests, r)
				mu.Unlock()
			}
		})
	}
	newFaultInjector(f, seed).run(length)
	stop()
	load.Wait()
	// Requests that were sent before can still be running.
	time.Sleep(time.Second)
	checkRequests(t, f, requests)
	for _, e := range f.entries {
		assertEventually(t, e.name+" serves again", func() bool {
			c := newCaller(f, seed, callerCount)
			c.entry = e
			r := c.send("check")
			return r.err == nil && r.status == http.StatusOK
		})
	}
	t.Logf("%d requests", len(requests))
}

// caller sends requests one after another. Three of four callers reuse their
// connections, until these fail.
type caller struct {
	fleet        *fleet
	random       *rand.Rand
	client       *http.Client
	entry        *entry
	idPrefix     string
	requestCount int
}

func newCaller(f *fleet, seed uint64, i int) *caller {
	r := rand.New(rand.NewPCG(seed, uint64(100+i)))
	return &caller{
		fleet: f, random: r, idPrefix: fmt.Sprintf("s%d-c%d", seed, i),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: i%4 == 3}},
	}
}

// sendRandom sends a request of a random kind to a random entry after a random pause.
func (c *caller) sendRandom() request {
	time.Sleep(time.Duration(c.random.Int64N(int64(maxThinkTime))))
	c.entry = c.fleet.entries[c.random.IntN(entryCount)]
	return c.send([]string{"hold", "check", "stream/chat", "stream/brief"}[c.random.IntN(4)])
}

func (c *caller) send(kind string) request {
	c.requestCount++
	r := request{id: fmt.Sprintf("%s-%d", c.idPrefix, c.requestCount), kind: kind, entry: c.entry, start: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+answerTolerance)
	defer cancel()
	// The body cannot be rewound, so the HTTP client does not retry by itself. Each
	// request has its own path, since content is refused if upstreams were lost twice
	// while running it.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entry.address+"/"+kind+"/"+r.id, io.MultiReader(strings.NewReader(strings.Repeat("x", 2000))))
	if err != nil {
		r.err = err
		return r
	}
	req.Host = "desk.example"
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Magnoliafront-Request-Id", r.id)
	req.Header.Set("Magnoliafront-Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.body = resp.StatusCode, string(data)
	}
	r.err, r.end = err, time.Now()
	return r
}

// checkRequests checks the guarantees for all requests.
func checkRequests(t *testing.T, f *fleet, requests []request) {
	t.Helper()
	arrived, executed := map[string]int{}, map[string]int{}
	for _, runner := range f.runners {
		for _, run := range runner.Requests() {
			arrived[run.ID]++
			if run.Executed {
				executed[run.ID]++
			}
		}
	}
	for _, run := range f.foreignRunner.Requests() {
		if run.Executed {
			t.Errorf("request %q to %s ran at another service, with header %v", run.ID, run.Target, run.Header)
		}
	}
	sent := map[string]bool{}
	for _, r := range requests {
		sent[r.id] = true
		checkRequest(t, f, r, executed[r.id])
	}
	for _, runner := range f.runners {
		for _, run := range runner.Requests() {
			if !sent[run.ID] {
				t.Errorf("request %q to %s reached %s although no caller sent it, with header %v", run.ID, run.Target, runner.ID, run.Header)
			}
		}
	}
	checkRetryBudget(t, f, requests, arrived)
}

// checkRetryBudget checks for each second that the retries, which are the arrivals
// after the first one of each request, stay within the budget of the settings. An
// entry that starts has its part of retrySlack again.
func checkRetryBudget(t *testing.T, f *fleet, requests []request, arrived map[string]int) {
	t.Helper()
	type second struct{ requests, retries, starts int }
	seconds := map[int64]*second{}
	at := func(unix int64) *second {
		if seconds[unix] == nil {
			seconds[unix] = &second{}
		}
		return seconds[unix]
	}
	for _, r := range requests {
		s := at(r.start.Unix())
		s.requests++
		s.retries += max(0, arrived[r.id]-1)
	}
	for _, start := range f.entryStarts {
		// The first requests to a new entry arrive in the second of its start or in
		// the next one.
		at(start.Unix()).starts++
		at(start.Unix()+1).starts++
	}
	for unix, s := range seconds {
		limit := int(retryShare*float64(s.requests)) + retrySlack + retrySlack/entryCount*s.starts
		if s.retries > limit {
			t.Errorf("second %d: %d retries, %d requests and %d entry starts allow %d", unix, s.retries, s.requests, s.starts, limit)
		}
	}
}

func checkRequest(t *testing.T, f *fleet, r request, executed int) {
	t.Helper()
	report := func(format string, args ...any) {
		t.Errorf("%s (%s at %s, from %v for %v, status %d, error %v, executed %d): %s", r.id, r.kind, r.entry.name,
			r.start.Format("05.000"), r.end.Sub(r.start).Round(time.Millisecond), r.status, r.err, executed, fmt.Sprintf(format, args...))
	}
	atMostOnce := r.kind == "hold" || r.kind == "stream/brief"
	if atMostOnce && executed > 1 {
		report("ran %d times, at most once is allowed", executed)
	}
	if r.err == nil {
		switch r.status {
		case http.StatusOK:
			if !hasWholeAnswer(r) {
				report("the body is not the complete answer to this request: %q", r.body)
			}
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if atMostOnce && executed > 0 {
				report("refused although it ran")
			}
		case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
			if !f.overlapsFault(r.start, r.end) {
				report("failed without a fault")
			}
		default:
			report("unexpected status")
		}
		return
	}
	// A request that was sent while the entry closed the connection, or that found
	// no listening entry, was not interrupted if it did not run.
	if executed > 0 && !f.overlapsFault(r.start, r.end) {
		report("interrupted without a fault")
	}
}

// hasWholeAnswer reports whether the body of r is the complete answer of its
// upstream. Some faults of the emulated runners answer a stream with a plain body.
func hasWholeAnswer(r request) bool {
	plain := strings.Count(r.body, "\n") == 1 && strings.HasPrefix(r.body, "answer of i-") && strings.HasSuffix(r.body, " to "+r.id+"\n")
	if plain || !strings.HasPrefix(r.kind, "stream/") {
		return plain
	}
	want := strings.Join(streamSize{Events: 8}.eventsFrom(r.id, 1), "")
	// A runner that stalls may have sent comments before another one continued.
	return strings.ReplaceAll(r.body, emulator.Comment, "") == want
}

// assertEventually fails the test unless ok returns true within waitTimeout.
func assertEventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	is.New(t).Fail() // not in time
	t.Fatalf("%s: not within %v", condition, waitTimeout)
}
