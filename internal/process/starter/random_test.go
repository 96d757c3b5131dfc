package starter

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/driver"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// The environment variables that configure the randomised runs.
const (
	// runSecondsVariable sets the length of each run in seconds, runSeedsVariable the
	// number of seeds, from 1 on, and runSeedVariable a single seed to run alone.
	runSecondsVariable = "MAGNOLIAFRONT_RUN_SECONDS"
	runSeedsVariable   = "MAGNOLIAFRONT_RUN_SEEDS"
	runSeedVariable    = "MAGNOLIAFRONT_RUN_SEED"
)

// Under random faults no caller may get a wrong answer, no call that is not
// repeatable may run twice, and no promise may be broken.
func TestRandomFaultsBreakNoPromise(t *testing.T) {
	first, seeds := 1, intFromEnvironment(t, runSeedsVariable, 3)
	if one := intFromEnvironment(t, runSeedVariable, 0); one > 0 {
		first, seeds = one, 1
	}
	length := time.Duration(intFromEnvironment(t, runSecondsVariable, 4)) * time.Second
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runRandomFaults(t, uint64(seed), length) })
	}
}

// intFromEnvironment returns the value of an environment variable, or the default
// value if it is not set.
func intFromEnvironment(t *testing.T, name string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	is.New(t).NoErr(err)
	return n
}

func runRandomFaults(t *testing.T, seed uint64, length time.Duration) {
	is := is.NewRelaxed(t)
	random := rand.New(rand.NewPCG(seed, 99))
	trace, err := driver.MixedTrace(seed, 60, length)
	is.NoErr(err)
	// Answers of several lengths in three classes fill the engines at times, so that
	// the classes compete.
	trace.Header.Systems = driver.Systems{Entries: 2, Engines: 3, Slots: 1 + random.IntN(4), Prefill: driver.Duration(4 * time.Millisecond), Gap: driver.Duration(time.Millisecond)}
	trace.Header.Classes = append(trace.Header.Classes, driver.Class{Name: "returns-summary", Tier: 7, AnswerTarget: driver.Duration(time.Minute), Repeatable: true})
	for i := range trace.Requests {
		if q := &trace.Requests[i]; q.Model != "" && random.IntN(3) == 0 {
			q.Class, q.AnswerTokens = "returns-summary", 100+random.IntN(90)
		}
	}
	f := startFleet(t, timer.System{}, trace.Header)
	d := driver.New(driver.Options{URLs: f.urls(), Keys: map[string]string{"": DemoKey}, Clock: timer.System{}, Trace: trace})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.injectRandomFaults(random, length)
	}()
	r := d.Wait()
	<-ended
	is.NoErr(r.WriteTable(t.Output()))
	is.Equal(r.Total.Wrong, 0)
	is.Equal(r.Total.Repeated, 0)
	is.Equal(r.Total.Unsent, 0)
	events := f.events()
	t.Logf("seed %d: %d events", seed, len(events))
	assertPromises(t, events)
}

// injectRandomFaults injects one random fault after the other for the given
// length of time.
func (f *fleet) injectRandomFaults(random *rand.Rand, length time.Duration) {
	revisions := 0
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
		name := f.upstreamNames[random.IntN(len(f.upstreamNames))]
		pause := driver.Duration(time.Duration(20+random.IntN(300)) * time.Millisecond)
		fault := driver.Fault{Upstream: name, Duration: pause, Factor: 10}
		entryName := fmt.Sprintf("entry-%d", 1+random.IntN(len(f.entries)))
		switch random.IntN(12) {
		case 0:
			f.t.Logf("the agent of %s crashes", name)
			f.crashAgent(name)
		case 1:
			f.t.Logf("connections of %s are cut", name)
			f.agents[name].proxy.closeConnections()
		case 2:
			fault.Fault = "platform_down"
		case 3:
			f.t.Logf("the agent of %s is replaced", name)
			f.replaceAgent(name)
		case 4:
			revisions++
			is.New(f.t).NoErr(f.writeRevision(f.t.Context(), revisions))
		case 5:
			fault.Fault = "engine_slow"
		case 6:
			fault.Fault = "engine_crash"
		case 7:
			f.t.Logf("%s is replaced", entryName)
			f.replaceEntry(entryName)
		case 8:
			f.t.Logf("%s crashes", entryName)
			f.crashEntry(entryName)
		case 9:
			f.sendAbandonedRequests(random)
		default:
			// Calls that are not repeatable are few and short, so the upstreams that run
			// them get more faults than the others.
			name = fmt.Sprintf("booking-%d", 1+random.IntN(2))
			f.t.Logf("connections of %s are cut", name)
			f.agents[name].proxy.closeConnections()
		}
		if fault.Fault != "" && (f.agents[name].engine != nil || fault.Fault == "platform_down") {
			f.t.Logf("fault %s at %s for %v", fault.Fault, name, time.Duration(pause))
			f.injectFault(fault)
		}
	}
}

// sendAbandonedRequests sends 5 requests whose callers disconnect after 1 to
// 60 ms.
func (f *fleet) sendAbandonedRequests(random *rand.Rand) {
	for i := range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.IntN(60))*time.Millisecond)
		body := fmt.Sprintf(`{"model":"desk","stream":true,"messages":[{"role":"user","content":"abandoned %d"}]}`, random.IntN(1000)+i)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.urls()[0]+"/v1/chat/completions", strings.NewReader(body))
		is.New(f.t).NoErr(err)
		req.Header.Set("Authorization", "Bearer "+DemoKey)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		cancel()
	}
}
