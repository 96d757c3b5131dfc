// Package buffer provides a bounded queue that connects goroutines.
//
// Each long-running goroutine owns its state exclusively. Goroutines
// communicate only through a [Ring]: one side puts values, the other takes
// them. The capacity is fixed when the ring is created, so overload fills the
// ring instead of growing memory.
//
// The overflow policy is part of the ring's type. [Block] makes the sender
// wait, [Reject] refuses the new value, and [DropOldest] discards the oldest
// value.
//
// # Usage
//
//	r := buffer.New[Event, buffer.Reject]("events", 1024)
//	if !r.Put(ctx, e) {
//		// the ring is full or closed
//	}
//	for {
//		e, ok := r.Take(ctx)
//		if !ok {
//			return
//		}
//	}
//
// A goroutine that also waits for a timer or another ring selects on [Ring.C]:
//
//	select {
//	case e := <-r.C():
//	case <-wake:
//	}
package buffer

import (
	"context"
	"sync/atomic"
)

// Policy is the overflow policy of a ring. This package defines the only three
// policies. A policy is a type so that a ring's declaration shows its behaviour
// on overflow.
type Policy interface {
	Block | Reject | DropOldest
}

// Block makes [Ring.Put] wait until there is free capacity.
type Block struct{}

// Reject makes [Ring.Put] return false.
type Reject struct{}

// DropOldest makes [Ring.Put] discard the oldest value.
type DropOldest struct{}

// Stats is a snapshot of the depth, the capacity and the counters of a ring.
type Stats struct {
	Name     string
	Depth    int
	Capacity int
	// Refused counts the values that Put did not accept.
	Refused uint64
	// Dropped counts the accepted values that [DropOldest] discarded.
	Dropped uint64
}

// Ring is a bounded FIFO queue for values of type T with the overflow policy P.
// It is safe for any number of concurrent producers and consumers.
type Ring[T any, P Policy] struct {
	name    string
	values  chan T
	done    chan struct{}
	closed  atomic.Bool
	refused atomic.Uint64
	dropped atomic.Uint64
}

// New returns a ring that holds up to capacity values. The name is the label of
// the ring in the metrics.
func New[T any, P Policy](name string, capacity int) *Ring[T, P] {
	return &Ring[T, P]{
		name:   name,
		values: make(chan T, capacity),
		done:   make(chan struct{}),
	}
}

// Put adds v and reports whether the ring accepted it. It returns false when
// the ring is closed, when ctx is done before [Block] finds free capacity, or
// when the ring is full and has the policy [Reject].
func (r *Ring[T, P]) Put(ctx context.Context, v T) bool {
	if r.closed.Load() {
		r.refused.Add(1)
		return false
	}
	select {
	case r.values <- v:
		return true
	default:
	}
	var p P
	switch any(p).(type) {
	case Block:
		return r.putBlocking(ctx, v)
	case DropOldest:
		return r.putDroppingOldest(v)
	}
	r.refused.Add(1)
	return false
}

func (r *Ring[T, P]) putBlocking(ctx context.Context, v T) bool {
	select {
	case r.values <- v:
		return true
	case <-ctx.Done():
	case <-r.done:
	}
	r.refused.Add(1)
	return false
}

func (r *Ring[T, P]) putDroppingOldest(v T) bool {
	for {
		select {
		case r.values <- v:
			return true
		default:
		}
		select {
		case <-r.values:
			r.dropped.Add(1)
		default:
		}
	}
}

// Take removes and returns the oldest value, waiting while the ring is empty. It
// returns false when ctx is done or when the ring is closed and empty.
func (r *Ring[T, P]) Take(ctx context.Context) (T, bool) {
	select {
	case v := <-r.values:
		return v, true
	default:
	}
	select {
	case v := <-r.values:
		return v, true
	case <-ctx.Done():
	case <-r.done:
		return r.TryTake()
	}
	var zero T
	return zero, false
}

// TryTake removes and returns the oldest value, or returns false if the ring is
// empty.
func (r *Ring[T, P]) TryTake() (T, bool) {
	select {
	case v := <-r.values:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// C returns the ring's channel for use in a select statement. The channel is
// never closed; use [Ring.Done] to detect that the ring is closed.
func (r *Ring[T, P]) C() <-chan T { return r.values }

// Done returns a channel that is closed by [Ring.Close].
func (r *Ring[T, P]) Done() <-chan struct{} { return r.done }

// Close makes all later calls of [Ring.Put] fail and wakes the blocked ones.
// Values already in the ring can still be taken.
func (r *Ring[T, P]) Close() {
	if r.closed.CompareAndSwap(false, true) {
		close(r.done)
	}
}

// Stats returns the current depth and the counters since the ring was created.
func (r *Ring[T, P]) Stats() Stats {
	return Stats{
		Name:     r.name,
		Depth:    len(r.values),
		Capacity: cap(r.values),
		Refused:  r.refused.Load(),
		Dropped:  r.dropped.Load(),
	}
}
