// Package shedder decides which bodies of requests may be read while memory is short, and
// which unfinished ones are given up for the others.
//
// It makes decisions only and does no I/O. Its input is what each unfinished body holds,
// wants and has received, and the room that is left. A body that wants more than there is
// room for waits; its caller is slowed down by TCP flow control. Small bodies are served
// before large ones, and large ones have a limit of their own, so that ordinary callers
// pass beside a flood of large bodies. Of the large ones, the one that is the furthest gets
// room first: of two that wait for each other, one ends.
//
// While a body waits, bodies are given up in this order:
//
//   - bodies whose callers have sent nothing for [Limits.Idle];
//   - for a small body: large ones that wait, the least advanced first;
//   - once a body has waited for [Limits.MaxWait]: the least advanced of all that are not
//     more advanced than it, which may be the body itself.
//
// [Limits.IsTooSlow] decides when a body ends for its own slowness, whether or not memory is short.
//
// # Usage
//
//	p := shedder.Decide(now, bodies, shedder.Room{Small: free, Large: freeLarge}, limits)
//	for _, id := range p.Granted {
//		// reserve what the body wants
//	}
package shedder

import (
	"cmp"
	"slices"
	"time"
)

// maxServed is the number of waiting bodies for which others are given up in one decision.
// The further ones are the least advanced, and their turn comes when the first are served.
// The bound keeps a decision cheap in a crowd.
const maxServed = 8

// Body is an unfinished body whose bytes are accounted for.
type Body struct {
	ID uint64
	// Large is true if the body is, or is announced as, larger than a small one.
	Large bool
	// Held is the number of reserved bytes, and Received the number of bytes of the body
	// that have arrived.
	Held     int64
	Received int64
	// Progress is the time of the last byte, or of the last grant if that is later.
	Progress time.Time
	// Wanted is the number of bytes that the body waits for since WaitingSince. It is zero
	// if the body is being read.
	Wanted       int64
	WaitingSince time.Time
}

// Room is the number of bytes that can be reserved, for small bodies and for large ones.
type Room struct {
	Small int64
	Large int64
	// Leaving is the number of bytes that bodies hold that were given up before, and
	// LeavingLarge the part of it that large ones hold. They become free soon.
	Leaving      int64
	LeavingLarge int64
}

// Limits are the limits of bodies.
type Limits struct {
	// Idle is the time without a byte after which a body is given up if another waits.
	// MaxWait is the time for which a body waits before less advanced ones are given up.
	Idle    time.Duration
	MaxWait time.Duration
	// Stall is the time without a byte after which a body ends in any case. From Grace
	// after its start on, a body must have arrived at MinRate bytes per second.
	Stall   time.Duration
	Grace   time.Duration
	MinRate int64
}

// IsTooSlow reports whether a body that has been read for the given time, without its
// waits, and of which the given number of bytes have arrived, falls below the minimum rate.
func (l Limits) IsTooSlow(elapsed time.Duration, received int64) bool {
	return elapsed > l.Grace && float64(received) < (elapsed-l.Grace).Seconds()*float64(l.MinRate)
}

// Plan is the result of a decision.
type Plan struct {
	// Granted are the bodies that get what they want, and Shed those that are given up.
	Granted []uint64
	Shed    []uint64
	// Next is the time at which a further decision may have another result, zero if only
	// a change of the input can bring one.
	Next time.Time
}

// Decide decides which bodies get room and which are given up. The bytes of those that are
// given up become free later, when their connections have ended; until then they must not
// be among the bodies.
func Decide(now time.Time, bodies []Body, room Room, l Limits) Plan {
	d := decision{now: now, limits: l, room: room, bodies: slices.Clone(bodies), shed: map[uint64]bool{}}
	var unserved []Body
	for _, b := range d.waiting() {
		if d.take(b) {
			d.plan.Granted = append(d.plan.Granted, b.ID)
		} else {
			unserved = append(unserved, b)
		}
	}
	d.room.Small += room.Leaving
	d.room.Large += room.LeavingLarge
	for i, b := range unserved {
		if i < maxServed {
			d.makeRoom(b)
		} else {
			d.endOverdue(b)
		}
	}
	return d.plan
}

// decision is the state of one decision.
type decision struct {
	now    time.Time
	limits Limits
	room   Room
	bodies []Body
	shed   map[uint64]bool
	plan   Plan
}

// waiting returns the bodies that wait in the order in which they are served.
func (d *decision) waiting() []Body {
	var out []Body
	for _, b := range d.bodies {
		if b.Wanted > 0 {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b Body) int {
		return cmp.Or(compareBool(a.Large, b.Large), -compareProgress(a, b), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// makeRoom gives bodies up until there will be room for b, which gets it in a later decision.
func (d *decision) makeRoom(b Body) {
	if d.shed[b.ID] {
		return
	}
	fits := d.take(b)
	for _, v := range d.victims(b) {
		if fits {
			return
		}
		d.giveUp(v)
		fits = d.take(b)
	}
	if !fits {
		d.endOverdue(b)
	}
}

// endOverdue gives a waiting body up if it has waited for too long.
func (d *decision) endOverdue(b Body) {
	overdue := b.WaitingSince.Add(d.limits.MaxWait)
	switch {
	case d.shed[b.ID]:
	case d.now.Before(overdue):
		d.wakeAt(overdue)
	default:
		d.giveUp(b)
	}
}

// take takes what b wants from the room.
func (d *decision) take(b Body) bool {
	if b.Wanted > d.room.Small || b.Large && b.Wanted > d.room.Large {
		return false
	}
	d.room.Small -= b.Wanted
	if b.Large {
		d.room.Large -= b.Wanted
	}
	return true
}

func (d *decision) giveUp(v Body) {
	d.shed[v.ID] = true
	d.plan.Shed = append(d.plan.Shed, v.ID)
	d.room.Small += v.Held
	if v.Large {
		d.room.Large += v.Held
	}
}

// victims returns the bodies that may be given up for b, in this order.
func (d *decision) victims(b Body) []Body {
	var idle, waitingLarge, lessAdvanced []Body
	overdue := !d.now.Before(b.WaitingSince.Add(d.limits.MaxWait))
	for _, v := range d.bodies {
		if d.shed[v.ID] || v.ID == b.ID || v.Held == 0 || b.Large && !v.Large {
			continue
		}
		idleAt := v.Progress.Add(d.limits.Idle)
		switch {
		case v.Wanted == 0 && !d.now.Before(idleAt):
			idle = append(idle, v)
		case !b.Large && v.Large && v.Wanted > 0:
			waitingLarge = append(waitingLarge, v)
		case overdue && (compareProgress(v, b) < 0 || v.Large && !b.Large):
			lessAdvanced = append(lessAdvanced, v)
		}
		if v.Wanted == 0 && d.now.Before(idleAt) {
			d.wakeAt(idleAt)
		}
	}
	slices.SortFunc(idle, func(a, b Body) int {
		return cmp.Or(a.Progress.Compare(b.Progress), cmp.Compare(a.ID, b.ID))
	})
	slices.SortFunc(waitingLarge, leastAdvancedFirst)
	slices.SortFunc(lessAdvanced, leastAdvancedFirst)
	return slices.Concat(idle, waitingLarge, lessAdvanced)
}

// wakeAt notes that a decision at the given time may have another result.
func (d *decision) wakeAt(t time.Time) {
	if d.plan.Next.IsZero() || t.Before(d.plan.Next) {
		d.plan.Next = t
	}
}

// leastAdvancedFirst orders large bodies before small ones, then by what has arrived.
func leastAdvancedFirst(a, b Body) int {
	return cmp.Or(-compareBool(a.Large, b.Large), compareProgress(a, b), cmp.Compare(b.ID, a.ID))
}

// compareProgress compares what has arrived of two bodies.
func compareProgress(a, b Body) int { return cmp.Compare(a.Received, b.Received) }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
