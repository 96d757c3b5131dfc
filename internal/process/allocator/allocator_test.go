package allocator

import (
	"testing"

	"github.com/matryer/is"
)

// Shares that add up to more than the limit let one use starve another.
func TestSharesFitIntoTheLimit(t *testing.T) {
	for _, limit := range []int{500, 1024, 2870, 4100, 8192, 1 << 20} {
		s := Divide(limit)
		sum := s.Callers + s.Upstreams + s.PeersAccepted + s.PeersDialled + s.Store + s.Readiness + s.Metrics
		is.New(t).True(sum+ownDescriptors <= limit-fileDescriptors)
	}
}

// The entry with the fewest descriptors must have a connection in each direction with each
// other entry, and some that are not authenticated yet. An entry of 4,100 must have those of
// 94 callers a second that stay for 15 s.
func TestSharesCoverDeployments(t *testing.T) {
	is := is.New(t)
	const entries, handshakes = 410, 64
	is.True(Divide(2870).PeersDialled >= entries-1)
	is.True(Divide(2870).PeersAccepted >= entries-1+handshakes)
	is.True(Divide(4100).Callers > 94*15)
}
