package syncer

import (
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
)

// A packed load report must be unpacked to the same known upstreams, with its
// values rounded and bounded.
func TestUnpackRestoresPackedLoad(t *testing.T) {
	known := []registrar.Upstream{{Name: "desk-1", StartUnixMilli: 7, Service: "desk"}, {Name: "desk-2", Service: "desk"}}
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
			is.New(t).Equal(pack(dispatcher.LoadReport{Loads: c.sent}).unpack(known, nil), dispatcher.LoadReport{Loads: c.want})
		})
	}
	t.Run("truncated records are skipped", func(t *testing.T) {
		l := pack(dispatcher.LoadReport{
			Loads:      []dispatcher.Load{{Upstream: "desk-2", Runs: 1}},
			Placements: []dispatcher.Placement{{Upstream: "desk-2", Prefix: 5}},
			Shares:     []dispatcher.LongPromptShare{{Service: "desk", Share: 0.5}},
		})
		l.Runs, l.Placed, l.Shares = l.Runs[:runsRecordSize-1], l.Placed[:placedRecordSize-1], l.Shares[:sharesRecordSize-1]
		is.New(t).Equal(l.unpack(known, nil), dispatcher.LoadReport{})
	})
	t.Run("placements on known upstreams are restored", func(t *testing.T) {
		sent := []dispatcher.Placement{{Upstream: "desk-1@7", Prefix: 1 << 60}, {Upstream: "desk-9", Prefix: 3}, {Upstream: "desk-2", Prefix: 5}}
		got := pack(dispatcher.LoadReport{Placements: sent}).unpack(known, nil)
		is.New(t).Equal(got.Placements, []dispatcher.Placement{sent[0], sent[2]})
	})
	t.Run("streams are restored", func(t *testing.T) {
		sent := []resumer.Stream{{ID: 1 << 60, Version: 3}, {ID: 4, Version: 1 << 62}}
		l := pack(dispatcher.LoadReport{Streams: sent})
		is.New(t).Equal(l.unpack(nil, nil).Streams, sent)
		l.Streams = l.Streams[:len(l.Streams)-1]
		is.New(t).Equal(l.unpack(nil, nil).Streams, sent[:1])
	})
	t.Run("shares of known services are restored", func(t *testing.T) {
		sent := []dispatcher.LongPromptShare{{Service: "desk", Share: 0.2}, {Service: "unknown", Share: 0.5}, {Service: "desk", Share: 7}}
		got := pack(dispatcher.LoadReport{Shares: sent}).unpack(known, nil)
		is.New(t).Equal(got.Shares, []dispatcher.LongPromptShare{sent[0], {Service: "desk", Share: 1}})
	})
}
