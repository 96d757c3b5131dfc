package closer

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// WithConn is the hook ConnContext of [http.Server] by which [FollowHandler] finds the
// connection of a request.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// FollowHandler returns a handler that calls h and tells the connection while h runs. An
// answer may end by the close of its connection; if h still runs, somebody else closes it.
func FollowHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if c, ok := req.Context().Value(connKey{}).(*Conn); ok {
			c.setHandled(true)
			defer c.setHandled(false)
		}
		h.ServeHTTP(w, req)
	})
}

func (c *Conn) setHandled(handled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = handled
}
