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

// add adds a request to those in flight.
func (d *Dispatcher) add(f *inFlightRequest) {
	d.inFlight[f.request.ID] = f
	d.contents[f.fingerprint()]++
}

// remove removes a request from those in flight. It does nothing if it is not there.
func (d *Dispatcher) remove(f *inFlightRequest) {
	if d.inFlight[f.request.ID] != f {
		return
	}
	delete(d.inFlight, f.request.ID)
	if d.contents[f.fingerprint()]--; d.contents[f.fingerprint()] <= 0 {
		delete(d.contents, f.fingerprint())
	}
}

// updateStrikesLearned ends the wait for the strikes of other entries when it has taken
// StrikesWait.
func (d *Dispatcher) updateStrikesLearned(now time.Time) {
	if d.strikesLearned {
		return
	}
	if d.strikesDue.IsZero() {
		d.strikesDue = now.Add(d.settings.StrikesWait)
	}
	d.strikesLearned = d.strikesLearnedAt(now)
}

// strikesLearnedAt reports whether the wait for the strikes of other entries is over.
func (d *Dispatcher) strikesLearnedAt(now time.Time) bool {
	return d.strikesLearned || !d.strikesDue.IsZero() && !now.Before(d.strikesDue)
}

// learnStrikes applies the strikes that another entry knows. They are not sent on, since
// all entries have got them.
func (d *Dispatcher) learnStrikes(now time.Time, e Event) {
	for _, s := range e.Strikes {
		d.detector.Step(now, detector.Event{Kind: detector.EventStrikeReceived, Strike: s})
	}
	d.strikesLearned = d.strikesLearned || e.Complete
}

// KnownStrikes returns the active strikes, for an entry that has just started. It
// reports false while this entry itself has not learned those of the others.
func (d *Dispatcher) KnownStrikes(now time.Time) ([]detector.Strike, bool) {
	d.updateStrikesLearned(now)
	return d.detector.ActiveStrikes(now), d.strikesLearned
}

// StrikesLearned reports whether the entry knows the strikes of the others, or has
// waited long enough for them.
func (d *Dispatcher) StrikesLearned() bool { return d.strikesLearned }

// quarantineLeft returns the time until content or prompt parts of f may run again.
func (d *Dispatcher) quarantineLeft(now time.Time, f *inFlightRequest) time.Duration {
	return max(d.detector.QuarantineLeft(now, f.request.Parts), d.detector.ContentQuarantineLeft(now, f.fingerprint()))
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
	out := detector.Event{Upstream: r.upstream, Fingerprints: []string{f.fingerprint()}, Parts: f.request.Parts, SentAt: r.sentAt,
		Attempts: d.contents[f.fingerprint()], Upstreams: len(d.service(f.admission.Service.Name).instanceIDs)}
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
