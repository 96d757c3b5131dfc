package carrier

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

const (
	// maxHeld is the largest answer in bytes that is held back until it is
	// complete. A larger one is passed on as it comes.
	maxHeld = 1 << 20
	// maxForeign is the number of answers to other requests that are skipped.
	maxForeign = 2
	// writeSlice is the time after which a write that is blocked looks for an
	// early answer.
	writeSlice = 50 * time.Millisecond
	// graceful is the time for which an answer is looked for after the upstream
	// has cut off the request.
	graceful = 100 * time.Millisecond
	// streamRead is the size in bytes of one read of a stream.
	streamRead = 16 << 10
)

// attempt is the state of one call.
type attempt struct {
	call  Call
	start time.Time
	split splitter
	begun bool
	// events and counted are those since the last report.
	events  int
	counted time.Time
	first   bool
	// read is the time of the last read of events.
	read         time.Time
	firstEvent   time.Duration
	longestPause time.Duration
	// wrote is true once the whole request has left.
	wrote bool
	// idleFor is the time for which the upstream keeps the connection.
	idleFor time.Duration
}

func (c *Conn) run(call Call) Report {
	if call.Context.Err() != nil {
		return Report{Outcome: OutcomeCancelled, Begun: call.Begun, LastEvent: call.LastEvent, Reusable: c.conn != nil}
	}
	a := &attempt{call: call, start: c.options.Clock.Now(), begun: call.Begun, first: true}
	a.split.last = call.LastEvent
	if !c.options.Clock.Now().Before(call.Until) {
		return a.ended(OutcomeExpired, nil)
	}
	if c.used && !c.alive() {
		return a.ended(OutcomeStale, errors.New("the kept connection has ended"))
	}
	if c.conn == nil {
		if err := c.dial(call); err != nil {
			return a.ended(notSent(call, err), err)
		}
	}
	c.used = true
	stop := context.AfterFunc(call.Context, func(conn net.Conn) func() {
		// A deadline in the past wakes the duty, which closes the connection.
		return func() { _ = conn.SetDeadline(time.Unix(1, 0)) }
	}(c.conn))
	r := c.exchange(a)
	if !stop() {
		// The deadline was set or is about to be, so the connection cannot be used
		// again.
		r.Reusable = false
	}
	if call.Context.Err() != nil && r.Outcome != OutcomeAnswered && r.Outcome != OutcomeFailed {
		r.Outcome = OutcomeCancelled
	}
	return r
}

// exchange writes the request and reads its answer.
func (c *Conn) exchange(a *attempt) Report {
	n, err := c.write(a)
	if err != nil && n == 0 {
		return a.ended(OutcomeNotSent, err)
	}
	if err != nil {
		// An upstream that refuses a request before it has read all of it may
		// have answered.
		a.call.Until = earlier(a.call.Until, c.options.Clock.Now().Add(graceful))
	}
	// The end of the body is that of the call: the connection is then free for
	// another one or closed.
	resp, verdict, err := c.head(a) //nolint:bodyclose // see above
	if err != nil {
		return c.interrupted(a, err)
	}
	switch verdict {
	case Refused:
		return c.refused(a, resp)
	case Accepted:
	default:
		r := a.ended(OutcomeLost, errors.New("the answer is damaged"))
		r.Status = resp.StatusCode
		return r
	}
	if a.call.Stream && resp.StatusCode/100 == 2 {
		return c.stream(a, resp)
	}
	return c.whole(a, resp)
}

// write writes the request and returns the number of bytes that have left. It
// ends early, without an error, when an answer arrives before the request has
// been written.
func (c *Conn) write(a *attempt) (int, error) {
	var b bytes.Buffer
	b.Grow(len(a.call.Body) + 1024)
	m := a.call.Message
	if len(a.call.Body) > 0 {
		m.Body = io.NopCloser(bytes.NewReader(a.call.Body))
		m.ContentLength = int64(len(a.call.Body))
	}
	if err := m.Write(&b); err != nil {
		return 0, errors.Wrap(err, "encode the request")
	}
	data := b.Bytes()
	written := 0
	for {
		now := c.options.Clock.Now()
		if a.call.Context.Err() != nil || !now.Before(a.call.Until) {
			return written, os.ErrDeadlineExceeded
		}
		_ = c.conn.SetWriteDeadline(earlier(a.call.Until, now.Add(writeSlice)))
		n, err := c.conn.Write(data[written:])
		written += n
		switch {
		case err == nil:
			a.wrote = true
			return written, nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return written, errors.Wrap(err, "write the request")
		case written > 0 && c.readable() != nothing:
			return written, nil
		}
	}
}

// head reads the head of the answer to the call, skipping answers to other
// requests, and judges it.
func (c *Conn) head(a *attempt) (*http.Response, Verdict, error) {
	for skipped := 0; ; {
		if err := c.wait(a); err != nil {
			return nil, Invalid, err
		}
		resp, err := http.ReadResponse(c.reader, a.call.Message)
		if err != nil {
			return nil, Invalid, errors.Wrap(err, "read the answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if verdict := a.call.Judge(resp); verdict != Foreign {
			// Whoever gets the headers owns them, so all that is needed of them here
			// is taken before.
			a.idleFor = keepAlive(resp.Header.Get("Keep-Alive"))
			relayer.StripConnection(resp.Header, nil)
			return resp, verdict, nil
		}
		if skipped++; skipped > maxForeign {
			return nil, Invalid, errors.New("the connection brings answers to other requests")
		}
		// Skipping leaves the connection unfit for another call.
		a.wrote = false
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeld)); err != nil {
			return nil, Invalid, errors.Wrap(err, "skip an answer to another request")
		}
	}
}

// wait sets the deadline for the next read.
func (c *Conn) wait(a *attempt) error {
	until := a.call.Until
	if a.call.Silence > 0 {
		until = earlier(until, c.options.Clock.Now().Add(a.call.Silence))
	}
	if err := c.conn.SetReadDeadline(until); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	if err := a.call.Context.Err(); err != nil {
		// The deadline of a call that was given up has been overwritten.
		return err
	}
	return nil
}

func (c *Conn) refused(a *attempt, resp *http.Response) Report {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxHeld))
	r := a.ended(OutcomeRefused, nil)
	r.Status = resp.StatusCode
	c.reuse(a, &r, resp, err)
	return r
}

// whole reads an answer that is passed on at once.
func (c *Conn) whole(a *attempt, resp *http.Response) Report {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeld+1))
	if err != nil {
		r := c.interrupted(a, errors.Wrap(err, "read the body"))
		r.Status = resp.StatusCode
		return r
	}
	if len(body) > maxHeld {
		return c.pass(a, resp, body)
	}
	reply := relayer.Reply{Kind: relayer.KindWhole, Status: resp.StatusCode, Header: resp.Header, Bytes: body}
	r := a.ended(OutcomeAnswered, nil)
	r.Status = resp.StatusCode
	r.Elapsed = c.options.Clock.Now().Sub(a.start)
	if resp.StatusCode >= http.StatusInternalServerError || a.begun {
		// A caller that has the beginning of a stream cannot get another answer.
		r.Outcome, r.Held = OutcomeFailed, reply
	} else if !a.call.Replies.Put(a.call.Context, reply) {
		r.Outcome = OutcomeCancelled
	}
	c.reuse(a, &r, resp, nil)
	return r
}

// pass passes on an answer that is too large to be held.
func (c *Conn) pass(a *attempt, resp *http.Response, body []byte) Report {
	if a.begun {
		return a.ended(OutcomeFailed, errors.New("the answer does not go on with the stream"))
	}
	ok := a.begin(resp) && a.put(body)
	for ok {
		if err := c.wait(a); err != nil {
			return c.interrupted(a, err)
		}
		b := make([]byte, streamRead)
		n, err := resp.Body.Read(b)
		ok = n == 0 || a.put(b[:n])
		if errors.Is(err, io.EOF) {
			return c.finish(a, resp)
		}
		if err != nil {
			return c.interrupted(a, errors.Wrap(err, "read the body"))
		}
	}
	return a.ended(OutcomeCancelled, nil)
}

// finish ends an answer that was passed on in parts.
func (c *Conn) finish(a *attempt, resp *http.Response) Report {
	r := a.ended(OutcomeAnswered, nil)
	r.Status = resp.StatusCode
	if !a.call.Replies.Put(a.call.Context, relayer.Reply{Kind: relayer.KindEnd}) {
		r.Outcome = OutcomeCancelled
	}
	c.reuse(a, &r, resp, nil)
	return r
}

// interrupted classifies the error that ended a call whose request was sent.
func (c *Conn) interrupted(a *attempt, err error) Report {
	r := a.ended(OutcomeLost, err)
	switch {
	case a.call.Context.Err() != nil:
		r.Outcome = OutcomeCancelled
	case !errors.Is(err, os.ErrDeadlineExceeded):
		r.Reset = cut(err)
	case !c.options.Clock.Now().Before(a.call.Until) && a.wrote:
		r.Outcome = OutcomeExpired
	case a.wrote:
		r.Outcome = OutcomeSilent
	}
	return r
}

// cut reports whether err means that the upstream closed or reset the
// connection.
func cut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// reuse decides whether the connection can carry another call after an answer
// that was read to its end.
func (c *Conn) reuse(a *attempt, r *Report, resp *http.Response, err error) {
	r.Reusable = err == nil && a.wrote && !resp.Close && !unframed(resp) && c.reader.Buffered() == 0 && r.Outcome != OutcomeCancelled
	r.IdleFor = a.idleFor
}

// ended returns the report of a call.
func (a *attempt) ended(o Outcome, err error) Report {
	return Report{Outcome: o, Err: err, Begun: a.begun, LastEvent: a.split.last, Events: a.events, FirstEvent: a.firstEvent, LongestPause: a.longestPause}
}

// begin passes on the head of a stream, once in all attempts.
func (a *attempt) begin(resp *http.Response) bool {
	if a.begun {
		return true
	}
	a.begun = a.call.Replies.Put(a.call.Context, relayer.Reply{
		Kind: relayer.KindHead, Status: resp.StatusCode, Header: resp.Header, Unframed: unframed(resp),
	})
	return a.begun
}

func (a *attempt) put(b []byte) bool {
	return a.call.Replies.Put(a.call.Context, relayer.Reply{Kind: relayer.KindBytes, Bytes: b})
}

func (c *Conn) dial(call Call) error {
	ctx, cancel := context.WithDeadline(call.Context, earlier(call.Until, c.options.Clock.Now().Add(call.DialTimeout)))
	defer cancel()
	conn, err := Dialer().DialContext(ctx, "tcp", c.options.Address)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	c.conn, c.reader = conn, bufio.NewReaderSize(conn, readSize)
	return nil
}

func notSent(call Call, err error) Outcome {
	if call.Context.Err() != nil || errors.Is(err, context.Canceled) {
		return OutcomeCancelled
	}
	return OutcomeNotSent
}

// unframed reports whether the end of an answer is that of the connection.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// keepAlive returns the time in a Keep-Alive header, zero without one.
func keepAlive(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
