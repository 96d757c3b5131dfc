package subscriber

import (
	"context"
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
