package carrier

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/peeker"
	"magnoliafront.dev/magnoliafront/internal/connection/prober"
)

// unconfirmedReason is the reason why an answer counts as cut off that ended with its
// connection.
const unconfirmedReason = "the upstream is not there after an answer without a length or chunks"

// confirmEnd checks whether the end of a response is that of the answer. Only the close of
// the connection marks the end of a close-delimited one, and the connections of an upstream
// that ends are closed as well. It returns an error if the upstream has ended. Otherwise the
// connection to the upstream is a new one, if the upstream accepts one.
func (c *Conn) confirmEnd(a *attempt, resp *http.Response) error {
	if !isCloseDelimited(resp) || resp.Request.Method == http.MethodHead {
		return nil
	}
	c.confirming.Store(true)
	defer c.confirming.Store(false)
	// It frees a descriptor of this process and a place at the upstream.
	c.closeConn()
	conn, err := prober.Probe(a.call.Context, func(ctx context.Context) (net.Conn, error) {
		return c.connect(ctx, a.call)
	}, c.options.Clock)
	if err == nil {
		c.adopt(conn)
		a.replaced = true
		return nil
	}
	for _, wait := range prober.Waits() {
		c.sleep(a.call.Context, wait)
		there, ok := c.askOwner(a, err)
		switch {
		case !ok:
			return context.Cause(a.call.Context)
		case !there:
			return unconfirmedError(err)
		}
	}
	return nil
}

// unconfirmedError returns the error of a call whose upstream is not there, after another
// connection to it failed with err. If that was refused, the upstream closed the connection of
// the call because it ended, as [io.ErrUnexpectedEOF] says. A timeout is not that of the call.
func unconfirmedError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Wrapf(io.ErrUnexpectedEOF, "%s: %v", unconfirmedReason, err)
	}
	return errors.Errorf("%s: %v", unconfirmedReason, err)
}

// askOwner asks the owner of the connection whether an upstream is there to which another
// connection failed with err. It reports false if the call was cancelled.
func (c *Conn) askOwner(a *attempt, err error) (there, ok bool) {
	r := a.interimReport()
	r.Unconfirmed, r.Err = true, err
	c.options.Report(r)
	return c.confirmations.Take(a.call.Context)
}

// sleep waits for d or until ctx is done.
func (c *Conn) sleep(ctx context.Context, d time.Duration) {
	wake, stop := c.options.Clock.After(d)
	defer stop()
	select {
	case <-wake:
	case <-ctx.Done():
	}
}

// Confirm answers a report with Unconfirmed set: there is true if the upstream is still
// there.
func (c *Conn) Confirm(there bool) { c.confirmations.Put(context.Background(), there) }

// State returns whether the network connection is established, and whether the upstream has
// ended it and the call has not ended since. Neither is true while there is none.
func (c *Conn) State() (open, ended bool) {
	if c.confirming.Load() {
		return false, true
	}
	conn := c.socket.Load()
	if conn == nil {
		return false, false
	}
	open = peeker.IsOpen(*conn)
	return open, !open
}

// adopt makes conn the network connection of c.
func (c *Conn) adopt(conn net.Conn) {
	c.conn, c.received = conn, &limitedConn{Conn: conn}
	c.reader = bufio.NewReaderSize(c.received, readBufferBytes)
	c.refused = nil
	c.socket.Store(&conn)
}
