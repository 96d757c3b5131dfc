package router

import (
	"context"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
)

// ReceiveStrikes delivers strikes that another entry sent.
func (r *Router) ReceiveStrikes(strikes []detector.Strike) {
	r.events.Put(context.Background(), event{kind: eventStrikesReceived, strikes: strikes})
}

// FetchStrikes calls reply with the active strikes that this entry knows. The call must
// not block.
func (r *Router) FetchStrikes(reply func([]detector.Strike)) {
	r.events.Put(context.Background(), event{kind: eventStrikesFetched, reply: reply})
}
