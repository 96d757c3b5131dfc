package forwarder

import (
	"context"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

// inFlightRequest is a request in flight and its current attempt.
type inFlightRequest struct {
	job Job
	liveCall
	// suspended is the call of an earlier attempt whose upstream is silent, nil if
	// there is none.
	suspended *liveCall
	// ready is the connection of the call that has last had a part of its answer and
	// waits for the permission to relay it.
	ready *carrier.Conn
	// firstEvent is the time to the first event of the last call, and longestPause
	// the longest time between its events. They are logged.
	firstEvent   time.Duration
	longestPause time.Duration
	// headFraming is the framing of the answer whose head the caller has, FramingNone if it
	// has none.
	headFraming carrier.Framing
	// framing is that of the answer to the last call, and events holds the number of
	// events that each attempt has relayed, by its number. They are logged.
	framing carrier.Framing
	events  map[int]int
	// errorResponse is the error response of the upstream to the last call, which
	// ActionForwardError forwards to the caller.
	errorResponse relayer.Reply
}

// liveCall is the call of one attempt.
type liveCall struct {
	number int
	call   carrier.Call
	cancel context.CancelFunc
	pool   *pool
	// final is true if the request must not run again once the call has been answered.
	final bool
}

// dropBody drops the body once the answer of the current call has begun, if no other call
// may send it.
func (t *inFlightRequest) dropBody(r carrier.Report) {
	if r.Begun && r.Written && t.suspended == nil && (t.final || r.Unresumable) {
		t.job.Body.Drop()
	}
}

// cancelCalls cancels the calls of a request.
func (t *inFlightRequest) cancelCalls() {
	if t.cancel != nil {
		t.cancel()
	}
	if t.suspended != nil {
		t.suspended.cancel()
	}
}

// recordAnswer updates what the attempt of r has relayed: the head, unless an earlier
// attempt has, and a number of events. A request that is not in flight has none.
func (t *inFlightRequest) recordAnswer(r carrier.Report) {
	if t == nil {
		return
	}
	if r.Begun && t.headFraming == carrier.FramingNone {
		t.headFraming = r.Framing
	}
	if r.RelayedEvents == 0 {
		return
	}
	if t.events == nil {
		t.events = map[int]int{}
	}
	t.events[r.Attempt] = r.RelayedEvents
}

// countEvents returns the number of events that all attempts have relayed.
func (t *inFlightRequest) countEvents() int {
	n := 0
	for _, events := range t.events {
		n += events
	}
	return n
}
