package executor

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// A submit that comes again must not run the attempt again.
func TestRepeatedSubmit(t *testing.T) {
	t.Run("after its end", func(t *testing.T) {
		b := newBench(t)
		b.submit("a", 1)
		b.assertFrame("a", messenger.FrameResponse)
		b.submit("a", 1)
		b.assertRunsOnce("a")
	})
	t.Run("while it waits or runs", func(t *testing.T) {
		b := newBench(t)
		b.submit("a", 1)
		b.submit("a", 1)
		b.assertFrame("a", messenger.FrameResponse)
		b.assertRunsOnce("a")
	})
	t.Run("after a cancel that came first", func(t *testing.T) {
		b := newBench(t)
		b.conn.Notify(messenger.MethodCancel, messenger.Cancel{Request: "a", Attempt: 1})
		b.submit("a", 1)
		b.assertFrame("a", messenger.FrameRefused)
		b.is.Equal(b.runs("a"), 0)
	})
	t.Run("after it was refused", func(t *testing.T) {
		b := newBench(t)
		b.apply(0) // no slots: refused
		b.submit("a", 1)
		b.assertFrame("a", messenger.FrameRefused)
		b.apply(4)
		b.submit("a", 1)
		b.assertFrame("a", messenger.FrameRefused)
		b.is.Equal(b.runs("a"), 0)
		b.submit("a", 2)
		b.assertFrame("a", messenger.FrameResponse)
	})
}

// A preemption must not make the service run a call twice, and what was handed
// to the upstream must not be called refused.
func TestPreemptedCall(t *testing.T) {
	k := scheduler.Key{Request: "a", Attempt: 1}
	start := func(t *testing.T) (*bench, *run) {
		b := newBench(t)
		b.executor.Stop() // the test acts in place of the duty
		r := &run{conn: b.conn, submit: messenger.Submit{Request: "a", Attempt: 1, Call: &messenger.Call{Method: http.MethodPost, Path: "/x"}}}
		b.executor.runs[k] = r
		b.executor.act(scheduler.Action{Kind: scheduler.ActionStart, Key: k}, r)
		return b, r
	}
	t.Run("goes on with its reader", func(t *testing.T) {
		b, r := start(t)
		first := r.reader
		b.executor.act(scheduler.Action{Kind: scheduler.ActionPreempt, Key: k}, r)
		b.executor.act(scheduler.Action{Kind: scheduler.ActionStart, Key: k}, r)
		b.is.True(r.reader == first)
		b.is.Equal(r.generation, 0)
	})
	t.Run("is lost when it is shed", func(t *testing.T) {
		b, r := start(t)
		b.executor.act(scheduler.Action{Kind: scheduler.ActionPreempt, Key: k}, r)
		b.executor.act(scheduler.Action{Kind: scheduler.ActionShed, Key: k}, r)
		b.is.Equal(b.executor.memory.recall(k, tracer.Stamp{}), fateEnded)
	})
}

// The memory is bounded, and what it has dropped must not look new.
func TestMemory(t *testing.T) {
	now := time.Unix(0, 0)
	key := func(i int) scheduler.Key { return scheduler.Key{Request: "r", Attempt: i} }
	stamp := func(i int) tracer.Stamp { return tracer.Stamp{Wall: int64(i)} }
	t.Run("by number", func(t *testing.T) {
		is := is.New(t)
		m := memory{limit: 2}
		for i := 1; i <= 3; i++ {
			m.remember(now, key(i), stamp(i), fateRefused)
		}
		is.Equal(m.recall(key(1), stamp(1)), fateForgotten)
		is.Equal(m.recall(key(2), stamp(2)), fateRefused)
		is.Equal(m.recall(key(4), stamp(4)), fateNew)
	})
	t.Run("by time", func(t *testing.T) {
		is := is.New(t)
		m := memory{}
		m.remember(now, key(1), stamp(1), fateEnded)
		m.remember(now.Add(memoryTime+time.Second), key(1), stamp(1), fateRefused)
		is.Equal(len(m.fates), 0)
		is.Equal(m.recall(key(1), stamp(1)), fateForgotten)
	})
}

// bench is an executor beside a plain service and a connection to it.
type bench struct {
	is       *is.I
	t        *testing.T
	executor *Executor
	service  *emulator.Service
	conn     *messenger.Conn
	frames   chan messenger.Frame
}

func newBench(t *testing.T) *bench {
	t.Helper()
	clock := timer.NewManual(time.Unix(0, 0))
	rec := recorder.New(recorder.Options{Process: "test", Clock: clock, MaxEvents: 16})
	t.Cleanup(rec.Stop)
	b := &bench{is: is.New(t), t: t, service: emulator.NewService(), frames: make(chan messenger.Frame, 64)}
	t.Cleanup(b.service.Stop)
	s := httptest.NewServer(b.service)
	t.Cleanup(s.Close)
	b.executor = New(Options{Upstream: "booking-1", URL: s.URL, Client: &http.Client{}, Clock: clock, Recorder: rec})
	t.Cleanup(b.executor.Stop)
	routes := acceptor.Routes{"": b.executor.Handle, messenger.MethodSubmit: b.executor.Handle, messenger.MethodCancel: b.executor.Handle}
	a, err := acceptor.New("127.0.0.1:0", messenger.Options{Secret: []byte("secret")}, routes)
	b.is.NoErr(err)
	t.Cleanup(a.Stop)
	b.conn, err = messenger.Dial(t.Context(), a.Address(), messenger.Options{Secret: []byte("secret"), Handle: func(_ *messenger.Conn, m messenger.Message) (any, error) {
		var f messenger.Frame
		if m.Method == messenger.MethodFrame && m.Decode(&f) == nil {
			b.frames <- f
		}
		return nil, nil
	}})
	b.is.NoErr(err)
	b.apply(4)
	return b
}

// apply puts records with the given number of slots in force.
func (b *bench) apply(slots int) {
	s, err := compiler.Compile(1, []descriptor.Record{{Kind: descriptor.KindUpstream, Name: "booking-1", Upstream: &descriptor.Upstream{
		Service: "booking", Type: descriptor.TypeService, Slots: slots,
	}}})
	b.is.NoErr(err)
	b.executor.Apply(s)
}

func (b *bench) submit(request string, attempt int) {
	b.conn.Notify(messenger.MethodSubmit, messenger.Submit{
		Request: request, Attempt: attempt, Call: &messenger.Call{Method: http.MethodPost, Path: "/x", Body: []byte(request)},
	})
}

// assertFrame checks the last frame of an attempt.
func (b *bench) assertFrame(request string, kind messenger.FrameKind) {
	b.t.Helper()
	for {
		select {
		case f := <-b.frames:
			if f.Request != request || f.Kind == messenger.FrameStarted {
				continue
			}
			b.is.Equal(f.Kind, kind)
			return
		case <-time.After(30 * time.Second):
			b.t.Fatal("no frame")
		}
	}
}

// assertRunsOnce checks that a request has run once, after all messages before
// it were handled.
func (b *bench) assertRunsOnce(request string) {
	b.t.Helper()
	b.submit("last", 1)
	b.assertFrame("last", messenger.FrameResponse)
	b.is.Equal(b.runs(request), 1)
}

func (b *bench) runs(request string) int { return b.service.Runs(http.MethodPost, "/x", request) }
