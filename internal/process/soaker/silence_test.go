package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	silenceEntryCount    = 2
	silenceUpstreamCount = 6
	silenceCallerCount   = 60
	// silenceMaxAttempts is the maximum number of upstreams that get a request.
	silenceMaxAttempts = 3
	// silenceDeadline is the time within which callers want an answer. Sound upstreams
	// answer within a third of it.
	silenceDeadline = 10 * time.Second
	// minConfigPause and maxConfigPause bound the time between two configurations.
	minConfigPause = 200 * time.Millisecond
	maxConfigPause = 1100 * time.Millisecond
	// maxDoubleWork is the time for which users accept that two upstreams work on one
	// request. How long they do depends on the machine, so it only splits counts.
	maxDoubleWork = 400 * time.Millisecond
)

// silenceSeeds are the seeds that run unless the environment selects others.
var silenceSeeds = []int{1}

// silenceKinds are the kinds of requests: a resumable stream, one that may run more than
// once and one that may not.
var silenceKinds = []string{silentStreamKind, "check", "hold"}

// plannedWork is what an operator does beside the silence of upstreams.
type plannedWork struct {
	name string
	run  func(ctx context.Context, f *fleet, random *rand.Rand)
	// stops is true if entries stop and may close connections with unread requests.
	stops bool
}

// Guards against a sound upstream that is given up because it is silent for a while: its
// callers get a part of an answer, a failure or a second run.
func TestSilenceOfSoundUpstreamsLosesNoAnswer(t *testing.T) {
	binary := buildProgram(t)
	startBusyProcesses(t, envInt("MAGNOLIAFRONT_SOAK_BUSY", 0))
	length := time.Duration(envInt("MAGNOLIAFRONT_SOAK_SECONDS", 3)) * time.Second
	works := []plannedWork{
		{name: "nothing", run: awaitEnd}, {name: "configurations", run: changeConfigurations},
		{name: "stops", run: stopInTurn, stops: true},
	}
	for _, seed := range selectSeeds(silenceSeeds) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			for place, name := range [...]string{silentAnywhere: "any-byte", silentAtEnd: "end"} {
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					for _, work := range works {
						t.Run(work.name, func(t *testing.T) {
							f, upstreams := newSilentFleet(t, binary, uint64(seed), silencePlace(place))
							requests := runSilence(f, uint64(seed), work, length)
							checkSilence(t, f, work, requests, gatherRuns(upstreams))
						})
					}
				})
			}
		})
	}
}

// newSilentFleet starts two entries before silent upstreams.
func newSilentFleet(t *testing.T, binary string, seed uint64, place silencePlace) (*fleet, []*silentUpstream) {
	t.Helper()
	f := newEmptyFleet(t)
	var upstreams []*silentUpstream
	for i := range silenceUpstreamCount {
		u := newSilentUpstream(t, fmt.Sprint("i-", i), seed, place)
		upstreams = append(upstreams, u)
		f.store.Put("servers", u.id, u.storeSpec())
	}
	for i, kind := range []string{"streaming", "idempotent", "non_idempotent"} {
		r := newRoute(silenceKinds[i], kind, silenceMaxAttempts, silenceKinds[i] == silentStreamKind)
		r["timeout_ms"] = silenceDeadline.Milliseconds() - int64(i)*1000
		f.routes = append(f.routes, r)
	}
	f.writeConfig()
	// Fleets for different places run at the same time.
	f.startEntries(binary, int(place)*silenceEntryCount, silenceEntryCount)
	for _, e := range f.entries {
		assertEventually(t, e.name+" ready", e.isReady)
	}
	return f, upstreams
}

// runSilence runs callers and the planned work for a time. It returns all requests after
// all entries have ended.
func runSilence(f *fleet, seed uint64, work plannedWork, length time.Duration) []pieceRequest {
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	var callers []*pieceCaller
	var load sync.WaitGroup
	for i := range silenceCallerCount {
		c := newPieceCaller(f, seed, "silence", i, steadyMaxPause)
		c.kinds, c.deadline = silenceKinds, silenceDeadline
		callers = append(callers, c)
		load.Go(func() { c.run(ctx) })
	}
	work.run(ctx, f, rand.New(rand.NewPCG(seed, 3)))
	load.Wait()
	terminateAll(f)
	requests, _ := gatherRequests(callers)
	return requests
}

func awaitEnd(ctx context.Context, _ *fleet, _ *rand.Rand) { <-ctx.Done() }

// changeConfigurations writes new configurations, each with a further route, and has the
// entries reload their settings.
func changeConfigurations(ctx context.Context, f *fleet, random *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(minConfigPause + time.Duration(random.Int64N(int64(maxConfigPause-minConfigPause))))
		f.routes = append(slices.Clone(f.routes), newRoute(fmt.Sprint("further-", i), "idempotent", silenceMaxAttempts, false))
		f.writeConfig()
		for _, e := range f.entries {
			e.reload()
		}
	}
}

// stopInTurn stops and starts one entry after another.
func stopInTurn(ctx context.Context, f *fleet, _ *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		e := f.entries[i%len(f.entries)]
		e.restart(syscall.SIGTERM)
		assertEventually(f.t, e.name+" ready again", e.isReady)
	}
}

// gatherRuns returns the runs of all upstreams by the ID of their request, after the end
// of all of them.
func gatherRuns(upstreams []*silentUpstream) map[string][]upstreamRun {
	runs := map[string][]upstreamRun{}
	for _, u := range upstreams {
		u.stop()
		for _, r := range u.runs {
			runs[r.id] = append(runs[r.id], r)
		}
	}
	return runs
}

// checkSilence checks at the callers, the upstreams and the entries that each request has
// its answer and that none ran too often.
func checkSilence(t *testing.T, f *fleet, work plannedWork, requests []pieceRequest, runs map[string][]upstreamRun) {
	t.Helper()
	logDoubleWork(t, runs)
	var streams, others []pieceRequest
	for _, r := range requests {
		if r.kind == silentStreamKind {
			streams = append(streams, r)
		} else {
			others = append(others, r)
		}
	}
	t.Run("streams-whole", func(t *testing.T) { assertAnswered(t, work, streams, runs) })
	t.Run("requests-answered", func(t *testing.T) { assertAnswered(t, work, others, runs) })
	t.Run("runs-bounded", func(t *testing.T) { assertRunsBounded(t, requests, runs) })
	t.Run("requests-at-entries", func(t *testing.T) { assertNoReadRequestLogged(t, readLogs(t, f), requests) })
}

// assertAnswered checks that each request has the whole answer of an upstream or a refusal,
// and that no upstream ran what was refused or not read.
func assertAnswered(t *testing.T, work plannedWork, requests []pieceRequest, runs map[string][]upstreamRun) {
	t.Helper()
	whole, refused, unread, failed := 0, 0, 0, 0
	for _, r := range requests {
		notRun := len(runs[r.id]) == 0
		switch {
		case r.ending == endingAnswered && r.status == http.StatusOK && isWhole(r, streamSize{Events: silentStreamEvents}):
			whole++
		case r.ending == endingAnswered && isRefusal(r.status) && notRun:
			refused++
		case work.stops && (r.ending == endingCrossed || r.ending == endingUnread) && notRun:
			unread++
		default:
			failed++
			t.Errorf("%s has no whole answer: status %d, body %q\n\truns: %s", describe(r), r.status, r.body, describeRuns(runs[r.id]))
		}
	}
	t.Logf("%d whole, %d refused, %d unread, %d failed", whole, refused, unread, failed)
	is.New(t).True(whole > 0) // some requests have an answer
}

// isRefusal reports whether a status says that the request has not run.
func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// assertRunsBounded checks that upstreams ran only what callers sent, at most as often as
// its route permits.
func assertRunsBounded(t *testing.T, requests []pieceRequest, runs map[string][]upstreamRun) {
	t.Helper()
	sent := map[string]pieceRequest{}
	for _, r := range requests {
		sent[r.id] = r
	}
	for id, of := range runs {
		limit := silenceMaxAttempts
		if sent[id].kind == "hold" {
			limit = 1
		}
		if _, ok := sent[id]; !ok || len(of) > limit {
			t.Errorf("%s (%s) ran %d times, at most %d are allowed: %s", id, sent[id].kind, len(of), limit, describeRuns(of))
		}
	}
}

// logDoubleWork logs for how long two upstreams worked on one request, and how often the
// first one still did maxDoubleWork after the request had reached the second.
func logDoubleWork(t *testing.T, runs map[string][]upstreamRun) {
	t.Helper()
	pairs, long, still := 0, 0, 0
	var longest time.Duration
	for _, of := range runs {
		slices.SortFunc(of, func(x, y upstreamRun) int { return x.start.Compare(y.start) })
		for i, second := range of {
			for _, first := range of[:i] {
				pairs++
				rest := first.end.Sub(second.start)
				overlap := min(rest, second.end.Sub(second.start))
				longest = max(longest, overlap)
				if overlap > maxDoubleWork {
					long++
					t.Logf("two upstreams worked on %s for %v: %s", first.id, overlap, describeRuns(of))
				}
				if rest > maxDoubleWork {
					still++
				}
			}
		}
	}
	t.Logf("%d pairs of runs of one request: at the same time for %v at most, %d longer than %v; the first at work %v after the start of the second: %d",
		pairs, longest.Round(time.Millisecond), long, maxDoubleWork, maxDoubleWork, still)
}

func describeRuns(runs []upstreamRun) string {
	var described []string
	for _, r := range runs {
		described = append(described, fmt.Sprintf("%s at %s from %s to %s, whole %v", r.target, r.upstream, r.start.Format("05.000"), r.end.Format("05.000"), r.whole))
	}
	return strings.Join(described, "; ")
}
