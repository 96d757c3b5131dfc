package dispatcher

import "magnoliafront.dev/magnoliafront/internal/version/matcher"

// countBegin returns the action that counts f as a request that an upstream has begun to
// run. It is returned once for each request, whatever the number of its attempts, and not
// for public routes, which have no organisation.
func (d *Dispatcher) countBegin(f *inFlightRequest) []Action {
	if !d.settings.CountUsage || f.counted || f.admission.Organisation == "" {
		return nil
	}
	f.counted = true
	return []Action{{Kind: ActionCountUsage, Organisation: f.admission.Organisation}}
}

// countEnd is countBegin for the end of an attempt, which is the first sign that an
// upstream ran a request that is no stream. A stream begins with its first event.
func (d *Dispatcher) countEnd(f *inFlightRequest, e Event) []Action {
	if f.admission.Route.Kind == matcher.Streaming {
		return nil
	}
	if e.Outcome != OutcomeAnswered && e.Outcome != OutcomeFailed && !e.Begun {
		return nil
	}
	return d.countBegin(f)
}
