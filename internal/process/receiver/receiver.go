// Package receiver is the HTTP front of an entry that calls its upstreams
// directly.
//
// The goroutine that net/http runs for a connection reads a request, hands it to
// the forwarder and copies the answer from the request's own ring to the caller.
// It decides nothing. How a request is read and a failure is written is the
// matter of a [Codec].
//
// A leaving entry says so to the balancer and goes on to accept callers until
// the balancer has noticed. Each answer then ends its connection, so that few
// connections are idle when the last are closed.
//
// # Usage
//
//	r, err := receiver.New(receiver.Options{Listen: "10.0.0.5:8080", Codec: codec, Forwarder: f, Clock: c})
//	r.Leave()
//	r.Refuse()
//	err = r.Stop(ctx)
package receiver

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// headerTime bounds the time for the head of a request, bodyTime that for its
	// body and idleTime that between two requests of a connection, where the
	// configuration sets no limit or a smaller one.
	headerTime = 5 * time.Second
	bodyTime   = 30 * time.Second
	idleTime   = time.Minute
	// maxHeader and maxBody bound a request in bytes, likewise.
	maxHeader = 64 << 10
	maxBody   = 4 << 20
)

// Codec reads requests and writes failures.
type Codec interface {
	Read(r *http.Request, body []byte, now time.Time) (dispatcher.Request, *admitter.Failure)
	Fail(w http.ResponseWriter, f *admitter.Failure)
}

// Options configures a receiver.
type Options struct {
	// Listen is the IP address and port for callers, and ReadyListen that for the
	// balancer, which asks at ReadyPath.
	Listen      string
	ReadyListen string
	ReadyPath   string
	Codec       Codec
	Forwarder   *forwarder.Forwarder
	Clock       timer.Clock
}

// Receiver serves callers.
type Receiver struct {
	options Options
	front   *http.Server
	ready   *http.Server
	leaving atomic.Bool
	// refusing is true once requests that come are refused.
	refusing atomic.Bool
	done     chan struct{}
}

// New listens and starts to serve.
func New(o Options) (*Receiver, error) {
	front, err := listen(o.Listen)
	if err != nil {
		return nil, err
	}
	ready, err := listen(o.ReadyListen)
	if err != nil {
		_ = front.Close()
		return nil, err
	}
	r := &Receiver{options: o, done: make(chan struct{})}
	r.front = &http.Server{
		Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
	}
	routes := mux.NewRouter()
	routes.HandleFunc(o.ReadyPath, r.answerReady).Methods(http.MethodGet)
	r.ready = &http.Server{Handler: routes, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	go func() { _ = r.ready.Serve(ready) }()
	go func() {
		defer close(r.done)
		_ = r.front.Serve(front)
	}()
	return r, nil
}

func listen(address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: carrier.KeepAlive()}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen on " + address, Kind: ErrorListen, Err: err}
	}
	return l, nil
}

// Ready reports whether the entry takes callers: it knows a configuration and
// upstreams, and is not leaving.
func (r *Receiver) Ready() bool {
	s := r.options.Forwarder.State()
	return s.Table != nil && !s.UpstreamsUpdated.IsZero() && !r.leaving.Load()
}

// Leave makes the entry not ready. Callers that still come are served.
func (r *Receiver) Leave() { r.leaving.Store(true) }

// Refuse makes the entry refuse the requests that still come. Those that it has
// taken go on.
func (r *Receiver) Refuse() { r.refusing.Store(true) }

// Stop stops accepting, closes idle connections and waits until all requests
// have been answered or ctx ends. A request that crosses it finds its connection
// closed.
func (r *Receiver) Stop(ctx context.Context) error {
	err := r.front.Shutdown(ctx)
	if err != nil {
		_ = r.front.Close()
	}
	<-r.done
	_ = r.ready.Close()
	if err != nil {
		return &Error{Op: "stop", Kind: ErrorTimeout, Err: err}
	}
	return nil
}

func (r *Receiver) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Receiver) serve(w http.ResponseWriter, req *http.Request) {
	now := r.options.Clock.Now()
	if r.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	body, failure := r.read(w, req, now)
	if failure == nil && r.refusing.Load() {
		failure = stopping()
	}
	if failure != nil {
		r.options.Codec.Fail(w, failure)
		return
	}
	q, failure := r.options.Codec.Read(req, body, now)
	if failure != nil {
		klog.InfoS("request refused", "request", q.ID, "reason", failure.Code, "detail", failure.Message)
		r.options.Codec.Fail(w, failure)
		return
	}
	j := forwarder.Job{Request: q, Context: req.Context(), Head: req, Body: body, Replies: relayer.NewRing()}
	if !r.options.Forwarder.Submit(req.Context(), j) {
		klog.InfoS("request refused", "request", q.ID, "reason", "entry_overloaded")
		r.options.Codec.Fail(w, admitter.OverloadedFailure())
		return
	}
	if err := relayer.Relay(req.Context(), w, j.Replies, r.options.Codec.Fail); err != nil {
		klog.InfoS("answer cut off", "request", q.ID, "err", err)
		// The connection ends without the end of the answer.
		panic(http.ErrAbortHandler)
	}
}

// stopping is the failure of a request that comes when there is not enough time
// left to finish any.
func stopping() *admitter.Failure {
	return &admitter.Failure{
		Status: http.StatusServiceUnavailable, Code: "stopping", Message: "this entry is stopping; another one will serve the request",
		Outcome: admitter.OutcomeNotRun, RetryAfter: stoppingRetryAfter,
	}
}

// stoppingRetryAfter is the time after which a caller may come again, to another
// entry.
const stoppingRetryAfter = 50 * time.Millisecond

// read reads the body of a request.
func (r *Receiver) read(w http.ResponseWriter, req *http.Request, now time.Time) ([]byte, *admitter.Failure) {
	limit := int64(maxBody)
	if t := r.options.Forwarder.State().Table; t != nil && t.Configuration.Limits.MaxBodyBytes > 0 {
		limit = int64(t.Configuration.Limits.MaxBodyBytes)
	}
	if req.Body == nil || req.Body == http.NoBody {
		return nil, nil
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(now.Add(bodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, limit))
	_ = c.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, &admitter.Failure{Status: http.StatusRequestEntityTooLarge, Code: "body_too_large", Message: "the body is larger than the configuration allows", Outcome: admitter.OutcomeNotRun}
	case err != nil:
		return nil, &admitter.Failure{Status: http.StatusBadRequest, Code: "body_incomplete", Message: "the body could not be read to its end", Outcome: admitter.OutcomeNotRun}
	}
	return body, nil
}
