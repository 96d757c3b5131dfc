package carrier

import (
	"net/http"
	"time"

	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

// attempt is the state of a call in progress.
type attempt struct {
	conn     *Conn
	call     Call
	start    time.Time
	splitter splitter
	begun    bool
	// opaque is true if the caller has a part of a response that is no event stream.
	opaque bool
	// contested is true while another attempt may relay to the caller.
	contested bool
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
	unsent []byte
	sent   int
	// skipped is true if a mismatched response was skipped.
	skipped bool
	// keepAliveTimeout is the timeout in the Keep-Alive header of the response.
	keepAliveTimeout time.Duration
}

// newReport returns the report of a call that ended with the outcome o.
func (a *attempt) newReport(o Outcome, err error) Report {
	return Report{
		Outcome: o, Err: err, Begun: a.begun, LastEvent: a.splitter.lastID, Unresumable: a.isUnresumable(),
		Events: a.unreportedEvents, FirstEvent: a.firstEvent, LongestPause: a.longestPause,
	}
}

// isUnresumable reports whether no other response can continue the part that was
// relayed.
func (a *attempt) isUnresumable() bool { return a.begun && (a.opaque || a.splitter.unnumbered) }

// interimReport returns a report of a call that has not ended.
func (a *attempt) interimReport() Report {
	return Report{
		Conn: a.conn, Request: a.call.Request, Attempt: a.call.Attempt,
		Begun: a.begun, LastEvent: a.splitter.lastID, Unresumable: a.isUnresumable(),
	}
}

// relay puts a reply on the ring. It reports false if the call was cancelled: another
// attempt may then be relaying.
func (a *attempt) relay(r relayer.Reply) bool {
	return a.call.Context.Err() == nil && a.awaitPermit() && a.call.Replies.Put(a.call.Context, r)
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
	return a.relay(relayer.Reply{Kind: relayer.KindBody, Bytes: b})
}
