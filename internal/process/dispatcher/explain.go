package dispatcher

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/retrier"
)

// ExcludedConnectionShare means that the upstream has as many requests of this entry as
// its share of the connection limit permits.
const ExcludedConnectionShare picker.Exclusion = "connection_share_used"

// Explanation says where a request would be sent, and why.
type Explanation struct {
	Route                string
	Service              string
	Organisation         string
	Priority             int
	ConfigurationVersion int64
	// Verdict is the verdict on the content and the prompt parts.
	Verdict detector.Verdict
	// Failure is that of a request which would be refused, otherwise nil.
	Failure *admitter.Failure
	// Upstream is the selected upstream, empty without one. Deferred is true if it would
	// run the request after all others. ExpectedStart is the expected time until the
	// prefill ends, and PrefillTokens the number of prompt tokens to prefill.
	Upstream      string
	Deferred      bool
	ExpectedStart time.Duration
	PrefillTokens int
	// CandidateCount is the number of upstreams of the service, and Candidates are at
	// most [picker.MaxCandidateReports] of them, the best first.
	CandidateCount int
	Candidates     []picker.CandidateReport
}

// Explain returns what an EventArrived with r would lead to now, without changing
// anything. It uses the decision code of the real path. The effect of the arrival itself
// on the separation of long prompts is left out.
func (d *Dispatcher) Explain(now time.Time, r Request) Explanation {
	f, failure := d.check(now, r)
	a := f.admission
	e := Explanation{
		Route: a.Route.Name, Service: a.Service.Name, Organisation: a.Organisation, Priority: a.Priority,
		ConfigurationVersion: f.configurationVersion, Failure: failure, Verdict: d.verdict(now, f),
	}
	s := d.services[a.Service.Name]
	if s == nil {
		e.refuse(noUpstreamFailure())
		return e
	}
	fork := s.picker.Fork()
	c, ok := d.choose(now, s, fork, f, d.query(now, s, f))
	e.CandidateCount, e.Candidates = len(s.instanceIDs), explainCandidates(now, fork, c.query)
	switch {
	case !f.deadline.IsZero() && !now.Before(f.deadline):
		e.refuse(retrier.Decide(retrier.RequestState{}, retrier.CauseExpired).Failure)
	case !ok && d.allHeldBack(now, f):
		e.refuse(heldBackFailure())
	case !ok:
		e.refuse(noUpstreamFailure())
	case c.placed == refused:
		e.refuse(tooLateFailure())
	}
	e.ExpectedStart, e.PrefillTokens = c.wait, c.prefillTokens
	if e.Failure == nil {
		e.Upstream, e.Deferred = c.upstream, c.placed == placedDeferred
	}
	return e
}

// refuse sets the failure unless there is an earlier one.
func (e *Explanation) refuse(f *admitter.Failure) {
	if e.Failure == nil {
		e.Failure = f
	}
}

func noUpstreamFailure() *admitter.Failure {
	return retrier.Decide(retrier.RequestState{}, retrier.CauseNoUpstream).Failure
}

// explainCandidates reports on the candidates of q. A new request has been tried nowhere,
// so that only a share of the connection limit excludes upstreams by the query.
func explainCandidates(now time.Time, p *picker.Picker[picker.LeastBacklog], q picker.Query) []picker.CandidateReport {
	reports := p.Explain(now, q)
	for i := range reports {
		if reports[i].Exclusion == picker.ExcludedByQuery {
			reports[i].Exclusion = ExcludedConnectionShare
		}
	}
	return reports
}
