package picker

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longPromptShare is the share of the upstreams for the long prompts of sendAndEnd.
const longPromptShare = 0.65

// longPromptQuery and shortPromptQuery return queries to a service of inference
// engines.
func longPromptQuery(names []string, prefix uint64) Query {
	return Query{
		Candidates: names, LongPrompt: true, LongPromptShare: longPromptShare, Deferrable: true, LatencyTarget: time.Second, TokenGapTarget: 800 * ms,
		Prefix: prefix, PrefixTokens: 5000, PromptTokens: 12_000,
	}
}

func shortPromptQuery(names []string, prefix uint64) Query {
	return Query{
		Candidates: names, LongPromptShare: longPromptShare, LatencyTarget: 250 * ms, TokenGapTarget: 200 * ms,
		Prefix: prefix, PrefixTokens: 200, PromptTokens: 800,
	}
}

// sendAndEnd sends n requests with long prompts and 4n with short prompts, which end
// at once. It returns the upstreams that got each kind.
func sendAndEnd(p *Picker[LeastBacklog], names []string, n int) (long, short map[string]bool) {
	long, short = map[string]bool{}, map[string]bool{}
	now := start()
	send := func(q Query, picked map[string]bool) {
		name, _ := p.Pick(now, q)
		picked[name] = true
		p.Step(now, Event{Kind: EventSent, Upstream: name, Prefix: q.Prefix, PromptTokens: q.PromptTokens})
		p.Step(now, Event{Kind: EventEnded, Upstream: name, Tokens: 10, PromptTokens: q.PromptTokens})
	}
	for i := range n {
		now = now.Add(20 * ms)
		send(longPromptQuery(names, uint64(i%40+1)), long)
		for j := range 4 {
			send(shortPromptQuery(names, uint64(1000+i%20*4+j)), short)
		}
	}
	return long, short
}

func backlogPicker(seed uint64, n int) (*Picker[LeastBacklog], []string) {
	p := New[LeastBacklog](seed)
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("desk-", i)
		p.Step(start(), Event{Kind: EventConnected, Upstream: names[i]})
	}
	return p, names
}

// Long prompts must not run on the same upstreams as other requests, whose token gaps
// they would lengthen.
func TestPoolSeparatesLongPrompts(t *testing.T) {
	t.Run("long and short prompts share no upstream", func(t *testing.T) {
		p, names := backlogPicker(1, 9)
		long, short := sendAndEnd(p, names, 200)
		for name := range long {
			is.New(t).True(!short[name])
		}
	})
	t.Run("entries with similar shares pick the same upstreams", func(t *testing.T) {
		a, names := backlogPicker(1, 9)
		b, _ := backlogPicker(2, 9)
		sendAndEnd(a, names, 50)
		sendAndEnd(b, names, 70)
		similar := func(q Query) Query {
			q.LongPromptShare += 0.05
			return q
		}
		for prefix := range uint64(100) {
			for _, q := range []Query{longPromptQuery(names, prefix+1), shortPromptQuery(names, prefix+1)} {
				fromA, _ := a.Pick(start().Add(10*time.Second), q)
				fromB, _ := b.Pick(start().Add(10*time.Second), similar(q))
				is.New(t).Equal(fromA, fromB)
			}
		}
	})
	t.Run("both kinds are served by one to three upstreams", func(t *testing.T) {
		for n := 1; n <= 3; n++ {
			p, names := backlogPicker(1, n)
			long, short := sendAndEnd(p, names, 50)
			is.New(t).True(len(long) > 0 && len(short) > 0)
		}
	})
}

// On slow engines a long prompt must wait in the pool rather than stall the streams of
// the other upstreams. On fast ones it may be sent there.
func TestSpilloverKeepsTokenGapsWithinTargets(t *testing.T) {
	pick := func(prefix uint64, maxSpilloverTokens int) (inPool bool) {
		p, names := backlogPicker(1, 9)
		_, short := sendAndEnd(p, names, 200)
		now := start().Add(10 * time.Second)
		for _, name := range names {
			if !short[name] {
				p.Step(now, Event{Kind: EventSent, Upstream: name, PromptTokens: 200_000})
			}
		}
		q := longPromptQuery(names, prefix)
		q.MaxSpilloverTokens = maxSpilloverTokens
		if prefix != 0 {
			for _, name := range names {
				p.Step(now, Event{Kind: EventCached, Upstream: name, Prefix: prefix})
			}
		}
		name, _ := p.Pick(now, q)
		return !short[name]
	}
	t.Run("prompt within the gap targets", func(t *testing.T) { is.New(t).True(!pick(0, 12_000)) })
	t.Run("prompt beyond the gap targets", func(t *testing.T) { is.New(t).True(pick(0, 11_999)) })
	t.Run("prompt beyond the gap targets with a cached prefix", func(t *testing.T) { is.New(t).True(!pick(1, 11_999)) })
}

// LeastBacklog must prefer the upstream with the smaller backlog, counting the
// pending prompts, requests and failures of this entry and of other entries.
func TestLeastBacklogPicksSmallerBacklog(t *testing.T) {
	names := []string{"a", "b"}
	pick := func(events ...Event) string {
		p := New[LeastBacklog](1)
		for _, name := range names {
			p.Step(start(), Event{Kind: EventConnected, Upstream: name})
		}
		for _, e := range events {
			p.Step(start(), e)
		}
		name, _ := p.Pick(start(), Query{Candidates: names, PromptTokens: 100, LatencyTarget: 100 * ms})
		return name
	}
	t.Run("avoids an upstream with a long prompt pending", func(t *testing.T) {
		is.New(t).Equal(pick(Event{Kind: EventSent, Upstream: "a", PromptTokens: 50_000}), "b")
	})
	t.Run("a prompt stops counting with its first token", func(t *testing.T) {
		is.New(t).Equal(pick(
			Event{Kind: EventSent, Upstream: "a", PromptTokens: 50_000}, Event{Kind: EventFirstToken, Upstream: "a", PromptTokens: 50_000},
			Event{Kind: EventSent, Upstream: "b"}, Event{Kind: EventSent, Upstream: "b"},
		), "a")
	})
	t.Run("avoids an upstream with a long prompt of another entry pending", func(t *testing.T) {
		is.New(t).Equal(pick(Event{Kind: EventShared, Upstream: "a", RunsDelta: 1, PromptTokens: 50_000}), "b")
	})
	t.Run("ended requests of another entry stop counting", func(t *testing.T) {
		is.New(t).Equal(pick(
			Event{Kind: EventShared, Upstream: "a", RunsDelta: 4}, Event{Kind: EventShared, Upstream: "a", RunsDelta: -4}, Event{Kind: EventShared, Upstream: "b", RunsDelta: 1},
		), "a")
	})
	t.Run("without free slots the upstream with more slots is preferred", func(t *testing.T) {
		is.New(t).Equal(pick(
			Event{Kind: EventConnected, Upstream: "a", Slots: 2}, Event{Kind: EventConnected, Upstream: "b", Slots: 8},
			Event{Kind: EventSent, Upstream: "b"}, Event{Kind: EventEnded, Upstream: "b", Elapsed: time.Second},
			Event{Kind: EventShared, Upstream: "a", RunsDelta: 2}, Event{Kind: EventShared, Upstream: "b", RunsDelta: 6},
		), "b")
	})
	t.Run("avoids an upstream whose requests fail", func(t *testing.T) {
		var events []Event
		for range 6 {
			events = append(events, Event{Kind: EventSent, Upstream: "a"}, Event{Kind: EventEnded, Upstream: "a", Failed: true})
		}
		events = append(events, Event{Kind: EventSent, Upstream: "b"}, Event{Kind: EventSent, Upstream: "b"})
		is.New(t).Equal(pick(events...), "b")
	})
	t.Run("avoids an upstream after a loss", func(t *testing.T) {
		is.New(t).Equal(pick(Event{Kind: EventSent, Upstream: "a"}, Event{Kind: EventLost, Upstream: "a"}), "b")
	})
}

// A prefix that another upstream has cached must be copied from there rather than
// prefilled again.
func TestCacheSourceIsMostRecentHolder(t *testing.T) {
	now := start()
	q := shortPromptQuery(nil, 7)
	q.LongPromptShare = 0
	p, names := backlogPicker(1, 4)
	q.Candidates = names
	preferred, _ := p.Pick(now, q)
	q.Exclude = []string{preferred}
	next, _ := p.Pick(now, q)
	q.Exclude = nil
	source := func(q Query, chosen string) string {
		_, _ = p.Pick(now, q)
		name, _ := p.CacheSource(now, q, chosen)
		return name
	}
	other := names[0]
	for _, name := range names {
		if name != preferred && name != next {
			other = name
		}
	}
	t.Run("other upstreams copy from the preferred one", func(t *testing.T) {
		is.New(t).Equal(source(q, other), preferred)
	})
	t.Run("the preferred upstream copies from the next in rank", func(t *testing.T) {
		is.New(t).Equal(source(q, preferred), next)
	})
	t.Run("the most recent holder is preferred", func(t *testing.T) {
		p.Step(now.Add(-ms), Event{Kind: EventSent, Upstream: next, Prefix: q.Prefix})
		p.Step(now.Add(-ms), Event{Kind: EventFirstToken, Upstream: next, Prefix: q.Prefix})
		p.Step(now, Event{Kind: EventCached, Upstream: other, Prefix: q.Prefix})
		is.New(t).Equal(source(q, preferred), other)
		is.New(t).Equal(source(q, other), next)
	})
	t.Run("an upstream that has not begun to answer is no source", func(t *testing.T) {
		p.Step(now.Add(ms), Event{Kind: EventSent, Upstream: preferred, Prefix: q.Prefix})
		is.New(t).Equal(source(q, next), other)
	})
	t.Run("a holder that has probably evicted the prefix is no source", func(t *testing.T) {
		old := q
		old.CacheResidence = 100 * ms
		_, _ = p.Pick(now.Add(time.Second), old)
		name, _ := p.CacheSource(now.Add(time.Second), old, next)
		is.New(t).Equal(name, preferred)
	})
	t.Run("a leaving holder is no source", func(t *testing.T) {
		p.Step(now, Event{Kind: EventLeaving, Upstream: other})
		is.New(t).Equal(source(q, preferred), next)
	})
	t.Run("a query without a prefix has no source", func(t *testing.T) {
		unprefixed := q
		unprefixed.Prefix, unprefixed.PrefixTokens = 0, 0
		is.New(t).Equal(source(unprefixed, preferred), "")
	})
}

// The tokens to prefill were underestimated for a prefix whose only holder had left, from
// which it can no longer be copied.
func TestPrefixOfLeavingHolderIsPrefilled(t *testing.T) {
	p, names := backlogPicker(1, 4)
	q := shortPromptQuery(names, 7)
	q.PrefixTokens, q.PromptTokens = 8000, 8000
	p.Step(start(), Event{Kind: EventCached, Upstream: names[0], Prefix: q.Prefix})
	largest := func() int {
		_, _ = p.Pick(start(), q)
		tokens := 0
		for _, name := range names[1:] {
			tokens = max(tokens, p.PrefillTokens(start(), q, name))
		}
		return tokens
	}
	is := is.New(t)
	is.True(largest() < q.PromptTokens/2)
	p.Step(start(), Event{Kind: EventLeaving, Upstream: names[0]})
	is.Equal(largest(), q.PromptTokens)
}

// Deferrable requests must not take the slots that are reserved for the others.
func TestExpectedWaitCountsReservedSlots(t *testing.T) {
	p := New[LeastBacklog](1)
	p.Step(start(), Event{Kind: EventConnected, Upstream: "a", Slots: 16})
	p.Step(start(), Event{Kind: EventSent, Upstream: "a"})
	p.Step(start(), Event{Kind: EventEnded, Upstream: "a", Elapsed: 4 * time.Second})
	p.Step(start(), Event{Kind: EventShared, Upstream: "a", RunsDelta: 15})
	is := is.New(t)
	is.Equal(p.ExpectedWait(Query{}, "a"), time.Duration(0))
	// Two runs in excess of the 14 unreserved slots; a slot becomes free every
	// 250 ms.
	is.Equal(p.ExpectedWait(Query{Deferrable: true}, "a"), 500*ms)
	is.Equal(p.ExpectedWait(Query{Deferrable: true}, "unknown"), time.Duration(0))
}

// Above maxScannedCandidates Pick computes no ranking. CacheSource must then not
// use the ranking of the previous Pick.
func TestCacheSourceIgnoresStaleRanking(t *testing.T) {
	p, few := backlogPicker(1, 4)
	_, _ = p.Pick(start(), shortPromptQuery(few, 7))
	many, names := backlogPicker(1, maxScannedCandidates+1)
	p.upstreams = many.upstreams
	q := shortPromptQuery(names, 8)
	chosen, _ := p.Pick(start(), q)
	_, ok := p.CacheSource(start(), q, chosen)
	is.New(t).True(!ok)
}
