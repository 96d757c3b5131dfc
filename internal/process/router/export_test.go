package router

import (
	"context"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
)

// Pause keeps the duty from taking in anything until the function that it
// returns is called.
func (r *Router) Pause() (resume func()) {
	agents := make(chan map[string]*messenger.Conn)
	r.events.Put(context.Background(), event{kind: eventAgents, agents: agents})
	return func() { <-agents }
}

// Stopping returns a channel that is closed once the router takes nothing more.
func (r *Router) Stopping() <-chan struct{} { return r.events.Done() }
