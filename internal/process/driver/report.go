package driver

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
)

const (
	// maxLatency is the highest latency that a histogram can hold. Histograms have
	// three significant digits and a resolution of 1 µs.
	maxLatency = 10 * time.Minute
	// maxFaultyResults bounds the wrong and repeated answers that a report lists.
	maxFaultyResults = 20
)

// Quantiles are latency quantiles of a class, in nanoseconds when encoded as
// JSON.
type Quantiles struct {
	P50 time.Duration `json:"p50"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

// ClassReport holds the results of one class of requests.
type ClassReport struct {
	Class    string `json:"class"`
	Requests int    `json:"requests"`
	Answered int    `json:"answered"`
	Met      int    `json:"met"`
	Refused  int    `json:"refused"`
	Broken   int    `json:"broken"`
	Wrong    int    `json:"wrong"`
	Repeated int    `json:"repeated"`
	Unsent   int    `json:"unsent"`
	// Attainment is Met / Requests.
	Attainment float64 `json:"attainment"`
	// Goodput is the number of answers per second that met their targets, and
	// GoodTokens the number of the tokens of these answers per second.
	Goodput    float64 `json:"goodput"`
	GoodTokens float64 `json:"good_tokens"`
	// Tokens counts the tokens of all answers, and WastedTokens the tokens of
	// answers that were incomplete or wrong.
	Tokens       int       `json:"tokens"`
	WastedTokens int       `json:"wasted_tokens"`
	FirstToken   Quantiles `json:"first_token"`
	TokenGap     Quantiles `json:"token_gap"`
	Answer       Quantiles `json:"answer"`

	metTokens           int
	firstTokenHistogram *hdrhistogram.Histogram
	tokenGapHistogram   *hdrhistogram.Histogram
	answerHistogram     *hdrhistogram.Histogram
}

// Point records whether a request sent at the time At met its targets.
type Point struct {
	At    time.Duration
	Class string
	Met   bool
}

// Report holds the results of a run.
type Report struct {
	Trace   string        `json:"trace"`
	Seconds float64       `json:"seconds"`
	Classes []ClassReport `json:"classes"`
	Total   ClassReport   `json:"total"`
	// Refusals counts refusals and broken answers by their reason.
	Refusals map[string]int `json:"refusals,omitempty"`
	// Faulty lists the first wrong and repeated answers.
	Faulty []string `json:"faulty,omitempty"`
	Points []Point  `json:"-"`

	classes      map[string]Class
	expectations []Expectation
}

func newReport(h Header) *Report {
	r := &Report{Trace: h.Name, Refusals: map[string]int{}, classes: map[string]Class{}, expectations: h.Expect}
	for _, c := range h.Classes {
		r.classes[c.Name] = c
		r.Classes = append(r.Classes, newClassReport(c.Name))
	}
	r.Total = newClassReport("all")
	return r
}

func newClassReport(name string) ClassReport {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Microseconds(), 3) }
	return ClassReport{Class: name, firstTokenHistogram: h(), tokenGapHistogram: h(), answerHistogram: h()}
}

// MeetsTargets reports whether an answer met the targets of its class. The mean
// token gap is compared with the target, since single gaps depend on how tokens
// are grouped into packets.
func (c Class) MeetsTargets(r Result) bool {
	if r.State != StateAnswered {
		return false
	}
	within := func(latency time.Duration, target Duration) bool {
		return target == 0 || latency <= time.Duration(target)
	}
	meanGap := time.Duration(0)
	if len(r.TokenGaps) > 0 {
		for _, g := range r.TokenGaps {
			meanGap += g
		}
		meanGap /= time.Duration(len(r.TokenGaps))
	}
	return within(r.TimeToFirstToken, c.FirstTokenTarget) && within(meanGap, c.TokenGapTarget) && within(r.Latency, c.AnswerTarget)
}

func (r *Report) add(result Result) {
	met := r.classes[result.Class].MeetsTargets(result)
	for i := range r.Classes {
		if r.Classes[i].Class == result.Class {
			r.Classes[i].add(result, met)
		}
	}
	r.Total.add(result, met)
	r.Points = append(r.Points, Point{At: result.At, Class: result.Class, Met: met})
	if result.State == StateRefused || result.State == StateBroken {
		r.Refusals[result.Reason]++
	}
	if (result.State == StateWrong || result.Repeated) && len(r.Faulty) < maxFaultyResults {
		r.Faulty = append(r.Faulty, fmt.Sprintf("%s %s %s", result.RequestID, result.State, result.Reason))
	}
}

func (c *ClassReport) add(r Result, met bool) {
	c.Requests++
	c.Tokens += r.Tokens
	switch r.State {
	case StateAnswered:
		c.Answered++
		recordLatency(c.answerHistogram, r.Latency)
		if r.TimeToFirstToken > 0 {
			recordLatency(c.firstTokenHistogram, r.TimeToFirstToken)
		}
		for _, g := range r.TokenGaps {
			recordLatency(c.tokenGapHistogram, g)
		}
	case StateRefused:
		c.Refused++
	case StateBroken:
		c.Broken++
	case StateWrong:
		c.Wrong++
	case StateUnsent:
		c.Unsent++
	}
	if r.State != StateAnswered {
		c.WastedTokens += r.Tokens
	}
	if met {
		c.Met++
		c.metTokens += r.Tokens
	}
	if r.Repeated {
		c.Repeated++
	}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the range of the histogram are clamped to it.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

// finish computes the rates and quantiles for a run of the given duration.
func (r *Report) finish(duration time.Duration) {
	r.Seconds = duration.Seconds()
	for i := range r.Classes {
		r.Classes[i].finish(r.Seconds)
	}
	r.Total.finish(r.Seconds)
	slices.SortStableFunc(r.Points, func(a, b Point) int { return cmp.Compare(a.At, b.At) })
}

func (c *ClassReport) finish(seconds float64) {
	c.Attainment = ratio(c.Met, c.Requests)
	if seconds > 0 {
		c.Goodput, c.GoodTokens = float64(c.Met)/seconds, float64(c.metTokens)/seconds
	}
	c.FirstToken, c.TokenGap, c.Answer = quantiles(c.firstTokenHistogram), quantiles(c.tokenGapHistogram), quantiles(c.answerHistogram)
}

// ratio returns part / total, or zero if total is zero.
func ratio(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond}
}

// WriteTable writes the report as a text table with a line for each class,
// followed by the reasons of refusals and the faulty results.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "class\trequests\tanswered\tattainment\trefused\tbroken\twrong\trepeated\tunsent\tgoodput/s\tgood tokens/s\twasted tokens\tfirst p50\tp95\tgap p50\tp95\tanswer p50\tp95\t")
	for _, c := range append(slices.Clone(r.Classes), r.Total) {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%.4f\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%d\t%v\t%v\t%v\t%v\t%v\t%v\t\n",
			c.Class, c.Requests, c.Answered, c.Attainment, c.Refused, c.Broken, c.Wrong, c.Repeated, c.Unsent, c.Goodput, c.GoodTokens, c.WastedTokens,
			roundLatency(c.FirstToken.P50), roundLatency(c.FirstToken.P95), roundLatency(c.TokenGap.P50), roundLatency(c.TokenGap.P95), roundLatency(c.Answer.P50), roundLatency(c.Answer.P95))
	}
	err := t.Flush()
	for reason, n := range r.Refusals {
		_, e := fmt.Fprintf(w, "%6d %s\n", n, reason)
		err = errors.Join(err, e)
	}
	for _, line := range r.Faulty {
		_, e := fmt.Fprintln(w, line)
		err = errors.Join(err, e)
	}
	if err != nil {
		return &Error{Op: "write report", Kind: ErrorWrite, Err: err}
	}
	return nil
}

func roundLatency(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return &Error{Op: "write report", Kind: ErrorWrite, Err: err}
	}
	return nil
}

// Check returns an error that names each expectation of the trace that the run
// missed. Attainment depends on the speed of the machine and is checked only if
// timed is true.
func (r *Report) Check(timed bool) error {
	var failed error
	for _, e := range r.expectations {
		c := &r.Total
		if i := slices.IndexFunc(r.Classes, func(c ClassReport) bool { return c.Class == e.Class }); i >= 0 {
			c = &r.Classes[i]
		}
		failed = errors.Join(failed, e.check(c, timed))
	}
	if failed != nil {
		return &Error{Op: "check " + r.Trace, Kind: ErrorOutcome, Err: failed}
	}
	return nil
}

func (e Expectation) check(c *ClassReport, timed bool) error {
	var failed error
	expect := func(ok bool, name string, got, want any) {
		if !ok {
			failed = errors.Join(failed, errors.Errorf("class %s: %s is %v, the trace states %v", c.Class, name, got, want))
		}
	}
	if e.Attainment != nil && timed {
		expect(c.Attainment >= *e.Attainment, "attainment", c.Attainment, *e.Attainment)
	}
	if e.Answered != nil {
		got := ratio(c.Answered, c.Requests)
		expect(got >= *e.Answered, "share answered", got, *e.Answered)
	}
	if e.Refused != nil {
		got := ratio(c.Refused, c.Requests)
		expect(got <= *e.Refused, "share refused", got, *e.Refused)
	}
	if e.Broken != nil {
		got := ratio(c.Broken, c.Requests)
		expect(got <= *e.Broken, "share broken", got, *e.Broken)
	}
	if e.Wrong != nil {
		expect(c.Wrong <= *e.Wrong, "wrong answers", c.Wrong, *e.Wrong)
	}
	if e.Repeated != nil {
		expect(c.Repeated <= *e.Repeated, "repeated calls", c.Repeated, *e.Repeated)
	}
	return failed
}
