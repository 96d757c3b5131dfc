package claimer

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The random test has a fixed default seed, so that its result is reproducible. The
// flag -rapid.seed selects another one.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

func TestShard(t *testing.T) {
	// A process that was paused for over an hour may create a segment whose sequence
	// number was used and deleted in the meantime. It would grant keys that other
	// runs hold.
	t.Run("no claim is granted from a stray segment", func(t *testing.T) {
		s := newShardDriver(t, Object{Sequence: 1, Version: 10, Segment: Segment{Sealed: true}})
		s.submit(OpClaim, "run-1")
		s.completeCall(CallNext, Object{})
		s.completeCall(CallWrite, Object{Version: 50})
		s.completeCall(CallReadSealed, Object{})
		s.assertVerdicts()
		s.assertNextCall(CallList)
	})
	// The writer of a stray segment may not have detected yet that it is stray.
	t.Run("a list grants no claim from an unsealed segment before the last", func(t *testing.T) {
		stray := Segment{Records: []Record{{Key: "k", Run: "run-1", State: StateClaimed, At: time.Unix(0, 0).UnixMilli()}}}
		s := newShardDriver(t, Object{Sequence: 1, Version: 30, Segment: stray}, Object{Sequence: 3, Version: 20})
		s.submit(OpClaim, "run-1")
		s.assertNextCall(CallWrite)
		s.assertVerdicts()
	})
	// A sealed stray segment could not be distinguished from the chain.
	t.Run("the first write of a segment does not seal it although it is full", func(t *testing.T) {
		s := newShardDriver(t, Object{Sequence: 1, Version: 10, Segment: Segment{Sealed: true}})
		s.shard.maxSegmentBytes = 1
		s.submitClaim("a", "run-1")
		s.submitClaim("b", "run-2")
		s.completeCall(CallNext, Object{})
		c := s.assertNextCall(CallWrite)
		s.is.Equal(len(c.Segment.Records), 1)
		s.is.True(!c.Segment.Sealed)
	})
	// Without the seal, a process with an old view could still write to the segment.
	t.Run("a full segment is sealed before its successor is created", func(t *testing.T) {
		s := newShardDriver(t, Object{Sequence: 1, Version: 10, Segment: Segment{Records: []Record{{Key: "z"}}}})
		s.shard.maxSegmentBytes = 1
		s.submit(OpClaim, "run-1")
		c := s.assertNextCall(CallWrite)
		s.is.Equal(c.ExpectedVersion, int64(10))
		s.is.True(c.Segment.Sealed)
		s.shard.handleOutcome(s.now, c, Outcome{Object: Object{Version: 11}})
		s.completeCall(CallNext, Object{})
		s.now = s.now.Add(MinWriteInterval)
		s.completeCall(CallWrite, Object{Version: 12})
		s.completeCall(CallReadSealed, Object{Version: 11})
		s.assertNextCall(CallNone)
		s.assertVerdicts(VerdictGranted)
	})
	// A segment that another process has deleted must not stop the clean-up.
	t.Run("a deletion with a conflict is verified and the next segment deleted", func(t *testing.T) {
		s := newShardDriver(t, Object{Sequence: 1, Version: 10, Segment: Segment{Sealed: true}},
			Object{Sequence: 2, Version: 20, Segment: Segment{Sealed: true}}, Object{Sequence: 3, Version: 30})
		s.now = s.now.Add(2 * ClaimLifetime)
		s.shard.cleanUpDue = true
		s.shard.handleOutcome(s.now, s.assertNextCall(CallDelete), Outcome{Fault: FaultConflict})
		s.now = s.now.Add(MinWriteInterval)
		s.completeCall(CallVerifyDelete, Object{})
		s.is.Equal(s.assertNextCall(CallDelete).Sequence, int64(2))
	})
	t.Run("the first segment of a chain is confirmed by a list", func(t *testing.T) {
		s := newShardDriver(t)
		s.submit(OpClaim, "run-1")
		s.completeCall(CallWrite, Object{Version: 50})
		s.assertVerdicts()
		s.assertNextCall(CallList)
	})
	// Without the record of the release, a delayed duplicate of the claim would hold
	// the key for an hour.
	t.Run("a delayed duplicate of a released claim is not written", func(t *testing.T) {
		s := newShardDriver(t, Object{Sequence: 1, Version: 10, Segment: Segment{Records: []Record{
			{Key: "k", Run: "run-1", State: StateReleased, At: time.Unix(0, 0).UnixMilli()},
		}}})
		s.submit(OpClaim, "run-1")
		s.assertNextCall(CallNone)
		s.assertVerdicts(VerdictUnavailable)
	})
	// A key that was released in the meantime must not be refused because of an old
	// view.
	t.Run("a claim is refused only after a read that follows it", func(t *testing.T) {
		held := Record{Key: "k", Run: "run-0", Fingerprint: "f", State: StateClaimed, At: time.Unix(0, 0).UnixMilli()}
		s := newShardDriver(t, Object{Sequence: 1, Version: 10, Segment: Segment{Records: []Record{held}}})
		s.submit(OpClaim, "run-1")
		s.completeCall(CallRead, Object{Sequence: 1, Version: 10, Segment: Segment{Records: []Record{held}}})
		s.assertNextCall(CallNone)
		s.assertVerdicts(VerdictRunning)
	})
	// The limit of 160 claim writes per second in the fleet follows from this
	// interval.
	t.Run("claims within 50 ms share one write", func(t *testing.T) {
		s := newShardDriver(t, Object{Sequence: 1, Version: 10})
		s.submitClaim("a", "run-1")
		s.completeCall(CallWrite, Object{Version: 11})
		s.submitClaim("b", "run-2")
		s.submitClaim("c", "run-3")
		s.now = s.now.Add(MinWriteInterval - time.Millisecond)
		s.assertNextCall(CallNone)
		s.now = s.now.Add(time.Millisecond)
		s.completeCall(CallWrite, Object{Version: 12})
		s.assertNextCall(CallNone)
		s.assertVerdicts(VerdictGranted, VerdictGranted, VerdictGranted)
	})
}

// shardDriver passes operations and outcomes of calls to one shard and collects the
// verdicts.
type shardDriver struct {
	is       *is.I
	shard    shard
	now      time.Time
	lastID   uint64
	verdicts []Verdict
}

// newShardDriver returns the driver of a shard whose first list returned objects.
func newShardDriver(t *testing.T, objects ...Object) *shardDriver {
	t.Helper()
	s := &shardDriver{is: is.New(t), now: time.Unix(0, 0).Add(time.Minute), shard: shard{maxSegmentBytes: MaxSegmentBytes}}
	s.submit(OpRelease, "run-listing")
	s.shard.handleOutcome(s.now, s.nextCall(), Outcome{Objects: objects})
	s.shard.pending = nil
	return s
}

func (s *shardDriver) submit(kind OpKind, run string) {
	s.enqueue(Op{Kind: kind, Key: "k", Run: run, Fingerprint: "f", Deadline: s.now.Add(time.Hour)})
}

func (s *shardDriver) submitClaim(key, run string) {
	s.enqueue(Op{Kind: OpClaim, Key: key, Run: run, Deadline: s.now.Add(time.Hour)})
}

func (s *shardDriver) enqueue(op Op) {
	s.lastID++
	s.shard.pending = append(s.shard.pending, &pendingOperation{id: s.lastID, op: op, enqueuedAtCall: s.shard.callCount})
}

func (s *shardDriver) nextCall() Call {
	return s.shard.nextCall(s.now, func(_ uint64, r Result) { s.verdicts = append(s.verdicts, r.Verdict) })
}

// completeCall checks the kind of the next call and completes it with o.
func (s *shardDriver) completeCall(kind CallKind, o Object) {
	c := s.assertNextCall(kind)
	s.shard.handleOutcome(s.now, c, Outcome{Object: o})
}

func (s *shardDriver) assertNextCall(kind CallKind) Call {
	c := s.nextCall()
	s.is.Helper()
	s.is.Equal(c.Kind, kind)
	return c
}

func (s *shardDriver) assertVerdicts(want ...Verdict) {
	s.is.Helper()
	s.is.Equal(s.verdicts, want)
}
