package picker

import (
	"slices"
	"time"
)

const (
	// doubtLifetime is the time for which a report of another entry that lost the upstream
	// counts. An upstream that has ended is removed from the list by then, or is back.
	doubtLifetime = time.Second
	// maxDoubts is the maximum number of entries whose reports on one upstream count.
	maxDoubts = 4
)

// doubt is the last report of another entry that lost an upstream.
type doubt struct {
	entry string
	at    time.Time
}

// recordDoubt records a report of another entry that has lost the upstream. An entry
// counts once, however often it reports: it may be cut off alone.
func (u *Upstream) recordDoubt(now time.Time, entry string) {
	u.doubts = slices.DeleteFunc(u.doubts, func(d doubt) bool { return d.entry == entry })
	if len(u.doubts) >= maxDoubts {
		u.doubts = slices.Delete(u.doubts, 0, 1)
	}
	u.doubts = append(u.doubts, doubt{entry, now})
}

// doubtsAt returns the number of entries that have recently lost the upstream. Reports
// before the last token that this entry got from it do not count.
func (u *Upstream) doubtsAt(now time.Time) int {
	n := 0
	for _, d := range u.doubts {
		if now.Sub(d.at) < doubtLifetime {
			n++
		}
	}
	return n
}
