package dispatcher

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

// choice is the upstream that is selected for an attempt and when it runs it.
type choice struct {
	upstream string
	placed   placement
	// wait is the expected time until the prefill ends.
	wait          time.Duration
	prefillTokens int
	// query is the one for which p picked upstream last.
	query picker.Query
}

// choose selects the upstream for the next attempt of f with p, the picker of s or a fork
// of it. It returns false if there is none.
func (d *Dispatcher) choose(now time.Time, s *service, p *picker.Picker[picker.LeastBacklog], f *inFlightRequest, q picker.Query) (choice, bool) {
	id, ok := p.Pick(now, q)
	if !ok {
		return choice{query: q}, false
	}
	c := choice{upstream: id, prefillTokens: p.PrefillTokens(now, q, id), query: q}
	queue, prefill := p.ExpectedWait(q, id), time.Duration(c.prefillTokens)*q.PrefillPerToken
	c.wait = queue + prefill
	c.placed = d.place(s, f, q, queue, prefill)
	if c.placed == refused && f.attempts > 0 {
		// An upstream may already have worked on the request.
		c.placed = placedDeferred
	}
	if c.placed == placedDeferred {
		c.query.Deferred = true
		c.upstream, _ = p.Pick(now, c.query)
		c.prefillTokens = p.PrefillTokens(now, c.query, c.upstream)
	}
	return c, true
}

// allHeldBack reports whether all upstreams of the service of f are held back.
func (d *Dispatcher) allHeldBack(now time.Time, f *inFlightRequest) bool {
	return !d.heldBackUntil(now, f.admission.Service.Name).IsZero()
}

func heldBackFailure() *admitter.Failure {
	return unavailable(codeHeldBack, "all upstreams asked to get no requests for some time")
}

func tooLateFailure() *admitter.Failure {
	return unavailable(codeOverloaded, "no upstream could begin the request in time")
}
