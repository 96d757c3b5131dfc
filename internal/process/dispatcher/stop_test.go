package dispatcher

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// The entry of these tests begins to stop at testTime. The balancer has noticed it
// after testNotice, and the process exits after testExit.
const (
	testNotice = 2700 * ms
	testExit   = 7300 * ms
)

func testStop() Stop {
	return Stop{NoticeEnd: testTime().Add(testNotice), ExitDeadline: testTime().Add(testExit)}
}

// newPatientDispatcher returns a dispatcher whose routes allow 15 s, like those of
// callers that wait long, for requests that usually end soon.
func newPatientDispatcher() *Dispatcher {
	d := newDispatcher()
	all := routes()
	for i := range all {
		all[i].Timeout = 15 * time.Second
	}
	d.Step(testTime(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{
		Version: 2, Routes: all, Services: []matcher.Service{{Name: "desk"}},
		Organisations: []matcher.Organisation{{Name: "guides", Keys: []string{"key"}}},
	})})
	return d
}

// arriveAfter sends r1, whose caller waits for the given time, to d after testTime.
func arriveAfter(d *Dispatcher, after, wait time.Duration, path string) []Action {
	r := request(path)
	r.Received = testTime().Add(after)
	r.Deadline = r.Received.Add(wait)
	return d.Step(r.Received, Event{Kind: EventArrived, Request: r})
}

// At the exit of an entry the callers of requests without an answer saw their connection
// close, also those of requests that must not be repeated.
func TestRequestsWithoutAnswerGetOneBeforeExit(t *testing.T) {
	due := testTime().Add(testExit - finalAnswerMargin)
	for _, c := range []struct {
		name   string
		path   string
		before []Event
	}{
		{"hold", "/hold/1", nil},
		{"check", "/check/1", nil},
		{"stream before its first event", "/chat/1", nil},
		{"hold that was refused before", "/hold/1", []Event{{Kind: EventEnded, Attempt: 1, Outcome: OutcomeRefused}}},
		{"check with a silent attempt", "/check/1", []Event{{Kind: EventSilent, Attempt: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newPatientDispatcher()
			arriveAfter(d, 0, 15*time.Second, c.path)
			for _, e := range c.before {
				e.ID = "r1"
				assertSent(t, d.Step(testTime(), e), 2)
			}
			d.Step(testTime(), Event{Kind: EventStopping, Stop: testStop()})
			is := is.New(t)
			is.Equal(d.FinalAnswersAt(), due)
			is.Equal(len(d.Step(due.Add(-ms), Event{Kind: EventFinalAnswers})), 0)
			all := d.Step(due, Event{Kind: EventFinalAnswers})
			// The attempt may have been run, so the status must not promise otherwise.
			assertFailed(t, all, http.StatusGatewayTimeout, false)
			is.Equal(all[len(all)-1].Failure.Outcome, admitter.OutcomeUnknown)
			assertIdle(t, d)
			is.True(d.FinalAnswersAt().IsZero())
		})
	}
	t.Run("stream that has begun goes on", func(t *testing.T) {
		d := newPatientDispatcher()
		arriveAfter(d, 0, 15*time.Second, "/brief/1")
		d.Step(testTime(), Event{Kind: EventProgress, ID: "r1", Attempt: 1, First: true, Begun: true, LastEvent: "1"})
		d.Step(testTime(), Event{Kind: EventStopping, Stop: testStop()})
		is := is.New(t)
		is.Equal(len(d.Step(due, Event{Kind: EventFinalAnswers})), 0)
		is.True(d.FinalAnswersAt().IsZero())
		assertKind(t, d.Step(due, Event{Kind: EventEnded, ID: "r1", Attempt: 1, Outcome: OutcomeAnswered, Begun: true, LastEvent: "9"}), ActionFinish)
	})
	t.Run("all requests", func(t *testing.T) {
		d := newPatientDispatcher()
		for i := range 5 {
			r := request("/hold/1")
			r.ID, r.Deadline = fmt.Sprint("q", i), testTime().Add(15*time.Second)
			assertSent(t, d.Step(testTime(), Event{Kind: EventArrived, Request: r}), 1)
		}
		d.Step(testTime(), Event{Kind: EventStopping, Stop: testStop()})
		is.New(t).Equal(len(d.Step(due, Event{Kind: EventFinalAnswers})), 5)
		assertIdle(t, d)
	})
	t.Run("entry that does not stop", func(t *testing.T) {
		d := newPatientDispatcher()
		arriveAfter(d, 0, 15*time.Second, "/hold/1")
		is := is.New(t)
		is.True(d.FinalAnswersAt().IsZero())
		is.Equal(len(d.Step(due, Event{Kind: EventFinalAnswers})), 0)
	})
}
