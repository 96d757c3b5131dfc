package emulator

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// StoreMode is how an [ObjectStore] treats its callers.
type StoreMode int32

// The modes.
const (
	// StoreServing answers.
	StoreServing StoreMode = iota
	// StoreBusy answers 503 and does nothing.
	StoreBusy
	// StoreThrottling answers 429 and does nothing.
	StoreThrottling
	// StoreResetting cuts connections and does nothing.
	StoreResetting
	// StoreSilent never answers and does nothing.
	StoreSilent
	// StoreLosing does what it is asked for and cuts the connection.
	StoreLosing
)

// StoreObject is an object of an [ObjectStore].
type StoreObject struct {
	Metadata StoreMetadata   `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// StoreMetadata is the part of an object that the store keeps itself.
type StoreMetadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
}

// storeChange is one change in the history of a store.
type storeChange struct {
	revision int64
	kind     string
	object   StoreObject
	deleted  bool
}

// ObjectStore is a stand-in for the store of the users' platform, over HTTP. A
// duty owns the objects and their history. Its modes are faults.
type ObjectStore struct {
	// PageSize is the number of objects on a page of a list. Zero means 500. It
	// is set before the first call.
	PageSize int
	calls    *buffer.Ring[func(*storeState), buffer.Block]
	mode     atomic.Int32
	requests atomic.Int64
	stopped  chan struct{}
	done     chan struct{}
}

// storeState is what the duty of a store owns.
type storeState struct {
	revision int64
	// compacted is the revision up to which the history was dropped.
	compacted int64
	objects   map[string]map[string]StoreObject
	history   []storeChange
	waiting   []chan struct{}
}

// NewObjectStore starts a store without objects.
func NewObjectStore() *ObjectStore {
	s := &ObjectStore{
		calls:   buffer.New[func(*storeState), buffer.Block]("object_store_calls", 256),
		stopped: make(chan struct{}), done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		state := &storeState{objects: map[string]map[string]StoreObject{}}
		for {
			call, ok := s.calls.Take(context.Background())
			if !ok {
				return
			}
			call(state)
		}
	}()
	return s
}

// Stop ends the duty and lets go of the callers that wait.
func (s *ObjectStore) Stop() {
	close(s.stopped)
	s.calls.Close()
	<-s.done
}

// SetMode changes how the store treats its callers from now on.
func (s *ObjectStore) SetMode(m StoreMode) { s.mode.Store(int32(m)) }

// Requests returns the number of calls so far.
func (s *ObjectStore) Requests() int64 { return s.requests.Load() }

// Put writes an object, whatever the mode. The value is encoded as JSON, unless
// it is a json.RawMessage.
func (s *ObjectStore) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		data = []byte("null")
	}
	s.do(func(st *storeState) { st.put(kind, name, data) })
}

// Delete removes an object, whatever the mode.
func (s *ObjectStore) Delete(kind, name string) {
	s.do(func(st *storeState) { st.remove(kind, name) })
}

// Compact drops the history.
func (s *ObjectStore) Compact() {
	s.do(func(st *storeState) {
		st.history, st.compacted = nil, st.revision
		st.wake()
	})
}

// List returns the objects of a kind by name.
func (s *ObjectStore) List(kind string) []StoreObject {
	var out []StoreObject
	s.do(func(st *storeState) { out = st.list(kind, "", 0) })
	return out
}

// do runs f on the duty and waits for it.
func (s *ObjectStore) do(f func(*storeState)) {
	done := make(chan struct{})
	if s.calls.Put(context.Background(), func(st *storeState) { f(st); close(done) }) {
		<-done
	}
}

// Handler serves the store.
func (s *ObjectStore) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/-/objects/{kind}", s.read).Methods(http.MethodGet)
	r.HandleFunc("/-/objects/{kind}", s.write).Methods(http.MethodPost)
	r.HandleFunc("/-/objects/{kind}/{name}", s.readOne).Methods(http.MethodGet)
	r.HandleFunc("/-/objects/{kind}/{name}", s.write).Methods(http.MethodPut, http.MethodDelete)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		s.requests.Add(1)
		switch StoreMode(s.mode.Load()) {
		case StoreBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case StoreThrottling:
			w.WriteHeader(http.StatusTooManyRequests)
		case StoreResetting:
			cutConnection(w)
		case StoreSilent:
			select {
			case <-req.Context().Done():
			case <-s.stopped:
			}
		case StoreLosing:
			r.ServeHTTP(discard{http.Header{}}, req)
			cutConnection(w)
		default:
			r.ServeHTTP(w, req)
		}
	})
}

// discard is an answer that nobody gets.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// cutConnection resets the connection of a request.
func cutConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// storeWaitLimit is the longest time that a call is kept waiting.
const storeWaitLimit = 30 * time.Second

func (s *ObjectStore) read(w http.ResponseWriter, r *http.Request) {
	kind, q := mux.Vars(r)["kind"], r.URL.Query()
	if q.Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	size := cmp.Or(s.PageSize, 500)
	var items []StoreObject
	var revision int64
	s.do(func(st *storeState) { items, revision = st.list(kind, q.Get("since_rev"), size+1), st.revision })
	more := len(items) > size
	if more {
		items = items[:size]
	}
	writeAnswer(w, http.StatusOK, map[string]any{"items": nonNil(items), "has_more": more, "as_of": revision})
}

func (s *ObjectStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	ms, errWait := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(min(time.Duration(ms)*time.Millisecond, storeWaitLimit))
	defer timeout.Stop()
	for {
		var events []map[string]any
		var revision int64
		var gone bool
		changed := make(chan struct{})
		s.do(func(st *storeState) {
			revision, gone = st.revision, after < st.compacted
			for _, c := range st.history {
				if c.kind == kind && c.revision > after {
					events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
				}
			}
			st.waiting = append(st.waiting, changed)
		})
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeAnswer(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeAnswer(w, http.StatusOK, map[string]any{"events": []any{}, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
	}
}

func (s *ObjectStore) readOne(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	var o StoreObject
	var ok bool
	s.do(func(st *storeState) { o, ok = st.objects[v["kind"]][v["name"]] })
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeAnswer(w, http.StatusOK, o)
}

func (s *ObjectStore) write(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	var o StoreObject
	if err == nil && len(body) > 0 {
		err = json.Unmarshal(body, &o)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind, name := mux.Vars(r)["kind"], cmp.Or(mux.Vars(r)["name"], o.Metadata.Name)
	expect := o.Metadata.Revision
	if n, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64); err == nil {
		expect = n
	}
	status, answer := http.StatusOK, StoreObject{}
	s.do(func(st *storeState) {
		old, exists := st.objects[kind][name]
		switch {
		case r.Method == http.MethodPost && exists, exists && expect > 0 && expect != old.Metadata.Revision:
			status, answer = http.StatusConflict, old
		case r.Method != http.MethodPost && !exists:
			status = http.StatusNotFound
		case r.Method == http.MethodDelete:
			answer = st.remove(kind, name)
		default:
			answer = st.put(kind, name, o.Spec)
		}
	})
	writeAnswer(w, status, answer)
}

func (st *storeState) put(kind, name string, spec json.RawMessage) StoreObject {
	old, exists := st.objects[kind][name]
	if exists && string(old.Spec) == string(spec) {
		return old
	}
	st.revision++
	o := StoreObject{Metadata: StoreMetadata{Name: name, Revision: st.revision, Created: st.revision}, Spec: spec}
	if exists {
		o.Metadata.Created = old.Metadata.Created
	}
	if st.objects[kind] == nil {
		st.objects[kind] = map[string]StoreObject{}
	}
	st.objects[kind][name] = o
	st.change(kind, o, false)
	return o
}

func (st *storeState) remove(kind, name string) StoreObject {
	o, ok := st.objects[kind][name]
	if !ok {
		return o
	}
	delete(st.objects[kind], name)
	st.revision++
	o.Metadata.Revision = st.revision
	st.change(kind, o, true)
	return o
}

func (st *storeState) change(kind string, o StoreObject, deleted bool) {
	st.history = append(st.history, storeChange{revision: st.revision, kind: kind, object: o, deleted: deleted})
	st.wake()
}

func (st *storeState) wake() {
	for _, c := range st.waiting {
		close(c)
	}
	st.waiting = nil
}

// list returns up to limit objects of a kind behind a name, all if limit is zero.
func (st *storeState) list(kind, after string, limit int) []StoreObject {
	var out []StoreObject
	for _, o := range st.objects[kind] {
		if o.Metadata.Name > after {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b StoreObject) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out
}

func nonNil(all []StoreObject) []StoreObject {
	if all == nil {
		return []StoreObject{}
	}
	return all
}

func writeAnswer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone.
	_ = json.NewEncoder(w).Encode(v)
}
