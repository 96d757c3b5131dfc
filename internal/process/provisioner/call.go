package provisioner

import "magnoliafront.dev/magnoliafront/internal/process/scaler"

// Target is the desired number of upstreams of a service in an availability zone.
type Target struct {
	Service          string
	AvailabilityZone string
	Desired          int
}

// Call is an order to send.
type Call struct {
	Token  int64
	Target Target
	// Changed is true if no call for this number was made before in this term. Previous
	// is the number before, and Reason the reason for the change.
	Changed  bool
	Previous int
	Reason   scaler.Reason
}

// Result is the end of a call.
type Result struct {
	Call    Call
	Outcome Outcome
}

// Outcome is the way in which a call ended.
type Outcome int

// The outcomes of a call.
const (
	// OutcomeConfirmed means that the platform accepted the order.
	OutcomeConfirmed Outcome = iota
	// OutcomeTokenRefused means that the platform has seen a higher fencing token.
	OutcomeTokenRefused
	// OutcomeRateLimited means that the platform got too many calls.
	OutcomeRateLimited
	// OutcomeFailed means that the platform answered with another error.
	OutcomeFailed
	// OutcomeUnknown means that there was no answer. The order may be executed later.
	OutcomeUnknown
	// OutcomeNotSent means that the lease had ended before the call.
	OutcomeNotSent
)

// String returns the name of the outcome in log lines and metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeConfirmed:
		return "confirmed"
	case OutcomeTokenRefused:
		return "token_refused"
	case OutcomeRateLimited:
		return "rate_limited"
	case OutcomeFailed:
		return "failed"
	case OutcomeNotSent:
		return "not_sent"
	}
	return "unknown"
}
