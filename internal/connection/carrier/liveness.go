package carrier

import "magnoliafront.dev/magnoliafront/internal/connection/peeker"

// hasUnread reports whether the upstream has sent something that has not been read, or
// has closed the connection.
func (c *Conn) hasUnread() bool {
	return c.reader.Buffered() > 0 || c.received.peek() != peeker.NoData
}

// alive reports whether a keep-alive connection can carry a call: it is open, and
// the upstream has sent nothing since the last response.
func (c *Conn) alive() bool { return c.conn != nil && !c.hasUnread() }
