package dispatcher

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
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

// learnRun lets a request for path end run before testTime, after it has run for run.
func learnRun(t *testing.T, d *Dispatcher, path string, run time.Duration) {
	t.Helper()
	sent := testTime().Add(-time.Minute)
	r := Request{
		ID: "learned", Received: sent, Deadline: sent.Add(15 * time.Second), Digest: path,
		Query: matcher.Query{Host: "h", Path: path, APIKey: "key", RequestID: "learned"},
	}
	assertSent(t, d.Step(sent, Event{Kind: EventArrived, Request: r}), 1)
	assertKind(t, d.Step(sent.Add(run), Event{Kind: EventEnded, ID: "learned", Attempt: 1, Outcome: OutcomeAnswered}), ActionFinish)
}

// arriveAfter sends r1, whose caller waits for the given time, to d after testTime.
func arriveAfter(d *Dispatcher, after, wait time.Duration, path string) []Action {
	r := request(path)
	r.Received = testTime().Add(after)
	r.Deadline = r.Received.Add(wait)
	return d.Step(r.Received, Event{Kind: EventArrived, Request: r})
}

// assertRefusedByStop checks that the last action refuses a request that has not run.
func assertRefusedByStop(t *testing.T, all []Action) {
	t.Helper()
	assertFailed(t, all, http.StatusServiceUnavailable, false)
	f := all[len(all)-1].Failure
	is := is.New(t)
	is.Equal(f.Code, retrier.CodeStopping)
	is.Equal(f.RetryAfter, stoppingRetryAfter)
}

// A stopping entry took every request in the notice period, however long its caller would
// wait and its route usually ran, and cut off at the exit what had not ended. Later it
// refused every request, also those that would have ended in time.
func TestStoppingEntryTakesOnlyRequestsThatEndBeforeExit(t *testing.T) {
	for _, c := range []struct {
		name        string
		path        string
		run         time.Duration
		after, wait time.Duration
		taken       bool
	}{
		{"deadline before the exit, in the notice period", "/brief/1", 0, time.Second, 6 * time.Second, true},
		{"deadline before the exit, after the notice period", "/hold/1", 0, 5 * time.Second, 2 * time.Second, true},
		{"deadline just before the exit", "/hold/1", 0, 5 * time.Second, 2200 * ms, false},
		{"deadline after the exit, short run, in the notice period", "/chat/1", time.Second, 2600 * ms, 12 * time.Second, true},
		{"deadline after the exit, short run, after the notice period", "/chat/1", time.Second, 2700 * ms, 12 * time.Second, false},
		{"run that ends after the exit", "/brief/1", 5 * time.Second, 2500 * ms, 15 * time.Second, false},
		{"run that ends just before the exit", "/brief/1", 4500 * ms, 2500 * ms, 15 * time.Second, true},
		{"stream without a known run", "/brief/1", 0, time.Second, 15 * time.Second, false},
		{"call without a known run", "/hold/1", 0, 2 * time.Second, 15 * time.Second, true},
		{"call that runs long", "/hold/1", 6 * time.Second, 2 * time.Second, 15 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newPatientDispatcher()
			if c.run > 0 {
				learnRun(t, d, c.path, c.run)
			}
			d.Step(testTime(), Event{Kind: EventStopping, Stop: testStop()})
			all := arriveAfter(d, c.after, c.wait, c.path)
			if c.taken {
				assertSent(t, all, 1)
				return
			}
			assertRefusedByStop(t, all)
			assertIdle(t, d)
		})
	}
	t.Run("entry that does not stop", func(t *testing.T) {
		assertSent(t, arriveAfter(newPatientDispatcher(), 0, 15*time.Second, "/brief/1"), 1)
	})
	t.Run("unknown route in the notice period", func(t *testing.T) {
		d := newPatientDispatcher()
		d.Step(testTime(), Event{Kind: EventStopping, Stop: testStop()})
		assertFailed(t, arriveAfter(d, time.Second, 15*time.Second, "/none/1"), http.StatusNotFound, false)
	})
}

// A stopping entry sent requests again, and resumed streams, that could not end before
// the exit. They were cut off there.
func TestStoppingEntryStartsOnlyAttemptsThatEndBeforeExit(t *testing.T) {
	for _, c := range []struct {
		name  string
		path  string
		after time.Duration
		event Event
		// status is zero if there is another attempt.
		status int
	}{
		{"refused hold in time", "/hold/1", 5 * time.Second, Event{Outcome: OutcomeRefused}, 0},
		{"refused hold too late", "/hold/1", 6500 * ms, Event{Outcome: OutcomeRefused}, http.StatusServiceUnavailable},
		{"hold that was not sent, too late", "/hold/1", 6500 * ms, Event{Outcome: OutcomeNotSent}, http.StatusServiceUnavailable},
		{"lost check in time", "/check/1", 5 * time.Second, Event{Outcome: OutcomeLost}, 0},
		{"lost check too late", "/check/1", 6500 * ms, Event{Outcome: OutcomeLost}, http.StatusBadGateway},
		{"lost hold too late", "/hold/1", 6500 * ms, Event{Outcome: OutcomeLost}, http.StatusBadGateway},
		{"lost stream in time", "/chat/1", 5 * time.Second, Event{Outcome: OutcomeLost, Begun: true, LastEvent: "7"}, 0},
		{"lost stream too late", "/chat/1", 6500 * ms, Event{Outcome: OutcomeLost, Begun: true, LastEvent: "7"}, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newPatientDispatcher()
			learnRun(t, d, c.path, time.Second)
			assertSent(t, arriveAfter(d, 0, 15*time.Second, c.path), 1)
			d.Step(testTime(), Event{Kind: EventStopping, Stop: testStop()})
			c.event.Kind, c.event.ID, c.event.Attempt = EventEnded, "r1", 1
			all := d.Step(testTime().Add(c.after), c.event)
			if c.status == 0 {
				assertSent(t, all, 2)
				return
			}
			assertFailed(t, all, c.status, c.event.Begun)
			assertIdle(t, d)
		})
	}
	t.Run("failed check too late gets the error of the upstream", func(t *testing.T) {
		d := newPatientDispatcher()
		arriveAfter(d, 0, 15*time.Second, "/check/1")
		d.Step(testTime(), Event{Kind: EventStopping, Stop: testStop()})
		late := testTime().Add(7050 * ms)
		assertKind(t, d.Step(late, Event{Kind: EventEnded, ID: "r1", Attempt: 1, Outcome: OutcomeFailed}), ActionForwardError)
	})
	t.Run("silent stream too late goes on", func(t *testing.T) {
		d := newPatientDispatcher()
		arriveAfter(d, 0, 15*time.Second, "/chat/1")
		d.Step(testTime(), Event{Kind: EventStopping, Stop: testStop()})
		late := testTime().Add(6500 * ms)
		assertKind(t, d.Step(late, Event{Kind: EventSilent, ID: "r1", Attempt: 1, Begun: true, LastEvent: "7"}), ActionResume)
	})
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
