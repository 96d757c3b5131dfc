// Package timekeeper provides a clock that follows the time of day without its steps.
//
// Windows of usage begin at times of day that all entries must agree on. The time of day
// of a VM can be stepped, and its monotonic clock stops while the VM is suspended. A
// [Keeper] takes the time of day once, at the start of the process, and counts on with
// the time since boot, which includes suspensions.
//
// A difference to the time of day is followed slowly, so that the clock never jumps and
// never runs backwards: at [smallRate] if it is small, since the clocks of VMs drift, and
// at [largeRate] if it is large and has lasted for a while, since a step that is taken
// back after seconds must not be followed.
//
// # Usage
//
//	k := timekeeper.New(timekeeper.System{}.Read())
//	now := k.Now(timekeeper.System{}.Read())
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxSmallDifference is the largest difference that is followed at once.
	maxSmallDifference = 200 * time.Millisecond
	// minLargeDuration is the time for which a larger difference must last.
	minLargeDuration = 10 * time.Second
	// smallRate and largeRate are the parts of the elapsed time by which the clock is
	// corrected.
	smallRate = 0.01
	largeRate = 0.1
)

// Reading is one reading of the clocks of a VM.
type Reading struct {
	// TimeOfDay is the time of day.
	TimeOfDay time.Time
	// SinceBoot is the time since the VM was booted, including suspensions.
	SinceBoot time.Duration
}

// Source reads the clocks of a VM.
type Source interface {
	Read() Reading
}

// System is the [Source] of the operating system. The zero value is ready to use.
type System struct{}

// Read implements [Source].
func (System) Read() Reading {
	now := time.Now()
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		// The system call fails only on a kernel without this clock. The time of day is
		// the one that is left.
		return Reading{TimeOfDay: now.Round(0), SinceBoot: time.Duration(now.UnixNano())}
	}
	return Reading{TimeOfDay: now.Round(0), SinceBoot: time.Duration(boot.Nano())}
}

// Keeper is the state of the clock. It reads no clock itself. Create it with [New].
type Keeper struct {
	// base is the time of day at which the time since boot was zero, by this clock.
	base time.Time
	last Reading
	// largeSince is the time since boot at which the difference became large, and
	// largeDifference what it was then. isLarge is false while it is small.
	isLarge         bool
	largeSince      time.Duration
	largeDifference time.Duration
}

// New returns a clock that starts at the time of day of r.
func New(r Reading) *Keeper {
	return &Keeper{base: r.TimeOfDay.Add(-r.SinceBoot), last: r}
}

// Now returns the time at the reading r, which must not be earlier than the last one.
func (k *Keeper) Now(r Reading) time.Time {
	elapsed := max(0, r.SinceBoot-k.last.SinceBoot)
	k.last = r
	difference := r.TimeOfDay.Sub(k.base.Add(r.SinceBoot))
	if rate := k.rate(r, difference); rate > 0 {
		limit := time.Duration(rate * float64(elapsed))
		k.base = k.base.Add(max(-limit, min(limit, difference)))
	}
	return k.base.Add(r.SinceBoot)
}

// rate returns the rate at which the difference is followed, zero if it is not.
func (k *Keeper) rate(r Reading, difference time.Duration) float64 {
	if difference.Abs() < maxSmallDifference {
		k.isLarge = false
		return smallRate
	}
	if !k.isLarge || (difference-k.largeDifference).Abs() >= maxSmallDifference && !k.isFollowed(r) {
		k.isLarge, k.largeSince, k.largeDifference = true, r.SinceBoot, difference
	}
	if !k.isFollowed(r) {
		return 0
	}
	if difference.Abs() > k.largeDifference.Abs()+maxSmallDifference || (difference < 0) != (k.largeDifference < 0) {
		// The time of day was stepped again.
		k.largeSince, k.largeDifference = r.SinceBoot, difference
		return 0
	}
	return largeRate
}

// isFollowed reports whether the large difference has lasted long enough.
func (k *Keeper) isFollowed(r Reading) bool { return r.SinceBoot-k.largeSince >= minLargeDuration }
