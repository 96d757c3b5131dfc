// Package subscriber replicates the objects of one kind from the platform.
//
// A [Subscriber] runs a goroutine that reads a snapshot and then long-polls for
// changes. Snapshots are authoritative; polls only reduce the delay until a change
// is seen. If a poll fails or the platform no longer retains the changes, the
// subscriber reads a new snapshot. It also does so at a regular interval. It reports
// when the platform becomes unreachable and when it is reachable again.
//
// # Usage
//
//	s := subscriber.New(subscriber.Options{Feed: feed, Kind: "servers", Clock: c, OnUpdate: apply})
//	defer s.Stop()
package subscriber

import (
	"cmp"
	"context"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// snapshotTimeout is the time limit of reading a snapshot. The platform usually
	// responds within milliseconds.
	snapshotTimeout = time.Second
	// defaultPollTimeout is the default time after which the platform ends a poll
	// without a change.
	defaultPollTimeout = 2 * time.Second
	// PollTimeoutMargin is the additional time after which the client cancels the
	// poll. A dead connection is detected only then.
	PollTimeoutMargin = 400 * time.Millisecond
	// The backoff after n consecutive failures is backoffBase * 2^n, at most
	// defaultMaxBackoff. The values are a compromise: each call costs money, even if
	// it fails, but changes must be in force within 2 s.
	backoffBase       = 50 * time.Millisecond
	defaultMaxBackoff = 500 * time.Millisecond
	// resyncInterval is the maximum age of the last snapshot.
	resyncInterval = time.Minute
)

// Update is a snapshot, a set of changes, or a report that the platform is
// unreachable.
type Update struct {
	Kind string
	// Reachable is false if the platform cannot be reached. Apart from Kind, no other
	// field is set then.
	Reachable bool
	// Complete is true if Objects is a snapshot, that is, has all objects of Kind.
	Complete bool
	Objects  []accessor.Object
	// Removed holds the keys of objects that were deleted.
	Removed []string
	// Version is the version of the platform up to which the update includes all
	// changes.
	Version int64
}

// Options configures a subscriber.
type Options struct {
	Feed  accessor.Feed
	Kind  string
	Clock timer.Clock
	// BatchDelay is the pause after a poll that returned changes. It batches
	// frequent changes into one call.
	BatchDelay time.Duration
	// PollTimeout is the time after which the platform ends a poll without a change.
	// Zero means 2 s.
	PollTimeout time.Duration
	// MaxBackoff is the maximum backoff after failures. Zero means 500 ms.
	MaxBackoff time.Duration
	// OnUpdate is called on the subscriber's goroutine with each update. It may
	// block.
	OnUpdate func(Update)
}

// Subscriber replicates one kind of objects.
type Subscriber struct {
	options Options
	cancel  context.CancelFunc
	done    chan struct{}

	// The fields below are owned by the subscriber's goroutine.
	version      int64
	lastSnapshot time.Time
	failures     int
	stalledPolls int
	reachable    bool
}

// New starts a subscriber. The caller must call Stop to release it.
func New(o Options) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Subscriber{options: o, cancel: cancel, done: make(chan struct{}), reachable: true}
	go func() {
		defer close(s.done)
		for ctx.Err() == nil {
			s.snapshotOrPoll(ctx)
		}
	}()
	return s
}

// Stop cancels the current call and waits until the goroutine has ended.
func (s *Subscriber) Stop() {
	s.cancel()
	<-s.done
}

// snapshotOrPoll reads a snapshot if the last one is too old or a poll has failed
// since, and otherwise polls once.
func (s *Subscriber) snapshotOrPoll(ctx context.Context) {
	now := s.options.Clock.Now()
	if s.lastSnapshot.IsZero() || now.Sub(s.lastSnapshot) >= resyncInterval {
		s.snapshot(ctx)
		return
	}
	d := cmp.Or(s.options.PollTimeout, defaultPollTimeout)
	wait, cancel := context.WithTimeout(ctx, d+PollTimeoutMargin)
	changes, version, err := s.options.Feed.Changes(wait, s.options.Kind, s.version, d)
	silent := wait.Err() != nil
	cancel()
	waited := s.options.Clock.Now().Sub(now) >= d/2
	defer s.pauseIfStalled(ctx, waited || err == nil && version > s.version)
	if err != nil {
		// The snapshot that follows shows whether the platform is reachable.
		s.lastSnapshot = time.Time{}
		if silent && ctx.Err() == nil {
			// The poll may have waited during an outage that has ended since.
			s.reportUnreachable()
		}
		if ctx.Err() == nil && !accessor.IsKind(err, accessor.ErrorCompacted) {
			klog.InfoS("wait for changes failed", "kind", s.options.Kind, "version", s.version, "err", err)
		}
		return
	}
	s.version = max(s.version, version)
	if len(changes) == 0 {
		return
	}
	s.options.OnUpdate(coalesce(s.options.Kind, s.version, changes))
	s.sleep(ctx, s.options.BatchDelay)
}

// pauseIfStalled counts the consecutive polls that ended early with a failure or without
// progress, and waits for a backoff from the second one on. A snapshot between them may
// succeed.
func (s *Subscriber) pauseIfStalled(ctx context.Context, progress bool) {
	if progress {
		s.stalledPolls = 0
		return
	}
	if s.stalledPolls++; s.stalledPolls > 1 {
		s.sleep(ctx, s.backoff(s.stalledPolls))
	}
}

// backoff returns the pause after n consecutive failures.
func (s *Subscriber) backoff(n int) time.Duration {
	return min(backoffBase<<min(n, 8), cmp.Or(s.options.MaxBackoff, defaultMaxBackoff))
}

// coalesce returns an update with the last change of each object.
func coalesce(kind string, version int64, changes []accessor.Change) Update {
	u := Update{Kind: kind, Reachable: true, Version: version}
	last := map[string]int{}
	for i, c := range changes {
		last[c.Key] = i
	}
	for i, c := range changes {
		switch {
		case last[c.Key] != i:
		case c.Deleted:
			u.Removed = append(u.Removed, c.Key)
		default:
			u.Objects = append(u.Objects, c.Object)
		}
	}
	return u
}

// snapshot reads a snapshot. After a failure it waits for the backoff.
func (s *Subscriber) snapshot(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, snapshotTimeout)
	all, version, err := s.options.Feed.Snapshot(call, s.options.Kind)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		if s.failures == 0 {
			klog.InfoS("platform out of reach", "kind", s.options.Kind, "version", s.version, "err", err)
		}
		s.reportUnreachable()
		s.failures++
		s.sleep(ctx, s.backoff(s.failures))
		return
	}
	if !s.reachable {
		klog.InfoS("platform in reach", "kind", s.options.Kind, "version", version, "failures", s.failures)
	}
	s.failures, s.reachable = 0, true
	s.version, s.lastSnapshot = version, s.options.Clock.Now()
	s.options.OnUpdate(Update{Kind: s.options.Kind, Reachable: true, Complete: true, Objects: all, Version: version})
}

// reportUnreachable reports that the platform is unreachable, once until it is
// reachable again.
func (s *Subscriber) reportUnreachable() {
	if s.reachable {
		s.reachable = false
		s.options.OnUpdate(Update{Kind: s.options.Kind})
	}
}

// sleep waits for d or until ctx ends.
func (s *Subscriber) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	wake, stop := s.options.Clock.After(d)
	defer stop()
	select {
	case <-wake:
	case <-ctx.Done():
	}
}
