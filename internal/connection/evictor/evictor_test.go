package evictor

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func start() time.Time { return time.Unix(1000, 0) }

func ago(a Activity, age time.Duration) Connection {
	return Connection{Activity: a, Since: start().Add(-age)}
}

func assertChoice(t *testing.T, connections []Connection, n int, evict []int, next time.Duration) {
	t.Helper()
	is := is.New(t)
	c := Choose(start(), connections, n)
	is.Equal(c.Evict, evict)
	if next < 0 {
		is.True(c.Next.IsZero())
		return
	}
	is.Equal(c.Next, start().Add(next))
}

// A wrong order would close the connections of callers that come again before those of
// clients that only hold them; a wrong choice would cut off a request.
func TestChoiceOfConnections(t *testing.T) {
	t.Run("those without a request go first, then the oldest idle ones", func(t *testing.T) {
		assertChoice(t, []Connection{
			ago(ActivityIdle, 9*time.Second), ago(ActivityIdle, 10*time.Second),
			ago(ActivitySilent, time.Second), ago(ActivityHead, 2*time.Second),
		}, 4, []int{3, 2, 1, 0}, -1)
	})
	t.Run("no more than asked for", func(t *testing.T) {
		assertChoice(t, []Connection{ago(ActivityIdle, 1), ago(ActivityIdle, 2), ago(ActivityIdle, 3)}, 2, []int{2, 1}, 0)
	})
	t.Run("neither a request nor a head that is arriving", func(t *testing.T) {
		assertChoice(t, []Connection{ago(ActivityBusy, time.Hour), ago(ActivityHead, HeadPause/4)}, 2, nil, HeadPause-HeadPause/4)
	})
	t.Run("not a connection that has just been opened", func(t *testing.T) {
		assertChoice(t, []Connection{ago(ActivitySilent, 0)}, 1, nil, SilentGrace)
	})
}
