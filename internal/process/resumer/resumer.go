// Package resumer decides at which software version of the upstreams a stream may go on.
//
// It makes decisions only and does no I/O. What two software versions write does not fit
// together, so that a stream may go on only at the version that began it, and upstreams do
// not check this. Within one answer the entry knows that version. A caller that takes a
// stream up names the request that brought its first event, which may have been handled by
// another entry. A [Resumer] therefore knows the versions of the streams of all entries:
// entries tell each other what they have begun, and keep it in the platform, while more
// than one version of a service is in use.
//
// A stream that this entry does not know may go on if only one version can have begun it.
// What the entry has heard does not show that, since it may be out of step; it has to look
// at the records that the others have kept, and to ask them. [Resumer.Judge] decides by an
// [Inquiry] what to do next.
//
// # Usage
//
//	r := resumer.New()
//	r.HandleEvent(now, resumer.Event{Kind: resumer.EventListed, Served: all})
//	r.HandleEvent(now, resumer.Event{Kind: resumer.EventBegun, Streams: []resumer.Stream{s}})
//	version, ok := r.Lookup(now, resumer.Digest("r1"))
//	if !ok {
//		judgement := r.Judge(now, resumer.Inquiry{Service: "desk", Stream: resumer.Digest("r1")})
//	}
package resumer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Horizon is the time for which the version of a stream is known after its first event.
	// It is longer than callers wait for an answer.
	Horizon = 40 * time.Second
	// maxStreams bounds the streams whose version is known. The oldest are forgotten.
	maxStreams = 1 << 16
	// maxReported bounds the streams of one report.
	maxReported = 1024
	// minAnnouncementInterval is the minimum time between two records of changed versions.
	minAnnouncementInterval = 100 * time.Millisecond
	// recordLifetime is the time after which a record is written again without a change, by
	// which those of entries that have ended become old.
	recordLifetime = time.Minute
)

// Digest returns the digest of the identity of a request or of a version. It is never zero.
func Digest(name string) uint64 { return max(1, xxhash.Sum64String(name)) }

// Stream is a stream that has begun. ID is the digest of the identity of the request that
// brought its first event, and Version that of the software version that began it.
type Stream struct {
	ID      uint64
	Version uint64
}

// Served is a software version of a service, by its digest.
type Served struct {
	Service string
	Version uint64
}

// Record is what an entry keeps in the platform, for entries that start later: the versions
// that were in use within the horizon and, while a service has several, the streams that the
// entry has begun and not relayed to their end.
type Record struct {
	Served  []Served
	Streams []Stream
}

// EventKind is the kind of an [Event].
type EventKind int

// Kinds of events.
const (
	// EventListed carries the versions of all registered upstreams.
	EventListed EventKind = iota
	// EventBegun carries a stream that this entry has begun to relay.
	EventBegun
	// EventEnded carries a stream that this entry has relayed to its end, so that its caller
	// will hardly take it up.
	EventEnded
	// EventLearned carries streams that other entries have begun.
	EventLearned
	// EventRecalled carries the versions and streams that all entries have kept. Until then,
	// this entry cannot know which versions were in use before its start.
	EventRecalled
	// EventKept carries the versions of a record that the platform has acknowledged.
	EventKept
)

// Event is an input of a [Resumer]. Served is set for EventListed, EventRecalled and EventKept,
// Streams for all but EventListed and EventKept.
type Event struct {
	Kind    EventKind
	Served  []Served
	Streams []Stream
}

// Resumer knows the software versions of streams and services. Create it with [New].
type Resumer struct {
	streams map[uint64]begun
	// order has the identities of streams in the order of their expiry.
	order []uint64
	// listed has the versions of the registered upstreams, and left those of others with the
	// time at which the last upstream has left.
	listed map[Served]struct{}
	left   map[Served]time.Time
	// mixed is true if any service may have streams of several versions.
	mixed bool
	// completeSince is the time since which all versions are known, zero before the first
	// list. With recalled, those before that time are known, too.
	completeSince time.Time
	recalled      bool
	// unreported has the own streams that the other entries have not been told of, and
	// repeated those of the last report, which may have been lost.
	unreported, repeated []Stream
	// unshared has the own streams that no other entry has been told of.
	unshared []Stream
	// keptAt is the time of the last record. With unkept, an own stream has begun since, and
	// with changed, a version has come or gone.
	keptAt          time.Time
	unkept, changed bool
	// announced has the versions of the last record that the platform has acknowledged.
	announced map[Served]struct{}
}

// begun is what is known of a stream.
type begun struct {
	version uint64
	at      time.Time
	// own is true if this entry has begun it and not relayed its end.
	own bool
}

// New returns a resumer that knows nothing.
func New() *Resumer {
	return &Resumer{streams: map[uint64]begun{}, listed: map[Served]struct{}{}, left: map[Served]time.Time{}}
}

// HandleEvent applies e.
func (r *Resumer) HandleEvent(now time.Time, e Event) {
	r.forget(now)
	switch e.Kind {
	case EventListed:
		r.list(now, e.Served)
	case EventBegun:
		r.add(now, e.Streams, true)
		r.unkept = true
		if r.mixed {
			r.unshared = append(r.unshared, e.Streams...)
		}
		r.unreported = append(r.unreported, e.Streams...)
		r.unreported = r.unreported[max(0, len(r.unreported)-maxStreams):]
	case EventEnded:
		for _, s := range e.Streams {
			if b, ok := r.streams[s.ID]; ok {
				b.own = false
				r.streams[s.ID] = b
			}
		}
	case EventLearned:
		r.add(now, e.Streams, false)
	case EventRecalled:
		r.add(now, e.Streams, false)
		for _, s := range e.Served {
			if _, ok := r.listed[s]; !ok {
				r.left[s] = now
			}
		}
		r.recalled = true
		r.noteChange()
	case EventKept:
		r.announced = make(map[Served]struct{}, len(e.Served))
		for _, s := range e.Served {
			r.announced[s] = struct{}{}
		}
	}
}

// list replaces the versions of the registered upstreams.
func (r *Resumer) list(now time.Time, all []Served) {
	if r.completeSince.IsZero() && len(all) > 0 {
		r.completeSince = now
	}
	before := r.listed
	r.listed = make(map[Served]struct{}, len(before))
	for _, s := range all {
		r.listed[s] = struct{}{}
		delete(r.left, s)
	}
	for s := range before {
		if _, ok := r.listed[s]; !ok {
			r.left[s] = now
		}
	}
	if !maps.Equal(before, r.listed) {
		r.noteChange()
	}
}

// noteChange is called after the versions in use have changed.
func (r *Resumer) noteChange() {
	r.changed, r.mixed = true, false
	all := r.served()
	for i := range all {
		r.mixed = r.mixed || i > 0 && all[i].Service == all[i-1].Service
	}
}

// add adds streams. What is known of a stream is not replaced.
func (r *Resumer) add(now time.Time, streams []Stream, own bool) {
	for _, s := range streams {
		if _, ok := r.streams[s.ID]; ok {
			continue
		}
		r.streams[s.ID] = begun{version: s.Version, at: now, own: own}
		r.order = append(r.order, s.ID)
	}
	for len(r.order) > maxStreams {
		r.forgetOldest()
	}
}

// forget forgets streams that began, and versions that left, before the horizon.
func (r *Resumer) forget(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.streams[r.order[0]].at) >= Horizon {
		r.forgetOldest()
	}
	known := len(r.left)
	maps.DeleteFunc(r.left, func(_ Served, at time.Time) bool { return now.Sub(at) >= Horizon })
	if len(r.left) < known {
		r.noteChange()
	}
}

func (r *Resumer) forgetOldest() {
	delete(r.streams, r.order[0])
	r.order = r.order[1:]
}

// Lookup returns the digest of the version of a stream. It returns false if this entry does
// not know the stream.
func (r *Resumer) Lookup(now time.Time, stream uint64) (uint64, bool) {
	r.forget(now)
	s, ok := r.streams[stream]
	return s.version, ok
}

// Announced reports whether the platform has acknowledged a record of this entry with a
// version. Until then, others cannot know that this entry begins streams at it.
func (r *Resumer) Announced(s Served) bool {
	_, ok := r.announced[s]
	return ok
}

// Version returns the digest of the version at which a stream may go on if there is no entry
// but this one. It returns false if that is not known.
func (r *Resumer) Version(now time.Time, service string, stream uint64) (uint64, bool) {
	if version, ok := r.Lookup(now, stream); ok {
		return version, true
	}
	var versions []uint64
	for _, s := range r.served() {
		if s.Service == service {
			versions = append(versions, s.Version)
		}
	}
	isComplete := !r.completeSince.IsZero() && (r.recalled || now.Sub(r.completeSince) >= Horizon)
	if len(versions) != 1 || !isComplete {
		return 0, false
	}
	return versions[0], true
}

// served returns the versions of all services that may have begun a stream within the
// horizon, in order.
func (r *Resumer) served() []Served {
	out := slices.AppendSeq(slices.Collect(maps.Keys(r.listed)), maps.Keys(r.left))
	slices.SortFunc(out, func(a, b Served) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// TakeReport returns the own streams that the other entries must be told of, each in two
// reports. There are none while each service has one version.
func (r *Resumer) TakeReport(now time.Time) []Stream {
	r.forget(now)
	if len(r.unreported)+len(r.repeated) == 0 {
		return nil
	}
	if !r.mixed {
		r.unreported = slices.DeleteFunc(r.unreported, func(s Stream) bool { return !r.knows(s) })
		return nil
	}
	// The newest streams come first: their callers have waited least.
	n := max(0, len(r.unreported)-maxReported)
	news := slices.Clone(r.unreported[n:])
	out := slices.Concat(news, r.repeated)
	r.unreported, r.repeated = r.unreported[:n], news
	return out
}

func (r *Resumer) knows(s Stream) bool {
	_, ok := r.streams[s.ID]
	return ok
}

// TakeShared returns the own streams that a few other entries must be told of at once. If this
// entry ends before its next report, these still know them.
func (r *Resumer) TakeShared() []Stream {
	out := r.unshared
	r.unshared = nil
	return out
}

// TakeRecord returns the record that this entry must keep, if the last one is out of date. A
// record of new streams only is not taken before the last one is older than interval.
func (r *Resumer) TakeRecord(now time.Time, interval time.Duration) (Record, bool) {
	r.forget(now)
	age := now.Sub(r.keptAt)
	isDue := r.changed && age >= minAnnouncementInterval || r.mixed && r.unkept && age >= interval
	isOld := !r.keptAt.IsZero() && age >= recordLifetime
	if !isDue && !isOld {
		return Record{}, false
	}
	r.keptAt, r.unkept, r.changed = now, false, false
	out := Record{Served: r.served()}
	for _, id := range r.order {
		if s := r.streams[id]; r.mixed && s.own {
			out.Streams = append(out.Streams, Stream{ID: id, Version: s.version})
		}
	}
	return out, true
}
