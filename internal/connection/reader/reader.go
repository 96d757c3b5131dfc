// Package reader sends one request to an upstream and reads the response.
//
// A [Reader] runs a goroutine for the duration of one attempt. It sends the
// request to the upstream, reads the response and emits events. The emit
// function puts them on the ring of the executor and blocks while the ring is
// full. TCP flow control then slows down a fast upstream, and memory use stays
// bounded.
//
// Engines implement the chat completions protocol of OpenAI with server-sent
// events. The reader sets stream to true in the body and adds three fields:
// priority, request_id and resume_from, the number of tokens that the caller
// already has. Plain services get the call unchanged.
//
// Each request is sent on a new connection, which is cheap within the VM. Responses
// have no identity, so that on a kept connection an earlier one could not be told from
// that of the request. An upstream may also close a kept connection just as a request
// is sent, and it is then unknown whether the request ran.
//
// # Usage
//
//	r := reader.NewEngine(client, clock, url, job, emit)
//	r.Stop()
package reader

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/connection/prober"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// maxLineBytes is the maximum length of a line of an event stream.
	maxLineBytes = 1 << 20
	// maxResponseBytes is the maximum size of the body of a plain service's
	// response. Encoded in base64, it must fit into one message.
	maxResponseBytes = 512 << 10
	// maxReasonBytes is the maximum length of an engine's error text.
	maxReasonBytes = 4 << 10
	// stallTimeout is the maximum time between two lines of an event stream. It
	// is much longer than the prefill of a long prompt on a slow engine.
	stallTimeout = 30 * time.Second
)

// Job is a request to an upstream. Body, ResumeFrom and Priority are used for an
// engine, Call for a plain service.
type Job struct {
	Key scheduler.Key
	// Generation is copied to each event. It distinguishes two readers of the
	// same attempt.
	Generation int
	Body       []byte
	Call       *messenger.Call
	// ResumeFrom is the number of tokens that the caller already has.
	ResumeFrom int
	// Priority is the tier of the attempt, 1 for the most urgent.
	Priority int
}

// EventKind is the type of an [Event].
type EventKind int

// The event kinds.
const (
	// EventTokens carries generated tokens.
	EventTokens EventKind = iota
	// EventResponse carries the complete response of a plain service. It is the
	// last event.
	EventResponse
	// EventFinished marks the end of an engine's complete answer.
	EventFinished
	// EventRejected means that the upstream did not run the request: it rejected
	// it with an error status or was unreachable.
	EventRejected
	// EventLost means that the answer is incomplete, malformed or missing. The
	// upstream may have run the request.
	EventLost
	// EventUnconfirmed asks whether the upstream, which accepts no connections, is still
	// there. The response ends with its connection, so that the end of the upstream would
	// look like that of the response. [Reader.Confirm] answers it.
	EventUnconfirmed
	// EventSilent follows an EventLost if the upstream accepts connections but does not
	// answer.
	EventSilent
)

// Event reports the progress or the end of a request.
type Event struct {
	Key        scheduler.Key
	Generation int
	Kind       EventKind
	// First is the index of the first element of Tokens in the whole answer.
	First        int
	Tokens       []string
	FinishReason string
	Response     *messenger.Response
	// Unreachable is set if the upstream does not accept connections, or with
	// EventSilent. With EventRejected it was down before the request, with EventLost it
	// crashed during the request.
	Unreachable bool
	// Crashed is set with EventLost if the connection broke. The upstream runs on
	// the same VM, so that a network failure is ruled out: the upstream has failed
	// even if it accepts connections again, for example after a quick restart.
	Crashed bool
	// Status is set with EventRejected if the engine rejected the request as
	// invalid, so that any other engine would reject it too.
	Status int
	Err    error
}

// Reader performs one request.
type Reader struct {
	// Socket is the connection of a call of a plain service.
	Socket prober.Socket
	client *http.Client
	clock  timer.Clock
	url    string
	job    Job
	emit   func(Event)
	cancel context.CancelFunc
	// confirmations receives the answers to EventUnconfirmed.
	confirmations *buffer.Ring[prober.Verdict, buffer.Reject]
}

func newReader(client *http.Client, c timer.Clock, url string, job Job, emit func(Event)) (*Reader, context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	return &Reader{
		client: client, clock: c, url: url, job: job, emit: emit, cancel: cancel,
		confirmations: buffer.New[prober.Verdict, buffer.Reject]("reader_confirmations", 1),
	}, ctx
}

// NewEngine starts a request to the model engine at url. The last event of the request is
// EventFinished, EventRejected or EventLost.
func NewEngine(client *http.Client, c timer.Clock, url string, job Job, emit func(Event)) *Reader {
	r, ctx := newReader(client, c, url, job, emit)
	go func() {
		defer r.cancel()
		if err := r.streamWithStallTimeout(ctx); err != nil {
			r.emitFailure(ctx, err)
		}
	}()
	return r
}

// NewService starts a request to the plain service at url. Its events are any number of
// EventUnconfirmed, and then one of EventResponse, EventRejected or EventLost.
func NewService(client *http.Client, c timer.Clock, url string, job Job, emit func(Event)) *Reader {
	r, ctx := newReader(client, c, url, job, emit)
	go func() {
		defer r.cancel()
		if err := r.callService(ctx); err != nil {
			r.emitFailure(ctx, err)
		}
	}()
	return r
}

// Stop cancels the request. Unless the last event has been emitted before, the
// reader still emits it.
func (r *Reader) Stop() { r.cancel() }

// emitEvent emits e with the key and generation of the job.
func (r *Reader) emitEvent(e Event) {
	e.Key, e.Generation = r.job.Key, r.job.Generation
	r.emit(e)
}

// streamWithStallTimeout runs streamCompletion and cancels it if no line arrives
// for stallTimeout. An engine that hangs keeps its connections open, so that the
// read alone would not fail.
func (r *Reader) streamWithStallTimeout(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	progress, stalled := make(chan struct{}, 1), make(chan struct{})
	go func() {
		for {
			wake, stop := r.clock.After(stallTimeout)
			select {
			case <-progress:
				stop()
			case <-ctx.Done():
				stop()
				return
			case <-wake:
				close(stalled)
				cancel()
				return
			}
		}
	}()
	err := r.streamCompletion(ctx, progress)
	select {
	case <-stalled:
		return &Error{Op: "read", Kind: ErrorBroken, Err: errors.Errorf("no token for %v", stallTimeout)}
	default:
		return err
	}
}

// streamCompletion sends the chat completion request and emits the events of the
// response. It signals each line on progress.
func (r *Reader) streamCompletion(ctx context.Context, progress chan<- struct{}) error {
	body, err := r.encodeEngineBody()
	if err != nil {
		return &Error{Op: "encode", Kind: ErrorRejected, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return &Error{Op: "request", Kind: ErrorRejected, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := r.client.Do(req)
	if err != nil {
		return &Error{Op: "request", Kind: transportErrorKind(err), Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		kind := ErrorRejected
		if resp.StatusCode >= http.StatusInternalServerError && resp.StatusCode != http.StatusServiceUnavailable {
			// The engine may have run the request before it failed, so the request is
			// not ErrorRejected. It is not ErrorBroken either, since the engine has not
			// crashed.
			kind = ErrorMalformed
		}
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
		return &Error{Op: "request", Kind: kind, Status: resp.StatusCode, Err: errors.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))}
	}
	return r.readEvents(resp.Body, progress)
}

// encodeEngineBody returns the body of the job with the fields for the engine
// added.
func (r *Reader) encodeEngineBody() ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.job.Body, &fields); err != nil {
		return nil, err
	}
	extra := map[string]any{
		"stream":      true,
		"priority":    r.job.Priority,
		"request_id":  r.job.Key.Request,
		"resume_from": r.job.ResumeFrom,
	}
	for name, v := range extra {
		data, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		fields[name] = data
	}
	return json.Marshal(fields)
}

// callService sends the call to a plain service and emits its response.
func (r *Reader) callService(ctx context.Context) error {
	c := r.job.Call
	url := r.url + c.Path
	if c.Query != "" {
		url += "?" + c.Query
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return &Error{Op: "request", Kind: ErrorRejected, Err: err}
	}
	for name, values := range c.Header {
		// net/http retries a request with the header Idempotency-Key or
		// X-Idempotency-Key when a keep-alive connection breaks, even if the service
		// has run it. It recognises only the canonical name, so a name in lower case
		// prevents the retry. For the service, names are case-insensitive.
		if strings.HasSuffix(name, "Idempotency-Key") {
			name = strings.ToLower(name)
		}
		req.Header[name] = values
	}
	req.Close = true
	resp, err := r.sendOnce(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return &Error{Op: "read", Kind: ErrorBroken, Err: err}
	}
	if len(data) > maxResponseBytes {
		return &Error{Op: "read", Kind: ErrorMalformed, Err: errors.Errorf("response over %d bytes", maxResponseBytes)}
	}
	closeDelimited := isCloseDelimited(resp)
	if closeDelimited {
		if err := r.confirmEnd(ctx); err != nil {
			return &Error{Op: "read", Kind: ErrorBroken, Err: err}
		}
	}
	r.emitEvent(Event{Kind: EventResponse, Response: &messenger.Response{
		Status: resp.StatusCode, Header: resp.Header, Body: data, CloseDelimited: closeDelimited,
	}})
	return nil
}

// sendOnce sends req without retries. The error has the kind [ErrorUnreachable]
// if no connection was established, so that no byte was sent. Redirects are
// returned to the caller, since following one would be a second call.
func (r *Reader) sendOnce(req *http.Request) (*http.Response, error) {
	kind := ErrorUnreachable
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		kind = ErrorBroken
		r.follow(info.Conn)
	}}
	client := *r.client
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		if kind == ErrorBroken {
			kind = sentErrorKind(err)
		}
		return nil, &Error{Op: "request", Kind: kind, Err: err}
	}
	return resp, nil
}
