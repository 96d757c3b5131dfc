package main

import (
	"fmt"
	"strings"
	"time"
)

// caseByName returns the function of a case, nil if there is none.
func caseByName(name string) func(*fleet) error {
	switch name {
	case "cut-answer":
		return playCutAnswer
	case "failed-run":
		return playFailedRun
	case "burst":
		return playBurst
	case "idle":
		return playIdle
	case "poison":
		return playPoison
	case "double-slash":
		return playDoubleSlash
	}
	return nil
}

// configuration returns a configuration with a service, a key, and one route of a kind
// below a prefix.
func configuration(kind, prefix string) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "desk.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": 10000,
			"target_latency_ms": 100, "priority": 2, "service": "booking", "max_attempts": 1, "public": false,
			"session_affinity": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "booking", "health_check": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "guides", "api_keys": []string{"key-1"}, "priority": 1}},
	}
}

// eventsCapacity is the number of events of runners that may wait.
const eventsCapacity = 4096

// startFleet starts a store with a configuration, runners and entries.
func startFleet(f *fleet, config map[string]any, entries, runners int, behaviour string, c chan string) ([]*entry, []*runner, error) {
	if err := f.startStore(config); err != nil {
		return nil, nil, err
	}
	var all []*runner
	for range runners {
		r, err := f.startRunner("booking", behaviour, c)
		if err != nil {
			return nil, nil, err
		}
		all = append(all, r)
	}
	started, err := f.startEntries(entries)
	return started, all, err
}

// cutRunners is the number of runners of the service of playCutAnswer, so that a crash
// ends a quarter of them.
const cutRunners = 4

// playCutAnswer kills a runner between the two halves of an answer without a length.
// The client must not get half of the answer as a complete one.
func playCutAnswer(f *fleet) error {
	const requests = 6
	c := make(chan string, eventsCapacity)
	entries, started, err := startFleet(f, configuration("non_idempotent", "/holds/"), 2, cutRunners, behaviourUnframed, c)
	if err != nil {
		return err
	}
	runners := map[string]*runner{}
	for _, r := range started {
		runners[r.id] = r
	}
	broken := 0
	for i := range requests {
		r := request{id: fmt.Sprintf("request-%02d", i), method: "POST", target: "/holds/7", body: []byte(`{"unit":7}`)}
		got := make(chan answer, 1)
		go func() { got <- f.send(entries[i%2].clients, r) }()
		by := runnerOf(c, "has sent half of the answer to "+r.id)
		if by == "" {
			return fmt.Errorf("no runner has begun to answer %s", r.id)
		}
		crash := f.trouble && i%2 == 1
		if crash {
			f.record.logf("runner %s is killed", by)
			runners[by].kill()
		}
		a := <-got
		if a.err == nil && a.status/100 == 2 && a.framed && a.body != wholeBody(r.id) {
			f.record.logf("%s: a success that looks complete has %d of %d bytes of the answer", r.id, len(a.body), len(wholeBody(r.id)))
			broken++
		}
		if !crash {
			if a.err != nil || a.status != 200 || a.body != wholeBody(r.id) {
				return fmt.Errorf("%s was not answered without a crash: %v", r.id, a)
			}
			continue
		}
		f.expire(runners[by])
		time.Sleep(runnerPause)
		next, err := f.startRunner("booking", behaviourUnframed, c)
		if err != nil {
			return err
		}
		runners[next.id] = next
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}

// runnerOf waits for an event of a runner and returns its identity, or an empty string
// after clientTimeout.
func runnerOf(c chan string, text string) string {
	timeout := time.After(clientTimeout)
	for {
		select {
		case e := <-c:
			if id, event, _ := strings.Cut(e, " "); event == text {
				return id
			}
		case <-timeout:
			return ""
		}
	}
}

// playFailedRun sends requests that must not run twice to runners that answer some of
// them with a 503 of their own after they have run them. A client takes a 503 as a
// promise that the request has not run, and sends it once more.
func playFailedRun(f *fleet) error {
	const requests = 30
	behaviour := behaviourAnswers
	if f.trouble {
		behaviour = behaviourFails
	}
	c := make(chan string, eventsCapacity)
	entries, _, err := startFleet(f, configuration("non_idempotent", "/holds/"), 2, 2, behaviour, c)
	if err != nil {
		return err
	}
	broken, answered := 0, 0
	for i := range requests {
		for attempt := range 2 {
			r := request{id: fmt.Sprintf("request-%02d-%d", i, attempt), method: "POST", target: "/holds/7", body: []byte(`{"unit":7}`)}
			a := f.send(entries[(i+attempt)%2].clients, r)
			time.Sleep(20 * time.Millisecond)
			ran := hasRun(c, r.id)
			switch {
			case a.err == nil && isPromise(a.status) && ran:
				f.record.logf("%s was answered %d, which says that it has not run, and a runner has run it", r.id, a.status)
				broken++
			case a.err == nil && a.status == 200:
				answered++
			}
			if a.err != nil || !isPromise(a.status) {
				break
			}
		}
	}
	f.record.logf("%d of %d answered, %d promises broken", answered, requests, broken)
	if broken > 0 {
		return errBroken
	}
	if !f.trouble && answered < requests {
		return fmt.Errorf("only %d of %d requests were answered", answered, requests)
	}
	return nil
}

// isPromise reports whether a status says that the request has not run and never will.
func isPromise(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// hasRun reports whether a runner has reported that it runs the request. It takes all
// events that are there.
func hasRun(c chan string, id string) bool {
	ran := false
	for {
		select {
		case e := <-c:
			ran = ran || strings.Contains(e, " runs "+id+" ")
		default:
			return ran
		}
	}
}

// playDoubleSlash sends requests whose path begins with two slashes.
func playDoubleSlash(f *fleet) error {
	c := make(chan string, eventsCapacity)
	entries, _, err := startFleet(f, configuration("non_idempotent", "/"), 2, 2, behaviourAnswers, c)
	if err != nil {
		return err
	}
	target := "/holds/7"
	if f.trouble {
		target = "//holds/7"
	}
	broken := 0
	for i := range 6 {
		r := request{id: fmt.Sprintf("request-%02d", i), method: "POST", target: target, body: []byte(`{"unit":7}`)}
		a := f.send(entries[i%2].clients, r)
		time.Sleep(20 * time.Millisecond)
		for len(c) > 0 {
			e := <-c
			if strings.Contains(e, " runs "+r.id+" ") && !strings.Contains(e, " POST "+target+" host desk.example,") {
				f.record.logf("%s: a runner has run it with another target", r.id)
				broken++
			}
		}
		if a.err != nil || a.status != 200 {
			return fmt.Errorf("%s was not answered: %v", r.id, a)
		}
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}
