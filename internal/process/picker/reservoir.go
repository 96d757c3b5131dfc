package picker

import "math/rand/v2"

// reservoir is a uniform sample of bounded size from a sequence (reservoir
// sampling).
type reservoir struct {
	items []*Upstream
	size  int
	seen  int
}

func (s *reservoir) reset(size int) { s.items, s.size, s.seen = s.items[:0], size, 0 }

func (s *reservoir) add(r *rand.Rand, u *Upstream) {
	s.seen++
	if len(s.items) < s.size {
		s.items = append(s.items, u)
		return
	}
	if i := r.IntN(s.seen); i < s.size {
		s.items[i] = u
	}
}
