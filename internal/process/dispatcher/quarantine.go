package dispatcher

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

// codeQuarantined is the code of the refusal of quarantined content. Package retrier
// uses it, too.
const codeQuarantined = "quarantined"

// fingerprint returns the fingerprint of organisation and content for the
// detector.
func (f *inFlightRequest) fingerprint() string {
	return f.admission.Organisation + "/" + f.request.Digest
}

// verdict returns the more severe verdict on the content and the prompt parts of f.
func (d *Dispatcher) verdict(now time.Time, f *inFlightRequest) detector.Verdict {
	return max(d.detector.Verdict(now, f.fingerprint()), d.detector.PartsVerdict(now, f.request.Parts))
}

// quarantine returns the failure of a request that must not run, or nil.
func (d *Dispatcher) quarantine(now time.Time, f *inFlightRequest) *admitter.Failure {
	switch d.verdict(now, f) {
	case detector.Quarantined:
		return unavailable(codeQuarantined, "upstreams crashed while they ran this content; it is refused for some minutes")
	case detector.OnTrial:
		if t := d.inFlight[d.trial]; t != nil && !t.answering {
			return unavailable("on_trial", "a request with the same part of the prompt must show first that the part is sound")
		}
	}
	return nil
}

// detectProgress tells the detector that events of an answer to f arrived. It returns
// the action that sends the resulting withdrawals of strikes, if there are any.
func (d *Dispatcher) detectProgress(now time.Time, f *inFlightRequest) []Action {
	strikes := d.detector.Step(now, detector.Event{Kind: detector.EventProgress, Upstream: f.upstream})
	if !f.answering {
		f.answering = true
		strikes = append(strikes, d.detector.Step(now, detector.Event{Kind: detector.EventBegun, Parts: f.request.Parts})...)
	}
	return sendStrikes(strikes)
}

// detectEnd tells the detector that the attempt r at f ended with outcome o. It returns
// the action that sends the resulting strikes, if there are any.
func (d *Dispatcher) detectEnd(now time.Time, f *inFlightRequest, r run, o AttemptOutcome) []Action {
	out := detector.Event{Upstream: r.upstream, Fingerprints: []string{f.fingerprint()}, Parts: f.request.Parts, SentAt: r.sentAt}
	switch {
	case o == OutcomeAnswered:
		out.Kind = detector.EventAnswered
	case o != OutcomeCrashed:
		return nil
	default:
		out.Kind, out.Begun = detector.EventCrashed, r.answering
		if r.answering {
			out.Parts = nil
		}
	}
	return sendStrikes(d.detector.Step(now, out))
}
