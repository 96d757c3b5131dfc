package syncer

import (
	"encoding/binary"
	"math"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// packArrivals encodes the arrivals of a report.
func packArrivals(all []dispatcher.Arrivals) []byte {
	var out []byte
	for _, a := range all {
		out = binary.BigEndian.AppendUint32(out, hashName(a.Service))
		out = binary.BigEndian.AppendUint16(out, uint16(min(a.Arrived, math.MaxUint16)))
		out = binary.BigEndian.AppendUint16(out, uint16(min(a.Refused, math.MaxUint16)))
	}
	return out
}

// unpackArrivals decodes the arrivals at services that can be scaled. Their names come
// from the configuration, since such a service may have no upstream. Other records are
// skipped.
func (l Load) unpackArrivals(t *matcher.Table) []dispatcher.Arrivals {
	if t == nil || len(l.Arrived) == 0 {
		return nil
	}
	names := map[uint32]string{}
	for _, s := range t.Configuration.Services {
		if s.Scaling != nil {
			names[hashName(s.Name)] = s.Name
		}
	}
	var out []dispatcher.Arrivals
	for b := l.Arrived; len(b) >= arrivedRecordSize; b = b[arrivedRecordSize:] {
		if name, ok := names[binary.BigEndian.Uint32(b)]; ok {
			out = append(out, dispatcher.Arrivals{
				Service: name, Arrived: int(binary.BigEndian.Uint16(b[4:])), Refused: int(binary.BigEndian.Uint16(b[6:])),
			})
		}
	}
	return out
}
