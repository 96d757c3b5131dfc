package starter

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/checker"
	"magnoliafront.dev/magnoliafront/internal/process/merger"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// A tool that knows only the address of one entry must get the events of all
// processes, also if they do not fit in one message.
func TestTimelineOfOneEntryHasAllProcesses(t *testing.T) {
	is := is.New(t)
	d := startDemo(t)
	const requests = 120
	id := ""
	for i := range requests {
		resp, _ := post(t, d, "/v1/chat/completions", fmt.Sprintf(`{"model":"desk","max_tokens":2,"messages":[{"role":"user","content":"%d"}]}`, i), nil)
		id = resp.Header.Get("X-Request-Id")
	}
	events := gatherEvents(t, d.Peer)
	kinds := map[tracer.Kind]int{}
	for _, e := range events {
		kinds[e.Kind]++
	}
	is.Equal(kinds[tracer.KindAdmitted], requests)
	is.Equal(kinds[tracer.KindFinished], requests)
	is.Equal(kinds[tracer.KindAnswered], requests)
	s, ok := merger.Explain(events, id)
	is.True(ok)
	is.Equal(s.End.Tokens, 2)
	is.True(s.Prefill > 0)
	assertPromises(t, events)
}

// gatherEvents returns the merged events of the entry at the address peer and of
// its agents.
func gatherEvents(t *testing.T, peer string) []tracer.Event {
	t.Helper()
	events, err := merger.Gather(t.Context(), peer, merger.GatherOptions{
		Self: messenger.Peer{Role: messenger.RoleTool, Identity: "test"}, Secret: []byte(DemoSecret),
	})
	is.New(t).NoErr(err)
	return merger.Merge(events)
}

// assertPromises checks that merged events break no promise and contain no
// recorded violation.
func assertPromises(t *testing.T, events []tracer.Event) {
	t.Helper()
	var c checker.Checker
	for _, e := range events {
		if e.Kind == tracer.KindViolation {
			t.Errorf("violation recorded by %s: %s %s", e.Process, e.Promise, e.Reason)
		}
		for _, v := range c.Observe(e) {
			t.Error(v)
		}
	}
	is.New(t).Equal(c.Evicted, uint64(0))
}
