package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
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

// respond waits for Release and answers according to b.
func (r *Runner) respond(w http.ResponseWriter, req *http.Request, run *RunnerRequest, b RunnerBehaviour) {
	if r.Release != nil {
		select {
		case <-r.Release:
		case <-req.Context().Done():
			close(run.Cancelled)
			return
		}
	}
	if b == RunnerAnswers && r.PoisonPart != "" && holdsSharedPart(req.Header.Get("Magnoliafront-Prompt-Prefix"), r.PoisonPart) {
		// The requests in flight lose their connections and later ones are refused,
		// as after the end of a process.
		_ = r.server.Close()
		return
	}
	switch b {
	case RunnerRefuses, RunnerRefusesBeforeBody:
		w.Header().Set("Magnoliafront-Not-Executed", "1")
		if after := r.retryAfter.Load(); after != nil {
			w.Header().Set("Retry-After", *after)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case RunnerFails:
		w.Header().Set("Magnoliafront-Response-Signature", r.signature(run))
		w.WriteHeader(http.StatusInternalServerError)
	case RunnerResets:
		resetConnection(w)
	case RunnerSilent:
		<-req.Context().Done()
		close(run.Cancelled)
	case RunnerResetsMidBody, RunnerOmitsLength, RunnerAppendsForeign, RunnerPrependsForeign, RunnerGarbles,
		RunnerRepeatsRefusal, RunnerRepeatsUnnamedRefusal:
		r.writeRaw(w, run, b)
	case RunnerEndlessHead, RunnerEndlessEvent, RunnerTrickles, RunnerEndlessUnframed:
		r.writeEndless(w, req, run, b)
	default:
		if b != RunnerUnsigned {
			w.Header().Set("Magnoliafront-Response-Signature", r.signature(run))
		}
		r.writeAnswer(w, req, run, b)
	}
}

// holdsSharedPart reports whether a list of prompt parts has an entry with the ID, not
// as its last one.
func holdsSharedPart(list, id string) bool {
	entries := strings.Split(list, ",")
	return slices.ContainsFunc(entries[:len(entries)-1], func(e string) bool { return strings.HasPrefix(e, id+":") })
}

// signature identifies an answer as the one of this runner to this request.
func (r *Runner) signature(run *RunnerRequest) string { return r.ID + "." + run.ID }

// body returns the body of a response that isn't streamed.
func (r *Runner) body(run *RunnerRequest) string { return "answer of " + r.ID + " to " + run.ID + "\n" }

// writeAnswer writes the body, or the stream of events after the one that
// Last-Event-Id names.
func (r *Runner) writeAnswer(w http.ResponseWriter, req *http.Request, run *RunnerRequest, b RunnerBehaviour) {
	if !isStream(req) {
		if b == RunnerPauses && !r.pause(req, run) {
			return
		}
		_, _ = io.WriteString(w, r.body(run))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if b == RunnerAbortsShortStream {
		length := 0
		for i := first; i <= r.Events/2+1; i++ {
			length += len(Event(run.ID, i))
		}
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	for i := first; i <= r.Events; i++ {
		if (b == RunnerAbortsStream || b == RunnerAbortsShortStream) && i > r.Events/2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if b == RunnerPauses && i == r.Events/2+1 && !r.pause(req, run) {
			return
		}
		_, _ = io.WriteString(w, Event(run.ID, i))
		_ = flusher.Flush()
		select {
		case <-time.After(r.EventInterval):
		case <-req.Context().Done():
			close(run.Cancelled)
			return
		}
	}
}

// pause waits for Continue. It reports false if the connection has ended.
func (r *Runner) pause(req *http.Request, run *RunnerRequest) bool {
	select {
	case <-r.Continue:
		return true
	case <-req.Context().Done():
		close(run.Cancelled)
		return false
	}
}

// Event returns event i, from one, of the stream that answers the request id.
func Event(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", i, id, i) }

func isStream(req *http.Request) bool {
	return len(req.URL.Path) > 8 && req.URL.Path[:8] == "/stream/"
}

// writeRaw writes responses that net/http can't produce.
func (r *Runner) writeRaw(w http.ResponseWriter, run *RunnerRequest, b RunnerBehaviour) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	draining := ""
	if r.draining.Load() {
		draining = "Server-Leaving: 1\r\n"
	}
	withLength := func(id string) string {
		body := r.body(run)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: %s\r\n%sMagnoliafront-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s",
			id, draining, r.signature(run), len(body), body)
	}
	withoutLength := fmt.Sprintf("HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: %s\r\n%sMagnoliafront-Response-Signature: %s\r\n\r\n%s",
		run.ID, draining, r.signature(run), r.body(run))
	switch b {
	case RunnerOmitsLength:
		send(rw, withoutLength)
	case RunnerResetsMidBody:
		send(rw, withoutLength)
		if tcp, ok := conn.(*net.TCPConn); ok {
			// A reset discards unread bytes, so it waits until the client has
			// received them.
			time.Sleep(20 * time.Millisecond)
			_ = tcp.SetLinger(0)
		}
	case RunnerAppendsForeign:
		send(rw, withLength(run.ID)+withLength("another"))
	case RunnerPrependsForeign:
		send(rw, withLength("another")+withLength(run.ID))
	case RunnerRepeatsRefusal:
		send(rw, fmt.Sprintf(refusal, "Magnoliafront-Request-Id: another\r\n")+withLength(run.ID))
	case RunnerRepeatsUnnamedRefusal:
		send(rw, fmt.Sprintf(refusal, "")+withLength(run.ID))
	case RunnerGarbles:
		send(rw, "\x16\x03\x01\x00*\x02\r\n\r\n")
	}
}

// refusal is the format of a refusal with a further header.
const refusal = "HTTP/1.1 503 Service Unavailable\r\n%sMagnoliafront-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

func send(rw *bufio.ReadWriter, text string) {
	_, _ = rw.WriteString(text)
	_ = rw.Flush()
}
