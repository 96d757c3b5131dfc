package recoverer

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// A panic must end only the function that panics, and must be counted.
func TestRunReturnsPanicAsError(t *testing.T) {
	t.Run("panic", func(t *testing.T) {
		var r Recoverer
		err := r.Run("decode", func() { panic("bad input") })
		var failure *Error
		is := is.New(t)
		is.True(errors.As(err, &failure))
		is.Equal(failure.Op, "decode")
		is.Equal(r.Panics.Load(), uint64(1))
	})
	t.Run("no panic", func(t *testing.T) {
		var r Recoverer
		ran := false
		is := is.New(t)
		is.NoErr(r.Run("decode", func() { ran = true }))
		is.True(ran)
		is.Equal(r.Panics.Load(), uint64(0))
	})
	t.Run("nil recoverer", func(t *testing.T) {
		var r *Recoverer
		is.New(t).True(r.Run("decode", func() { panic(1) }) != nil)
	})
}
