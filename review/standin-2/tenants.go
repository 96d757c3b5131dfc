package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// configApply is config_apply_ms of the deployment.
const configApply = 2 * time.Second

// keyServer is a server that runs each request and notes its id.
type keyServer struct {
	addr string
	mu   sync.Mutex
	ran  map[string]bool
}

func newKeyServer(rec *record) *keyServer {
	k := &keyServer{ran: map[string]bool{}}
	l := listen()
	k.addr = l.Addr().String()
	go serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Magnoliafront-Request-Id")
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		rec.line("server runs %s, tenant %q", id, r.Header.Get("Magnoliafront-Tenant"))
		k.mu.Lock()
		k.ran[id] = true
		k.mu.Unlock()
		w.Header().Set("Magnoliafront-Request-Id", id)
		w.Header().Set("Magnoliafront-Response-Signature", "sig."+id)
		_, _ = fmt.Fprintf(w, "done %s\n", id)
	}))
	return k
}

// playTenants checks that a request runs only with a key that a configuration has held, also
// once the keys of the last tenant are taken away.
func playTenants(s setup) {
	st, srv := newStore(s.rec), newKeyServer(s.rec)
	entry := serverEntry("booking", "a", 0)
	entry["address"] = srv.addr
	st.put("servers", "i-booking-1", entry)
	configure := func(version int, tenants []any) {
		st.put("config", "main", map[string]any{
			"version": version, "services": []any{map[string]any{"name": "booking", "health_check": "/health", "max_connections": 110}},
			"routes": []any{map[string]any{
				"name": "r1", "host": "desk.example", "path_prefix": "/hold/", "route_type": "non_idempotent", "service": "booking", "timeout_ms": 2000,
				"target_latency_ms": 100, "priority": 2, "max_attempts": 1, "public": false,
			}},
			"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
			"tenants": tenants,
		})
		s.rec.line("operator: version %d with tenants %v is acknowledged", version, tenants)
	}
	guides := map[string]any{"name": "guides", "api_keys": []any{"key1"}, "priority": 1}
	configure(3, []any{guides})
	all := newGateways(2, fleetSettings{folder: s.folder, program: s.program, store: st.addr})
	s.endAll(all)
	for _, g := range all {
		g.start()
	}
	for _, g := range all {
		g.awaitReady(10 * time.Second)
	}
	time.Sleep(4 * time.Second)
	broken, dropped, first, sent := 0, 0, "", 0
	// try sends a request with a key and notes whether it has run although no configuration
	// has held the key, or the one in force does not any more.
	try := func(key string, allowed bool) {
		sent++
		id := fmt.Sprintf("9c41d07be2a4%04x", sent)
		status := sendWithKey(all[sent%2].front, id, key)
		srv.mu.Lock()
		ran := srv.ran[id]
		srv.mu.Unlock()
		s.rec.line("client sent %s with key %q and got %s; it has run: %t", id, key, status, ran)
		switch {
		case ran && key == "never-a-key":
			broken++
			if first == "" {
				first = fmt.Sprintf("%s with key %q has run and its client got %s", id, key, status)
			}
		case ran && !allowed:
			dropped++
		}
		if allowed && !ran {
			cannotRun("a proper request was not run: %s", status)
		}
	}
	for range 4 {
		try("key1", true)
		try("never-a-key", false)
	}
	if s.trouble {
		configure(8, []any{})
	} else {
		configure(8, []any{map[string]any{"name": "guides", "api_keys": []any{}, "priority": 1}})
	}
	time.Sleep(configApply + 3*time.Second)
	for range 4 {
		try("key1", false)
		try("never-a-key", false)
		try("", false)
	}
	s.rec.line("run with a key that no configuration has held: %d; with the key that was taken away, or with none: %d", broken, dropped)
	if broken > 0 {
		finish(exitBroken, s.rec, "ROUTE is broken %d times: %s", broken, first)
	}
	finish(exitHeld, s.rec, "ROUTE held")
}

// sendWithKey sends a request on a connection of its own and returns the status of the answer.
func sendWithKey(addr, id, key string) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	auth := ""
	if key != "" {
		auth = "Authorization: Bearer " + key + "\r\n"
	}
	_, err = fmt.Fprintf(c, "POST /hold/1 HTTP/1.1\r\nHost: desk.example\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Deadline-Ms: 2000\r\n"+
		"%sContent-Length: 4\r\nConnection: close\r\n\r\nunit", id, auth)
	if err != nil {
		return err.Error()
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	_ = r.Body.Close()
	return r.Status
}
