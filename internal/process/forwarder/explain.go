package forwarder

import (
	"context"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
)

// Explain returns where a request would be sent now, without sending it. It returns false
// if ctx is done or the forwarder has stopped before that.
func (f *Forwarder) Explain(ctx context.Context, r dispatcher.Request) (dispatcher.Explanation, bool) {
	// The buffer lets the goroutine of the forwarder go on if the caller has left.
	reply := make(chan dispatcher.Explanation, 1)
	if !f.events.Put(ctx, event{kind: eventExplained, explained: r, explain: func(e dispatcher.Explanation) { reply <- e }}) {
		return dispatcher.Explanation{}, false
	}
	select {
	case e := <-reply:
		return e, true
	case <-f.done:
	case <-ctx.Done():
	}
	return dispatcher.Explanation{}, false
}
