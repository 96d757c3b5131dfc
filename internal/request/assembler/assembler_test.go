package assembler

import (
	"testing"

	"github.com/matryer/is"
)

// The caller must get each token exactly once, whatever order the frames of
// different attempts arrive in.
func TestAddReturnsEachTokenOnce(t *testing.T) {
	t.Run("consecutive frames are accepted", func(t *testing.T) {
		a := Answer{Attempt: 1}
		assertAdds(t, &a, 1, 0, []string{"a", "b"}, []string{"a", "b"})
		assertAdds(t, &a, 1, 2, []string{"c"}, []string{"c"})
	})
	t.Run("frame of an earlier attempt is dropped", func(t *testing.T) {
		a := Answer{Attempt: 2, Tokens: 1}
		assertAdds(t, &a, 1, 1, []string{"old"}, nil)
		assertAdds(t, &a, 2, 1, []string{"new"}, []string{"new"})
	})
	t.Run("overlap with accepted tokens is dropped", func(t *testing.T) {
		a := Answer{Attempt: 1, Tokens: 2}
		assertAdds(t, &a, 1, 1, []string{"b", "c"}, []string{"c"})
		is.New(t).Equal(a.DroppedTokens, 1)
	})
	t.Run("duplicate that ends before the next token is dropped", func(t *testing.T) {
		a := Answer{Attempt: 1, Tokens: 5}
		assertAdds(t, &a, 1, 0, []string{"a"}, []string{})
		is.New(t).Equal(a.Tokens, 5)
	})
	t.Run("gap is an error", func(t *testing.T) {
		a := Answer{Attempt: 1, Tokens: 2}
		_, err := a.Add(1, 3, []string{"d"})
		is.New(t).True(err != nil)
	})
}

func TestFinishRejectsMissingTokens(t *testing.T) {
	is := is.New(t)
	a := Answer{Attempt: 1, Tokens: 2}
	is.NoErr(a.Finish(1, 2))
	is.True(a.Finish(1, 3) != nil)
}

func assertAdds(t *testing.T, a *Answer, attempt, first int, tokens, want []string) {
	t.Helper()
	got, err := a.Add(attempt, first, tokens)
	is.New(t).NoErr(err)
	is.New(t).Equal(got, want)
}
