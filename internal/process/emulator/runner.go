package emulator

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// RunnerBehaviour selects how a [Runner] handles a request.
type RunnerBehaviour int

// The behaviours.
const (
	// RunnerAnswers executes the request and answers it.
	RunnerAnswers RunnerBehaviour = iota
	// RunnerRefuses answers 503 with the header that marks the request as not
	// executed.
	RunnerRefuses
	// RunnerFails executes the request and answers 500.
	RunnerFails
	// RunnerResets executes the request and resets the connection without an
	// answer.
	RunnerResets
	// RunnerAbortsStream closes the connection after half of the events, in the
	// middle of an event.
	RunnerAbortsStream
	// RunnerAbortsShortStream is like RunnerAbortsStream, with a Content-Length that
	// covers one event more than it sends.
	RunnerAbortsShortStream
	// RunnerResetsMidBody sends the whole body without a Content-Length and then
	// resets the connection instead of closing it, so that the client can't know
	// that the body is complete.
	RunnerResetsMidBody
	// RunnerOmitsLength answers without a Content-Length and closes the
	// connection after the body.
	RunnerOmitsLength
	// RunnerAppendsForeign sends a second response, with the ID of another request,
	// after its own.
	RunnerAppendsForeign
	// RunnerPrependsForeign sends a response with the ID of another request before
	// its own.
	RunnerPrependsForeign
	// RunnerRepeatsRefusal sends the refusal of another request before its own response.
	RunnerRepeatsRefusal
	// RunnerRepeatsUnnamedRefusal sends a refusal without an ID before its own response.
	RunnerRepeatsUnnamedRefusal
	// RunnerGarbles sends bytes that are not an HTTP response.
	RunnerGarbles
	// RunnerSilent executes the request and never answers.
	RunnerSilent
	// RunnerRefusesBeforeBody refuses like RunnerRefuses, but before it has read
	// the body. The body is read after the refusal.
	RunnerRefusesBeforeBody
	// RunnerUnsigned answers without the signature header.
	RunnerUnsigned
	// RunnerEndlessHead executes the request and sends header lines until the client
	// closes the connection.
	RunnerEndlessHead
	// RunnerEndlessEvent sends an event without an end after half of the events of a
	// stream, until the client closes the connection. It answers other requests like
	// RunnerEndlessHead.
	RunnerEndlessEvent
	// RunnerTrickles sends comments in place of the second half of the events of a
	// stream, and informational responses in place of the answer to another request.
	RunnerTrickles
	// RunnerEndlessUnframed is like RunnerEndlessEvent, but the end of the connection
	// marks that of the stream.
	RunnerEndlessUnframed
	// RunnerPauses is silent after half of the events of a stream, and before the
	// answer to another request, until Runner.Continue is closed.
	RunnerPauses
)

// OneTimeBehaviour is a behaviour for a single request. If several runners share
// it, the first request that reaches any of them uses it up.
type OneTimeBehaviour struct {
	Behaviour RunnerBehaviour
	used      atomic.Bool
}

// RunnerRequest is a request that reached a [Runner].
type RunnerRequest struct {
	ID     string
	Target string
	Header http.Header
	Body   string
	// Executed is false if the runner refused the request or the request was
	// meant for another instance.
	Executed bool
	// Cancelled is closed if the connection ends before the answer is complete.
	Cancelled chan struct{}
}

// Runner is a stand-in for an upstream of the users' platform, either a model
// runner or a plain service. It answers requests below /stream/ with a stream of
// events and others with a short body. One goroutine owns the list of requests.
type Runner struct {
	// ID is the name of the runner's object in the store.
	ID string
	// Events is the number of events in a stream, and EventInterval the pause
	// after each.
	Events        int
	EventInterval time.Duration
	// Release blocks each answer until it is closed. Nil means no delay.
	Release chan struct{}
	// Continue ends the silence of RunnerPauses when it is closed.
	Continue chan struct{}
	// PoisonPart is the ID of a prompt part. A request that holds it, not as its last
	// part, crashes the runner in place of its first event, with RunnerAnswers. Empty
	// means none.
	PoisonPart string

	behaviour atomic.Int32
	draining  atomic.Bool
	// retryAfter is the Retry-After value of refusals, or nil for none.
	retryAfter atomic.Pointer[string]
	once       atomic.Pointer[OneTimeBehaviour]
	server     *http.Server
	listener   net.Listener
	calls      *buffer.Ring[func(*[]*RunnerRequest), buffer.Block]
	done       chan struct{}
}

// NewRunner starts a runner on a free port of the loopback interface.
func NewRunner(id string) (*Runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{
		ID: id, Events: 8, EventInterval: time.Millisecond, listener: l,
		calls:    buffer.New[func(*[]*RunnerRequest), buffer.Block]("runner_runs", 64),
		Continue: make(chan struct{}), done: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	go func() {
		defer close(r.done)
		var requests []*RunnerRequest
		for {
			call, ok := r.calls.Take(context.Background())
			if !ok {
				return
			}
			call(&requests)
		}
	}()
	return r, nil
}

// Address returns the IP address and port of the runner.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// StoreSpec returns the spec of the object that registers the runner in the
// store.
func (r *Runner) StoreSpec(service, state string) map[string]any {
	return map[string]any{
		"service": service, "address": r.Address(), "zone": "z", "version": "v1", "slots": 8,
		"state": state, "warmup_left_ms": 0, "sequence": 1, "born": 1,
	}
}

// SetBehaviour sets the behaviour for later requests.
func (r *Runner) SetBehaviour(b RunnerBehaviour) { r.behaviour.Store(int32(b)) }

// SetDraining sets whether the runner says in all answers to later requests that it
// is shutting down. It does not change what the store says.
func (r *Runner) SetDraining(draining bool) { r.draining.Store(draining) }

// SetRetryAfter sets the value of the Retry-After header in later refusals.
func (r *Runner) SetRetryAfter(value string) { r.retryAfter.Store(&value) }

// SetOnce sets a behaviour for the next request only, which takes precedence over
// [Runner.SetBehaviour].
func (r *Runner) SetOnce(o *OneTimeBehaviour) { r.once.Store(o) }

// Requests returns the requests that have reached the runner, in order of their
// arrival. It returns nil after [Runner.Stop].
func (r *Runner) Requests() []*RunnerRequest {
	out := make(chan []*RunnerRequest, 1)
	if !r.calls.Put(context.Background(), func(requests *[]*RunnerRequest) { out <- append([]*RunnerRequest(nil), *requests...) }) {
		return nil
	}
	return <-out
}

// CloseIdle closes the idle connections, as a runner does after its idle timeout.
func (r *Runner) CloseIdle() {
	r.server.SetKeepAlivesEnabled(false)
	r.server.SetKeepAlivesEnabled(true)
}

// Stop closes the listener and all connections and ends the goroutine.
func (r *Runner) Stop() {
	_ = r.server.Close()
	r.calls.Close()
	<-r.done
}

// ServeHTTP implements [http.Handler].
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	b := RunnerBehaviour(r.behaviour.Load())
	if o := r.once.Load(); o != nil && !o.used.Swap(true) {
		b = o.Behaviour
	}
	run := &RunnerRequest{
		ID: req.Header.Get("Magnoliafront-Request-Id"), Target: req.RequestURI, Header: req.Header.Clone(),
		Executed: b != RunnerRefuses && b != RunnerRefusesBeforeBody, Cancelled: make(chan struct{}),
	}
	expected := req.Header.Get("Magnoliafront-Expect-Instance")
	if expected != "" && expected != r.ID {
		run.Executed = false
	}
	if b != RunnerRefusesBeforeBody {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		run.Body = string(body)
	}
	r.calls.Put(context.Background(), func(requests *[]*RunnerRequest) { *requests = append(*requests, run) })
	w.Header().Set("Magnoliafront-Request-Id", run.ID)
	if r.draining.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.respond(w, req, run, b)
}
