// Package server is the HTTP front of an entry.
//
// The goroutine that net/http runs for a request decodes it, hands it to the
// router and copies replies from the request's own ring to the caller. It makes
// no decision of its own, so that another front end can use the same router.
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

	"magnoliafront.dev/magnoliafront/internal/process/router"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/decoder"
	"magnoliafront.dev/magnoliafront/internal/request/responder"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// headerTimeout and bodyTimeout bound how long a slow caller can hold a
	// connection without having sent a request.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 16 << 10
)

// Options configures a server.
type Options struct {
	Listen   string
	Identity string
	Clock    timer.Clock
	Router   *router.Router
	// Metrics serves /metrics. It may be nil.
	Metrics http.Handler
}

// Server serves callers.
type Server struct {
	options  Options
	http     *http.Server
	listener net.Listener
	started  int64
	requests atomic.Uint64
	leaving  atomic.Bool
	done     chan struct{}
}

// New listens and starts to serve.
func New(o Options) (*Server, error) {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, &Error{Op: "listen on " + o.Listen, Kind: ErrorListen, Err: err}
	}
	s := &Server{options: o, listener: l, started: o.Clock.Now().UnixNano(), done: make(chan struct{})}
	s.http = &http.Server{
		Handler:           s.closing(s.routes()),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(l)
	}()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Leave makes /readyz fail, so that the balancer sends no more callers. Those
// that still come are served.
func (s *Server) Leave() {
	// Connections end with their next answer and are not closed before: a caller
	// that sends on an idle connection at the moment of its close gets no answer.
	s.leaving.Store(true)
}

// Stop stops accepting and waits until all requests have been answered or ctx
// ends.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	if err != nil {
		return &Error{Op: "stop", Kind: ErrorTimeout, Err: err}
	}
	return nil
}

// closing makes each answer of a leaving entry end its connection.
func (s *Server) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, req)
	})
}

func (s *Server) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.completion).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	r.HandleFunc("/services/{service}", s.call)
	r.HandleFunc("/services/{service}/{path:.*}", s.call)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.readyz).Methods(http.MethodGet)
	if s.options.Metrics != nil {
		r.Handle("/metrics", s.options.Metrics).Methods(http.MethodGet)
	}
	r.NotFoundHandler = refuse(http.StatusNotFound, "unknown_path")
	r.MethodNotAllowedHandler = refuse(http.StatusMethodNotAllowed, "wrong_method")
	return r
}

func (s *Server) completion(w http.ResponseWriter, req *http.Request) {
	id, now := s.begin(w)
	c, f := decoder.ReadCompletion(w, req, id, now)
	if f != nil {
		responder.Fail(w, f)
		return
	}
	replies, ok := s.submit(w, req, router.Job{Request: c.Request})
	if !ok {
		return
	}
	h := responder.Head{ID: "chatcmpl-" + id, Model: c.Request.Model, Created: now.Unix(), PromptTokens: router.PromptTokens(c.Request)}
	var err error
	if c.Stream {
		err = responder.Stream(req.Context(), w, h, replies)
	} else {
		err = responder.Whole(req.Context(), w, h, replies)
	}
	s.finish(id, err)
}

func (s *Server) call(w http.ResponseWriter, req *http.Request) {
	id, now := s.begin(w)
	vars := mux.Vars(req)
	q, f := decoder.ReadCall(w, req, vars["service"], "/"+vars["path"], id, now)
	if f != nil {
		responder.Fail(w, f)
		return
	}
	replies, ok := s.submit(w, req, router.Job{Request: q})
	if !ok {
		return
	}
	s.finish(id, responder.PassOn(req.Context(), w, replies))
}

func (s *Server) models(w http.ResponseWriter, req *http.Request) {
	replies, ok := s.submit(w, req, router.Job{ListModels: true})
	if !ok {
		return
	}
	_ = responder.Models(req.Context(), w, replies)
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
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

// begin names a request and bounds the time for reading its body.
func (s *Server) begin(w http.ResponseWriter) (string, time.Time) {
	n := s.requests.Add(1)
	id := fmt.Sprintf("%s-%s-%d", s.options.Identity, strconv.FormatInt(s.started, 36), n)
	now := s.options.Clock.Now()
	// A writer without deadlines, as in a test, needs no bound.
	_ = http.NewResponseController(w).SetReadDeadline(now.Add(bodyTimeout))
	w.Header().Set("X-Request-Id", id)
	return id, now
}

func (s *Server) submit(w http.ResponseWriter, req *http.Request, j router.Job) (*responder.Ring, bool) {
	// The body has been read; the answer may take longer than reading may.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	j.Replies = responder.NewRing()
	if s.options.Router.Submit(req.Context(), j) {
		return j.Replies, true
	}
	responder.Fail(w, admitter.OverloadedFailure())
	return nil, false
}

// finish withdraws the request if its caller is gone.
func (s *Server) finish(id string, err error) {
	if err != nil {
		s.options.Router.Abandon(id)
	}
}

func refuse(status int, code string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		responder.Fail(w, &admitter.Failure{
			Status: status, Code: code, Outcome: admitter.OutcomeNotRun,
			Message: fmt.Sprintf("%s %s is not served", r.Method, r.URL.Path),
		})
	})
}
