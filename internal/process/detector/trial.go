package detector

import (
	"slices"
	"time"
)

const (
	// ShortRetrialDelay replaces [RetrialDelay] for content whose losses are not
	// improbable for harmless content, which third strikes quarantine all the same.
	ShortRetrialDelay = 5 * time.Second
	// maxTrialEntries bounds the entries that may send quarantined content on trial,
	// and so the upstreams that it can crash if they do so at one moment.
	maxTrialEntries = 3
)

// retrialDelay returns the time after the last strike from which a request with
// quarantined content may run on trial.
func (d *Detector) retrialDelay(h *history) time.Duration {
	if d.falsePositive(h) > maxFalsePositive {
		return ShortRetrialDelay
	}
	return RetrialDelay
}

// mayTry reports whether a request with quarantined content may run on trial. The first
// maxTrialEntries observers of the strikes, in the order of their IDs, which is the same
// on all entries, have a turn each, so that one entry sends it. Another turn follows if a
// trial ended without an answer or a crash, or if its entry is gone.
func (d *Detector) mayTry(now time.Time, h *history) bool {
	if h.confirmed {
		return false
	}
	delay, observers := d.retrialDelay(h), h.observers()
	if !h.triedAt.IsZero() && now.Sub(h.triedAt) < time.Duration(len(observers))*delay {
		return false
	}
	i := slices.Index(observers, d.ID)
	return i >= 0 && now.Sub(h.last()) >= time.Duration(i+1)*delay
}

// observers returns the IDs of the first maxTrialEntries observers of the strikes.
func (h *history) observers() []uint64 {
	var out []uint64
	for _, s := range h.strikes {
		out = append(out, s.observer)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), maxTrialEntries)]
}

// recordContentTrial records that a request with quarantined content runs on trial.
func (d *Detector) recordContentTrial(now time.Time, fingerprint string) {
	if h := d.histories[fingerprint]; h != nil && d.isPoison(h) {
		h.triedAt = now
	}
}

// isOnTrial reports whether a request with the content was sent on trial since its last
// strike.
func (d *Detector) isOnTrial(fingerprint string) bool {
	h := d.histories[fingerprint]
	return h != nil && !h.triedAt.IsZero() && h.triedAt.After(h.last())
}

// ContentQuarantineLeft returns the time until content may be tried again, zero if it
// is not quarantined.
func (d *Detector) ContentQuarantineLeft(now time.Time, fingerprint string) time.Duration {
	h := d.histories[fingerprint]
	if h == nil || len(h.strikes) == 0 || !d.isPoison(h) {
		return 0
	}
	since := now.Sub(h.last())
	if h.confirmed {
		return max(0, QuarantineDuration-since)
	}
	delay := d.retrialDelay(h)
	if left := delay - since; left > 0 {
		return left
	}
	return delay
}
