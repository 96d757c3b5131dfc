package dispatcher

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/resumer"
)

// servedVersions returns the versions of the service in use at an entry.
func servedVersions(versions ...string) (out []resumer.Served) {
	for _, v := range versions {
		out = append(out, resumer.Served{Service: "desk", Version: resumer.Digest(v)})
	}
	return out
}

// newVersionedDispatcher returns the dispatcher of one of two entries, whose upstreams have
// the version v1 but for the last, which has v2 and was not announced yet.
func newVersionedDispatcher() *Dispatcher {
	d := newDispatcher()
	d.settings.KeepVersions = true
	all := upstreams()
	all[0].Version, all[1].Version, all[2].Version = "v1", "v1", "v2"
	d.Step(testTime(), Event{Kind: EventUpstreams, Upstreams: all})
	d.Step(testTime(), Event{Kind: EventEntryCount, Entries: 2})
	d.Step(testTime(), Event{Kind: EventVersionsKept, Record: resumer.Record{Served: servedVersions("v1")}})
	return d
}

// takeUpRequest returns a request that takes up a stream.
func takeUpRequest(id string, stream uint64) Request {
	r := request("/chat/" + id)
	r.ID, r.TakesUp, r.Stream = id, true, stream
	return r
}

// recall returns the result of a read in which the other entry has kept two versions.
func recall(ticket uint64) Event {
	r := resumer.EntryRecord{Entry: "other", Record: resumer.Record{Served: servedVersions("v1", "v2")}}
	return Event{Kind: EventVersionsRecalled, Recall: resumer.Recall{Ticket: ticket, Records: []resumer.EntryRecord{r}}}
}

// A stream went on at the only version that the entry had heard of.
func TestTakenUpStreamWaitsForItsVersion(t *testing.T) {
	arrive := func(d *Dispatcher, id string, stream uint64) []Action {
		return d.Step(testTime(), Event{Kind: EventArrived, Request: takeUpRequest(id, stream)})
	}
	reply := func(r resumer.Reply) Event { return Event{Kind: EventVersionsReceived, Entry: "other", Reply: r} }
	t.Run("each read serves what arrived before it", func(t *testing.T) {
		d := newVersionedDispatcher()
		is := is.New(t)
		is.Equal(assertKind(t, arrive(d, "a", 7), ActionRecallVersions).Ticket, uint64(1))
		is.Equal(len(arrive(d, "b", 8)), 0)
		all := d.Step(testTime(), recall(1))
		is.Equal(all[0].Streams, []uint64{7})
		is.Equal(assertKind(t, all, ActionRecallVersions).Ticket, uint64(2))
		is.Equal(assertKind(t, d.Step(testTime(), recall(2)), ActionFetchVersions).Streams, []uint64{8})
	})
	t.Run("the entry stood still in a release", func(t *testing.T) {
		d := newVersionedDispatcher()
		all := upstreams()
		for i := range all {
			all[i].Version = "v1"
		}
		d.Step(testTime(), Event{Kind: EventUpstreams, Upstreams: all})
		assertKind(t, arrive(d, "a", 7), ActionRecallVersions)
		assertKind(t, d.Step(testTime(), recall(1)), ActionFetchVersions)
	})
	t.Run("a reply tells the version", func(t *testing.T) {
		d := newVersionedDispatcher()
		arrive(d, "a", 7)
		d.Step(testTime(), recall(1))
		sent := assertSent(t, d.Step(testTime(), reply(resumer.Reply{Known: []resumer.Stream{{ID: 7, Version: resumer.Digest("v2")}}})), 1)
		is.New(t).Equal(sent.Upstream.Version, "v2")
	})
	t.Run("nobody knows the stream", func(t *testing.T) {
		d := newVersionedDispatcher()
		arrive(d, "a", 7)
		d.Step(testTime(), recall(1))
		assertFailed(t, d.Step(testTime(), reply(resumer.Reply{Unknown: []uint64{7}})), http.StatusServiceUnavailable, false)
	})
	t.Run("nothing is heard in time", func(t *testing.T) {
		d := newVersionedDispatcher()
		arrive(d, "a", 7)
		due := d.TakeUpDueAt()
		is.New(t).Equal(due, testTime().Add(takeUpWait))
		assertFailed(t, d.Step(due, Event{Kind: EventTakeUpDue}), http.StatusServiceUnavailable, false)
		is.New(t).True(d.TakeUpDueAt().IsZero())
		// The result of the read was lost. The next request needs another one.
		next := d.Step(due, Event{Kind: EventArrived, Request: takeUpRequest("b", 8)})
		is.New(t).Equal(assertKind(t, next, ActionRecallVersions).Ticket, uint64(2))
	})
	t.Run("the entry stops", func(t *testing.T) {
		d := newVersionedDispatcher()
		arrive(d, "a", 7)
		d.Step(testTime(), Event{Kind: EventStopping, Stop: Stop{NoticeEnd: testTime(), ExitDeadline: testTime().Add(finalAnswerMargin)}})
		assertFailed(t, d.Step(d.FinalAnswersAt(), Event{Kind: EventFinalAnswers}), http.StatusServiceUnavailable, false)
	})
	t.Run("the request is aborted", func(t *testing.T) {
		d := newVersionedDispatcher()
		arrive(d, "a", 7)
		assertKind(t, d.Step(testTime(), Event{Kind: EventAborted, ID: "a"}), ActionFinish)
		is.New(t).True(d.TakeUpDueAt().IsZero())
	})
}

// Streams began at a version that no other entry could know of.
func TestStreamsBeginAtAnnouncedVersions(t *testing.T) {
	d := newVersionedDispatcher()
	begin := func(id string) string {
		r := request("/chat/" + id)
		r.ID, r.Stream, r.Deadline = id, resumer.Digest(id), testTime().Add(time.Minute)
		return assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: r}), 1).Upstream.Version
	}
	versions := map[string]int{}
	for i := range 9 {
		versions[begin(string(rune('a'+i)))]++
	}
	is.New(t).Equal(versions, map[string]int{"v1": 9})
	d.Step(testTime(), Event{Kind: EventVersionsKept, Record: resumer.Record{Served: servedVersions("v1", "v2")}})
	is.New(t).Equal(begin("z"), "v2")
	t.Run("other entries are told at once", func(t *testing.T) {
		all := d.Step(testTime(), Event{Kind: EventProgress, ID: "z", Attempt: 1, First: true, Events: 1, Begun: true, LastEvent: "1"})
		want := []resumer.Stream{{ID: resumer.Digest("z"), Version: resumer.Digest("v2")}}
		is.New(t).Equal(assertKind(t, all, ActionShareVersions).Shared, want)
	})
}
