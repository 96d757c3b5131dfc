package claimer

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A key must be granted to one run at a time, whatever calls and messages are lost,
// delayed or duplicated and whatever entries crash. Each operation must get exactly
// one result by its deadline.
func TestKeyIsGrantedToOneRunAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(20, 250).Draw(t, "steps") {
			s.randomStep()
		}
		s.runToCompletion()
	})
}

// An entry that stopped waiting for a peer may have written the claim itself. The
// peer must not release the key when its copy of the claim times out. It once did,
// and a second run got the key.
func TestOnlySubmittingEntryReleasesTimedOutClaim(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  EventKind
		calls int
	}{
		{"submitting entry releases", EventSubmitted, 1},
		{"peer does not release", EventPeerSubmitted, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			core := NewCore("entry-0", 0)
			list := core.Step(now, Event{Kind: c.kind, ID: 1, Op: Op{Key: "k", Run: "run-1", Deadline: now.Add(time.Second)}})
			is.Equal(len(list), 1)
			write := core.Step(now, Event{Kind: EventCallDone, Call: list[0].Call})
			is.Equal(len(write), 1)
			expired := core.Step(now.Add(time.Second), Event{Kind: EventTicked})
			is.Equal(len(expired), 1)
			is.Equal(expired[0].Result.Verdict, VerdictUnavailable)
			written := Outcome{Object: Object{Version: 1}}
			after := core.Step(now.Add(time.Second), Event{Kind: EventCallDone, Call: write[0].Call, Outcome: written})
			is.Equal(len(after), c.calls) // the release needs the call that confirms the segment
		})
	}
}

const (
	entryCount = 3
	// maxTimeout is the maximum time between the submission of an operation and its
	// deadline.
	maxTimeout = 2 * time.Second
)

// simulation holds three cores, a platform and the messages between the cores.
// Calls and messages may be delayed or lost, and messages also duplicated.
type simulation struct {
	t            *rapid.T
	now          time.Time
	cores        [entryCount]*Core
	lastID       uint64
	runCount     int
	objects      map[string]Object
	version      int64
	calls        []sentCall
	delayedCalls []Call
	messages     []message
	// open holds the operations of live entries without a result.
	open map[uint64]openSubmission
	// grants holds the grant of each key that has not been released.
	grants map[string]grant
}

type sentCall struct {
	core *Core
	call Call
}

type message struct {
	from, to *Core
	id       uint64
	op       Op
	result   Result
	answer   bool
}

type openSubmission struct {
	core *Core
	op   Op
	// from is the entry that forwarded the operation, and fromID its ID there. It
	// is nil for an operation of the entry itself.
	from   *Core
	fromID uint64
}

type grant struct {
	run      string
	core     *Core
	at       time.Time
	finished bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1_800_000_000, 0), objects: map[string]Object{},
		open: map[uint64]openSubmission{}, grants: map[string]grant{},
	}
	for i := range s.cores {
		s.startEntry(i)
	}
	return s
}

// startEntry sets the core of an entry that knows all peers and is connected to
// them.
func (s *simulation) startEntry(i int) {
	c := NewCore(entryName(i), 600)
	s.cores[i] = c
	s.step(c, Event{Kind: EventPeers, Peers: []string{entryName(0), entryName(1), entryName(2)}})
	for j := range s.cores {
		if j != i {
			s.step(c, Event{Kind: EventPeerConnected, Peer: entryName(j)})
		}
	}
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// randomStep executes a step of a random kind.
func (s *simulation) randomStep() {
	switch rapid.SampledFrom([]string{
		"claim", "claim", "claim", "call", "call", "call", "call", "call", "call", "message", "message", "message",
		"end", "end", "tick", "tick", "hour", "crash", "delayed call", "delayed call", "connection",
	}).Draw(s.t, "step") {
	case "claim":
		s.submitClaim()
	case "call":
		s.completeAnyCall()
	case "message":
		s.deliverAny()
	case "end":
		s.endAnyRun()
	case "tick":
		s.advance(time.Duration(rapid.SampledFrom([]int{1, 50, 100, 350, 2000}).Draw(s.t, "ms")) * time.Millisecond)
	case "hour":
		s.advance(ClaimLifetime + 2*deletionGrace)
	case "crash":
		s.restartEntry(rapid.IntRange(0, entryCount-1).Draw(s.t, "entry"))
	case "delayed call":
		s.applyDelayedCall()
	case "connection":
		kind := rapid.SampledFrom([]EventKind{EventPeerConnected, EventPeerDisconnected}).Draw(s.t, "kind")
		s.step(s.anyCore(), Event{Kind: kind, Peer: entryName(rapid.IntRange(0, entryCount-1).Draw(s.t, "peer"))})
	}
}

func (s *simulation) anyCore() *Core {
	return s.cores[rapid.IntRange(0, entryCount-1).Draw(s.t, "core")]
}

// submitClaim submits a claim of a random key by a new run.
func (s *simulation) submitClaim() {
	s.runCount++
	run := fmt.Sprintf("run-%d", s.runCount)
	// Two of the keys belong to the same shard, so that they share segments.
	key := rapid.SampledFrom([]string{"k0", "k8", "k1"}).Draw(s.t, "key")
	in := time.Duration(rapid.IntRange(1, int(maxTimeout/time.Millisecond)).Draw(s.t, "in")) * time.Millisecond
	s.submit(s.anyCore(), Op{Kind: OpClaim, Key: key, Run: run, Fingerprint: "f", Deadline: s.now.Add(in)})
}

// submit passes an operation to a core as one of its own process.
func (s *simulation) submit(c *Core, op Op) {
	s.lastID++
	s.open[s.lastID] = openSubmission{core: c, op: op}
	s.step(c, Event{Kind: EventSubmitted, ID: s.lastID, Op: op})
}

// endAnyRun finishes or releases a random run that holds a key.
func (s *simulation) endAnyRun() {
	if len(s.grants) == 0 {
		return
	}
	key := rapid.SampledFrom(slices.Sorted(maps.Keys(s.grants))).Draw(s.t, "granted key")
	h := s.grants[key]
	if h.finished || !slices.Contains(s.cores[:], h.core) {
		return
	}
	op := Op{Kind: OpFinish, Key: key, Run: h.run, Answer: []byte(h.run), Deadline: s.now.Add(maxTimeout)}
	if rapid.Bool().Draw(s.t, "release") {
		op.Kind, op.Answer = OpRelease, nil
		delete(s.grants, key)
	} else {
		h.finished = true
		s.grants[key] = h
	}
	s.submit(h.core, op)
}

// step passes an event to a core and executes the resulting actions.
func (s *simulation) step(c *Core, e Event) {
	for _, a := range c.Step(s.now, e) {
		switch a.Kind {
		case ActionCall:
			s.calls = append(s.calls, sentCall{c, a.Call})
		case ActionForward:
			to := s.cores[slices.Index([]string{entryName(0), entryName(1), entryName(2)}, a.Peer)]
			s.messages = append(s.messages, message{from: c, to: to, id: a.ID, op: a.Op})
		case ActionAnswer:
			s.checkResult(a.ID, a.Result)
		}
	}
}

// checkResult checks the result of an operation and records grants. The result of a
// forwarded operation is sent to the entry that forwarded it.
func (s *simulation) checkResult(id uint64, r Result) {
	a, ok := s.open[id]
	if !ok {
		s.t.Fatalf("operation %d got a second result: %v", id, r.Verdict)
	}
	delete(s.open, id)
	if a.from != nil {
		s.messages = append(s.messages, message{from: a.core, to: a.from, id: a.fromID, result: r, answer: true})
		return
	}
	if a.op.Kind != OpClaim {
		return
	}
	h, held := s.grants[a.op.Key]
	held = held && s.now.Sub(h.at) < ClaimLifetime-maxTimeout
	switch {
	case r.Verdict == VerdictGranted && held:
		s.t.Fatalf("key %s granted to %s while %s holds it", a.op.Key, a.op.Run, h.run)
	case r.Verdict == VerdictGranted:
		s.grants[a.op.Key] = grant{run: a.op.Run, core: a.core, at: s.now}
	case r.Verdict == VerdictFinished && held && string(r.Answer) != h.run:
		s.t.Fatalf("key %s replays the answer of %s but is held by %s", a.op.Key, r.Answer, h.run)
	}
}

// completeAnyCall completes a random call of the platform. The call may be served,
// lose its response, take effect later, or fail.
func (s *simulation) completeAnyCall() {
	if len(s.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.calls)-1).Draw(s.t, "call")
	sent := s.calls[i]
	s.calls = slices.Delete(s.calls, i, i+1)
	out := Outcome{}
	switch rapid.SampledFrom([]string{"served", "served", "served", "answer lost", "late", "down"}).Draw(s.t, "platform") {
	case "served":
		out = s.apply(sent.call)
	case "answer lost":
		s.apply(sent.call)
		out.Fault = FaultOutcomeUnknown
	case "late":
		s.delayedCalls = append(s.delayedCalls, sent.call)
		out.Fault = FaultOutcomeUnknown
	case "down":
		out.Fault = FaultUnavailable
	}
	if slices.Contains(s.cores[:], sent.core) {
		s.step(sent.core, Event{Kind: EventCallDone, Call: sent.call, Outcome: out})
	}
}

// applyDelayedCall lets a random delayed call take effect.
func (s *simulation) applyDelayedCall() {
	if len(s.delayedCalls) > 0 {
		i := rapid.IntRange(0, len(s.delayedCalls)-1).Draw(s.t, "delayed call")
		s.apply(s.delayedCalls[i])
		s.delayedCalls = slices.Delete(s.delayedCalls, i, i+1)
	}
}

// apply executes a call of the platform.
func (s *simulation) apply(c Call) Outcome {
	key := segmentKey(c.Shard, c.Sequence)
	old := s.objects[key]
	switch c.Kind {
	case CallList:
		out := Outcome{}
		for _, k := range slices.Sorted(maps.Keys(s.objects)) {
			if k[:len(segmentKeyPrefix(c.Shard))] == segmentKeyPrefix(c.Shard) {
				out.Objects = append(out.Objects, s.objects[k])
			}
		}
		return out
	case CallWrite, CallDelete:
		if old.Version != c.ExpectedVersion {
			return Outcome{Fault: FaultConflict}
		}
		if c.Kind == CallDelete {
			delete(s.objects, key)
			return Outcome{}
		}
		s.version++
		s.objects[key] = Object{Sequence: c.Sequence, Version: s.version, Segment: c.Segment}
	}
	return Outcome{Object: s.objects[key]}
}

// deliverAny delivers or loses a random message. A delivered message may be kept to
// be delivered again.
func (s *simulation) deliverAny() {
	if len(s.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(s.t, "message")
	m := s.messages[i]
	delivery := rapid.SampledFrom([]string{"once", "once", "once", "again", "lost"}).Draw(s.t, "delivery")
	if delivery != "again" {
		s.messages = slices.Delete(s.messages, i, i+1)
	}
	if delivery != "lost" {
		s.deliverMessage(m)
	}
}

// deliverMessage passes a message to its receiver unless that has been restarted.
func (s *simulation) deliverMessage(m message) {
	switch {
	case !slices.Contains(s.cores[:], m.to):
	case m.answer:
		s.step(m.to, Event{Kind: EventPeerAnswered, ID: m.id, Result: m.result})
	default:
		s.lastID++
		s.open[s.lastID] = openSubmission{core: m.to, op: m.op, from: m.from, fromID: m.id}
		s.step(m.to, Event{Kind: EventPeerSubmitted, ID: s.lastID, Op: m.op})
	}
}

// restartEntry replaces a core by a new one without its state.
func (s *simulation) restartEntry(i int) {
	for id, a := range s.open {
		if a.core == s.cores[i] {
			delete(s.open, id)
		}
	}
	s.startEntry(i)
}

// advance advances the clock and passes an EventTicked to each core that is due.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, c := range s.cores {
		if at := c.Wake(); !at.IsZero() && !s.now.Before(at) {
			s.step(c, Event{Kind: EventTicked})
		}
	}
}

// runToCompletion serves all calls and checks that every operation gets a result.
func (s *simulation) runToCompletion() {
	for range 500 {
		for len(s.calls) > 0 {
			sent := s.calls[0]
			s.calls = s.calls[1:]
			out := s.apply(sent.call)
			if slices.Contains(s.cores[:], sent.core) {
				s.step(sent.core, Event{Kind: EventCallDone, Call: sent.call, Outcome: out})
			}
		}
		s.advance(MinWriteInterval)
	}
	if len(s.open) > 0 {
		s.t.Fatalf("%d operations got no result", len(s.open))
	}
}
