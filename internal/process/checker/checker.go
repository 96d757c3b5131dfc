// Package checker checks the promises P1 to P8, the invariants of the system,
// against the events of the timeline.
//
// The checks are pure logic from events to violations. They read no clock; time
// is taken from the stamps of the events. The same code runs in tests, in long
// runs over the merged events of all processes, and in production over the
// events of a single process. There the events of other processes are absent, so
// a single process detects fewer violations but no false ones.
// docs/INVARIANTS.md defines each check and its limits.
//
// Events must be observed in causal order. All tables are bounded. When one is
// full, its oldest element is evicted. [Checker.Evicted] counts the evictions of
// unfinished requests and running processes, which can hide a violation; tests
// must check that it is zero.
//
// # Usage
//
//	var c checker.Checker
//	for _, e := range events {
//		for _, v := range c.Observe(e) {
//			fmt.Println(v)
//		}
//	}
package checker

import (
	"fmt"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// Promise is the number of a promise, which docs/INVARIANTS.md defines.
type Promise string

// The promises.
const (
	P1 Promise = "P1"
	P2 Promise = "P2"
	P3 Promise = "P3"
	P4 Promise = "P4"
	P5 Promise = "P5"
	P6 Promise = "P6"
	P7 Promise = "P7"
	P8 Promise = "P8"
)

// Violation reports an event that breaks a promise.
type Violation struct {
	Promise Promise `json:"promise"`
	// Event is the event at which the violation was detected.
	Event  tracer.Event `json:"event"`
	Detail string       `json:"detail"`
}

// String formats the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s broken by %s at %s, request %q attempt %d: %s", v.Promise, v.Event.Kind, v.Event.Process, v.Event.Request, v.Event.Attempt, v.Detail)
}

const (
	// maxRequests limits the tables of requests and of operations. An entry of the
	// largest fleet receives 3,500/410 requests a second, so that 16,384 requests
	// cover more than 30 minutes.
	maxRequests = 16384
	// maxRuns limits the runs of one agent: 8 classes of 512 waiting runs each,
	// and the active runs in the slots.
	maxRuns = 8192
	// maxProcesses limits the tables of processes and of upstreams. The merged
	// timeline of the largest fleet has 3,910 processes.
	maxProcesses = 8192
	// maxReported limits the table of violations that were already reported.
	maxReported = 1024
)

// Checker checks the events of a timeline. The zero value is ready to use.
type Checker struct {
	// Evicted counts the unfinished requests and running processes whose state was
	// evicted because a table was full, or cleared because the process had too many
	// runs or requests in flight. Checks that depend on that state may then miss a
	// violation.
	Evicted uint64

	requests   table[string, request]
	operations table[string, int]
	processes  table[string, process]
	upstreams  table[string, upstream]
	reported   table[reportKey, struct{}]
	records    recordsState
	violations []Violation
}

type reportKey struct {
	promise Promise
	process string
	subject string
}

// Observe processes one event and returns the violations that it causes. A
// violation is reported once for each promise, process and request, or upstream
// if the event has no request.
func (c *Checker) Observe(e tracer.Event) []Violation {
	if e.Kind == tracer.KindViolation {
		// The violation was already reported by the process that recorded it.
		return nil
	}
	c.violations = nil
	p := c.process(e)
	c.checkFloor(e, p)
	c.checkPriority(e, p)
	c.checkAnswer(e)
	c.checkRuns(e)
	c.checkLeaving(e)
	c.checkStop(e, p)
	c.checkRecords(e, p)
	c.updateState(e, p)
	return c.violations
}

func (c *Checker) reportf(promise Promise, e tracer.Event, format string, args ...any) {
	subject := e.Request
	if subject == "" {
		subject = e.Upstream
	}
	k := reportKey{promise, e.Process, subject}
	if c.reported.get(k) != nil {
		return
	}
	c.reported.add(k, maxReported)
	c.violations = append(c.violations, Violation{Promise: promise, Event: e, Detail: fmt.Sprintf(format, args...)})
}

// request is the state of one request over all processes.
type request struct {
	// entry is the process that admitted the request.
	entry     string
	operation string
	// endKind is the kind of the event that ended the request at its entry.
	endKind tracer.Kind
	outcome string
	// runs counts the starts without those that the upstream rejected.
	runs int
	// mayHaveRun is true once the entry lost an attempt or received a token.
	mayHaveRun bool
	// finishedAttempt is the last attempt that finished at an agent, and
	// answerTokens the number of tokens of the whole answer at that time.
	finishedAttempt int
	answerTokens    int
}

func (c *Checker) request(id string) *request {
	if r := c.requests.get(id); r != nil {
		return r
	}
	r, evicted := c.requests.add(id, maxRequests)
	if evicted != nil && evicted.entry != "" && evicted.endKind == "" {
		c.Evicted++
	}
	return r
}

// atEntry reports whether e was recorded by the entry of its request.
func (c *Checker) atEntry(e tracer.Event) bool {
	r := c.requests.get(e.Request)
	return r != nil && r.entry == e.Process
}
