package carrier

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// relayStream relays an event stream in whole events. Only the last event of a
// complete response may lack the blank line that ends an event.
func (c *Conn) relayStream(a *attempt, resp *http.Response) Report {
	if c.streamBuffer == nil {
		c.streamBuffer = make([]byte, streamReadBytes)
	}
	if err := c.setReadDeadline(a); err != nil {
		return c.classifyError(a, err)
	}
	for {
		n, err := a.readBody(resp, c.streamBuffer)
		whole, events, ok := a.splitter.split(c.streamBuffer[:n])
		if !ok {
			return a.newReport(OutcomeLost, errors.Errorf("an event exceeds %d bytes", maxEventBytes))
		}
		cutOff := len(a.splitter.partial) > 0 && (isCloseDelimited(resp) || a.call.Begun)
		if errors.Is(err, io.EOF) && !cutOff {
			// The framing of the response shows that it is complete, so the rest is
			// relayed although no blank line ends it.
			whole = append(whole, a.splitter.partial...)
		}
		if len(whole) > 0 && (!a.relayHead(resp) || !a.relayBody(whole)) {
			return a.newReport(OutcomeCancelled, nil)
		}
		c.reportProgress(a, events)
		if events > 0 && err == nil {
			// Only new events show progress. A stalled upstream may still send bytes.
			err = c.setReadDeadline(a)
		}
		if err != nil {
			return c.endStream(a, resp, err, cutOff)
		}
	}
}

// endStream returns the report of a stream whose last read returned err. With cutOff,
// it ended within an event.
func (c *Conn) endStream(a *attempt, resp *http.Response, err error, cutOff bool) Report {
	switch {
	case errors.Is(err, io.EOF) && cutOff:
		return c.classifyError(a, errors.New("the stream ends within an event"))
	case !errors.Is(err, io.EOF):
		return c.classifyError(a, errors.Wrap(err, "read the stream"))
	case !a.relayHead(resp):
		return a.newReport(OutcomeCancelled, nil)
	}
	return c.relayEnd(a, resp)
}

// reportProgress counts events of a stream. It reports the first ones immediately
// and later ones at most once per progressInterval.
func (c *Conn) reportProgress(a *attempt, events int) {
	now := c.options.Clock.Now()
	if events > 0 {
		a.recordEventTimes(now)
	}
	a.unreportedEvents += events
	if a.unreportedEvents == 0 {
		return
	}
	since := a.lastReport
	if a.firstReport {
		since = a.start
	} else if now.Sub(a.lastReport) < progressInterval {
		return
	}
	c.options.Report(Report{
		Conn: c, Request: a.call.Request, Attempt: a.call.Attempt, First: a.firstReport,
		Events: a.unreportedEvents, Elapsed: now.Sub(since), Begun: true, LastEvent: a.splitter.lastID,
	})
	a.firstReport, a.unreportedEvents, a.lastReport = false, 0, now
}

// recordEventTimes updates firstEvent and longestPause with a read that completed
// events.
func (a *attempt) recordEventTimes(now time.Time) {
	if a.lastRead.IsZero() {
		a.firstEvent = now.Sub(a.start)
	} else {
		a.longestPause = max(a.longestPause, now.Sub(a.lastRead))
	}
	a.lastRead = now
}
