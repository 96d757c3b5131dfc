package watcher

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
)

const (
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 3 * time.Second
	// firstWait is the time for which a new process waits for a second peer, so
	// that it does not start with the records of one that lags.
	firstWait = 3 * time.Second
	// readPause is the time after which a failed reading of the platform is
	// repeated.
	readPause = time.Second
	// avoidFor is the time for which a peer is not asked again after its answer
	// was missing or wrong.
	avoidFor = 5 * time.Second
	// answerLimit bounds the buckets in one answer in bytes. A message may hold
	// 1 MB, of which one bucket may take a large part.
	answerLimit = 512 << 10
)

// EventKind tells what an event of a [Decision] is about.
type EventKind int

// The kinds of events.
const (
	// EventRelay says whether this process watches the platform.
	EventRelay EventKind = iota
	// EventHead carries the head as the platform gave it.
	EventHead
	// EventRead carries the set that was read for a head. It is nil if the
	// reading failed.
	EventRead
	// EventHeard carries the revision of a peer.
	EventHeard
	// EventGone says that the connection to a peer has ended.
	EventGone
	// EventAnswered carries a peer's answer. It is nil if there was none.
	EventAnswered
	// EventTicked means that the time of [Decision.Wake] has come.
	EventTicked
)

// Event is one input of a [Decision].
type Event struct {
	Kind  EventKind
	Relay bool
	Head  cataloger.Head
	Set   *cataloger.Catalog
	// Peer is the link to a peer, with the identity of the process behind it.
	Peer     string
	Identity string
	Revision int64
	// Known is the number of entries that could be asked, zero if not known.
	Known  int
	Answer *messenger.Records
}

// ActionKind tells what an action is.
type ActionKind int

// The kinds of actions.
const (
	// ActionWatch starts to watch the platform and ActionUnwatch ends it.
	ActionWatch ActionKind = iota
	ActionUnwatch
	// ActionRead reads the set of Head from the platform.
	ActionRead
	// ActionFetch sends Query to Peer.
	ActionFetch
	// ActionInForce puts Set and Snapshot in force.
	ActionInForce
	// ActionRefused reports that a revision was refused for Reason.
	ActionRefused
)

// Action is one output of a [Decision].
type Action struct {
	Kind     ActionKind
	Head     cataloger.Head
	Peer     string
	Query    messenger.FetchRecords
	Set      *cataloger.Catalog
	Snapshot *compiler.Snapshot
	Revision int64
	Reason   string
}

// Holding is what a process has in force and hands out to its peers. It is
// never changed.
type Holding struct {
	Set *cataloger.Catalog
	Log cataloger.DeltaLog
}

// Decision decides which revision comes into force, and from where. Its zero
// value is a process without records.
type Decision struct {
	Holding Holding

	// last is the time of the last step.
	last  time.Time
	relay bool
	// reading is the revision that is being read from the platform.
	reading int64
	// unread is a head whose set could not be read, to be tried again at retry.
	unread cataloger.Head
	retry  time.Time
	peers  map[string]peer
	// fetching is the peer that has been asked, until deadline.
	fetching string
	deadline time.Time
	// since is the time at which the first peer was heard.
	since time.Time
	// known is the number of entries that could be asked, zero if not known.
	known   int
	partial partial
}

// peer is what is known of one link.
type peer struct {
	identity string
	revision int64
	// avoid is the time before which it is not asked.
	avoid time.Time
}

// partial is a set of which some buckets are still missing.
type partial struct {
	revision int64
	hashes   [cataloger.BucketCount]string
	contents [cataloger.BucketCount][]byte
}

// Revision returns the revision in force.
func (d *Decision) Revision() int64 {
	if d.Holding.Set == nil {
		return 0
	}
	return d.Holding.Set.Revision
}

// Step takes in one event and returns what to do.
func (d *Decision) Step(now time.Time, e Event) []Action {
	if d.peers == nil {
		d.peers = map[string]peer{}
	}
	d.last = now
	var out []Action
	switch e.Kind {
	case EventRelay:
		if d.relay != e.Relay {
			d.relay = e.Relay
			kind := ActionUnwatch
			if e.Relay {
				kind = ActionWatch
			}
			out = append(out, Action{Kind: kind})
		}
	case EventHead:
		out = d.head(e.Head)
	case EventRead:
		d.reading = 0
		if e.Set != nil {
			out = d.accept(e.Set)
		} else {
			d.unread, d.retry = e.Head, now.Add(readPause)
		}
	case EventHeard:
		p := d.peers[e.Peer]
		p.identity, p.revision = e.Identity, e.Revision
		d.peers[e.Peer] = p
		d.known = max(d.known, e.Known)
		if d.since.IsZero() {
			d.since = now
		}
	case EventGone:
		delete(d.peers, e.Peer)
		if d.fetching == e.Peer {
			d.fetching = ""
		}
	case EventAnswered:
		out = d.answered(now, e)
	}
	if !d.retry.IsZero() && !now.Before(d.retry) {
		d.retry = time.Time{}
		if d.relay && d.unread.Revision > d.Revision() {
			out = append(out, d.head(d.unread)...)
		}
	}
	return append(out, d.fetch(now)...)
}

// Wake returns the time at which the decision wants an EventTicked. It is zero
// if there is none.
func (d *Decision) Wake() time.Time {
	var at time.Time
	// What was due at the last step has been done or must wait for an event.
	earlier := func(t time.Time) {
		if t.After(d.last) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	earlier(d.retry)
	if d.fetching != "" {
		earlier(d.deadline)
		return at
	}
	for _, p := range d.peers {
		if p.revision <= d.Revision() {
			continue
		}
		earlier(p.avoid)
		if d.Revision() == 0 {
			earlier(d.since.Add(firstWait))
		}
	}
	return at
}

func (d *Decision) head(h cataloger.Head) []Action {
	switch {
	case h.Revision == 0 || h.Revision == d.Revision() || h.Revision == d.reading:
		// Before the first revision there is nothing to read; a repeated watch
		// brings nothing new.
		return nil
	case h.Revision < d.Revision():
		return []Action{refused(h.Revision, "the platform gave an older revision than the one in force")}
	}
	d.reading = h.Revision
	return []Action{{Kind: ActionRead, Head: h}}
}

// accept puts a set in force if it is newer and valid.
func (d *Decision) accept(c *cataloger.Catalog) []Action {
	if c.Revision == d.Revision() {
		// A peer was faster than the platform, or the other way round.
		return nil
	}
	if c.Revision < d.Revision() {
		return []Action{refused(c.Revision, "older than the revision in force")}
	}
	s, err := compiler.Compile(c.Revision, c.List())
	if err != nil {
		return []Action{refused(c.Revision, err.Error())}
	}
	next := Holding{Set: c, Log: cataloger.DeltaLog{Deltas: slices.Clone(d.Holding.Log.Deltas)}}
	if d.Holding.Set != nil {
		next.Log.Append(cataloger.Diff(d.Holding.Set, c))
	}
	d.Holding = next
	d.partial = partial{}
	return []Action{{Kind: ActionInForce, Set: c, Snapshot: s, Revision: c.Revision}}
}

// fetch asks the peer with the highest revision, if that is newer.
func (d *Decision) fetch(now time.Time) []Action {
	if d.fetching != "" {
		if now.Before(d.deadline) {
			return nil
		}
		d.avoid(now, d.fetching)
		d.fetching = ""
	}
	best, identities := "", map[string]bool{}
	for _, link := range slices.Sorted(maps.Keys(d.peers)) {
		p := d.peers[link]
		identities[p.identity] = true
		if p.revision > max(d.Revision(), d.peers[best].revision) && !now.Before(p.avoid) {
			best = link
		}
	}
	if best == "" {
		return nil
	}
	if d.Revision() == 0 && len(identities) < 2 && d.known != 1 && now.Before(d.since.Add(firstWait)) {
		return nil
	}
	return d.ask(now, best)
}

func (d *Decision) ask(now time.Time, link string) []Action {
	d.fetching, d.deadline = link, now.Add(fetchTimeout)
	q := messenger.FetchRecords{From: d.Revision()}
	if d.partial.revision > 0 {
		q.Buckets = d.partial.missing()
	}
	return []Action{{Kind: ActionFetch, Peer: link, Query: q}}
}

func (d *Decision) avoid(now time.Time, link string) {
	if p, ok := d.peers[link]; ok {
		p.avoid = now.Add(avoidFor)
		d.peers[link] = p
	}
}

func (d *Decision) answered(now time.Time, e Event) []Action {
	if d.fetching != e.Peer {
		// The answer came after its time. Another peer has been asked.
		return nil
	}
	d.fetching = ""
	if e.Answer == nil {
		d.avoid(now, e.Peer)
		return nil
	}
	var out []Action
	switch {
	case e.Answer.Delta != nil && d.Holding.Set != nil:
		out = d.apply(*e.Answer.Delta)
	case len(e.Answer.Hashes) == cataloger.BucketCount:
		out = d.collect(now, e)
	}
	if d.fetching == "" && d.peers[e.Peer].revision > d.Revision() {
		// A peer that promised more than it could prove is not asked again at
		// once.
		d.avoid(now, e.Peer)
	}
	return out
}

func (d *Decision) apply(delta cataloger.Delta) []Action {
	next, err := d.Holding.Set.Apply(delta)
	if err != nil {
		return []Action{refused(delta.To, err.Error())}
	}
	return d.accept(next)
}

// collect adds the buckets of an answer to the partial set.
func (d *Decision) collect(now time.Time, e Event) []Action {
	if e.Answer.Revision <= d.Revision() {
		return []Action{refused(e.Answer.Revision, "the peer has an older revision than the one in force")}
	}
	next := partial{revision: e.Answer.Revision}
	copy(next.hashes[:], e.Answer.Hashes)
	progress := d.partial.revision != next.revision
	for n, hash := range next.hashes {
		switch {
		case hash == "":
		case d.Holding.Set != nil && d.Holding.Set.Hashes[n] == hash:
			next.contents[n] = d.Holding.Set.Buckets[n]
		case d.partial.hashes[n] == hash && d.partial.contents[n] != nil:
			next.contents[n] = d.partial.contents[n]
		case e.Answer.Buckets[n] != nil:
			next.contents[n] = e.Answer.Buckets[n]
			progress = true
		}
	}
	d.partial = next
	if len(next.missing()) > 0 {
		if !progress {
			return nil
		}
		return d.ask(now, e.Peer)
	}
	d.partial = partial{}
	c, err := cataloger.Assemble(next.revision, next.hashes, next.contents)
	if err != nil {
		return []Action{refused(next.revision, err.Error())}
	}
	return d.accept(c)
}

func (p *partial) missing() []int {
	var out []int
	for n, hash := range p.hashes {
		if hash != "" && p.contents[n] == nil {
			out = append(out, n)
		}
	}
	return out
}

func refused(revision int64, reason string) Action {
	return Action{Kind: ActionRefused, Revision: revision, Reason: reason}
}

// Answer returns what a process that holds h answers to q.
func Answer(h Holding, q messenger.FetchRecords) messenger.Records {
	if h.Set == nil {
		return messenger.Records{}
	}
	out := messenger.Records{Revision: h.Set.Revision}
	if delta, ok := h.Log.DeltaFrom(q.From); ok && len(q.Buckets) == 0 {
		out.Delta = &delta
		return out
	}
	out.Hashes = h.Set.Hashes[:]
	size := 0
	wanted := slices.SortedFunc(slices.Values(q.Buckets), cmp.Compare[int])
	for _, n := range wanted {
		if n < 0 || n >= cataloger.BucketCount || h.Set.Buckets[n] == nil {
			continue
		}
		if size += len(h.Set.Buckets[n]); size > answerLimit && len(out.Buckets) > 0 {
			break
		}
		if out.Buckets == nil {
			out.Buckets = map[int]json.RawMessage{}
		}
		out.Buckets[n] = h.Set.Buckets[n]
	}
	return out
}
