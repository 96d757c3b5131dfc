package buffer

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

func TestPutOnFullRingFollowsPolicy(t *testing.T) {
	t.Run("reject refuses the new value", func(t *testing.T) {
		r := New[int, Reject]("test", 1)
		assertPuts(t, r, true, false)
		assertTakes(t, r, 1)
		is.New(t).Equal(r.Stats().Refused, uint64(1))
	})
	t.Run("drop oldest discards the oldest value", func(t *testing.T) {
		r := New[int, DropOldest]("test", 1)
		assertPuts(t, r, true, true)
		assertTakes(t, r, 2)
		is.New(t).Equal(r.Stats().Dropped, uint64(1))
	})
	t.Run("block returns false when its context is cancelled", func(t *testing.T) {
		r := New[int, Block]("test", 1)
		assertPuts(t, r, true)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.New(t).True(!r.Put(ctx, 2))
		assertTakes(t, r, 1)
	})
	t.Run("block returns false when the ring is closed", func(t *testing.T) {
		r := New[int, Block]("test", 1)
		assertPuts(t, r, true)
		result := make(chan bool)
		go func() { result <- r.Put(t.Context(), 2) }()
		r.Close()
		is.New(t).True(!<-result)
	})
}

// A value accepted before Close must still reach the consumer; otherwise a
// graceful shutdown loses it.
func TestTakeAfterCloseReturnsAcceptedValues(t *testing.T) {
	r := New[int, Reject]("test", 2)
	assertPuts(t, r, true)
	r.Close()
	assertPuts(t, r, false)
	assertTakes(t, r, 1)
	_, ok := r.Take(t.Context())
	is.New(t).True(!ok)
}

func assertPuts[P Policy](t *testing.T, r *Ring[int, P], want ...bool) {
	t.Helper()
	for i, w := range want {
		is.New(t).Equal(r.Put(t.Context(), i+1), w)
	}
}

func assertTakes[P Policy](t *testing.T, r *Ring[int, P], want ...int) {
	t.Helper()
	for _, w := range want {
		v, ok := r.Take(t.Context())
		is.New(t).True(ok)
		is.New(t).Equal(v, w)
	}
}
