// Package subscriber keeps a process in step with one kind of objects of the
// platform.
//
// A [Subscriber] is a duty. It takes a snapshot and then waits for changes. A
// snapshot is the truth and a wait only hastens it: whenever a wait fails, or
// the changes are not kept any more, it takes a new snapshot, and it takes one
// from time to time in any case. It also tells when the platform cannot be
// reached and when it can be again.
//
// # Usage
//
//	s := subscriber.New(subscriber.Options{Feed: feed, Kind: "servers", Clock: c, Take: take})
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
	// callTimeout bounds a snapshot. The platform answers in milliseconds.
	callTimeout = time.Second
	// waitTime is the time for which the platform keeps a wait. A connection that
	// has gone silent is noticed after it and waitMargin, so both together stay
	// well below the time within which changes must be in force.
	waitTime   = 2 * time.Second
	waitMargin = 400 * time.Millisecond
	// retryFirst and retryLast bound the pause after a failure, which doubles
	// from one failure to the next. Each call is paid for, also one that fails,
	// and changes are to be in force within 2 s.
	retryFirst = 50 * time.Millisecond
	retryLast  = 500 * time.Millisecond
	// resyncInterval is the time between two snapshots.
	resyncInterval = 20 * time.Second
)

// Update is what a subscriber has learned.
type Update struct {
	Kind string
	// Reachable is false if the platform cannot be reached; nothing else is set
	// then.
	Reachable bool
	// Whole is true if Objects are all that there are.
	Whole   bool
	Objects []accessor.Object
	// Removed holds the keys of objects that were deleted.
	Removed []string
	// Version is that of the platform up to which this is complete.
	Version int64
}

// Options configures a subscriber.
type Options struct {
	Feed  accessor.Feed
	Kind  string
	Clock timer.Clock
	// Pause is the time between two waits. It gathers frequent changes into one
	// call.
	Pause time.Duration
	// Wait is the time for which the platform keeps a wait. Zero means 2 s.
	Wait time.Duration
	// RetryLast is the longest pause after a failure. Zero means 500 ms.
	RetryLast time.Duration
	// Take is called on the duty with each update. It may wait.
	Take func(Update)
}

// Subscriber follows one kind of objects.
type Subscriber struct {
	options Options
	cancel  context.CancelFunc
	done    chan struct{}

	// The fields below are owned by the duty.
	version   int64
	synced    time.Time
	failures  int
	reachable bool
}

// New starts a subscriber.
func New(o Options) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Subscriber{options: o, cancel: cancel, done: make(chan struct{}), reachable: true}
	go func() {
		defer close(s.done)
		for ctx.Err() == nil {
			s.step(ctx)
		}
	}()
	return s
}

// Stop ends the duty.
func (s *Subscriber) Stop() {
	s.cancel()
	<-s.done
}

// step takes one snapshot or waits once.
func (s *Subscriber) step(ctx context.Context) {
	now := s.options.Clock.Now()
	if s.synced.IsZero() || now.Sub(s.synced) >= resyncInterval {
		s.snapshot(ctx)
		return
	}
	d := cmp.Or(s.options.Wait, waitTime)
	wait, cancel := context.WithTimeout(ctx, d+waitMargin)
	changes, version, err := s.options.Feed.Changes(wait, s.options.Kind, s.version, d)
	cancel()
	if err != nil {
		// Why does not matter: a snapshot tells whether the platform is there.
		s.synced = time.Time{}
		if ctx.Err() == nil && !accessor.IsKind(err, accessor.ErrorCompacted) {
			klog.InfoS("wait for changes failed", "kind", s.options.Kind, "version", s.version, "err", err)
		}
		return
	}
	s.version = max(s.version, version)
	if len(changes) == 0 {
		return
	}
	s.options.Take(collect(s.options.Kind, s.version, changes))
	s.sleep(ctx, s.options.Pause)
}

// collect returns the last change of each object.
func collect(kind string, version int64, changes []accessor.Change) Update {
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

func (s *Subscriber) snapshot(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	all, version, err := s.options.Feed.Snapshot(call, s.options.Kind)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		if s.failures == 0 {
			klog.InfoS("platform out of reach", "kind", s.options.Kind, "version", s.version, "err", err)
		}
		if s.reachable {
			s.reachable = false
			s.options.Take(Update{Kind: s.options.Kind})
		}
		s.failures++
		s.sleep(ctx, min(retryFirst<<min(s.failures, 8), cmp.Or(s.options.RetryLast, retryLast)))
		return
	}
	if !s.reachable {
		klog.InfoS("platform in reach", "kind", s.options.Kind, "version", version, "failures", s.failures)
	}
	s.failures, s.reachable = 0, true
	s.version, s.synced = version, s.options.Clock.Now()
	s.options.Take(Update{Kind: s.options.Kind, Reachable: true, Whole: true, Objects: all, Version: version})
}

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
