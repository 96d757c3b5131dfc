package executor

import (
	"testing"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

// A sound engine that failed one run and was then silent for a second counted as down. Its
// waiting runs were refused, and the preempted ones among them lost.
func TestRunsWaitWhileEngineIsSilentAfterFailure(t *testing.T) {
	b := newEngineFixture(t, descriptor.Upstream{Slots: 1})
	b.preemptLow()
	b.engine.tokens <- errorToken
	b.assertFrame("high", messenger.FrameLost)
	b.assertStarts("low", 2)
	close(b.engine.health)
	b.assertTokens("low", 2, 1)
	b.engine.tokens <- ""
	b.assertFrame("low", messenger.FrameFinished)
}

// An engine that hangs after a failure must still count as down, so that runs that wait
// are tried at another one.
func TestRunsAreReturnedWhenEngineHangsAfterFailure(t *testing.T) {
	b := newEngineFixture(t, descriptor.Upstream{Slots: 1})
	b.preemptLow()
	b.submit(messenger.Submit{Request: "waiting", Tier: 8, Repeatable: true})
	b.engine.tokens <- errorToken
	b.assertFrame("high", messenger.FrameLost)
	b.assertFrame("waiting", messenger.FrameRefused)
}
