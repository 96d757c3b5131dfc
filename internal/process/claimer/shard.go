package claimer

import (
	"slices"
	"time"
)

const (
	// maxPending is the maximum number of pending operations of a shard. With one
	// write per 50 ms, this is far more than can be written within a latency target.
	maxPending = 512
	// minBackoff and maxBackoff are the bounds of the exponential backoff after
	// calls that the platform did not serve.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// deletionGrace is the additional time after [ClaimLifetime] before a segment is
	// deleted.
	deletionGrace = time.Minute
)

// CallKind is the kind of a [Call].
type CallKind int

// The kinds of calls.
const (
	CallNone CallKind = iota
	// CallList lists the segments of the shard.
	CallList
	// CallRead rereads the last segment that this process knows.
	CallRead
	// CallNext reads the successor of a sealed segment.
	CallNext
	// CallReadSealed rereads the sealed predecessor of a new segment.
	CallReadSealed
	// CallWrite writes a segment if its version is ExpectedVersion.
	CallWrite
	// CallDelete deletes a segment if its version is ExpectedVersion.
	CallDelete
	// CallVerifyDelete reads a segment whose deletion failed or had an unknown
	// outcome.
	CallVerifyDelete
)

// Call is a call of the platform. Only the fields of its kind are set.
type Call struct {
	Kind            CallKind
	Shard           int
	Sequence        int64
	ExpectedVersion int64
	Segment         Segment
}

// Fault is the kind of failure of a call.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// FaultUnavailable means that the call had no effect.
	FaultUnavailable
	// FaultOutcomeUnknown means that a write may have taken effect or may still do
	// so.
	FaultOutcomeUnknown
	// FaultConflict means that the object has another version.
	FaultConflict
)

// Object is a segment with its sequence number and version in the platform. The
// version is zero if the object does not exist.
type Object struct {
	Sequence int64
	Version  int64
	Segment  Segment
}

// Outcome is the result of a call.
type Outcome struct {
	Fault Fault
	// Object is the result of a read or write. Objects is the result of a list, in
	// ascending order.
	Object  Object
	Objects []Object
}

// pendingOperation is an operation that waits for a decision of a shard.
type pendingOperation struct {
	id uint64
	op Op
	// enqueuedAtCall is the number of the last call before the operation was
	// enqueued.
	enqueuedAtCall int
	// writeIssued is true once a write with the record of the operation was issued.
	writeIssued bool
}

// shard is the view that this process has of the chain of one shard. At most one
// call of the platform is outstanding.
//
// The chain is linear because a segment is created only after its predecessor was
// sealed, and sealing changes the version of the predecessor: every claim is
// written to the last segment with the version at which it was read. Segments are
// deleted in order, oldest first; the last one is never deleted. A process that
// was paused for longer than [ClaimLifetime] can therefore create a segment whose
// sequence number was used and deleted before. Such a stray segment is unsealed
// and has no predecessor. It is detected by reading the predecessor after the new
// segment, and no claim is granted from it.
type shard struct {
	index           int
	maxSegmentBytes int
	outstanding     CallKind
	callCount       int
	loaded          bool
	last            Object
	lastSeenAtCall  int // number of the call that read or wrote last
	nextAbsent      bool
	next            *Object // successor of last that handleReadSealed has not confirmed yet
	nextSeenAtCall  int     // number of the call that read or wrote next
	claims          map[string]Record
	sealed          []Object // ascending; Records holds one record with the time of the newest
	strays          []Object
	pending         []*pendingOperation
	rereadLast      bool // last must be read again
	cleanUpDue      bool // this process has written and must now delete expired segments
	verifyDeletion  bool // the deletion of sealed[0] failed or had an unknown outcome
	nextWriteAt     time.Time
	retryAt         time.Time
	backoff         time.Duration
}

// handleOutcome processes the outcome of the outstanding call.
func (s *shard) handleOutcome(now time.Time, c Call, o Outcome) {
	s.outstanding = CallNone
	if o.Fault == FaultUnavailable || (o.Fault == FaultOutcomeUnknown && c.Kind != CallWrite && c.Kind != CallDelete) {
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.retryAt = now.Add(s.backoff)
		return
	}
	s.backoff = 0
	switch c.Kind {
	case CallList:
		s.handleList(now, o.Objects)
	case CallRead:
		s.handleRead(o.Object)
	case CallNext:
		s.nextAbsent = o.Object.Version == 0
		if s.nextAbsent {
			s.lastSeenAtCall = s.callCount
		} else {
			s.next, s.nextSeenAtCall = &o.Object, s.callCount
		}
	case CallReadSealed:
		s.handleReadSealed(o.Object)
	case CallWrite:
		s.handleWritten(c, o)
	case CallDelete, CallVerifyDelete:
		s.handleDeleted(now, c, o)
	}
}

// handleList replaces the view with the listed segments. An unsealed segment before
// the last one is stray.
func (s *shard) handleList(now time.Time, objects []Object) {
	s.loaded, s.rereadLast, s.nextAbsent, s.verifyDeletion, s.next = true, false, false, false, nil
	s.claims, s.sealed, s.strays = map[string]Record{}, nil, nil
	s.last = Object{}
	s.lastSeenAtCall = s.callCount
	for i, o := range objects {
		last := i == len(objects)-1
		if !last && !o.Segment.Sealed {
			s.strays = append(s.strays, o)
			continue
		}
		s.addClaims(o.Segment)
		s.last = o
		if !last {
			s.addSealed(o)
		}
	}
	if len(objects) == 0 {
		// An empty chain begins with sequence number 1.
		s.last.Segment.Sealed, s.nextAbsent = true, true
	}
	s.removeExpired(now)
}

// addClaims adds the records of a segment to the known claims.
func (s *shard) addClaims(g Segment) {
	for _, r := range g.Records {
		s.claims[r.Key] = r
	}
}

// addSealed adds a sealed segment, of which only the time of the newest record is
// kept.
func (s *shard) addSealed(o Object) {
	o.Segment = Segment{Sealed: true, Records: []Record{{At: o.Segment.latestTime()}}}
	s.sealed = append(s.sealed, o)
}

// handleRead updates the last segment. If the segment no longer exists, the chain
// is listed again.
func (s *shard) handleRead(o Object) {
	if o.Version == 0 || s.last.Sequence == 0 {
		s.loaded = false
		return
	}
	s.rereadLast, s.lastSeenAtCall = false, s.callCount
	s.last = o
	s.addClaims(o.Segment)
}

// handleReadSealed makes next the last segment if its predecessor o still has the
// version that this process knows as sealed. Otherwise the chain is listed again.
func (s *shard) handleReadSealed(o Object) {
	if o.Version != s.last.Version {
		s.loaded = false
		return
	}
	s.addSealed(s.last)
	s.last, s.next, s.nextAbsent, s.rereadLast = *s.next, nil, false, false
	s.lastSeenAtCall = s.nextSeenAtCall
	s.addClaims(s.last.Segment)
}

// handleWritten processes the outcome of a write. A segment that was created
// becomes next; handleReadSealed or a list confirms it.
func (s *shard) handleWritten(c Call, o Outcome) {
	created := c.ExpectedVersion == 0
	switch {
	case o.Fault != FaultNone && created:
		s.nextAbsent = false
	case o.Fault != FaultNone:
		s.rereadLast = true
	case created:
		s.nextAbsent, s.cleanUpDue = false, true
		s.next, s.nextSeenAtCall = &Object{Sequence: c.Sequence, Version: o.Object.Version, Segment: c.Segment}, s.callCount
	default:
		s.cleanUpDue, s.lastSeenAtCall = true, s.callCount
		s.last = Object{Sequence: c.Sequence, Version: o.Object.Version, Segment: c.Segment}
		s.addClaims(c.Segment)
	}
}

// handleDeleted processes the outcome of a deletion or of its verification.
func (s *shard) handleDeleted(now time.Time, c Call, o Outcome) {
	matches := func(x Object) bool { return x.Sequence == c.Sequence && x.Version == c.ExpectedVersion }
	if slices.ContainsFunc(s.strays, matches) {
		s.strays = slices.DeleteFunc(s.strays, matches)
		return
	}
	if c.Kind == CallDelete && o.Fault != FaultNone {
		// Segments must be deleted in order, so the next one waits until this one
		// is known to be deleted.
		s.verifyDeletion = true
		return
	}
	s.verifyDeletion = false
	if c.Kind == CallVerifyDelete && o.Object.Version == c.ExpectedVersion {
		s.retryAt = now.Add(maxBackoff)
		return
	}
	s.sealed = slices.DeleteFunc(s.sealed, matches)
	s.removeExpired(now)
}

// removeExpired removes the expired claims.
func (s *shard) removeExpired(now time.Time) {
	for key, r := range s.claims {
		if r.expired(now) {
			delete(s.claims, key)
		}
	}
}

// nextCall answers the operations that can be decided and returns the next call of
// the platform, of the kind [CallNone] if there is none.
func (s *shard) nextCall(now time.Time, answer func(uint64, Result)) Call {
	if s.outstanding != CallNone || now.Before(s.retryAt) {
		return Call{}
	}
	if s.loaded && s.next == nil {
		s.answerDecided(now, answer)
	}
	if len(s.pending) == 0 {
		return s.cleanUpCall(now)
	}
	switch {
	case !s.loaded, s.next != nil && s.last.Sequence == 0:
		return s.issueCall(Call{Kind: CallList})
	case s.next != nil:
		return s.issueCall(Call{Kind: CallReadSealed, Sequence: s.last.Sequence})
	case s.rereadLast:
		return s.issueCall(Call{Kind: CallRead, Sequence: s.last.Sequence})
	case s.last.Segment.Sealed && !s.nextAbsent:
		return s.issueCall(Call{Kind: CallNext, Sequence: s.last.Sequence + 1})
	case now.Before(s.nextWriteAt):
		return Call{}
	}
	return s.writeCall(now)
}

// issueCall records c as the outstanding call.
func (s *shard) issueCall(c Call) Call {
	c.Shard = s.index
	s.outstanding = c.Kind
	s.callCount++
	return c
}

// answerDecided answers the pending operations that the current view decides.
func (s *shard) answerDecided(now time.Time, answer func(uint64, Result)) {
	endPending := map[string]bool{}
	for _, p := range s.pending {
		endPending[p.op.Key] = endPending[p.op.Key] || (p.op.Kind != OpClaim && s.canWrite(now, p.op))
	}
	s.pending = slices.DeleteFunc(s.pending, func(p *pendingOperation) bool {
		fresh := s.lastSeenAtCall > p.enqueuedAtCall
		result, ok := s.verdict(now, p.op, fresh)
		if ok && result.Verdict == VerdictRunning && endPending[p.op.Key] {
			// The finish or release of the run that holds the key is pending.
			return false
		}
		if ok {
			answer(p.id, result)
			return true
		}
		if !fresh && !s.canWrite(now, p.op) {
			// A sealed segment cannot change, but it may have a successor by now.
			s.rereadLast = !s.last.Segment.Sealed
			s.nextAbsent = false
		}
		return false
	})
}

// verdict decides op if the current view suffices. A view is fresh if it was read
// after op was enqueued. An older view decides only what cannot change: that the
// run of op holds or has released the key, or that a run with the key has
// finished.
func (s *shard) verdict(now time.Time, op Op, fresh bool) (Result, bool) {
	r, ok := s.claims[op.Key]
	live := ok && !r.expired(now)
	if op.Kind != OpClaim {
		done := live && r.Run == op.Run && r.State != StateClaimed
		other := !live || r.Run != op.Run
		return Result{Verdict: VerdictRecorded}, done || (other && fresh)
	}
	if !live || (r.State == StateReleased && r.Run != op.Run) {
		return Result{}, false
	}
	switch {
	case r.State == StateReleased:
		// The run has released the key; op is a delayed duplicate of its claim.
		return Result{Verdict: VerdictUnavailable}, true
	case r.Run == op.Run && r.State == StateClaimed:
		return Result{Verdict: VerdictGranted}, true
	case r.Fingerprint != op.Fingerprint:
		return Result{Verdict: VerdictMismatch}, fresh || r.State == StateFinished
	case r.State == StateFinished:
		return Result{Verdict: VerdictFinished, Answer: r.Answer}, true
	}
	return Result{Verdict: VerdictRunning}, fresh
}

// canWrite reports whether the current view allows the record of op to be written.
func (s *shard) canWrite(now time.Time, op Op) bool {
	r, ok := s.claims[op.Key]
	return canReplace(now, r, ok, op)
}

// canReplace reports whether the record of op may replace r. ok is false if the key
// has no record.
func canReplace(now time.Time, r Record, ok bool, op Op) bool {
	live := ok && !r.expired(now)
	if op.Kind == OpClaim {
		return !live || (r.State == StateReleased && r.Run != op.Run)
	}
	return live && r.Run == op.Run && r.State == StateClaimed
}

// writeCall returns a write that adds the records of the pending operations to the
// last segment, as many as fit. If one does not fit, the write seals the segment. If
// the last segment is already sealed, the write creates its successor.
func (s *shard) writeCall(now time.Time) Call {
	c := Call{Kind: CallWrite, Sequence: s.last.Sequence, ExpectedVersion: s.last.Version, Segment: s.last.Segment}
	if s.last.Segment.Sealed {
		c = Call{Kind: CallWrite, Sequence: s.last.Sequence + 1}
	}
	draft := map[string]Record{}
	full := false
	for _, p := range s.pending {
		r, ok := draft[p.op.Key]
		if !ok {
			r, ok = s.claims[p.op.Key]
		}
		if !canReplace(now, r, ok, p.op) {
			continue
		}
		r = newRecord(now, r, p.op)
		grown := c.Segment.withRecord(r)
		if grown.maxEncodedBytes() > s.maxSegmentBytes && len(c.Segment.Records) > 0 {
			full = true
			break
		}
		c.Segment, draft[r.Key], p.writeIssued = grown, r, true
	}
	// The first write of a segment never seals it: a stray segment must remain
	// recognisable as not part of the chain.
	c.Segment.Sealed = full && c.ExpectedVersion != 0
	if len(draft) == 0 && !full {
		return Call{}
	}
	s.nextWriteAt = now.Add(MinWriteInterval)
	return s.issueCall(c)
}

// newRecord returns the record that op writes over the record old.
func newRecord(now time.Time, old Record, op Op) Record {
	r := Record{Key: op.Key, Run: op.Run, Fingerprint: op.Fingerprint, State: StateClaimed, At: now.UnixMilli()}
	switch op.Kind {
	case OpFinish:
		r.State, r.Answer, r.Fingerprint = StateFinished, op.Answer, old.Fingerprint
	case OpRelease:
		r.State, r.Fingerprint = StateReleased, old.Fingerprint
	}
	return r
}

// cleanUpCall returns the deletion of a stray segment, or of the oldest segment if
// all its records have expired.
func (s *shard) cleanUpCall(now time.Time) Call {
	s.cleanUpDue = s.cleanUpDue && s.loaded && s.next == nil
	if !s.cleanUpDue || now.Before(s.nextWriteAt) {
		return Call{}
	}
	if s.verifyDeletion {
		return s.issueCall(Call{Kind: CallVerifyDelete, Sequence: s.sealed[0].Sequence, ExpectedVersion: s.sealed[0].Version})
	}
	var o Object
	switch {
	case len(s.strays) > 0:
		o = s.strays[0]
	case len(s.sealed) > 0 && now.Sub(time.UnixMilli(s.sealed[0].Segment.latestTime())) > ClaimLifetime+deletionGrace:
		o = s.sealed[0]
	default:
		s.cleanUpDue = false
		return Call{}
	}
	s.nextWriteAt = now.Add(MinWriteInterval)
	return s.issueCall(Call{Kind: CallDelete, Sequence: o.Sequence, ExpectedVersion: o.Version})
}

// wake returns the time at which nextCall must be called again, or zero.
func (s *shard) wake() time.Time {
	if s.outstanding != CallNone || (len(s.pending) == 0 && !s.cleanUpDue) {
		return time.Time{}
	}
	if s.retryAt.After(s.nextWriteAt) {
		return s.retryAt
	}
	return s.nextWriteAt
}
