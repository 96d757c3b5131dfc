package carrier

import (
	"bufio"
	"context"
	"net"
	"net/http"

	"magnoliafront.dev/magnoliafront/internal/connection/prober"
)

// confirmEnd checks whether the end of a response is that of the answer. Only the close of
// the connection marks the end of a close-delimited one, and the connections of an upstream
// that ends are closed as well. It returns an error if the upstream has ended. Otherwise the
// connection to the upstream is a new one, if the upstream accepts one.
func (c *Conn) confirmEnd(a *attempt, resp *http.Response) error {
	if !isCloseDelimited(resp) || resp.Request.Method == http.MethodHead {
		return nil
	}
	// It frees a descriptor of this process and a place at the upstream.
	c.closeConn()
	conn, err := c.Socket.Confirm(a.call.Context, prober.Inquiry{
		Clock: c.options.Clock, Deadline: a.call.Deadline,
		Dial: func(ctx context.Context) (net.Conn, error) {
			// The deadline of the call may have passed, and the answer have arrived in time.
			return c.connect(ctx, c.options.Clock.Now().Add(a.call.DialTimeout))
		},
		Ask: func(err error) (v prober.Verdict, ok bool) { return c.askOwner(a, err) },
	})
	switch {
	case conn == nil:
	case resp.ProtoAtLeast(1, 1):
		c.adopt(conn)
		a.replaced = true
	default:
		// A server of HTTP/1.0 may serve one connection at a time, and wait for a request.
		_ = conn.Close()
	}
	return err
}

// askOwner asks the owner of the connection what the other connections show of an upstream
// to which another connection failed with err. It reports false if the call was cancelled.
func (c *Conn) askOwner(a *attempt, err error) (v prober.Verdict, ok bool) {
	r := a.interimReport()
	r.Unconfirmed, r.Err = true, err
	c.options.Report(r)
	return c.confirmations.Take(a.call.Context)
}

// Confirm answers a report with Unconfirmed set.
func (c *Conn) Confirm(v prober.Verdict) { c.confirmations.Put(context.Background(), v) }

// adopt makes conn the network connection of c.
func (c *Conn) adopt(conn net.Conn) {
	c.conn, c.received = conn, &limitedConn{Conn: conn}
	c.reader = bufio.NewReaderSize(c.received, readBufferBytes)
	c.refused = nil
	c.Socket.Set(conn)
}
