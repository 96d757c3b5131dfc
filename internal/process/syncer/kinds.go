package syncer

import (
	"encoding/binary"
	"math"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/separator"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// The kinds of requests of a report have a part for each service: 4 bytes with the hash of
// its name, 20 bytes with the sums of the prefill times, 1 byte with the number of records,
// and the records. A record has 4 bytes with the hash of the name of the route, and 2 bytes
// each for the rate, the prompt tokens, the time of a run and the gap, in the units below.
const (
	kindsHeaderSize = 25
	kindRecordSize  = 12

	kindRateUnit         = 1.0 / 64
	kindPromptTokensUnit = 16
	kindRunUnit          = 4 * time.Millisecond
	kindGapUnit          = 100 * time.Microsecond
)

// packKinds encodes what an entry has learned of the requests of its services.
func packKinds(all []dispatcher.ServiceKinds) []byte {
	var out []byte
	for _, k := range all {
		kinds := k.Report.Kinds[:min(len(k.Report.Kinds), math.MaxUint8)]
		out = binary.BigEndian.AppendUint32(out, hashName(k.Service))
		p := k.Report.Prefill
		for _, sum := range []float64{p.N, p.X, p.Y, p.XX, p.XY} {
			out = binary.BigEndian.AppendUint32(out, math.Float32bits(float32(sum)))
		}
		out = append(out, byte(len(kinds)))
		for _, r := range kinds {
			out = binary.BigEndian.AppendUint32(out, hashName(r.Request))
			for _, value := range []float64{
				r.Rate / kindRateUnit, r.PromptTokens / kindPromptTokensUnit, float64(r.Run) / float64(kindRunUnit), float64(r.Gap) / float64(kindGapUnit),
			} {
				out = binary.BigEndian.AppendUint16(out, uint16(math.Round(min(max(value, 0), math.MaxUint16))))
			}
		}
	}
	return out
}

// unpackKinds decodes the kinds of requests of known services and routes. It ends at the
// first part that is cut short.
func unpackKinds(b []byte, services, routes map[uint32]string) []dispatcher.ServiceKinds {
	var out []dispatcher.ServiceKinds
	for len(b) >= kindsHeaderSize {
		name, known := services[binary.BigEndian.Uint32(b)]
		report := separator.Report{Prefill: unpackPrefill(b[4:])}
		size := kindsHeaderSize + int(b[kindsHeaderSize-1])*kindRecordSize
		if len(b) < size {
			return out
		}
		for r := b[kindsHeaderSize:size]; len(r) > 0; r = r[kindRecordSize:] {
			if route, ok := routes[binary.BigEndian.Uint32(r)]; ok {
				report.Kinds = append(report.Kinds, unpackKind(route, r[4:]))
			}
		}
		if known && report.Prefill.IsValid() {
			out = append(out, dispatcher.ServiceKinds{Service: name, Report: report})
		}
		b = b[size:]
	}
	return out
}

func unpackPrefill(b []byte) separator.Prefill {
	sum := func(i int) float64 { return float64(math.Float32frombits(binary.BigEndian.Uint32(b[4*i:]))) }
	return separator.Prefill{N: sum(0), X: sum(1), Y: sum(2), XX: sum(3), XY: sum(4)}
}

func unpackKind(route string, b []byte) separator.KindReport {
	value := func(i int) float64 { return float64(binary.BigEndian.Uint16(b[2*i:])) }
	return separator.KindReport{
		Request: route, Rate: value(0) * kindRateUnit, PromptTokens: value(1) * kindPromptTokensUnit,
		Run: time.Duration(value(2)) * kindRunUnit, Gap: time.Duration(value(3)) * kindGapUnit,
	}
}

// routeNames holds the names of the streaming routes of one configuration by their hashes.
type routeNames struct {
	table  *matcher.Table
	byHash map[uint32]string
}

// routesByHash returns the names of the streaming routes of a configuration by their
// hashes. They are kept until another configuration is in force, since there may be
// thousands of routes, and each entry sends a report each second.
func (s *Syncer) routesByHash(t *matcher.Table) map[uint32]string {
	if t == nil {
		return nil
	}
	if n := s.routeNames.Load(); n != nil && n.table == t {
		return n.byHash
	}
	n := &routeNames{table: t, byHash: map[uint32]string{}}
	for _, r := range t.Configuration.Routes {
		if r.Kind == matcher.Streaming {
			n.byHash[hashName(r.Name)] = r.Name
		}
	}
	s.routeNames.Store(n)
	return n.byHash
}
