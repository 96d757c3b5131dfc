package picker

import "time"

// holdBack extends the time until which the upstream gets no requests to the given
// one. A shorter pause does not end an earlier longer one, which the upstream has not
// taken back.
func (u *Upstream) holdBack(until time.Time) {
	if until.After(u.HeldBackUntil) {
		u.HeldBackUntil = until
	}
}

// IsHeldBack reports whether the upstream asked this entry to send it no requests at
// the given time.
func (u *Upstream) IsHeldBack(now time.Time) bool { return now.Before(u.HeldBackUntil) }
