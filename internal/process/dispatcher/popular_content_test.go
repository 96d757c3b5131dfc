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
	f.requests[id] = &fleetRequest{at: f.elapsed, digest: digest, deadly: deadly, ended: ended}
	q := request("/popular/" + digest)
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
		f.at(time.Duration(i)*ms, call)
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

// kill ends an upstream for each index of each moment, from 2 s on, interval apart.
func (f *fleet) kill(moments int, interval time.Duration, upstreams int) {
	next := 0
	for i := range moments {
		f.at(2*time.Second+time.Duration(i)*interval, func() {
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
					f.kill(12, c.interval, c.upstreams)
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
