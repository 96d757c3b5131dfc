package reader

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/peeker"
	"magnoliafront.dev/magnoliafront/internal/connection/prober"
)

// errServiceEnded means that a response was cut off by the end of its service.
var errServiceEnded = errors.Wrap(io.ErrUnexpectedEOF, "the service has ended at the end of a response without a length or chunks")

// isCloseDelimited reports whether the end of a response is marked only by the end of the
// connection. A compressed response that net/http has decompressed marks its own end, and a
// response to HEAD ends with its head.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed && resp.Request.Method != http.MethodHead
}

// confirmEnd checks whether the end of a close-delimited response is that of the answer. The
// connections of a service that was killed or crashed end in the same way. It returns an
// error if the service has ended.
func (r *Reader) confirmEnd(ctx context.Context) error {
	r.confirming.Store(true)
	defer r.confirming.Store(false)
	conn, err := prober.Probe(ctx, r.dialAgain, r.clock)
	if err == nil {
		return conn.Close()
	}
	for _, wait := range prober.Waits() {
		r.sleep(ctx, wait)
		r.emitEvent(Event{Kind: EventUnconfirmed, Err: err})
		there, ok := r.confirmations.Take(ctx)
		switch {
		case !ok:
			return context.Cause(ctx)
		case !there:
			return errors.Wrap(errServiceEnded, err.Error())
		}
	}
	return nil
}

// dialAgain connects to the upstream.
func (r *Reader) dialAgain(ctx context.Context) (net.Conn, error) {
	u, err := url.Parse(r.url)
	if err != nil {
		return nil, err
	}
	port := u.Port()
	if port == "" {
		port = u.Scheme
	}
	d := net.Dialer{Timeout: probeTimeout}
	return d.DialContext(ctx, "tcp", net.JoinHostPort(u.Hostname(), port))
}

// sleep waits for d or until ctx is done.
func (r *Reader) sleep(ctx context.Context, d time.Duration) {
	wake, stop := r.clock.After(d)
	defer stop()
	select {
	case <-wake:
	case <-ctx.Done():
	}
}

// Confirm answers an EventUnconfirmed: there is true if the upstream is still there.
func (r *Reader) Confirm(there bool) { r.confirmations.Put(context.Background(), there) }

// State returns whether the connection of the request is established, and whether the
// upstream has ended it. Neither is true while there is none.
func (r *Reader) State() (open, ended bool) {
	if r.confirming.Load() {
		return false, true
	}
	conn := r.socket.Load()
	if conn == nil {
		return false, false
	}
	open = peeker.IsOpen(*conn)
	return open, !open
}

// follow makes conn the connection whose state [Reader.State] returns.
func (r *Reader) follow(conn net.Conn) {
	if c, ok := conn.(*requestConn); ok {
		conn = c.Conn
	}
	r.socket.Store(&conn)
}
