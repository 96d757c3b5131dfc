package elector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/elector"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// An elector must acquire the lease, stop holding it when it expires and
// release it on Stop.
func TestElectorAcquiresExpiresAndReleases(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(time.Unix(1_800_000_000, 0))
	platform := emulator.NewPlatform()
	won := make(chan string, 16)
	rec := recorder.New(recorder.Options{Process: "test", Clock: clock, MaxEvents: 16, Observe: func(e tracer.Event) {
		if e.Kind == tracer.KindLeaseWon {
			won <- e.Reason
		}
	}})
	t.Cleanup(rec.Stop)
	start := func(holder string) *elector.Elector {
		return elector.New(elector.Options{Name: "placement", Holder: holder, Store: platform, Clock: clock, Recorder: rec})
	}
	first := start("entry-1")
	is.Equal(<-won, "placement 1")
	number, held := first.Held()
	is.True(held)
	is.Equal(number, int64(1))
	// A stopping holder releases its lease, so the next one does not wait.
	first.Stop()
	_, held = first.Held()
	is.True(!held)
	second := start("entry-2")
	is.Equal(<-won, "placement 2")
	// A holder that resumes after a pause detects that its lease has expired,
	// even if its goroutine does not run.
	platform.Stop()
	clock.Advance(elector.DefaultDuration)
	_, held = second.Held()
	is.True(!held)
	second.Stop()
}
