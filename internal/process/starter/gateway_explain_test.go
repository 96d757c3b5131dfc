package starter

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/explainer"
)

// An operator must get the decision of a running entry, and the request must not be sent.
func TestGatewayExplainsWithoutSending(t *testing.T) {
	r := newGatewayFixture(t, 2)
	g := r.startReadyEntry()
	explain := func(t *testing.T, q explainer.Question) (explainer.Answer, error) {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		return explainer.Fetch(ctx, g.metricsAddress, q)
	}
	q := explainer.Question{
		Host: "desk.example", Path: "/stream/chat/1", Authorization: "Bearer key",
		PromptTokens: 3000, Prefix: "ab:2000,cd:1000", Deadline: 5 * time.Second,
	}
	t.Run("admitted", func(t *testing.T) {
		is := is.New(t)
		a, err := explain(t, q)
		is.NoErr(err)
		is.Equal([]string{a.Route, a.Service, a.Organisation, a.Verdict}, []string{"chat", "desk", "guides", "unsuspected"})
		is.Equal(a.Placement, explainer.PlacedInTurn)
		is.Equal(len(a.Candidates), 2)
		is.Equal(a.Upstream, a.Candidates[0].Upstream)
		is.Equal(*a.Candidates[0].Rank, 0)
		is.Equal(a.Candidates[0].PrefillTokens, 1200) // the preferred upstream counts as holding nine tenths of the prefix
	})
	t.Run("unknown key", func(t *testing.T) {
		is := is.New(t)
		wrong := q
		wrong.Authorization = "Bearer other"
		a, err := explain(t, wrong)
		is.NoErr(err)
		is.Equal(a.Placement, explainer.PlacedRefused)
		is.Equal(a.Failure.Code, "unknown_key")
	})
	t.Run("path without a slash", func(t *testing.T) {
		_, err := explain(t, explainer.Question{Host: "desk.example", Path: "chat"})
		is.New(t).True(err != nil)
	})
	is.New(t).Equal(len(r.allRequests()), 0)
}
