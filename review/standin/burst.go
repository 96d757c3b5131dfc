package main

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimit is memory_mb of the settings of a small deployment, in KB. The
	// platform kills a process that exceeds it and starts it again.
	memoryLimit  = 284 << 10
	restartPause = 500 * time.Millisecond
	// usualUsers is the number of users of each entry, and burstUsers that in a burst
	// of 2.1 times the usual traffic.
	usualUsers = 9
	burstUsers = 19
	burstStart = 4 * time.Second
	burstEnd   = burstStart + 9*time.Second
	// maxBody is max_body_bytes of the configuration.
	maxBody = 4194304
	// maxLost is the number of lost requests that the rule allows.
	maxLost = 3
)

// playBurst sends prompts of the size that the configuration allows, from the usual
// number of users and in a burst. The platform ends entries that exceed their memory.
func playBurst(f *fleet) error {
	c := make(chan string, eventsCapacity)
	config := configuration("streaming", "/chat/")
	entries, _, err := startFleet(f, config, 2, 4, behaviourStreams, c)
	if err != nil {
		return err
	}
	b := &burst{fleet: f, entries: entries, runs: map[string]bool{}, body: bytes.Repeat([]byte("x"), maxBody)}
	go b.readEvents(c)
	stop := make(chan struct{})
	var watchers, users sync.WaitGroup
	for _, e := range entries {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			b.enforceMemory(e, stop)
		}()
	}
	start := time.Now()
	for i := range 2 * burstUsers {
		inBurst := i >= 2*usualUsers
		if inBurst && !f.trouble {
			break
		}
		users.Add(1)
		go func() {
			defer users.Done()
			if inBurst {
				time.Sleep(time.Until(start.Add(burstStart)))
			}
			b.playUser(i, entries[i%2], start.Add(burstEnd))
		}()
	}
	users.Wait()
	close(stop)
	watchers.Wait()
	time.Sleep(100 * time.Millisecond)
	return b.judge()
}

// burst is the state of a running case.
type burst struct {
	fleet   *fleet
	entries []*entry
	body    []byte
	ends    atomic.Int64
	served  atomic.Int64
	mu      sync.Mutex
	runs    map[string]bool
	lost    []string
	cut     []string
}

func (b *burst) readEvents(c chan string) {
	for e := range c {
		var runner, id string
		if n, _ := fmt.Sscanf(e, "%s runs %s", &runner, &id); n == 2 {
			b.mu.Lock()
			b.runs[id] = true
			b.mu.Unlock()
		}
	}
}

// enforceMemory kills and restarts an entry that exceeds its memory, as the platform
// does.
func (b *burst) enforceMemory(e *entry, stop chan struct{}) {
	peak := 0
	for {
		select {
		case <-stop:
			b.fleet.record.logf("entry %s: at most %d MB resident", e.name, peak>>10)
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := residentKB(e.command.Process.Pid)
		peak = max(peak, used)
		if used <= memoryLimit {
			continue
		}
		b.ends.Add(1)
		b.fleet.record.logf("entry %s has %d MB resident, more than %d MB: the platform kills it", e.name, used>>10, memoryLimit>>10)
		e.kill()
		time.Sleep(restartPause)
		if err := e.start([]string{b.entries[0].control, b.entries[1].control}); err != nil {
			b.fleet.record.logf("entry %s was not restarted: %v", e.name, err)
			return
		}
	}
}

// residentKB returns the resident memory of a process in KB, zero if it is unknown.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) //nolint:gosec // the path of a process of this case
	if err != nil {
		return 0
	}
	m := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(data)
	if m == nil {
		return 0
	}
	n, err := strconv.Atoi(string(m[1]))
	if err != nil {
		return 0
	}
	return n
}

// playUser sends one prompt after another on one connection until the end of the burst.
// It sends a short prompt first, so that the long ones come on a kept connection.
func (b *burst) playUser(user int, e *entry, end time.Time) {
	for n := 0; time.Now().Before(end); {
		c, err := dial(e.clients)
		if err != nil {
			time.Sleep(restartPause)
			continue
		}
		a := c.exchange(request{id: fmt.Sprintf("short-%02d-%02d", user, n), method: "POST", target: "/chat/7", body: []byte("hello")})
		for ; a.err == nil && a.status == 200 && time.Now().Before(end); n++ {
			r := request{id: fmt.Sprintf("long-%02d-%02d", user, n), method: "POST", target: "/chat/7", body: b.body}
			b.fleet.record.logf("client sends %s, %d bytes, to %s on a kept connection", r.id, len(r.body), e.name)
			a = c.exchange(r)
			b.fleet.record.logf("client gets for %s: %v", r.id, a)
			b.record(r.id, a)
		}
		c.close()
		n++
		time.Sleep(restartPause)
	}
}

// record counts the answer to a request on a kept connection.
func (b *burst) record(id string, a answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.err == nil && a.status == 200:
		b.served.Add(1)
	case a.err != nil && a.status == 0:
		b.lost = append(b.lost, id)
	case a.err != nil:
		b.cut = append(b.cut, id)
	}
}

func (b *burst) judge() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	passedOn := 0
	for _, id := range b.lost {
		if b.runs[id] {
			passedOn++
			b.fleet.record.logf("%s was passed on to a runner, and its connection ended without an answer", id)
		}
	}
	b.fleet.record.logf("%d long prompts served, %d answers cut off, %d connections ended without an answer, %d of them passed on to a runner; %d times an entry exceeded its memory",
		b.served.Load(), len(b.cut), len(b.lost), passedOn, b.ends.Load())
	if passedOn > maxLost {
		return errBroken
	}
	if !b.fleet.trouble && (b.served.Load() == 0 || len(b.lost)+len(b.cut) > 0) {
		return fmt.Errorf("the usual traffic was not served")
	}
	return nil
}
