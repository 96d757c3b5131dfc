package carrier

import (
	"net"
	"net/http"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

// attempt is the state of a call in progress.
type attempt struct {
	conn     *Conn
	call     Call
	start    time.Time
	splitter splitter
	// lastEvent is the ID of the last event that was relayed, in this attempt or an
	// earlier one.
	lastEvent string
	begun     bool
	// opaque is true if the caller has a part of a response that is no event stream.
	opaque bool
	// contested is true while another attempt may relay to the caller.
	contested bool
	// framing is that of the response, and relayedEvents the number of its events that
	// were relayed.
	framing       Framing
	relayedEvents int
	// unreportedEvents is the number of events since the last progress report,
	// which was sent at lastReport.
	unreportedEvents int
	lastReport       time.Time
	firstReport      bool
	// lastRead is the time of the last read that completed events.
	lastRead     time.Time
	firstEvent   time.Duration
	longestPause time.Duration
	// unsent is the rest of the request, and sent the number of bytes before it.
	unsent net.Buffers
	sent   int
	// reserved is the number of bytes that are reserved for the call in the account of
	// its replies, beyond its share.
	reserved int
	// headBytes is what the head takes beyond headShareBytes.
	headBytes int
	// skipped is true if a mismatched response was skipped.
	skipped bool
	// replaced is true if the connection of the response has ended and a new one has taken
	// its place.
	replaced bool
	// keepAliveTimeout is the timeout in the Keep-Alive header of the response.
	keepAliveTimeout time.Duration
}

// newReport returns the report of a call that ended with the outcome o.
func (a *attempt) newReport(o Outcome, err error) Report {
	return Report{
		Outcome: o, Err: err, Begun: a.begun, LastEvent: a.lastEvent, Unresumable: a.isUnresumable(),
		Events: a.unreportedEvents, FirstEvent: a.firstEvent, LongestPause: a.longestPause,
		Framing: a.framing, RelayedEvents: a.relayedEvents,
	}
}

// isUnresumable reports whether no other response can continue the part that was
// relayed.
func (a *attempt) isUnresumable() bool { return a.begun && (a.opaque || a.splitter.unnumbered) }

// interimReport returns a report of a call that has not ended.
func (a *attempt) interimReport() Report {
	return Report{
		Conn: a.conn, Request: a.call.Request, Attempt: a.call.Attempt,
		Begun: a.begun, LastEvent: a.lastEvent, Unresumable: a.isUnresumable(),
		Framing: a.framing, RelayedEvents: a.relayedEvents, Written: a.requestWritten(),
	}
}

// hold reserves what the call must hold for n bytes of a response besides its head. It
// reports false if that does not fit into the budget of the process.
func (a *attempt) hold(n int) bool {
	more := max(0, n-reserver.ShareBytes) + a.headBytes - a.reserved
	if !a.call.Replies.Account.Reserve(more) {
		return false
	}
	a.reserved += max(0, more)
	return true
}

// holdHead does the same for a head that takes n bytes.
func (a *attempt) holdHead(n int) bool {
	a.headBytes = max(0, n-headShareBytes)
	return a.hold(0)
}

// release gives back what the call has reserved.
func (a *attempt) release() {
	a.call.Replies.Account.Release(a.reserved)
	a.reserved = 0
}

// reserveFor returns r with what is reserved for the bytes of the response, which the
// call no longer has then. The head of a response in parts is held as long as the call.
func (a *attempt) reserveFor(r relayer.Reply) relayer.Reply {
	kept := a.headBytes
	if r.Kind == relayer.KindComplete {
		kept = 0
	}
	r.Reserved = max(0, a.reserved-kept)
	a.reserved -= r.Reserved
	return r
}

// relay puts a reply on the ring. It reports false if the call was cancelled: another
// attempt may then be relaying.
func (a *attempt) relay(r relayer.Reply) bool {
	ok := a.call.Context.Err() == nil && a.awaitPermit() && a.call.Replies.Put(a.call.Context, r)
	if !ok {
		a.call.Replies.Account.Release(r.Reserved)
	}
	return ok
}

// awaitPermit waits until a contested call may relay. It reports false if the call was
// cancelled. The owner of the connection does one or the other in any case, so the wait
// does not end with the deadline.
func (a *attempt) awaitPermit() bool {
	if !a.contested {
		return true
	}
	r := a.interimReport()
	r.Ready = true
	a.conn.options.Report(r)
	_, ok := a.conn.permits.Take(a.call.Context)
	a.contested = !ok
	return ok
}

// relayHead relays the head of a response unless the caller has received one, in
// this attempt or an earlier one. It reports false if the call was cancelled.
func (a *attempt) relayHead(resp *http.Response) bool {
	if a.begun {
		return true
	}
	a.begun = a.relay(relayer.Reply{
		Kind: relayer.KindHead, Status: resp.StatusCode, Header: resp.Header, CloseDelimited: isCloseDelimited(resp),
	})
	return a.begun
}

// relayBody relays a part of the body. It reports false if the call was
// cancelled.
func (a *attempt) relayBody(b []byte) bool {
	return a.relay(a.reserveFor(relayer.Reply{Kind: relayer.KindBody, Bytes: b}))
}
