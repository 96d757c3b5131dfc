package carrier

import (
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

// attempt is the state of a call in progress.
type attempt struct {
	call     Call
	start    time.Time
	splitter splitter
	begun    bool
	// opaque is true if the caller has a part of a response that is no event stream.
	opaque bool
	// suspended is true from the report of a silence until the call is resumed.
	suspended bool
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

// readBody reads from the body of a response. If the call has ended while it was
// suspended, it drops the bytes that were read before, since another attempt may have
// relayed them.
func (a *attempt) readBody(resp *http.Response, b []byte) (int, error) {
	n, err := resp.Body.Read(b)
	if a.suspended {
		return 0, errors.Wrap(os.ErrDeadlineExceeded, "wait for the upstream")
	}
	return n, err
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

// relay puts a reply on the ring. It reports false if the call was cancelled: another
// attempt may then be relaying.
func (a *attempt) relay(r relayer.Reply) bool {
	return a.call.Context.Err() == nil && a.call.Replies.Put(a.call.Context, r)
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
