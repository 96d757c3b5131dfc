package timekeeper

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// vm simulates the clocks of a VM. Its time of day is offset from the true time.
type vm struct {
	boot   time.Duration
	offset time.Duration
}

func (v *vm) read() Reading {
	return Reading{TimeOfDay: trueTime(v.boot).Add(v.offset), SinceBoot: v.boot}
}

// trueTime returns the true time at a time since boot.
func trueTime(boot time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(boot) }

// run advances the VM by d in small steps and checks that the clock never runs backwards.
// It returns the difference between the clock and the true time.
func (v *vm) run(t *testing.T, k *Keeper, d time.Duration) time.Duration {
	t.Helper()
	const step = 100 * time.Millisecond
	last := k.Now(v.read())
	for range d / step {
		v.boot += step
		now := k.Now(v.read())
		is.New(t).True(now.After(last))
		last = now
	}
	return last.Sub(trueTime(v.boot))
}

// A step of the time of day must not shift the windows: requests would be counted in
// windows that other entries have ended.
func TestKeeperDoesNotFollowSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 250 * time.Millisecond, 30 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			v := &vm{boot: time.Hour}
			k := New(v.read())
			v.run(t, k, time.Second)
			v.offset = step
			is.New(t).Equal(v.run(t, k, 9*time.Second), time.Duration(0))
			v.offset = 0
			is.New(t).Equal(v.run(t, k, time.Minute), time.Duration(0))
		})
	}
}

// The clock must follow what lasts: the drift of the VM, and a time of day that was wrong
// at the start of the process.
func TestKeeperFollowsLastingDifferences(t *testing.T) {
	for _, c := range []struct {
		name   string
		offset time.Duration
		after  time.Duration
	}{
		{"drift", 150 * time.Millisecond, 15 * time.Second},
		{"backward drift", -150 * time.Millisecond, 15 * time.Second},
		{"wrong time at the start", 30 * time.Second, 6 * time.Minute},
		{"wrong backward time at the start", -30 * time.Second, 6 * time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &vm{boot: time.Hour}
			k := New(v.read())
			v.offset = c.offset
			is.New(t).True((v.run(t, k, c.after) - c.offset).Abs() < time.Millisecond)
		})
	}
}

// A suspended VM must be in the current window as soon as it runs again.
func TestKeeperCountsSuspension(t *testing.T) {
	v := &vm{boot: time.Hour}
	k := New(v.read())
	v.boot += time.Minute
	is.New(t).Equal(k.Now(v.read()), trueTime(v.boot))
}

// The time since boot must not stand still on the system of the test.
func TestSystemReads(t *testing.T) {
	first, second := System{}.Read(), System{}.Read()
	is.New(t).True(first.SinceBoot > 0)
	is.New(t).True(second.SinceBoot >= first.SinceBoot)
}
