package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

// Result is the outcome of one scenario under one policy.
type Result struct {
	Scenario string        `json:"scenario"`
	Policy   string        `json:"policy"`
	Seed     uint64        `json:"seed"`
	Classes  []ClassResult `json:"classes"`
	// Goodput is the rate of tokens in answers that met their targets, in tokens
	// per second of the arrival period. Bound is the upper bound on it from
	// [Bound], and TierBound the reference value from [TierBound].
	Goodput   float64 `json:"goodput"`
	Bound     float64 `json:"bound"`
	TierBound float64 `json:"tier_bound"`
	// GeneratedTokens counts the tokens that all engines generated, and UsedTokens
	// the tokens of complete answers, each once.
	GeneratedTokens int `json:"generated_tokens"`
	UsedTokens      int `json:"used_tokens"`
	// ShedTokens counts the tokens generated for requests that were refused after
	// an agent had shed or returned their last attempt.
	ShedTokens   int `json:"shed_tokens"`
	Refusals     int `json:"refusals"`
	Abandoned    int `json:"abandoned"`
	Preemptions  int `json:"preemptions"`
	Evictions    int `json:"evictions"`
	P1Violations int `json:"p1_violations"`
	P2Violations int `json:"p2_violations"`
	Crashes      int `json:"crashes"`
	Quarantined  int `json:"quarantined"`
	// CachedShare is the share of the prompt tokens found in prefix caches.
	CachedShare float64 `json:"cached"`
	// LowestClassStartGap is the longest time between two starts of the class of
	// the lowest tier, which has the highest number, over all upstreams during the arrival period, and LongestRun
	// the longest time of a finished run on an engine.
	LowestClassStartGap time.Duration `json:"lowest_gap"`
	LongestRun          time.Duration `json:"longest_run"`
	goodTokens          int
	lowestClass         int
	lastLowestStart     time.Time
	arrivalsEnd         time.Time
}

// ClassResult is the outcome of one class.
type ClassResult struct {
	Name      string `json:"name"`
	Tier      int    `json:"tier"`
	Requests  int    `json:"requests"`
	OnTarget  int    `json:"on_target"`
	Refused   int    `json:"refused"`
	Abandoned int    `json:"abandoned"`
}

// Attainment returns the share of the requests that met their targets, 1 without
// requests.
func (c ClassResult) Attainment() float64 {
	if c.Requests == 0 {
		return 1
	}
	return float64(c.OnTarget) / float64(c.Requests)
}

// WastedShare returns the share of the generated tokens that are in no complete
// answer.
func (r Result) WastedShare() float64 {
	if r.GeneratedTokens == 0 {
		return 0
	}
	return 1 - float64(r.UsedTokens)/float64(r.GeneratedTokens)
}

type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeRefused
	outcomeAbandoned
)

func newResult(s Scenario, seed uint64, classes []Class) Result {
	start := time.Unix(1_000_000, 0)
	r := Result{Scenario: s.Name, Seed: seed, lastLowestStart: start, arrivalsEnd: start.Add(s.Duration)}
	for i, c := range classes {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name, Tier: c.Tier})
		if c.Tier > classes[r.lowestClass].Tier {
			r.lowestClass = i
		}
	}
	return r
}

// recordStart records the start of a run of the class of the lowest tier during the
// arrival period, and ignores all other starts.
func (r *Result) recordStart(class int, now time.Time) {
	if class != r.lowestClass || now.After(r.arrivalsEnd) {
		return
	}
	r.LowestClassStartGap = max(r.LowestClassStartGap, now.Sub(r.lastLowestStart))
	r.lastLowestStart = now
}

// recordEnd records the outcome of a request. Poison requests are not counted for
// any class.
func (r *Result) recordEnd(classes []Class, q Request, o outcome, arrivedAt, firstTokenAt, lastTokenAt time.Time) {
	if q.Poison {
		return
	}
	result, class := &r.Classes[q.Class], classes[q.Class]
	result.Requests++
	switch o {
	case outcomeRefused:
		result.Refused++
		r.Refusals++
		return
	case outcomeAbandoned:
		result.Abandoned++
		r.Abandoned++
		return
	}
	r.UsedTokens += q.AnswerTokens
	if onTarget(class, q, arrivedAt, firstTokenAt, lastTokenAt) {
		result.OnTarget++
		r.goodTokens += q.AnswerTokens
	}
}

// onTarget reports whether an answer met the targets of its class. The token gap
// is the mean over the answer, so that a pause counts with its whole length.
func onTarget(c Class, q Request, arrivedAt, firstTokenAt, lastTokenAt time.Time) bool {
	switch {
	case c.FirstTokenTarget > 0 && firstTokenAt.Sub(arrivedAt) > c.FirstTokenTarget:
		return false
	case c.TokenGapTarget > 0 && lastTokenAt.Sub(firstTokenAt) > time.Duration(q.AnswerTokens-1)*c.TokenGapTarget:
		return false
	case c.AnswerTarget > 0 && lastTokenAt.Sub(arrivedAt) > c.AnswerTarget:
		return false
	}
	return true
}

// computeTotals computes the figures over the whole simulation.
func (r *Result) computeTotals(engines []*emulator.Batch, requests []Request, s Scenario) {
	prefilled, cached := 0, 0
	for _, b := range engines {
		r.Evictions += b.Evictions
		prefilled += b.PrefillTokens
		cached += b.CachedTokens
	}
	if prefilled+cached > 0 {
		r.CachedShare = float64(cached) / float64(prefilled+cached)
	}
	r.LowestClassStartGap = max(r.LowestClassStartGap, r.arrivalsEnd.Sub(r.lastLowestStart))
	r.Goodput = float64(r.goodTokens) / s.Duration.Seconds()
	r.Bound = Bound(s, requests) / s.Duration.Seconds()
	r.TierBound = TierBound(s, requests) / s.Duration.Seconds()
}

// WriteTable writes the results as a Markdown table with one row for each.
func WriteTable(w io.Writer, results []Result) error {
	if len(results) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	header := []string{"scenario", "policy"}
	for _, c := range results[0].Classes {
		header = append(header, fmt.Sprintf("%s (%d) %%", c.Name, c.Tier))
	}
	header = append(header, "goodput", "of bound %", "of tier bound %", "wasted %", "shed tokens", "refused", "given up", "cached %", "P1", "P2", "lowest gap", "longest run")
	writeRow(t, header)
	separator := make([]string, len(header))
	for i := range separator {
		separator[i] = "---"
	}
	writeRow(t, separator)
	for _, r := range results {
		writeRow(t, r.tableRow())
	}
	return t.Flush()
}

func writeRow(w io.Writer, cells []string) {
	_, _ = fmt.Fprintf(w, "| %s |\n", strings.Join(cells, "\t| "))
}

func (r Result) tableRow() []string {
	row := []string{r.Scenario, r.Policy}
	for _, c := range r.Classes {
		row = append(row, fmt.Sprintf("%.1f", 100*c.Attainment()))
	}
	return append(row,
		fmt.Sprintf("%.0f", r.Goodput), fmt.Sprintf("%.1f", 100*r.Goodput/r.Bound), fmt.Sprintf("%.1f", 100*r.Goodput/r.TierBound), fmt.Sprintf("%.2f", 100*r.WastedShare()),
		fmt.Sprint(r.ShedTokens), fmt.Sprint(r.Refusals), fmt.Sprint(r.Abandoned), fmt.Sprintf("%.0f", 100*r.CachedShare), fmt.Sprint(r.P1Violations), fmt.Sprint(r.P2Violations),
		fmt.Sprintf("%.1f s", r.LowestClassStartGap.Seconds()), fmt.Sprintf("%.1f s", r.LongestRun.Seconds()))
}
