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
	// fetchTimeout is the time limit of one fetch from a peer.
	fetchTimeout = 3 * time.Second
	// secondPeerTimeout is the time for which a new process waits for a second peer
	// after the first, so that it does not start with the records of a lagging peer.
	secondPeerTimeout = 3 * time.Second
	// readRetryInterval is the time after which a failed read of a record set from
	// the platform is retried.
	readRetryInterval = time.Second
	// peerBackoff is the time for which no records are requested from a peer after
	// its response was missing or invalid.
	peerBackoff = 5 * time.Second
	// maxResponseBucketBytes bounds the total size of the buckets in one response,
	// except that the first bucket is always included. A message may hold 1 MB, and
	// one bucket may take a large part of this.
	maxResponseBucketBytes = 512 << 10
)

// EventKind is the kind of an [Event].
type EventKind int

// The kinds of events.
const (
	// EventRelayChanged reports whether this process is a relay.
	EventRelayChanged EventKind = iota
	// EventHeadChanged carries a head that the platform returned.
	EventHeadChanged
	// EventRecordSetRead carries the record set that was read for Head. RecordSet is
	// nil if the read failed.
	EventRecordSetRead
	// EventPeerRevision carries the revision of the peer on Link.
	EventPeerRevision
	// EventLinkClosed reports that Link has ended.
	EventLinkClosed
	// EventRecordsFetched carries the response of the peer on Link. Records is nil if
	// the fetch failed.
	EventRecordsFetched
	// EventTicked reports that the time returned by [Decision.Wake] has passed.
	EventTicked
)

// Event is one input of a [Decision].
type Event struct {
	Kind      EventKind
	Relay     bool
	Head      cataloger.Head
	RecordSet *cataloger.Catalog
	// Link is the name of the connection to a peer, and Identity the identity of that
	// peer.
	Link     string
	Identity string
	Revision int64
	// KnownEntries is the number of entries that the process knows, zero if not
	// known.
	KnownEntries int
	Records      *messenger.Records
}

// ActionKind is the kind of an [Action].
type ActionKind int

// The kinds of actions.
const (
	// ActionWatch starts watching the platform's head and ActionUnwatch stops it.
	ActionWatch ActionKind = iota
	ActionUnwatch
	// ActionReadRecordSet reads the record set of Head from the platform.
	ActionReadRecordSet
	// ActionFetchRecords sends Query to the peer on Link.
	ActionFetchRecords
	// ActionActivate puts RecordSet and Snapshot in force.
	ActionActivate
	// ActionReportRefusal reports that Revision was refused for Reason.
	ActionReportRefusal
)

// Action is one output of a [Decision].
type Action struct {
	Kind      ActionKind
	Head      cataloger.Head
	Link      string
	Query     messenger.FetchRecords
	RecordSet *cataloger.Catalog
	Snapshot  *compiler.Snapshot
	Revision  int64
	Reason    string
}

// ActiveRecords holds the records in force and the log of deltas, from which the
// process serves its peers. It is immutable.
type ActiveRecords struct {
	RecordSet *cataloger.Catalog
	Log       cataloger.DeltaLog
}

// Decision is the state machine of the watcher. It decides which revision comes
// into force and where its records are fetched. It does no I/O and gets the time as
// an argument. The zero value is the state of a process without
// records.
type Decision struct {
	Active ActiveRecords

	// lastStep is the time of the last Step.
	lastStep time.Time
	relay    bool
	// readingRevision is the revision that is being read from the platform.
	readingRevision int64
	// failedHead is the last head whose record set could not be read. The read is
	// retried at readRetryAt.
	failedHead  cataloger.Head
	readRetryAt time.Time
	peers       map[string]peer
	// fetchLink is the link on which a fetch is in progress, until fetchDeadline.
	fetchLink     string
	fetchDeadline time.Time
	// firstPeerAt is the time at which the first revision of a peer was received.
	firstPeerAt time.Time
	// knownEntries is the highest number of known entries reported, zero if none.
	knownEntries int
	partial      partialRecordSet
}

// peer is the state of the peer on one link.
type peer struct {
	identity string
	revision int64
	// backoffUntil is the time before which no records are requested from the peer.
	backoffUntil time.Time
}

// partialRecordSet is a record set of which some buckets have not been fetched.
type partialRecordSet struct {
	revision int64
	hashes   [cataloger.BucketCount]string
	contents [cataloger.BucketCount][]byte
}

// Revision returns the revision in force.
func (d *Decision) Revision() int64 {
	if d.Active.RecordSet == nil {
		return 0
	}
	return d.Active.RecordSet.Revision
}

// Step processes one event and returns the resulting actions.
func (d *Decision) Step(now time.Time, e Event) []Action {
	if d.peers == nil {
		d.peers = map[string]peer{}
	}
	d.lastStep = now
	var out []Action
	switch e.Kind {
	case EventRelayChanged:
		if d.relay != e.Relay {
			d.relay = e.Relay
			kind := ActionUnwatch
			if e.Relay {
				kind = ActionWatch
			}
			out = append(out, Action{Kind: kind})
		}
	case EventHeadChanged:
		out = d.handleHead(e.Head)
	case EventRecordSetRead:
		d.readingRevision = 0
		if e.RecordSet != nil {
			out = d.activate(e.RecordSet)
		} else {
			d.failedHead, d.readRetryAt = e.Head, now.Add(readRetryInterval)
		}
	case EventPeerRevision:
		p := d.peers[e.Link]
		p.identity, p.revision = e.Identity, e.Revision
		d.peers[e.Link] = p
		d.knownEntries = max(d.knownEntries, e.KnownEntries)
		if d.firstPeerAt.IsZero() {
			d.firstPeerAt = now
		}
	case EventLinkClosed:
		delete(d.peers, e.Link)
		if d.fetchLink == e.Link {
			d.fetchLink = ""
		}
	case EventRecordsFetched:
		out = d.handleRecords(now, e)
	}
	if !d.readRetryAt.IsZero() && !now.Before(d.readRetryAt) {
		d.readRetryAt = time.Time{}
		if d.relay && d.failedHead.Revision > d.Revision() {
			out = append(out, d.handleHead(d.failedHead)...)
		}
	}
	return append(out, d.fetchFromBestPeer(now)...)
}

// Wake returns the time at which the caller must pass an [EventTicked]. It is zero
// if no timer is set.
func (d *Decision) Wake() time.Time {
	var at time.Time
	// A timer that had expired by the last step has been handled or waits for an
	// event.
	earlier := func(t time.Time) {
		if t.After(d.lastStep) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	earlier(d.readRetryAt)
	if d.fetchLink != "" {
		earlier(d.fetchDeadline)
		return at
	}
	for _, p := range d.peers {
		if p.revision <= d.Revision() {
			continue
		}
		earlier(p.backoffUntil)
		if d.Revision() == 0 {
			earlier(d.firstPeerAt.Add(secondPeerTimeout))
		}
	}
	return at
}

// handleHead returns the action that reads the record set of h. It returns no action
// if h is in force or being read, and a refusal if h is older than the revision in
// force.
func (d *Decision) handleHead(h cataloger.Head) []Action {
	switch {
	case h.Revision == 0 || h.Revision == d.Revision() || h.Revision == d.readingRevision:
		// Revision 0 has no records, and a repeated watch event has no new ones.
		return nil
	case h.Revision < d.Revision():
		return []Action{newRefusal(h.Revision, "the platform gave an older revision than the one in force")}
	}
	d.readingRevision = h.Revision
	return []Action{{Kind: ActionReadRecordSet, Head: h}}
}

// activate puts a record set in force if it is newer and valid.
func (d *Decision) activate(c *cataloger.Catalog) []Action {
	if c.Revision == d.Revision() {
		// The same revision arrived from a peer and from the platform.
		return nil
	}
	if c.Revision < d.Revision() {
		return []Action{newRefusal(c.Revision, "older than the revision in force")}
	}
	s, err := compiler.Compile(c.Revision, c.List())
	if err != nil {
		return []Action{newRefusal(c.Revision, err.Error())}
	}
	next := ActiveRecords{RecordSet: c, Log: cataloger.DeltaLog{Deltas: slices.Clone(d.Active.Log.Deltas)}}
	if d.Active.RecordSet != nil {
		next.Log.Append(cataloger.Diff(d.Active.RecordSet, c))
	}
	d.Active = next
	d.partial = partialRecordSet{}
	return []Action{{Kind: ActionActivate, RecordSet: c, Snapshot: s, Revision: c.Revision}}
}

// fetchFromBestPeer requests records from the peer with the highest revision, if
// that is newer than the one in force. Only one fetch is in progress at a time. A
// process without records first waits for a second peer, up to secondPeerTimeout.
func (d *Decision) fetchFromBestPeer(now time.Time) []Action {
	if d.fetchLink != "" {
		if now.Before(d.fetchDeadline) {
			return nil
		}
		d.backOff(now, d.fetchLink)
		d.fetchLink = ""
	}
	best, identities := "", map[string]bool{}
	for _, link := range slices.Sorted(maps.Keys(d.peers)) {
		p := d.peers[link]
		identities[p.identity] = true
		if p.revision > max(d.Revision(), d.peers[best].revision) && !now.Before(p.backoffUntil) {
			best = link
		}
	}
	if best == "" {
		return nil
	}
	if d.Revision() == 0 && len(identities) < 2 && d.knownEntries != 1 && now.Before(d.firstPeerAt.Add(secondPeerTimeout)) {
		return nil
	}
	return d.newFetch(now, best)
}

// newFetch returns the action that requests records on link: the delta from the
// revision in force, or the missing buckets of a partial record set.
func (d *Decision) newFetch(now time.Time, link string) []Action {
	d.fetchLink, d.fetchDeadline = link, now.Add(fetchTimeout)
	q := messenger.FetchRecords{From: d.Revision()}
	if d.partial.revision > 0 {
		q.Buckets = d.partial.missingBuckets()
	}
	return []Action{{Kind: ActionFetchRecords, Link: link, Query: q}}
}

// backOff excludes the peer on link from fetches for peerBackoff.
func (d *Decision) backOff(now time.Time, link string) {
	if p, ok := d.peers[link]; ok {
		p.backoffUntil = now.Add(peerBackoff)
		d.peers[link] = p
	}
}

// handleRecords processes the response to a fetch.
func (d *Decision) handleRecords(now time.Time, e Event) []Action {
	if d.fetchLink != e.Link {
		// The response arrived after fetchDeadline, when another fetch had replaced
		// this one.
		return nil
	}
	d.fetchLink = ""
	if e.Records == nil {
		d.backOff(now, e.Link)
		return nil
	}
	var out []Action
	switch {
	case e.Records.Delta != nil && d.Active.RecordSet != nil:
		out = d.applyDelta(*e.Records.Delta)
	case len(e.Records.Hashes) == cataloger.BucketCount:
		out = d.mergeBuckets(now, e)
	}
	if d.fetchLink == "" && d.peers[e.Link].revision > d.Revision() {
		// The response had no valid records of the revision that the peer had
		// announced, so the peer is not asked again at once.
		d.backOff(now, e.Link)
	}
	return out
}

// applyDelta puts the record set in force that results from applying delta.
func (d *Decision) applyDelta(delta cataloger.Delta) []Action {
	next, err := d.Active.RecordSet.Apply(delta)
	if err != nil {
		return []Action{newRefusal(delta.To, err.Error())}
	}
	return d.activate(next)
}

// mergeBuckets adds the buckets of a response to the partial record set. When none
// is missing, it activates the set; otherwise it requests the missing ones from the
// same peer, if the response made progress.
func (d *Decision) mergeBuckets(now time.Time, e Event) []Action {
	if e.Records.Revision <= d.Revision() {
		return []Action{newRefusal(e.Records.Revision, "the peer has an older revision than the one in force")}
	}
	next := partialRecordSet{revision: e.Records.Revision}
	copy(next.hashes[:], e.Records.Hashes)
	progress := d.partial.revision != next.revision
	for n, hash := range next.hashes {
		switch {
		case hash == "":
		case d.Active.RecordSet != nil && d.Active.RecordSet.Hashes[n] == hash:
			next.contents[n] = d.Active.RecordSet.Buckets[n]
		case d.partial.hashes[n] == hash && d.partial.contents[n] != nil:
			next.contents[n] = d.partial.contents[n]
		case e.Records.Buckets[n] != nil:
			next.contents[n] = e.Records.Buckets[n]
			progress = true
		}
	}
	d.partial = next
	if len(next.missingBuckets()) > 0 {
		if !progress {
			return nil
		}
		return d.newFetch(now, e.Link)
	}
	d.partial = partialRecordSet{}
	c, err := cataloger.Assemble(next.revision, next.hashes, next.contents)
	if err != nil {
		return []Action{newRefusal(next.revision, err.Error())}
	}
	return d.activate(c)
}

// missingBuckets returns the numbers of the buckets that have not been fetched.
func (p *partialRecordSet) missingBuckets() []int {
	var out []int
	for n, hash := range p.hashes {
		if hash != "" && p.contents[n] == nil {
			out = append(out, n)
		}
	}
	return out
}

func newRefusal(revision int64, reason string) Action {
	return Action{Kind: ActionReportRefusal, Revision: revision, Reason: reason}
}

// BuildRecords returns the response to q of a process with the given active records:
// a delta if the log reaches back to q.From and q requests no buckets, and otherwise
// the bucket hashes and as many of the requested buckets as maxResponseBucketBytes
// allows.
func BuildRecords(active ActiveRecords, q messenger.FetchRecords) messenger.Records {
	if active.RecordSet == nil {
		return messenger.Records{}
	}
	out := messenger.Records{Revision: active.RecordSet.Revision}
	if delta, ok := active.Log.DeltaFrom(q.From); ok && len(q.Buckets) == 0 {
		out.Delta = &delta
		return out
	}
	out.Hashes = active.RecordSet.Hashes[:]
	size := 0
	requested := slices.SortedFunc(slices.Values(q.Buckets), cmp.Compare[int])
	for _, n := range requested {
		if n < 0 || n >= cataloger.BucketCount || active.RecordSet.Buckets[n] == nil {
			continue
		}
		if size += len(active.RecordSet.Buckets[n]); size > maxResponseBucketBytes && len(out.Buckets) > 0 {
			break
		}
		if out.Buckets == nil {
			out.Buckets = map[int]json.RawMessage{}
		}
		out.Buckets[n] = active.RecordSet.Buckets[n]
	}
	return out
}
