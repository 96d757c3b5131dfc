package syncer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/separator"
)

// What entries report of kinds of requests must arrive unchanged for known services and
// routes, and a message that is cut short or holds no numbers must not count.
func TestUnpackRestoresPackedKinds(t *testing.T) {
	services, routes := map[uint32]string{hashName("desk"): "desk"}, map[uint32]string{hashName("brief"): "brief"}
	report := separator.Report{
		Prefill: separator.Prefill{N: 8, X: 1024, Y: 0.5, XX: 4096, XY: 64},
		Kinds:   []separator.KindReport{{Request: "brief", Rate: 2.5, PromptTokens: 12_000, Run: 4 * time.Second, Gap: 25 * time.Millisecond}},
	}
	kinds := []dispatcher.ServiceKinds{{Service: "desk", Report: report}}
	packed := packKinds(kinds)
	t.Run("known names", func(t *testing.T) { is.New(t).Equal(unpackKinds(packed, services, routes), kinds) })
	t.Run("unknown route", func(t *testing.T) {
		is.New(t).Equal(len(unpackKinds(packed, services, nil)[0].Report.Kinds), 0)
	})
	t.Run("unknown service", func(t *testing.T) { is.New(t).Equal(len(unpackKinds(packed, nil, routes)), 0) })
	t.Run("cut short", func(t *testing.T) {
		for n := range packed {
			is.New(t).Equal(len(unpackKinds(packed[:n], services, routes)), 0)
		}
	})
	t.Run("not a number", func(t *testing.T) {
		bad := append([]byte{}, packed...)
		copy(bad[4:], []byte{0x7f, 0xc0, 0, 0})
		is.New(t).Equal(len(unpackKinds(bad, services, routes)), 0)
	})
}
