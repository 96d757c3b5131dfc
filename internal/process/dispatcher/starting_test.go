package dispatcher

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

const testStrikesWait = 400 * ms

// startingDispatcher returns a dispatcher that has just started and knows nothing, with one
// request.
func startingDispatcher(t *testing.T) *Dispatcher {
	t.Helper()
	d := New(Settings{StrikesWait: testStrikesWait})
	d.Step(testTime(), Event{Kind: EventSynced, Synced: true})
	is.New(t).Equal(len(d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")})), 0)
	return d
}

// In rolling restarts, the callers of entries that had just started were refused until
// these knew the configuration and the strikes of the others, and came back too late.
func TestStartingEntryHoldsRequests(t *testing.T) {
	configure := func(d *Dispatcher) []Action {
		return d.Step(testTime(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{
			Version: 1, Routes: routes(), Organisations: []matcher.Organisation{{Name: "guides", Keys: []string{"key"}}},
		})})
	}
	list := func(d *Dispatcher) []Action {
		return d.Step(testTime(), Event{Kind: EventUpstreams, Upstreams: []registrar.Upstream{{Name: "desk-0", Service: "desk"}}})
	}
	learn := func(d *Dispatcher) []Action {
		return d.Step(testTime(), Event{Kind: EventStrikesLearned, Complete: true})
	}
	t.Run("sent once all is known, whatever comes last", func(t *testing.T) {
		for _, order := range [][]func(*Dispatcher) []Action{{configure, list, learn}, {learn, configure, list}, {list, learn, configure}} {
			d := startingDispatcher(t)
			is.New(t).Equal(len(order[0](d)), 0)
			is.New(t).Equal(len(order[1](d)), 0)
			assertSent(t, order[2](d), 1)
		}
	})
	t.Run("one that takes a stream up is sent once the versions of streams are recalled", func(t *testing.T) {
		d := New(Settings{StrikesWait: testStrikesWait, KeepVersions: true})
		d.Step(testTime(), Event{Kind: EventSynced, Synced: true})
		takeUp := request("/chat/2")
		takeUp.ID, takeUp.TakesUp, takeUp.Stream = "r2", true, 7
		d.Step(testTime(), Event{Kind: EventArrived, Request: takeUp})
		d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")})
		is.New(t).Equal(len(configure(d)), 0)
		is.New(t).Equal(len(list(d)), 0)
		is.New(t).Equal(assertSent(t, learn(d), 1).ID, "r1")
		// What was read before the request arrived may lack the version of its stream.
		first := d.Step(testTime(), Event{Kind: EventVersionsRecalled})
		is.New(t).Equal(first[0], Action{Kind: ActionRecallVersions, Ticket: 1})
		recall := resumer.Recall{Ticket: 1, Records: []resumer.EntryRecord{{Entry: "entry-2", WrittenAt: testTime()}}}
		is.New(t).Equal(assertSent(t, d.Step(testTime(), Event{Kind: EventVersionsRecalled, Recall: recall})[:1], 1).ID, "r2")
	})
	t.Run("refused when the wait has ended without a configuration", func(t *testing.T) {
		d := startingDispatcher(t)
		all := d.Step(testTime().Add(testStrikesWait), Event{Kind: EventTick})
		assertFailed(t, all, http.StatusServiceUnavailable, false)
	})
	t.Run("refused when the entry stops", func(t *testing.T) {
		d := startingDispatcher(t)
		now := testTime()
		all := d.Step(now, Event{Kind: EventStopping, Stop: Stop{NoticeEnd: now, ExitDeadline: now.Add(time.Second)}})
		assertFailed(t, all, http.StatusServiceUnavailable, false)
	})
	t.Run("another one with the same identity is refused", func(t *testing.T) {
		d := startingDispatcher(t)
		assertFailed(t, d.Step(testTime(), Event{Kind: EventArrived, Request: request("/chat/1")}), http.StatusServiceUnavailable, false)
		is.New(t).Equal(len(d.held), 1)
	})
}
