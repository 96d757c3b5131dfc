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

// activeRecords returns the active records of a process at the revisions 0 to n.
func activeRecords(t *testing.T, n int) []ActiveRecords {
	t.Helper()
	var d Decision
	out := []ActiveRecords{{}}
	set := &cataloger.Catalog{}
	for i := range n {
		next, err := set.Update(set.Revision+1, []descriptor.Record{class("a", 1+i%8), class(fmt.Sprint(i), 1)}, nil)
		is.New(t).NoErr(err)
		d.Step(time.Time{}, Event{Kind: EventRecordSetRead, RecordSet: next})
		out = append(out, d.Active)
		set = next
	}
	return out
}

// at returns the test time after the given number of seconds.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func peerRevision(peer string, revision int64) Event {
	return Event{Kind: EventPeerRevision, Link: peer, Identity: peer, Revision: revision}
}

// assertFetch checks that the only action is a fetch from a peer, and returns the
// event with the response of a process with the given active records. The response is
// encoded and decoded, and must fit into a message.
func assertFetch(t *testing.T, actions []Action, peer string, active ActiveRecords) Event {
	t.Helper()
	is := is.New(t)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Kind, ActionFetchRecords)
	is.Equal(actions[0].Link, peer)
	r := BuildRecords(active, actions[0].Query)
	data, err := json.Marshal(r)
	is.NoErr(err)
	is.True(len(data) < messenger.MaxMessageBytes)
	var decoded messenger.Records
	is.NoErr(json.Unmarshal(data, &decoded))
	return Event{Kind: EventRecordsFetched, Link: peer, Records: &decoded}
}

// assertNoEffect checks that no records come into force, are read or are fetched.
func assertNoEffect(t *testing.T, actions []Action) {
	t.Helper()
	for _, a := range actions {
		if a.Kind == ActionActivate || a.Kind == ActionFetchRecords || a.Kind == ActionReadRecordSet {
			t.Fatalf("unwanted action %+v", a)
		}
	}
}

func assertInForce(t *testing.T, actions []Action, revision int64) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Kind, ActionActivate)
	is.Equal(actions[0].Revision, revision)
}

// The test guards against a new process that starts with the records of a lagging
// peer.
func TestNewProcessWaitsForSecondPeer(t *testing.T) {
	revisions := activeRecords(t, 5)
	t.Run("the higher revision of two peers is fetched", func(t *testing.T) {
		var d Decision
		assertNoEffect(t, d.Step(at(0), peerRevision("a", 3)))
		e := assertFetch(t, d.Step(at(1), peerRevision("b", 5)), "b", revisions[5])
		e = assertFetch(t, d.Step(at(1), e), "b", revisions[5])
		assertInForce(t, d.Step(at(1), e), 5)
	})
	t.Run("a second link to the same process does not count", func(t *testing.T) {
		var d Decision
		assertNoEffect(t, d.Step(at(0), peerRevision("a", 3)))
		again := peerRevision("other link", 3)
		again.Identity = "a"
		assertNoEffect(t, d.Step(at(1), again))
	})
	t.Run("the only peer is used after the timeout", func(t *testing.T) {
		var d Decision
		assertNoEffect(t, d.Step(at(0), peerRevision("a", 3)))
		is.New(t).Equal(d.Wake(), at(3))
		assertFetch(t, d.Step(at(3), Event{Kind: EventTicked}), "a", revisions[3])
	})
	t.Run("the only known entry is used at once", func(t *testing.T) {
		var d Decision
		e := peerRevision("a", 3)
		e.KnownEntries = 1
		assertFetch(t, d.Step(at(0), e), "a", revisions[3])
	})
}

// The test guards against a return to an older revision that a peer or the platform
// gives.
func TestOlderRevisionIsRefused(t *testing.T) {
	revisions := activeRecords(t, 5)
	d := Decision{Active: revisions[4]}
	assertNoEffect(t, d.Step(at(0), peerRevision("a", 3)))
	assertNoEffect(t, d.Step(at(0), Event{Kind: EventHeadChanged, Head: cataloger.Head{Revision: 3}}))
	assertNoEffect(t, d.Step(at(0), Event{Kind: EventRecordSetRead, RecordSet: revisions[2].RecordSet}))
	e := assertFetch(t, d.Step(at(0), peerRevision("a", 5)), "a", revisions[5])
	assertInForce(t, d.Step(at(0), e), 5)
	assertNoEffect(t, d.Step(at(0), e))
}

// The test guards against a peer that announces a revision but returns another, or
// none, and so prevents the process from fetching it from other peers.
func TestFetchMovesOnFromFaultyPeer(t *testing.T) {
	revisions := activeRecords(t, 5)
	for _, c := range []struct {
		name    string
		corrupt func(e *Event)
	}{
		{"no response", func(e *Event) { e.Records = nil }},
		{"wrong record", func(e *Event) { e.Records.Delta.Changes[0].Entry.Record.Class.Tier = 8 }},
		{"wrong root", func(e *Event) { e.Records.Delta.Root = "0" }},
		{"older revision than announced", func(e *Event) { *e.Records = BuildRecords(revisions[2], messenger.FetchRecords{From: 3}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := Decision{Active: revisions[3]}
			e := assertFetch(t, d.Step(at(0), peerRevision("a", 5)), "a", revisions[5])
			c.corrupt(&e)
			assertNoEffect(t, d.Step(at(0), e))
			assertNoEffect(t, d.Step(at(0), peerRevision("a", 5)))
			is.New(t).Equal(d.Wake(), at(5))
			e = assertFetch(t, d.Step(at(1), peerRevision("b", 5)), "b", revisions[5])
			assertInForce(t, d.Step(at(1), e), 5)
		})
	}
	t.Run("no response within the timeout", func(t *testing.T) {
		d := Decision{Active: revisions[3]}
		assertFetch(t, d.Step(at(0), peerRevision("a", 5)), "a", revisions[5])
		assertNoEffect(t, d.Step(at(1), peerRevision("b", 5)))
		assertFetch(t, d.Step(at(3), Event{Kind: EventTicked}), "b", revisions[5])
	})
}

// A record set of full size is fetched in messages below the size limit, even if the
// peer's set changes during the transfer.
func TestRecordSetOfFullSizeIsFetchedInParts(t *testing.T) {
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
	d, responses := Decision{}, 0
	d.Step(at(0), peerRevision("a", 1))
	actions := d.Step(at(0), peerRevision("b", 1))
	for actions[0].Kind == ActionFetchRecords {
		active := ActiveRecords{RecordSet: first}
		if responses++; responses > 2 {
			active.RecordSet = second
		}
		actions = d.Step(at(0), assertFetch(t, actions, "a", active))
	}
	assertInForce(t, actions, 2)
	is.True(responses >= 4)
	is.Equal(d.Active.RecordSet.Root(), second.Root())
}

// The test guards against a relay that misses a change, or returns to an older
// revision, after a fault of the platform.
func TestRelayReceivesChangesDespitePlatformFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults emulator.Faults
	}{
		{"no fault", emulator.Faults{}},
		{"outage", emulator.Faults{Down: true}},
		{"stale reads", emulator.Faults{StaleRead: 0.5}},
		{"repeated watches", emulator.Faults{RepeatedWatch: 0.5}},
	} {
		t.Run(c.name, func(t *testing.T) { assertReceivesChanges(t, c.faults) })
	}
}

// assertReceivesChanges makes five changes under the given faults and checks that a
// relay puts each in force, in increasing order.
func assertReceivesChanges(t *testing.T, faults emulator.Faults) {
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
	w.SetRelay(true)
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
