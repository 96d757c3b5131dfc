package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// Service is a stand-in for a plain upstream service that counts how often it ran
// each call, so that tests can detect duplicate execution. One goroutine owns the
// counts.
type Service struct {
	calls *buffer.Ring[func(map[string]int), buffer.Block]
	done  chan struct{}
}

// NewService starts a service, which runs until [Service.Stop].
func NewService() *Service {
	s := &Service{
		calls: buffer.New[func(map[string]int), buffer.Block]("service_calls", 256),
		done:  make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		runs := map[string]int{}
		for {
			call, ok := s.calls.Take(context.Background())
			if !ok {
				return
			}
			call(runs)
		}
	}()
	return s
}

// Stop ends the goroutine. Later calls are answered with a count of zero.
func (s *Service) Stop() {
	s.calls.Close()
	<-s.done
}

// ServeHTTP implements [http.Handler]. It counts the call and answers with the
// number of runs of calls with the same method, path and body.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Method + " " + r.URL.Path + " " + string(body)
	n := s.do(r.Context(), func(runs map[string]int) int {
		runs[key]++
		return runs[key]
	})
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"path\":%q,\"runs\":%d}\n", r.URL.Path, n)
}

// Runs returns how often the call with the given method, path and body has run.
func (s *Service) Runs(method, path, body string) int {
	return s.do(context.Background(), func(runs map[string]int) int {
		return runs[method+" "+path+" "+body]
	})
}

// do runs f on the service's goroutine and returns its result, or zero after
// Stop.
func (s *Service) do(ctx context.Context, f func(map[string]int) int) int {
	result := make(chan int, 1)
	if !s.calls.Put(ctx, func(runs map[string]int) { result <- f(runs) }) {
		return 0
	}
	select {
	case n := <-result:
		return n
	case <-s.done:
		return 0
	}
}
