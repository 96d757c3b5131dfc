package detector

import (
	"cmp"
	"slices"
	"time"
)

const (
	// AnswerFreshness is the time after an answer in which content gets no strike. It
	// is longer than the time between two answers of content that is in flight at many
	// upstreams, also if its callers run in step, and shorter than the stability window
	// of 3 s, in which content that has become poison must be found.
	AnswerFreshness = 2 * time.Second
	// maxAnswers bounds the number of fingerprints with a known answer.
	maxAnswers = 8192
	// maxContentStrikes bounds the strikes in one history, besides those of trials, of
	// which there are few. Upstreams beyond it count as lost without the content, which
	// brings the trial forward.
	maxContentStrikes = 64
	// maxActiveStrikes bounds the strikes that an entry that has just started gets.
	maxActiveStrikes = 512
	// contentRepeatPeriod is the time for which an observer repeats a strike against
	// content, in case that a message was lost.
	contentRepeatPeriod = 3 * time.Second
)

// history holds the strikes against the content with one fingerprint since its last
// answer.
type history struct {
	// strikes are in the order of their times.
	strikes []contentStrike
	// others is the number of upstreams that were lost without the content at about
	// the time of a strike.
	others int
	// confirmed is true once a request on trial has crashed its upstream.
	confirmed bool
	// triedAt is the time of the last request on trial, zero if there was none.
	triedAt time.Time
}

// contentStrike is a strike against content for an upstream that was lost at a time.
type contentStrike struct {
	upstream string
	at       time.Time
	begun    bool
	trial    bool
	// sentAge is the time for which the attempt had been in flight.
	sentAge  time.Duration
	observer uint64
	attempts int
}

// answer holds when content was last answered in full, as far as this entry knows and
// as far as all entries were told.
type answer struct {
	at       time.Time
	sharedAt time.Time
}

// covers reports whether an answer at t refutes a strike at struckAt.
func covers(t, struckAt time.Time) bool {
	return !t.IsZero() && !struckAt.After(t.Add(AnswerFreshness))
}

func (h *history) last() time.Time { return h.strikes[len(h.strikes)-1].at }

// strikeContent gives a strike to content that was in flight on an upstream that this
// entry has lost. An answer that refutes it is not told to the others: they ask for it
// with strikes of their own.
func (d *Detector) strikeContent(now time.Time, fingerprint string, e Event) []Strike {
	if a, _ := d.answers.get(fingerprint); covers(a.at, now) {
		return nil
	}
	s := contentStrike{
		upstream: e.Upstream, at: now, begun: e.Begun, observer: d.ID, attempts: e.Attempts,
		trial: d.isOnTrial(fingerprint),
	}
	if !e.SentAt.IsZero() {
		s.sentAge = now.Sub(e.SentAt)
	}
	return d.applyStrike(now, fingerprint, s)
}

// receiveStrike applies a strike, or a withdrawal, that another entry sent.
func (d *Detector) receiveStrike(now time.Time, m Strike) []Strike {
	at := now.Add(-m.Age)
	if m.Cleared {
		if withdrawn := d.applyAnswer(m.Fingerprint, at, true); withdrawn >= MaxStrikes || withdrawn > 0 && !d.Mesh {
			return []Strike{m}
		}
		return nil
	}
	if m.Age >= StrikeLifetime {
		return nil
	}
	d.recordLoss(at, m.Upstream)
	out := d.applyStrike(now, m.Fingerprint, contentStrike{m.Upstream, at, m.Begun, m.Trial, m.SentAge, m.Observer, m.Attempts})
	if !d.Mesh || len(out) == 0 || out[0].Cleared {
		return out
	}
	// Entries that do not reach each other learn what makes up a quarantine from those
	// that reach both.
	if h := d.histories[m.Fingerprint]; len(h.strikes) == MaxStrikes || len(h.strikes) == MaxBegunStrikes {
		return h.messages(now, m.Fingerprint)
	}
	return nil
}

// applyStrike adds a strike and returns it for the other entries if it is new. If an
// answer refutes it that they were not told, it returns the withdrawal.
func (d *Detector) applyStrike(now time.Time, fingerprint string, s contentStrike) []Strike {
	a, _ := d.answers.get(fingerprint)
	switch {
	case covers(a.sharedAt, s.at):
		return nil
	case covers(a.at, s.at):
		d.answers.put(fingerprint, answer{a.at, a.at})
		return []Strike{{Fingerprint: fingerprint, Cleared: true, Age: now.Sub(a.at)}}
	}
	if !d.addStrike(now, fingerprint, s) {
		return nil
	}
	return []Strike{s.message(now, fingerprint)}
}

// recordAnswer records that content was answered in full. It returns the withdrawal if
// there are strikes, so that popular content causes no message for each answer.
func (d *Detector) recordAnswer(now time.Time, fingerprint string) []Strike {
	if d.applyAnswer(fingerprint, now, false) == 0 {
		return nil
	}
	d.answers.put(fingerprint, answer{now, now})
	return []Strike{{Fingerprint: fingerprint, Cleared: true}}
}

// applyAnswer records an answer and withdraws the strikes that it refutes. It returns
// their number. The answer is shared if other entries were told of it.
func (d *Detector) applyAnswer(fingerprint string, at time.Time, shared bool) int {
	a, _ := d.answers.get(fingerprint)
	a.at = later(a.at, at)
	if shared {
		a.sharedAt = later(a.sharedAt, at)
	}
	d.answers.put(fingerprint, a)
	h := d.histories[fingerprint]
	if h == nil {
		return 0
	}
	before := len(h.strikes)
	h.strikes = slices.DeleteFunc(h.strikes, func(s contentStrike) bool { return covers(at, s.at) })
	if len(h.strikes) == 0 {
		delete(d.histories, fingerprint)
	}
	withdrawn := before - len(h.strikes)
	if withdrawn > 0 {
		h.confirmed, h.triedAt, h.others = false, time.Time{}, d.losses.others(h)
	}
	return withdrawn
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// addStrike adds a strike and reports whether it is new. Of several observers of one
// loss, the one with the smallest ID counts on all entries.
func (d *Detector) addStrike(now time.Time, fingerprint string, s contentStrike) bool {
	h := d.history(now, fingerprint)
	if s.trial {
		// The upstream may have crashed with the content before.
		h.strikes = slices.DeleteFunc(h.strikes, func(o contentStrike) bool { return o.upstream == s.upstream && !o.trial })
	}
	if i := slices.IndexFunc(h.strikes, func(o contentStrike) bool { return o.upstream == s.upstream }); i >= 0 {
		h.strikes[i].observer = min(h.strikes[i].observer, s.observer)
		h.strikes[i].begun = h.strikes[i].begun && s.begun
		return false
	}
	h.confirmed = h.confirmed || s.trial
	if len(h.strikes) >= maxContentStrikes && !s.trial {
		return false
	}
	h.strikes = append(h.strikes, s)
	slices.SortStableFunc(h.strikes, func(a, b contentStrike) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.upstream, b.upstream))
	})
	h.others = d.losses.others(h)
	return true
}

// message returns the strike as it is sent to other entries.
func (s contentStrike) message(now time.Time, fingerprint string) Strike {
	return Strike{
		Fingerprint: fingerprint, Upstream: s.upstream, Begun: s.begun, Trial: s.trial,
		Observer: s.observer, Attempts: s.attempts, Age: now.Sub(s.at), SentAge: s.sentAge,
	}
}

// messages returns all strikes of h as they are sent again.
func (h *history) messages(now time.Time, fingerprint string) []Strike {
	var out []Strike
	for _, s := range h.strikes {
		m := s.message(now, fingerprint)
		m.Repeated = true
		out = append(out, m)
	}
	return out
}

// repeatContentStrikes returns the strikes that this entry has observed within
// contentRepeatPeriod, at most maxRepeats.
func (d *Detector) repeatContentStrikes(now time.Time) []Strike {
	var out []Strike
	for f, h := range d.histories {
		for _, s := range h.strikes {
			if s.observer == d.ID && now.Sub(s.at) < contentRepeatPeriod && d.isPoison(h) && len(out) < maxRepeats {
				m := s.message(now, f)
				m.Repeated = true
				out = append(out, m)
			}
		}
	}
	return out
}

// history returns the history of a fingerprint. It creates a new one if there is
// none or if the last strike is older than StrikeLifetime.
func (d *Detector) history(now time.Time, fingerprint string) *history {
	h := d.histories[fingerprint]
	if h == nil || len(h.strikes) > 0 && now.Sub(h.last()) >= StrikeLifetime {
		d.evictOldest()
		h = &history{}
		d.histories[fingerprint] = h
	}
	return h
}

// evictOldest deletes a history if there are MaxFingerprints: the one with the oldest
// last strike, of those that are not quarantined if there are any.
func (d *Detector) evictOldest() {
	if len(d.histories) < MaxFingerprints {
		return
	}
	victim, found := "", false
	for f, h := range d.histories {
		if !found || d.isEvictedBefore(h, d.histories[victim]) {
			victim, found = f, true
		}
	}
	delete(d.histories, victim)
}

func (d *Detector) isEvictedBefore(h, other *history) bool {
	if poison := d.isPoison(h); poison != d.isPoison(other) {
		return !poison
	}
	return h.last().Before(other.last())
}
