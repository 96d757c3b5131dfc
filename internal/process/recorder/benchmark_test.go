package recorder

import (
	"fmt"
	"runtime"
	"testing"

	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// BenchmarkRetainedEvents measures the heap size per retained event.
func BenchmarkRetainedEvents(b *testing.B) {
	for _, n := range []int{1024, 8192, 65536} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapAllocBytes()
			r := New(Options{Process: "entry-1", Clock: timer.System{}, MaxEvents: n})
			for i := range n {
				r.Record(tracer.Event{Kind: tracer.KindAdmitted, Request: fmt.Sprint("entry-1-", i), Class: "renter-chat"})
				if i%1024 == 0 {
					r.Fetch(b.Context(), Query{Limit: 1})
				}
			}
			r.Fetch(b.Context(), Query{Limit: 1})
			perEvent := (heapAllocBytes() - before) / float64(n)
			for b.Loop() {
				r.Stamp()
			}
			b.ReportMetric(perEvent, "held-bytes/event")
			r.Stop()
		})
	}
}

// heapAllocBytes returns the size of the live heap after a garbage collection.
func heapAllocBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
