package main

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/explainer"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/platform"
)

// The table must show the choice, the parts of the costs and what ruled an upstream out,
// and the key must reach the entry in the header.
func TestExplainPrintsDecision(t *testing.T) {
	explain := func(_ context.Context, r dispatcher.Request) (dispatcher.Explanation, bool) {
		return dispatcher.Explanation{
			Route: "chat", Organisation: "organisation of " + r.Query.APIKey, Upstream: "desk-0", ExpectedStart: 12 * time.Millisecond, CandidateCount: 2,
			Candidates: []picker.CandidateReport{
				{Upstream: "desk-0", Cost: 0.03, Parts: picker.CostParts{Prefill: 0.04, Rank: -0.01}, PrefillTokens: r.PromptTokens},
				{Upstream: "desk-1", Exclusion: picker.ExcludedHeldBack, Rank: picker.Unranked},
			},
		}, true
	}
	srv := httptest.NewServer(explainer.NewHandler(explainer.Options{Clock: timer.System{}, Parse: platform.Codec{}.ParseQuestion, Explain: explain}))
	t.Cleanup(srv.Close)
	entry := srv.Listener.Addr().String()
	out := assertExitCode(t, 0, "explain", "--entry", entry, "--host", "h", "--path", "/chat/1", "--prompt-tokens", "4321", "--key-file", writeRecordsFile(t, "key\n"))
	assertContains(t, out, "organisation of key", "12.0 ms", "prefill=40.00 rank=-10.00", "4321", "held_back", "2 of 2 shown")
	assertExitCode(t, exitFailure, "explain", "--entry", entry, "--host", "h", "--path", "chat")
}
