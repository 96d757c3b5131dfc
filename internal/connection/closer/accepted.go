package closer

import (
	"context"
	"net"
)

// Accepted returns the connection of a request as the listener has accepted it, below its
// [Conn]. ctx is the context of the request. It returns nil for another context.
func Accepted(ctx context.Context) net.Conn {
	if c, ok := connOf(ctx); ok {
		return c.Conn
	}
	return nil
}
