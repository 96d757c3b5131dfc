// Package merger merges the events of many processes into one timeline and
// analyses the latency of requests.
//
// [Gather] fetches the events of a process page by page with the message
// fetch_events; an entry also returns the events of its agents. [Merge] sorts the
// events by their hybrid logical clock stamps, which puts every effect after its
// cause. [Explain] reports for one request whether it met its targets, how much
// time each phase took and which requests it waited for. [WriteText], [WriteJSON]
// and [WriteHTML] write events as text, as JSON lines or as one HTML page.
//
// Apart from Gather, no function uses the network or the clock, so that the events
// of a recorded file get the same explanation.
//
// # Usage
//
//	events, err := merger.Gather(ctx, "10.0.0.5:9001", options)
//	events = merger.Merge(events, others)
//	explanation, ok := merger.Explain(events, id)
//	err = merger.WriteText(os.Stdout, merger.Filter{Class: "chat"}.Select(events))
package merger

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// Merge returns the events of all lists in causal order and without duplicates.
func Merge(lists ...[]tracer.Event) []tracer.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b tracer.Event) int {
		if c := a.Stamp.Compare(b.Stamp); c != 0 {
			return c
		}
		return strings.Compare(a.Process, b.Process)
	})
	return slices.CompactFunc(all, func(a, b tracer.Event) bool {
		// The stamps of one process are unique.
		return a.Stamp == b.Stamp && a.Process == b.Process
	})
}

// Filter selects events. Empty fields select all.
type Filter struct {
	Request      string
	Class        string
	Organisation string
	Upstream     string
	Since        time.Time
	Until        time.Time
}

// Select returns the events that f selects. A filter by class, organisation or
// upstream selects whole requests: all events of each request that has a matching
// event.
func (f Filter) Select(events []tracer.Event) []tracer.Event {
	requests := map[string]bool{}
	for _, e := range events {
		if e.Request != "" && f.matches(e) {
			requests[e.Request] = true
		}
	}
	var out []tracer.Event
	for _, e := range events {
		if (f.matches(e) || requests[e.Request]) && f.inTime(e) {
			out = append(out, e)
		}
	}
	return out
}

func (f Filter) matches(e tracer.Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Class == "" || f.Class == e.Class) &&
		(f.Organisation == "" || f.Organisation == e.Organisation) &&
		(f.Upstream == "" || f.Upstream == e.Upstream)
}

func (f Filter) inTime(e tracer.Event) bool {
	t := timeOf(e)
	return (f.Since.IsZero() || !t.Before(f.Since)) && (f.Until.IsZero() || !t.After(f.Until))
}

func timeOf(e tracer.Event) time.Time { return time.Unix(0, e.Stamp.Wall) }

// Phase is a phase in the processing of a request.
type Phase string

// The phases.
const (
	// PhaseInFlight lasts from the admission of a request by its entry to its end.
	PhaseInFlight Phase = "flight"
	// PhaseQueue is the time of an attempt in the queue of an agent.
	PhaseQueue Phase = "queue"
	// PhasePrefill lasts from the start of an attempt to its first token.
	PhasePrefill Phase = "prefill"
	// PhaseTokens lasts from the first token of an attempt to its end or preemption.
	PhaseTokens Phase = "tokens"
)

// Span is the interval that a request or attempt spent in one phase at one process.
type Span struct {
	Process  string
	Upstream string
	Request  string
	Attempt  int
	Class    string
	Tier     int
	Phase    Phase
	From     time.Time
	To       time.Time
	// Open is true if the events do not contain the end of the span. To is then the
	// time of the last event.
	Open bool
}

// Duration returns the length of s.
func (s Span) Duration() time.Duration { return s.To.Sub(s.From) }

// spanKey identifies an attempt at an agent, or a request at its entry with
// attempt 0.
type spanKey struct {
	process string
	request string
	attempt int
}

// Spans returns the spans of merged events in the order of their starts.
func Spans(events []tracer.Event) []Span {
	var out []Span
	open := map[spanKey]int{}
	begin := func(e tracer.Event, k spanKey, phase Phase) {
		open[k] = len(out)
		out = append(out, Span{
			Process: e.Process, Upstream: e.Upstream, Request: e.Request, Attempt: k.attempt,
			Class: e.Class, Tier: e.Tier, Phase: phase, From: timeOf(e), To: timeOf(e), Open: true,
		})
	}
	end := func(e tracer.Event, k spanKey) bool {
		i, ok := open[k]
		if ok {
			out[i].To, out[i].Open = timeOf(e), false
			delete(open, k)
		}
		return ok
	}
	for _, e := range events {
		applyEvent(e, open, begin, end)
	}
	if len(events) > 0 {
		for _, i := range open {
			out[i].To = timeOf(events[len(events)-1])
		}
	}
	slices.SortStableFunc(out, func(a, b Span) int { return cmp.Compare(a.From.UnixNano(), b.From.UnixNano()) })
	return out
}

// applyEvent begins and ends the spans that an event affects. Entries and agents
// both record first tokens, losses, cancellations and refusals; only those of an
// agent change the phase of an attempt.
func applyEvent(e tracer.Event, open map[spanKey]int, begin func(tracer.Event, spanKey, Phase), end func(tracer.Event, spanKey) bool) {
	run, flight := spanKey{e.Process, e.Request, e.Attempt}, spanKey{e.Process, e.Request, 0}
	// atEntry is true if the process is the entry that admitted the request.
	_, atEntry := open[flight]
	switch e.Kind {
	case tracer.KindAdmitted:
		begin(e, flight, PhaseInFlight)
	case tracer.KindQueued:
		begin(e, run, PhaseQueue)
	case tracer.KindPreempted:
		end(e, run)
		begin(e, run, PhaseQueue)
	case tracer.KindStarted, tracer.KindResumed:
		end(e, run)
		begin(e, run, PhasePrefill)
	case tracer.KindFirstToken:
		if !atEntry && end(e, run) {
			begin(e, run, PhaseTokens)
		}
	case tracer.KindShed, tracer.KindFinished:
		end(e, run)
	case tracer.KindLost:
		if !atEntry {
			end(e, run)
		}
	case tracer.KindAnswered, tracer.KindCancelled, tracer.KindRefused:
		// Only the refusal of a request by its entry has an outcome; the refusal of an
		// attempt by an agent has none and does not end the request.
		if !end(e, run) && (e.Kind != tracer.KindRefused || e.Outcome != "") {
			end(e, flight)
		}
	}
}
