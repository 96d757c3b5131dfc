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

// watchLimit bounds a waiting watch, after which the unchanged object is
// returned.
const watchLimit = 30 * time.Second

// Platform is a stand-in for the object API of the platform. It implements
// [accessor.Store] and serves the same over HTTP. A duty owns the objects.
type Platform struct {
	calls *buffer.Ring[func(*objects), buffer.Block]
	done  chan struct{}
}

// objects is the state that the duty of a platform owns.
type objects struct {
	version int64
	byKey   map[string]accessor.Object
	waiting map[string][]chan struct{}
}

// NewPlatform starts a platform without objects.
func NewPlatform() *Platform {
	p := &Platform{
		calls: buffer.New[func(*objects), buffer.Block]("platform_calls", 256),
		done:  make(chan struct{}),
	}
	go func() {
		defer close(p.done)
		o := &objects{byKey: map[string]accessor.Object{}, waiting: map[string][]chan struct{}{}}
		for {
			call, ok := p.calls.Take(context.Background())
			if !ok {
				return
			}
			call(o)
		}
	}()
	return p
}

// Stop ends the duty. Later calls fail.
func (p *Platform) Stop() {
	p.calls.Close()
	<-p.done
}

// Get implements [accessor.Store].
func (p *Platform) Get(ctx context.Context, key string) (accessor.Object, error) {
	var out accessor.Object
	err := p.run(ctx, "get "+key, func(o *objects) error {
		out = o.get(key)
		return nil
	})
	return out, err
}

// List implements [accessor.Store].
func (p *Platform) List(ctx context.Context, prefix string) ([]accessor.Object, error) {
	out := []accessor.Object{}
	err := p.run(ctx, "list "+prefix, func(o *objects) error {
		for key, obj := range o.byKey {
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
	err := p.run(ctx, op, func(o *objects) error {
		if o.get(key).Version != expect {
			return &accessor.Error{Op: op, Kind: accessor.ErrorConflict, Err: errConflict}
		}
		o.version++
		out = accessor.Object{Key: key, Version: o.version, Value: slices.Clone(value)}
		o.byKey[key] = out
		o.wake(key)
		return nil
	})
	return out, err
}

// Delete implements [accessor.Store].
func (p *Platform) Delete(ctx context.Context, key string, expect int64) error {
	op := "delete " + key
	return p.run(ctx, op, func(o *objects) error {
		if o.get(key).Version != expect {
			return &accessor.Error{Op: op, Kind: accessor.ErrorConflict, Err: errConflict}
		}
		delete(o.byKey, key)
		o.wake(key)
		return nil
	})
}

// Watch implements [accessor.Store].
func (p *Platform) Watch(ctx context.Context, key string, after int64) (accessor.Object, error) {
	var out accessor.Object
	changed := make(chan struct{}, 1)
	err := p.run(ctx, "watch "+key, func(o *objects) error {
		out = o.get(key)
		if out.Version == after {
			o.waiting[key] = append(o.waiting[key], changed)
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

func (p *Platform) run(ctx context.Context, op string, f func(*objects) error) error {
	answer := make(chan error, 1)
	if !p.calls.Put(ctx, func(o *objects) { answer <- f(o) }) {
		return &accessor.Error{Op: op, Kind: accessor.ErrorUnavailable, Err: errDown}
	}
	select {
	case err := <-answer:
		return err
	case <-p.done:
		return &accessor.Error{Op: op, Kind: accessor.ErrorOutcomeUnknown, Err: errDown}
	}
}

func (o *objects) get(key string) accessor.Object {
	if obj, ok := o.byKey[key]; ok {
		return obj
	}
	return accessor.Object{Key: key}
}

func (o *objects) wake(key string) {
	for _, c := range o.waiting[key] {
		c <- struct{}{}
	}
	delete(o.waiting, key)
}

// PlatformHandler serves s in the protocol of [accessor.Client].
func PlatformHandler(s accessor.Store) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/objects", func(w http.ResponseWriter, req *http.Request) {
		out, err := s.List(req.Context(), req.URL.Query().Get("prefix"))
		answer(w, out, err)
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
			out, err := s.Put(req.Context(), key, value, number(query.Get("expect")))
			answer(w, out, err)
		case req.Method == http.MethodDelete:
			answer(w, struct{}{}, s.Delete(req.Context(), key, number(query.Get("expect"))))
		case query.Has("after"):
			ctx, cancel := context.WithTimeout(req.Context(), watchLimit)
			defer cancel()
			out, err := s.Watch(ctx, key, number(query.Get("after")))
			answer(w, out, err)
		default:
			out, err := s.Get(req.Context(), key)
			answer(w, out, err)
		}
	}).Methods(http.MethodGet, http.MethodPut, http.MethodDelete)
	return r
}

func answer(w http.ResponseWriter, v any, err error) {
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
		// The client sees a write with an unknown result.
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
