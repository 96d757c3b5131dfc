package merger

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// maxContenders is the maximum number of contenders in each list of an explanation.
const maxContenders = 3

// Contender is a request that competed with the explained request for an upstream.
type Contender struct {
	Request string
	Class   string
	Tier    int
	// Overlap is the time for which one of the two ran while the other waited.
	Overlap time.Duration
	// Preempted is true if one of the two was preempted in favour of the other.
	Preempted bool
}

// Explanation describes the course and the latency of one request.
type Explanation struct {
	// Admitted is the event of the admission, and End the event that ended the
	// request, with an empty kind if there is none.
	Admitted tracer.Event
	End      tracer.Event
	// FirstToken and Total are the times from admission to the first token and to
	// the end. Zero means that the event is missing.
	FirstToken time.Duration
	Total      time.Duration
	// Missed describes each missed target.
	Missed []string
	// Queue, Prefill and Tokens are the durations of the phases of the last attempt.
	// RetryTime is the time between the sending of the first and the last attempt.
	Queue     time.Duration
	Prefill   time.Duration
	Tokens    time.Duration
	RetryTime time.Duration
	// Attempts describes how attempts ended or were preempted at their agents.
	Attempts []string
	// BlockedBy holds requests that ran at the upstream while this request waited
	// there, and Delayed holds requests that waited there while this request ran.
	BlockedBy []Contender
	Delayed   []Contender
}

// Explain explains the request id. It returns false if the events do not contain its
// admission.
func Explain(events []tracer.Event, id string) (Explanation, bool) {
	var x Explanation
	var first, last tracer.Event
	for _, e := range events {
		if e.Request != id {
			continue
		}
		switch {
		case e.Kind == tracer.KindAdmitted:
			x.Admitted = e
		case x.Admitted.Kind == "":
			continue
		case e.Kind == tracer.KindSent:
			if first.Kind == "" {
				first = e
			}
			last = e
		case e.Process != x.Admitted.Process:
			x.addAttempt(e)
			continue
		case e.Kind == tracer.KindFirstToken:
			x.FirstToken = timeOf(e).Sub(timeOf(x.Admitted))
		case isEnd(e):
			x.End = e
			x.Total = timeOf(e).Sub(timeOf(x.Admitted))
		}
	}
	if x.Admitted.Kind == "" {
		return x, false
	}
	if first.Kind != "" {
		x.RetryTime = timeOf(last).Sub(timeOf(first))
	}
	x.checkTargets()
	x.attributeTime(events, id, last.Attempt)
	return x, true
}

func isEnd(e tracer.Event) bool {
	return e.Kind == tracer.KindAnswered || e.Kind == tracer.KindCancelled || e.Kind == tracer.KindRefused
}

// addAttempt adds a description of the end or preemption of an attempt at its agent.
func (x *Explanation) addAttempt(e tracer.Event) {
	switch e.Kind {
	case tracer.KindShed, tracer.KindLost, tracer.KindFinished, tracer.KindCancelled, tracer.KindPreempted:
		text := fmt.Sprintf("attempt %d %s at %s", e.Attempt, e.Kind, e.Upstream)
		if e.Reason != "" {
			text += " (" + e.Reason + ")"
		}
		if e.Cause != "" {
			text += " for " + e.Cause
		}
		x.Attempts = append(x.Attempts, text)
	}
}

// checkTargets compares the latencies of an answered request with the targets of
// its class.
func (x *Explanation) checkTargets() {
	a := x.Admitted
	compare := func(name string, took, target time.Duration) {
		if target > 0 && took > target {
			x.Missed = append(x.Missed, fmt.Sprintf("%s took %v of %v", name, roundDuration(took), target))
		}
	}
	if x.End.Kind != tracer.KindAnswered {
		return
	}
	if x.FirstToken > 0 {
		compare("first token", x.FirstToken, a.FirstTokenTarget)
	}
	if n := x.End.Tokens; n > 1 {
		compare("mean token gap", (x.Total-x.FirstToken)/time.Duration(n-1), a.TokenGapTarget)
	}
	compare("answer", x.Total, a.AnswerTarget)
}

// attributeTime attributes the time of the last attempt to its phases and finds the
// contenders of all attempts.
func (x *Explanation) attributeTime(events []tracer.Event, id string, attempt int) {
	spans := Spans(events)
	preempted := map[string]bool{}
	for _, e := range events {
		if e.Kind == tracer.KindPreempted && e.Request == id {
			preempted[e.Cause] = true
		}
		if e.Kind == tracer.KindPreempted && e.Cause == id {
			preempted[e.Request] = true
		}
	}
	blockers, delayed := map[string]*Contender{}, map[string]*Contender{}
	for _, own := range spans {
		if own.Request != id || own.Phase == PhaseInFlight {
			continue
		}
		if own.Attempt == attempt {
			x.addPhase(own)
		}
		for _, o := range spans {
			if o.Upstream != own.Upstream || o.Request == id || o.Phase == PhaseInFlight {
				continue
			}
			switch {
			case own.Phase == PhaseQueue && o.Phase != PhaseQueue:
				addOverlap(blockers, own, o, preempted)
			case own.Phase != PhaseQueue && o.Phase == PhaseQueue:
				addOverlap(delayed, own, o, preempted)
			}
		}
	}
	x.BlockedBy, x.Delayed = longestOverlaps(blockers), longestOverlaps(delayed)
}

func (x *Explanation) addPhase(own Span) {
	switch own.Phase {
	case PhaseQueue:
		x.Queue += own.Duration()
	case PhasePrefill:
		x.Prefill += own.Duration()
	case PhaseTokens:
		x.Tokens += own.Duration()
	}
}

// addOverlap adds the overlap of two spans to the contender of span o.
func addOverlap(m map[string]*Contender, own, o Span, preempted map[string]bool) {
	from, to := own.From, own.To
	if o.From.After(from) {
		from = o.From
	}
	if o.To.Before(to) {
		to = o.To
	}
	if !to.After(from) {
		return
	}
	if m[o.Request] == nil {
		m[o.Request] = &Contender{Request: o.Request, Class: o.Class, Tier: o.Tier, Preempted: preempted[o.Request]}
	}
	m[o.Request].Overlap += to.Sub(from)
}

// longestOverlaps returns the maxContenders contenders with the longest overlaps.
func longestOverlaps(m map[string]*Contender) []Contender {
	var out []Contender
	for _, o := range m {
		out = append(out, *o)
	}
	slices.SortFunc(out, func(a, b Contender) int {
		return cmp.Or(cmp.Compare(b.Overlap, a.Overlap), strings.Compare(a.Request, b.Request))
	})
	return out[:min(len(out), maxContenders)]
}

// WriteTo writes the explanation as a few lines of text.
func (x Explanation) WriteTo(w io.Writer) (int64, error) {
	var b strings.Builder
	a := x.Admitted
	fmt.Fprintf(&b, "request %s: class %s (tier %d) of %s for %s, admitted by %s\n", a.Request, a.Class, a.Tier, a.Organisation, a.Model+a.Service, a.Process)
	fmt.Fprintf(&b, "target:  %s\n", x.outcome())
	fmt.Fprintf(&b, "time:    %v in all: queue %v, prefill %v, tokens %v (longest gap %v), retries %v\n",
		roundDuration(x.Total), roundDuration(x.Queue), roundDuration(x.Prefill), roundDuration(x.Tokens), roundDuration(x.End.Gap), roundDuration(x.RetryTime))
	for _, line := range x.Attempts {
		fmt.Fprintf(&b, "         %s\n", line)
	}
	writeContenders(&b, "waited for", x.BlockedBy)
	writeContenders(&b, "held up", x.Delayed)
	n, err := io.WriteString(w, b.String())
	if err != nil {
		err = &Error{Op: "write", Kind: ErrorWrite, Err: err}
	}
	return int64(n), err
}

func (x Explanation) outcome() string {
	switch {
	case x.End.Kind == "":
		return "not ended"
	case x.End.Kind != tracer.KindAnswered:
		text := "no answer: " + string(x.End.Kind)
		if x.End.Reason != "" {
			text += " (" + x.End.Reason + ", outcome " + x.End.Outcome + ")"
		}
		return text
	case len(x.Missed) > 0:
		return "missed: " + strings.Join(x.Missed, "; ")
	}
	return fmt.Sprintf("met: first token after %v, answer of %d tokens after %v", roundDuration(x.FirstToken), x.End.Tokens, roundDuration(x.Total))
}

func writeContenders(b *strings.Builder, label string, others []Contender) {
	for _, o := range others {
		fmt.Fprintf(b, "%s %s of class %s (tier %d) for %v", label, o.Request, o.Class, o.Tier, roundDuration(o.Overlap))
		if o.Preempted {
			b.WriteString(", preempted")
		}
		b.WriteString("\n")
	}
}

func roundDuration(d time.Duration) time.Duration {
	if d > 10*time.Second {
		return d.Round(10 * time.Millisecond)
	}
	return d.Round(100 * time.Microsecond)
}
