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
	callers = 16
	// callerTime is the time for which a caller waits, which it also tells.
	callerTime = 3 * time.Second
	// lateness is the time beyond that within which an answer must have come.
	lateness = 1500 * time.Millisecond
	// thinkTime is the longest pause of a caller between two requests.
	thinkTime = 40 * time.Millisecond
)

// request is one request and what its caller saw.
type request struct {
	id, kind   string
	entry      *entry
	start, end time.Time
	status     int
	body       string
	err        error
}

// kept are the seeds that run without being asked for: the first, and those that
// have failed.
var kept = []int{
	1,
	4,  // a chat resumed with a plain body looked complete
	21, // SIGHUP ended a process that had just started
}

// Whatever fails, in whatever order, the promises must hold.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "magnoliafront")
	out, err := exec.Command("go", "build", "-o", binary, "magnoliafront.dev/magnoliafront/cmd/magnoliafront").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seeds := kept
	if first := number("MAGNOLIAFRONT_SOAK_SEED", 0); first > 0 {
		seeds = nil
		for i := range number("MAGNOLIAFRONT_SOAK_SEEDS", 1) {
			seeds = append(seeds, first+i)
		}
	}
	length := time.Duration(number("MAGNOLIAFRONT_SOAK_SECONDS", 10)) * time.Second
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { soak(t, binary, uint64(seed), length) })
	}
}

func number(name string, otherwise int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return n
}

func soak(t *testing.T, binary string, seed uint64, length time.Duration) {
	f := newFleet(t, binary)
	for _, e := range f.entries {
		assertEventually(t, e.name+" ready", e.isReady)
	}
	ctx, stop := context.WithCancel(context.Background())
	var all []request
	var mu sync.Mutex
	var load sync.WaitGroup
	for i := range callers {
		load.Go(func() {
			c := newCaller(f, seed, i)
			for ctx.Err() == nil {
				r := c.call()
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
			}
		})
	}
	newInjector(f, seed).run(length)
	stop()
	load.Wait()
	// What was sent before may still run.
	time.Sleep(time.Second)
	check(t, f, all)
	for _, e := range f.entries {
		assertEventually(t, e.name+" serves again", func() bool {
			c := newCaller(f, seed, callers)
			c.entry = e
			r := c.send("check")
			return r.err == nil && r.status == http.StatusOK
		})
	}
	t.Logf("%d requests", len(all))
}

// caller keeps its connections for many requests, until they fail.
type caller struct {
	fleet  *fleet
	random *rand.Rand
	client *http.Client
	entry  *entry
	prefix string
	sent   int
}

func newCaller(f *fleet, seed uint64, i int) *caller {
	r := rand.New(rand.NewPCG(seed, uint64(100+i)))
	return &caller{
		fleet: f, random: r, prefix: fmt.Sprintf("s%d-c%d", seed, i),
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: i%4 == 3}},
	}
}

func (c *caller) call() request {
	time.Sleep(time.Duration(c.random.Int64N(int64(thinkTime))))
	c.entry = c.fleet.entries[c.random.IntN(entries)]
	return c.send([]string{"hold", "check", "stream/chat", "stream/brief"}[c.random.IntN(4)])
}

func (c *caller) send(kind string) request {
	c.sent++
	r := request{id: fmt.Sprintf("%s-%d", c.prefix, c.sent), kind: kind, entry: c.entry, start: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerTime+lateness)
	defer cancel()
	// A body that cannot be rewound keeps the client from sending again by itself.
	// The path differs, since content under which upstreams were cut off twice is
	// refused.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entry.front+"/"+kind+"/"+r.id, io.MultiReader(strings.NewReader(strings.Repeat("x", 2000))))
	if err != nil {
		r.err = err
		return r
	}
	req.Host = "desk.example"
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Magnoliafront-Request-Id", r.id)
	req.Header.Set("Magnoliafront-Deadline-Ms", strconv.FormatInt(callerTime.Milliseconds(), 10))
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

// check checks the promises over all requests.
func check(t *testing.T, f *fleet, all []request) {
	t.Helper()
	arrived, executed := map[string]int{}, map[string]int{}
	for _, x := range f.runners {
		for _, run := range x.Requests() {
			arrived[run.ID]++
			if run.Executed {
				executed[run.ID]++
			}
		}
	}
	for _, run := range f.stranger.Requests() {
		if run.Executed {
			t.Errorf("%s ran at another service", run.ID)
		}
	}
	sent := map[string]bool{}
	for _, r := range all {
		sent[r.id] = true
		checkRequest(t, f, r, executed[r.id])
	}
	for id := range arrived {
		if !sent[id] {
			t.Errorf("%s ran and nobody sent it", id)
		}
	}
	checkBudget(t, f, all, arrived)
}

// checkBudget checks that in each second the arrivals beyond the first of each
// request stay within the budget of the settings. An entry that starts has its
// part of the slack anew.
func checkBudget(t *testing.T, f *fleet, all []request, arrived map[string]int) {
	t.Helper()
	type second struct{ requests, again, starts int }
	seconds := map[int64]*second{}
	at := func(unix int64) *second {
		if seconds[unix] == nil {
			seconds[unix] = &second{}
		}
		return seconds[unix]
	}
	for _, r := range all {
		s := at(r.start.Unix())
		s.requests++
		s.again += max(0, arrived[r.id]-1)
	}
	for _, start := range f.starts {
		// The callers of a new entry come in the second of its start or the next.
		at(start.Unix()).starts++
		at(start.Unix()+1).starts++
	}
	for unix, s := range seconds {
		limit := int(retryShare*float64(s.requests)) + retrySlack + retrySlack/entries*s.starts
		if s.again > limit {
			t.Errorf("second %d: %d arrivals beyond the first of each request, %d requests and %d starts allow %d", unix, s.again, s.requests, s.starts, limit)
		}
	}
}

func checkRequest(t *testing.T, f *fleet, r request, executed int) {
	t.Helper()
	report := func(format string, args ...any) {
		t.Errorf("%s (%s at %s, from %v for %v, status %d, error %v, executed %d): %s", r.id, r.kind, r.entry.name,
			r.start.Format("05.000"), r.end.Sub(r.start).Round(time.Millisecond), r.status, r.err, executed, fmt.Sprintf(format, args...))
	}
	once := r.kind == "hold" || r.kind == "stream/brief"
	if once && executed > 1 {
		report("ran more than once")
	}
	if r.err == nil {
		switch r.status {
		case http.StatusOK:
			if !whole(r) {
				report("not its own whole answer: %q", r.body)
			}
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if once && executed > 0 {
				report("refused, and it ran")
			}
		case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
			if !f.disturbed(r.start, r.end) {
				report("failed without a fault")
			}
		default:
			report("not an answer that is due")
		}
		return
	}
	// A request that crosses a close and is not passed on, or finds nobody there,
	// was not cut off.
	if executed > 0 && !f.disturbed(r.start, r.end) {
		report("cut off without a fault")
	}
}

// whole reports whether the body of r is all that its upstream sent. Some faults
// of the stand-ins answer a stream with a plain body.
func whole(r request) bool {
	plain := strings.Count(r.body, "\n") == 1 && strings.HasPrefix(r.body, "answer of i-") && strings.HasSuffix(r.body, " to "+r.id+"\n")
	if plain || !strings.HasPrefix(r.kind, "stream/") {
		return plain
	}
	want := ""
	for i := 1; i <= 8; i++ {
		want += emulator.Event(r.id, i)
	}
	return r.body == want
}

func assertEventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	is.New(t).Fail() // not in time
	t.Fatalf("not in time: %s", what)
}
