package limiter

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDivide measures the answer of an owner to a report for different
// numbers of entries that share the limit.
func BenchmarkDivide(b *testing.B) {
	for _, entries := range []int{4, 41, 410} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var o Owner
			now := time.Unix(1000, 0)
			reports := make([]Report, entries)
			for i := range reports {
				reports[i] = Report{Organisation: "o", Entry: fmt.Sprint("entry-", i), Demand: 1, Limit: Limit{Rate: 500, Concurrency: 1000}, Entries: entries}
				o.Divide(now, reports[i])
			}
			i := 0
			for b.Loop() {
				o.Divide(now, reports[i%entries])
				i++
			}
		})
	}
}
