package soaker

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// plannedStopCount is the number of stops in one run.
	plannedStopCount = 6
	// steadyCallerCount is the number of callers that send all the time, and
	// stopCallerCount the number of those that send during each stop.
	steadyCallerCount = 12
	stopCallerCount   = 18
	// stopDuration is the time after SIGTERM within which the callers of a stop begin
	// their requests. An entry of the fleet closes its idle connections in its midst.
	stopDuration = 1500 * time.Millisecond
	// steadyMaxPause and stopMaxPause are the maximum pauses between two pieces of a
	// request.
	steadyMaxPause = 10 * time.Millisecond
	stopMaxPause   = 200 * time.Millisecond
	// stopDuringStartCount is the number of stops during a start in one run.
	stopDuringStartCount = 8
	// minStartTime and maxStartTime bound the time from the start of a process to its
	// SIGTERM. An entry begins to listen between them.
	minStartTime = 5 * time.Millisecond
	maxStartTime = 45 * time.Millisecond
	// streamEventInterval is the time between two events of a stream.
	streamEventInterval = 20 * time.Millisecond
)

// plannedStopSeeds and stopDuringStartSeeds are the seeds that run unless the environment
// selects others. Both have failed before.
var (
	plannedStopSeeds     = []int{1}
	stopDuringStartSeeds = []int{4}
)

// Guards against requests that a stopping entry has read, in part or whole, and leaves
// without an answer: callers cannot know whether these have run.
func TestPlannedStopAnswersEachRequestItRead(t *testing.T) {
	binary := buildProgram(t)
	startBusyProcesses(t, envInt("MAGNOLIAFRONT_SOAK_BUSY", 0))
	for _, seed := range selectSeeds(plannedStopSeeds) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			f := newFleet(t, binary)
			requests, idleEndings := runPlannedStops(f, uint64(seed))
			terminateAll(f)
			logEndings(t, requests, idleEndings)
			checkPlannedStops(t, f, requests)
		})
	}
}

// Guards against an entry that is stopped while it starts, exits at once and leaves the
// requests that it has accepted meanwhile without an answer.
func TestStopDuringStartAnswersEachRequestItRead(t *testing.T) {
	binary := buildProgram(t)
	startBusyProcesses(t, envInt("MAGNOLIAFRONT_SOAK_BUSY", 0))
	for _, seed := range selectSeeds(stopDuringStartSeeds) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			f := newFleet(t, binary)
			requests, idleEndings := runStopsDuringStart(f, uint64(seed))
			terminateAll(f)
			logEndings(t, requests, idleEndings)
			checkPlannedStops(t, f, requests)
		})
	}
}

// checkPlannedStops checks at the callers, the upstreams and the entries that each request
// of which a part was read has a complete answer.
func checkPlannedStops(t *testing.T, f *fleet, requests []pieceRequest) {
	t.Helper()
	t.Run("guarantees", func(t *testing.T) { checkRequests(t, f, plainRequests(requests)) })
	t.Run("requests-at-upstreams", func(t *testing.T) { assertUpstreamRequestsAnswered(t, f, requests) })
	t.Run("requests-at-callers", func(t *testing.T) { assertNoneEnded(t, requests, endingRead, endingCutOff, endingTimeout) })
	t.Run("requests-at-entries", func(t *testing.T) { assertNoReadRequestLogged(t, readLogs(t, f), requests) })
}

// startBusyProcesses starts processes that compete for processor time. Each ends with
// the test at the latest.
func startBusyProcesses(t *testing.T, count int) {
	t.Helper()
	for range count {
		c := exec.Command("sh", "-c", `while kill -0 "$PPID"; do :; done`)
		is.New(t).NoErr(c.Start())
		t.Cleanup(func() {
			_ = c.Process.Kill()
			_ = c.Wait()
		})
	}
}

// runPlannedStops stops and starts the entries in turn, beside other maintenance
// operations and callers. It returns all requests and the number of connections that
// ended between two requests.
func runPlannedStops(f *fleet, seed uint64) (requests []pieceRequest, idleEndings int) {
	for _, r := range f.runners {
		r.EventInterval = streamEventInterval
	}
	for _, e := range f.entries {
		assertEventually(f.t, e.name+" ready", e.isReady)
	}
	ctx, stop := context.WithCancel(context.Background())
	var callers []*pieceCaller
	var steady sync.WaitGroup
	defer steady.Wait()
	defer stop()
	for i := range steadyCallerCount {
		c := newPieceCaller(f, seed, "steady", i, steadyMaxPause)
		callers = append(callers, c)
		steady.Go(func() { c.run(ctx) })
	}
	maintenance := newFaultInjector(f, seed)
	steady.Go(func() { maintenance.maintainUntil(ctx.Done()) })
	for i := range plannedStopCount {
		e := f.entries[i%entryCount]
		callers = append(callers, stopUnderLoad(e, seed, i)...)
		assertEventually(f.t, e.name+" ready again", e.isReady)
	}
	stop()
	steady.Wait()
	return gatherRequests(callers)
}

// gatherRequests returns the requests of all callers, and the number of connections that
// ended between two requests.
func gatherRequests(callers []*pieceCaller) (requests []pieceRequest, idleEndings int) {
	for _, c := range callers {
		requests = append(requests, c.requests...)
		idleEndings += c.idleEndings
	}
	return requests, idleEndings
}

// runStopsDuringStart starts one entry several times and sends it SIGTERM at a random
// time of its start, while callers open connections to it as soon as it listens.
func runStopsDuringStart(f *fleet, seed uint64) (requests []pieceRequest, idleEndings int) {
	e := f.entries[0]
	assertEventually(f.t, e.name+" ready", e.isReady)
	ctx, stop := context.WithCancel(context.Background())
	var callers []*pieceCaller
	var load sync.WaitGroup
	defer load.Wait()
	defer stop()
	for i := range steadyCallerCount {
		c := newPieceCaller(f, seed, "start", i, steadyMaxPause)
		callers = append(callers, c)
		load.Go(func() { c.runOnNewConnections(ctx, e) })
	}
	random := rand.New(rand.NewPCG(seed, 2))
	e.restart(syscall.SIGTERM)
	for range stopDuringStartCount {
		time.Sleep(minStartTime + time.Duration(random.Int64N(int64(maxStartTime-minStartTime))))
		e.restart(syscall.SIGTERM)
	}
	assertEventually(f.t, e.name+" ready again", e.isReady)
	stop()
	load.Wait()
	return gatherRequests(callers)
}

// maintainUntil starts maintenance operations other than restarts until done is closed,
// and waits for their end.
func (j *faultInjector) maintainUntil(done <-chan struct{}) {
	for _, c := range j.restartTokens {
		<-c
	}
	defer j.running.Wait()
	for {
		select {
		case <-done:
			return
		default:
			j.step(j.chooseMaintenance)
		}
	}
}

// stopUnderLoad restarts entry e while callers send requests to it. A third of these
// have used their connections before, a third have opened them, and the others open
// them during the stop.
func stopUnderLoad(e *entry, seed uint64, round int) []*pieceCaller {
	var callers []*pieceCaller
	var prepared, sent sync.WaitGroup
	stopping := make(chan struct{})
	for i := range stopCallerCount {
		c := newPieceCaller(e.fleet, seed, "stop", (round+1)*stopCallerCount+i, stopMaxPause)
		callers = append(callers, c)
		prepared.Add(1)
		sent.Go(func() {
			if i%3 != 2 && c.connect(e) && i%3 == 0 {
				c.send()
			}
			prepared.Done()
			<-stopping
			c.sleepUpTo(stopDuration)
			if c.isConnected() || c.connect(e) {
				c.send()
			}
			c.close()
		})
	}
	prepared.Wait()
	close(stopping)
	e.restart(syscall.SIGTERM)
	sent.Wait()
	return callers
}

// terminateAll ends all entries with SIGTERM, which writes their logs to the end.
func terminateAll(f *fleet) {
	var stops sync.WaitGroup
	for _, e := range f.entries {
		stops.Go(func() { e.terminate(syscall.SIGTERM) })
	}
	stops.Wait()
}

// plainRequests returns the requests without what is known of their connections.
func plainRequests(requests []pieceRequest) (plain []request) {
	for _, r := range requests {
		plain = append(plain, r.request)
	}
	return plain
}

// logEndings logs how many requests ended in which way.
func logEndings(t *testing.T, requests []pieceRequest, idleEndings int) {
	t.Helper()
	var counts [endingCount]int
	refused := 0
	for _, r := range requests {
		counts[r.ending]++
		if r.ending == endingAnswered && r.status != 200 {
			refused++
		}
	}
	var b strings.Builder
	for e, n := range counts {
		fmt.Fprintf(&b, ", %d %v", n, ending(e))
	}
	t.Logf("%d requests%s; %d of the answers are refusals or failures; %d connections ended between two requests",
		len(requests), b.String(), refused, idleEndings)
}

// assertUpstreamRequestsAnswered checks that each request that reached an upstream has
// a complete answer, also if the upstream refused it.
func assertUpstreamRequestsAnswered(t *testing.T, f *fleet, requests []pieceRequest) {
	t.Helper()
	arrived := map[string]bool{}
	for _, runner := range f.runners {
		for _, r := range runner.Requests() {
			arrived[r.ID] = true
		}
	}
	for _, r := range requests {
		if arrived[r.id] && r.ending != endingAnswered {
			t.Errorf("%s reached an upstream, but has no complete answer", describe(r))
		}
	}
}

// assertNoneEnded checks that no request ended in one of the given ways.
func assertNoneEnded(t *testing.T, requests []pieceRequest, endings ...ending) {
	t.Helper()
	for _, r := range requests {
		for _, e := range endings {
			if r.ending == e {
				t.Errorf("%s has no complete answer", describe(r))
			}
		}
	}
}

// readLogs returns the lines of the logs of all entry processes.
func readLogs(t *testing.T, f *fleet) (lines []string) {
	t.Helper()
	is := is.New(t)
	paths, err := filepath.Glob(filepath.Join(f.t.ArtifactDir(), "entry-*.log"))
	is.NoErr(err)
	is.Equal(len(paths), len(f.entryStarts)) // one log for each process
	for _, path := range paths {
		file, err := os.Open(path)
		is.NoErr(err)
		s := bufio.NewScanner(file)
		s.Buffer(nil, 1<<20)
		for s.Scan() {
			lines = append(lines, s.Text())
		}
		is.NoErr(s.Err())
		is.NoErr(file.Close())
	}
	return lines
}

// assertNoReadRequestLogged checks the entries' own record: no entry has closed a
// connection from which it had read a part of a request that has no answer.
func assertNoReadRequestLogged(t *testing.T, lines []string, requests []pieceRequest) {
	t.Helper()
	unread := 0
	for _, line := range lines {
		if strings.Contains(line, `msg="log lines dropped"`) {
			t.Errorf("the logs are incomplete: %s", line)
		}
		if !strings.Contains(line, `msg="connection closed before an answer"`) {
			continue
		}
		fields := logFields(line)
		if fields["serving"] == "false" && fields["bytes_read"] == "0" && fields["bytes_unread"] == "true" {
			unread++
			continue
		}
		t.Errorf("%s\n\trequests of this caller without an answer: %s", line, describeUnanswered(requests, fields["caller"]))
	}
	t.Logf("%d connections with unread requests were closed", unread)
}

// logFields returns the keys and values of a log line that contain no spaces.
func logFields(line string) map[string]string {
	fields := map[string]string{}
	for _, field := range strings.Fields(line) {
		if key, value, ok := strings.Cut(field, "="); ok {
			fields[key] = strings.Trim(value, `"`)
		}
	}
	return fields
}

// describeUnanswered describes the requests without an answer of the caller at an
// address.
func describeUnanswered(requests []pieceRequest, address string) string {
	var described []string
	for _, r := range requests {
		if r.caller == address && r.ending != endingAnswered {
			described = append(described, describe(r))
		}
	}
	return strings.Join(described, ", ")
}

func describe(r pieceRequest) string {
	return fmt.Sprintf("%s (%s at %s, from %s for %v, sent %d of %d bytes, %v, error %v)", r.id, r.kind, r.entry.name,
		r.start.Format("05.000"), r.end.Sub(r.start).Round(time.Millisecond), r.sent, r.wanted, r.ending, r.err)
}
