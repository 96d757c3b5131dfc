package provisioner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/leaser"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// fakeLease is held for a number of calls of Held.
type fakeLease struct {
	heldCalls atomic.Int64
	remaining time.Duration
	givenUp   chan string
}

func (l *fakeLease) Held() (int64, bool) { return 7, l.heldCalls.Add(-1) >= 0 }

func (l *fakeLease) Remaining() time.Duration { return l.remaining }

func (l *fakeLease) GiveUp(cause string) {
	select {
	case l.givenUp <- cause:
	default:
	}
}

type senderFunc func(ctx context.Context, token int64, t Target) Outcome

func (f senderFunc) Order(ctx context.Context, token int64, t Target) Outcome {
	return f(ctx, token, t)
}

// start starts a provisioner for a service that needs four upstreams and has two, and
// returns the channel of the outcomes of its calls.
func start(t *testing.T, l *fakeLease, s senderFunc) <-chan Outcome {
	t.Helper()
	outcomes := make(chan Outcome, 100)
	l.givenUp = make(chan string, 1)
	snapshot := newWorld(2, 28).snapshot()
	p := New(Options{
		Clock: timer.System{}, Lease: l, Sender: s, Pace: leaser.NewPace(100, 1),
		Snapshot: func(bool) Snapshot { return snapshot },
		Observe: func(o Outcome) {
			select {
			case outcomes <- o:
			default:
			}
		},
	})
	t.Cleanup(p.Stop)
	return outcomes
}

const manyCalls = 1 << 40

// A call must neither be made nor go on after the end of the lease: the next holder may
// have sent newer orders by then.
func TestCallsEndWithLease(t *testing.T) {
	for _, c := range []struct {
		name      string
		heldCalls int64
		remaining time.Duration
		want      Outcome
		sent      int64
	}{
		{"lease lost between the decision and the call", 1, time.Second, OutcomeNotSent, 0},
		{"no time left for a call", manyCalls, leaseMargin, OutcomeNotSent, 0},
		{"lease ends during the call", manyCalls, leaseMargin + 20*time.Millisecond, OutcomeUnknown, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &fakeLease{remaining: c.remaining}
			l.heldCalls.Store(c.heldCalls)
			var sent atomic.Int64
			outcomes := start(t, l, func(ctx context.Context, _ int64, _ Target) Outcome {
				sent.Add(1)
				<-ctx.Done()
				return OutcomeUnknown
			})
			is := is.New(t)
			is.Equal(<-outcomes, c.want)
			is.True(sent.Load() >= c.sent)
			is.True(c.sent > 0 || sent.Load() == 0)
		})
	}
}

// A refused token must reach the lease, or this entry would renew it.
func TestRefusedTokenGivesLeaseUp(t *testing.T) {
	is := is.New(t)
	l := &fakeLease{remaining: time.Second}
	l.heldCalls.Store(manyCalls)
	targets := make(chan Target, 1)
	outcomes := start(t, l, func(_ context.Context, token int64, target Target) Outcome {
		targets <- target
		if token != 7 {
			return OutcomeFailed
		}
		return OutcomeTokenRefused
	})
	is.Equal(<-outcomes, OutcomeTokenRefused)
	is.Equal(<-targets, Target{"desk", "stowe", 4})
	is.Equal(<-l.givenUp, "the token was refused")
}
