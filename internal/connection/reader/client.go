package reader

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"magnoliafront.dev/magnoliafront/internal/connection/validator"
)

// NewClient returns a client for the requests of readers. It returns a [*validator.Error] for
// a response that is not valid HTTP.
func NewClient() *http.Client {
	return &http.Client{Transport: &validator.Transport{Base: &http.Transport{DisableKeepAlives: true, DialContext: dial}}}
}

// dial connects to an upstream.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &requestConn{Conn: c}, nil
}

// requestConn is the connection of one request. The kernel reports a reset once; if a write
// gets it, a read finds an orderly end. The read returns the error of the write then.
type requestConn struct {
	net.Conn
	// writing is held during each write. writeErr is the reset that a write has reported.
	writing  sync.Mutex
	writeErr error
}

// Write implements io.Writer.
func (c *requestConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if errors.Is(err, unix.ECONNRESET) {
		// EPIPE would mean that the upstream had closed its side before.
		c.writeErr = err
	}
	return n, err
}

// Read implements io.Reader.
func (c *requestConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// The upstream has ended its side, so that the rest of the request is of no use. A
	// write that is blocked must not delay the end of the answer.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		err = c.writeErr
	}
	return n, err
}
