package carrier

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// stream passes on whole events as they come.
func (c *Conn) stream(a *attempt, resp *http.Response) Report {
	if c.buffer == nil {
		c.buffer = make([]byte, streamRead)
	}
	for {
		if err := c.wait(a); err != nil {
			return c.interrupted(a, err)
		}
		n, err := resp.Body.Read(c.buffer)
		whole, events, ok := a.split.add(c.buffer[:n])
		if !ok {
			return a.ended(OutcomeLost, errors.New("an event is too long"))
		}
		if errors.Is(err, io.EOF) && len(a.split.rest) > 0 && !unframed(resp) && !a.call.Begun {
			// The upstream says that the stream is complete.
			whole = append(whole, a.split.rest...)
		}
		if len(whole) > 0 && (!a.begin(resp) || !a.put(whole)) {
			return a.ended(OutcomeCancelled, nil)
		}
		c.progress(a, events)
		switch {
		case errors.Is(err, io.EOF) && len(a.split.rest) > 0 && (unframed(resp) || a.call.Begun):
			return c.interrupted(a, errors.New("the stream ends within an event"))
		case errors.Is(err, io.EOF):
			if !a.begin(resp) {
				return a.ended(OutcomeCancelled, nil)
			}
			return c.finish(a, resp)
		case err != nil:
			return c.interrupted(a, errors.Wrap(err, "read the stream"))
		}
	}
}

// progress reports events of a stream, the first at once.
func (c *Conn) progress(a *attempt, events int) {
	now := c.options.Clock.Now()
	if events > 0 {
		a.measure(now)
	}
	a.events += events
	if a.events == 0 {
		return
	}
	since := a.counted
	if a.first {
		since = a.start
	} else if now.Sub(a.counted) < progressInterval {
		return
	}
	c.options.Report(Report{
		Conn: c, Request: a.call.Request, Attempt: a.call.Attempt, First: a.first,
		Events: a.events, Elapsed: now.Sub(since), Begun: true, LastEvent: a.split.last,
	})
	a.first, a.events, a.counted = false, 0, now
}

// measure notes the time of events.
func (a *attempt) measure(now time.Time) {
	if a.read.IsZero() {
		a.firstEvent = now.Sub(a.start)
	} else {
		a.longestPause = max(a.longestPause, now.Sub(a.read))
	}
	a.read = now
}
