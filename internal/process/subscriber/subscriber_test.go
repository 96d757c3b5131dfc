package subscriber

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// feed is a platform whose first poll ends with failure, and whose later polls wait.
type feed struct {
	// firstPoll ends the first poll. Nil means that it gets no answer.
	firstPoll error
	polls     int
}

func (f *feed) Snapshot(context.Context, string) ([]accessor.Object, int64, error) {
	return []accessor.Object{{Key: "servers/a"}}, 7, nil
}

func (f *feed) Changes(ctx context.Context, _ string, _ int64, _ time.Duration) ([]accessor.Change, int64, error) {
	if f.polls++; f.polls == 1 && f.firstPoll != nil {
		return nil, 0, f.firstPoll
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// updates starts a subscriber and returns its first three updates.
func updates(t *testing.T, f *feed) []Update {
	t.Helper()
	received := make(chan Update, 8)
	s := New(Options{
		Feed: f, Kind: "servers", Clock: timer.NewManual(time.Unix(1000, 0)), PollTimeout: time.Millisecond,
		OnUpdate: func(u Update) { received <- u },
	})
	defer s.Stop()
	return []Update{<-received, <-received, <-received}
}

// A poll that got no answer may have waited through an outage in which registrations
// lapsed. Without a report of the outage, the snapshot after it removed them at once.
func TestSilentPollIsReportedAsOutage(t *testing.T) {
	t.Run("poll without an answer", func(t *testing.T) {
		all := updates(t, &feed{})
		is := is.New(t)
		is.True(all[0].Complete && all[0].Reachable)
		is.True(!all[1].Reachable)
		is.True(all[2].Complete && all[2].Reachable)
	})
	t.Run("poll that fails at once", func(t *testing.T) {
		all := updates(t, &feed{firstPoll: errors.New("connection reset")})
		is := is.New(t)
		is.True(all[1].Complete && all[1].Reachable)
	})
}

// pollFeed is a platform whose polls end at once with the results of the test, and from
// maxPolls on no more.
type pollFeed struct {
	poll  func(after int64) ([]accessor.Change, int64, error)
	polls atomic.Int32
	spun  chan struct{}
}

const maxPolls = 20

func (f *pollFeed) Snapshot(context.Context, string) ([]accessor.Object, int64, error) {
	return []accessor.Object{{Key: "servers/a"}}, 7, nil
}

func (f *pollFeed) Changes(ctx context.Context, _ string, after int64, _ time.Duration) ([]accessor.Change, int64, error) {
	if f.polls.Add(1) == maxPolls {
		close(f.spun)
		<-ctx.Done()
	}
	return f.poll(after)
}

// assertPauses checks whether a subscriber pauses between polls that end with the given
// result.
func assertPauses(t *testing.T, poll func(after int64) ([]accessor.Change, int64, error), want bool) {
	t.Helper()
	f := &pollFeed{poll: poll, spun: make(chan struct{})}
	clock := timer.NewManual(time.Unix(1000, 0))
	s := New(Options{Feed: f, Kind: "servers", Clock: clock, PollTimeout: time.Minute, OnUpdate: func(Update) {}})
	defer s.Stop()
	paused := false
	for end := false; !end && !paused; {
		select {
		case <-f.spun:
			end = true
		default:
			paused = clock.PendingTimers() > 0
			time.Sleep(time.Millisecond)
		}
	}
	is.New(t).Equal(paused, want)
}

// A platform that answered polls at once without any progress, or refused all of them
// and served snapshots, was asked again without a pause. The calls of one entry used up
// the rate that all entries share.
func TestPollWithoutProgressIsRepeatedAfterPause(t *testing.T) {
	change := []accessor.Change{{Object: accessor.Object{Key: "servers/a", Version: 7}}}
	t.Run("no change and no progress", func(t *testing.T) {
		assertPauses(t, func(after int64) ([]accessor.Change, int64, error) { return nil, after, nil }, true)
	})
	t.Run("same change for ever", func(t *testing.T) {
		assertPauses(t, func(after int64) ([]accessor.Change, int64, error) { return change, after, nil }, true)
	})
	t.Run("failure", func(t *testing.T) {
		assertPauses(t, func(int64) ([]accessor.Change, int64, error) { return nil, 0, errors.New("not readable") }, true)
	})
	t.Run("history that is always gone", func(t *testing.T) {
		assertPauses(t, func(int64) ([]accessor.Change, int64, error) {
			return nil, 0, &accessor.Error{Op: "watch", Kind: accessor.ErrorCompacted, Err: errors.New("status 410")}
		}, true)
	})
	t.Run("changes", func(t *testing.T) {
		assertPauses(t, func(after int64) ([]accessor.Change, int64, error) { return change, after + 1, nil }, false)
	})
}
