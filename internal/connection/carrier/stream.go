package carrier

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// relayStream relays an event stream in whole events. An event stream that ends inside
// an event is incomplete, also if the framing of the response is not.
func (c *Conn) relayStream(a *attempt, resp *http.Response) Report {
	if c.streamBuffer == nil {
		c.streamBuffer = make([]byte, bodyReadBytes)
	}
	a.opaque = !isEventStream(resp)
	if !a.opaque && a.call.Head.Method != http.MethodHead {
		// Events that another upstream goes on with may be of another length.
		resp.Header.Del("Content-Length")
	}
	if err := c.setReadDeadline(a); err != nil {
		return c.classifyError(a, err)
	}
	for {
		size := max(minStreamReadBytes, bodyReadBytes-len(a.splitter.partial))
		n, err := resp.Body.Read(c.streamBuffer[:size])
		whole, events, ok := a.splitter.split(c.streamBuffer[:n])
		if broken := a.checkEvents(whole, ok); broken != nil {
			return a.newReport(OutcomeLost, broken)
		}
		cutOff := hasContent(a.splitter.partial) && (isCloseDelimited(resp) || !a.opaque)
		ended := errors.Is(err, io.EOF) && !cutOff
		if ended {
			// The rest is no part of an event: comments, empty lines or the end of a
			// response of another type.
			whole = append(whole, a.splitter.partial...)
		}
		if len(whole) > 0 && a.isWorthRelaying(resp, events, ended) && (!a.relayHead(resp) || !a.relayBody(whole)) {
			return a.newReport(OutcomeCancelled, nil)
		}
		a.lastEvent = a.splitter.lastID
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

// checkEvents returns an error if a stream must not go on after the whole events of a read.
// With fits, the incomplete event after them is not too large.
func (a *attempt) checkEvents(whole []byte, fits bool) error {
	switch {
	case !fits:
		return errors.Errorf("an event exceeds %d bytes", maxEventBytes)
	case !a.hold(len(whole) + a.splitter.held()):
		return errors.Wrapf(errNoMemory, "hold %d bytes of events", len(whole)+len(a.splitter.partial))
	case a.call.LastEvent != "" && a.splitter.unnumbered:
		return errors.New("an event of the resumed stream has no ID")
	}
	return nil
}

// endStream returns the report of a stream whose last read returned err. With cutOff,
// it ended within an event.
func (c *Conn) endStream(a *attempt, resp *http.Response, err error, cutOff bool) Report {
	switch {
	case errors.Is(err, io.EOF) && cutOff && isCloseDelimited(resp):
		return c.classifyError(a, errors.Wrap(io.ErrUnexpectedEOF, "the stream ends within an event"))
	case errors.Is(err, io.EOF) && cutOff:
		return c.classifyError(a, errors.New("the framed stream ends within an event"))
	case !errors.Is(err, io.EOF):
		return c.classifyError(a, errors.Wrap(err, "read the stream"))
	}
	if err := c.confirmEnd(a, resp); err != nil {
		return c.classifyError(a, err)
	}
	switch {
	case a.isEmptyContinuation() && !a.call.EndIfEmpty:
		// One upstream may be wrong about the end of a stream that broke off at another.
		return c.newEmptyReport(a, resp, errors.New("the answer holds no event after the last one of the stream"))
	case a.contested && a.endsBeforeEvent(resp):
		return c.classifyError(a, errors.Wrap(io.ErrUnexpectedEOF, "the stream ends before its first event"))
	case a.call.Begun && a.call.Framed && isCloseDelimited(resp):
		// The upstream is there, but may have given up this answer between two events.
		return c.newEmptyReport(a, resp, errors.New("only the end of a connection marks the end of the framed stream"))
	case !a.relayHead(resp):
		return a.newReport(OutcomeCancelled, nil)
	}
	return c.relayEnd(a, resp)
}

// newEmptyReport returns the report of a response that has ended, and after which another
// upstream is to say whether an event is left.
func (c *Conn) newEmptyReport(a *attempt, resp *http.Response, err error) Report {
	r := a.newReport(OutcomeFailed, err)
	r.Status, r.Empty = resp.StatusCode, resp.StatusCode == http.StatusOK
	c.setReusable(a, &r, resp, nil)
	return r
}

// reportProgress counts events of a stream. It reports the first ones immediately
// and later ones at most once per progressInterval.
func (c *Conn) reportProgress(a *attempt, events int) {
	now := c.options.Clock.Now()
	if events > 0 {
		a.recordEventTimes(now)
	}
	a.unreportedEvents += events
	a.relayedEvents += events
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
		Events: a.unreportedEvents, Elapsed: now.Sub(since), Begun: true, LastEvent: a.lastEvent,
		Framing: a.framing, RelayedEvents: a.relayedEvents,
	})
	a.firstReport, a.unreportedEvents, a.lastReport = false, 0, now
}

// isWorthRelaying reports whether a read that returned events shows that the attempt
// should answer: comments alone are no sign of that as long as another attempt may answer,
// nor is the end of a response without an event, unless its framing says that it ended. Of
// a response that is no event stream nothing may be left out.
func (a *attempt) isWorthRelaying(resp *http.Response, events int, ended bool) bool {
	return !a.contested || a.opaque || events > 0 || ended && !a.isEmptyContinuation() && !a.endsBeforeEvent(resp)
}

// endsBeforeEvent reports whether an event stream without an event has no end but that of
// its connection, which may be that of its upstream as well.
func (a *attempt) endsBeforeEvent(resp *http.Response) bool {
	return !a.opaque && a.lastRead.IsZero() && isCloseDelimited(resp)
}

// isEmptyContinuation reports whether the call resumes a stream and has had no event.
func (a *attempt) isEmptyContinuation() bool { return a.call.Begun && a.lastRead.IsZero() }

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
