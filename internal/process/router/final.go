package router

import (
	"context"
	"maps"
	"slices"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/request/responder"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
)

// GiveFinalAnswers fails all requests in flight and those that still arrive, so that each
// of their callers gets an answer before the process exits.
func (r *Router) GiveFinalAnswers() {
	r.events.Put(context.Background(), event{kind: eventFinalAnswers})
}

// giveFinalAnswers ends the requests in flight. Their attempts may have been run. A run
// with a granted claim whose caller has left needs no answer.
func (r *Router) giveFinalAnswers() {
	r.exiting = true
	for _, id := range slices.Sorted(maps.Keys(r.inFlight)) {
		f := r.inFlight[id]
		if f.detached() {
			continue
		}
		if f.upstream != "" {
			f.retryState.Lost++
		}
		if u := r.upstreams[f.upstream]; u != nil && u.conn != nil {
			u.conn.Notify(messenger.MethodCancel, messenger.Cancel{
				Stamp: r.options.Recorder.Stamp(), Request: id, Attempt: f.answer.Attempt,
			})
		}
		r.fail(f, retrier.Decide(f.retryState, retrier.CauseStopping).Failure)
	}
}

// refuseLate fails a request that has arrived after the final answers.
func refuseLate(j Job) {
	d := retrier.Decide(retrier.RequestState{}, retrier.CauseStopping)
	j.Replies.Put(context.Background(), responder.Reply{Kind: responder.KindFailed, Failure: d.Failure})
}
