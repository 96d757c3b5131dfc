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
	// entryPeriod and agentPeriod are the times between two exchanges of a
	// process with the next of its peers. An entry of 3,500/410 agents with two
	// links each then spends about 2 KB/s of its 5 KB/s on exchanges.
	entryPeriod = 2 * time.Second
	agentPeriod = 10 * time.Second
	// pushPause is the shortest time between two announcements of new revisions
	// to all peers. It bounds the bytes of a burst of changes.
	pushPause = 250 * time.Millisecond
	// listPeriod is the time between two readings of the platform's list by a
	// relay.
	listPeriod = 10 * time.Second
	// statusPause is the shortest time between two reports of a zone.
	statusPause = 2 * time.Second
	// aloneAfter is the time without a peer after which a process watches the
	// platform itself.
	aloneAfter = 6 * time.Second
	// settleTime is the time for which an entry that starts gets to know the
	// others before it may become a relay, unless it knows of no other.
	settleTime = 3 * time.Second
	// relays is the number of entries of a zone that watch the platform.
	relays = 2
	// nearLinks, farLinks and agentLinks are the numbers of entries to which an
	// entry connects in its own and in other zones, and to which an agent
	// connects.
	nearLinks  = 4
	farLinks   = 2
	agentLinks = 2
	// dialGrace is the time within which a connection must open before another
	// entry is tried as well.
	dialGrace = time.Second
	// toldMembers bounds the members in one message to about 1 KB, and agentMembers
	// those in one to an agent.
	toldMembers  = 8
	agentMembers = 3
	// probePeriod is the time for which one unreachable member is tried.
	probePeriod = 10 * time.Second
	// listedBehind bounds the processes that a status names.
	listedBehind = 8
)

// EventKind tells what an event of a [Decision] is about.
type EventKind int

// The kinds of events.
const (
	// EventOpened and EventClosed report a link to a peer.
	EventOpened EventKind = iota
	EventClosed
	// EventReceived carries a message.
	EventReceived
	// EventInForce carries the revision that this process has in force.
	EventInForce
	// EventHinted carries a revision that another message mentioned.
	EventHinted
	// EventListed carries the platform's list of VMs.
	EventListed
	// EventListening carries the own address for other processes.
	EventListening
	// EventLeaving says that this process is leaving.
	EventLeaving
	// EventTicked means that the time of [Decision.Wake] has come.
	EventTicked
)

// Event is one input of a [Decision].
type Event struct {
	Kind EventKind
	// Link names a connection.
	Link     string
	Peer     messenger.Peer
	Message  messenger.Exchange
	Revision int64
	// Address is the one on which this process has begun to listen.
	Address string
	List    tracker.List
}

// ActionKind tells what an action is.
type ActionKind int

// The kinds of actions.
const (
	// ActionDial keeps a connection to Address and ActionHang ends that.
	ActionDial ActionKind = iota
	ActionHang
	// ActionSend sends Message on Link.
	ActionSend
	// ActionRelay says whether this process watches the platform.
	ActionRelay
	// ActionHeard reports the revision of a peer and ActionGone the end of a
	// link.
	ActionHeard
	ActionGone
	// ActionReadList reads the platform's list.
	ActionReadList
	// ActionReport writes Status to the platform.
	ActionReport
	// ActionMember reports a member that has changed its state.
	ActionMember
)

// Action is one output of a [Decision].
type Action struct {
	Kind    ActionKind
	Link    string
	Address string
	Message messenger.Exchange
	Relay   bool
	// Known is the number of entries that the process knows. Zero means that no
	// peer has told it so far.
	Known    int
	Identity string
	Revision int64
	Status   cataloger.Status
	Member   tracker.Action
}

// Settings describe the process to a [Decision].
type Settings struct {
	Self messenger.Peer
	// Address is that for other processes, if this is an entry.
	Address     string
	Incarnation int64
	// Seeds are addresses of entries.
	Seeds []string
}

// Decision decides with which peers a process exchanges what.
type Decision struct {
	Settings Settings
	Tracker  *tracker.Tracker

	started time.Time
	last    time.Time
	// dirty is true if the connections and the relays must be chosen anew.
	dirty bool
	// place is that of this process among the relays of its zone.
	place    int
	leaving  bool
	revision int64
	links    map[string]*link
	// dialled holds the addresses to which connections are kept, and since when
	// each has been closed.
	dialled map[string]time.Time
	relay   bool
	// lastLink is the time at which the process last had a link.
	lastLink time.Time
	// turn counts exchanges and told the members sent.
	turn, told                 int
	exchangeAt, pushAt, listAt time.Time
	pushed                     int64
	status                     cataloger.Status
	reported                   reported
	reportAt                   time.Time
	probeAt                    time.Time
	probe                      int
}

// link is one connection.
type link struct {
	peer     messenger.Peer
	revision int64
	primary  bool
}

// reported is what the last status said, apart from its times.
type reported struct {
	revision        int64
	members, behind int
}

// NewDecision returns the decision of a process that starts.
func NewDecision(now time.Time, s Settings) *Decision {
	return &Decision{
		Settings: s, Tracker: tracker.New(s.Self.Identity, s.Self.AvailabilityZone), started: now, lastLink: now,
		dirty: true, links: map[string]*link{}, dialled: map[string]time.Time{}, exchangeAt: now, listAt: now,
	}
}

func (d *Decision) entry() bool { return d.Settings.Self.Role == messenger.RoleEntry }

// Step takes in one event and returns what to do.
func (d *Decision) Step(now time.Time, e Event) []Action {
	d.last = now
	var out []Action
	switch e.Kind {
	case EventTicked, EventOpened, EventClosed, EventListening, EventLeaving:
		d.dirty = true
	}
	switch e.Kind {
	case EventOpened:
		d.links[e.Link] = &link{peer: e.Peer}
		out = append(out, d.send(now, e.Link, true))
	case EventClosed:
		delete(d.links, e.Link)
		for a := range d.dialled {
			if linkTo(a) == e.Link {
				d.dialled[a] = now
			}
		}
		out = append(out, Action{Kind: ActionGone, Link: e.Link})
	case EventReceived:
		out = d.received(now, e)
	case EventInForce:
		d.revision = max(d.revision, e.Revision)
	case EventListening:
		d.Settings.Address = e.Address
	case EventHinted:
		if e.Revision > d.revision {
			out = d.ask(now, 2)
		}
	case EventListed:
		out = d.track(now, tracker.Event{Kind: tracker.EventListed, List: e.List})
	case EventLeaving:
		d.leaving = true
		for _, l := range d.order() {
			out = append(out, d.send(now, l, false))
		}
	case EventTicked:
		out = d.track(now, tracker.Event{Kind: tracker.EventTicked})
	}
	if len(d.links) > 0 {
		d.lastLink = now
	}
	return append(out, d.due(now)...)
}

// Wake returns the time at which the decision wants an EventTicked.
func (d *Decision) Wake() time.Time {
	at := d.exchangeAt
	// What was due at the last step has been done or must wait for an event.
	earlier := func(t time.Time) {
		if t.After(d.last) && t.Before(at) {
			at = t
		}
	}
	if d.revision > d.pushed {
		earlier(d.pushAt)
	}
	for a, since := range d.dialled {
		if d.links[linkTo(a)] == nil {
			earlier(since.Add(dialGrace))
		}
	}
	if d.relay && d.entry() {
		earlier(d.listAt)
		earlier(d.reportAt)
	}
	return at
}

// due does what depends on the time.
func (d *Decision) due(now time.Time) []Action {
	var out []Action
	if d.dirty {
		d.dirty = false
		out = d.connect(now)
		d.place = d.relayRank()
	}
	if on := d.isRelay(now); on != d.relay {
		d.relay = on
		out = append(out, Action{Kind: ActionRelay, Relay: on})
	}
	if d.revision > d.pushed && !now.Before(d.pushAt) {
		out = append(out, d.push(now)...)
	}
	if !now.Before(d.exchangeAt) {
		period := agentPeriod
		if d.entry() {
			period = entryPeriod
		}
		d.exchangeAt = now.Add(period)
		out = append(out, d.ask(now, 1)...)
	}
	// A process that starts reads the list once, a relay again and again.
	if (d.relay && d.entry() || d.listAt.Equal(d.started)) && !now.Before(d.listAt) {
		d.listAt = now.Add(listPeriod)
		out = append(out, Action{Kind: ActionReadList})
	}
	if d.reports() && !now.Before(d.reportAt) {
		d.reportAt = now.Add(statusPause)
		out = append(out, d.report(now)...)
	}
	return out
}

// push announces the revision to all peers that are not known to have it.
func (d *Decision) push(now time.Time) []Action {
	var out []Action
	d.pushed, d.pushAt = d.revision, now.Add(pushPause)
	for _, id := range d.order() {
		// The entry that counts an agent must learn that it has the revision.
		if d.links[id].revision >= d.revision && !d.primary(id) {
			continue
		}
		m := messenger.Exchange{Revision: d.revision, Primary: d.primary(id)}
		out = append(out, Action{Kind: ActionSend, Link: id, Message: m})
	}
	return out
}

// ask exchanges with the next n links.
func (d *Decision) ask(now time.Time, n int) []Action {
	var out []Action
	links := slices.DeleteFunc(d.order(), func(id string) bool { return d.entry() && d.links[id].peer.Role != messenger.RoleEntry })
	for range min(n, len(links)) {
		d.turn++
		out = append(out, d.send(now, links[d.turn%len(links)], true))
	}
	return out
}

func (d *Decision) received(now time.Time, e Event) []Action {
	l := d.links[e.Link]
	if l == nil {
		l = &link{peer: e.Peer}
		d.links[e.Link] = l
	}
	m := e.Message
	l.primary = m.Primary
	// A process never goes back, so a lower revision is from a message that was
	// overtaken or repeated.
	l.revision = max(l.revision, m.Revision)
	var out []Action
	var told []tracker.Member
	for i, news := range m.Members {
		if news.AvailabilityZone == "" {
			news.AvailabilityZone = l.peer.AvailabilityZone
		}
		if i == 0 && news.Identity == l.peer.Identity {
			out = append(out, d.track(now, tracker.Event{Kind: tracker.EventMessageReceived, Members: []tracker.Member{member(now, news)}})...)
			continue
		}
		told = append(told, member(now, news))
	}
	if len(told) > 0 {
		out = append(out, d.track(now, tracker.Event{Kind: tracker.EventGossipReceived, Members: told})...)
	}
	out = append(out, Action{Kind: ActionHeard, Link: e.Link, Identity: l.peer.Identity, Revision: l.revision, Known: len(d.Tracker.Live(""))})
	if m.Ask || m.Revision < d.revision && m.Members != nil {
		out = append(out, d.send(now, e.Link, false))
	}
	return out
}

func (d *Decision) track(now time.Time, e tracker.Event) []Action {
	var out []Action
	known := len(d.Tracker.Members)
	defer func() { d.dirty = d.dirty || len(out) > 0 || len(d.Tracker.Members) != known }()
	for _, a := range d.Tracker.Step(now, e) {
		out = append(out, Action{Kind: ActionMember, Member: a})
	}
	return out
}

// primary reports whether an agent's link is the one by which it is counted.
func (d *Decision) primary(id string) bool {
	return !d.entry() && d.order()[0] == id
}

func (d *Decision) order() []string { return slices.Sorted(maps.Keys(d.links)) }
