package carrier

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// A caller must receive only whole events and each event once, for any split of
// the stream into reads and if an upstream repeats events after a resumption.
func TestSplitterReturnsEachWholeEventOnce(t *testing.T) {
	stream := func(from, to int, end string) string {
		text := ""
		for i := from; i <= to; i++ {
			text += fmt.Sprintf("id: %d%sdata: x%d%s%s", i, end, i, end, end)
		}
		return text
	}
	for _, end := range []string{"\n", "\r\n"} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%q seed %d", end, seed), func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 1))
				got, events := splitInRandomParts(r, &splitter{}, stream(1, 20, end)+"id: 21"+end+"da")
				is := is.New(t)
				is.Equal(got, stream(1, 20, end))
				is.Equal(events, 20)
				got, events = splitInRandomParts(r, &splitter{lastID: "7"}, stream(5, 20, end))
				is.Equal(got, stream(8, 20, end))
				is.Equal(events, 13)
			})
		}
	}
	t.Run("events without an ID are all returned", func(t *testing.T) {
		got, events := splitInRandomParts(rand.New(rand.NewPCG(1, 1)), &splitter{lastID: "7"}, "data: a\n\ndata: a\n\n")
		is.New(t).Equal(got, "data: a\n\ndata: a\n\n")
		is.New(t).Equal(events, 2)
	})
	t.Run("an incomplete event over the limit is an error", func(t *testing.T) {
		_, _, ok := (&splitter{}).split(make([]byte, maxEventBytes+1))
		is.New(t).True(!ok)
	})
}

// splitInRandomParts passes text to s in parts of 1 to 9 bytes and returns the
// events and their number.
func splitInRandomParts(r *rand.Rand, s *splitter, text string) (string, int) {
	out, events := "", 0
	for len(text) > 0 {
		n := 1 + r.IntN(len(text))
		if n > 9 {
			n = 1 + r.IntN(9)
		}
		whole, count, _ := s.split([]byte(text[:n]))
		out += string(whole)
		events += count
		text = text[n:]
	}
	return out, events
}
