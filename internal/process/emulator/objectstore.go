package emulator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// StoreMode selects how an [ObjectStore] responds to requests.
type StoreMode int32

// The modes.
const (
	// StoreServing serves requests normally.
	StoreServing StoreMode = iota
	// StoreBusy answers 503 without executing the request.
	StoreBusy
	// StoreThrottling answers 429 without executing the request.
	StoreThrottling
	// StoreResetting resets the connection without executing the request.
	StoreResetting
	// StoreSilent never answers and doesn't execute the request.
	StoreSilent
	// StoreLosingAnswers executes the request, then resets the connection
	// instead of answering.
	StoreLosingAnswers
)

// StoreObject is an object of an [ObjectStore] in the JSON form of its API.
type StoreObject struct {
	Metadata StoreMetadata   `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
	// text replaces the JSON text of the object if it is set; see
	// [ObjectStore.PutText].
	text []byte
}

// StoreMetadata holds the fields of an object that the store assigns. Created is
// the revision at which the object was created.
type StoreMetadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
}

// ObjectStore is a stand-in for the object store of the users' platform, served
// over HTTP. One goroutine owns the objects and their history. All modes except
// [StoreServing] inject faults.
type ObjectStore struct {
	// PageSize is the maximum number of objects on a page of a list, 500 if
	// zero. Set it before the first request.
	PageSize int
	calls    *buffer.Ring[func(*storeState), buffer.Block]
	mode     atomic.Int32
	requests atomic.Int64
	stopped  chan struct{}
	done     chan struct{}
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

// Stop ends the goroutine and all pending watches.
func (s *ObjectStore) Stop() {
	close(s.stopped)
	s.calls.Close()
	<-s.done
}

// SetMode sets the mode for later requests.
func (s *ObjectStore) SetMode(m StoreMode) { s.mode.Store(int32(m)) }

// Requests returns the number of HTTP requests received, in any mode.
func (s *ObjectStore) Requests() int64 { return s.requests.Load() }

// Put writes an object with spec encoded as JSON, regardless of the mode. A
// [json.RawMessage] is written as it is. If spec can't be encoded, null is
// written.
func (s *ObjectStore) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		data = []byte("null")
	}
	s.do(func(st *storeState) { st.put(kind, name, data) })
}

// PutText writes an object of another writer that encoding/json may not be able to
// read or write. The store serves text as the whole object.
func (s *ObjectStore) PutText(kind, name string, text []byte) {
	s.do(func(st *storeState) {
		st.remove(kind, name)
		o := st.put(kind, name, json.RawMessage("null"))
		o.text = text
		st.objects[kind][name] = o
		st.history[len(st.history)-1].object = o
	})
}

// Delete removes an object, regardless of the mode.
func (s *ObjectStore) Delete(kind, name string) {
	s.do(func(st *storeState) { st.remove(kind, name) })
}

// Compact drops the history. Watches from an older revision are then answered
// with 410 Gone.
func (s *ObjectStore) Compact() {
	s.do(func(st *storeState) {
		st.history, st.compacted = nil, st.revision
		st.wakeWaiters()
	})
}

// List returns the objects of a kind, sorted by name.
func (s *ObjectStore) List(kind string) []StoreObject {
	var out []StoreObject
	s.do(func(st *storeState) { out = st.list(kind, "", 0) })
	return out
}

// do runs f on the store's goroutine and waits for it. After Stop it does
// nothing.
func (s *ObjectStore) do(f func(*storeState)) {
	done := make(chan struct{})
	if s.calls.Put(context.Background(), func(st *storeState) { f(st); close(done) }) {
		<-done
	}
}

// Handler returns the HTTP API of the store, which follows the mode.
func (s *ObjectStore) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/-/objects/{kind}", s.serveList).Methods(http.MethodGet)
	r.HandleFunc("/-/objects/{kind}", s.serveWrite).Methods(http.MethodPost)
	r.HandleFunc("/-/objects/{kind}/{name}", s.serveGet).Methods(http.MethodGet)
	r.HandleFunc("/-/objects/{kind}/{name}", s.serveWrite).Methods(http.MethodPut, http.MethodDelete)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		s.requests.Add(1)
		switch StoreMode(s.mode.Load()) {
		case StoreBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case StoreThrottling:
			w.WriteHeader(http.StatusTooManyRequests)
		case StoreResetting:
			resetConnection(w)
		case StoreSilent:
			select {
			case <-req.Context().Done():
			case <-s.stopped:
			}
		case StoreLosingAnswers:
			r.ServeHTTP(discardingWriter{http.Header{}}, req)
			resetConnection(w)
		default:
			r.ServeHTTP(w, req)
		}
	})
}

// discardingWriter is an [http.ResponseWriter] that discards the response.
type discardingWriter struct{ header http.Header }

func (d discardingWriter) Header() http.Header { return d.header }

func (d discardingWriter) Write(b []byte) (int, error) { return len(b), nil }

func (d discardingWriter) WriteHeader(int) {}

// resetConnection closes the connection of a request with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// maxStoreWait bounds the time that a watch waits for a change.
const maxStoreWait = 30 * time.Second

// serveList answers with a page of the objects of a kind. It passes a request
// with the query parameter watch to serveWatch.
func (s *ObjectStore) serveList(w http.ResponseWriter, r *http.Request) {
	kind, q := mux.Vars(r)["kind"], r.URL.Query()
	if q.Get("watch") != "" {
		s.serveWatch(w, r, kind)
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
	texts := make([]string, len(items))
	for i, o := range items {
		texts[i] = o.jsonText()
	}
	writeText(w, fmt.Sprintf(`{"items":[%s],"has_more":%t,"as_of":%d}`, strings.Join(texts, ","), more, revision))
}

// serveWatch answers with the changes of a kind after a revision, and waits for
// one if there is none yet. It answers 410 Gone if the history after the revision
// has been compacted.
func (s *ObjectStore) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMillis, errWait := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(min(time.Duration(waitMillis)*time.Millisecond, maxStoreWait))
	defer timeout.Stop()
	for {
		var events []string
		var revision int64
		var compacted bool
		changed := make(chan struct{})
		s.do(func(st *storeState) {
			revision, compacted = st.revision, after < st.compacted
			for _, c := range st.history {
				if c.kind == kind && c.revision > after {
					events = append(events, fmt.Sprintf(`{"object":%s,"deleted":%t}`, c.object.jsonText(), c.deleted))
				}
			}
			st.waiters = append(st.waiters, changed)
		})
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeText(w, fmt.Sprintf(`{"events":[%s],"as_of":%d}`, strings.Join(events, ","), revision))
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": []any{}, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		case <-s.stopped:
			return
		}
	}
}

func (s *ObjectStore) serveGet(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	var o StoreObject
	var ok bool
	s.do(func(st *storeState) { o, ok = st.objects[v["kind"]][v["name"]] })
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeText(w, o.jsonText())
}

// serveWrite creates, replaces or deletes an object. It answers 409 Conflict with
// the stored object if the expected revision differs.
func (s *ObjectStore) serveWrite(w http.ResponseWriter, r *http.Request) {
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
	status, result := http.StatusOK, StoreObject{}
	s.do(func(st *storeState) {
		old, exists := st.objects[kind][name]
		switch {
		case r.Method == http.MethodPost && exists, exists && expect > 0 && expect != old.Metadata.Revision:
			status, result = http.StatusConflict, old
		case r.Method != http.MethodPost && !exists:
			status = http.StatusNotFound
		case r.Method == http.MethodDelete:
			result = st.remove(kind, name)
		default:
			result = st.put(kind, name, o.Spec)
		}
	})
	writeJSON(w, status, result)
}

// jsonText returns the JSON text of an object.
func (o StoreObject) jsonText() string {
	if o.text != nil {
		return string(o.text)
	}
	data, err := json.Marshal(o)
	if err != nil {
		return "null"
	}
	return string(data)
}

// writeText answers with JSON text.
func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected.
	_, _ = io.WriteString(w, text)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
