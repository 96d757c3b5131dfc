package reader

import (
	"context"
	"net"
	"net/http"
	"net/url"

	"magnoliafront.dev/magnoliafront/internal/connection/prober"
)

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
	ask := func(err error) (v prober.Verdict, ok bool) {
		r.emitEvent(Event{Kind: EventUnconfirmed, Err: err})
		return r.confirmations.Take(ctx)
	}
	conn, err := r.Socket.Confirm(ctx, prober.Inquiry{Clock: r.clock, Dial: r.dialAgain, Ask: ask, Local: true})
	if conn != nil {
		_ = conn.Close()
	}
	return err
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

// Confirm answers an EventUnconfirmed.
func (r *Reader) Confirm(v prober.Verdict) { r.confirmations.Put(context.Background(), v) }

// follow makes conn the connection of Reader.Socket. A wrapper hides the state of its socket.
func (r *Reader) follow(conn net.Conn) {
	if c, ok := conn.(*requestConn); ok {
		conn = c.Conn
	}
	r.Socket.Set(conn)
}
