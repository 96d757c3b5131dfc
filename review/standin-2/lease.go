package main

import (
	"fmt"
	"time"
)

// The deployment of the case.
const (
	leaseGateways = 4
	leaseServices = 5
	// serversPerZone is the number of servers of each service in each zone, which is also
	// the least that the configuration allows.
	serversPerZone = 4
	// startupS is the time from an order until a new server serves.
	startupS = 60
	leaseMs  = 3 * time.Second
	// touchTime is stability_window_ms of the deployment.
	touchTime = 4 * time.Second
)

// playLease checks that the duty of the scale orders has one holder at a time. In each zone
// one server of each service is lost for good, so that the holder has orders to send until the
// next ones have started.
func playLease(s setup) {
	st, cl := newStore(s.rec), newCloud(s.rec)
	var services []any
	for i := range leaseServices {
		name := fmt.Sprintf("svc%d", i+1)
		services = append(services, map[string]any{
			"name": name, "health_check": "/health", "max_connections": 480,
			"scaling": map[string]any{"min_replicas": serversPerZone, "max_replicas": 8, "startup_s": startupS},
		})
		for z := range 3 {
			for n := range serversPerZone {
				st.put("servers", fmt.Sprintf("i-%s-%s-%d", name, zoneName(z), n), serverEntry(name, zoneName(z), 20000+100*i+10*z+n))
			}
		}
	}
	st.put("config", "main", map[string]any{
		"version": 1, "services": services,
		"routes": []any{map[string]any{
			"name": "r1", "host": "h.example", "path_prefix": "/a/", "route_type": "idempotent", "service": "svc1", "timeout_ms": 2000,
			"target_latency_ms": 300, "priority": 2, "max_attempts": 2, "public": true,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{},
	})
	all := newGateways(leaseGateways, fleetSettings{folder: s.folder, program: s.program, store: st.addr, cloud: cl.addr, dutyPerS: 8})
	s.endAll(all)
	for _, g := range all {
		g.start()
	}
	for _, g := range all {
		g.awaitReady(10 * time.Second)
	}
	s.rec.line("all machines are ready")
	time.Sleep(2 * touchTime)
	if s.trouble {
		for i := range leaseServices {
			for z := range 3 {
				name := fmt.Sprintf("i-svc%d-%s-0", i+1, zoneName(z))
				s.rec.line("server %s is lost for good", name)
				st.remove("servers", name)
			}
		}
	}
	// All machines and the store are without any disruption from the start of the watch on.
	watchFrom := time.Now()
	time.Sleep(55 * time.Second)
	for _, g := range all {
		if !g.lives() {
			finish(exitBroken, s.rec, "%s has ended by itself", g.name)
		}
	}
	calls := cl.acceptedCalls("scale")
	turns, first := 0, ""
	for k, c := range calls {
		if c.at.Before(watchFrom) {
			continue
		}
		if i, j, ok := earlierTurn(calls[:k], c); ok {
			turns++
			text := fmt.Sprintf("%s acts (token %d, %s), then %s (token %d, %s), then %s again (token %d, %s) %v later",
				calls[i].holder, calls[i].token, calls[i].subject, calls[j].holder, calls[j].token, calls[j].subject,
				c.holder, c.token, c.subject, c.at.Sub(calls[i].at).Round(time.Millisecond))
			s.rec.line("A, B, A: %s", text)
			if first == "" {
				first = text
			}
		}
	}
	s.rec.line("%d scale orders accepted, %d of them end a turn A, B, A within %v", len(calls), turns, leaseMs)
	if turns > 0 {
		finish(exitBroken, s.rec, "ONE is broken %d times: %s", turns, first)
	}
	finish(exitHeld, s.rec, "ONE held")
}

// earlierTurn finds calls of the same holder and of another one in between, within lease_ms
// before c.
func earlierTurn(before []dutyCall, c dutyCall) (i, j int, ok bool) {
	other := -1
	for k := len(before) - 1; k >= 0 && c.at.Sub(before[k].at) <= leaseMs; k-- {
		switch {
		case before[k].holder != c.holder && other < 0:
			other = k
		case before[k].holder == c.holder && other >= 0:
			return k, other, true
		}
	}
	return 0, 0, false
}

func serverEntry(service, zone string, port int) map[string]any {
	return map[string]any{
		"service": service, "address": fmt.Sprintf("127.0.0.1:%d", port), "zone": zone, "version": "v1", "slots": 64, "state": "ready",
		"warmup_left_ms": 0, "sequence": 1, "born": 1_700_000_000_000 + int64(port),
	}
}
