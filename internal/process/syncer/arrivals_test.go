package syncer

import (
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// Arrivals must be restored for services that can be scaled, even without any upstream,
// and a truncated or foreign record must not become an arrival.
func TestUnpackRestoresPackedArrivals(t *testing.T) {
	table := matcher.New(matcher.Configuration{Services: []matcher.Service{{Name: "desk", Scaling: &matcher.Scaling{}}, {Name: "booking"}}})
	l := pack(dispatcher.LoadReport{Arrivals: []dispatcher.Arrivals{
		{Service: "booking", Arrived: 4}, {Service: "desk", Arrived: 70_000, Refused: 3}, {Service: "unknown", Arrived: 1},
	}})
	is := is.New(t)
	is.Equal(l.unpackArrivals(table), []dispatcher.Arrivals{{Service: "desk", Arrived: 65_535, Refused: 3}})
	is.Equal(len(l.unpackArrivals(nil)), 0)
	l.Arrived = l.Arrived[:2*arrivedRecordSize-1]
	is.Equal(len(l.unpackArrivals(table)), 0)
}
