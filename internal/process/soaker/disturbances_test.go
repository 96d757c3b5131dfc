package soaker

import (
	"context"
	"syscall"
	"time"
)

const (
	// outagePause is the minimum time between two outages, and half of the maximum.
	outagePause = 300 * time.Millisecond
)

// disturbance is what happens while answers are sent.
type disturbance struct {
	name string
	run  func(ctx context.Context, f *wholeFleet)
	// events is the number of events in a stream.
	events int
}

// newDisturbances returns all disturbances.
func newDisturbances() []disturbance {
	return []disturbance{
		{name: "nothing", run: awaitDone, events: shortStreamEvents},
		{name: "entries-killed", run: killEntries, events: shortStreamEvents},
		{name: "entries-stopped-long-streams", run: stopEntries, events: longStreamEvents},
		{name: "upstreams-killed", run: killUpstreams, events: shortStreamEvents},
	}
}

func awaitDone(ctx context.Context, _ *wholeFleet) { <-ctx.Done() }

// killEntries kills and starts one entry after another.
func killEntries(ctx context.Context, f *wholeFleet) {
	f.inTurn(ctx, func(i int) {
		e := f.entries[i%len(f.entries)]
		end := e.beginOutage(time.Now())
		e.restart(syscall.SIGKILL)
		end()
		assertEventually(f.t, e.name+" ready again", e.isReady)
	})
}

// stopEntries stops and starts one entry after another. Each may cut off what is left at the
// end of its grace period.
func stopEntries(ctx context.Context, f *wholeFleet) {
	f.inTurn(ctx, func(i int) {
		e := f.entries[i%len(f.entries)]
		end := e.beginOutage(time.Now().Add(shortGrace - graceMargin))
		e.restart(syscall.SIGTERM)
		end()
		assertEventually(f.t, e.name+" ready again", e.isReady)
	})
}

// killUpstreams kills and starts one upstream after another.
func killUpstreams(ctx context.Context, f *wholeFleet) {
	f.inTurn(ctx, func(i int) {
		u := f.upstreams[i%len(f.upstreams)]
		end := u.beginOutage(time.Now())
		u.kill()
		end()
		f.restartUpstream(u)
	})
}

// restartUpstream starts an upstream that has ended, at the same or another address.
func (f *wholeFleet) restartUpstream(u *upstreamProcess) {
	time.Sleep(restartPause)
	u.spec.Address = ""
	if f.random.IntN(2) == 0 {
		u.spec.Address = u.address
	}
	u.start()
}

// inTurn calls disturb with rising numbers until ctx is done.
func (f *wholeFleet) inTurn(ctx context.Context, disturb func(i int)) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(outagePause + time.Duration(f.random.Int64N(int64(outagePause))))
		disturb(i)
	}
}
