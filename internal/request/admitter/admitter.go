// Package admitter authenticates requests and decides whether they are
// admitted.
//
// It makes decisions only and does no I/O. It resolves the API key of the
// caller to an organisation, and the requested or default class name to a
// class, against one snapshot of the records. The result is either an
// [Admission] or a [Failure] for the caller. A refused request has not been
// run.
//
// # Usage
//
//	admission, failure := admitter.Admit(snapshot, request)
//	if failure != nil {
//		// respond with failure.Status, failure.Code and failure.Outcome
//	}
package admitter

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

// Outcome tells a caller whether its request was executed.
type Outcome string

// Possible outcomes.
const (
	// OutcomeNotRun means that the request was certainly not executed.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have been executed, in whole or
	// in part.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRan means that the request was executed.
	OutcomeRan Outcome = "ran"
)

// Request holds the attributes and content of a request from a caller.
type Request struct {
	// ID identifies the request in traces.
	ID       string
	Received time.Time
	// APIKey is the bearer token of the caller.
	APIKey string
	// Class is the name of the requested class. Empty means the default class of
	// the organisation.
	Class          string
	IdempotencyKey string
	// ContentDigest identifies the content. It covers neither the API key nor
	// the time of the request.
	ContentDigest string
	// Model and Body are set for a chat completion.
	Model     string
	Body      json.RawMessage
	MaxTokens int
	// Service and Call are set for a request to a service that is not an engine.
	Service string
	Call    *messenger.Call
}

// Admission holds the organisation, class and limits of an admitted request.
type Admission struct {
	Organisation string
	ClassName    string
	Class        descriptor.Class
	Repeatable   bool
	// RequestRate and Concurrency are the limits of the organisation across all
	// entries, which are the gateway processes that accept requests.
	RequestRate float64
	Concurrency int
	// Fingerprint identifies the content of the request together with its
	// organisation.
	Fingerprint string
}

// Failure is the error response to a failed request.
type Failure struct {
	// Status is the HTTP status code.
	Status  int
	Code    string
	Message string
	Outcome Outcome
	// RetryAfter is the time after which a retry may succeed, or zero.
	RetryAfter time.Duration
}

// Admit resolves the organisation and class of r against s. It returns a
// failure if the request is refused.
func Admit(s *compiler.Snapshot, r Request) (Admission, *Failure) {
	if s == nil || s.Revision == 0 {
		return Admission{}, notRunFailure(http.StatusServiceUnavailable, "no_records", "no records are in force yet")
	}
	name, ok := s.OrganisationOfKey(r.APIKey)
	if !ok {
		return Admission{}, notRunFailure(http.StatusUnauthorized, "unknown_key", "the bearer key belongs to no organisation")
	}
	o := s.Organisations[name]
	a := Admission{
		Organisation: name, RequestRate: o.RequestRate, Concurrency: o.Concurrency,
		Fingerprint: name + "/" + r.ContentDigest,
	}
	a.ClassName = r.Class
	if a.ClassName == "" {
		a.ClassName = o.DefaultClass
	}
	class, ok := s.Classes[a.ClassName]
	if !ok {
		return a, notRunFailure(http.StatusBadRequest, "unknown_class", fmt.Sprintf("class %q does not exist", a.ClassName))
	}
	if o.Classes != nil && !slices.Contains(o.Classes, a.ClassName) && a.ClassName != o.DefaultClass {
		return a, notRunFailure(http.StatusForbidden, "class_not_allowed", fmt.Sprintf("organisation %s may not use class %s", name, a.ClassName))
	}
	a.Class = class
	a.Repeatable = class.Repeatable
	if r.Call != nil {
		return admitServiceCall(s, r, a)
	}
	if len(s.UpstreamsByModel[r.Model]) == 0 {
		return a, notRunFailure(http.StatusNotFound, "unknown_model", fmt.Sprintf("no upstream serves model %q", r.Model))
	}
	return a, nil
}

func admitServiceCall(s *compiler.Snapshot, r Request, a Admission) (Admission, *Failure) {
	upstreams := s.UpstreamsByService[r.Service]
	if len(upstreams) == 0 {
		return a, notRunFailure(http.StatusNotFound, "unknown_service", fmt.Sprintf("service %q does not exist", r.Service))
	}
	if s.Upstreams[upstreams[0]].Repeatable || r.Call.Method == http.MethodGet || r.Call.Method == http.MethodHead {
		a.Repeatable = true
	}
	return a, nil
}

// QuarantinedFailure returns the failure of a request whose content has
// crashed upstreams.
func QuarantinedFailure() *Failure {
	return notRunFailure(http.StatusUnprocessableEntity, "quarantined", "upstreams crashed while they ran this content; it is refused for some minutes")
}

// OverloadedFailure returns the failure of a request that exceeds the
// capacity of the entry.
func OverloadedFailure() *Failure {
	return notRunFailure(http.StatusServiceUnavailable, "entry_overloaded", "the entry has no room for another request")
}

// InterruptedFailure returns the failure of a request that ended inside the entry without
// a reply. A part of it may have been sent.
func InterruptedFailure() *Failure {
	return &Failure{
		Status: http.StatusBadGateway, Code: "interrupted", Message: "the entry has given the request up",
		Outcome: OutcomeUnknown,
	}
}

// RejectedFailure returns the failure of a request that an engine rejected as
// invalid. It is not retried, since every other engine would reject it too.
func RejectedFailure(status int, message string) *Failure {
	return notRunFailure(status, "rejected", message)
}

// LimitReachedFailure returns the failure of a request that exceeds the
// limits of its organisation.
func LimitReachedFailure() *Failure {
	return notRunFailure(http.StatusTooManyRequests, "limit_reached", "the organisation has reached its limit over all entries")
}

func notRunFailure(status int, code, message string) *Failure {
	f := &Failure{Status: status, Code: code, Message: message, Outcome: OutcomeNotRun}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		f.RetryAfter = time.Second
	}
	return f
}
