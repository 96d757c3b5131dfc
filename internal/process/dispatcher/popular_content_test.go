package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendContent sends a request with the content digest at entry and calls ended once it
// has ended.
func (f *fleet) sendContent(entry int, digest string, deadly bool, ended func(Action)) {
	id := fmt.Sprint(digest, "-", f.elapsed, "-", len(f.requests))
	if ended == nil {
		ended = func(Action) {}
	}
	f.requests[id] = &fleetRequest{at: f.elapsed, digest: digest, deadly: deadly, ended: ended}
	q := request(f.contentPath + digest)
	q.ID, q.Received, q.Deadline, q.Query.RequestID = id, f.now(), f.now().Add(10*time.Second), id
	d := f.entries[entry]
	f.execute(entry, d, d.Step(f.now(), Event{Kind: EventArrived, Request: q}))
}

// callers lets n callers send the same content again and again until the given time, each
// as soon as its last request has ended, or 50 ms later if it was refused.
func (f *fleet) callers(n int, digest string, until time.Duration) *callerResult {
	var result callerResult
	for i := range n {
		var call func()
		call = func() {
			if f.elapsed >= until {
				return
			}
			f.sendContent(i%entryCount, digest, false, func(a Action) {
				result.record(a)
				f.at(f.elapsed+50*ms, call)
			})
		}
		first := time.Duration(i) * ms
		if f.inStep {
			first = 0
		}
		f.at(first, call)
	}
	return &result
}

// callerResult counts how the requests of callers ended.
type callerResult struct {
	answered    int
	quarantined int
}

func (r *callerResult) record(a Action) {
	switch {
	case a.Kind == ActionFinish:
		r.answered++
	case a.Failure.Code == codeQuarantined:
		r.quarantined++
	}
}

// kill ends upstreams by turns at several moments that are interval apart.
func (f *fleet) kill(from time.Duration, moments int, interval time.Duration, upstreams int) {
	next := 0
	for i := range moments {
		f.at(from+time.Duration(i)*interval, func() {
			for range upstreams {
				f.crash(f.upstreams[next%upstreamCount])
				next++
			}
		})
	}
}

// Content that 40 callers have in flight at each upstream all the time was quarantined
// after two upstreams had been killed one after the other, and 217,000 requests were
// refused in 20 s.
func TestPopularContentIsServedWhileUpstreamsEnd(t *testing.T) {
	for _, c := range []struct {
		name      string
		interval  time.Duration
		upstreams int
	}{
		{"one by one", 700 * ms, 1},
		{"in quick succession", 100 * ms, 1},
		{"four at one moment", 4 * time.Second, 4},
		{"all at one moment", 4 * time.Second, upstreamCount},
	} {
		for _, delay := range []time.Duration{2 * ms, 50 * ms} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprint(c.name, " delay ", delay, " seed ", seed), func(t *testing.T) {
					f := newFleet(seed)
					f.maxDelay, f.downtime = delay, 300*ms
					f.kill(2*time.Second, 12, c.interval, c.upstreams)
					result := f.callers(40, "popular", 20*time.Second)
					f.run(30 * time.Second)
					is := is.New(t)
					is.Equal(result.quarantined, 0)
					is.True(result.answered > 200)
				})
			}
		}
	}
}

// Callers in step all got their answers just before an upstream was killed, and the next
// one was killed before any of them had another answer.
func TestPopularContentInStepIsServed(t *testing.T) {
	const period = 1150 * ms
	for _, phase := range []time.Duration{0, 30 * ms, 60 * ms, 90 * ms, 600 * ms} {
		t.Run(fmt.Sprint("phase ", phase), func(t *testing.T) {
			f := newFleet(1)
			f.inStep, f.downtime = true, 100*ms
			f.kill(2*period+phase, 12, period-100*ms, 1)
			result := f.callers(40, "popular", 20*time.Second)
			f.run(30 * time.Second)
			is := is.New(t)
			is.Equal(result.quarantined, 0)
			is.True(result.answered > 200)
		})
	}
}

// Content that is poison must be found beside popular content and losses, also if entries
// restart meanwhile. An entry that started had forgotten it and sent it again.
func TestPoisonContentIsStopped(t *testing.T) {
	for _, c := range []struct {
		name  string
		every time.Duration
		setUp func(f *fleet)
	}{
		{"rare", time.Second, func(*fleet) {}},
		{"frequent", 20 * ms, func(*fleet) {}},
		{"beside popular content", time.Second, func(f *fleet) { f.callers(40, "popular", 40*time.Second) }},
		{"beside popular content and kills", 300 * ms, func(f *fleet) {
			f.callers(40, "popular", 40*time.Second)
			f.kill(2*time.Second, 30, 700*ms, 1)
		}},
		{"beside losses at one moment", 100 * ms, func(f *fleet) { f.kill(2500*ms, 4, 2*time.Second, 4) }},
		{"one entry restarts", 200 * ms, func(f *fleet) { f.at(12*time.Second, func() { f.restartEntry(2) }) }},
		{"one entry restarts at once", 200 * ms, func(f *fleet) { f.at(2700*ms, func() { f.restartEntry(2) }) }},
		{"all entries restart by turns", 200 * ms, func(f *fleet) {
			for i := range entryCount {
				f.at(time.Duration(6+i)*time.Second, func() { f.restartEntry(i) })
			}
		}},
	} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprint(c.name, " seed ", seed), func(t *testing.T) {
				f := newFleet(seed)
				f.maxDelay = 50 * ms
				c.setUp(f)
				f.sendPoison(c.every, 40*time.Second)
				f.run(50 * time.Second)
				assertContentStopped(t, f, "poison")
			})
		}
	}
}

// sendPoison sends requests with the same content, which crashes upstreams, at random
// entries from 2 s on.
func (f *fleet) sendPoison(every, until time.Duration) {
	for at := 2 * time.Second; at < until; at += every {
		entry := f.random.IntN(entryCount)
		f.at(at, func() { f.sendContent(entry, "poison", true, nil) })
	}
}

// assertContentStopped checks that at most allowedLateSends requests with the content
// reached upstreams later than the stability window after its third crash.
func assertContentStopped(t *testing.T, f *fleet, digest string) {
	t.Helper()
	is := is.New(t)
	crashes := f.contentCrashes[digest]
	is.True(len(crashes) >= 2)
	if len(crashes) < 3 {
		return
	}
	late := 0
	for _, at := range f.contentSends[digest] {
		if at > crashes[2]+stabilityWindow {
			late++
		}
	}
	if late > allowedLateSends {
		t.Errorf("%d requests with %s reached upstreams too late; crashes at %v", late, digest, crashes)
	}
}

// Restarts of all entries at one moment leave nobody who knows the content. It must be
// found again after no more crashes than the first time.
func TestPoisonContentIsFoundAgainAfterRestartOfAllEntries(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(seed)
			f.maxDelay = 50 * ms
			f.sendPoison(time.Second, 20*time.Second)
			f.at(10*time.Second, func() {
				for i := range entryCount {
					f.restartEntry(i)
				}
			})
			f.run(30 * time.Second)
			is.New(t).True(len(f.contentCrashes["poison"]) <= 6)
			assertContentStopped(t, f, "poison")
		})
	}
}

// Harmless content that three losses had quarantined was refused for the whole time of a
// quarantine. One request must find out, and the others must get a time to come back.
func TestHarmlessContentLeavesQuarantine(t *testing.T) {
	f := newFleet(1)
	f.maxDelay = 50 * ms
	result := callerResult{}
	for i := range 3 {
		f.at(time.Duration(1+i)*time.Second, func() { f.sendContent(i, "sound", false, nil) })
		f.at(time.Duration(1+i)*time.Second+40*ms, func() {
			for _, u := range f.upstreams {
				if len(u.running) > 0 {
					f.crash(u)
				}
			}
		})
	}
	for at := 5 * time.Second; at < 60*time.Second; at += 100 * ms {
		f.at(at, func() {
			f.sendContent(f.random.IntN(entryCount), "sound", false, func(a Action) {
				result.record(a)
				if a.Kind == ActionFail {
					is.New(t).True(a.Failure.RetryAfter > 0)
				}
			})
		})
	}
	f.run(70 * time.Second)
	is := is.New(t)
	is.True(result.quarantined > 0)
	is.True(result.answered > 200)
	sends := 0
	for _, at := range f.contentSends["sound"] {
		if at > 4*time.Second && at < 32*time.Second {
			sends++
		}
	}
	is.True(sends <= 1)
}
