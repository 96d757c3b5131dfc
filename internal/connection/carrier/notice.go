package carrier

import (
	"net/http"
	"time"
)

// Notice is what an upstream says about itself in the head of a response, whether or
// not the response is used.
type Notice struct {
	// Draining is true if the upstream is shutting down.
	Draining bool
	// RetryAfter is the time for which the upstream wants no requests from this
	// client, or zero if it did not ask for a pause.
	RetryAfter time.Duration
	// Status is the HTTP status of the response.
	Status int
}

// IsEmpty reports whether the response says nothing about its upstream.
func (n Notice) IsEmpty() bool { return !n.Draining && n.RetryAfter == 0 }

// reportNotice reports what resp says about its upstream before any part of resp is
// relayed or the call ends.
func (c *Conn) reportNotice(a *attempt, resp *http.Response) {
	if a.call.DecodeNotice == nil {
		return
	}
	if n := a.call.DecodeNotice(resp); !n.IsEmpty() {
		c.options.ReportNotice(a.call.Request, n)
	}
}
