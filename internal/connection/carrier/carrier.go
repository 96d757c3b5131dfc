// Package carrier is an HTTP/1.1 client for one connection to an upstream.
//
// A [Conn] runs a goroutine until it is closed. The goroutine takes one [Call] at
// a time from its ring, dials if it has not connected before, writes the request, reads the
// response and puts it on the ring Call.Replies. It then reports the outcome of
// the call to the owner of the connection, which reuses or closes the connection.
//
// The client of net/http is not used, because it retries some requests by itself
// when a keep-alive connection has died. Here a request is written at most once.
// The [Report] states whether any byte was sent, whether the upstream said that
// it did not run the request, and which part of the response the caller has.
//
// A response is used only if Call.Classify accepts it. Upstreams may send a
// response that belongs to an earlier request; it is skipped, and the connection
// is not reused. Error responses, and responses that are not streamed, are
// buffered completely before any part is relayed, so that another upstream can be
// tried while the caller has received nothing.
//
// # Usage
//
//	c := carrier.New(carrier.Options{Address: "10.0.0.7:8080", Clock: clock, Report: report})
//	c.Send(call)
//	c.Close()
package carrier

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/prober"
	"magnoliafront.dev/magnoliafront/internal/process/collector"
	"magnoliafront.dev/magnoliafront/internal/process/recoverer"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// readBufferBytes is the size of the read buffer of a connection. It holds the
	// head and some events of a typical response.
	readBufferBytes = 4 << 10
	// progressInterval is the minimum time between two progress reports of a
	// stream.
	progressInterval = 200 * time.Millisecond
	// maxRefusedIdentities is the number of refused requests after which a connection
	// is not reused, which bounds its memory of them.
	maxRefusedIdentities = 32
)

// Verdict is the classification of a response by its head.
type Verdict int

// The verdicts.
const (
	// VerdictAccepted means that the response belongs to the request and is
	// relayed.
	VerdictAccepted Verdict = iota
	// VerdictRefused means that the upstream did not run the request, according
	// to its response.
	VerdictRefused
	// VerdictMismatched means that the response belongs to another request.
	VerdictMismatched
	// VerdictInvalid means that the response is corrupted.
	VerdictInvalid
)

// Call is one attempt at a request.
type Call struct {
	// Request and Attempt are copied to the reports of the call.
	Request string
	Attempt int
	// Context is cancelled to abort the call. The connection is then closed.
	Context context.Context
	// Head is the request line and the header to write.
	Head *http.Request
	// Body is the body, which is not copied. It may be nil.
	Body *collector.Body
	// DialTimeout is the maximum time for establishing a connection.
	DialTimeout time.Duration
	// Deadline is the time at which the call ends. IdleTimeout is the time without
	// progress after which the upstream is reported as silent; see [Report]. Zero means
	// that it never is.
	Deadline    time.Time
	IdleTimeout time.Duration
	// Contested is true if another attempt at the request has not ended. The call then
	// reports when the request was written, and asks before it relays; see [Report].
	Contested bool
	// Stream is true if the response is relayed event by event. Begun is true if
	// the caller has received the head and the events up to LastEvent in an
	// earlier attempt.
	Stream    bool
	Begun     bool
	LastEvent string
	// Framed is true if the caller has the head of a response whose framing marks its end.
	// A response whose end is marked only by that of its connection cannot end it.
	Framed bool
	// EndIfEmpty is true if another upstream had no event after LastEvent. If this one has
	// none either, the stream was whole.
	EndIfEmpty bool
	// Classify classifies a response by its head. It must not read the body.
	Classify func(*http.Response) Verdict
	// DecodeNotice returns what the head of a response says about its upstream. It
	// must not read the body. It may be nil.
	DecodeNotice func(*http.Response) Notice
	// Replies receives the response for the caller.
	Replies *relayer.Ring
}

// Outcome is the result of a call.
type Outcome int

// The outcomes.
const (
	// OutcomeAnswered means that the whole response was relayed.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that the upstream returned an error response, or a
	// response that does not continue or cannot end the stream that the call resumes. An
	// error response was not relayed and is in Report.ErrorResponse, unless it was too
	// large to buffer.
	OutcomeFailed
	// OutcomeRefused means that the upstream did not run the request.
	OutcomeRefused
	// OutcomeNotSent means that no byte of the request was sent.
	OutcomeNotSent
	// OutcomeStale means that no byte of the request was sent, since the
	// keep-alive connection was no longer usable, or not for a request of this
	// identity. The call needs another [Conn].
	OutcomeStale
	// OutcomeLost means that the request was sent and no complete response was
	// received.
	OutcomeLost
	// OutcomeExpired means that the deadline of the call was exceeded.
	OutcomeExpired
	// OutcomeCancelled means that the call was aborted.
	OutcomeCancelled
)

// Report is the progress or the result of a call.
type Report struct {
	Conn    *Conn
	Request string
	Attempt int
	// Ended is false in a progress report. Events is the number of events since
	// the last progress report. In a progress report, Elapsed is the time in which
	// they arrived; in the last report it is the duration of the call, set only if
	// the whole response was buffered. First is true for the first progress report,
	// whose Elapsed is the time from the start of the call to the first event.
	Ended   bool
	First   bool
	Events  int
	Elapsed time.Duration
	// Silent is true if the upstream has made no progress for Call.IdleTimeout. The
	// call goes on, but is contested from then on. The report is repeated after each
	// further IdleTimeout without progress. Ended is false.
	Silent bool
	// Sent is true once the request of a contested call was written. Ended is false.
	Sent bool
	// Ready is true if a contested call has a part of its response, other than an error,
	// for the caller. It relays nothing until [Conn.PermitRelay] and is then no longer
	// contested, or until its context is cancelled. Ended is false.
	Ready bool
	// Unconfirmed is true if a response has ended that only the end of its connection
	// marks, and the upstream accepts no other connection, as Err says. The call waits for
	// [Conn.Confirm]. Ended is false.
	Unconfirmed bool

	Outcome Outcome
	// Status is the HTTP status of the response, if there was one. It is zero for
	// some outcomes without a complete response.
	Status int
	// Begun is true if the head of the response was relayed. LastEvent is the ID
	// of the last event that was relayed. Unresumable is true if no other response can
	// continue the part that was relayed: an event had no ID, or it is no event stream.
	Begun       bool
	LastEvent   string
	Unresumable bool
	// Framing is that of the response. RelayedEvents is the number of events of the
	// response that were relayed since the start of the call.
	Framing       Framing
	RelayedEvents int
	// Written is true if the whole request has been written. It is set in progress reports.
	Written bool
	// FirstEvent is the time from the start of the call to the first event of a
	// stream. LongestPause is the longest time between two later reads that
	// completed events. Both are zero if there were none.
	FirstEvent   time.Duration
	LongestPause time.Duration
	// ErrorResponse is set for OutcomeFailed.
	ErrorResponse relayer.Reply
	// Empty is true if the response to a call that resumes a stream has ended and has no
	// event after LastEvent, which another upstream is to confirm: it has none at all, or
	// it cannot end the response that the caller has; see Call.Framed. The outcome is
	// OutcomeFailed.
	Empty bool
	// ClosedByPeer is true if the upstream closed or reset the connection.
	ClosedByPeer bool
	Err          error
	// Reusable is true if the connection can carry another call. Replaced is true if it is
	// a new one, since that of the response has ended. KeepAliveTimeout
	// is the time for which the upstream keeps it open while it is idle, zero if
	// the response did not specify it.
	Reusable         bool
	Replaced         bool
	KeepAliveTimeout time.Duration
}

// Options configures a connection.
type Options struct {
	// Address is the IP address and port of the upstream.
	Address string
	Clock   timer.Clock
	// Dial connects to Address. If it is nil, the connection is one of [Dialer].
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Report is called on the goroutine of the connection with the progress and
	// the result of each call.
	Report func(Report)
	// ReportNotice is called on the goroutine of the connection with each notice in a
	// response during the call of the given request, before any report that follows
	// from the response. It may be nil if no call has DecodeNotice.
	ReportNotice func(request string, n Notice)
	// Recoverer handles a panic during a call. It may be nil.
	Recoverer *recoverer.Recoverer
}

// Conn is a connection to an upstream.
type Conn struct {
	// Socket is the network connection for other goroutines, which ask only for its state.
	Socket  prober.Socket
	options Options
	calls   *buffer.Ring[Call, buffer.Reject]
	permits *buffer.Ring[struct{}, buffer.Reject]
	// confirmations tell the call what other connections show of the upstream.
	confirmations *buffer.Ring[prober.Verdict, buffer.Reject]

	// The fields below are used only by the goroutine of the connection.
	conn     net.Conn
	received *limitedConn
	reader   *bufio.Reader
	// used is true once a dial has succeeded. It stays true after the network
	// connection is closed, since the Conn then does not dial again.
	used         bool
	streamBuffer []byte
	// refused holds the identities of the requests that the upstream has refused on
	// this connection. It may repeat these refusals at any time.
	refused map[string]struct{}
}

// New returns a connection, which dials on its first call.
func New(o Options) *Conn {
	c := &Conn{
		options: o,
		calls:   buffer.New[Call, buffer.Reject]("carrier_calls", 1),
		permits: buffer.New[struct{}, buffer.Reject]("carrier_permits", 1),

		confirmations: buffer.New[prober.Verdict, buffer.Reject]("carrier_confirmations", 1),
	}
	go func() {
		for {
			select {
			case call := <-c.calls.C():
				r := c.runCall(call)
				r.Conn, r.Request, r.Attempt, r.Ended = c, call.Request, call.Attempt, true
				if !r.Reusable {
					c.closeConn()
				}
				o.Report(r)
			case <-c.calls.Done():
				c.closeConn()
				return
			}
		}
	}()
	return c
}

// Send starts a call. It returns false if the connection is closed. It must not be
// called again before the report with Ended set for the previous call.
func (c *Conn) Send(call Call) bool { return c.calls.Put(context.Background(), call) }

// PermitRelay lets a contested call relay its response. It must be called at most once
// after each report with Ready set.
func (c *Conn) PermitRelay() { c.permits.Put(context.Background(), struct{}{}) }

// Close closes the connection after the current call has ended.
func (c *Conn) Close() { c.calls.Close() }

// closeConn closes the network connection, if there is one. A further call then
// ends with [OutcomeStale].
func (c *Conn) closeConn() {
	if c.conn != nil {
		c.Socket.Set(nil)
		_ = c.conn.Close()
		c.conn = nil
	}
}
