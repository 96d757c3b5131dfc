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
	// Goodput is the rate of tokens in answers that met their target, in tokens
	// a second over the time in which requests arrive. Bound is an upper bound
	// on it and TierBound a comparison, see the functions of these names.
	Goodput   float64 `json:"goodput"`
	Bound     float64 `json:"bound"`
	TierBound float64 `json:"tier_bound"`
	// GeneratedTokens counts the tokens of all engines, UsedTokens those in
	// complete answers, each once.
	GeneratedTokens int `json:"generated_tokens"`
	UsedTokens      int `json:"used_tokens"`
	// ShedTokens counts the tokens made for requests that were refused in the
	// end.
	ShedTokens   int `json:"shed_tokens"`
	Refusals     int `json:"refusals"`
	Abandoned    int `json:"abandoned"`
	Preemptions  int `json:"preemptions"`
	Evictions    int `json:"evictions"`
	P1Violations int `json:"p1_violations"`
	P2Violations int `json:"p2_violations"`
	Crashes      int `json:"crashes"`
	Quarantined  int `json:"quarantined"`
	// Cached is the share of the prompt tokens found in prefix caches.
	Cached float64 `json:"cached"`
	// LowestGap is the longest time between two starts of the lowest class over
	// all upstreams while requests arrive, and LongestRun the longest time of a
	// run on an engine.
	LowestGap  time.Duration `json:"lowest_gap"`
	LongestRun time.Duration `json:"longest_run"`
	goodTokens int
	lowest     int
	lastStart  time.Time
	end        time.Time
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

// Attainment returns the share of the requests that met their target.
func (c ClassResult) Attainment() float64 {
	if c.Requests == 0 {
		return 1
	}
	return float64(c.OnTarget) / float64(c.Requests)
}

// Wasted returns the share of the generated tokens that no caller used.
func (r Result) Wasted() float64 {
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

func newResult(s Scenario, seed uint64, kinds []Class) Result {
	start := time.Unix(1_000_000, 0)
	r := Result{Scenario: s.Name, Seed: seed, lastStart: start, end: start.Add(s.Duration)}
	for i, c := range kinds {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name, Tier: c.Tier})
		if c.Tier > kinds[r.lowest].Tier {
			r.lowest = i
		}
	}
	return r
}

// started counts the start of a run.
func (r *Result) started(class int, now time.Time) {
	if class != r.lowest || now.After(r.end) {
		return
	}
	r.LowestGap = max(r.LowestGap, now.Sub(r.lastStart))
	r.lastStart = now
}

// count takes in the end of a request. The requests of the poison caller count
// for no class.
func (r *Result) count(kinds []Class, q Request, o outcome, arrived, first, last time.Time) {
	if q.Poison {
		return
	}
	c, k := &r.Classes[q.Class], kinds[q.Class]
	c.Requests++
	switch o {
	case outcomeRefused:
		c.Refused++
		r.Refusals++
		return
	case outcomeAbandoned:
		c.Abandoned++
		r.Abandoned++
		return
	}
	r.UsedTokens += q.Tokens
	if onTarget(k, q, arrived, first, last) {
		c.OnTarget++
		r.goodTokens += q.Tokens
	}
}

// onTarget reports whether an answer met the targets of its class. The gap is
// the mean over the answer, so that a pause counts with its whole length.
func onTarget(c Class, q Request, arrived, first, last time.Time) bool {
	switch {
	case c.FirstTokenTarget > 0 && first.Sub(arrived) > c.FirstTokenTarget:
		return false
	case c.TokenGapTarget > 0 && last.Sub(first) > time.Duration(q.Tokens-1)*c.TokenGapTarget:
		return false
	case c.AnswerTarget > 0 && last.Sub(arrived) > c.AnswerTarget:
		return false
	}
	return true
}

func (r *Result) finish(engines []*emulator.Batch, requests []Request, s Scenario) {
	read, cached := 0, 0
	for _, b := range engines {
		r.Evictions += b.Evictions
		read += b.PrefillTokens
		cached += b.CachedTokens
	}
	if read+cached > 0 {
		r.Cached = float64(cached) / float64(read+cached)
	}
	r.LowestGap = max(r.LowestGap, r.end.Sub(r.lastStart))
	r.Goodput = float64(r.goodTokens) / s.Duration.Seconds()
	r.Bound = Bound(s, requests) / s.Duration.Seconds()
	r.TierBound = TierBound(s, requests) / s.Duration.Seconds()
}

// WriteTable writes one line for each result, in Markdown.
func WriteTable(w io.Writer, results []Result) error {
	if len(results) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	head := []string{"scenario", "policy"}
	for _, c := range results[0].Classes {
		head = append(head, fmt.Sprintf("%s (%d) %%", c.Name, c.Tier))
	}
	head = append(head, "goodput", "of bound %", "of tier bound %", "wasted %", "shed tokens", "refused", "given up", "cached %", "P1", "P2", "lowest gap", "longest run")
	writeRow(t, head)
	rule := make([]string, len(head))
	for i := range rule {
		rule[i] = "---"
	}
	writeRow(t, rule)
	for _, r := range results {
		writeRow(t, r.row())
	}
	return t.Flush()
}

func writeRow(w io.Writer, cells []string) {
	_, _ = fmt.Fprintf(w, "| %s |\n", strings.Join(cells, "\t| "))
}

func (r Result) row() []string {
	row := []string{r.Scenario, r.Policy}
	for _, c := range r.Classes {
		row = append(row, fmt.Sprintf("%.1f", 100*c.Attainment()))
	}
	return append(row,
		fmt.Sprintf("%.0f", r.Goodput), fmt.Sprintf("%.1f", 100*r.Goodput/r.Bound), fmt.Sprintf("%.1f", 100*r.Goodput/r.TierBound), fmt.Sprintf("%.2f", 100*r.Wasted()),
		fmt.Sprint(r.ShedTokens), fmt.Sprint(r.Refusals), fmt.Sprint(r.Abandoned), fmt.Sprintf("%.0f", 100*r.Cached), fmt.Sprint(r.P1Violations), fmt.Sprint(r.P2Violations),
		fmt.Sprintf("%.1f s", r.LowestGap.Seconds()), fmt.Sprintf("%.1f s", r.LongestRun.Seconds()))
}
