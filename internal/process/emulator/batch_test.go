package emulator

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const ms = time.Millisecond

// An iteration must take longer with more runs and with uncached prompt tokens,
// or the model would show no penalty for routing to a loaded or cold engine.
func TestBatchTimeGrowsWithRunsAndUncachedPrompt(t *testing.T) {
	o := BatchOptions{PrefillTimePerToken: ms, DecodeTime: 10 * ms, DecodeTimePerRun: ms, PrefixTokens: 100}
	t.Run("single run takes base time plus prefill", func(t *testing.T) {
		assertOutputTimes(t, NewBatch(o), []BatchRun{{ID: 1, PromptTokens: 5, Tokens: 2}}, 1, 16*ms, 27*ms, 27*ms)
	})
	t.Run("second run lengthens each iteration", func(t *testing.T) {
		assertOutputTimes(t, NewBatch(o), []BatchRun{{ID: 1, PromptTokens: 5, Tokens: 2}, {ID: 2, PromptTokens: 5, Tokens: 9}}, 1, 16*ms, 33*ms, 33*ms)
	})
	t.Run("cached prefix skips prefill", func(t *testing.T) {
		b := NewBatch(o)
		r := BatchRun{ID: 1, Prefix: 7, PrefixTokens: 40, PromptTokens: 50, Tokens: 1}
		assertOutputTimes(t, b, []BatchRun{r}, 1, 61*ms, 61*ms)
		assertOutputTimes(t, b, []BatchRun{r}, 1, 21*ms, 21*ms)
	})
	t.Run("prefix removed from full cache is prefilled again", func(t *testing.T) {
		b := NewBatch(o)
		r := BatchRun{ID: 1, Prefix: 7, PrefixTokens: 40, PromptTokens: 50, Tokens: 1}
		other := r
		assertOutputTimes(t, b, []BatchRun{r}, 1, 61*ms, 61*ms)
		other.Prefix, other.PrefixTokens, other.PromptTokens = 8, 90, 90
		assertOutputTimes(t, b, []BatchRun{other}, 1, 101*ms, 101*ms)
		assertOutputTimes(t, b, []BatchRun{r}, 1, 61*ms, 61*ms)
	})
	t.Run("slowed engine multiplies iteration time", func(t *testing.T) {
		b := NewBatch(o)
		b.SlowDown(5)
		assertOutputTimes(t, b, []BatchRun{{ID: 1, PromptTokens: 5, Tokens: 1}}, 1, 80*ms, 80*ms)
	})
}

// Runs must start in priority order, and the KV cache size must hold for a
// single prompt and for the whole batch.
func TestBatchKeepsPriorityOrderAndCacheLimit(t *testing.T) {
	t.Run("urgent run starts before earlier runs", func(t *testing.T) {
		b := NewBatch(BatchOptions{Slots: 1, DecodeTime: 10 * ms})
		runs := []BatchRun{{ID: 1, Tokens: 1, Priority: 5}, {ID: 2, Tokens: 1, Priority: 5}, {ID: 3, Tokens: 1, Priority: 1}}
		assertOutputTimes(t, b, runs, 3, 20*ms, 20*ms)
	})
	t.Run("least urgent run is evicted and finishes later", func(t *testing.T) {
		b := NewBatch(BatchOptions{KVTokens: 25, DecodeTime: 10 * ms})
		runs := []BatchRun{{ID: 1, PromptTokens: 10, Tokens: 6, Priority: 1}, {ID: 2, PromptTokens: 10, Tokens: 6, Priority: 2}}
		out := runUntilIdle(b, runs)
		assertAllTokens(t, out, 1, 0, 6)
		assertAllTokens(t, out, 2, 0, 6)
		is.New(t).True(b.Evictions > 0)
	})
	t.Run("prompt as large as the KV cache is rejected", func(t *testing.T) {
		is.New(t).True(!NewBatch(BatchOptions{KVTokens: 10}).Add(time.Time{}, BatchRun{ID: 1, PromptTokens: 10, Tokens: 1}))
	})
	t.Run("resumed run continues at its offset", func(t *testing.T) {
		assertAllTokens(t, runUntilIdle(NewBatch(BatchOptions{DecodeTime: ms}), []BatchRun{{ID: 1, Tokens: 9, ResumeFrom: 4}}), 1, 4, 9)
	})
}

// A crash must drop every run and reject new ones until the restart. A
// cancelled run must not produce another token.
func TestBatchCrashLosesRunsAndCancelStopsTokens(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	b := NewBatch(BatchOptions{DecodeTime: 10 * ms, ReportLag: 25 * ms})
	for id := range int64(3) {
		is.True(b.Add(now, BatchRun{ID: id, Tokens: 100}))
	}
	// Runs 1 and 2 are admitted at the end of the first iteration.
	is.Equal(len(b.Step(now.Add(20*ms))), 4)
	is.Equal(b.Load(now.Add(20*ms)).Running, 0) // no report is ReportLag old yet
	is.True(b.Cancel(1))
	is.Equal(len(b.Step(now.Add(30*ms))), 2)
	is.Equal(b.Load(now.Add(35*ms)).Running, 3)
	is.Equal(b.Crash(), []int64{0, 2})
	is.True(b.NextStep().IsZero())
	is.True(!b.Add(now, BatchRun{ID: 4, Tokens: 1}))
	b.Restart()
	is.True(b.Add(now, BatchRun{ID: 4, Tokens: 1}))
}

// A crash must abort an HTTP answer, so that the client can't take it for
// complete.
func TestEngineCrashAbortsHTTPAnswer(t *testing.T) {
	is := is.New(t)
	clock := signallingClock{timer.NewManual(time.Unix(1, 0)), make(chan struct{}, 16)}
	e := NewEngine(EngineOptions{Clock: clock, Batch: BatchOptions{DecodeTime: 10 * ms}})
	defer e.Stop()
	srv := httptest.NewServer(e)
	defer srv.Close()
	body := `{"messages":[{"role":"user","content":"hi"}],"max_tokens":5}`
	q, err := srv.Client().Post(srv.URL+"/switches?slow_down=2", "", nil)
	is.NoErr(err)
	_ = q.Body.Close()
	go func() {
		<-clock.armed
		clock.Advance(20 * ms)
	}()
	resp, err := srv.Client().Post(srv.URL+"/v1/chat/completions", "application/json", strings.NewReader(body))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	e.Crash()
	text, err := io.ReadAll(resp.Body)
	is.True(err != nil)
	is.Equal(strings.Count(string(text), "data:"), 1)
	is.True(!strings.Contains(string(text), "[DONE]"))
}

// signallingClock sends on armed whenever a timer is set.
type signallingClock struct {
	*timer.Manual
	armed chan struct{}
}

// After implements [timer.Clock].
func (c signallingClock) After(d time.Duration) (<-chan time.Time, func()) {
	wake, stop := c.Manual.After(d)
	c.armed <- struct{}{}
	return wake, stop
}

// runUntilIdle adds runs to b and steps it until no run is left.
func runUntilIdle(b *Batch, runs []BatchRun) []Output {
	for _, r := range runs {
		b.Add(time.Unix(1, 0), r)
	}
	var out []Output
	for !b.NextStep().IsZero() {
		out = append(out, b.Step(b.NextStep())...)
	}
	return out
}

// assertOutputTimes checks the output times of run id, relative to the start.
func assertOutputTimes(t *testing.T, b *Batch, runs []BatchRun, id int64, want ...time.Duration) {
	t.Helper()
	var got []time.Duration
	for _, o := range runUntilIdle(b, runs) {
		if o.ID == id {
			got = append(got, o.At.Sub(time.Unix(1, 0)))
		}
	}
	is.New(t).Equal(got, want)
}

// assertAllTokens checks that run id produced the tokens from to length-1 once
// and in order, and then finished.
func assertAllTokens(t *testing.T, out []Output, id int64, from, length int) {
	t.Helper()
	is := is.New(t)
	next := from
	for _, o := range out {
		if o.ID != id {
			continue
		}
		is.Equal(o.Token, next)
		if o.Finished {
			is.Equal(next, length)
			return
		}
		next++
	}
	t.Fatalf("run %d did not finish after token %d of %d", id, next, length)
}
