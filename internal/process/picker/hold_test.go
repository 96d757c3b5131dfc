package picker

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// heldBack returns the event of an upstream that wants no requests for n seconds.
func heldBack(upstream string, n time.Duration) Event {
	return Event{Kind: EventHeldBack, Upstream: upstream, RetryAfter: n * time.Second}
}

// An upstream that asked for a pause got further requests, also as the last resort
// when no other upstream was usable.
func TestPickSkipsHeldBackUpstream(t *testing.T) {
	onlyA := Query{Candidates: []string{"a", "b"}, Exclude: []string{"b"}}
	both := Query{Candidates: []string{"a", "b"}, Prefix: 7, PrefixTokens: 100_000, PromptTokens: 100_000}
	for _, c := range []struct {
		name   string
		events []Event
		after  time.Duration
		query  Query
		want   string
	}{
		{"during the pause: none", []Event{heldBack("a", 2)}, 2*time.Second - 1, onlyA, ""},
		{"after the pause: the upstream", []Event{heldBack("a", 2)}, 2 * time.Second, onlyA, "a"},
		{"longer pause later: extended", []Event{heldBack("a", 2), heldBack("a", 3)}, 2 * time.Second, onlyA, ""},
		{"shorter pause later: not shortened", []Event{heldBack("a", 3), heldBack("a", 1)}, 2 * time.Second, onlyA, ""},
		{"reconnected during the pause: none", []Event{heldBack("a", 2), {Kind: EventDisconnected, Upstream: "a"}, {Kind: EventConnected, Upstream: "a"}}, 0, onlyA, ""},
		{"the other in backoff: the other", []Event{heldBack("a", 2), {Kind: EventLost, Upstream: "b"}}, 0, both, "b"},
		{"prefix cached: the other", []Event{{Kind: EventSent, Upstream: "a", Prefix: 7}, heldBack("a", 2)}, 0, both, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Run("expected first token", func(t *testing.T) {
				assertPick(t, New[ExpectedFirstToken](1), c.events, start().Add(c.after), c.query, c.want)
			})
			t.Run("least backlog", func(t *testing.T) {
				assertPick(t, New[LeastBacklog](1), c.events, start().Add(c.after), c.query, c.want)
			})
		})
	}
	t.Run("prefix cached: not the source of a copy", func(t *testing.T) {
		p := New[LeastBacklog](1)
		assertPick(t, p, []Event{{Kind: EventSent, Upstream: "a", Prefix: 7}, heldBack("a", 2)}, start(), both, "b")
		_, ok := p.CacheSource(start(), both, "b")
		is.New(t).True(!ok)
	})
}

// assertPick connects a and b at the start, applies events, and checks the pick at now;
// an empty want means none.
func assertPick[P Policy](t *testing.T, p *Picker[P], events []Event, now time.Time, q Query, want string) {
	t.Helper()
	for _, name := range []string{"a", "b"} {
		p.Step(start(), Event{Kind: EventConnected, Upstream: name})
	}
	for _, e := range events {
		p.Step(start(), e)
	}
	got, _ := p.Pick(now, q)
	is.New(t).Equal(got, want)
}
