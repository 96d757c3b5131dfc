package router

import (
	"context"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
)

// Pause blocks the goroutine of the router until resume is called.
func (r *Router) Pause() (resume func()) {
	agents := make(chan map[string]*messenger.Conn)
	r.events.Put(context.Background(), event{kind: eventAgentConns, agents: agents})
	return func() { <-agents }
}

// Stopping returns a channel that is closed once the router accepts no more
// events.
func (r *Router) Stopping() <-chan struct{} { return r.events.Done() }
