package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it: one
// revision counter, conditional writes, watches, and a PUT that changes nothing neither
// increases the revision nor produces an event.
type store struct {
	addr string
	rec  *record

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []storeEvent
	changed  chan struct{}
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeEvent struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// newStore starts a store on a free loopback port.
func newStore(rec *record) *store {
	s := &store{rec: rec, revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	l := listen()
	s.addr = l.Addr().String()
	go serve(l, s)
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}

func serve(l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	_ = srv.Serve(l)
}

// put writes an object without a condition, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		cannotRun("encode: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

// remove removes an object without a condition.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

// write stores a spec. A write that changes nothing has no effect.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	old, exists := s.objects[kind][name]
	if exists && sameJSON(old.Spec, spec) {
		return old
	}
	s.revision++
	o := old
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	if !exists {
		o.Metadata.Created = s.revision
		o.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.tell(kind, o, false)
	return o
}

func (s *store) drop(kind, name string) object {
	o, ok := s.objects[kind][name]
	if !ok {
		return o
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.tell(kind, o, true)
	return o
}

func (s *store) tell(kind string, o object, deleted bool) {
	s.history = append(s.history, storeEvent{kind: kind, revision: s.revision, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// sameJSON reports whether two values are the same JSON, apart from spaces.
func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return bytes.Equal(a, b)
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	kind, name, named := strings.Cut(path, "/")
	switch {
	case !ok || kind == "":
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && named:
		s.serveGet(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveList(w, r, kind)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func (s *store) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("since_rev")
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(min(time.Duration(wait)*time.Millisecond, 30*time.Second))
	defer end.Stop()
	for timeout := false; ; {
		events := []storeEvent{}
		s.mu.Lock()
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || timeout {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			timeout = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	var o object
	if err == nil && len(body) > 0 {
		err = json.Unmarshal(body, &o)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expect := o.Metadata.Revision
	if n, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64); err == nil {
		expect = n
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	status, out := http.StatusOK, old
	switch {
	case r.Method == http.MethodPost && exists, exists && expect > 0 && expect != old.Metadata.Revision:
		status = http.StatusConflict
	case r.Method != http.MethodPost && !exists:
		status = http.StatusNotFound
	case r.Method == http.MethodDelete:
		out = s.drop(kind, name)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		out = s.write(kind, name, o.Spec)
	default:
		status = http.StatusMethodNotAllowed
	}
	if kind == "leases" {
		s.rec.line("store  %s %s/%s of revision %d: %d, now revision %d %s", r.Method, kind, name, expect, status, out.Metadata.Revision, out.Spec)
	}
	reply(w, status, out)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
