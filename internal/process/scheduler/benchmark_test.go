package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures all steps of one request while others are queued:
// its submission, 50 events with tokens and its end. The target is at most 50 µs
// with 10,000 queued requests.
func BenchmarkRequest(b *testing.B) {
	for _, queued := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) { benchmarkRequest(b, queued) })
	}
}

// benchmarkRequest distributes the runs over 24 classes of 8 tiers and 210
// organisations, on 64 slots.
func benchmarkRequest(b *testing.B, queued int) {
	const slots, tokenEvents = 64, 50
	now := time.Unix(1000, 0)
	var s Scheduler[Tiered]
	s.Step(now, Event{Kind: EventConfigured, Capacity: Capacity{Slots: slots, KVTokens: 1 << 20}})
	var active []Key
	addStarted := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == ActionStart {
				active = append(active, a.Key)
			}
		}
	}
	n := 0
	submit := func() {
		class := n % 24
		r := Run{
			Key: Key{Request: fmt.Sprint(n)}, Class: fmt.Sprint("class", class), Tier: 1 + class%8, Arrived: now,
			Organisation: fmt.Sprint(n % 210), PromptTokens: 500, ExpectedTokens: 100,
		}
		if class >= 8 {
			// The deadline is distant, so that no run is shed and the queue stays
			// full.
			r.FirstTokenBy = now.Add(time.Duration(1000+n%997) * time.Hour)
		}
		n++
		addStarted(s.Step(now, Event{Kind: EventSubmitted, Run: r}))
	}
	for range queued + slots {
		submit()
	}
	b.ResetTimer()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		submit()
		k := active[0]
		active = active[1:]
		for range tokenEvents {
			s.Step(now, Event{Kind: EventAdvanced, Key: k, Tokens: 1})
		}
		addStarted(s.Step(now, Event{Kind: EventEnded, Key: k}))
	}
	b.StopTimer()
	if l := s.Load(); l.Waiting < queued || l.Active != slots {
		b.Fatalf("load %+v, want at least %d waiting and %d active", l, queued, slots)
	}
}
