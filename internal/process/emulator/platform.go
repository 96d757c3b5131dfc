package emulator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// maxWatchWait bounds the time that a watch over HTTP waits for a change. After
// it the unchanged object is returned.
const maxWatchWait = 30 * time.Second

// Platform is an in-memory stand-in for the object API of the platform. It
// implements [accessor.Store]; [PlatformHandler] serves it over HTTP. One
// goroutine owns the objects.
type Platform struct {
	calls *buffer.Ring[func(*platformState), buffer.Block]
	done  chan struct{}
}

// platformState is owned by the goroutine of a [Platform].
type platformState struct {
	version int64
	objects map[string]accessor.Object
	waiters map[string][]chan struct{}
}

// NewPlatform starts a platform without objects, which runs until
// [Platform.Stop].
func NewPlatform() *Platform {
	p := &Platform{
		calls: buffer.New[func(*platformState), buffer.Block]("platform_calls", 256),
		done:  make(chan struct{}),
	}
	go func() {
		defer close(p.done)
		s := &platformState{objects: map[string]accessor.Object{}, waiters: map[string][]chan struct{}{}}
		for {
			call, ok := p.calls.Take(context.Background())
			if !ok {
				return
			}
			call(s)
		}
	}()
	return p
}

// Stop ends the goroutine. Later calls fail.
func (p *Platform) Stop() {
	p.calls.Close()
	<-p.done
}

// Get implements [accessor.Store].
func (p *Platform) Get(ctx context.Context, key string) (accessor.Object, error) {
	var out accessor.Object
	err := p.do(ctx, "get "+key, func(s *platformState) error {
		out = s.get(key)
		return nil
	})
	return out, err
}

// List implements [accessor.Store].
func (p *Platform) List(ctx context.Context, prefix string) ([]accessor.Object, error) {
	out := []accessor.Object{}
	err := p.do(ctx, "list "+prefix, func(s *platformState) error {
		for key, obj := range s.objects {
			if strings.HasPrefix(key, prefix) {
				out = append(out, obj)
			}
		}
		return nil
	})
	slices.SortFunc(out, func(a, b accessor.Object) int { return strings.Compare(a.Key, b.Key) })
	return out, err
}

// Put implements [accessor.Store].
func (p *Platform) Put(ctx context.Context, key string, value []byte, expect int64) (accessor.Object, error) {
	var out accessor.Object
	op := "put " + key
	if len(value) > accessor.MaxValueBytes {
		return out, &accessor.Error{Op: op, Kind: accessor.ErrorTooLarge, Err: http.ErrContentLength}
	}
	err := p.do(ctx, op, func(s *platformState) error {
		if s.get(key).Version != expect {
			return &accessor.Error{Op: op, Kind: accessor.ErrorConflict, Err: errConflict}
		}
		s.version++
		out = accessor.Object{Key: key, Version: s.version, Value: slices.Clone(value)}
		s.objects[key] = out
		s.wakeWaiters(key)
		return nil
	})
	return out, err
}

// Delete implements [accessor.Store].
func (p *Platform) Delete(ctx context.Context, key string, expect int64) error {
	op := "delete " + key
	return p.do(ctx, op, func(s *platformState) error {
		if s.get(key).Version != expect {
			return &accessor.Error{Op: op, Kind: accessor.ErrorConflict, Err: errConflict}
		}
		delete(s.objects, key)
		s.wakeWaiters(key)
		return nil
	})
}

// Watch implements [accessor.Store].
func (p *Platform) Watch(ctx context.Context, key string, after int64) (accessor.Object, error) {
	var out accessor.Object
	changed := make(chan struct{}, 1)
	err := p.do(ctx, "watch "+key, func(s *platformState) error {
		out = s.get(key)
		if out.Version == after {
			s.waiters[key] = append(s.waiters[key], changed)
		}
		return nil
	})
	if err != nil || out.Version != after {
		return out, err
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
	return p.Get(context.WithoutCancel(ctx), key)
}

// do runs f on the platform's goroutine and returns its error. If the platform
// stops before f has been answered, the result is unknown.
func (p *Platform) do(ctx context.Context, op string, f func(*platformState) error) error {
	answer := make(chan error, 1)
	if !p.calls.Put(ctx, func(s *platformState) { answer <- f(s) }) {
		return &accessor.Error{Op: op, Kind: accessor.ErrorUnavailable, Err: errDown}
	}
	select {
	case err := <-answer:
		return err
	case <-p.done:
		return &accessor.Error{Op: op, Kind: accessor.ErrorOutcomeUnknown, Err: errDown}
	}
}

func (s *platformState) get(key string) accessor.Object {
	if obj, ok := s.objects[key]; ok {
		return obj
	}
	return accessor.Object{Key: key}
}

func (s *platformState) wakeWaiters(key string) {
	for _, c := range s.waiters[key] {
		c <- struct{}{}
	}
	delete(s.waiters, key)
}

// PlatformHandler serves s over HTTP in the protocol of [accessor.Client].
func PlatformHandler(s accessor.Store) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/objects", func(w http.ResponseWriter, req *http.Request) {
		out, err := s.List(req.Context(), req.URL.Query().Get("prefix"))
		writeResult(w, out, err)
	}).Methods(http.MethodGet)
	r.HandleFunc("/objects/{key:.+}", func(w http.ResponseWriter, req *http.Request) {
		key, query := mux.Vars(req)["key"], req.URL.Query()
		switch {
		case req.Method == http.MethodPut:
			value, err := io.ReadAll(io.LimitReader(req.Body, accessor.MaxValueBytes+1))
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			out, err := s.Put(req.Context(), key, value, parseVersion(query.Get("expect")))
			writeResult(w, out, err)
		case req.Method == http.MethodDelete:
			writeResult(w, struct{}{}, s.Delete(req.Context(), key, parseVersion(query.Get("expect"))))
		case query.Has("after"):
			ctx, cancel := context.WithTimeout(req.Context(), maxWatchWait)
			defer cancel()
			out, err := s.Watch(ctx, key, parseVersion(query.Get("after")))
			writeResult(w, out, err)
		default:
			out, err := s.Get(req.Context(), key)
			writeResult(w, out, err)
		}
	}).Methods(http.MethodGet, http.MethodPut, http.MethodDelete)
	return r
}

// writeResult writes v as JSON, or err with the HTTP status for its kind.
func writeResult(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case accessor.IsKind(err, accessor.ErrorConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case accessor.IsKind(err, accessor.ErrorTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case accessor.IsKind(err, accessor.ErrorUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		// The client treats the result of the write as unknown.
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// parseVersion returns zero for a missing or malformed version.
func parseVersion(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
