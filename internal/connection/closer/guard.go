package closer

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of the [Conn] in the context of the requests on it.
type connKey struct{}

// WithConn is the hook ConnContext of [http.Server] by which [Guard] and
// [EndWithConnection] find the connection of a request.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Guard wraps a handler. If only the close of the connection marks the end of an answer,
// any close before the handler returns resets the connection: one by the server, after a
// panic of the handler, and by the kernel when the process ends. The caller cannot take the
// part that it has for the whole then. Answers to requests of HTTP/1.0 are guarded from the
// start, also those with a length, others from [EndWithConnection] on.
func Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c, ok := connOf(req.Context())
		if !ok {
			next.ServeHTTP(w, req)
			return
		}
		if !req.ProtoAtLeast(1, 1) {
			c.beginUnframedAnswer()
		}
		c.setHandled(true)
		defer c.setHandled(false)
		next.ServeHTTP(w, req)
		c.endAnswer()
	})
}

// setHandled tells whether a handler runs, which ends the answer itself.
func (c *Conn) setHandled(handled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = handled
}

// EndWithConnection makes net/http mark the end of an answer with the header h by closing
// the connection, without a length or chunks. ctx is the context of the request.
func EndWithConnection(ctx context.Context, h http.Header) {
	h.Set("Transfer-Encoding", "identity")
	if c, ok := connOf(ctx); ok {
		c.beginUnframedAnswer()
	}
}

func connOf(ctx context.Context) (*Conn, bool) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return c, ok
}

// beginUnframedAnswer makes each close of the connection a reset until the answer has ended.
// The option of the socket is set in advance, since nothing runs when the process is killed.
func (c *Conn) beginUnframedAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unframed, c.handlerReturned = true, false
	c.setLinger(0)
}

// endAnswer notes that the handler has returned. The rest of the answer may still be in the buffer of the
// server, so that a process that ends resets the connection until it is closed or idle.
func (c *Conn) endAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlerReturned = true
}

// CutOff announces that the connection will be closed, whatever is in flight on it. The end
// of an answer may still be in the buffer of the server after its handler has returned.
func (c *Conn) CutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutOff = true
}

// unguard makes the next close an orderly one if the answer has ended. The caller holds the
// lock.
func (c *Conn) unguard() {
	if c.unframed && c.handlerReturned && !c.cutOff {
		c.unframed = false
		c.setLinger(-1)
	}
}

// setLinger sets what a close does with the data that was sent: 0 drops it and resets the
// connection, a negative value delivers it before the end.
func (c *Conn) setLinger(seconds int) {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = l.SetLinger(seconds)
	}
}
