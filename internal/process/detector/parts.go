package detector

import (
	"slices"
	"time"
)

const (
	// MaxPartStrikes is the number of strikes, each for a different upstream, at
	// which a prompt part is accused. One more than for whole content, since many
	// requests share a part.
	MaxPartStrikes = 3
	// minMoments is the number of separate moments of these strikes.
	minMoments = 2
	// ProofFreshness is the time after a proof of a part in which it gets no strike.
	ProofFreshness = time.Second
	// MaxStruckParts bounds the number of parts with strikes.
	MaxStruckParts = 1024
	// maxProofs bounds the number of parts with a known proof.
	maxProofs = 8192
	// maxStrikesPerPart bounds the strikes that are recorded against one part.
	maxStrikesPerPart = 16
	// RepeatInterval is the time between two repeats of the strikes against
	// quarantined parts and of recent ones against content.
	RepeatInterval = time.Second
	// maxRepeats bounds the strikes in one repeat.
	maxRepeats = 64
	// bufferedProgress is the time after a crash in which events of the answers of
	// that upstream may still be read from buffers.
	bufferedProgress = 100 * time.Millisecond
	// minRestart is the minimum time in which an upstream restarts. Progress before
	// that time shows that it did not crash.
	minRestart = 2 * time.Second
	// sameCause is the time within which losses of several upstreams are taken to
	// have one cause.
	sameCause = 20 * time.Millisecond
	// RetrialDelay is the time after the last strike from which one more request with
	// an accused part may run, in case that the part is sound.
	RetrialDelay = 30 * time.Second
)

// partHistory holds the strikes against one prompt part since its last proof.
type partHistory struct {
	strikes []partStrike
	// proven is true if a proof before the strikes is known.
	proven bool
	// retried is true once a request has run on retrial.
	retried bool
}

// partStrike is a strike against a part for an upstream that was lost at a time. The
// request with the part was sent at sentAt.
type partStrike struct {
	upstream string
	at       time.Time
	sentAt   time.Time
	// observed is true if this entry saw the loss itself.
	observed bool
}

func (h *partHistory) last() time.Time {
	if len(h.strikes) == 0 {
		return time.Time{}
	}
	return h.strikes[len(h.strikes)-1].at
}

// index returns the index of the strike for an upstream, or -1.
func (h *partHistory) index(upstream string) int {
	return slices.IndexFunc(h.strikes, func(s partStrike) bool { return s.upstream == upstream })
}

// strikeParts gives a strike to the parts of a request that was lost before its
// first event. A part with a recent proof gets none.
func (d *Detector) strikeParts(now time.Time, e Event) []Strike {
	var out []Strike
	for _, p := range e.Parts {
		if provenAt, ok := d.proofs.get(p); ok && now.Sub(provenAt) < ProofFreshness {
			continue
		}
		if !d.addPartStrike(now, p, partStrike{e.Upstream, now, e.SentAt, true}) {
			continue
		}
		out = append(out, Strike{Part: p, Upstream: e.Upstream, SentAge: now.Sub(e.SentAt), Count: len(d.parts[p].strikes)})
	}
	return out
}

// addPartStrike adds a strike and reports whether it is new.
func (d *Detector) addPartStrike(now time.Time, part uint64, s partStrike) bool {
	h := d.parts[part]
	if h != nil && now.Sub(h.last()) >= StrikeLifetime {
		delete(d.parts, part)
		h = nil
	}
	if h != nil && !h.makeRoom(s.upstream) {
		return false
	}
	if h == nil {
		d.evictPart()
		_, proven := d.proofs.get(part)
		h = &partHistory{proven: proven}
		d.parts[part] = h
	}
	h.strikes = append(h.strikes, s)
	d.scheduleCheck(s.upstream, s.at)
	return true
}

// makeRoom reports whether a strike for an upstream is new and can be added. One cause
// may lead to any number of strikes. The oldest but the first one is then dropped, so
// that those of later moments count.
func (h *partHistory) makeRoom(upstream string) bool {
	if h.index(upstream) >= 0 {
		return false
	}
	if len(h.strikes) < maxStrikesPerPart {
		return true
	}
	if h.isEnough() {
		return false
	}
	h.strikes = slices.Delete(h.strikes, 1, 2)
	return true
}

// isEnough reports whether the strikes are enough for a quarantine. One cause may end
// many upstreams at once, all with requests in flight that hold the same sound part,
// so that the strikes must be from separate moments as well.
func (h *partHistory) isEnough() bool {
	if len(h.strikes) < MaxPartStrikes {
		return false
	}
	if h.proven {
		return h.moments() >= MaxPartStrikes
	}
	return h.moments() >= minMoments
}

// moments returns the number of separate moments of the strikes. After a proof, a
// moment is separate only if the request was sent after the one before.
func (h *partHistory) moments() int {
	n, last := 0, time.Time{}
	for _, s := range h.strikes {
		if n > 0 && (s.at.Sub(last).Abs() < sameCause || h.proven && s.sentAt.Before(last)) {
			continue
		}
		n, last = n+1, s.at
	}
	return n
}

// withdrawStrikesFor withdraws the strikes for an upstream against all parts, if
// matches is true for their times.
func (d *Detector) withdrawStrikesFor(upstream string, matches func(at time.Time) bool) []Strike {
	var out []Strike
	for p, h := range d.parts {
		if i := h.index(upstream); i >= 0 && matches(h.strikes[i].at) {
			d.withdrawPartStrike(p, upstream)
			out = append(out, Strike{Part: p, Upstream: upstream, Cleared: true})
		}
	}
	return out
}

// proveParts records that an upstream began an answer to a request with the parts. A
// poison part crashes each upstream before that, so all strikes against the parts are
// withdrawn, whenever they were made.
func (d *Detector) proveParts(now time.Time, parts []uint64) []Strike {
	var out []Strike
	for _, p := range parts {
		d.proofs.put(p, now)
		if d.parts[p] != nil {
			delete(d.parts, p)
			out = append(out, Strike{Part: p, Cleared: true})
		}
	}
	return out
}

// receivePartStrike applies a strike against a part, or its withdrawal, that another
// entry sent. If this entry has a proof of the part that the other one did not know,
// it returns the withdrawal of all strikes.
func (d *Detector) receivePartStrike(now time.Time, s Strike) []Strike {
	at := now.Add(-s.Age)
	provenAt, proven := d.proofs.get(s.Part)
	switch {
	case s.Cleared && s.Upstream == "":
		d.proofs.put(s.Part, now)
		delete(d.parts, s.Part)
	case s.Cleared:
		d.withdrawPartStrike(s.Part, s.Upstream)
	case s.Age >= StrikeLifetime:
	case proven && provenAt.After(at.Add(-ProofFreshness)):
		return []Strike{{Part: s.Part, Cleared: true}}
	default:
		d.addPartStrike(now, s.Part, partStrike{s.Upstream, at, at.Add(-s.SentAge), false})
	}
	return nil
}

// recordProgress withdraws the strikes for an upstream that goes on with other
// answers: only connections were lost there. Strikes that are too recent are kept.
func (d *Detector) recordProgress(now time.Time, upstream string) []Strike {
	if checkAt, ok := d.checks[upstream]; !ok || now.Before(checkAt) {
		return nil
	}
	delete(d.checks, upstream)
	return d.withdrawStrikesFor(upstream, func(at time.Time) bool {
		if now.Sub(at) < bufferedProgress {
			d.scheduleCheck(upstream, at)
			return false
		}
		return now.Sub(at) < minRestart
	})
}

// scheduleCheck sets the time from which progress of an upstream withdraws a strike.
func (d *Detector) scheduleCheck(upstream string, struckAt time.Time) {
	checkAt := struckAt.Add(bufferedProgress)
	if earlier, ok := d.checks[upstream]; !ok || checkAt.Before(earlier) {
		d.checks[upstream] = checkAt
	}
}

func (d *Detector) withdrawPartStrike(part uint64, upstream string) {
	h := d.parts[part]
	if h == nil {
		return
	}
	h.strikes = slices.DeleteFunc(h.strikes, func(s partStrike) bool { return s.upstream == upstream })
	if len(h.strikes) == 0 {
		delete(d.parts, part)
	}
}

// RepeatedStrikes returns the strikes against accused parts and recent strikes against
// content every RepeatInterval, to be sent to the other entries, and nil in between.
func (d *Detector) RepeatedStrikes(now time.Time) []Strike {
	if now.Sub(d.repeatedAt) < RepeatInterval {
		return nil
	}
	d.repeatedAt = now
	for u, checkAt := range d.checks {
		if now.Sub(checkAt) >= minRestart {
			delete(d.checks, u)
		}
	}
	var out []Strike
	for p, h := range d.parts {
		if now.Sub(h.last()) >= StrikeLifetime {
			delete(d.parts, p)
			continue
		}
		if !h.isEnough() || len(out)+len(h.strikes) > maxRepeats {
			continue
		}
		out = append(out, h.messages(now, p)...)
	}
	return append(out, d.repeatContentStrikes(now)...)
}

// messages returns the strikes against part as they are sent again.
func (h *partHistory) messages(now time.Time, part uint64) []Strike {
	var out []Strike
	for _, s := range h.strikes {
		out = append(out, Strike{Part: part, Upstream: s.upstream, Age: now.Sub(s.at), SentAge: s.at.Sub(s.sentAt), Count: len(h.strikes), Repeated: true})
	}
	return out
}

// evictPart deletes a history if there are MaxStruckParts: the one with the oldest last
// strike, of those without enough strikes for a quarantine if there are any.
func (d *Detector) evictPart() {
	if len(d.parts) < MaxStruckParts {
		return
	}
	var victim uint64
	var h *partHistory
	for p, other := range d.parts {
		if h == nil || other.isEvictedBefore(h) {
			victim, h = p, other
		}
	}
	delete(d.parts, victim)
}

func (h *partHistory) isEvictedBefore(other *partHistory) bool {
	if enough := h.isEnough(); enough != other.isEnough() {
		return !enough
	}
	return h.last().Before(other.last())
}
