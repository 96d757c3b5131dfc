// Package server is the HTTP front end of an entry.
//
// The goroutine that net/http runs for a request decodes the request, submits it
// to the router and writes the replies from the request's ring to the caller. It
// leaves all decisions to the router, so that another front end can use the same
// router.
//
// # Usage
//
//	s, err := server.New(server.Options{Listen: "127.0.0.1:8080", Router: r, Clock: c})
//	defer s.Stop(ctx)
package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"magnoliafront.dev/magnoliafront/internal/connection/bounder"
	"magnoliafront.dev/magnoliafront/internal/connection/closer"
	"magnoliafront.dev/magnoliafront/internal/process/collector"
	"magnoliafront.dev/magnoliafront/internal/process/drainer"
	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/process/router"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/decoder"
	"magnoliafront.dev/magnoliafront/internal/request/responder"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// readHeaderTimeout limits how long a slow caller can keep a connection open before
	// the head of its request is complete.
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// finalAnswersMargin is the time before the exit at which requests in flight fail.
	// Their callers read the failures within it.
	finalAnswersMargin = 2 * time.Second
)

// Options configures a server.
type Options struct {
	// Listen is the TCP address to listen on.
	Listen string
	// Identity is the identity of the entry. Every request ID starts with it.
	Identity string
	Clock    timer.Clock
	Router   *router.Router
	// Memory holds the budgets of what is held for callers. Without budgets it is not
	// limited.
	Memory reserver.Memory
	// Metrics is the handler of /metrics. If it is nil, the path is not served.
	Metrics http.Handler
	// MaxConns is the maximum number of connections of callers. Zero means no maximum.
	MaxConns int
}

// Server accepts the HTTP requests of callers.
type Server struct {
	options  Options
	http     *drainer.Drainer
	listener net.Listener
	// startNanos is the start time in nanoseconds since the Unix epoch. It makes
	// the request IDs of an entry unique across restarts.
	startNanos   int64
	requestCount atomic.Uint64
	leaving      atomic.Bool
	bodies       *collector.Collector
}

// New listens on the address in o and starts to serve requests.
func New(o Options) (*Server, error) {
	l, err := bounder.Listen(context.Background(), o.Listen, bounder.Options{Heads: o.Memory.Heads, Clock: o.Clock})
	if err != nil {
		return nil, &Error{Op: "listen on " + o.Listen, Kind: ErrorListen, Err: err}
	}
	s := &Server{options: o, listener: l, startNanos: o.Clock.Now().UnixNano(), bodies: newCollector(o)}
	s.http = drainer.Serve(&http.Server{
		Handler:           bounder.Guard(s.closeConnsWhenLeaving(s.routes())),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}, l, drainer.Options{Name: "callers", MaxConns: o.MaxConns, Limits: connLimits})
	return s, nil
}

// connLimits returns the limits of the connections of callers.
func connLimits() closer.Limits {
	return closer.Limits{HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeadBytes: maxHeaderBytes}
}

// Connections returns the state of the connections of callers.
func (s *Server) Connections() drainer.Connections { return s.http.Connections() }

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Leave makes /readyz fail, so that the load balancer sends no more callers.
// Requests that still arrive are served, and the connection closes after each
// response.
func (s *Server) Leave() {
	// Idle connections are not closed here, but with their next response. If the
	// server closed one just as its caller sends a request, the request would get
	// no response.
	s.leaving.Store(true)
}

// Stop closes the listener and waits until all requests have been answered or ctx
// ends. In the second case it closes the remaining connections and returns an
// error of kind [ErrorTimeout].
func (s *Server) Stop(ctx context.Context) error {
	defer s.bodies.Stop()
	if err := s.http.Stop(ctx); err != nil {
		return &Error{Op: "stop listening on " + s.Address(), Kind: ErrorTimeout, Err: err}
	}
	return nil
}

// StopBefore is [Server.Stop] for a process that exits at a deadline on the clock. Requests
// without the end of an answer fail shortly before it, so that none is cut off.
func (s *Server) StopBefore(ctx context.Context, deadline time.Time) error {
	wake, stop := s.options.Clock.After(max(0, deadline.Add(-finalAnswersMargin).Sub(s.options.Clock.Now())))
	defer stop()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(ctx) }()
	select {
	case err := <-stopped:
		return err
	case <-wake:
		s.options.Router.GiveFinalAnswers()
	}
	return <-stopped
}

// closeConnsWhenLeaving wraps next. While the entry is leaving, each response
// closes its connection.
func (s *Server) closeConnsWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, req)
	})
}

func (s *Server) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.handleModels).Methods(http.MethodGet)
	r.HandleFunc("/services/{service}", s.handleServiceCall)
	r.HandleFunc("/services/{service}/{path:.*}", s.handleServiceCall)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.handleReadyz).Methods(http.MethodGet)
	if s.options.Metrics != nil {
		r.Handle("/metrics", s.options.Metrics).Methods(http.MethodGet)
	}
	r.NotFoundHandler = failureHandler(http.StatusNotFound, "unknown_path")
	r.MethodNotAllowedHandler = failureHandler(http.StatusMethodNotAllowed, "wrong_method")
	return r
}

func (s *Server) handleCompletion(w http.ResponseWriter, req *http.Request) {
	id, now := s.startRequest(w)
	body, ok := s.readBody(w, req)
	if !ok {
		return
	}
	defer body.Release()
	c, f := decoder.ReadCompletion(req, join(body), id, now)
	if f != nil {
		responder.WriteFailure(w, f)
		return
	}
	replies, ok := s.submit(w, req, router.Job{Request: c.Request})
	if !ok {
		return
	}
	metadata := responder.CompletionMetadata{ID: "chatcmpl-" + id, Model: c.Request.Model, Created: now.Unix(), PromptTokens: router.PromptTokens(c.Request)}
	var err error
	if c.Stream {
		err = responder.StreamCompletion(req.Context(), w, metadata, replies)
	} else {
		err = responder.WriteCompletion(req.Context(), w, metadata, replies)
	}
	s.abandonOnError(id, err)
}

func (s *Server) handleServiceCall(w http.ResponseWriter, req *http.Request) {
	id, now := s.startRequest(w)
	vars := mux.Vars(req)
	body, ok := s.readBody(w, req)
	if !ok {
		return
	}
	defer body.Release()
	q := decoder.ReadCall(req, join(body), vars["service"], "/"+vars["path"], id, now)
	replies, ok := s.submit(w, req, router.Job{Request: q})
	if !ok {
		return
	}
	s.abandonOnError(id, responder.WriteResponse(req.Context(), w, replies))
}

func (s *Server) handleModels(w http.ResponseWriter, req *http.Request) {
	replies, ok := s.submit(w, req, router.Job{ListModels: true})
	if !ok {
		return
	}
	if responder.WriteModels(req.Context(), w, replies) != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) handleReadyz(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-s.options.Router.Ready():
		if !s.leaving.Load() {
			w.WriteHeader(http.StatusOK)
			return
		}
	default:
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// startRequest assigns an ID to a request and returns the ID and the current time.
func (s *Server) startRequest(w http.ResponseWriter) (string, time.Time) {
	n := s.requestCount.Add(1)
	id := fmt.Sprintf("%s-%s-%d", s.options.Identity, strconv.FormatInt(s.startNanos, 36), n)
	now := s.options.Clock.Now()
	w.Header().Set("X-Request-Id", id)
	return id, now
}

// submit passes a job to the router and returns the ring of its replies. If the
// router doesn't accept the job, it writes a failure and returns false.
func (s *Server) submit(w http.ResponseWriter, req *http.Request, j router.Job) (*responder.Ring, bool) {
	j.Replies = responder.NewRing()
	if s.options.Router.Submit(req.Context(), j) {
		return j.Replies, true
	}
	responder.WriteFailure(w, admitter.OverloadedFailure())
	return nil, false
}

// abandonOnError tells the router to abandon the request if writing its response
// failed, for example because the caller has disconnected. It then aborts the
// connection, since net/http would end the response as if it were complete.
func (s *Server) abandonOnError(id string, err error) {
	if err != nil {
		s.options.Router.Abandon(id)
		panic(http.ErrAbortHandler)
	}
}

// failureHandler returns a handler that answers every request with the given
// status and error code.
func failureHandler(status int, code string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		responder.WriteFailure(w, &admitter.Failure{
			Status: status, Code: code, Outcome: admitter.OutcomeNotRun,
			Message: fmt.Sprintf("%s %s is not served", r.Method, r.URL.Path),
		})
	})
}
