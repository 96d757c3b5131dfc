// Package retrier decides what follows a failed attempt.
//
// It is a decision package. An attempt that was refused has not been run and
// may be sent elsewhere, whatever the request. An attempt that was lost may be
// resumed elsewhere only if the request is repeatable; otherwise nobody knows
// whether it ran, and the caller is told so. A request whose idempotency key
// could not be claimed was not sent and so not run; one whose key is held by
// another request may have run as that one.
//
// # Usage
//
//	d := retrier.Next(f, retrier.CauseLost)
//	if d.Failure == nil {
//		// send the next attempt, from token f.Tokens
//	}
package retrier

import (
	"net/http"
	"time"

	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

// The limits on the attempts of one request.
const (
	// MaxRefused is the number of upstreams that may refuse a request. Asking
	// more of them would amplify an overload.
	MaxRefused = 3
	// MaxLost is the number of upstreams that may be lost under a request.
	MaxLost = 3
)

// Flight is what is known of a request in flight.
type Flight struct {
	Repeatable bool
	// Refused and Lost count the attempts that ended so.
	Refused int
	Lost    int
	// Tokens is the number of tokens that the caller has.
	Tokens int
	// Failed counts the attempts that the upstream ran and ended with an error of
	// its own.
	Failed int
	// MaxRuns is the number of upstreams that may run the request. Zero means
	// that only MaxLost bounds it.
	MaxRuns int
	// Quarantined is true if the content crashes upstreams.
	Quarantined bool
}

// Cause says why an attempt ended.
type Cause int

// The causes.
const (
	// CauseRefused means that the attempt was not run.
	CauseRefused Cause = iota
	// CauseLost means that the attempt may have been run.
	CauseLost
	// CauseNoUpstream means that there is nowhere to send the request.
	CauseNoUpstream
	// CauseClaimUnavailable means that the idempotency key could not be claimed
	// in time, so nothing was sent.
	CauseClaimUnavailable
	// CauseClaimHeld means that another request with the key is running, or was
	// lost.
	CauseClaimHeld
	// CauseClaimMismatch means that the key belongs to another content.
	CauseClaimMismatch
	// CauseAnswerNotKept means that a request with the key was run and its answer
	// was too large to be kept.
	CauseAnswerNotKept
	// CauseFailed means that the upstream ran the attempt and answered with an
	// error, which has not been passed on.
	CauseFailed
	// CauseExpired means that the time of the request is over.
	CauseExpired
)

// Decision says what to do next.
type Decision struct {
	// Failure is set if the request has failed; otherwise there is another
	// attempt.
	Failure *admitter.Failure
	// Deliver is true if the upstream's own error is the best answer that the
	// caller can get. Failure says then why there is no other attempt.
	Deliver bool
}

// Next decides what follows when an attempt of f ended, f already counting it.
func Next(f Flight, c Cause) Decision {
	outcome := outcomeOf(f)
	switch c {
	case CauseClaimUnavailable, CauseClaimHeld, CauseClaimMismatch, CauseAnswerNotKept:
		if !f.Quarantined {
			return unclaimed(c)
		}
	}
	switch {
	case f.Quarantined:
		return fail(http.StatusUnprocessableEntity, "quarantined", "upstreams crashed while they ran this content", outcome)
	case c == CauseExpired && outcome == admitter.OutcomeNotRun:
		return fail(http.StatusServiceUnavailable, "expired", "no upstream could begin the request in time", outcome)
	case c == CauseExpired:
		return fail(http.StatusGatewayTimeout, "expired", "the upstream did not answer in time", outcome)
	case c == CauseFailed && (!f.Repeatable || f.runs() >= f.maxRuns()):
		return deliver("the upstream failed the request")
	case c == CauseLost && !f.Repeatable:
		return fail(http.StatusBadGateway, "upstream_lost", "the upstream was lost while the request may have been running", outcome)
	case f.Lost >= MaxLost || c == CauseLost && f.runs() >= f.maxRuns():
		return fail(http.StatusBadGateway, "upstreams_lost", "several upstreams were lost while running the request", outcome)
	case c == CauseNoUpstream && f.Refused == 0:
		return fail(http.StatusServiceUnavailable, "no_upstream", "no upstream is available", outcome)
	case c == CauseNoUpstream, f.Refused >= MaxRefused:
		return fail(http.StatusServiceUnavailable, "overloaded", "the upstreams cannot meet the target of the class", outcome)
	}
	return Decision{}
}

// unclaimed decides on a request whose idempotency key was not claimed for it.
func unclaimed(c Cause) Decision {
	switch c {
	case CauseClaimUnavailable:
		return fail(http.StatusServiceUnavailable, "claim_unavailable", "the idempotency key could not be claimed within the target of the class", admitter.OutcomeNotRun)
	case CauseClaimHeld:
		return fail(http.StatusConflict, "key_in_use", "a request with this idempotency key is running or its result was lost", admitter.OutcomeUnknown)
	case CauseClaimMismatch:
		return fail(http.StatusUnprocessableEntity, "key_mismatch", "the idempotency key was used with another request", admitter.OutcomeNotRun)
	}
	return fail(http.StatusConflict, "answer_not_kept", "the request was run; its answer was too large to be kept", admitter.OutcomeRan)
}

// runs returns the number of upstreams that may have run the request.
func (f Flight) runs() int { return f.Lost + f.Failed }

func (f Flight) maxRuns() int {
	if f.MaxRuns > 0 {
		return f.MaxRuns
	}
	return MaxLost
}

func deliver(message string) Decision {
	d := fail(http.StatusBadGateway, "upstream_failed", message, admitter.OutcomeRan)
	d.Deliver = true
	return d
}

func fail(status int, code, message string, o admitter.Outcome) Decision {
	if status == http.StatusServiceUnavailable && o != admitter.OutcomeNotRun {
		// 503 tells a caller that it may send the request again.
		status = http.StatusBadGateway
	}
	f := &admitter.Failure{Status: status, Code: code, Message: message, Outcome: o}
	if status == http.StatusServiceUnavailable {
		f.RetryAfter = time.Second
	}
	return Decision{Failure: f}
}
