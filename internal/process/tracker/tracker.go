// Package tracker tracks the membership of the entries and detects failed members.
//
// There are three sources: messages from an entry itself, gossip from other
// entries, and the platform's list of VMs, which lags. A member from which no entry
// has received a message for some time is unreachable: it may be slow or
// partitioned, and is expected to return. Only live members get shared tasks, such
// as dividing the limit of an organisation among the entries. A member has left
// only if it announced this itself, or if the platform's list no longer contains
// it. Messages from a member take precedence over the list.
//
// It is a decision package: it does no I/O and gets the time as an argument.
//
// # Usage
//
//	t := tracker.New("entry-1", "north-conway")
//	actions := t.Step(now, tracker.Event{Kind: tracker.EventMessageReceived, Members: []tracker.Member{m}})
//	for _, m := range t.Live("north-conway") {
//	}
package tracker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
)

const (
	// UnreachableAfter is the time without a message after which a member of the
	// same zone is unreachable. With 68 entries in a zone, gossip about each of them
	// reaches every other within about 10 s.
	UnreachableAfter = 30 * time.Second
	// remoteUnreachableAfter is the same time for the few members of remote zones,
	// about which gossip is less frequent.
	remoteUnreachableAfter = 2 * time.Minute
	// MaxMembersPerRemoteZone bounds the members that are tracked in each remote
	// zone. They are only needed for connections between zones. The owner
	// candidates of each zone have the same bound.
	MaxMembersPerRemoteZone = 6
	// memberRetention is the time without a message after which a member is
	// deleted. Until then a member that has left is retained, so that delayed
	// gossip does not add it again.
	memberRetention = time.Hour
)

// State is the state of a member as this process sees it.
type State string

// The states.
const (
	StateLive State = "live"
	// StateLeaving means that the member drains its requests and gets no shared
	// task.
	StateLeaving State = "leaving"
	// StateUnreachable means that the member is slow or partitioned.
	StateUnreachable State = "unreachable"
	// StateLeft means that the member is gone permanently, unless a message from it
	// or a later incarnation refutes this.
	StateLeft State = "left"
)

// Member is an entry that other processes can connect to.
type Member struct {
	Identity         string
	AvailabilityZone string
	// Address is the IP address and port on which it accepts connections of other
	// processes.
	Address string
	// Incarnation increases with each start of the process.
	Incarnation int64
	State       State
	// Revision is the revision of the records that the entry has in force.
	Revision int64
	// Agents is the number of agents that report to the entry, AgentsBehind the
	// number of agents with an older revision than the entry, and AgentBehind the
	// name of one of these.
	Agents       int
	AgentsBehind int
	AgentBehind  string
	// LastHeard is the time at which any entry last received a message from the
	// member. For a member that is known only from the platform's list it is the
	// time at which the list first contained it.
	LastHeard time.Time
	// Listed is true if the platform's list has ever contained the member.
	Listed bool
}

// VM is one element of the platform's list.
type VM struct {
	Identity string `json:"identity"`
	Address  string `json:"address"`
}

// ListPrefix is the key prefix of the platform's lists of VMs. The availability
// zone of a list follows it.
const ListPrefix = "vms/"

// List is the platform's list of the entry VMs of one availability zone.
type List struct {
	AvailabilityZone string `json:"availability_zone"`
	Live             []VM   `json:"live"`
	Leaving          []VM   `json:"leaving,omitempty"`
}

// EventKind is the kind of an [Event].
type EventKind int

// The kinds of events.
const (
	// EventMessageReceived carries the member that sent a message.
	EventMessageReceived EventKind = iota
	// EventGossipReceived carries members about which another entry sent gossip.
	EventGossipReceived
	// EventListed carries the platform's list.
	EventListed
	// EventTicked means that time has passed.
	EventTicked
)

// Event is an input of the tracker. Only the fields of its kind are set.
type Event struct {
	Kind    EventKind
	Members []Member
	List    List
}

// Action reports that a member has changed its state.
type Action struct {
	Member Member
	// Previous is the state before the change, empty for a new member.
	Previous State
}

// Tracker holds the members that this process knows, except itself.
type Tracker struct {
	// Self and AvailabilityZone are the identity and the zone of this process.
	Self             string
	AvailabilityZone string
	// Members holds the members by identity.
	Members map[string]Member
}

// New returns a tracker without members for the process self in the given zone.
func New(self, zone string) *Tracker {
	return &Tracker{Self: self, AvailabilityZone: zone, Members: map[string]Member{}}
}

// Step processes one event and returns the state changes, ordered by the
// identities of the members.
func (t *Tracker) Step(now time.Time, e Event) []Action {
	before := maps.Clone(t.Members)
	switch e.Kind {
	case EventMessageReceived:
		for _, m := range e.Members {
			m.LastHeard = now
			t.merge(m, true)
		}
	case EventGossipReceived:
		for _, m := range e.Members {
			t.merge(m, false)
		}
	case EventListed:
		t.applyList(now, e.List)
	}
	t.expire(now)
	return t.stateChanges(before)
}

// merge updates the table with one update of a member. The update is direct if
// the member sent it itself.
func (t *Tracker) merge(m Member, direct bool) {
	old, known := t.Members[m.Identity]
	sameIncarnation := known && m.Incarnation == old.Incarnation
	if !t.supersedes(m, old, known, direct) {
		return
	}
	if m.State != StateLeaving && m.State != StateLeft {
		m.State = StateLive
	}
	if sameIncarnation && old.State == StateLeaving && !direct {
		m.State = StateLeaving
	}
	m.Listed = known && old.Listed
	t.Members[m.Identity] = m
}

// supersedes reports whether the update m replaces old. Within an incarnation the
// update with the latest LastHeard wins; an older incarnation is ignored. An
// unknown member is added if there is room for it.
func (t *Tracker) supersedes(m, old Member, known, direct bool) bool {
	switch {
	case m.Identity == t.Self || m.Identity == "":
		return false
	case !known:
		return t.makeRoom(m.AvailabilityZone, m.Identity)
	case m.Incarnation != old.Incarnation:
		return m.Incarnation > old.Incarnation
	case !m.LastHeard.After(old.LastHeard):
		return false
	}
	// Only a message from the member itself can refute that it has left.
	return old.State != StateLeft || direct
}

// makeRoom reports whether a new member of the zone can be added. If a remote zone
// is full, it evicts a member that is not live. If all are live, it evicts the one
// that ranks lowest by rendezvous hashing, which may be the new member, so that the
// tables of all entries converge on the same members of a zone.
func (t *Tracker) makeRoom(zone, identity string) bool {
	if zone == t.AvailabilityZone {
		return true
	}
	names, evicted := []string{identity}, ""
	for id, m := range t.Members {
		if m.AvailabilityZone != zone {
			continue
		}
		names = append(names, id)
		if m.State != StateLive && (evicted == "" || id < evicted) {
			evicted = id
		}
	}
	if len(names) <= MaxMembersPerRemoteZone {
		return true
	}
	if evicted == "" {
		retained := picker.Subset(zone, names, MaxMembersPerRemoteZone)
		evicted = names[slices.IndexFunc(names, func(n string) bool { return !slices.Contains(retained, n) })]
	}
	if evicted == identity {
		return false
	}
	delete(t.Members, evicted)
	return true
}

// EstimateEntries returns the estimated number of live entries, including this
// process. If the table is full for a remote zone, which may then have more
// entries, the estimate assumes that all zones are as large as the zone of this
// process.
func (t *Tracker) EstimateEntries() int {
	zones, known, full := map[string]int{t.AvailabilityZone: 1}, 1, false
	for _, m := range t.Live("") {
		zones[m.AvailabilityZone]++
		known++
		full = full || m.AvailabilityZone != t.AvailabilityZone && zones[m.AvailabilityZone] >= MaxMembersPerRemoteZone
	}
	if !full {
		return known
	}
	return max(known, zones[t.AvailabilityZone]*len(zones))
}

// OwnerCandidates returns the identities among which the owner of a shared task,
// such as the limit of an organisation, is selected: the live members of each zone
// that rank highest, including this process. The tables of all entries converge on
// these members.
func (t *Tracker) OwnerCandidates() []string {
	zones := map[string][]string{t.AvailabilityZone: {t.Self}}
	for _, m := range t.Live("") {
		zones[m.AvailabilityZone] = append(zones[m.AvailabilityZone], m.Identity)
	}
	var out []string
	for zone, names := range zones {
		out = append(out, picker.Subset(zone, names, MaxMembersPerRemoteZone)...)
	}
	slices.Sort(out)
	return out
}

// unreachableTimeout returns the time without a message after which m is
// unreachable.
func (t *Tracker) unreachableTimeout(m Member) time.Duration {
	if m.AvailabilityZone == t.AvailabilityZone {
		return UnreachableAfter
	}
	return remoteUnreachableAfter
}

// applyList adds the members of the platform's list, and marks members as leaving,
// or as left if they are silent and no longer on the list.
func (t *Tracker) applyList(now time.Time, l List) {
	listed := map[string]bool{}
	add := func(vm VM, s State) {
		listed[vm.Identity] = true
		if vm.Identity == t.Self {
			return
		}
		m, known := t.Members[vm.Identity]
		if !known {
			// No entry has received a message from it yet. Setting LastHeard to
			// now grants it the usual timeout.
			m = Member{Identity: vm.Identity, AvailabilityZone: l.AvailabilityZone, Address: vm.Address, State: s, LastHeard: now}
		}
		if s == StateLeaving && m.State == StateLive {
			m.State = StateLeaving
		}
		m.Listed = true
		t.Members[vm.Identity] = m
	}
	for _, vm := range l.Live {
		add(vm, StateLive)
	}
	for _, vm := range l.Leaving {
		add(vm, StateLeaving)
	}
	for id, m := range t.Members {
		if m.AvailabilityZone != l.AvailabilityZone || listed[id] || !m.Listed {
			continue
		}
		// The list lags, so a member that still sends messages has not left.
		if now.Sub(m.LastHeard) > t.unreachableTimeout(m) {
			m.State = StateLeft
			t.Members[id] = m
		}
	}
}

// expire marks live members as unreachable and leaving members as left once their
// timeout has passed, and deletes members after memberRetention.
func (t *Tracker) expire(now time.Time) {
	for id, m := range t.Members {
		silence := now.Sub(m.LastHeard)
		switch {
		case silence > memberRetention:
			delete(t.Members, id)
			continue
		case silence <= t.unreachableTimeout(m):
			continue
		case m.State == StateLive:
			m.State = StateUnreachable
		case m.State == StateLeaving:
			m.State = StateLeft
		}
		t.Members[id] = m
	}
}

// stateChanges returns the members that are new or have another state than before.
func (t *Tracker) stateChanges(before map[string]Member) []Action {
	var out []Action
	for id, m := range t.Members {
		if before[id].State != m.State {
			out = append(out, Action{Member: m, Previous: before[id].State})
		}
	}
	slices.SortFunc(out, func(a, b Action) int { return cmp.Compare(a.Member.Identity, b.Member.Identity) })
	return out
}

// Live returns the live members of a zone, ordered by identity. An empty zone means
// all zones.
func (t *Tracker) Live(zone string) []Member {
	return t.InState(zone, StateLive)
}

// InState returns the members of a zone with the given state, ordered by identity.
// An empty zone means all zones.
func (t *Tracker) InState(zone string, s State) []Member {
	var out []Member
	for _, id := range slices.Sorted(maps.Keys(t.Members)) {
		if m := t.Members[id]; m.State == s && (zone == "" || m.AvailabilityZone == zone) {
			out = append(out, m)
		}
	}
	return out
}
