package detector

import (
	"slices"
	"time"
)

// PartsVerdict returns the verdict on a request with the given prompt parts. Accused
// parts that were in flight in the same crashes cannot be told apart. A request with
// all of them is quarantined. A request with only some of them is on trial: its
// answer, or its crash, tells them apart.
func (d *Detector) PartsVerdict(now time.Time, parts []uint64) Verdict {
	verdict := Unsuspected
	if len(d.parts) == 0 {
		return verdict
	}
	for _, p := range parts {
		h := d.parts[p]
		if h == nil || now.Sub(h.last()) >= StrikeLifetime {
			continue
		}
		v := Suspect
		if d.isAccused(h) {
			v = OnTrial
			if d.holdsAllLike(h, parts) && !h.mayRetry(now) {
				v = Quarantined
			}
		}
		verdict = max(verdict, v)
	}
	return verdict
}

// mayRetry reports whether a request with an accused part may run to find out whether
// the part is sound. Only the entry that saw the last loss sends it, and only if there
// were few losses.
func (h *partHistory) mayRetry(now time.Time) bool {
	last := h.strikes[len(h.strikes)-1]
	return last.observed && !h.retried && len(h.strikes) <= MaxPartStrikes && now.Sub(last.at) >= RetrialDelay
}

// recordTrial records that a request with the parts runs on trial.
func (d *Detector) recordTrial(parts []uint64) {
	for _, p := range parts {
		if h := d.parts[p]; h != nil && h.isEnough() {
			h.retried = true
		}
	}
}

// isAccused reports whether the strikes of h are enough and no other part was in
// flight in the same crashes and in further ones, which explains them.
func (d *Detector) isAccused(h *partHistory) bool {
	if !h.isEnough() {
		return false
	}
	for _, other := range d.parts {
		if len(other.strikes) > len(h.strikes) && other.covers(h) {
			return false
		}
	}
	return true
}

// holdsAllLike reports whether parts has all parts with the same strikes as h.
func (d *Detector) holdsAllLike(h *partHistory, parts []uint64) bool {
	for p, other := range d.parts {
		if len(other.strikes) == len(h.strikes) && other.covers(h) && !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// QuarantineLeft returns the time until a quarantine of one of the parts ends, zero if
// there is none.
func (d *Detector) QuarantineLeft(now time.Time, parts []uint64) time.Duration {
	left := time.Duration(0)
	for _, p := range parts {
		if h := d.parts[p]; h != nil && h.isEnough() {
			left = max(left, QuarantineDuration-now.Sub(h.last()))
		}
	}
	return left
}

// covers reports whether each strike of other is for an upstream that h has a strike
// for, too.
func (h *partHistory) covers(other *partHistory) bool {
	return !slices.ContainsFunc(other.strikes, func(s partStrike) bool { return h.index(s.upstream) < 0 })
}
