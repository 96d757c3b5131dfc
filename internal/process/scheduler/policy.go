package scheduler

import "time"

// Policy orders the waiting runs and selects the other rules.
type Policy interface {
	// Before reports whether a starts before b, where each is the next run of its
	// class.
	Before(now time.Time, a, b *Run) bool
	// Rules returns the rules that apply in addition to the order.
	Rules() Rules
}

// Rules selects the rules that apply in addition to the order. Each can be
// disabled for a baseline or to measure its effect.
type Rules struct {
	// Fair divides the starts of a class among its organisations by served
	// tokens. Otherwise each class has one queue in order of arrival.
	Fair bool
	// Floors gives the next free slot to a class that has waited too long for a
	// start, regardless of its tier.
	Floors bool
	// Preempt interrupts runs of lower tiers for runs that would otherwise miss
	// their target.
	Preempt bool
	// Shed refuses runs whose target can no longer be met. Runs that were handed
	// to an upstream before are not shed.
	Shed bool
}

// FirstInFirstOut starts runs in order of arrival, without any other rule. It
// serves as a baseline.
type FirstInFirstOut struct{}

// Before orders runs by arrival.
func (FirstInFirstOut) Before(_ time.Time, a, b *Run) bool { return a.Arrived.Before(b.Arrived) }

// Rules disables all rules.
func (FirstInFirstOut) Rules() Rules { return Rules{} }

// Tiered starts the most urgent tier first, and within a tier the run with the
// earliest StartBy. Runs without a target come last in their tier, in order of
// arrival.
type Tiered struct{}

// Before orders runs by tier, then by StartBy and then by arrival.
func (Tiered) Before(_ time.Time, a, b *Run) bool {
	switch {
	case a.Tier != b.Tier:
		return a.Tier < b.Tier
	case a.StartBy.IsZero() != b.StartBy.IsZero():
		return b.StartBy.IsZero()
	case !a.StartBy.Equal(b.StartBy):
		return a.StartBy.Before(b.StartBy)
	}
	return a.Arrived.Before(b.Arrived)
}

// Rules enables all rules.
func (Tiered) Rules() Rules { return Rules{Fair: true, Floors: true, Preempt: true, Shed: true} }
