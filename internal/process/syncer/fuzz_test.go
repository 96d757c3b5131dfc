package syncer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
)

// A message of another entry may be of a newer version or damaged. Its report must
// name only known upstreams and services, with bounded numbers, and the dispatcher must
// take it.
func FuzzLoadReport(f *testing.F) {
	known := []registrar.Upstream{{Name: "desk-1", Service: "desk", Slots: 4}, {Name: "desk-2", Service: "desk", Slots: 4}}
	sent, err := json.Marshal(pack(dispatcher.LoadReport{
		Loads:      []dispatcher.Load{{Upstream: "desk-1", Runs: 3, PendingTokens: 2048}},
		Placements: []dispatcher.Placement{{Upstream: "desk-2", Prefix: 5}},
		Shares:     []dispatcher.LongPromptShare{{Service: "desk", Share: 0.4}},
	}))
	is.New(f).NoErr(err)
	f.Add(sent)
	f.Add([]byte(`{"runs":"AAAA","placed":"AAAAAAAAAAAAAAAA","shares":"AAAAAAA="}`))
	f.Add([]byte(`{"runs":null,"extra":[1]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var l Load
		if json.Unmarshal(data, &l) != nil {
			return
		}
		is := is.New(t)
		r := l.unpack(known, map[uint32]string{hashName("brief"): "brief"})
		for _, load := range r.Loads {
			is.True(load.Runs >= 0 && load.Runs <= 255 && load.PendingTokens >= 0 && load.PendingTokens <= 255*pendingTokensUnit)
		}
		for _, s := range r.Shares {
			is.True(s.Service == "desk" && s.Share >= 0 && s.Share <= 1)
		}
		d := dispatcher.New(dispatcher.Settings{})
		now := time.Unix(1000, 0)
		d.Step(now, dispatcher.Event{Kind: dispatcher.EventUpstreams, Upstreams: known})
		d.Step(now, dispatcher.Event{Kind: dispatcher.EventLoadReceived, Entry: "entry-2", Report: r})
		is.True(d.SharedRuns() >= 0)
		d.Step(now.Add(time.Hour), dispatcher.Event{Kind: dispatcher.EventTick})
		is.Equal(d.SharedRuns(), 0)
	})
}
