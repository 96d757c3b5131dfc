package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	poisonEntries = 5
	poisonRunners = 4
	// stabilityWindow is stability_window_ms of the settings.
	stabilityWindow = 3 * time.Second
	// runnerPause is the time after which a crashed runner is back.
	runnerPause = 2 * time.Second
	// freeCrashes is the number of crashes before the rule begins to count, and
	// maxRetries the number of retries that it allows.
	freeCrashes = 3
	maxRetries  = 3
)

// playPoison sends a request that crashes each runner that begins to run it, again and
// again at all entries. With the disruption the entries are restarted in turn meanwhile,
// as for the release of a new version.
func playPoison(f *fleet) error {
	c := make(chan string, eventsCapacity)
	entries, runners, err := startFleet(f, configuration("non_idempotent", "/holds/"), poisonEntries, poisonRunners, behaviourCrashes, c)
	if err != nil {
		return err
	}
	p := &poisoned{fleet: f, events: c, sent: map[string]time.Time{}}
	for _, r := range runners {
		p.keepRunning(r)
	}
	go p.readEvents()
	var seeds []string
	for _, e := range entries {
		seeds = append(seeds, e.control)
	}
	time.Sleep(stabilityWindow)
	for _, e := range entries {
		p.sendPoison(e, 3)
	}
	for _, e := range entries {
		if f.trouble {
			if err := restart(e, seeds); err != nil {
				return err
			}
		}
		// The entry is in touch again before it gets the request.
		time.Sleep(stabilityWindow + 200*time.Millisecond)
		p.sendPoison(e, 3)
		if a := f.send(e.clients, request{id: "sound-" + e.name, method: "POST", target: "/holds/7", body: []byte(`{"unit":7}`)}); a.status != 200 {
			return fmt.Errorf("a sound request was not served: %v", a)
		}
	}
	return p.judge()
}

// restart stops an entry with SIGTERM and starts it again.
func restart(e *entry, seeds []string) error {
	e.fleet.record.logf("entry %s gets SIGTERM", e.name)
	_ = e.command.Process.Signal(syscall.SIGTERM)
	<-e.exited
	if err := e.start(seeds); err != nil {
		return err
	}
	return e.awaitReady()
}

// poisoned is the state of a running case.
type poisoned struct {
	fleet  *fleet
	events chan string
	n      int

	mu   sync.Mutex
	sent map[string]time.Time
	// crashes holds the times at which the crashes of runners began, and ids the
	// requests that caused them.
	crashes []time.Time
	ids     []string
}

// keepRunning starts a runner again, some seconds after it has crashed.
func (p *poisoned) keepRunning(r *runner) {
	go func() {
		<-r.exited
		p.fleet.expire(r)
		time.Sleep(runnerPause)
		next, err := p.fleet.startRunner("booking", behaviourCrashes, p.events)
		if err == nil {
			p.keepRunning(next)
		}
	}()
}

func (p *poisoned) readEvents() {
	for e := range p.events {
		if _, id, ok := strings.Cut(e, " crashes with "); ok {
			p.mu.Lock()
			p.crashes, p.ids = append(p.crashes, time.Now()), append(p.ids, id)
			p.mu.Unlock()
		}
	}
}

// sendPoison sends the request a number of times to an entry, with a new identity each
// time and time for the runners to come back.
func (p *poisoned) sendPoison(e *entry, times int) {
	for range times {
		p.n++
		r := request{id: fmt.Sprintf("poison-%02d", p.n), method: "POST", target: "/holds/9", body: []byte(poison)}
		p.mu.Lock()
		p.sent[r.id] = time.Now()
		p.mu.Unlock()
		p.fleet.send(e.clients, r)
		time.Sleep(300 * time.Millisecond)
	}
}

func (p *poisoned) judge() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	retries := 0
	for i, id := range p.ids {
		if i >= freeCrashes && p.sent[id].Sub(p.crashes[freeCrashes-1]) > stabilityWindow {
			retries++
		}
	}
	p.fleet.record.logf("%d runners crashed; %d retries reached runners later than %v after the third crash, %d are allowed", len(p.crashes), retries, stabilityWindow, maxRetries)
	if retries > maxRetries {
		return errBroken
	}
	return nil
}
