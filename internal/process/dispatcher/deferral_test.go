package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
)

// Without upstreams of their own, the deferred requests were expected to wait for a single
// one, and were refused too early.
func TestDeferredWaitCountsUpstreamsOfLongPrompts(t *testing.T) {
	d := newDispatcher()
	s := d.services["desk"]
	s.deferredTokens = 3000
	for _, c := range []struct {
		name  string
		share float64
		want  time.Duration
	}{
		{"all upstreams are shared", 0, time.Second},
		{"a part of one upstream", 0.1, 3 * time.Second},
		{"all upstreams", 1, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := picker.Query{LongPromptShare: c.share, PrefillPerToken: ms}
			is.New(t).Equal(d.deferredWait(s, q), c.want)
		})
	}
	t.Run("no upstream", func(t *testing.T) {
		s.instanceIDs = nil
		is.New(t).Equal(d.deferredWait(s, picker.Query{PrefillPerToken: ms}), 3*time.Second)
	})
}
