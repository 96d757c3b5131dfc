// Package timer abstracts the system clock behind an interface.
//
// A type whose goroutines need the time does not read the system clock. Its
// constructor takes a [Clock], so that a test can run the same code on a [Manual]
// clock, which only the test advances. Packages of pure decision logic take no
// clock: the current time is an argument of their functions.
//
// # Usage
//
//	func New(c timer.Clock) *Sender {
//		wake, stop := c.After(20 * time.Millisecond)
//		defer stop()
//		<-wake
//	}
//
// In a test:
//
//	c := timer.NewManual(time.Unix(0, 0))
//	s := New(c)
//	c.Advance(time.Second)
package timer

import (
	"sync"
	"time"
)

// Clock returns the current time and creates timers.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After starts a timer. It returns a channel with a buffer of one value that
	// receives the time once d has elapsed, and a function that stops the timer.
	After(d time.Duration) (<-chan time.Time, func())
}

// System is the [Clock] of the operating system. The zero value is ready to use.
type System struct{}

// Now implements [Clock].
func (System) Now() time.Time { return time.Now() }

// After implements [Clock].
func (System) After(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}

// Manual is a [Clock] for tests whose time changes only by [Manual.Advance].
type Manual struct {
	// mu guards the fields below: a manual clock is shared by all goroutines of a
	// test, unlike state that a single goroutine owns.
	mu      sync.Mutex
	now     time.Time
	pending []*manualTimer
}

type manualTimer struct {
	deadline time.Time
	channel  chan time.Time
}

// NewManual returns a manual clock set to now.
func NewManual(now time.Time) *Manual {
	return &Manual{now: now}
}

// Now implements [Clock].
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After implements [Clock].
func (m *Manual) After(d time.Duration) (<-chan time.Time, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTimer{deadline: m.now.Add(d), channel: make(chan time.Time, 1)}
	if d <= 0 {
		t.channel <- m.now
		return t.channel, func() {}
	}
	m.pending = append(m.pending, t)
	return t.channel, func() { m.stop(t) }
}

// Advance moves the clock forward by d and fires every timer that is due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	remaining := m.pending[:0]
	for _, t := range m.pending {
		if t.deadline.After(m.now) {
			remaining = append(remaining, t)
			continue
		}
		t.channel <- m.now
	}
	m.pending = remaining
}

// PendingTimers returns the number of timers that have neither fired nor been
// stopped.
func (m *Manual) PendingTimers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.pending)
}

func (m *Manual) stop(t *manualTimer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, other := range m.pending {
		if other == t {
			m.pending = append(m.pending[:i], m.pending[i+1:]...)
			return
		}
	}
}
