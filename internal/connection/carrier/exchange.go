package carrier

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

const (
	// maxBufferedBytes is the maximum size of a response body that is buffered
	// completely before it is relayed. A larger one is relayed as it arrives. The
	// budget of the process may end the buffering earlier.
	maxBufferedBytes = 128 << 10
	// earlyResponseTimeout is the time for which a response is awaited after
	// writing the request has failed.
	earlyResponseTimeout = 100 * time.Millisecond
	// bodyReadBytes is the maximum size of one read of a response body that is relayed in
	// parts, and so of a part that waits without a reservation.
	bodyReadBytes = reserver.ShareBytes
	// minStreamReadBytes is the size of a read of a stream beside a large incomplete event.
	// Events smaller than bodyReadBytes less this size need no reservation.
	minStreamReadBytes = 1 << 10
)

// runCall performs a call. It dials if no earlier call has connected.
func (c *Conn) runCall(call Call) Report {
	if call.Context.Err() != nil {
		return Report{Outcome: OutcomeCancelled, Begun: call.Begun, LastEvent: call.LastEvent, Reusable: c.conn != nil}
	}
	a := &attempt{conn: c, call: call, start: c.options.Clock.Now(), begun: call.Begun, contested: call.Contested, firstReport: true}
	defer a.release()
	a.splitter.lastID, a.lastEvent = call.LastEvent, call.LastEvent
	if !c.options.Clock.Now().Before(call.Deadline) {
		return a.newReport(OutcomeExpired, nil)
	}
	if c.used && !c.alive() {
		return a.newReport(OutcomeStale, errors.Errorf("the keep-alive connection to %s has ended", c.options.Address))
	}
	if _, ok := c.refused[call.Request]; ok {
		return a.newReport(OutcomeStale, errors.Errorf("the connection to %s has carried a refusal of the request", c.options.Address))
	}
	if c.conn == nil {
		if err := c.dial(call); err != nil {
			return a.newReport(dialOutcome(call, err), err)
		}
	}
	c.used = true
	stop := context.AfterFunc(call.Context, func(conn net.Conn) func() {
		// A deadline in the past unblocks the goroutine of the connection, which
		// then closes it.
		return func() { _ = conn.SetDeadline(time.Unix(1, 0)) }
	}(c.conn))
	var r Report
	if err := c.options.Recoverer.Run("call of an upstream", func() { r = c.roundTrip(a) }); err != nil {
		// The request may have been sent, and the caller may have got a part of the
		// answer.
		r = a.newReport(OutcomeLost, err)
	}
	if !stop() {
		// The function has started and sets the deadline in the past, so the
		// connection cannot be reused.
		r.Reusable = false
	}
	if call.Context.Err() != nil && r.Outcome != OutcomeAnswered && r.Outcome != OutcomeFailed {
		r.Outcome = OutcomeCancelled
	}
	return r
}

// roundTrip writes the request and reads the response.
func (c *Conn) roundTrip(a *attempt) Report {
	// The deadline may have passed before the first read, and the answer have arrived.
	c.received.lateBytes = maxLateBytes
	err := c.writeRequest(a)
	if err != nil && a.sent == 0 {
		return a.newReport(OutcomeNotSent, err)
	}
	if err != nil {
		// An upstream that rejects a request before it has read all of it may
		// have sent a response.
		a.call.Deadline = earlier(a.call.Deadline, c.options.Clock.Now().Add(earlyResponseTimeout))
	}
	if a.contested {
		sent := a.interimReport()
		sent.Sent = true
		c.options.Report(sent)
	}
	c.received.onTimeout = func() bool { return c.reportSilence(a) }
	defer func() { c.received.onTimeout = nil }()
	// The body isn't closed: when the call ends, the body has been read to its end
	// or the connection is closed.
	resp, verdict, err := c.readHead(a) //nolint:bodyclose // see above
	if err != nil {
		return c.classifyError(a, err)
	}
	switch verdict {
	case VerdictRefused:
		return c.discardRefusal(a, resp)
	case VerdictAccepted:
	default:
		r := a.newReport(OutcomeLost, errors.Errorf("the response with status %d is corrupted", resp.StatusCode))
		r.Status = resp.StatusCode
		return r
	}
	if a.call.Stream && resp.StatusCode/100 == 2 && (!a.begun || isEventStream(resp)) {
		return c.relayStream(a, resp)
	}
	return c.relayComplete(a, resp)
}

// setReadDeadline sets the deadline for the next read from the deadline and the
// idle timeout of the call.
func (c *Conn) setReadDeadline(a *attempt) error {
	until, now := a.call.Deadline, c.options.Clock.Now()
	if a.call.IdleTimeout > 0 {
		until = earlier(until, now.Add(a.call.IdleTimeout))
	}
	if now.Before(a.call.Deadline) {
		c.received.lateBytes = maxLateBytes
	}
	if err := c.conn.SetReadDeadline(until); err != nil {
		return errors.Wrap(err, "set the read deadline")
	}
	if err := a.call.Context.Err(); err != nil {
		// SetReadDeadline may have overwritten the deadline that the cancellation of
		// the call had set.
		return err
	}
	return nil
}

// reportSilence is called when a read has reached its deadline. If this is due to the idle
// timeout, it reports the silence of the upstream, and the call is contested from then on.
// It reports whether the read continues.
func (c *Conn) reportSilence(a *attempt) bool {
	if a.call.Context.Err() != nil || !c.options.Clock.Now().Before(a.call.Deadline) {
		return false
	}
	a.contested = true
	silent := a.interimReport()
	silent.Silent = true
	c.options.Report(silent)
	return c.setReadDeadline(a) == nil
}

// discardRefusal reads the rest of a response that says that the request was not
// run, so that the connection can be reused.
func (c *Conn) discardRefusal(a *attempt, resp *http.Response) Report {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes+1))
	if n > maxBufferedBytes {
		err = errors.Errorf("the body of the refusal exceeds %d bytes", maxBufferedBytes)
	}
	r := a.newReport(OutcomeRefused, nil)
	r.Status = resp.StatusCode
	c.setReusable(a, &r, resp, err)
	if c.refused == nil {
		c.refused = map[string]struct{}{}
	}
	c.refused[a.call.Request] = struct{}{}
	r.Reusable = r.Reusable && len(c.refused) < maxRefusedIdentities
	return r
}

// bufferBody reads a body up to maxBufferedBytes. It reports whether that is the whole
// body: less is returned as well when the budget of the process is used up. Each byte is
// progress; a trickle of bytes ends at the deadline of the call.
func (c *Conn) bufferBody(a *attempt, resp *http.Response) (body []byte, whole bool, err error) {
	body = make([]byte, 0, bodyReadBytes)
	for {
		if len(body) == cap(body) {
			size := min(2*cap(body), maxBufferedBytes+1)
			if len(body) > maxBufferedBytes || !a.hold(size) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		if err := c.setReadDeadline(a); err != nil {
			return nil, false, err
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, len(body) <= maxBufferedBytes, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// relayComplete reads the whole response and relays it as one reply. An error
// response is not relayed but returned in the report.
func (c *Conn) relayComplete(a *attempt, resp *http.Response) Report {
	body, whole, err := c.bufferBody(a, resp)
	if err != nil {
		r := c.classifyError(a, errors.Wrap(err, "read the body"))
		r.Status = resp.StatusCode
		return r
	}
	if !whole {
		return c.relayOversized(a, resp, body)
	}
	// The time of the answer tells how busy its upstream is, and not how long a probe takes.
	elapsed := c.options.Clock.Now().Sub(a.start)
	if err := c.confirmEnd(a, resp); err != nil {
		return c.classifyError(a, err)
	}
	reply := a.reserveFor(relayer.Reply{
		Kind: relayer.KindComplete, Status: resp.StatusCode, Header: resp.Header, CloseDelimited: isCloseDelimited(resp), Bytes: body,
	})
	r := a.newReport(OutcomeAnswered, nil)
	r.Status = resp.StatusCode
	r.Elapsed = elapsed
	if resp.StatusCode >= http.StatusInternalServerError || a.begun {
		// A caller that has received a part of a stream cannot get another response.
		r.Outcome, r.ErrorResponse = OutcomeFailed, reply
	} else if !a.relay(reply) {
		r.Outcome = OutcomeCancelled
	}
	c.setReusable(a, &r, resp, nil)
	return r
}

// relayOversized relays a response that is not buffered to its end as it arrives.
func (c *Conn) relayOversized(a *attempt, resp *http.Response, body []byte) Report {
	if a.begun {
		return a.newReport(OutcomeFailed, errors.Errorf("the response with status %d does not continue the stream", resp.StatusCode))
	}
	a.opaque = true
	ok := a.relayHead(resp) && a.relayBody(body)
	for ok {
		if err := c.setReadDeadline(a); err != nil {
			return c.classifyError(a, err)
		}
		b := make([]byte, bodyReadBytes)
		n, err := resp.Body.Read(b)
		ok = n == 0 || a.relayBody(b[:n])
		if errors.Is(err, io.EOF) {
			return c.endOversized(a, resp)
		}
		if err != nil {
			return c.classifyError(a, errors.Wrap(err, "read the body"))
		}
	}
	return a.newReport(OutcomeCancelled, nil)
}

// endOversized ends a response whose last byte was relayed.
func (c *Conn) endOversized(a *attempt, resp *http.Response) Report {
	if err := c.confirmEnd(a, resp); err != nil {
		return c.classifyError(a, err)
	}
	return c.relayEnd(a, resp)
}

// relayEnd marks the end of a response that was relayed in parts, and whose end is
// confirmed.
func (c *Conn) relayEnd(a *attempt, resp *http.Response) Report {
	r := a.newReport(OutcomeAnswered, nil)
	r.Status = resp.StatusCode
	if !a.relay(relayer.Reply{Kind: relayer.KindEnd, CloseDelimited: isCloseDelimited(resp)}) {
		r.Outcome = OutcomeCancelled
	}
	c.setReusable(a, &r, resp, nil)
	return r
}

// classifyError returns the report of a call that failed with err after at least
// a part of the request was sent.
func (c *Conn) classifyError(a *attempt, err error) Report {
	r := a.newReport(OutcomeLost, err)
	switch {
	case a.call.Context.Err() != nil:
		r.Outcome = OutcomeCancelled
	case !errors.Is(err, os.ErrDeadlineExceeded):
		r.ClosedByPeer = isClosedByPeer(err)
	case a.requestWritten():
		r.Outcome = OutcomeExpired
	}
	return r
}

// isClosedByPeer reports whether err means that the upstream closed or reset the
// connection.
func isClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// setReusable sets in the report whether the connection can be reused. Err is the
// error of reading the response to its end.
func (c *Conn) setReusable(a *attempt, r *Report, resp *http.Response, err error) {
	if isCloseDelimited(resp) {
		// The connection of the response has ended. A new one may have taken its place.
		r.Replaced = a.replaced
		r.Reusable = a.replaced && r.Outcome != OutcomeCancelled
	} else {
		r.Reusable = err == nil && a.requestWritten() && !resp.Close && c.reader.Buffered() == 0 && r.Outcome != OutcomeCancelled
	}
	r.KeepAliveTimeout = a.keepAliveTimeout
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
