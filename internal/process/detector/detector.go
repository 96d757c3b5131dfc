// Package detector finds requests that crash the upstreams that run them.
//
// It is a decision package. When an upstream is lost, every content that was in
// flight there gets a strike for that upstream. Content with strikes for two
// upstreams is quarantined: no entry sends it anywhere for a while. Content
// with one strike is a suspect. A suspect may run, but no two suspects run on
// one upstream at once, so that a harmless one is not in flight where the
// harmful one crashes the next upstream; its answer then clears it.
//
// Content is identified by a fingerprint of organisation and body. The key
// under which a caller sends it is no part of it, since callers send a failed
// request again under a new one.
//
// # Usage
//
//	var d detector.Detector
//	strikes := d.Step(now, detector.Event{Kind: detector.EventCrashed, Upstream: "desk-1", Fingerprints: f})
//	// spread strikes to the other entries, where each is an EventLearned
//	switch d.Verdict(now, fingerprint) {
//	case detector.Quarantined:
//	}
package detector

import (
	"slices"
	"time"
)

const (
	// MaxStrikes is the number of upstreams that content may take down before it
	// is quarantined.
	MaxStrikes = 2
	// Quarantine is the time for which content is refused after its last strike.
	Quarantine = 10 * time.Minute
	// Suspicion is the time after which a single strike is forgotten.
	Suspicion = 10 * time.Minute
	// Capacity bounds the number of contents with strikes. The oldest are
	// forgotten first.
	Capacity = 1024
)

// Strike is evidence against one content: it was in flight when an upstream was
// lost.
type Strike struct {
	Fingerprint string `json:"fingerprint"`
	Upstream    string `json:"upstream"`
	// Cleared withdraws the strike, because the content was answered. A strike
	// that was withdrawn does not come back from another entry, whichever of the
	// two messages arrives first.
	Cleared bool `json:"cleared,omitempty"`
}

// EventKind says what happened.
type EventKind int

// The kinds of events.
const (
	// EventCrashed means that an upstream was lost with contents in flight.
	EventCrashed EventKind = iota
	// EventAnswered means that a content was answered in full.
	EventAnswered
	// EventLearned brings a strike of another entry.
	EventLearned
)

// Event is one thing that happened.
type Event struct {
	Kind         EventKind
	Upstream     string
	Fingerprints []string
	Strike       Strike
}

// Verdict says what is known of a content.
type Verdict int

// The verdicts.
const (
	// Unsuspected content may run.
	Unsuspected Verdict = iota
	// Suspect content may run where no other suspect does.
	Suspect
	// Quarantined content must not run.
	Quarantined
)

// Detector keeps the strikes. The zero value has none.
type Detector struct {
	contents map[string]*content
}

// content is what is known against one content.
type content struct {
	// upstreams are those of the strikes in force, and withdrawn those of the
	// strikes that were withdrawn.
	upstreams []string
	withdrawn []string
	last      time.Time
}

// Step takes in one event and returns the strikes that other entries must
// learn. A strike that was learned is returned once, so that entries can pass
// it on to all others without passing it on for ever.
func (d *Detector) Step(now time.Time, e Event) []Strike {
	if d.contents == nil {
		d.contents = map[string]*content{}
	}
	var out []Strike
	switch e.Kind {
	case EventCrashed:
		for _, f := range e.Fingerprints {
			s := Strike{Fingerprint: f, Upstream: e.Upstream}
			if d.strike(now, s, true) {
				out = append(out, s)
			}
		}
	case EventAnswered:
		for _, f := range e.Fingerprints {
			out = append(out, d.answered(f)...)
		}
	case EventLearned:
		if d.learn(now, e.Strike) {
			out = append(out, e.Strike)
		}
	}
	return out
}

// Verdict returns what is known of the content with the given fingerprint.
func (d *Detector) Verdict(now time.Time, fingerprint string) Verdict {
	c := d.contents[fingerprint]
	switch {
	case c == nil || len(c.upstreams) == 0:
		return Unsuspected
	case len(c.upstreams) >= MaxStrikes && now.Sub(c.last) < Quarantine:
		return Quarantined
	case now.Sub(c.last) < Suspicion:
		return Suspect
	}
	return Unsuspected
}

// Strikes returns all strikes in force, for an entry that has just started.
func (d *Detector) Strikes(now time.Time) []Strike {
	var out []Strike
	for f, c := range d.contents {
		if d.Verdict(now, f) == Unsuspected {
			continue
		}
		for _, u := range c.upstreams {
			out = append(out, Strike{Fingerprint: f, Upstream: u})
		}
	}
	return out
}

// answered withdraws the strikes against a content, unless it is quarantined.
func (d *Detector) answered(fingerprint string) []Strike {
	c := d.contents[fingerprint]
	if c == nil || len(c.upstreams) >= MaxStrikes {
		return nil
	}
	var out []Strike
	for _, u := range c.upstreams {
		c.withdrawn = append(c.withdrawn, u)
		out = append(out, Strike{Fingerprint: fingerprint, Upstream: u, Cleared: true})
	}
	c.upstreams = nil
	return out
}

// learn takes in a strike of another entry and reports whether it was news. A
// withdrawal does not lift a quarantine: the answer it reports may be older than
// the second strike.
func (d *Detector) learn(now time.Time, s Strike) bool {
	if !s.Cleared {
		return d.strike(now, s, false)
	}
	c := d.content(now, s.Fingerprint)
	if slices.Contains(c.withdrawn, s.Upstream) || len(c.upstreams) >= MaxStrikes || len(c.withdrawn) >= maxWithdrawn {
		return false
	}
	c.withdrawn = append(c.withdrawn, s.Upstream)
	c.upstreams = slices.DeleteFunc(c.upstreams, func(u string) bool { return u == s.Upstream })
	return true
}

// maxWithdrawn bounds the withdrawn strikes that are remembered of one content.
const maxWithdrawn = 32

// strike reports whether s was new. One that was withdrawn counts again only if
// this entry itself saw the crash.
func (d *Detector) strike(now time.Time, s Strike, seen bool) bool {
	c := d.content(now, s.Fingerprint)
	if slices.Contains(c.upstreams, s.Upstream) || len(c.upstreams) >= MaxStrikes {
		return false
	}
	if !seen && (slices.Contains(c.withdrawn, s.Upstream) || len(c.withdrawn) >= maxWithdrawn) {
		return false
	}
	c.upstreams = append(c.upstreams, s.Upstream)
	c.last = now
	return true
}

// content returns what is known against a content, afresh if that is old.
func (d *Detector) content(now time.Time, fingerprint string) *content {
	c := d.contents[fingerprint]
	if c == nil || now.Sub(c.last) >= Suspicion {
		d.makeRoom(now)
		c = &content{last: now}
		d.contents[fingerprint] = c
	}
	return c
}

func (d *Detector) makeRoom(now time.Time) {
	if len(d.contents) < Capacity {
		return
	}
	oldest, at := "", now
	for f, c := range d.contents {
		if !c.last.After(at) {
			oldest, at = f, c.last
		}
	}
	delete(d.contents, oldest)
}
