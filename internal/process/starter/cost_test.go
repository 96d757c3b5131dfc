package starter

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx/fxtest"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// The benchmarks below measure which share of the processor time of a request is
// spent on recording its events. BenchmarkRecordEvent gives the processor time of
// one event with its metrics and checks. The share is 8 events per request times
// the cpu-ns/op of BenchmarkRecordEvent, divided by the difference of the cpu-ns/op
// of BenchmarkDemoRequest and BenchmarkEngineRequest. The target is under 2%.

// BenchmarkRecordEvent records the events of a request at an agent.
func BenchmarkRecordEvent(b *testing.B) {
	m, err := meter.New()
	is.New(b).NoErr(err)
	lc := fxtest.NewLifecycle(b)
	r := newRecorder(recorderParams{Lifecycle: lc, Settings: loader.Common{Identity: "agent-1"}, Upstream: "desk-1", Clock: timer.System{}, Meter: m})
	kinds := []tracer.Kind{tracer.KindQueued, tracer.KindStarted, tracer.KindFirstToken, tracer.KindFinished}
	start := processorTime()
	b.ResetTimer()
	id := ""
	for i := range b.N {
		if i%len(kinds) == 0 {
			id = fmt.Sprintf("entry-1-dnbt541qza5m-%d", i)
		}
		r.Record(tracer.Event{Kind: kinds[i%len(kinds)], Request: id, Attempt: 1, Class: "renter-chat", Tier: 2, Organisation: "notch-guides", Upstream: "desk-1", Tokens: 7})
		if i%4000 == 3999 {
			// The ring holds 4,096 events. A query waits until all are processed, so that
			// none is dropped; dropped events would be missing from the measurement.
			r.Fetch(b.Context(), recorder.Query{Request: "none"})
		}
	}
	r.Fetch(b.Context(), recorder.Query{Request: "none"})
	b.ReportMetric(float64(processorTime()-start)/float64(b.N), "cpu-ns/op")
	is.New(b).Equal(r.Stats().Dropped, uint64(0))
	lc.RequireStart().RequireStop()
}

// benchmarkAnswerTokens is the number of tokens of each answer.
const benchmarkAnswerTokens = 50

// BenchmarkDemoRequest sends streamed requests of 50 tokens through the demo.
func BenchmarkDemoRequest(b *testing.B) {
	d, err := StartDemo(b.Context(), DemoOptions{Listen: "127.0.0.1:0"})
	is.New(b).NoErr(err)
	benchmarkRequests(b, "http://"+d.Address)
	is.New(b).NoErr(d.Stop(context.Background()))
}

// BenchmarkEngineRequest sends the same requests directly to the stand-in for an
// engine.
func BenchmarkEngineRequest(b *testing.B) {
	s := httptest.NewServer(emulator.NewEngine(emulator.EngineOptions{Clock: timer.System{}}))
	defer s.Close()
	benchmarkRequests(b, s.URL)
}

// benchmarkRequests sends b.N requests to url in parallel and reports the
// processor time of each.
func benchmarkRequests(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	var n, failed atomic.Int64
	start := processorTime()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			body := fmt.Appendf(nil, `{"model":"desk","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"%d"}]}`, benchmarkAnswerTokens, n.Add(1))
			req, _ := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
			req.Header.Set("Authorization", "Bearer "+DemoKey)
			resp, err := client.Do(req)
			if err != nil || resp.StatusCode != http.StatusOK {
				failed.Add(1)
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
	b.ReportMetric(float64(processorTime()-start)/float64(b.N), "cpu-ns/op")
	is.New(b).Equal(failed.Load(), int64(0))
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
