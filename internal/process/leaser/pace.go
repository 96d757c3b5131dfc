package leaser

import "time"

// maxFirstDelay is the longest time for which the first call of a term waits. The rate is
// counted by seconds.
const maxFirstDelay = time.Second

// Pace limits the rate of the calls of one holder. It is a decision without a clock.
// Several holders in a row stay within the rate as well, since the first call of a term
// waits for one interval, or for a second if that is less.
type Pace struct {
	// Interval is the time between two calls.
	Interval time.Duration
	last     time.Time
}

// NewPace returns a pace of share of callsPerSecond.
func NewPace(callsPerSecond, share float64) Pace {
	return Pace{Interval: time.Duration(float64(time.Second) / (callsPerSecond * share))}
}

// Begin starts a term.
func (p *Pace) Begin(now time.Time) {
	p.last = now.Add(min(p.Interval, maxFirstDelay) - p.Interval)
}

// Ready reports whether a call may be made now.
func (p *Pace) Ready(now time.Time) bool { return !now.Before(p.Next()) }

// Next returns the time of the next call.
func (p *Pace) Next() time.Time { return p.last.Add(p.Interval) }

// Called records a call.
func (p *Pace) Called(now time.Time) { p.last = now }
