package claimer

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
)

const (
	// forwardTimeout is the time after which an entry writes a claim itself because
	// the preferred writer of the shard has not answered. It is six times
	// [MinWriteInterval], so that it does not end while the writer is only batching.
	forwardTimeout = 6 * MinWriteInterval
	// releaseTimeout is the timeout for releasing the key of a claim that timed out.
	releaseTimeout = 10 * time.Second
	// firstInternalID is the lower bound of the IDs of operations that the core
	// starts itself.
	firstInternalID = 1 << 63
)

// EventKind is the kind of an [Event].
type EventKind int

// The kinds of events.
const (
	// EventTicked means that the time returned by [Core.Wake] has been reached.
	EventTicked EventKind = iota
	// EventSubmitted carries an operation of a request of this process.
	EventSubmitted
	// EventPeerSubmitted carries an operation that another entry forwarded.
	EventPeerSubmitted
	// EventPeerAnswered carries the result of an operation that was forwarded to
	// another entry.
	EventPeerAnswered
	// EventPeers carries the identities of the other live entries.
	EventPeers
	// EventPeerConnected and EventPeerDisconnected report the state of the
	// connection to another entry.
	EventPeerConnected
	EventPeerDisconnected
	// EventCallDone carries the outcome of a call of the platform.
	EventCallDone
)

// Event is an input of the core. Only the fields of its kind are set.
type Event struct {
	Kind EventKind
	// ID identifies the operation. It is below 1 << 63 and is not reused.
	ID      uint64
	Op      Op
	Result  Result
	Peer    string
	Peers   []string
	Call    Call
	Outcome Outcome
}

// ActionKind is the kind of an [Action].
type ActionKind int

// The kinds of actions.
const (
	// ActionCall calls the platform.
	ActionCall ActionKind = iota
	// ActionForward sends the operation to another entry.
	ActionForward
	// ActionAnswer reports the result of the operation to its submitter.
	ActionAnswer
)

// Action is an output of the core that the caller must execute. Only the fields of
// its kind are set.
type Action struct {
	Kind   ActionKind
	ID     uint64
	Op     Op
	Result Result
	Peer   string
	Call   Call
}

// Core is the state machine that decides on claims. Make it with [NewCore].
type Core struct {
	self           string
	shards         [Shards]shard
	openOperations map[uint64]*openOperation
	connectedPeers map[string]bool
	writers        [Shards]string
	lastInternalID uint64
	actions        []Action
}

// openOperation is an operation without a result.
type openOperation struct {
	op Op
	// peer is the entry to which the operation is forwarded. It is empty while the
	// operation is pending in a shard of this process. At forwardDeadline this
	// process stops waiting for the peer.
	peer            string
	forwardDeadline time.Time
	// wasForwarded is true if a peer may have written the claim.
	wasForwarded bool
	// fromPeer is true if another entry submitted the operation. Only that entry
	// knows whether the run starts, since it may also have written the claim itself.
	fromPeer bool
}

// NewCore returns the core of the entry self. maxSegmentBytes is the maximum size
// of a segment; zero means [MaxSegmentBytes].
func NewCore(self string, maxSegmentBytes int) *Core {
	if maxSegmentBytes == 0 {
		maxSegmentBytes = MaxSegmentBytes
	}
	c := &Core{self: self, openOperations: map[uint64]*openOperation{}, connectedPeers: map[string]bool{}, lastInternalID: firstInternalID}
	for i := range c.shards {
		c.shards[i] = shard{index: i, maxSegmentBytes: maxSegmentBytes}
	}
	c.assignWriters(nil)
	return c
}

// Step processes one event and returns the actions to execute, in order.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.actions = nil
	switch e.Kind {
	case EventSubmitted:
		c.submit(now, e.ID, e.Op)
	case EventPeerSubmitted:
		c.openOperations[e.ID] = &openOperation{op: e.Op, fromPeer: true}
		c.enqueue(now, e.ID, e.Op)
	case EventPeerAnswered:
		c.handlePeerAnswer(now, e.ID, e.Result)
	case EventPeers:
		c.assignWriters(e.Peers)
	case EventPeerConnected:
		c.connectedPeers[e.Peer] = true
	case EventPeerDisconnected:
		delete(c.connectedPeers, e.Peer)
		c.writeLocally(now, func(o *openOperation) bool { return o.peer == e.Peer })
	case EventCallDone:
		c.shards[e.Call.Shard].handleOutcome(now, e.Call, e.Outcome)
	}
	c.writeLocally(now, func(o *openOperation) bool { return o.peer != "" && !now.Before(o.forwardDeadline) })
	c.timeOut(now)
	for i := range c.shards {
		if call := c.shards[i].nextCall(now, c.answer); call.Kind != CallNone {
			c.actions = append(c.actions, Action{Kind: ActionCall, Call: call})
		}
	}
	return c.actions
}

// Wake returns the time at which the core needs an [EventTicked], or zero if it
// needs none.
func (c *Core) Wake() time.Time {
	var wake time.Time
	sooner := func(t time.Time) {
		if !t.IsZero() && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	for _, o := range c.openOperations {
		sooner(o.op.Deadline)
		if o.peer != "" {
			sooner(o.forwardDeadline)
		}
	}
	for i := range c.shards {
		sooner(c.shards[i].wake())
	}
	return wake
}

// Writers returns the other entries that are preferred writers of shards, in
// ascending order.
func (c *Core) Writers() []string {
	set := map[string]bool{}
	for _, w := range c.writers {
		if w != c.self {
			set[w] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// assignWriters selects the preferred writer of each shard by rendezvous hashing.
// If entries disagree about the live entries, their writes may conflict, but no key
// is granted twice.
func (c *Core) assignWriters(peers []string) {
	names := slices.Compact(slices.Sorted(slices.Values(append([]string{c.self}, peers...))))
	for i := range c.writers {
		c.writers[i] = picker.Subset("claims/"+strconv.Itoa(i), names, 1)[0]
	}
}

// submit forwards an operation of this process to the preferred writer of its
// shard, or adds it to the shard of this process if it cannot be forwarded.
func (c *Core) submit(now time.Time, id uint64, op Op) {
	o := &openOperation{op: op}
	c.openOperations[id] = o
	w := c.writers[ShardOf(op.Key)]
	if w == c.self || !c.connectedPeers[w] {
		c.enqueue(now, id, op)
		return
	}
	o.peer, o.forwardDeadline, o.wasForwarded = w, now.Add(forwardTimeout), true
	c.actions = append(c.actions, Action{Kind: ActionForward, Peer: w, ID: id, Op: op})
}

// enqueue adds an operation to the pending operations of its shard. It fails the
// operation if there are already maxPending or its deadline has passed.
func (c *Core) enqueue(now time.Time, id uint64, op Op) {
	s := &c.shards[ShardOf(op.Key)]
	if len(s.pending) >= maxPending || !now.Before(op.Deadline) {
		c.answer(id, Result{Verdict: VerdictUnavailable})
		return
	}
	s.pending = append(s.pending, &pendingOperation{id: id, op: op, enqueuedAtCall: s.callCount})
}

// handlePeerAnswer processes the answer of a peer. If the peer has not decided the
// operation, this process writes it.
func (c *Core) handlePeerAnswer(now time.Time, id uint64, r Result) {
	o := c.openOperations[id]
	if o == nil {
		return
	}
	if r.Verdict == VerdictUnavailable {
		c.writeLocally(now, func(other *openOperation) bool { return other == o && o.peer != "" })
		return
	}
	c.removePending(id, o.op)
	c.answer(id, r)
}

// writeLocally adds the forwarded operations that match to the shards of this
// process.
func (c *Core) writeLocally(now time.Time, match func(*openOperation) bool) {
	for _, id := range slices.Sorted(maps.Keys(c.openOperations)) {
		if o := c.openOperations[id]; match(o) {
			o.peer = ""
			c.enqueue(now, id, o.op)
		}
	}
}

// timeOut answers the operations whose deadline has passed.
func (c *Core) timeOut(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.openOperations)) {
		o := c.openOperations[id]
		if now.Before(o.op.Deadline) {
			continue
		}
		maybeWritten := c.removePending(id, o.op) || o.wasForwarded
		c.answer(id, Result{Verdict: VerdictUnavailable})
		if o.op.Kind == OpClaim && maybeWritten && !o.fromPeer {
			// The claim may be written although its run does not start. Releasing
			// the key lets the caller retry before the claim expires.
			c.lastInternalID++
			c.submit(now, c.lastInternalID, Op{Kind: OpRelease, Key: o.op.Key, Run: o.op.Run, Deadline: now.Add(releaseTimeout)})
		}
	}
}

// removePending removes an operation from its shard and reports whether it may
// have been written.
func (c *Core) removePending(id uint64, op Op) bool {
	maybeWritten := false
	s := &c.shards[ShardOf(op.Key)]
	s.pending = slices.DeleteFunc(s.pending, func(p *pendingOperation) bool {
		if p.id == id {
			maybeWritten = p.writeIssued
		}
		return p.id == id
	})
	return maybeWritten
}

// answer closes an operation. Operations that the core started itself need no
// action.
func (c *Core) answer(id uint64, r Result) {
	if _, ok := c.openOperations[id]; !ok {
		return
	}
	delete(c.openOperations, id)
	if id < firstInternalID {
		c.actions = append(c.actions, Action{Kind: ActionAnswer, ID: id, Result: r})
	}
}
