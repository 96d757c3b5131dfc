// Package prober finds out whether an upstream is still there after it has ended a
// connection.
//
// When a process ends, its kernel closes its connections in the same orderly way as the
// process would. An answer that states neither a length nor chunks ends with its
// connection, so that one that was cut off by the end of its upstream can look whole. What
// differs is the rest of the process: its listener ends as well. [Probe] connects to the
// address again. Who calls the upstream needs a new connection for its next request
// anyway, and can use this one.
//
// The listener may end after the connections, and the kernel then still accepts for a moment.
// Some of the connections that it accepts while the listener ends are never reset, and look
// open without a peer. [Probe] therefore waits before it connects.
//
// A refused connection means that nobody listens there any more: the upstream has ended,
// or has begun a planned stop, in which many servers close their listener first and finish
// their answers then. One that is accepted and closed at once means that the connections
// of the upstream are used up, or that something in front of it accepts in its place. What
// tells these apart are the other connections to the same upstream; see [Judge].
//
// A connection that has fallen silent, or whose end was lost on the way, looks open. It
// counts only once data has arrived on it since, or once it has outlived the keep-alive of
// connections to other VMs; see [Looks].
//
// An upstream that lives and has given up one answer looks like one that has finished it.
//
// # Usage
//
//	var s prober.Socket
//	s.Set(conn)
//	// the upstream ends conn at the end of an answer
//	next, err := s.Confirm(ctx, prober.Inquiry{Clock: clock, Dial: dial, Ask: ask, Deadline: deadline})
//	if err != nil {
//		// the answer was cut off
//	}
//
// The owner of all connections to the upstream is asked:
//
//	var e prober.Evidence
//	e.Add(&s, &other)
//	verdict := prober.Judge(e)
package prober

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// Evidence is what is known of an upstream that has ended a connection.
type Evidence struct {
	// Accepts is true if it has accepted another connection and keeps that open.
	Accepts bool
	// Open and Ended count the other connections on which it is answering requests: those
	// that are open, and those that it has ended at about the same time. Active is the
	// number of the open ones on which data has arrived since the first look.
	Open, Active, Ended int
}

// Verdict is what is known of an upstream.
type Verdict int

// The verdicts.
const (
	// Undecided means that open connections may be silent ones.
	Undecided Verdict = iota
	// There means that the process of the upstream is still there.
	There
	// Gone means that it has ended.
	Gone
)

// String returns the name of v in log lines.
func (v Verdict) String() string { return [...]string{"undecided", "there", "gone"}[v] }

// Judge decides whether the process of an upstream is still there. One that does not
// accept connections is if it goes on with most of the others: a process that ends, ends
// all of them. The last answer of a planned stop looks like one that was cut off.
func Judge(e Evidence) Verdict {
	switch {
	case e.Accepts || e.Active > e.Ended:
		return There
	case e.Open <= e.Ended:
		return Gone
	}
	return Undecided
}

// Add adds what the connection other shows after the end of the connection s. All calls with
// the same s must come from the same goroutine.
func (e *Evidence) Add(s, other *Socket) {
	switch {
	case other.isOpen():
		e.Open++
		if s.seesDataOn(other) {
			e.Active++
		}
	case other.hasEndedWith(s):
		e.Ended++
	}
}

const (
	// maxDials is the maximum number of connections that a probe tries to establish.
	maxDials = 3
	// closeSkew bounds the time in which a process that ends closes its sockets, one after
	// the other. It takes much less, unless other processes run in between, such as those
	// that the first closed connections wake. A connection that the listener had not
	// accepted is reset then, or stays without a peer.
	closeSkew = 50 * time.Millisecond
	// refusalWait is the time in which an upstream whose connections are used up closes a new
	// one.
	refusalWait = 10 * time.Millisecond
	// firstLook is the time after which most connections of a process that ends are closed.
	firstLook = 5 * time.Millisecond
	// retransmissionLook is the time after which a lost end has been sent once more, and
	// longLook one after which it has been sent several times.
	retransmissionLook = 250 * time.Millisecond
	longLook           = time.Second
	// lastLook is the time after which the keep-alive of an entry, which takes 3 s, has
	// ended a connection that was silent.
	lastLook = 3200 * time.Millisecond
)

// errClosesConnections is the error of a probe of an upstream, or of something in front of
// it, that is there and keeps no connection open.
var errClosesConnections = errors.New("the upstream accepts connections and closes them")

// Looks are the times after a failed probe at which the other connections of an upstream
// should be looked at. Those of a process that ends may be open for a moment, so that no look
// before closeSkew shows that it is there. Any of them may show that it is not. If no
// connection can be silent, brief is true, and the looks end with closeSkew.
func Looks(brief bool) []time.Duration {
	all := []time.Duration{firstLook, closeSkew, retransmissionLook, longLook, lastLook}
	if brief {
		return all[:2]
	}
	return all
}

// Dial connects to an upstream. It bounds the time of one try.
type Dial func(context.Context) (net.Conn, error)

// Probe connects with dial after closeSkew. It returns the connection, or an error if the
// upstream does not accept one or does not keep it open.
func Probe(ctx context.Context, dial Dial, c timer.Clock) (net.Conn, error) {
	sleepUntil(ctx, c, c.Now().Add(closeSkew))
	last := ctx.Err()
	if last != nil {
		return nil, last
	}
	for range maxDials {
		conn, err := dial(ctx)
		if err == nil && staysOpen(conn, c) {
			return conn, nil
		}
		if err == nil {
			_ = conn.Close()
			err = errClosesConnections
		}
		last = err
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			break
		}
	}
	return nil, last
}

// staysOpen reports whether the peer keeps a new connection open for refusalWait and sends
// nothing.
func staysOpen(conn net.Conn, c timer.Clock) bool {
	if conn.SetReadDeadline(c.Now().Add(refusalWait)) != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded) && conn.SetReadDeadline(time.Time{}) == nil
}
