package reserver

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// The bytes of all answers together must stay within the budget, and each must come back:
// otherwise the process exceeds its memory, or refuses answers for ever.
func TestReservationsStayWithinBudget(t *testing.T) {
	t.Run("what does not fit is refused", func(t *testing.T) {
		b := NewBudget(100)
		first, second := b.Open(), b.Open()
		is := is.New(t)
		is.True(first.Reserve(60))
		is.True(!second.Reserve(41))
		is.True(second.Reserve(40))
		assertStats(t, b, Stats{Held: 100, Limit: 100, Refused: 1})
	})
	t.Run("released bytes can be reserved again", func(t *testing.T) {
		b := NewBudget(100)
		a := b.Open()
		is := is.New(t)
		is.True(a.Reserve(100))
		a.Release(30)
		is.True(b.Open().Reserve(30))
	})
	t.Run("a closed account gives back all and gets no more", func(t *testing.T) {
		b := NewBudget(100)
		a := b.Open()
		is := is.New(t)
		is.True(a.Reserve(70))
		a.Close()
		a.Release(70)
		a.Close()
		is.True(!a.Reserve(1))
		assertStats(t, b, Stats{Limit: 100})
	})
	t.Run("no budget", func(t *testing.T) {
		var b *Budget
		a := b.Open()
		is.New(t).True(a.Reserve(1 << 40))
		a.Release(1)
		a.Close()
		assertStats(t, b, Stats{})
	})
	t.Run("an account that is closed meanwhile", func(t *testing.T) {
		b := NewBudget(1 << 20)
		var wg sync.WaitGroup
		for range 100 {
			a := b.Open()
			wg.Go(func() {
				for a.Reserve(10) {
					a.Release(5)
				}
			})
			wg.Go(a.Close)
		}
		wg.Wait()
		is.New(t).Equal(b.Stats().Held, int64(0))
	})
}

func assertStats(t *testing.T, b *Budget, want Stats) {
	t.Helper()
	is.New(t).Equal(b.Stats(), want)
}
