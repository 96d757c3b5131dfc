package resumer

import (
	"slices"
	"time"
)

// A stream that a caller takes up may have begun anywhere and just now, so that what this
// entry has heard so far does not tell its version: the entry may have been cut off, have
// stood still or be about to hear of a new version. Three facts do.
//
//   - An entry begins streams at a version only after the platform has acknowledged its record
//     with that version; see [Resumer.Announced]. The records of all entries, read after the
//     stream was taken up, therefore have its version.
//   - An entry that is asked knows the streams that it has begun.
//   - What no entry has begun that replied was begun by one that did not, at a version of the
//     record of that entry.

// ReadState is the state of reading the records of all entries.
type ReadState int

// States of a read.
const (
	ReadPending ReadState = iota
	ReadDone
	ReadFailed
)

// Inquiry is what an entry has found out of a stream that a caller has taken up.
type Inquiry struct {
	Service string
	Stream  uint64
	// Read is the state of a read of the records that began after the stream was taken up,
	// and Records its result.
	Read    ReadState
	Records []EntryRecord
	// Asked is true once the other entries were asked for the stream. Replies has, by entry,
	// the versions in use at those that have replied that they do not know it.
	Asked   bool
	Replies map[string][]Served
	// Others is the number of other entries.
	Others int
	// Expired is true once the caller must not wait any longer.
	Expired bool
}

// Reply is the reply of an entry that was asked for streams. Known has those whose version it
// knows, Unknown the identities of the others, and Served the versions in use.
type Reply struct {
	Known   []Stream
	Unknown []uint64
	Served  []Served
}

// Verdict is what has to be done with a stream that was taken up.
type Verdict int

// Verdicts.
const (
	// VerdictWait means that the version is not known yet.
	VerdictWait Verdict = iota
	// VerdictAsk is like VerdictWait, and the other entries have to be asked.
	VerdictAsk
	// VerdictGoOn means that the stream may go on at a version.
	VerdictGoOn
	// VerdictRefuse means that the version cannot be known.
	VerdictRefuse
)

// Judgement is the verdict on a stream. Version is set for VerdictGoOn. Reason says in one
// word what the verdict rests on.
type Judgement struct {
	Verdict Verdict
	Version uint64
	Reason  string
}

// Judge decides at which version the stream of q may go on.
func (r *Resumer) Judge(now time.Time, q Inquiry) Judgement {
	if version, ok := r.Lookup(now, q.Stream); ok {
		return Judgement{VerdictGoOn, version, "known"}
	}
	switch {
	case q.Read == ReadDone:
		return r.judgeRecords(q)
	case q.Read == ReadFailed && q.Others == 0:
		version, ok := r.Version(now, q.Service, q.Stream)
		return conclude(ok, version, "only_entry")
	case q.Read == ReadFailed:
		return r.judgeReplies(q)
	case q.Expired:
		return Judgement{Verdict: VerdictRefuse, Reason: "records_late"}
	}
	return Judgement{Verdict: VerdictWait}
}

// judgeRecords decides by the records of all entries and the replies of those that reply.
func (r *Resumer) judgeRecords(q Inquiry) Judgement {
	used := versionsOf(q.Service, inUse(q.Records), r.served())
	if len(used) == 1 {
		return Judgement{VerdictGoOn, used[0], "only_version"}
	}
	if len(used) > 1 && !q.Asked {
		return Judgement{Verdict: VerdictAsk}
	}
	// Only entries that have not replied may have begun the stream.
	var possible []uint64
	for _, x := range q.Records {
		if _, ok := q.Replies[x.Entry]; !ok && !x.Own {
			possible = append(possible, versionsOf(q.Service, x.Served)...)
		}
	}
	slices.Sort(possible)
	possible = slices.DeleteFunc(slices.Compact(possible), func(v uint64) bool { return !slices.Contains(used, v) })
	switch {
	case len(possible) == 1:
		return Judgement{VerdictGoOn, possible[0], "silent_entries"}
	case len(possible) == 0:
		return Judgement{Verdict: VerdictRefuse, Reason: "begun_by_none"}
	case q.Expired:
		return Judgement{Verdict: VerdictRefuse, Reason: "entries_silent"}
	}
	return Judgement{Verdict: VerdictWait}
}

// judgeReplies decides without the platform. If half of the other entries reply, this one is
// not the one that is cut off.
func (r *Resumer) judgeReplies(q Inquiry) Judgement {
	if !q.Asked {
		return Judgement{Verdict: VerdictAsk}
	}
	if len(q.Replies) < q.Others && !q.Expired {
		return Judgement{Verdict: VerdictWait}
	}
	if 2*len(q.Replies) < q.Others {
		return Judgement{Verdict: VerdictRefuse, Reason: "cut_off"}
	}
	all := [][]Served{r.served()}
	for _, served := range q.Replies {
		all = append(all, served)
	}
	used := versionsOf(q.Service, all...)
	return conclude(len(used) == 1, append(used, 0)[0], "only_version_of_entries")
}

func conclude(ok bool, version uint64, reason string) Judgement {
	if !ok {
		return Judgement{Verdict: VerdictRefuse, Reason: "several_versions"}
	}
	return Judgement{VerdictGoOn, version, reason}
}

// versionsOf returns the versions of a service, each once and in order.
func versionsOf(service string, lists ...[]Served) []uint64 {
	var out []uint64
	for _, s := range slices.Concat(lists...) {
		if s.Service == service {
			out = append(out, s.Version)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Reply returns the reply of this entry to one that asks for streams.
func (r *Resumer) Reply(now time.Time, streams []uint64) Reply {
	out := Reply{Served: r.served()}
	for _, id := range streams {
		if version, ok := r.Lookup(now, id); ok {
			out.Known = append(out.Known, Stream{ID: id, Version: version})
			continue
		}
		out.Unknown = append(out.Unknown, id)
	}
	return out
}
