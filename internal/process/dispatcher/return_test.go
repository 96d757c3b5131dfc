package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// Callers that are refused in one burst must not all return at one moment, and not after
// more than a third of their time.
func TestRefusedCallersReturnSpread(t *testing.T) {
	d := newDispatcher()
	slots := map[time.Duration]int{}
	const callers = 200
	for i := range callers {
		f := &inFlightRequest{request: Request{ID: fmt.Sprint("r", i)}, deadline: testTime().Add(3 * time.Second)}
		after := d.retryAfter(testTime(), f)
		is := is.New(t)
		is.True(after > 0)
		is.True(after <= time.Second)
		slots[after/(20*ms)]++
	}
	for _, n := range slots {
		is.New(t).True(n <= callers/3)
	}
}

// A caller that was refused for a short backlog was told to return after a share of its
// time, when there had long been room.
func TestRefusedCallerReturnsWhenRoomIsExpected(t *testing.T) {
	for _, c := range []struct {
		start, atLeast, atMost time.Duration
	}{
		{1400 * ms, 300 * ms, 400 * ms},
		{time.Minute, 2300 * ms, 3200 * ms},
		{0, 2300 * ms, 3200 * ms},
	} {
		d := newDispatcher()
		// The prompt of a brief is long compared with the gap target of a chat.
		chat := request("/chat/1")
		chat.ID = "r0"
		d.Step(testTime(), Event{Kind: EventArrived, Request: chat})
		r := request("/brief/1")
		r.PromptTokens = 12_000
		d.Step(testTime(), Event{Kind: EventArrived, Request: r})
		f := *d.inFlight["r1"]
		f.admission.Route.Kind, f.admission.Priority = matcher.Streaming, 2
		f.deadline, f.summary.ExpectedStart = testTime().Add(10*time.Second), c.start
		is.New(t).True(f.isDeferrable(d.services["desk"]))
		after := d.retryAfter(testTime(), &f)
		is.New(t).True(after >= c.atLeast)
		is.New(t).True(after <= c.atMost)
	}
}
