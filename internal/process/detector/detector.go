// Package detector finds poison requests (queries of death): requests that crash
// the upstreams that run them, by their whole content or by one part of their prompt.
//
// It is a decision package: it does no I/O and gets the time as an argument. When
// an upstream is lost, the content of each request in flight there gets a strike
// for that upstream. Content with enough strikes is quarantined: no entry sends it to
// an upstream until the quarantine ends. Content with fewer strikes is suspect. Suspect
// content may run, but not on the same upstream as other suspect content, so that
// harmless content is not in flight when poison content crashes the next upstream.
//
// Poison content is never answered in full. An answer on any entry therefore withdraws
// all strikes from before it and shortly after it, and lifts a quarantine. Without an
// answer, three strikes quarantine content. Two are enough if that many losses are
// improbable for harmless content, given how many of its attempts were in flight and
// how many upstreams were lost without it, and if the answers had not all begun.
//
// Some time after the last strike, one request with quarantined content runs on trial.
// Its answer lifts the quarantine, and its crash confirms it.
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

import "time"

const (
	// MaxStrikes is the number of strikes, each for a different upstream, at which
	// content is quarantined if they are improbable for harmless content.
	MaxStrikes = 2
	// MaxBegunStrikes is the number of strikes at which content is quarantined in any
	// case. Content whose answers had all begun needs as many: poison content crashes
	// an upstream that begins to run it, so that it was most likely another request.
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
	// Cleared withdraws all strikes against Fingerprint, because the content was
	// answered in full at Age before. The order in which strikes and withdrawals
	// arrive does not matter.
	Cleared bool `json:"cleared,omitempty"`
	// Begun is true if the answer had begun when the upstream was lost.
	Begun bool `json:"begun,omitempty"`
	// Part is the hash of a prompt part. It is set instead of Fingerprint if the
	// strike is against a part. Cleared then withdraws the strike for Upstream, or
	// all strikes if Upstream is empty, because the part is proven sound.
	Part uint64 `json:"part,omitempty"`
	// Observer identifies the entry that saw the loss, Attempts is the number of its
	// attempts of the content that were in flight, and Trial is true if one of them was
	// on trial. They are set for a Fingerprint only.
	Observer uint64 `json:"observer,omitempty"`
	Attempts int    `json:"attempts,omitempty"`
	Trial    bool   `json:"trial,omitempty"`
	// Age is the time since the upstream was lost or the content was answered. SentAge
	// is the time for which the request had been in flight by then.
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
	// Attempts is the number of attempts of the content in flight at this entry, and
	// Upstreams the number of upstreams of the service.
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
	// EventTrial means that a request with Fingerprints and Parts was sent on trial.
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
	Attempts     int
	Upstreams    int
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
	// ID identifies the entry among the observers of strikes. It must be unique.
	ID uint64
	// Mesh is true if each entry sends its strikes to all others directly. Single
	// strikes of other entries are then not sent on.
	Mesh      bool
	histories map[string]*history
	// answers holds by fingerprint when content was last answered.
	answers generations[string, answer]
	losses  losses
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

// Step processes one event and returns the strikes that the caller must send to
// the other entries. A received strike is returned only if it is new, so that
// entries can forward it to all others without forwarding it for ever.
func (d *Detector) Step(now time.Time, e Event) []Strike {
	if d.histories == nil {
		d.histories = map[string]*history{}
		d.parts, d.checks = map[uint64]*partHistory{}, map[string]time.Time{}
		d.proofs.limit, d.answers.limit = maxProofs, maxAnswers
		d.losses.at = map[string]time.Time{}
	}
	var out []Strike
	switch e.Kind {
	case EventCrashed:
		d.recordLoss(now, e.Upstream)
		d.losses.upstreams = max(d.losses.upstreams, e.Upstreams)
		for _, f := range e.Fingerprints {
			out = append(out, d.strikeContent(now, f, e)...)
		}
		out = append(out, d.strikeParts(now, e)...)
	case EventAnswered:
		for _, f := range e.Fingerprints {
			out = append(out, d.recordAnswer(now, f)...)
		}
		out = append(out, d.proveParts(now, e.Parts)...)
	case EventBegun:
		return d.proveParts(now, e.Parts)
	case EventProgress:
		return d.recordProgress(now, e.Upstream)
	case EventTrial:
		d.recordTrial(e.Parts)
		for _, f := range e.Fingerprints {
			d.recordContentTrial(now, f)
		}
	case EventStrikeReceived:
		if e.Strike.Part != 0 {
			return d.receivePartStrike(now, e.Strike)
		}
		return d.receiveStrike(now, e.Strike)
	}
	return out
}

// Verdict returns the verdict on the content with the given fingerprint.
func (d *Detector) Verdict(now time.Time, fingerprint string) Verdict {
	h := d.histories[fingerprint]
	if h == nil || len(h.strikes) == 0 || now.Sub(h.last()) >= StrikeLifetime {
		return Unsuspected
	}
	switch {
	case !d.isPoison(h):
		return Suspect
	case d.mayTry(now, h):
		return OnTrial
	}
	return Quarantined
}

// ActiveStrikes returns the strikes against content that is suspect or quarantined and
// those against accused parts, to be sent to an entry that has just started. It returns
// at most maxActiveStrikes, those against quarantined content first.
func (d *Detector) ActiveStrikes(now time.Time) []Strike {
	var poison, suspect []Strike
	for f, h := range d.histories {
		switch d.Verdict(now, f) {
		case Unsuspected:
		case Suspect:
			suspect = append(suspect, h.messages(now, f)...)
		default:
			poison = append(poison, h.messages(now, f)...)
		}
	}
	for p, h := range d.parts {
		if h.isEnough() && now.Sub(h.last()) < StrikeLifetime {
			poison = append(poison, h.messages(now, p)...)
		}
	}
	poison = append(poison, suspect...)
	return poison[:min(len(poison), maxActiveStrikes)]
}
