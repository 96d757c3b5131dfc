package picker

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// patient and hurried are queries of the two kinds of a service of engines.
func patient(names []string, prefix uint64) Query {
	return Query{
		Candidates: names, Patient: true, Target: time.Second, TokenGapTarget: 800 * ms,
		Prefix: prefix, PrefixTokens: 5000, PromptTokens: 12_000,
	}
}

func hurried(names []string, prefix uint64) Query {
	return Query{
		Candidates: names, Target: 250 * ms, TokenGapTarget: 200 * ms,
		Prefix: prefix, PrefixTokens: 200, PromptTokens: 800,
	}
}

// run sends n requests of each kind, which end at once, and returns the
// upstreams that got them.
func run(p *Picker[LeastBacklog], names []string, n int) (long, short map[string]bool) {
	long, short = map[string]bool{}, map[string]bool{}
	now := start()
	send := func(q Query, to map[string]bool) {
		name, _ := p.Pick(now, q)
		to[name] = true
		p.Step(now, Event{Kind: EventSent, Upstream: name, Prefix: q.Prefix, Patient: q.Patient, PromptTokens: q.PromptTokens})
		p.Step(now, Event{Kind: EventEnded, Upstream: name, Tokens: 10, PromptTokens: q.PromptTokens})
	}
	for i := range n {
		now = now.Add(20 * ms)
		send(patient(names, uint64(i%40+1)), long)
		for j := range 4 {
			send(hurried(names, uint64(1000+i%20*4+j)), short)
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

// Long prompts must not run beside requests whose pauses must be short.
func TestLane(t *testing.T) {
	t.Run("kinds are apart", func(t *testing.T) {
		p, names := backlogPicker(1, 9)
		run(p, names, 20) // the size follows the demand
		long, short := run(p, names, 200)
		for name := range long {
			is.New(t).True(!short[name])
		}
	})
	t.Run("entries agree", func(t *testing.T) {
		a, names := backlogPicker(1, 9)
		b, _ := backlogPicker(2, 9)
		run(a, names, 50)
		run(b, names, 70)
		for prefix := range uint64(100) {
			for _, q := range []Query{patient(names, prefix+1), hurried(names, prefix+1)} {
				one, _ := a.Pick(start().Add(10*time.Second), q)
				two, _ := b.Pick(start().Add(10*time.Second), q)
				is.New(t).Equal(one, two)
			}
		}
	})
	t.Run("both kinds are served while few are left", func(t *testing.T) {
		for n := 1; n <= 3; n++ {
			p, names := backlogPicker(1, n)
			long, short := run(p, names, 50)
			is.New(t).True(len(long) > 0 && len(short) > 0)
		}
	})
}

// The choice must follow what this entry knows of the upstreams.
func TestLeastBacklog(t *testing.T) {
	names := []string{"a", "b"}
	pick := func(events ...Event) string {
		p := New[LeastBacklog](1)
		for _, name := range names {
			p.Step(start(), Event{Kind: EventConnected, Upstream: name})
		}
		for _, e := range events {
			p.Step(start(), e)
		}
		name, _ := p.Pick(start(), Query{Candidates: names, PromptTokens: 100, Target: 100 * ms})
		return name
	}
	t.Run("long prompt pending", func(t *testing.T) {
		is.New(t).Equal(pick(Event{Kind: EventSent, Upstream: "a", PromptTokens: 50_000}), "b")
	})
	t.Run("long prompt read", func(t *testing.T) {
		is.New(t).Equal(pick(
			Event{Kind: EventSent, Upstream: "a", PromptTokens: 50_000}, Event{Kind: EventFirstToken, Upstream: "a", PromptTokens: 50_000},
			Event{Kind: EventSent, Upstream: "b"}, Event{Kind: EventSent, Upstream: "b"},
		), "a")
	})
	t.Run("long prompt of another entry pending", func(t *testing.T) {
		is.New(t).Equal(pick(Event{Kind: EventShared, Upstream: "a", Runs: 1, PromptTokens: 50_000}), "b")
	})
	t.Run("another entry's request ended", func(t *testing.T) {
		is.New(t).Equal(pick(
			Event{Kind: EventShared, Upstream: "a", Runs: 4}, Event{Kind: EventShared, Upstream: "a", Runs: -4}, Event{Kind: EventShared, Upstream: "b", Runs: 1},
		), "a")
	})
	t.Run("no slot is free", func(t *testing.T) {
		is.New(t).Equal(pick(
			Event{Kind: EventConnected, Upstream: "a", Slots: 2}, Event{Kind: EventConnected, Upstream: "b", Slots: 8},
			Event{Kind: EventSent, Upstream: "b"}, Event{Kind: EventEnded, Upstream: "b", Elapsed: time.Second},
			Event{Kind: EventShared, Upstream: "a", Runs: 2}, Event{Kind: EventShared, Upstream: "b", Runs: 6},
		), "b")
	})
	t.Run("requests fail", func(t *testing.T) {
		var events []Event
		for range 6 {
			events = append(events, Event{Kind: EventSent, Upstream: "a"}, Event{Kind: EventEnded, Upstream: "a", Failed: true})
		}
		events = append(events, Event{Kind: EventSent, Upstream: "b"}, Event{Kind: EventSent, Upstream: "b"})
		is.New(t).Equal(pick(events...), "b")
	})
	t.Run("connection lost", func(t *testing.T) {
		is.New(t).Equal(pick(Event{Kind: EventSent, Upstream: "a"}, Event{Kind: EventLost, Upstream: "a"}), "b")
	})
}

// What another upstream has cached must be copied rather than read again.
func TestSource(t *testing.T) {
	now := start()
	q := hurried(nil, 7)
	p, names := backlogPicker(1, 4)
	q.Candidates = names
	preferred, _ := p.Pick(now, q)
	q.Exclude = []string{preferred}
	next, _ := p.Pick(now, q)
	q.Exclude = nil
	source := func(q Query, chosen string) string {
		_, _ = p.Pick(now, q)
		name, _ := p.Source(now, q, chosen)
		return name
	}
	other := names[0]
	for _, name := range names {
		if name != preferred && name != next {
			other = name
		}
	}
	t.Run("any but the preferred copies from the preferred", func(t *testing.T) {
		is.New(t).Equal(source(q, other), preferred)
	})
	t.Run("the preferred copies from the one that was preferred before it came", func(t *testing.T) {
		is.New(t).Equal(source(q, preferred), next)
	})
	t.Run("the one that got the prefix last goes first", func(t *testing.T) {
		p.Step(now.Add(-ms), Event{Kind: EventSent, Upstream: next, Prefix: q.Prefix})
		p.Step(now, Event{Kind: EventCached, Upstream: other, Prefix: q.Prefix})
		is.New(t).Equal(source(q, preferred), other)
		is.New(t).Equal(source(q, other), next)
	})
	t.Run("not after it has gone", func(t *testing.T) {
		p.Step(now, Event{Kind: EventLeaving, Upstream: other})
		is.New(t).Equal(source(q, preferred), next)
	})
	t.Run("no prefix", func(t *testing.T) {
		none := q
		none.Prefix, none.PrefixTokens = 0, 0
		is.New(t).Equal(source(none, preferred), "")
	})
}

// Requests whose pauses may be long must leave slots to the others.
func TestWait(t *testing.T) {
	p := New[LeastBacklog](1)
	p.Step(start(), Event{Kind: EventConnected, Upstream: "a", Slots: 16})
	p.Step(start(), Event{Kind: EventSent, Upstream: "a"})
	p.Step(start(), Event{Kind: EventEnded, Upstream: "a", Elapsed: 4 * time.Second})
	p.Step(start(), Event{Kind: EventShared, Upstream: "a", Runs: 15})
	is := is.New(t)
	is.Equal(p.Wait("a", false), time.Duration(0))
	// Two places too many, one of which is free each 250 ms.
	is.Equal(p.Wait("a", true), 500*ms)
	is.Equal(p.Wait("unknown", true), time.Duration(0))
}

// A choice among more candidates than are looked at must not use the ranking of
// the choice before.
func TestSourceOfManyCandidates(t *testing.T) {
	p, few := backlogPicker(1, 4)
	_, _ = p.Pick(start(), hurried(few, 7))
	many, names := backlogPicker(1, scanLimit+1)
	p.upstreams = many.upstreams
	q := hurried(names, 8)
	chosen, _ := p.Pick(start(), q)
	_, ok := p.Source(start(), q, chosen)
	is.New(t).True(!ok)
}
