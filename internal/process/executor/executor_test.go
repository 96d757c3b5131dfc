package executor

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// errorToken makes a scriptedEngine fail the run.
const errorToken = "error"

// scriptedEngine streams the tokens from its channel to the active run. An empty
// token ends the answer. It answers a health check once it can take a value from health.
type scriptedEngine struct {
	health chan struct{}
	starts chan int
	tokens chan string
	// cancelled receives a value for each run whose connection has ended.
	cancelled chan struct{}
}

func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		select {
		case <-e.health:
		case <-r.Context().Done():
		}
		return
	}
	var body struct {
		ResumeFrom int `json:"resume_from"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	e.starts <- body.ResumeFrom
	for {
		select {
		case <-r.Context().Done():
			e.cancelled <- struct{}{}
			return
		case t := <-e.tokens:
			if t == "" {
				_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
				return
			}
			if t == errorToken {
				_, _ = fmt.Fprint(w, "data: {\"error\":\"failed\"}\n\n")
				return
			}
			_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", t)
			_ = rc.Flush()
		}
	}
}

// engineFixture is an executor with one engine and one connected entry.
type engineFixture struct {
	t      *testing.T
	clock  *timer.Manual
	engine *scriptedEngine
	entry  *messenger.Conn
	frames chan messenger.Frame
	// notices receives a value for each notice of the executor.
	notices chan struct{}
	// pending holds the received but unchecked frames of each request.
	pending map[string][]messenger.Frame
}

func newEngineFixture(t *testing.T, u descriptor.Upstream) *engineFixture {
	t.Helper()
	b := &engineFixture{
		t: t, clock: timer.NewManual(time.Unix(1000, 0)), engine: &scriptedEngine{make(chan struct{}), make(chan int, 10), make(chan string), make(chan struct{}, 10)},
		frames: make(chan messenger.Frame, 100), notices: make(chan struct{}, 100), pending: map[string][]messenger.Frame{},
	}
	server := httptest.NewServer(b.engine)
	t.Cleanup(server.Close)
	b.entry = startExecutor(t, Options{Upstream: "u", URL: server.URL, Client: server.Client(), Clock: b.clock}, u, b.handle)
	return b
}

// startExecutor starts an executor for the upstream u and returns the connection of an entry
// to it, whose messages go to handle.
func startExecutor(t *testing.T, o Options, u descriptor.Upstream, handle messenger.Handler) *messenger.Conn {
	t.Helper()
	is := is.New(t)
	o.Recorder = recorder.New(recorder.Options{Clock: o.Clock})
	t.Cleanup(o.Recorder.Stop)
	x := New(o)
	t.Cleanup(x.Stop)
	a, err := acceptor.New("127.0.0.1:0", messenger.Options{}, acceptor.Routes{"": x.Handle, messenger.MethodSubmit: x.Handle, messenger.MethodNotice: x.Handle})
	is.NoErr(err)
	t.Cleanup(a.Stop)
	entry, err := messenger.Dial(t.Context(), a.Address(), messenger.Options{Handle: handle})
	is.NoErr(err)
	t.Cleanup(func() { entry.Close() })
	x.Apply(&compiler.Snapshot{Upstreams: map[string]descriptor.Upstream{"u": u}})
	return entry
}

func (b *engineFixture) handle(_ *messenger.Conn, m messenger.Message) (any, error) {
	switch m.Method {
	case messenger.MethodFrame:
		var f messenger.Frame
		_ = m.Decode(&f)
		b.frames <- f
	case messenger.MethodNotice:
		b.notices <- struct{}{}
	}
	return nil, nil
}

func (b *engineFixture) submit(s messenger.Submit) {
	s.Attempt, s.Class, s.Body = 1, s.Request, []byte(`{"model":"m","max_tokens":50}`)
	b.entry.Notify(messenger.MethodSubmit, s)
}

// awaitHandled waits until the executor has handled all messages sent so far. It
// handles them in order and replies to a notice with a notice.
func (b *engineFixture) awaitHandled() {
	for len(b.notices) > 0 {
		<-b.notices
	}
	b.entry.Notify(messenger.MethodNotice, messenger.Notice{})
	<-b.notices
}

// assertFrame checks the kind of the next frame of a request and returns the
// frame. The frames of different requests may arrive in any order.
func (b *engineFixture) assertFrame(request string, kind messenger.FrameKind) messenger.Frame {
	b.t.Helper()
	for len(b.pending[request]) == 0 {
		f := <-b.frames
		b.pending[f.Request] = append(b.pending[f.Request], f)
	}
	f := b.pending[request][0]
	b.pending[request] = b.pending[request][1:]
	if f.Kind != kind {
		b.t.Fatalf("got frame %s of request %s with reason %q, want %s", f.Kind, f.Request, f.Reason, kind)
	}
	return f
}

// assertStarts checks that a request starts and that the engine is asked to resume
// it after the first from tokens.
func (b *engineFixture) assertStarts(request string, from int) {
	b.t.Helper()
	b.assertFrame(request, messenger.FrameStarted)
	is.New(b.t).Equal(<-b.engine.starts, from)
}

func (b *engineFixture) assertTokens(request string, first, n int) {
	b.t.Helper()
	for i := range n {
		b.engine.tokens <- fmt.Sprint("t", i)
		is.New(b.t).Equal(b.assertFrame(request, messenger.FrameTokens).First, first+i)
	}
}

// preemptLow lets the run high preempt the run low after two tokens. High has one token.
func (b *engineFixture) preemptLow() {
	b.t.Helper()
	b.submit(messenger.Submit{Request: "low", Tier: 8, Repeatable: true})
	b.assertStarts("low", 0)
	b.assertTokens("low", 0, 2)
	b.submit(messenger.Submit{Request: "high", Tier: 1, Repeatable: true, FirstTokenIn: time.Second})
	// The target of the submit counts from the time at which it is handled.
	b.awaitHandled()
	b.clock.Advance(time.Second)
	b.assertStarts("high", 0)
	// Until its connection has ended, the preempted run could take the token.
	<-b.engine.cancelled
	b.assertTokens("high", 0, 1)
}

// A preempted run must resume at its next token. The entry must get neither a
// refusal nor a repeated token.
func TestPreemptedRunResumesAtNextToken(t *testing.T) {
	b := newEngineFixture(t, descriptor.Upstream{Slots: 1})
	b.preemptLow()
	b.engine.tokens <- ""
	b.assertFrame("high", messenger.FrameFinished)
	b.assertStarts("low", 2)
	b.assertTokens("low", 2, 1)
}

// A run that has generated tokens and outgrows the KV capacity must be reported
// as lost, not as refused, and the upstream must not be reported as crashed.
func TestStartedRunBeyondKVCapacityReportedLost(t *testing.T) {
	b := newEngineFixture(t, descriptor.Upstream{Slots: 1, KVTokens: 10})
	b.submit(messenger.Submit{Request: "long", Tier: 1, Repeatable: true, PromptTokens: 8})
	b.assertStarts("long", 0)
	b.assertTokens("long", 0, 3)
	f := b.assertFrame("long", messenger.FrameLost)
	is.New(t).Equal(f.Reason, string(scheduler.ReasonTooLarge))
	is.New(t).Equal(f.Crashed, false)
}

// A run whose prompt is larger than the KV capacity must be refused, and the
// frame must carry the load.
func TestPromptBeyondKVCapacityRefusedWithLoad(t *testing.T) {
	b := newEngineFixture(t, descriptor.Upstream{Slots: 1, KVTokens: 10})
	b.submit(messenger.Submit{Request: "large", Tier: 1, Repeatable: true, PromptTokens: 10})
	f := b.assertFrame("large", messenger.FrameRefused)
	is.New(t).Equal(f.Load.Slots, 1)
}
