package checker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// history is a timeline with builder methods.
type history []tracer.Event

func (h history) at(d time.Duration, process string, k tracer.Kind, change func(*tracer.Event)) history {
	e := tracer.Event{Stamp: tracer.Stamp{Wall: int64(time.Hour + d)}, Process: process, Kind: k}
	if change != nil {
		change(&e)
	}
	return append(slices.Clip(h), e)
}

// run appends an event of attempt 1 of request id at the agent of desk-1.
func (h history) run(d time.Duration, k tracer.Kind, id string, tier int, more ...func(*tracer.Event)) history {
	return h.at(d, "agent", k, func(e *tracer.Event) {
		e.Request, e.Attempt, e.Tier, e.Upstream = id, 1, tier, "desk-1"
		e.Class = fmt.Sprintf("class-%d", tier)
		for _, f := range more {
			f(e)
		}
	})
}

// call appends an event of request id at its entry.
func (h history) call(k tracer.Kind, id string, more ...func(*tracer.Event)) history {
	return h.at(0, "entry", k, func(e *tracer.Event) {
		e.Request, e.Attempt = id, 1
		for _, f := range more {
			f(e)
		}
	})
}

func cause(id string) func(*tracer.Event)       { return func(e *tracer.Event) { e.Cause = id } }
func reason(r string) func(*tracer.Event)       { return func(e *tracer.Event) { e.Reason = r } }
func outcome(o string) func(*tracer.Event)      { return func(e *tracer.Event) { e.Outcome = o } }
func tokens(n int) func(*tracer.Event)          { return func(e *tracer.Event) { e.Tokens = n } }
func revision(n int64) func(*tracer.Event)      { return func(e *tracer.Event) { e.Revision = n } }
func attemptNo(n int) func(*tracer.Event)       { return func(e *tracer.Event) { e.Attempt = n } }
func upstreamName(u string) func(*tracer.Event) { return func(e *tracer.Event) { e.Upstream = u } }
func floor(e *tracer.Event)                     { e.Floor = true }
func notRepeatable(e *tracer.Event)             { e.NotRepeatable = true }

// The checker must report a violation for each timeline that breaks a promise, and
// none for the others.
func TestObserveReportsOnlyBrokenPromises(t *testing.T) {
	const (
		s = time.Second
		A = tracer.KindAdmitted
		Q = tracer.KindQueued
		S = tracer.KindStarted
		F = tracer.KindFinished
		P = tracer.KindPreempted
		D = tracer.KindShed
	)
	var h history
	inFlight := h.run(0, Q, "low", 5).run(0, S, "low", 5).run(0, Q, "high", 1)
	waiting := h.run(0, Q, "a", 2).run(0, S, "a", 2).run(0, Q, "slow", 7).run(5*s, Q, "b", 2)
	entry := h.call(A, "r").call(tracer.KindSent, "r", upstreamName("desk-1"))
	nonRepeatable := h.call(A, "r", notRepeatable, func(e *tracer.Event) { e.Operation = "op" })
	inForce := func(d time.Duration, p string, n int64) history {
		return history{}.at(d, p, tracer.KindRevisionInForce, revision(n))
	}
	late := slices.Concat(inForce(0, "x", 1), inForce(0, "y", 1), inForce(s, "x", 2))
	leaving := h.at(0, "agent", tracer.KindMemberLeaving, upstreamName("desk-1"))
	for _, c := range []struct {
		name   string
		broken Promise
		events history
	}{
		{"preempted for a higher tier", "", inFlight.run(0, P, "low", 5, cause("high"))},
		{"preempted for a lower tier", P1, h.run(0, Q, "high", 1).run(0, S, "high", 1).run(0, Q, "low", 5).run(0, P, "high", 1, cause("low"))},
		{"preempted for an equal tier", P1, h.run(0, Q, "a", 3).run(0, S, "a", 3).run(0, Q, "b", 3).run(0, P, "a", 3, cause("b"))},
		{"preempted without a cause", P1, inFlight.run(0, P, "low", 5)},
		{"shed while a lower tier runs", P1, inFlight.run(0, D, "high", 1, reason("deadline"))},
		{"shed while a floor runs", "", h.run(0, Q, "low", 5).run(0, S, "low", 5, floor).run(0, Q, "high", 1).run(0, D, "high", 1, reason("deadline"))},
		{"shed while a higher tier runs", "", h.run(0, Q, "high", 1).run(0, S, "high", 1).run(0, Q, "low", 5).run(0, D, "low", 5, reason("queue_full"))},

		{"overtaken before the window", "", waiting.run(9*s, F, "a", 2).run(9*s, S, "b", 2)},
		{"overtaken after the window", P2, waiting.run(12*s, F, "a", 2).run(12*s, S, "b", 2)},
		{"floor started after the window", "", waiting.run(12*s, F, "a", 2).run(12*s, S, "slow", 7, floor).run(30*s, Q, "c", 2)},
		{"waits at an idle upstream", P2, waiting.run(12*s, F, "a", 2).run(30*s, Q, "c", 2)},

		{"whole answer", "", entry.run(0, F, "r", 1, tokens(7)).call(tracer.KindAnswered, "r", tokens(7))},
		{"truncated answer", P3, entry.run(0, F, "r", 1, tokens(7)).call(tracer.KindAnswered, "r", tokens(6))},
		{"answered twice", P3, entry.call(tracer.KindAnswered, "r").call(tracer.KindAnswered, "r")},

		{"refused as not run without a start", "", entry.run(0, Q, "r", 1).run(0, D, "r", 1, reason("queue_full")).call(tracer.KindRefused, "r", outcome("not_run"))},
		{"started before refused as not run", P4, entry.run(0, Q, "r", 1).run(0, S, "r", 1).call(tracer.KindRefused, "r", outcome("not_run"))},
		{"started after refused as not run", P4, entry.run(0, Q, "r", 1).call(tracer.KindRefused, "r", outcome("not_run")).run(0, S, "r", 1)},
		{"lost at the entry and refused as not run", P4, entry.call(tracer.KindLost, "r").call(tracer.KindRefused, "r", outcome("not_run"))},
		{"rejected by the upstream", "", entry.run(0, Q, "r", 1).run(0, S, "r", 1).run(0, tracer.KindLost, "r", 1, reason("rejected")).call(tracer.KindRefused, "r", outcome("not_run"))},

		{"non-repeatable request run once", "", nonRepeatable.run(0, S, "r", 1, notRepeatable)},
		{"non-repeatable request run by two attempts", P5, nonRepeatable.run(0, S, "r", 1, notRepeatable).run(0, S, "r", 1, notRepeatable, attemptNo(2))},
		{"operation run by two requests", P5, nonRepeatable.run(0, S, "r", 1, notRepeatable).call(A, "r2", func(e *tracer.Event) { e.Operation = "op" }).run(0, S, "r2", 1, notRepeatable)},
		{"repeatable request run twice", "", entry.run(0, S, "r", 1).run(0, S, "r", 1, attemptNo(2))},

		{"sent soon after leaving", "", leaving.at(2*s, "entry", tracer.KindSent, upstreamName("desk-1"))},
		{"sent long after leaving", P6, leaving.at(4*s, "entry", tracer.KindSent, upstreamName("desk-1"))},
		{"sent to the successor", "", leaving.at(3*s, "agent", tracer.KindProcessStarted, upstreamName("desk-1")).at(4*s, "entry", tracer.KindSent, upstreamName("desk-1"))},

		{"agent stops idle", "", inFlight.run(0, F, "low", 5).run(0, D, "high", 1).at(0, "agent", tracer.KindProcessStopped, nil)},
		{"agent stops with a run", P7, inFlight.at(0, "agent", tracer.KindProcessStopped, nil)},
		{"entry stops with a request", P7, entry.at(0, "entry", tracer.KindProcessStopped, nil)},
		{"agent stops without waiting", P7, inFlight.at(0, "agent", tracer.KindProcessStopping, nil).run(0, tracer.KindCancelled, "low", 5, reason(tracer.ReasonConnectionClosed))},
		{"caller leaves while the agent stops", "", inFlight.at(0, "agent", tracer.KindProcessStopping, nil).run(0, tracer.KindCancelled, "low", 5)},
		{"answer lost while the agent leaves", P7, slices.Concat(leaving, entry.run(0, F, "r", 1, tokens(7)).call(tracer.KindLost, "r", upstreamName("desk-1")))},

		{"revisions grow", "", slices.Concat(inForce(0, "x", 1), inForce(s, "x", 2))},
		{"revision decreases", P8, slices.Concat(inForce(0, "x", 2), inForce(s, "x", 1))},
		{"revision in time", "", slices.Concat(late, inForce(12*s, "y", 2))},
		{"revision late", P8, late.at(14*s, "y", tracer.KindQueued, nil)},
		{"revision late in an outage", "", late.at(2*s, "test", tracer.KindFaultBegan, reason("platform_down")).at(30*s, "test", tracer.KindFaultEnded, reason("platform_down")).at(40*s, "y", tracer.KindQueued, nil)},
	} {
		t.Run(c.name, func(t *testing.T) { assertBroken(t, c.events, c.broken) })
	}
}

// The tables must stay within their limits, and evictions must be counted.
func TestFullTablesStayBoundedAndCountEvictions(t *testing.T) {
	is := is.New(t)
	var c Checker
	for i := range 2 * maxRequests {
		id := fmt.Sprint(i)
		for _, e := range (history{}).call(tracer.KindAdmitted, id).run(0, tracer.KindQueued, id, 3) {
			c.Observe(e)
		}
	}
	is.Equal(len(c.requests.values), maxRequests)
	is.Equal(len(c.requests.order), maxRequests)
	is.True(len(c.processes.get("agent").runs) <= maxRuns)
	is.True(c.Evicted >= maxRequests)
}

// assertBroken asserts that events break the promise want and no other. If want is
// empty, they must break none.
func assertBroken(t *testing.T, events history, want Promise) {
	t.Helper()
	is := is.New(t)
	var c Checker
	var got Promise
	for _, e := range events {
		for _, v := range c.Observe(e) {
			t.Log(v)
			is.Equal(v.Promise, want)
			got = v.Promise
		}
	}
	is.Equal(got, want)
	is.Equal(c.Evicted, uint64(0))
}
