package receiver

import "sync/atomic"

// ending is how a request ended for its caller.
type ending int

// The endings. Each request has exactly one.
const (
	// endingPanicked means that the handler of the request panicked.
	endingPanicked ending = iota
	// endingAnswered means that a whole answer or a failure of the forwarder was written.
	endingAnswered
	// endingRefused means that the request was refused before the forwarder took it.
	endingRefused
	// endingUnanswered means that the forwarder ended the request without a reply. Its
	// caller got a failure.
	endingUnanswered
	// endingCutOff means that the connection was closed within the answer.
	endingCutOff
	// endingCallerLeft means that the caller disconnected or did not read.
	endingCallerLeft
	endingCount
)

// String returns the name of the ending in metrics.
func (e ending) String() string {
	names := [endingCount]string{"panicked", "answered", "refused", "unanswered", "cut_off", "caller_left"}
	return names[e]
}

// requestCounters counts the requests of callers.
type requestCounters struct {
	received atomic.Uint64
	ended    [endingCount]atomic.Uint64
}

// Requests holds the numbers of the requests of callers since the start of the process.
type Requests struct {
	Received uint64
	// Ended counts the requests that have ended by how they ended. The others are in
	// flight.
	Ended map[string]uint64
}

// InFlight returns the number of requests that have not ended.
func (r Requests) InFlight() uint64 {
	n := r.Received
	for _, ended := range r.Ended {
		n -= ended
	}
	return n
}

// snapshot returns the present numbers. Those of ended requests are read first, so that no
// request counts as ended and not as received.
func (c *requestCounters) snapshot() Requests {
	r := Requests{Ended: map[string]uint64{}}
	for e := range endingCount {
		r.Ended[e.String()] = c.ended[e].Load()
	}
	r.Received = c.received.Load()
	return r
}
