package compiler

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

// BenchmarkCompile measures the time to compile a revision and the heap that
// its snapshot occupies, for three fleet sizes.
func BenchmarkCompile(b *testing.B) {
	for _, upstreams := range []int{35, 350, 3500} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			is := is.New(b)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			records := fleetRecords(upstreams)
			s, err := Compile(1, records)
			is.NoErr(err)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				s, err = Compile(1, records)
				is.NoErr(err)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "held-bytes")
			runtime.KeepAlive(s)
			runtime.KeepAlive(records)
		})
	}
}

// fleetRecords returns the records of a fleet with 24 models, 8 classes and
// organisations in the ratio of 210 per 3,500 upstreams.
func fleetRecords(upstreams int) []descriptor.Record {
	var out []descriptor.Record
	for i := range 8 {
		out = append(out, descriptor.Record{Kind: descriptor.KindClass, Name: fmt.Sprint("class-", i), Class: &descriptor.Class{Tier: i + 1}})
	}
	for i := range upstreams * 210 / 3500 {
		out = append(out, descriptor.Record{Kind: descriptor.KindOrganisation, Name: fmt.Sprint("organisation-", i), Organisation: &descriptor.Organisation{
			KeyHashes: []string{fmt.Sprintf("%064d", i)}, DefaultClass: "class-0",
		}})
	}
	for i := range upstreams {
		out = append(out, descriptor.Record{Kind: descriptor.KindUpstream, Name: fmt.Sprint("upstream-", i), Upstream: &descriptor.Upstream{
			Service: "assistant", Type: descriptor.TypeEngine, Address: fmt.Sprintf("10.0.%d.%d:9001", i/250, i%250),
			AvailabilityZone: fmt.Sprint("zone-", i%6), Models: []string{fmt.Sprint("model-", i%24)}, Slots: 16, KVTokens: 65536,
		}})
	}
	return out
}
