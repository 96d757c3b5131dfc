package router

import (
	"context"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
)

// AgentConns returns the open connections to agents by the name of their
// upstream. It returns nil if ctx ends first or the router has stopped.
func (r *Router) AgentConns(ctx context.Context) map[string]*messenger.Conn {
	agents := make(chan map[string]*messenger.Conn, 1)
	if !r.events.Put(ctx, event{kind: eventAgentConns, agents: agents}) {
		return nil
	}
	select {
	case out := <-agents:
		return out
	case <-ctx.Done():
	case <-r.done:
	}
	return nil
}

// connectedAgents returns the open connections by the name of their upstream.
func (r *Router) connectedAgents() map[string]*messenger.Conn {
	out := make(map[string]*messenger.Conn, len(r.upstreams))
	for name, u := range r.upstreams {
		if u.conn != nil {
			out[name] = u.conn
		}
	}
	return out
}
