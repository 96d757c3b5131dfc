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
// A refused connection means that nobody listens there any more: the upstream has ended,
// or has begun a planned stop, in which many servers close their listener first and finish
// their answers then. One that is accepted and closed at once means that the connections
// of the upstream are used up, or that something in front of it accepts in its place. What
// tells these apart are the other connections to the same upstream; see [IsThere].
//
// An upstream that lives and has given up one answer looks like one that has finished it.
//
// # Usage
//
//	conn, err := prober.Probe(ctx, dial, clock)
//	if !prober.IsThere(prober.Evidence{Accepts: err == nil, Open: open, Ended: ended}) {
//		// the answer was cut off
//	}
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
	// that are open, and those that it has ended at about the same time.
	Open, Ended int
	// Finishing is true if it has gone on with answers after it had refused connections.
	Finishing bool
}

// IsThere decides whether the process of an upstream is still there. One that does not
// accept connections is if it has kept most of the others open: a process that ends, ends
// all of them. If it is known to finish its answers, one is enough, and there is none beside
// the last one.
func IsThere(e Evidence) bool {
	if e.Finishing {
		return e.Accepts || e.Open > 0 || e.Ended == 0
	}
	return e.Accepts || e.Open > e.Ended
}

const (
	// maxDials is the maximum number of connections that a probe tries to establish.
	maxDials = 3
	// closeSkew bounds the time in which a process that ends closes its sockets, one after
	// the other. It takes much less, unless other processes run in between, such as those
	// that the first closed connections wake. A connection that the listener had not
	// accepted is reset then.
	closeSkew = 50 * time.Millisecond
	// firstLook is the time after which most connections of a process that ends are closed.
	firstLook = 5 * time.Millisecond
)

// IsFinishing decides whether an upstream finishes its answers in a planned stop: it has
// made progress with one at a time at which a process that ended when it refused a
// connection would have closed all others.
func IsFinishing(refused, progress time.Time) bool {
	return !refused.IsZero() && progress.Sub(refused) > closeSkew
}

// Waits are the times after which the other connections of an upstream that accepts none
// should be looked at. Those of a process that ends may be open for a moment, so that only
// the last look shows that it is there. Any of them may show that it is not.
func Waits() []time.Duration { return []time.Duration{firstLook, closeSkew} }

// Probe connects with dial, which bounds the time of one try. It returns the connection, or
// nil if the upstream does not accept one or does not keep it open.
func Probe(ctx context.Context, dial func(context.Context) (net.Conn, error), c timer.Clock) (net.Conn, error) {
	var last error
	for range maxDials {
		conn, err := dial(ctx)
		if err == nil && staysOpen(conn, c) {
			return conn, nil
		}
		if err == nil {
			_ = conn.Close()
			err = errors.New("the upstream accepts connections and closes them")
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

// staysOpen reports whether the peer keeps a new connection open for closeSkew and sends
// nothing.
func staysOpen(conn net.Conn, c timer.Clock) bool {
	if conn.SetReadDeadline(c.Now().Add(closeSkew)) != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded) && conn.SetReadDeadline(time.Time{}) == nil
}
