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

// A second submit of an attempt must not run the attempt again.
func TestRepeatedSubmitDoesNotRunAgain(t *testing.T) {
	t.Run("submit after the end gets no second run", func(t *testing.T) {
		b := newServiceFixture(t)
		b.submit("a", 1)
		b.assertFrame("a", messenger.FrameResponse)
		b.submit("a", 1)
		b.assertRunsOnce("a")
	})
	t.Run("submit while queued or running is ignored", func(t *testing.T) {
		b := newServiceFixture(t)
		b.submit("a", 1)
		b.submit("a", 1)
		b.assertFrame("a", messenger.FrameResponse)
		b.assertRunsOnce("a")
	})
	t.Run("submit after its cancel is refused", func(t *testing.T) {
		b := newServiceFixture(t)
		b.conn.Notify(messenger.MethodCancel, messenger.Cancel{Request: "a", Attempt: 1})
		b.submit("a", 1)
		b.assertFrame("a", messenger.FrameRefused)
		b.is.Equal(b.runs("a"), 0)
	})
	t.Run("submit after a refusal is refused, next attempt runs", func(t *testing.T) {
		b := newServiceFixture(t)
		b.apply(0) // without slots every submit is refused
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

// A preemption must not make the service run a call twice, and a call that was
// sent to the upstream must not be reported as refused.
func TestPreemptedServiceCallNotRunAgain(t *testing.T) {
	k := scheduler.Key{Request: "a", Attempt: 1}
	start := func(t *testing.T) (*serviceFixture, *run) {
		b := newServiceFixture(t)
		b.executor.Stop() // the test takes the place of the goroutine
		r := &run{conn: b.conn, submit: messenger.Submit{Request: "a", Attempt: 1, Call: &messenger.Call{Method: http.MethodPost, Path: "/x"}}}
		b.executor.runs[k] = r
		b.executor.execute(scheduler.Action{Kind: scheduler.ActionStart, Key: k}, r)
		return b, r
	}
	t.Run("preempted and started again keeps its reader", func(t *testing.T) {
		b, r := start(t)
		first := r.reader
		b.executor.execute(scheduler.Action{Kind: scheduler.ActionPreempt, Key: k}, r)
		b.executor.execute(scheduler.Action{Kind: scheduler.ActionStart, Key: k}, r)
		b.is.True(r.reader == first)
		b.is.Equal(r.generation, 0)
	})
	t.Run("shed after preemption is recorded as run", func(t *testing.T) {
		b, r := start(t)
		b.executor.execute(scheduler.Action{Kind: scheduler.ActionPreempt, Key: k}, r)
		b.executor.execute(scheduler.Action{Kind: scheduler.ActionShed, Key: k}, r)
		b.is.Equal(b.executor.ended.lookup(k, tracer.Stamp{}), stateRan)
	})
}

// The number and the age of ended attempts are bounded. A removed attempt must
// not look new, or a delayed submit would run it again.
func TestRemovedAttemptReportedExpired(t *testing.T) {
	now := time.Unix(0, 0)
	key := func(i int) scheduler.Key { return scheduler.Key{Request: "r", Attempt: i} }
	stamp := func(i int) tracer.Stamp { return tracer.Stamp{Wall: int64(i)} }
	t.Run("removed by number", func(t *testing.T) {
		is := is.New(t)
		m := endedAttempts{maxAttempts: 2}
		for i := 1; i <= 3; i++ {
			m.add(now, key(i), stamp(i), stateNotRun)
		}
		is.Equal(m.lookup(key(1), stamp(1)), stateExpired)
		is.Equal(m.lookup(key(2), stamp(2)), stateNotRun)
		is.Equal(m.lookup(key(4), stamp(4)), stateNew)
	})
	t.Run("removed by age", func(t *testing.T) {
		is := is.New(t)
		m := endedAttempts{}
		m.add(now, key(1), stamp(1), stateRan)
		m.add(now.Add(endedRetention+time.Second), key(1), stamp(1), stateNotRun)
		is.Equal(len(m.states), 0)
		is.Equal(m.lookup(key(1), stamp(1)), stateExpired)
	})
}

// serviceFixture is an executor with one plain service and one connected entry.
type serviceFixture struct {
	is       *is.I
	t        *testing.T
	executor *Executor
	service  *emulator.Service
	conn     *messenger.Conn
	frames   chan messenger.Frame
}

func newServiceFixture(t *testing.T) *serviceFixture {
	t.Helper()
	clock := timer.NewManual(time.Unix(0, 0))
	rec := recorder.New(recorder.Options{Process: "test", Clock: clock, MaxEvents: 16})
	t.Cleanup(rec.Stop)
	b := &serviceFixture{is: is.New(t), t: t, service: emulator.NewService(), frames: make(chan messenger.Frame, 64)}
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

// apply passes the executor a snapshot in which the upstream has the given number
// of slots.
func (b *serviceFixture) apply(slots int) {
	s, err := compiler.Compile(1, []descriptor.Record{{Kind: descriptor.KindUpstream, Name: "booking-1", Upstream: &descriptor.Upstream{
		Service: "booking", Type: descriptor.TypeService, Slots: slots,
	}}})
	b.is.NoErr(err)
	b.executor.Apply(s)
}

func (b *serviceFixture) submit(request string, attempt int) {
	b.conn.Notify(messenger.MethodSubmit, messenger.Submit{
		Request: request, Attempt: attempt, Call: &messenger.Call{Method: http.MethodPost, Path: "/x", Body: []byte(request)},
	})
}

// assertFrame checks the kind of the next frame of a request, except for the
// started frame.
func (b *serviceFixture) assertFrame(request string, kind messenger.FrameKind) {
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
			b.t.Fatalf("no frame of request %s within 30 s, want %s", request, kind)
		}
	}
}

// assertRunsOnce checks that a request has run exactly once. It first waits for a
// later request to end, so that all earlier messages have been handled.
func (b *serviceFixture) assertRunsOnce(request string) {
	b.t.Helper()
	b.submit("last", 1)
	b.assertFrame("last", messenger.FrameResponse)
	b.is.Equal(b.runs(request), 1)
}

func (b *serviceFixture) runs(request string) int {
	return b.service.Runs(http.MethodPost, "/x", request)
}
