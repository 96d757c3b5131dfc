package picker

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Each entry of a large fleet found out by itself, with requests that waited for
// connections, that an upstream had ended. The reports of others must keep it away, but not
// for ever, and not against what it sees itself.
func TestPickAvoidsUpstreamThatOthersHaveLost(t *testing.T) {
	lost := Event{Kind: EventDoubted, Upstream: "a"}
	busy := Event{Kind: EventShared, Upstream: "b", RunsDelta: 20}
	// veryBusy costs more than the doubt of one entry and less than those of three.
	veryBusy := Event{Kind: EventShared, Upstream: "b", RunsDelta: 400}
	lostBy := func(entry string) Event {
		return Event{Kind: EventDoubted, Upstream: "a", Entry: entry}
	}
	for _, c := range []struct {
		name   string
		events []Event
		after  time.Duration
		want   string
	}{
		{"no report", []Event{busy}, 0, "a"},
		{"a recent report", []Event{busy, lost}, doubtLifetime - 1, "b"},
		{"an old report", []Event{busy, lost}, doubtLifetime, "a"},
		{"an answer after the report", []Event{busy, lost, {Kind: EventFirstToken, Upstream: "a"}}, 0, "a"},
		{"one entry that is cut off reports often", []Event{veryBusy, lost, lost, lost}, 0, "a"},
		{"three entries report", []Event{veryBusy, lostBy("2"), lostBy("3"), lostBy("4")}, 0, "b"},
		{"only that upstream is left", []Event{{Kind: EventLeaving, Upstream: "b"}, lost, lost, lost}, 0, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertPick(t, New[LeastBacklog](1), c.events, start().Add(c.after), Query{Candidates: []string{"a", "b"}}, c.want)
		})
	}
}

// All entries would send their deferred requests to the engine with the least backlog,
// since these are not reported.
func TestDeferredRequestsSpreadOverUpstreams(t *testing.T) {
	p, names := backlogPicker(1, 20)
	q := Query{Candidates: names, PromptTokens: 9000, Deferred: true}
	picked := map[string]int{}
	for range 200 {
		name, ok := p.Pick(start(), q)
		is.New(t).True(ok)
		p.Step(start(), Event{Kind: EventSent, Upstream: name, Deferred: true})
		picked[name]++
	}
	for _, name := range names {
		is.New(t).True(picked[name] > 0 && picked[name] <= 20)
	}
}
