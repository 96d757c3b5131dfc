// Package detector finds poison requests (queries of death): requests that crash
// the upstreams that run them, by their whole content or by one part of their prompt.
//
// It is a decision package: it does no I/O and gets the time as an argument. When
// an upstream is lost, the content of each request in flight there gets a strike
// for that upstream. Content with strikes for two upstreams is quarantined: no
// entry sends it to an upstream until the quarantine ends. Content with one strike
// is suspect. Suspect content may run, but not on the same upstream as other
// suspect content, so that harmless content is not in flight when poison content
// crashes the next upstream. Content whose answers had all begun needs a third strike.
// Once suspect content has been answered in full, its strikes are withdrawn.
//
// Content is identified by a fingerprint of organisation and body. The
// idempotency key is not part of it, since callers repeat a failed request under
// a new key.
//
// A part of a prompt may crash each upstream that begins an answer on it, in requests
// that are otherwise different. When an upstream is lost, the parts of the requests
// there that had no first event yet get a strike. A first event proves all parts of
// its request sound, which withdraws their strikes on all entries. A part with strikes
// for three upstreams and no proof since the first is accused, and requests with it
// are quarantined. If an upstream goes on after the loss of a connection, its strikes
// against parts are withdrawn.
//
// # Usage
//
//	var d detector.Detector
//	strikes := d.Step(now, detector.Event{Kind: detector.EventCrashed, Upstream: "desk-1", Fingerprints: f})
//	// send strikes to the other entries, where each is an EventStrikeReceived
//	switch d.Verdict(now, fingerprint) {
//	case detector.Quarantined:
//	}
package detector

import (
	"slices"
	"time"
)

const (
	// MaxStrikes is the number of strikes, each for a different upstream, at which
	// content is quarantined.
	MaxStrikes = 2
	// MaxBegunStrikes replaces MaxStrikes for content whose answers had all begun when
	// the upstreams were lost. Poison content crashes an upstream that begins to run
	// it, so that it was most likely another request.
	MaxBegunStrikes = 3
	// QuarantineDuration is the time for which content is refused after its last
	// strike.
	QuarantineDuration = 10 * time.Minute
	// StrikeLifetime is the time after which a single strike expires.
	StrikeLifetime = 10 * time.Minute
	// MaxFingerprints bounds the number of fingerprints with a history. The one
	// with the oldest strike is evicted first.
	MaxFingerprints = 1024
)

// Strike records that the content with a fingerprint was in flight on an upstream
// that was lost.
type Strike struct {
	Fingerprint string `json:"fingerprint"`
	Upstream    string `json:"upstream"`
	// Cleared withdraws the strike, because the content was answered. A withdrawn
	// strike from another entry is not added again, whichever of the two messages
	// arrives first.
	Cleared bool `json:"cleared,omitempty"`
	// Begun is true if the answer had begun when the upstream was lost.
	Begun bool `json:"begun,omitempty"`
	// Part is the hash of a prompt part. It is set instead of Fingerprint if the
	// strike is against a part. Cleared then withdraws the strike for Upstream, or
	// all strikes if Upstream is empty, because the part is proven sound.
	Part uint64 `json:"part,omitempty"`
	// Age is the time since the upstream was lost, and SentAge the time from which
	// the request had been in flight by then. Both are set for a Part only.
	Age     time.Duration `json:"age,omitempty"`
	SentAge time.Duration `json:"sent_age,omitempty"`
	// Count is the number of strikes against Part that this entry knows, and Repeated
	// is true for a strike that has been sent before. Both are for logs.
	Count    int  `json:"-"`
	Repeated bool `json:"-"`
}

// EventKind is the kind of an [Event].
type EventKind int

// The kinds of events.
const (
	// EventCrashed means that an upstream was lost while the content of
	// Fingerprints was in flight there. Begun is true if its answer had begun.
	// Otherwise Parts are the prompt parts of the request, which was sent at SentAt.
	EventCrashed EventKind = iota
	// EventAnswered means that the content of Fingerprints, with the prompt parts
	// Parts, was answered in full.
	EventAnswered
	// EventStrikeReceived carries a strike, or its withdrawal, that another entry
	// sent.
	EventStrikeReceived
	// EventBegun means that the first event of an answer to a request with Parts
	// arrived.
	EventBegun
	// EventProgress means that events of an answer from Upstream arrived.
	EventProgress
	// EventTrial means that a request with Parts was sent on trial.
	EventTrial
)

// Event is an input of the detector. Only the fields of its kind are set.
type Event struct {
	Kind         EventKind
	Upstream     string
	Fingerprints []string
	Begun        bool
	Parts        []uint64
	SentAt       time.Time
	Strike       Strike
}

// Verdict tells whether and where content may run.
type Verdict int

// The verdicts.
const (
	// Unsuspected content may run.
	Unsuspected Verdict = iota
	// Suspect content may run on an upstream without other suspect content.
	Suspect
	// OnTrial content may run alone: no other content on trial may be in flight.
	OnTrial
	// Quarantined content must not run.
	Quarantined
)

// Detector holds the strikes by fingerprint. The zero value has no strikes.
type Detector struct {
	histories map[string]*history
	// parts holds the prompt parts with strikes, and proofs the times at which parts
	// were proven sound.
	parts  map[uint64]*partHistory
	proofs generations[uint64, time.Time]
	// checks holds for upstreams of recent strikes the time from which progress there
	// withdraws strikes.
	checks map[string]time.Time
	// repeatedAt is the time of the last repeat of strikes.
	repeatedAt time.Time
}

// history holds the strikes against the content with one fingerprint.
type history struct {
	// upstreams are the upstreams of the active strikes, and withdrawn the
	// upstreams of the withdrawn strikes.
	upstreams []string
	withdrawn []string
	// lastStrike is the time of the last strike. Without one it is the time of the
	// first withdrawal, which created the history.
	lastStrike time.Time
	// unbegun is true if an active strike is for an answer that had not begun.
	unbegun bool
}

// isFull reports whether the strikes are enough for a quarantine.
func (h *history) isFull() bool {
	if h.unbegun {
		return len(h.upstreams) >= MaxStrikes
	}
	return len(h.upstreams) >= MaxBegunStrikes
}

// Step processes one event and returns the strikes that the caller must send to
// the other entries. A received strike is returned only if it is new, so that
// entries can forward it to all others without forwarding it for ever.
func (d *Detector) Step(now time.Time, e Event) []Strike {
	if d.histories == nil {
		d.histories = map[string]*history{}
		d.parts, d.checks = map[uint64]*partHistory{}, map[string]time.Time{}
		d.proofs.limit = maxProofs
	}
	var out []Strike
	switch e.Kind {
	case EventCrashed:
		for _, f := range e.Fingerprints {
			s := Strike{Fingerprint: f, Upstream: e.Upstream, Begun: e.Begun}
			if d.addStrike(now, s, true) {
				out = append(out, s)
			}
		}
		out = append(out, d.strikeParts(now, e)...)
	case EventAnswered:
		for _, f := range e.Fingerprints {
			out = append(out, d.withdrawStrikes(f)...)
		}
		out = append(out, d.proveParts(now, e.Parts)...)
	case EventBegun:
		return d.proveParts(now, e.Parts)
	case EventProgress:
		return d.recordProgress(now, e.Upstream)
	case EventTrial:
		d.recordTrial(e.Parts)
	case EventStrikeReceived:
		if e.Strike.Part != 0 {
			return d.receivePartStrike(now, e.Strike)
		}
		if d.receiveStrike(now, e.Strike) {
			out = append(out, e.Strike)
		}
	}
	return out
}

// Verdict returns the verdict on the content with the given fingerprint.
func (d *Detector) Verdict(now time.Time, fingerprint string) Verdict {
	h := d.histories[fingerprint]
	switch {
	case h == nil || len(h.upstreams) == 0:
		return Unsuspected
	case h.isFull() && now.Sub(h.lastStrike) < QuarantineDuration:
		return Quarantined
	case now.Sub(h.lastStrike) < StrikeLifetime:
		return Suspect
	}
	return Unsuspected
}

// ActiveStrikes returns all active strikes, to be sent to an entry that has just
// started.
func (d *Detector) ActiveStrikes(now time.Time) []Strike {
	var out []Strike
	for f, h := range d.histories {
		if d.Verdict(now, f) == Unsuspected {
			continue
		}
		for _, u := range h.upstreams {
			out = append(out, Strike{Fingerprint: f, Upstream: u, Begun: !h.unbegun})
		}
	}
	return out
}

// withdrawStrikes withdraws the strikes against content that was answered, unless
// it is quarantined.
func (d *Detector) withdrawStrikes(fingerprint string) []Strike {
	h := d.histories[fingerprint]
	if h == nil || h.isFull() {
		return nil
	}
	var out []Strike
	for _, u := range h.upstreams {
		h.withdrawn = append(h.withdrawn, u)
		out = append(out, Strike{Fingerprint: fingerprint, Upstream: u, Cleared: true})
	}
	h.upstreams, h.unbegun = nil, false
	return out
}

// receiveStrike adds or withdraws a strike that another entry sent and reports
// whether this was a change. A withdrawal does not lift a quarantine: the answer
// that caused it may be older than the second strike.
func (d *Detector) receiveStrike(now time.Time, s Strike) bool {
	if !s.Cleared {
		return d.addStrike(now, s, false)
	}
	h := d.history(now, s.Fingerprint)
	if slices.Contains(h.withdrawn, s.Upstream) || h.isFull() || len(h.withdrawn) >= maxWithdrawn {
		return false
	}
	h.withdrawn = append(h.withdrawn, s.Upstream)
	h.upstreams = slices.DeleteFunc(h.upstreams, func(u string) bool { return u == s.Upstream })
	h.unbegun = h.unbegun && len(h.upstreams) > 0
	return true
}

// maxWithdrawn bounds the withdrawn strikes in the history of one fingerprint.
const maxWithdrawn = 32

// addStrike adds a strike and reports whether it was new. A withdrawn strike is
// added again only if this entry observed the crash itself.
func (d *Detector) addStrike(now time.Time, s Strike, observed bool) bool {
	h := d.history(now, s.Fingerprint)
	if slices.Contains(h.upstreams, s.Upstream) || h.isFull() {
		return false
	}
	if !observed && (slices.Contains(h.withdrawn, s.Upstream) || len(h.withdrawn) >= maxWithdrawn) {
		return false
	}
	h.upstreams = append(h.upstreams, s.Upstream)
	h.unbegun = h.unbegun || !s.Begun
	h.lastStrike = now
	return true
}

// history returns the history of a fingerprint. It creates a new one if there is
// none or if the last strike is older than StrikeLifetime.
func (d *Detector) history(now time.Time, fingerprint string) *history {
	h := d.histories[fingerprint]
	if h == nil || now.Sub(h.lastStrike) >= StrikeLifetime {
		d.evictOldest(now)
		h = &history{lastStrike: now}
		d.histories[fingerprint] = h
	}
	return h
}

// evictOldest deletes the history with the oldest strike if there are
// MaxFingerprints.
func (d *Detector) evictOldest(now time.Time) {
	if len(d.histories) < MaxFingerprints {
		return
	}
	oldest, oldestTime := "", now
	for f, h := range d.histories {
		if !h.lastStrike.After(oldestTime) {
			oldest, oldestTime = f, h.lastStrike
		}
	}
	delete(d.histories, oldest)
}
