package forwarder

import (
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
)

// BeginStop announces that the entry stops: from then on, requests that would not end
// before the exit are refused, and those without an answer get one before it.
func (f *Forwarder) BeginStop(s dispatcher.Stop) { f.put(event{kind: eventStopping, stop: s}) }

// stop refuses the requests that have not been started, ends those in flight without a
// reply and closes all idle connections to upstreams.
func (f *Forwarder) stop() {
	for j, ok := f.jobs.TryTake(); ok; j, ok = f.jobs.TryTake() {
		failure := retrier.Decide(retrier.RequestState{}, retrier.CauseStopping).Failure
		j.Replies.End(relayer.Reply{Kind: relayer.KindFailed, Failure: failure})
	}
	for _, a := range f.inFlight {
		a.cancelCalls()
		a.job.Replies.Close()
	}
	for _, p := range f.pools {
		p.closeIdle()
	}
}
