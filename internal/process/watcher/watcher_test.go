package watcher

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/writer"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

func class(name string, tier int) descriptor.Record {
	return descriptor.Record{SchemaVersion: 2, Kind: descriptor.KindClass, Name: name, Class: &descriptor.Class{Tier: tier, Repeatable: true}}
}

// holdings returns what a process holds at the revisions 0 to n.
func holdings(t *testing.T, n int) []Holding {
	t.Helper()
	var d Decision
	out := []Holding{{}}
	set := &cataloger.Catalog{}
	for i := range n {
		next, err := set.Update(set.Revision+1, []descriptor.Record{class("a", 1+i%8), class(fmt.Sprint(i), 1)}, nil)
		is.New(t).NoErr(err)
		d.Step(time.Time{}, Event{Kind: EventRead, Set: next})
		out = append(out, d.Holding)
		set = next
	}
	return out
}

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func heard(peer string, revision int64) Event {
	return Event{Kind: EventHeard, Peer: peer, Identity: peer, Revision: revision}
}

// assertFetch checks that the only action is a fetch from a peer, and returns
// the answer of a process that holds h.
func assertFetch(t *testing.T, actions []Action, peer string, h Holding) Event {
	t.Helper()
	is := is.New(t)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Kind, ActionFetch)
	is.Equal(actions[0].Peer, peer)
	r := Answer(h, actions[0].Query)
	data, err := json.Marshal(r)
	is.NoErr(err)
	is.True(len(data) < messenger.MaxMessageBytes)
	var over messenger.Records
	is.NoErr(json.Unmarshal(data, &over))
	return Event{Kind: EventAnswered, Peer: peer, Answer: &over}
}

// assertNone checks that nothing comes into force and nobody is asked.
func assertNone(t *testing.T, actions []Action) {
	t.Helper()
	for _, a := range actions {
		if a.Kind == ActionInForce || a.Kind == ActionFetch || a.Kind == ActionRead {
			t.Fatalf("unwanted action %+v", a)
		}
	}
}

func assertInForce(t *testing.T, actions []Action, revision int64) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Kind, ActionInForce)
	is.Equal(actions[0].Revision, revision)
}

// A process that starts must not take the records of a peer that lags.
func TestStart(t *testing.T) {
	h := holdings(t, 5)
	t.Run("highest of two", func(t *testing.T) {
		var d Decision
		assertNone(t, d.Step(at(0), heard("a", 3)))
		e := assertFetch(t, d.Step(at(1), heard("b", 5)), "b", h[5])
		e = assertFetch(t, d.Step(at(1), e), "b", h[5])
		assertInForce(t, d.Step(at(1), e), 5)
	})
	t.Run("a second link to the same process does not count", func(t *testing.T) {
		var d Decision
		assertNone(t, d.Step(at(0), heard("a", 3)))
		again := heard("other link", 3)
		again.Identity = "a"
		assertNone(t, d.Step(at(1), again))
	})
	t.Run("no second peer", func(t *testing.T) {
		var d Decision
		assertNone(t, d.Step(at(0), heard("a", 3)))
		is.New(t).Equal(d.Wake(), at(3))
		assertFetch(t, d.Step(at(3), Event{Kind: EventTicked}), "a", h[3])
	})
	t.Run("only one entry known", func(t *testing.T) {
		var d Decision
		e := heard("a", 3)
		e.Known = 1
		assertFetch(t, d.Step(at(0), e), "a", h[3])
	})
}

// A process must never go back, whoever tells it to.
func TestMonotone(t *testing.T) {
	h := holdings(t, 5)
	d := Decision{Holding: h[4]}
	assertNone(t, d.Step(at(0), heard("a", 3)))
	assertNone(t, d.Step(at(0), Event{Kind: EventHead, Head: cataloger.Head{Revision: 3}}))
	assertNone(t, d.Step(at(0), Event{Kind: EventRead, Set: h[2].Set}))
	e := assertFetch(t, d.Step(at(0), heard("a", 5)), "a", h[5])
	assertInForce(t, d.Step(at(0), e), 5)
	assertNone(t, d.Step(at(0), e))
}

// A peer that promises a revision and gives another, or none, must not keep the
// process from asking others.
func TestBadPeers(t *testing.T) {
	h := holdings(t, 5)
	for _, c := range []struct {
		name  string
		spoil func(e *Event)
	}{
		{"no answer", func(e *Event) { e.Answer = nil }},
		{"wrong record", func(e *Event) { e.Answer.Delta.Changes[0].Entry.Record.Class.Tier = 8 }},
		{"wrong root", func(e *Event) { e.Answer.Delta.Root = "0" }},
		{"older than promised", func(e *Event) { *e.Answer = Answer(h[2], messenger.FetchRecords{From: 3}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := Decision{Holding: h[3]}
			e := assertFetch(t, d.Step(at(0), heard("a", 5)), "a", h[5])
			c.spoil(&e)
			assertNone(t, d.Step(at(0), e))
			assertNone(t, d.Step(at(0), heard("a", 5)))
			is.New(t).Equal(d.Wake(), at(5))
			e = assertFetch(t, d.Step(at(1), heard("b", 5)), "b", h[5])
			assertInForce(t, d.Step(at(1), e), 5)
		})
	}
	t.Run("too slow", func(t *testing.T) {
		d := Decision{Holding: h[3]}
		assertFetch(t, d.Step(at(0), heard("a", 5)), "a", h[5])
		assertNone(t, d.Step(at(1), heard("b", 5)))
		assertFetch(t, d.Step(at(3), Event{Kind: EventTicked}), "b", h[5])
	})
}

// A set of the full size must pass in messages below their limit, even if the
// peer's set changes meanwhile.
func TestFullSet(t *testing.T) {
	is := is.New(t)
	var records []descriptor.Record
	for i := range 4000 {
		records = append(records, descriptor.Record{SchemaVersion: 2, Kind: descriptor.KindUpstream, Name: fmt.Sprint("upstream-", i), Upstream: &descriptor.Upstream{
			Service: "racik-llm", Type: descriptor.TypeEngine, Address: "10.30.1.11:9001", AvailabilityZone: "semarang",
			Models: []string{"racik", "racik-long"}, Adapters: []string{"tags", "recipes"}, Slots: 16, KVTokens: 262144, ChecksFencing: true,
		}})
	}
	first, err := (&cataloger.Catalog{}).Update(1, records, nil)
	is.NoErr(err)
	second, err := first.Update(2, []descriptor.Record{class("a", 1)}, nil)
	is.NoErr(err)
	d, answers := Decision{}, 0
	d.Step(at(0), heard("a", 1))
	actions := d.Step(at(0), heard("b", 1))
	for actions[0].Kind == ActionFetch {
		h := Holding{Set: first}
		if answers++; answers > 2 {
			h.Set = second
		}
		actions = d.Step(at(0), assertFetch(t, actions, "a", h))
	}
	assertInForce(t, actions, 2)
	is.True(answers >= 4)
	is.Equal(d.Holding.Set.Root(), second.Root())
}

// A relay must follow the platform through all of its faults.
func TestWatchPlatform(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults emulator.Faults
	}{
		{"no fault", emulator.Faults{}},
		{"outage", emulator.Faults{Down: true}},
		{"stale reads", emulator.Faults{StaleRead: 0.5}},
		{"repeated watches", emulator.Faults{RepeatedWatch: 0.5}},
	} {
		t.Run(c.name, func(t *testing.T) { follow(t, c.faults) })
	}
}

func follow(t *testing.T, faults emulator.Faults) {
	t.Helper()
	is := is.New(t)
	p := emulator.NewPlatform()
	clock := timer.NewManual(at(0))
	f := emulator.NewFaultyStore(emulator.FaultyStoreOptions{Store: p, Clock: clock, Seed: 1})
	rec := recorder.New(recorder.Options{Process: "entry-1", Clock: clock, MaxEvents: 64})
	inForce := make(chan int64, 64)
	w := New(Options{Store: f, Clock: clock, Recorder: rec, Apply: []func(*compiler.Snapshot){func(s *compiler.Snapshot) { inForce <- s.Revision }}})
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				clock.Advance(100 * time.Millisecond)
			}
		}
	}()
	t.Cleanup(func() { close(stop); w.Stop(); rec.Stop(); f.Stop(); p.Stop() })
	w.Relay(true)
	last := int64(0)
	for i := range 5 {
		f.Set(faults)
		result, err := writer.Writer{Store: p, Clock: clock, Name: "test"}.Change(t.Context(), writer.Change{Put: []descriptor.Record{class("a", 1+i)}})
		is.NoErr(err)
		f.Set(emulator.Faults{StaleRead: faults.StaleRead, RepeatedWatch: faults.RepeatedWatch})
		for last < result.Revision {
			r := <-inForce
			is.True(r > last)
			last = r
		}
	}
}
