package carrier

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// A caller must get whole events only, each once, however the bytes arrive and
// whatever an upstream repeats after a resumption.
func TestSplitter(t *testing.T) {
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
				got, events := feed(r, &splitter{}, stream(1, 20, end)+"id: 21"+end+"da")
				is := is.New(t)
				is.Equal(got, stream(1, 20, end))
				is.Equal(events, 20)
				got, events = feed(r, &splitter{last: "7"}, stream(5, 20, end))
				is.Equal(got, stream(8, 20, end))
				is.Equal(events, 13)
			})
		}
	}
	t.Run("events without identity", func(t *testing.T) {
		got, events := feed(rand.New(rand.NewPCG(1, 1)), &splitter{last: "7"}, "data: a\n\ndata: a\n\n")
		is.New(t).Equal(got, "data: a\n\ndata: a\n\n")
		is.New(t).Equal(events, 2)
	})
	t.Run("an event without end", func(t *testing.T) {
		_, _, ok := (&splitter{}).add(make([]byte, maxEvent+1))
		is.New(t).True(!ok)
	})
}

// feed hands text to s in parts of random length.
func feed(r *rand.Rand, s *splitter, text string) (string, int) {
	out, events := "", 0
	for len(text) > 0 {
		n := 1 + r.IntN(len(text))
		if n > 9 {
			n = 1 + r.IntN(9)
		}
		whole, k, _ := s.add([]byte(text[:n]))
		out += string(whole)
		events += k
		text = text[n:]
	}
	return out, events
}
