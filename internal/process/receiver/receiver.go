// Package receiver is the HTTP server of an entry that calls its upstreams
// directly.
//
// The goroutine that net/http runs for a connection reads a request, submits it to
// the forwarder and relays the answer from the ring of the request to the caller.
// It makes no decisions. A [Codec] parses requests and writes failures.
//
// A draining entry reports to the load balancer that it is not ready, and accepts
// connections until the load balancer has noticed. Each answer then closes its
// connection, so that few connections are idle when the server shuts down.
//
// # Usage
//
//	r, err := receiver.New(receiver.Options{Listen: "10.0.0.5:8080", Codec: codec, Forwarder: f, Clock: c})
//	r.Drain()
//	err = r.Stop(ctx)
package receiver

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/bounder"
	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/process/allocator"
	"magnoliafront.dev/magnoliafront/internal/process/collector"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/drainer"
	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// defaultMaxBodyBytes is the maximum size of a body if the configuration sets none.
	defaultMaxBodyBytes = 4 << 20
)

// Codec parses requests and writes failures.
type Codec interface {
	// ParseRequest returns the properties of a request whose body has been read at
	// now, or the failure of an invalid one.
	ParseRequest(r *http.Request, body [][]byte, now time.Time) (dispatcher.Request, *admitter.Failure)
	// WriteFailure answers a request with a failure.
	WriteFailure(w http.ResponseWriter, f *admitter.Failure)
}

// Options configures a receiver.
type Options struct {
	// Listen is the IP address and port for callers. ReadyListen is the IP address
	// and port for readiness checks of the load balancer, which requests ReadyPath.
	Listen      string
	ReadyListen string
	ReadyPath   string
	Codec       Codec
	Forwarder   *forwarder.Forwarder
	Clock       timer.Clock
	// Descriptors are the shares of the descriptors of the process. Zero shares set no
	// bound.
	Descriptors allocator.Shares
	// Memory holds the budgets of what is held for callers. Without budgets it is not
	// limited.
	Memory reserver.Memory
}

// Receiver is the HTTP server for callers and readiness checks.
type Receiver struct {
	options         Options
	callerServer    *drainer.Drainer
	readinessServer *drainer.Drainer
	draining        atomic.Bool
	requests        requestCounters
	bodies          *collector.Collector
}

// New listens on both addresses and starts the servers.
func New(o Options) (*Receiver, error) {
	callers, err := listen(o.Clock, o.Listen, o.Memory.Heads)
	if err != nil {
		return nil, err
	}
	readiness, err := listen(o.Clock, o.ReadyListen, nil)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	return serve(o, callers, readiness), nil
}

// serve starts the servers on two listeners.
func serve(o Options, callers, readiness net.Listener) *Receiver {
	r := &Receiver{options: o, bodies: collector.New(collector.Options{Clock: o.Clock, Budget: o.Memory.Bodies})}
	r.callerServer = drainer.Serve(&http.Server{
		Handler: bounder.Guard(http.HandlerFunc(r.serve)), ReadHeaderTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: maxConfiguredHeadBytes,
	}, callers, drainer.Options{Clock: o.Clock, Name: "callers", MaxConns: o.Descriptors.Callers, Limits: r.connLimits})
	routes := mux.NewRouter()
	routes.HandleFunc(o.ReadyPath, r.serveReadiness).Methods(http.MethodGet)
	r.readinessServer = drainer.Serve(&http.Server{
		Handler: routes, ReadTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: defaultMaxHeadBytes,
	}, readiness, drainer.Options{Clock: o.Clock, Name: "readiness", MaxConns: o.Descriptors.Readiness})
	return r
}

// listen listens on an address. The heads of requests are held within the budget.
func listen(c timer.Clock, address string, heads *reserver.Budget) (net.Listener, error) {
	l, err := bounder.Listen(context.Background(), address, bounder.Options{Config: net.ListenConfig{KeepAliveConfig: carrier.KeepAlive()}, Heads: heads, Clock: c})
	if err != nil {
		return nil, &Error{Op: "listen on " + address, Kind: ErrorListen, Err: err}
	}
	return l, nil
}

// Ready reports whether the entry is ready for callers: it has a configuration and
// upstreams, knows the strikes of the other entries, and is not draining.
func (r *Receiver) Ready() bool {
	s := r.options.Forwarder.State()
	return s.Table != nil && s.UpstreamsListed && s.StrikesLearned && !r.draining.Load()
}

// Drain makes the entry not ready. New requests are still served.
func (r *Receiver) Drain() { r.draining.Store(true) }

// Stop stops accepting connections and closes each open one once no request is in
// flight on it and none has begun to arrive. It waits until all are closed or ctx ends,
// which cuts off what is left.
func (r *Receiver) Stop(ctx context.Context) error {
	err := r.callerServer.Stop(ctx)
	r.readinessServer.Close()
	r.bodies.Stop()
	if err != nil {
		return &Error{Op: "stop", Kind: ErrorTimeout, Err: err}
	}
	return nil
}

// Connections returns the state of the connections of callers and of readiness checks.
func (r *Receiver) Connections() []drainer.Connections {
	return []drainer.Connections{r.callerServer.Connections(), r.readinessServer.Connections()}
}

// Stats returns the states of the rings.
func (r *Receiver) Stats() []buffer.Stats {
	return []buffer.Stats{r.callerServer.Stats(), r.bodies.Stats().Ring}
}

// Bodies returns the numbers of bodies that were not read to their end, and the state of
// the budget for large ones.
func (r *Receiver) Bodies() collector.Stats { return r.bodies.Stats() }

func (r *Receiver) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Requests returns the numbers of the requests of callers.
func (r *Receiver) Requests() Requests { return r.requests.snapshot() }

// serve serves a request of a caller and counts how it ends.
func (r *Receiver) serve(w http.ResponseWriter, req *http.Request) {
	r.requests.received.Add(1)
	end := endingPanicked
	defer func() { r.requests.ended[end].Add(1) }()
	end = r.answer(w, req)
	if end == endingCutOff || end == endingCallerLeft {
		// The connection closes without the end of the answer, by a reset if its end
		// would look like that of the answer; see closer.Guard.
		panic(http.ErrAbortHandler)
	}
}

// answer writes the answer to a request of a caller.
func (r *Receiver) answer(w http.ResponseWriter, req *http.Request) ending {
	now := r.options.Clock.Now()
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if failure := r.checkHead(req); failure != nil {
		w.Header().Set("Connection", "close")
		r.options.Codec.WriteFailure(w, failure)
		return endingRefused
	}
	body, failure := r.readBody(w, req, now)
	if failure != nil {
		collector.CloseUnread(w)
		r.options.Codec.WriteFailure(w, failure)
		return endingRefused
	}
	defer body.Release()
	request, failure := r.options.Codec.ParseRequest(req, body.Parts(), now)
	if failure != nil {
		klog.InfoS("request refused", "request", request.ID, "reason", failure.Code, "detail", failure.Message)
		r.options.Codec.WriteFailure(w, failure)
		return endingRefused
	}
	account := r.options.Memory.Answers.Open()
	defer account.Close()
	replies := relayer.NewLimitedRing(account)
	if !r.options.Forwarder.Submit(req.Context(), forwarder.Job{Request: request, Context: req.Context(), Head: req, Body: body, Replies: replies}) {
		klog.InfoS("request refused", "request", request.ID, "reason", "entry_overloaded")
		r.options.Codec.WriteFailure(w, admitter.OverloadedFailure())
		return endingRefused
	}
	err := relayer.Relay(req.Context(), w, replies, r.options.Codec.WriteFailure)
	switch {
	case err == nil:
		return endingAnswered
	case relayer.IsKind(err, relayer.ErrorNoReply):
		klog.InfoS("request ended without a reply", "request", request.ID, "stopping", r.draining.Load())
		r.options.Codec.WriteFailure(w, admitter.InterruptedFailure())
		return endingUnanswered
	}
	klog.InfoS("answer cut off", "request", request.ID, "stopping", r.draining.Load(),
		"framing", answerFraming(w, req).String(), "protocol", req.Proto, "err", err)
	if relayer.IsKind(err, relayer.ErrorCaller) {
		return endingCallerLeft
	}
	return endingCutOff
}
