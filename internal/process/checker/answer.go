package checker

import "magnoliafront.dev/magnoliafront/pkg/tracer"

// rejected is the Reason of a [tracer.KindLost] event if the upstream itself
// responded that it did not run the attempt.
const rejected = "rejected"

// checkAnswer checks P3: a request ends exactly once at its entry and has no
// events there afterwards, and its answer has as many tokens as were counted by
// the agent that finished it.
func (c *Checker) checkAnswer(e tracer.Event) {
	if e.Kind == tracer.KindAdmitted {
		r := c.request(e.Request)
		if r.entry != "" {
			c.reportf(P3, e, "the identity was already given to a request at %s", r.entry)
			return
		}
		r.entry, r.operation = e.Process, e.Operation
		return
	}
	if !c.atEntry(e) {
		return
	}
	r := c.requests.get(e.Request)
	if r.endKind != "" {
		c.reportf(P3, e, "%s after the request had ended with %s", e.Kind, r.endKind)
	}
	switch e.Kind {
	case tracer.KindAnswered:
		if e.Attempt == r.finishedAttempt && e.Tokens != r.answerTokens {
			c.reportf(P3, e, "the caller got %d tokens of an answer of %d", e.Tokens, r.answerTokens)
		}
		r.endKind = e.Kind
	case tracer.KindCancelled, tracer.KindRefused:
		r.endKind, r.outcome = e.Kind, e.Outcome
	case tracer.KindFirstToken, tracer.KindLost:
		r.mayHaveRun = true
	}
}

// checkRuns checks P4: a request with the outcome not_run was never started. It
// also checks P5: a non-repeatable request is started at most once, and so are
// all non-repeatable requests of one operation together.
func (c *Checker) checkRuns(e tracer.Event) {
	switch e.Kind {
	case tracer.KindStarted, tracer.KindResumed:
		c.countRun(e)
	case tracer.KindFinished:
		r := c.request(e.Request)
		r.finishedAttempt, r.answerTokens = e.Attempt, e.Tokens
	case tracer.KindLost:
		if e.Reason == rejected && !c.atEntry(e) {
			c.discountRun(e)
		}
	case tracer.KindRefused:
		r := c.requests.get(e.Request)
		if e.Outcome == "not_run" && r != nil && (r.runs > 0 || r.mayHaveRun) {
			c.reportf(P4, e, "the caller was told not_run after %d starts", r.runs)
		}
	}
}

func (c *Checker) countRun(e tracer.Event) {
	r := c.request(e.Request)
	r.runs++
	if r.endKind == tracer.KindRefused && r.outcome == "not_run" {
		c.reportf(P4, e, "started after the caller was told not_run")
	}
	if !e.NotRepeatable {
		return
	}
	if r.runs > 1 {
		c.reportf(P5, e, "a request that is not repeatable was started %d times", r.runs)
	}
	if r.operation == "" {
		return
	}
	n := c.operations.get(r.operation)
	if n == nil {
		n, _ = c.operations.add(r.operation, maxRequests)
	}
	*n++
	if *n > 1 && r.runs == 1 {
		c.reportf(P5, e, "operation %s was started %d times by several requests", r.operation, *n)
	}
}

func (c *Checker) discountRun(e tracer.Event) {
	r := c.request(e.Request)
	r.runs = max(0, r.runs-1)
	if n := c.operations.get(r.operation); e.NotRepeatable && n != nil {
		*n = max(0, *n-1)
	}
}
