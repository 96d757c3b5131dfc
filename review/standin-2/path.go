package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// seenRequest is a request as a server has read it.
type seenRequest struct{ method, target, host, path, body string }

// pathServer is a server that runs each request and notes what it was asked for.
type pathServer struct {
	addr string
	mu   sync.Mutex
	seen map[string]seenRequest
}

func newPathServer(rec *record) *pathServer {
	p := &pathServer{seen: map[string]seenRequest{}}
	l := listen()
	p.addr = l.Addr().String()
	go serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Magnoliafront-Request-Id")
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		rec.line("server gets and runs %s: request line %q, Host %q, path %q", id, r.Method+" "+r.RequestURI+" "+r.Proto, r.Host, r.URL.Path)
		p.mu.Lock()
		p.seen[id] = seenRequest{r.Method, r.RequestURI, r.Host, r.URL.Path, string(body)}
		p.mu.Unlock()
		w.Header().Set("Magnoliafront-Request-Id", id)
		w.Header().Set("Magnoliafront-Response-Signature", "sig."+id)
		_, _ = fmt.Fprintf(w, "done %s\n", id)
	}))
	return p
}

// playPath checks that the path of a request reaches the server unchanged, also if it begins
// with an empty segment.
func playPath(s setup) {
	st, srv := newStore(s.rec), newPathServer(s.rec)
	entry := serverEntry("booking", "a", 0)
	entry["address"] = srv.addr
	st.put("servers", "i-booking-1", entry)
	st.put("config", "main", map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "booking", "health_check": "/health", "max_connections": 110}},
		"routes": []any{map[string]any{
			"name": "r1", "host": "desk.example", "path_prefix": "/", "route_type": "non_idempotent", "service": "booking", "timeout_ms": 2000,
			"target_latency_ms": 100, "priority": 2, "max_attempts": 1, "public": false,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "guides", "api_keys": []any{"key1"}}},
	})
	all := newGateways(2, fleetSettings{folder: s.folder, program: s.program, store: st.addr})
	s.endAll(all)
	for _, g := range all {
		g.start()
	}
	for _, g := range all {
		g.awaitReady(10 * time.Second)
	}
	time.Sleep(4 * time.Second)
	changed, first := 0, ""
	for i := range 20 {
		target := fmt.Sprintf("/units/%d/hold?day=%d", i, i)
		if s.trouble && i%2 == 1 {
			// The first segment of the path is empty.
			target = "/" + target
		}
		id := fmt.Sprintf("9c41d07be2a3%04x", i)
		status := send(s.rec, all[i%2].front, id, target, fmt.Sprintf("unit %d", i))
		srv.mu.Lock()
		got, ran := srv.seen[id]
		srv.mu.Unlock()
		if !ran {
			s.rec.line("%s has not run", id)
			continue
		}
		path, _, _ := strings.Cut(target, "?")
		if want := (seenRequest{"POST", target, "desk.example", path, fmt.Sprintf("unit %d", i)}); got != want {
			changed++
			text := fmt.Sprintf("the client sent POST %s to desk.example, and the server ran %s %s for host %s, path %s (the client got %s)",
				target, got.method, got.target, got.host, got.path, status)
			s.rec.line("changed: %s", text)
			if first == "" {
				first = text
			}
		}
	}
	if changed > 0 {
		finish(exitBroken, s.rec, "UNASKED is broken %d times: %s", changed, first)
	}
	finish(exitHeld, s.rec, "UNASKED held")
}

// send sends a request on a connection of its own and returns the status of the answer.
func send(rec *record, addr, id, target, body string) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: desk.example\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Deadline-Ms: 2000\r\n"+
		"Authorization: Bearer key1\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", target, id, len(body), body)
	if err != nil {
		return err.Error()
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	_ = r.Body.Close()
	rec.line("client sent %s: POST %s, and got %s", id, target, r.Status)
	return r.Status
}
