package syncer

import (
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
)

// A packed load report must be unpacked to the same known upstreams, with its
// values rounded and bounded.
func TestUnpackRestoresPackedLoad(t *testing.T) {
	known := []registrar.Upstream{{Name: "desk-1", StartUnixMilli: 7}, {Name: "desk-2"}}
	for _, c := range []struct {
		name string
		sent []dispatcher.Load
		want []dispatcher.Load
	}{
		{"empty report stays empty", nil, nil},
		{"known upstreams are restored", []dispatcher.Load{{Upstream: "desk-1@7", Runs: 3, PendingTokens: 2048}, {Upstream: "desk-2", Runs: 1}},
			[]dispatcher.Load{{Upstream: "desk-1@7", Runs: 3, PendingTokens: 2048}, {Upstream: "desk-2", Runs: 1}}},
		{"tokens are rounded", []dispatcher.Load{{Upstream: "desk-2", Runs: 1, PendingTokens: 1400}}, []dispatcher.Load{{Upstream: "desk-2", Runs: 1, PendingTokens: 1024}}},
		{"large numbers are capped", []dispatcher.Load{{Upstream: "desk-2", Runs: 1000, PendingTokens: 1 << 30}}, []dispatcher.Load{{Upstream: "desk-2", Runs: 255, PendingTokens: 255 * 1024}}},
		{"unknown upstream is skipped", []dispatcher.Load{{Upstream: "desk-1@8", Runs: 3}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			loads, placements := pack(c.sent, nil).unpack(known)
			is := is.New(t)
			is.Equal(loads, c.want)
			is.Equal(len(placements), 0)
		})
	}
	t.Run("truncated records are skipped", func(t *testing.T) {
		l := pack([]dispatcher.Load{{Upstream: "desk-2", Runs: 1}}, []dispatcher.Placement{{Upstream: "desk-2", Prefix: 5}})
		l.Runs, l.Placed = l.Runs[:runsRecordSize-1], l.Placed[:placedRecordSize-1]
		loads, placements := l.unpack(known)
		is := is.New(t)
		is.Equal(len(loads), 0)
		is.Equal(len(placements), 0)
	})
	t.Run("placements on known upstreams are restored", func(t *testing.T) {
		sent := []dispatcher.Placement{{Upstream: "desk-1@7", Prefix: 1 << 60}, {Upstream: "desk-9", Prefix: 3}, {Upstream: "desk-2", Prefix: 5}}
		_, placements := pack(nil, sent).unpack(known)
		is.New(t).Equal(placements, []dispatcher.Placement{sent[0], sent[2]})
	})
}
