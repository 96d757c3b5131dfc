package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// Behaviour is what a [Runner] does with a request.
type Behaviour int

// The behaviours.
const (
	// RunnerAnswers runs the request and answers.
	RunnerAnswers Behaviour = iota
	// RunnerRefuses says that it did not run the request.
	RunnerRefuses
	// RunnerFails runs the request and answers 500.
	RunnerFails
	// RunnerCuts runs the request and cuts the connection without an answer.
	RunnerCuts
	// RunnerCutsStream cuts the connection after half of the events, within an
	// event.
	RunnerCutsStream
	// RunnerEndsEarly answers without a length and cuts the connection in the
	// midst of the answer.
	RunnerEndsEarly
	// RunnerUnframed answers without a length and closes the connection.
	RunnerUnframed
	// RunnerRepeats sends a second answer, of another request, after its own.
	RunnerRepeats
	// RunnerPrecedes sends an answer of another request before its own.
	RunnerPrecedes
	// RunnerGarbles sends bytes that are no answer.
	RunnerGarbles
	// RunnerSilent runs the request and never answers.
	RunnerSilent
	// RunnerEarly refuses before it has read the body, and reads it later.
	RunnerEarly
	// RunnerUnsigned answers without a signature.
	RunnerUnsigned
)

// Once is a behaviour for a single request, whichever of several runners it
// reaches first.
type Once struct {
	Behaviour Behaviour
	used      atomic.Bool
}

// Run is one request that reached a runner.
type Run struct {
	ID     string
	Target string
	Header http.Header
	Body   string
	// Executed is false if the runner refused the request.
	Executed bool
	// Cancelled is closed when the connection ended before the answer did.
	Cancelled chan struct{}
}

// Runner is a stand-in for an upstream of the users' platform: a model runner or
// a plain service. It streams events to requests below /stream/ and answers
// others at once. A duty owns the record of its runs.
type Runner struct {
	// ID is its name in the store.
	ID string
	// Events is the number of events of a stream and Gap the pause between two.
	Events int
	Gap    time.Duration
	// Hold delays each answer until it is closed. Nil means no delay.
	Hold chan struct{}

	behaviour atomic.Int32
	once      atomic.Pointer[Once]
	server    *http.Server
	listener  net.Listener
	runs      *buffer.Ring[func(*[]*Run), buffer.Block]
	done      chan struct{}
}

// NewRunner starts a runner on a port of the loopback interface.
func NewRunner(id string) (*Runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{
		ID: id, Events: 8, Gap: time.Millisecond, listener: l,
		runs: buffer.New[func(*[]*Run), buffer.Block]("runner_runs", 64), done: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	go func() {
		defer close(r.done)
		var runs []*Run
		for {
			call, ok := r.runs.Take(context.Background())
			if !ok {
				return
			}
			call(&runs)
		}
	}()
	return r, nil
}

// Address returns the IP address and port of the runner.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Entry returns what the runner writes about itself in the store.
func (r *Runner) Entry(service, state string) map[string]any {
	return map[string]any{
		"service": service, "address": r.Address(), "zone": "z", "version": "v1", "slots": 8,
		"state": state, "warmup_left_ms": 0, "sequence": 1, "born": 1,
	}
}

// SetBehaviour changes what the runner does with later requests.
func (r *Runner) SetBehaviour(b Behaviour) { r.behaviour.Store(int32(b)) }

// SetOnce gives the runner a behaviour for the next request.
func (r *Runner) SetOnce(o *Once) { r.once.Store(o) }

// Runs returns the requests that have reached the runner.
func (r *Runner) Runs() []*Run {
	out := make(chan []*Run, 1)
	if !r.runs.Put(context.Background(), func(all *[]*Run) { out <- append([]*Run(nil), *all...) }) {
		return nil
	}
	return <-out
}

// CloseIdle closes the connections that carry no request, as a runner does when
// they have been idle for too long.
func (r *Runner) CloseIdle() {
	r.server.SetKeepAlivesEnabled(false)
	r.server.SetKeepAlivesEnabled(true)
}

// Stop ends the runner and cuts its connections.
func (r *Runner) Stop() {
	_ = r.server.Close()
	r.runs.Close()
	<-r.done
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	b := Behaviour(r.behaviour.Load())
	if o := r.once.Load(); o != nil && !o.used.Swap(true) {
		b = o.Behaviour
	}
	run := &Run{
		ID: req.Header.Get("Magnoliafront-Request-Id"), Target: req.RequestURI, Header: req.Header.Clone(),
		Executed: b != RunnerRefuses && b != RunnerEarly, Cancelled: make(chan struct{}),
	}
	expected := req.Header.Get("Magnoliafront-Expect-Instance")
	if expected != "" && expected != r.ID {
		run.Executed = false
	}
	if b != RunnerEarly {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		run.Body = string(body)
	}
	r.runs.Put(context.Background(), func(all *[]*Run) { *all = append(*all, run) })
	w.Header().Set("Magnoliafront-Request-Id", run.ID)
	if expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.answer(w, req, run, b)
}

func (r *Runner) answer(w http.ResponseWriter, req *http.Request, run *Run, b Behaviour) {
	if r.Hold != nil {
		select {
		case <-r.Hold:
		case <-req.Context().Done():
			close(run.Cancelled)
			return
		}
	}
	switch b {
	case RunnerRefuses, RunnerEarly:
		w.Header().Set("Magnoliafront-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case RunnerFails:
		w.Header().Set("Magnoliafront-Response-Signature", r.signature(run))
		w.WriteHeader(http.StatusInternalServerError)
	case RunnerCuts:
		cutConnection(w)
	case RunnerSilent:
		<-req.Context().Done()
		close(run.Cancelled)
	case RunnerEndsEarly, RunnerUnframed, RunnerRepeats, RunnerPrecedes, RunnerGarbles:
		r.raw(w, run, b)
	default:
		if b != RunnerUnsigned {
			w.Header().Set("Magnoliafront-Response-Signature", r.signature(run))
		}
		r.write(w, req, run, b)
	}
}

// signature is what tells an answer of this runner to this request.
func (r *Runner) signature(run *Run) string { return r.ID + "." + run.ID }

// Body returns the body with which a runner answers a request that is not
// streamed.
func (r *Runner) body(run *Run) string { return "answer of " + r.ID + " to " + run.ID + "\n" }

func (r *Runner) write(w http.ResponseWriter, req *http.Request, run *Run, b Behaviour) {
	if !isStream(req) {
		_, _ = io.WriteString(w, r.body(run))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i <= r.Events; i++ {
		if b == RunnerCutsStream && i > r.Events/2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, Event(run.ID, i))
		_ = flusher.Flush()
		select {
		case <-time.After(r.Gap):
		case <-req.Context().Done():
			close(run.Cancelled)
			return
		}
	}
}

// Event returns event i of the stream that answers a request.
func Event(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", i, id, i) }

func isStream(req *http.Request) bool {
	return len(req.URL.Path) > 8 && req.URL.Path[:8] == "/stream/"
}

// raw writes answers that net/http would not.
func (r *Runner) raw(w http.ResponseWriter, run *Run, b Behaviour) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	own := func(id string) string {
		body := r.body(run)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s",
			id, r.signature(run), len(body), body)
	}
	open := fmt.Sprintf("HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Response-Signature: %s\r\n\r\n%s",
		run.ID, r.signature(run), r.body(run))
	switch b {
	case RunnerUnframed:
		send(rw, open)
	case RunnerEndsEarly:
		send(rw, open)
		if tcp, ok := conn.(*net.TCPConn); ok {
			// The reset follows the bytes, which must arrive first.
			time.Sleep(20 * time.Millisecond)
			_ = tcp.SetLinger(0)
		}
	case RunnerRepeats:
		send(rw, own(run.ID)+own("another"))
	case RunnerPrecedes:
		send(rw, own("another")+own(run.ID))
	case RunnerGarbles:
		send(rw, "\x16\x03\x01\x00*\x02\r\n\r\n")
	}
}

func send(rw *bufio.ReadWriter, text string) {
	_, _ = rw.WriteString(text)
	_ = rw.Flush()
}
