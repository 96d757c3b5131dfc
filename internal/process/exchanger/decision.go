package exchanger

import (
	"maps"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/tracker"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
)

const (
	// entryExchangeInterval and agentExchangeInterval are the intervals at which an
	// entry and an agent exchange messages with one peer, round-robin. With 410
	// entries, 3,500 agents and two links per agent, an entry uses about 2 KB/s of
	// its control traffic limit of 5 KB/s for exchanges.
	entryExchangeInterval = 2 * time.Second
	agentExchangeInterval = 10 * time.Second
	// minAnnounceInterval is the minimum time between two announcements of new
	// revisions to all peers. It bounds the traffic that a burst of changes causes.
	minAnnounceInterval = 250 * time.Millisecond
	// listInterval is the interval at which a relay reads the platform's list of
	// VMs.
	listInterval = 10 * time.Second
	// minStatusInterval is the minimum time between two status writes of a zone.
	minStatusInterval = 2 * time.Second
	// isolationTimeout is the time without a peer after which a process watches the
	// platform itself.
	isolationTimeout = 6 * time.Second
	// startupRelayDelay is the time after its start during which an entry discovers
	// the other entries and may not become a relay, unless it knows no other.
	startupRelayDelay = 3 * time.Second
	// relaysPerZone is the number of entries of each zone that watch the platform.
	relaysPerZone = 2
	// sameZoneLinks and otherZoneLinks are the numbers of entries in its own zone
	// and in other zones to which an entry connects. agentEntryLinks is the number
	// of entries to which an agent connects.
	sameZoneLinks   = 4
	otherZoneLinks  = 2
	agentEntryLinks = 2
	// dialFallbackDelay is the time after which a connection that is still not open
	// makes the process dial another entry as well.
	dialFallbackDelay = time.Second
	// maxMembersToEntry bounds the gossip in one message to an entry to about 1 KB.
	// maxMembersToAgent is the bound for a message to an agent.
	maxMembersToEntry = 8
	maxMembersToAgent = 3
	// probeInterval is the time for which the process dials one unreachable member
	// before it dials the next.
	probeInterval = 10 * time.Second
	// maxLaggingListed bounds the lagging processes that a status lists.
	maxLaggingListed = 8
)

// EventKind is the kind of an [Event].
type EventKind int

// The kinds of events.
const (
	// EventLinkOpened and EventLinkClosed report that Link to Peer was opened or
	// closed.
	EventLinkOpened EventKind = iota
	EventLinkClosed
	// EventMessageReceived carries a Message from Peer.
	EventMessageReceived
	// EventRevisionInForce carries the revision of the records that this process has
	// in force.
	EventRevisionInForce
	// EventRevisionHint carries a revision that another process has, from a message
	// other than an exchange message.
	EventRevisionHint
	// EventListRead carries the platform's list of VMs.
	EventListRead
	// EventListening carries the address on which this process listens for others.
	EventListening
	// EventLeaving reports that this process is leaving.
	EventLeaving
	// EventTicked reports that the time returned by [Decision.Wake] has passed.
	EventTicked
)

// Event is one input of a [Decision].
type Event struct {
	Kind EventKind
	// Link is the name of a connection, "to ADDRESS" for one that this process has
	// dialled.
	Link     string
	Peer     messenger.Peer
	Message  messenger.Exchange
	Revision int64
	// Address is the address on which this process listens.
	Address string
	List    tracker.List
}

// ActionKind is the kind of an [Action].
type ActionKind int

// The kinds of actions.
const (
	// ActionDial maintains a connection to Address until ActionDisconnect.
	ActionDial ActionKind = iota
	ActionDisconnect
	// ActionSend sends Message on Link.
	ActionSend
	// ActionSetRelay starts or stops watching the platform, depending on Relay.
	ActionSetRelay
	// ActionPeerRevision reports the revision of the peer on Link, and
	// ActionLinkClosed the end of Link.
	ActionPeerRevision
	ActionLinkClosed
	// ActionReadList reads the platform's list of VMs of the own zone.
	ActionReadList
	// ActionWriteStatus writes Status to the platform.
	ActionWriteStatus
	// ActionMemberChanged reports a member whose state has changed.
	ActionMemberChanged
)

// Action is one output of a [Decision].
type Action struct {
	Kind    ActionKind
	Link    string
	Address string
	Message messenger.Exchange
	Relay   bool
	// KnownEntries is the number of live entries in the tracker. Zero means that no
	// peer has sent any members so far.
	KnownEntries int
	Identity     string
	Revision     int64
	Status       cataloger.Status
	Member       tracker.Action
}

// Settings configures a [Decision].
type Settings struct {
	// Self describes this process.
	Self messenger.Peer
	// Address is the address at which other processes reach this one. Only entries
	// have one.
	Address     string
	Incarnation int64
	// Seeds are the addresses of the entries that the process dials while it is
	// connected to too few others.
	Seeds []string
}

// Decision is the state machine of the exchange. It decides to which peers the
// process connects, what it sends them, and whether it is a relay. It does no I/O
// and gets the time as an argument.
type Decision struct {
	Settings Settings
	Tracker  *tracker.Tracker

	started time.Time
	// lastStep is the time of the last Step.
	lastStep time.Time
	// topologyChanged is true if the connections and the zone rank must be
	// recomputed.
	topologyChanged bool
	// zoneRank is the result of the last computeZoneRank.
	zoneRank int
	leaving  bool
	revision int64
	// links holds the open connections by name.
	links map[string]*link
	// targets holds the addresses to which the process maintains connections, each
	// with the time at which it was first dialled or last disconnected.
	targets map[string]time.Time
	relay   bool
	// lastConnected is the time of the last step with an open link.
	lastConnected time.Time
	// exchangeCursor selects the next link and gossipCursor the next member,
	// round-robin.
	exchangeCursor, gossipCursor         int
	nextExchange, nextAnnounce, nextList time.Time
	// announced is the last revision that was announced to all peers.
	announced int64
	status    cataloger.Status
	// lastDigest is the digest of the last status that was written.
	lastDigest  statusDigest
	nextStatus  time.Time
	nextProbe   time.Time
	probeCursor int
}

// link is the state of one connection.
type link struct {
	peer messenger.Peer
	// revision is the highest revision in a message of the peer.
	revision int64
	// primary is true if the peer is an agent that this process counts.
	primary bool
}

// statusDigest holds the fields of a status that cause a write when they change.
type statusDigest struct {
	revision         int64
	members, lagging int
}

// NewDecision returns the initial state of a process that starts at now.
func NewDecision(now time.Time, s Settings) *Decision {
	return &Decision{
		Settings: s, Tracker: tracker.New(s.Self.Identity, s.Self.AvailabilityZone), started: now, lastConnected: now,
		topologyChanged: true, links: map[string]*link{}, targets: map[string]time.Time{}, nextExchange: now, nextList: now,
	}
}

func (d *Decision) isEntry() bool { return d.Settings.Self.Role == messenger.RoleEntry }

// Step processes one event and returns the resulting actions.
func (d *Decision) Step(now time.Time, e Event) []Action {
	d.lastStep = now
	var out []Action
	switch e.Kind {
	case EventTicked, EventLinkOpened, EventLinkClosed, EventListening, EventLeaving:
		d.topologyChanged = true
	}
	switch e.Kind {
	case EventLinkOpened:
		d.links[e.Link] = &link{peer: e.Peer}
		out = append(out, d.newExchange(now, e.Link, true))
	case EventLinkClosed:
		delete(d.links, e.Link)
		for a := range d.targets {
			if outboundLink(a) == e.Link {
				d.targets[a] = now
			}
		}
		out = append(out, Action{Kind: ActionLinkClosed, Link: e.Link})
	case EventMessageReceived:
		out = d.handleExchange(now, e)
	case EventRevisionInForce:
		d.revision = max(d.revision, e.Revision)
	case EventListening:
		d.Settings.Address = e.Address
	case EventRevisionHint:
		if e.Revision > d.revision {
			out = d.exchangeWithNext(now, 2)
		}
	case EventListRead:
		out = d.stepTracker(now, tracker.Event{Kind: tracker.EventListed, List: e.List})
	case EventLeaving:
		d.leaving = true
		for _, name := range d.sortedLinks() {
			out = append(out, d.newExchange(now, name, false))
		}
	case EventTicked:
		out = d.stepTracker(now, tracker.Event{Kind: tracker.EventTicked})
	}
	if len(d.links) > 0 {
		d.lastConnected = now
	}
	return append(out, d.runTimers(now)...)
}

// Wake returns the time at which the caller must pass an [EventTicked].
func (d *Decision) Wake() time.Time {
	at := d.nextExchange
	// A timer that had expired by the last step has been handled or waits for an
	// event.
	earlier := func(t time.Time) {
		if t.After(d.lastStep) && t.Before(at) {
			at = t
		}
	}
	if d.revision > d.announced {
		earlier(d.nextAnnounce)
	}
	for a, since := range d.targets {
		if d.links[outboundLink(a)] == nil {
			earlier(since.Add(dialFallbackDelay))
		}
	}
	if d.relay && d.isEntry() {
		earlier(d.nextList)
		earlier(d.nextStatus)
	}
	return at
}

// runTimers returns the actions that are due at now, such as the periodic exchange.
func (d *Decision) runTimers(now time.Time) []Action {
	var out []Action
	if d.topologyChanged {
		d.topologyChanged = false
		out = d.updateConnections(now)
		d.zoneRank = d.computeZoneRank()
	}
	if on := d.shouldRelay(now); on != d.relay {
		d.relay = on
		out = append(out, Action{Kind: ActionSetRelay, Relay: on})
	}
	if d.revision > d.announced && !now.Before(d.nextAnnounce) {
		out = append(out, d.announce(now)...)
	}
	if !now.Before(d.nextExchange) {
		period := agentExchangeInterval
		if d.isEntry() {
			period = entryExchangeInterval
		}
		d.nextExchange = now.Add(period)
		out = append(out, d.exchangeWithNext(now, 1)...)
	}
	// Each process reads the list once when it starts; a relay also reads it every
	// listInterval.
	if (d.relay && d.isEntry() || d.nextList.Equal(d.started)) && !now.Before(d.nextList) {
		d.nextList = now.Add(listInterval)
		out = append(out, Action{Kind: ActionReadList})
	}
	if d.writesStatus() && !now.Before(d.nextStatus) {
		d.nextStatus = now.Add(minStatusInterval)
		out = append(out, d.updateStatus(now)...)
	}
	return out
}

// announce sends the revision to all peers that are not known to have it.
func (d *Decision) announce(now time.Time) []Action {
	var out []Action
	d.announced, d.nextAnnounce = d.revision, now.Add(minAnnounceInterval)
	for _, name := range d.sortedLinks() {
		// The entry that counts this agent must receive the agent's new revision even
		// if it already has that revision itself.
		if d.links[name].revision >= d.revision && !d.isPrimary(name) {
			continue
		}
		m := messenger.Exchange{Revision: d.revision, Primary: d.isPrimary(name)}
		out = append(out, Action{Kind: ActionSend, Link: name, Message: m})
	}
	return out
}

// exchangeWithNext sends an exchange message that asks for a reply on each of the
// next n links. An entry uses only its links to entries.
func (d *Decision) exchangeWithNext(now time.Time, n int) []Action {
	var out []Action
	links := slices.DeleteFunc(d.sortedLinks(), func(name string) bool { return d.isEntry() && d.links[name].peer.Role != messenger.RoleEntry })
	for range min(n, len(links)) {
		d.exchangeCursor++
		out = append(out, d.newExchange(now, links[d.exchangeCursor%len(links)], true))
	}
	return out
}

// handleExchange processes an exchange message. It replies if the sender asked for
// it, or if the message carries members and a lower revision.
func (d *Decision) handleExchange(now time.Time, e Event) []Action {
	l := d.links[e.Link]
	if l == nil {
		l = &link{peer: e.Peer}
		d.links[e.Link] = l
	}
	m := e.Message
	l.primary = m.Primary
	// The revision of a process never decreases, so a lower one comes from a message
	// that was reordered or duplicated.
	l.revision = max(l.revision, m.Revision)
	var out []Action
	var gossip []tracker.Member
	for i, update := range m.Members {
		if update.AvailabilityZone == "" {
			update.AvailabilityZone = l.peer.AvailabilityZone
		}
		if i == 0 && update.Identity == l.peer.Identity {
			out = append(out, d.stepTracker(now, tracker.Event{Kind: tracker.EventMessageReceived, Members: []tracker.Member{decodeMember(now, update)}})...)
			continue
		}
		gossip = append(gossip, decodeMember(now, update))
	}
	if len(gossip) > 0 {
		out = append(out, d.stepTracker(now, tracker.Event{Kind: tracker.EventGossipReceived, Members: gossip})...)
	}
	out = append(out, Action{Kind: ActionPeerRevision, Link: e.Link, Identity: l.peer.Identity, Revision: l.revision, KnownEntries: len(d.Tracker.Live(""))})
	if m.Ask || m.Revision < d.revision && m.Members != nil {
		out = append(out, d.newExchange(now, e.Link, false))
	}
	return out
}

// stepTracker passes an event to the tracker and returns the member changes. It
// sets topologyChanged if the membership has changed.
func (d *Decision) stepTracker(now time.Time, e tracker.Event) []Action {
	var out []Action
	memberCount := len(d.Tracker.Members)
	defer func() { d.topologyChanged = d.topologyChanged || len(out) > 0 || len(d.Tracker.Members) != memberCount }()
	for _, a := range d.Tracker.Step(now, e) {
		out = append(out, Action{Kind: ActionMemberChanged, Member: a})
	}
	return out
}

// isPrimary reports whether this process is an agent and link its primary link. The
// entry at the other end of the primary link counts the agent, so that each agent
// is counted once.
func (d *Decision) isPrimary(link string) bool {
	return !d.isEntry() && d.sortedLinks()[0] == link
}

func (d *Decision) sortedLinks() []string { return slices.Sorted(maps.Keys(d.links)) }
