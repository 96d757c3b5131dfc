package soaker

import (
	"context"
	"syscall"
	"time"
)

const (
	// outagePause is the minimum time between two outages, and half of the maximum.
	outagePause = 300 * time.Millisecond
	// minFreeze and maxFreeze bound the time for which a process is paused.
	minFreeze = 300 * time.Millisecond
	maxFreeze = 1500 * time.Millisecond
	// resetEvery is the number of streams of which an upstream resets one.
	resetEvery = 5
	// fewConns is a number of connections that all upstreams together reach at times.
	fewConns = 8
	// slowReadPause is the pause of a slow caller before each read of at most
	// smallSocketBytes.
	slowReadPause = 60 * time.Millisecond
)

// disturbance is what happens while answers are sent.
type disturbance struct {
	name string
	run  func(ctx context.Context, f *wholeFleet)
	// size is the size of a stream.
	size streamSize
	// readPause is the time that callers wait before they read more of an answer.
	readPause time.Duration
	// resetEvery and maxConns configure the upstreams, see [upstreamSpec].
	resetEvery, maxConns int
}

// newDisturbances returns all disturbances.
func newDisturbances() []disturbance {
	shortStream := streamSize{Events: 12}
	// This stream takes longer than the grace period.
	longStream := streamSize{Events: 75}
	// Callers still read this stream when the entry has written all of it.
	largeStream := streamSize{Events: 12, Padding: 32 << 10}
	return []disturbance{
		{name: "nothing", run: awaitDone, size: shortStream},
		{name: "entries-killed", run: killEntries, size: shortStream},
		{name: "entries-stopped-long-streams", run: stopEntries, size: longStream},
		{name: "entries-stopped", run: stopEntries, size: shortStream},
		{name: "entries-frozen", run: freezeEntries, size: shortStream},
		{name: "upstreams-killed", run: killUpstreams, size: shortStream},
		{name: "upstreams-draining-stopped", run: stopAnnouncedUpstreams, size: shortStream},
		{name: "upstreams-stopped", run: stopUpstreams, size: shortStream},
		{name: "upstreams-frozen", run: freezeUpstreams, size: shortStream},
		{name: "upstreams-reset-streams", run: awaitDone, size: shortStream, resetEvery: resetEvery},
		{name: "upstreams-reset-connections", run: awaitDone, size: shortStream, maxConns: fewConns},
		{name: "callers-slow", run: awaitDone, size: largeStream, readPause: slowReadPause},
		{name: "callers-slow-entries-stopped", run: stopEntries, size: largeStream, readPause: slowReadPause},
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

// stopUpstreams stops and starts one upstream after another. They finish the answers that are
// on their way. The store does not say that they stop.
func stopUpstreams(ctx context.Context, f *wholeFleet) {
	f.inTurn(ctx, func(i int) {
		u := f.upstreams[i%len(f.upstreams)]
		u.terminate(syscall.SIGTERM)
		f.restartUpstream(u)
	})
}

// stopAnnouncedUpstreams is [stopUpstreams], but the store says that they stop.
func stopAnnouncedUpstreams(ctx context.Context, f *wholeFleet) {
	f.inTurn(ctx, func(i int) {
		u := f.upstreams[i%len(f.upstreams)]
		u.register("draining")
		time.Sleep(time.Duration(f.random.Int64N(int64(outagePause))))
		u.terminate(syscall.SIGTERM)
		f.restartUpstream(u)
	})
}

// freezeEntries pauses one entry after another.
func freezeEntries(ctx context.Context, f *wholeFleet) {
	f.inTurn(ctx, func(i int) { f.freeze(&f.entries[i%len(f.entries)].process) })
}

// freezeUpstreams pauses one upstream after another.
func freezeUpstreams(ctx context.Context, f *wholeFleet) {
	f.inTurn(ctx, func(i int) { f.freeze(&f.upstreams[i%len(f.upstreams)].process) })
}

// freeze pauses a process for a random time.
func (f *wholeFleet) freeze(p *process) {
	end := p.beginOutage(time.Now())
	defer end()
	p.signal(syscall.SIGSTOP)
	time.Sleep(minFreeze + time.Duration(f.random.Int64N(int64(maxFreeze-minFreeze))))
	p.signal(syscall.SIGCONT)
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
