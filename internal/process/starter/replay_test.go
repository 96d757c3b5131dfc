package starter

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/driver"
)

// The replay of each trace must have the outcome that the trace states and break no
// promise. The times to the first token and between tokens include work that the
// speed of the machine decides and are not checked here.
func TestTracesHaveStatedOutcome(t *testing.T) {
	paths, err := filepath.Glob("../../../testdata/traces/*.jsonl")
	is.New(t).NoErr(err)
	is.New(t).True(len(paths) >= 5)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".jsonl"), func(t *testing.T) {
			is := is.New(t)
			file, err := os.Open(path)
			is.NoErr(err)
			defer func() { _ = file.Close() }()
			trace, err := driver.ReadTrace(file)
			is.NoErr(err)
			f := startFleet(t, newPacedClock(t), trace.Header)
			r := f.replay(trace)
			is.NoErr(r.WriteTable(t.Output()))
			is.NoErr(r.Check(false))
			assertPromises(t, f.events())
		})
	}
}

// replay sends the requests of a trace, injects its faults and returns the report.
func (f *fleet) replay(trace driver.Trace) *driver.Report {
	d := driver.New(driver.Options{URLs: f.urls(), Keys: map[string]string{"": DemoKey}, Clock: f.clock, Trace: trace})
	start := f.clock.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for _, fault := range trace.Faults {
			f.sleep(start.Add(time.Duration(fault.At)).Sub(f.clock.Now()))
			f.injectFault(fault)
		}
	}()
	r := d.Wait()
	<-ended
	return r
}

// injectFault injects a fault. If the fault has a duration, injectFault returns
// after its end.
func (f *fleet) injectFault(x driver.Fault) {
	length := time.Duration(x.Duration)
	switch x.Fault {
	case "platform_down":
		f.setPlatformDown(true)
		f.sleep(length)
		f.setPlatformDown(false)
	case "engine_slow":
		f.agents[x.Upstream].engine.next.SlowDown(float64(x.Factor))
		f.sleep(length)
		f.agents[x.Upstream].engine.next.SlowDown(1)
	case "engine_crash":
		e := f.agents[x.Upstream].engine
		e.down.Store(true)
		e.crashes.Add(1)
		f.sleep(length)
		e.down.Store(false)
	case "agent_replaced":
		f.replaceAgent(x.Upstream)
	case "poison":
		// The prompts of the driver start with "request" and the content number of the
		// request, which is 666666 in the trace.
		text := []byte("request 666666 ")
		for _, a := range f.agents {
			if a.engine != nil {
				a.engine.poison.Store(&text)
			}
		}
	default:
		f.t.Errorf("unknown fault %q", x.Fault)
	}
}
