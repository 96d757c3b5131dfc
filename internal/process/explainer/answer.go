package explainer

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
)

// Placement is the decision on when an upstream would run a request.
type Placement string

// The placements.
const (
	PlacedInTurn   Placement = "in_turn"
	PlacedDeferred Placement = "deferred"
	PlacedRefused  Placement = "refused"
)

// Answer is the encoding of a [dispatcher.Explanation].
type Answer struct {
	Route                string `json:"route"`
	Service              string `json:"service"`
	Organisation         string `json:"organisation"`
	Priority             int    `json:"priority"`
	ConfigurationVersion int64  `json:"configuration_version"`
	Verdict              string `json:"verdict"`
	// Failure is nil unless Placement is PlacedRefused.
	Failure         *Failure    `json:"failure,omitempty"`
	Placement       Placement   `json:"placement"`
	Upstream        string      `json:"upstream"`
	ExpectedStartMs float64     `json:"expected_start_ms"`
	PrefillTokens   int         `json:"prefill_tokens"`
	CandidateCount  int         `json:"candidate_count"`
	Candidates      []Candidate `json:"candidates"`
}

// Failure is the failure of a request that would be refused.
type Failure struct {
	Status  int    `json:"status"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Candidate is an upstream with its cost, or what ruled it out.
type Candidate struct {
	Upstream            string  `json:"upstream"`
	AvailabilityZone    string  `json:"availability_zone"`
	RuledOut            string  `json:"ruled_out,omitempty"`
	CostMs              float64 `json:"cost_ms"`
	CostParts           Parts   `json:"cost_parts_ms"`
	Outstanding         int     `json:"outstanding"`
	PendingTokens       int     `json:"pending_tokens"`
	SharedRuns          int     `json:"shared_runs"`
	SharedPendingTokens int     `json:"shared_pending_tokens"`
	Slots               int     `json:"slots"`
	PrefillTokens       int     `json:"prefill_tokens"`
	CachedTokens        int     `json:"cached_tokens"`
	ExpectedWaitMs      float64 `json:"expected_wait_ms"`
	Doubts              int     `json:"doubts"`
	// Rank is nil for an upstream without a rank for the prefix.
	Rank   *int `json:"rank,omitempty"`
	InPool bool `json:"in_pool"`
}

// Parts are the parts of a cost in milliseconds.
type Parts struct {
	Backlog    float64 `json:"backlog"`
	Prefill    float64 `json:"prefill"`
	Rank       float64 `json:"rank"`
	Runs       float64 `json:"runs"`
	Slots      float64 `json:"slots"`
	Failures   float64 `json:"failures"`
	Stall      float64 `json:"stall"`
	FirstToken float64 `json:"first_token"`
	Doubts     float64 `json:"doubts"`
	Suspects   float64 `json:"suspects"`
	Pool       float64 `json:"pool"`
	Deferred   float64 `json:"deferred"`
	CrossZone  float64 `json:"cross_zone"`
}

// newAnswer encodes e.
func newAnswer(e dispatcher.Explanation) Answer {
	a := Answer{
		Route: e.Route, Service: e.Service, Organisation: e.Organisation, Priority: e.Priority,
		ConfigurationVersion: e.ConfigurationVersion, Verdict: verdictName(e.Verdict), Placement: PlacedInTurn,
		Upstream: e.Upstream, ExpectedStartMs: durationMs(e.ExpectedStart), PrefillTokens: e.PrefillTokens,
		CandidateCount: e.CandidateCount, Candidates: []Candidate{},
	}
	if e.Deferred {
		a.Placement = PlacedDeferred
	}
	if f := e.Failure; f != nil {
		a.Placement, a.Failure = PlacedRefused, &Failure{Status: f.Status, Code: f.Code, Message: f.Message}
	}
	for _, c := range e.Candidates {
		a.Candidates = append(a.Candidates, newCandidate(c))
	}
	return a
}

func newCandidate(c picker.CandidateReport) Candidate {
	out := Candidate{
		Upstream: c.Upstream, AvailabilityZone: c.AvailabilityZone, RuledOut: string(c.Exclusion),
		CostMs: secondsMs(c.Cost), CostParts: newParts(c.Parts),
		Outstanding: c.Outstanding, PendingTokens: c.PendingTokens, SharedRuns: c.SharedRuns,
		SharedPendingTokens: c.SharedPendingTokens, Slots: c.Slots, PrefillTokens: c.PrefillTokens,
		CachedTokens: c.CachedTokens, ExpectedWaitMs: durationMs(c.ExpectedWait), Doubts: c.Doubts, InPool: c.InPool,
	}
	if c.Rank < picker.Unranked {
		out.Rank = &c.Rank
	}
	return out
}

func newParts(p picker.CostParts) Parts {
	return Parts{
		Backlog: secondsMs(p.Backlog), Prefill: secondsMs(p.Prefill), Rank: secondsMs(p.Rank), Runs: secondsMs(p.Runs),
		Slots: secondsMs(p.Slots), Failures: secondsMs(p.Failures), Stall: secondsMs(p.Stall),
		FirstToken: secondsMs(p.FirstToken), Doubts: secondsMs(p.Doubts), Suspects: secondsMs(p.Suspects),
		Pool: secondsMs(p.Pool), Deferred: secondsMs(p.Deferred), CrossZone: secondsMs(p.CrossZone),
	}
}

func verdictName(v detector.Verdict) string {
	switch v {
	case detector.Suspect:
		return "suspect"
	case detector.OnTrial:
		return "on_trial"
	case detector.Quarantined:
		return "quarantined"
	}
	return "unsuspected"
}

func secondsMs(seconds float64) float64 { return seconds * 1000 }

func durationMs(d time.Duration) float64 { return secondsMs(d.Seconds()) }
