package soaker

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	wholeEntryCount    = 2
	wholeUpstreamCount = 6
	wholeCallerCount   = 40
	// wholeInterval is the time before each event of a stream.
	wholeInterval = 60 * time.Millisecond
	// shortGrace is the grace period of the entries.
	shortGrace = 4 * time.Second
	// graceMargin is how long before the end of its grace period a stopped entry may cut
	// answers off.
	graceMargin = time.Second
	// wholeDeadline exceeds the time that any answer takes.
	wholeDeadline = 25 * time.Second
)

// wholeSeeds are the seeds that run unless the environment selects others.
var wholeSeeds = []int{1}

// wholeKinds are the kinds of requests: streams that can and that cannot be resumed, and
// requests with a plain answer that may and that may not run more than once.
var wholeKinds = []string{"stream/chat", "stream/chat", "stream/brief", "stream/brief", "check", "hold"}

// framingMix names the framings of the answers of all upstreams.
type framingMix struct {
	name     string
	framings []framing
}

// wholeFleet is two entries before upstreams that are processes of their own.
type wholeFleet struct {
	*fleet
	upstreams []*upstreamProcess
	random    *rand.Rand
}

// Guards against a part of an answer that its caller takes for the whole, and against whole
// answers that callers do not get: an answer that ends with its connection looks whole
// wherever that ends.
func TestAnswersEndWholeOrCut(t *testing.T) {
	binary := buildProgram(t)
	startBusyProcesses(t, envInt("MAGNOLIAFRONT_SOAK_BUSY", 0))
	length := time.Duration(envInt("MAGNOLIAFRONT_SOAK_SECONDS", 4)) * time.Second
	disturbances := newDisturbances()
	mixes := []framingMix{
		{"close", []framing{framedByClose}}, {"chunks", []framing{framedByChunks}}, {"mixed", []framing{framedByClose, framedByChunks}},
	}
	for _, seed := range selectSeeds(wholeSeeds) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			for i, d := range disturbances {
				for j, m := range mixes {
					t.Run(d.name+"-"+m.name, func(t *testing.T) {
						t.Parallel()
						f := newWholeFleet(t, binary, uint64(seed), d, m, i*len(mixes)+j)
						checkWhole(t, f, d, m, runWhole(f, uint64(seed), d, length))
					})
				}
			}
		})
	}
}

// newWholeFleet starts the upstreams and entries of a row.
func newWholeFleet(t *testing.T, binary string, seed uint64, d disturbance, m framingMix, row int) *wholeFleet {
	t.Helper()
	f := &wholeFleet{fleet: newEmptyFleet(t), random: rand.New(rand.NewPCG(seed, uint64(row)))}
	f.grace = shortGrace
	for i := range wholeUpstreamCount {
		f.upstreams = append(f.upstreams, newUpstreamProcess(f.fleet, upstreamSpec{
			ID: fmt.Sprint("i-", i), Seed: seed, Framings: m.framings, Size: d.size, Interval: wholeInterval,
			ResetEvery: d.resetEvery, MaxConns: d.maxConns,
		}))
	}
	for _, r := range []map[string]any{
		newRoute("stream/chat", "streaming", silenceMaxAttempts, true), newRoute("stream/brief", "streaming", silenceMaxAttempts, false),
		newRoute("check", "idempotent", silenceMaxAttempts, false), newRoute("hold", "non_idempotent", silenceMaxAttempts, false),
	} {
		r["timeout_ms"] = wholeDeadline.Milliseconds()
		f.routes = append(f.routes, r)
	}
	f.writeConfig()
	// Fleets of several rows run at the same time.
	f.startEntries(binary, row*wholeEntryCount, wholeEntryCount)
	for _, e := range f.entries {
		assertEventually(t, e.name+" ready", e.isReady)
	}
	return f
}

// runWhole runs callers beside the disturbance for a time. It returns all requests after
// all processes have ended.
func runWhole(f *wholeFleet, seed uint64, d disturbance, length time.Duration) []pieceRequest {
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	var callers []*pieceCaller
	var load sync.WaitGroup
	for i := range wholeCallerCount {
		c := newPieceCaller(f.fleet, seed, "whole", i, steadyMaxPause)
		c.kinds, c.deadline, c.protocol = wholeKinds, wholeDeadline, wholeProtocols[i%len(wholeProtocols)]
		c.readPause = d.readPause
		callers = append(callers, c)
		load.Go(func() { c.runOnEntries(ctx) })
	}
	d.run(ctx, f)
	load.Wait()
	terminateAll(f.fleet)
	for _, u := range f.upstreams {
		u.kill()
	}
	requests, _ := gatherRequests(callers)
	return requests
}

// wholeProtocols are the versions of HTTP of the callers.
var wholeProtocols = []string{"HTTP/1.1", "HTTP/1.0"}

// wholeOutcome is what a caller has of an answer.
type wholeOutcome int

const (
	// outcomeWhole means that the caller has the whole answer.
	outcomeWhole wholeOutcome = iota
	// outcomeShort means that the answer ended without an error and is not whole.
	outcomeShort
	// outcomeCut means that the answer ended with an error.
	outcomeCut
	// outcomeRefused means an answer that says that the request has not run, and
	// outcomeFailed one that reports a failure.
	outcomeRefused
	outcomeFailed
	// outcomeNone means that there was no answer.
	outcomeNone
	outcomeCount
)

func (o wholeOutcome) String() string {
	return [outcomeCount]string{"whole", "short", "cut", "refused", "failed", "none"}[o]
}

// newWholeOutcome returns the outcome of a request whose whole answer is a stream of events, if
// it asked for a stream.
func newWholeOutcome(r pieceRequest, of streamSize) wholeOutcome {
	switch {
	case r.ending == endingCutOff:
		return outcomeCut
	case r.ending != endingAnswered:
		return outcomeNone
	case isRefusal(r.status):
		return outcomeRefused
	case r.status/100 != 2:
		return outcomeFailed
	case r.status == http.StatusOK && isWhole(r, of):
		return outcomeWhole
	}
	return outcomeShort
}

// isWhole reports whether the body of r is the whole answer of an upstream, with each event
// of a stream once and in order.
func isWhole(r pieceRequest, of streamSize) bool {
	if !strings.HasPrefix(r.kind, "stream/") {
		return strings.HasPrefix(r.body, "answer of i-") && strings.HasSuffix(r.body, " to "+r.id+"\n")
	}
	return r.body == strings.Join(of.eventsFrom(r.id, 1), "")
}

// checkWhole checks what callers have got against what upstreams have sent, apart for each
// protocol of the callers.
func checkWhole(t *testing.T, f *wholeFleet, d disturbance, m framingMix, requests []pieceRequest) {
	t.Helper()
	runs := map[string][]upstreamRun{}
	for _, u := range f.upstreams {
		for _, r := range u.readRuns() {
			runs[r.id] = append(runs[r.id], r)
		}
	}
	for _, protocol := range wholeProtocols {
		var of []pieceRequest
		for _, r := range requests {
			if r.protocol == protocol {
				of = append(of, r)
			}
		}
		name := strings.ReplaceAll(protocol, "/", "-")
		logOutcomes(t, f, d, m, protocol, of, runs)
		t.Run("order-"+name, func(t *testing.T) { assertNoneShort(t, d, of, runs) })
		t.Run("whole-"+name, func(t *testing.T) { assertSentArrived(t, f, d, of, runs) })
	}
	t.Run("runs-bounded", func(t *testing.T) { assertRunsBounded(t, requests, runs) })
	t.Run("refusals-true", func(t *testing.T) { assertRefusedNotRun(t, requests, runs) })
}

// logOutcomes logs the number of requests with each outcome, a line for each kind of answer,
// and how many answers were sent whole but not received as whole.
func logOutcomes(t *testing.T, f *wholeFleet, d disturbance, m framingMix, protocol string, requests []pieceRequest, runs map[string][]upstreamRun) {
	t.Helper()
	counts := map[string]*[outcomeCount]int{"stream/chat": {}, "stream/brief": {}, "plain": {}}
	lost, excused := map[string]int{}, map[string]int{}
	for _, r := range requests {
		kind := r.kind
		if counts[kind] == nil {
			kind = "plain"
		}
		o := newWholeOutcome(r, d.size)
		counts[kind][o]++
		if o != outcomeWhole && wasSentWhole(runs[r.id]) {
			lost[kind]++
			if f.hadOutage(r, runs[r.id]) {
				excused[kind]++
			}
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		line := fmt.Sprintf("| %s | %s | %s | %s |", d.name, m.name, protocol, kind)
		for o, n := range counts[kind] {
			line += fmt.Sprintf(" %d %v |", n, wholeOutcome(o))
		}
		t.Logf("%s %d sent whole but lost, %d of them in an outage |", line, lost[kind], excused[kind])
	}
}

// wasSentWhole reports whether an upstream wrote an answer to its end.
func wasSentWhole(runs []upstreamRun) bool {
	for _, r := range runs {
		if r.whole {
			return true
		}
	}
	return false
}

// hadOutage reports whether the entry of a request, or each upstream that wrote its answer to
// the end, had an outage meanwhile.
func (f *wholeFleet) hadOutage(r pieceRequest, runs []upstreamRun) bool {
	if r.entry.hadOutage(r.start, r.end) {
		return true
	}
	for _, run := range runs {
		for _, u := range f.upstreams {
			if run.whole && u.name == run.upstream && !u.hadOutage(r.start, r.end) {
				return false
			}
		}
	}
	return true
}

// assertNoneShort checks that no answer ended without an error before its end.
func assertNoneShort(t *testing.T, d disturbance, requests []pieceRequest, runs map[string][]upstreamRun) {
	t.Helper()
	whole := 0
	for _, r := range requests {
		switch newWholeOutcome(r, d.size) {
		case outcomeShort:
			t.Errorf("%s ended as whole after %d bytes, status %d, body ends with %q\n\truns: %s",
				describe(r), len(r.body), r.status, r.body[max(0, len(r.body)-80):], describeRuns(runs[r.id]))
		case outcomeWhole:
			whole++
		}
	}
	is.New(t).True(whole > 0) // some requests have a whole answer
}

// assertSentArrived checks that callers have each answer that an upstream wrote to its end,
// unless the upstream or the entry had an outage meanwhile.
func assertSentArrived(t *testing.T, f *wholeFleet, d disturbance, requests []pieceRequest, runs map[string][]upstreamRun) {
	t.Helper()
	for _, r := range requests {
		o := newWholeOutcome(r, d.size)
		if o == outcomeWhole || !wasSentWhole(runs[r.id]) || f.hadOutage(r, runs[r.id]) {
			continue
		}
		t.Errorf("%s was sent whole, but is %v, status %d, %d bytes\n\truns: %s", describe(r), o, r.status, len(r.body), describeRuns(runs[r.id]))
	}
}

// assertRefusedNotRun checks that no request that may not run twice ran although its caller
// was told that it has not.
func assertRefusedNotRun(t *testing.T, requests []pieceRequest, runs map[string][]upstreamRun) {
	t.Helper()
	for _, r := range requests {
		if r.kind == "hold" && r.ending == endingAnswered && isRefusal(r.status) && len(runs[r.id]) > 0 {
			t.Errorf("%s was refused with status %d\n\truns: %s", describe(r), r.status, describeRuns(runs[r.id]))
		}
	}
}
