package main

import (
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const (
	// maxDescriptors is max_fds of the settings of a small deployment.
	maxDescriptors = 4100
	// ownDescriptors is the number of descriptors that the clients need.
	ownDescriptors = 8000
	// usersPerSecond is the number of users of one entry that come in a second, each
	// with a connection of its own.
	usersPerSecond = 47
	// lossAt is the time at which one of the two entries is lost for good.
	lossAt = 5 * time.Second
	// idleLength is the duration of the case.
	idleLength = 62 * time.Second
	// minTries is the number of clients that must try in a span without an answer.
	minTries = 7
	// userPatience is the time after which a user gives up.
	userPatience = 4 * time.Second
)

// errDescriptors means that the limit of descriptors of this process is too low.
var errDescriptors = errors.New("too few descriptors")

// try is a user's attempt on a new connection.
type try struct {
	at       time.Time
	answered bool
}

// idleUsers is the state of a running case.
type idleUsers struct {
	fleet *fleet
	mu    sync.Mutex
	tries []try
	ready []time.Time
	conns []*clientConn
	// served is the number of users that got a success.
	served int
}

// playIdle lets users come one after another. Each sends a request on a new connection
// and leaves it open, until the entry closes it. With the disruption one of the two
// entries is lost, and the platform sends all users to the other one.
func playIdle(f *fleet) error {
	c := make(chan string, eventsCapacity)
	go func() {
		for range c {
		}
	}()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < ownDescriptors {
		return fmt.Errorf("the clients need %d descriptors, there are %d: %w", ownDescriptors, limit.Cur, errDescriptors)
	}
	f.limit = maxDescriptors
	entries, _, err := startFleet(f, configuration("non_idempotent", "/holds/"), 2, 4, behaviourAnswers, c)
	if err != nil {
		return err
	}
	u := &idleUsers{fleet: f}
	stop := make(chan struct{})
	go u.probe(entries[1], stop)
	start := time.Now()
	var wg sync.WaitGroup
	n := 0
	for tick := time.NewTicker(time.Second / (2 * usersPerSecond)); time.Since(start) < idleLength; <-tick.C {
		e := entries[n%2]
		if f.trouble && time.Since(start) > lossAt {
			e = entries[1]
			entries[0].loseOnce()
		}
		n++
		user := n
		wg.Add(1)
		go func() {
			defer wg.Done()
			u.visit(user, e)
		}()
	}
	close(stop)
	wg.Wait()
	return u.judge()
}

// loseOnce ends the process of the entry for good.
func (e *entry) loseOnce() {
	select {
	case <-e.exited:
	default:
		e.fleet.record.logf("entry %s is lost for good", e.name)
		e.kill()
	}
}

// probe asks an entry every second on a kept connection whether it is ready.
func (u *idleUsers) probe(e *entry, stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		resp, err := client.Get("http://" + e.ready + "/-/ready") //nolint:gosec // a loopback address of this case
		if err != nil {
			u.fleet.record.logf("the platform gets no answer from %s: %v", e.name, err)
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			u.mu.Lock()
			u.ready = append(u.ready, time.Now())
			u.mu.Unlock()
		}
		u.fleet.record.logf("%s answers the platform %d", e.name, resp.StatusCode)
	}
}

// visit sends one request on a new connection and leaves the connection open.
func (u *idleUsers) visit(n int, e *entry) {
	t := try{at: time.Now()}
	u.fleet.record.logf("user-%05d connects to %s and sends", n, e.name)
	conn, err := dial(e.clients)
	var a answer
	if err == nil {
		a = conn.exchangeWithin(request{id: fmt.Sprintf("user-%05d", n), method: "POST", target: "/holds/7", body: []byte(`{"unit":7}`)}, userPatience)
		err = a.err
	}
	t.answered = err == nil
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tries = append(u.tries, t)
	if conn != nil {
		u.conns = append(u.conns, conn)
	}
	if err != nil {
		u.fleet.record.logf("user-%05d gives up: %v", n, err)
		return
	}
	u.fleet.record.logf("user-%05d gets %d", n, a.status)
	if a.status == http.StatusOK {
		u.served++
	}
}

// judge looks for a span of stabilityWindow in which minTries users tried and none got an
// answer, while the entry said that it is ready.
func (u *idleUsers) judge() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fleet.record.logf("%d of %d users were served", u.served, len(u.tries))
	for _, first := range u.tries {
		from, to := first.at, first.at.Add(stabilityWindow)
		tries, answered, ready := 0, 0, 0
		for _, t := range u.tries {
			if !t.at.Before(from) && t.at.Before(to) {
				tries++
				if t.answered {
					answered++
				}
			}
		}
		for _, at := range u.ready {
			if !at.Before(from) && at.Before(to) {
				ready++
			}
		}
		if tries >= minTries && answered == 0 && ready > 0 {
			u.fleet.record.logf("from %v on, %d users tried for %v, none got an answer, and the entry said %d times that it is ready", from.Format("05.000"), tries, stabilityWindow, ready)
			return errBroken
		}
	}
	if !u.fleet.trouble && u.served < len(u.tries) {
		return fmt.Errorf("%d users were not served without the disruption", len(u.tries)-u.served)
	}
	return nil
}

// limitedCommand returns the command of an entry with a limit of descriptors, which the
// platform sets.
func limitedCommand(limit int, name, argument string) *exec.Cmd {
	return exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s %s", limit, name, argument)) //nolint:gosec // constants
}
