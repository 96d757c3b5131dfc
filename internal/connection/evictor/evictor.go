// Package evictor chooses the connections of callers that a server closes when it runs out
// of descriptors.
//
// A connection on which a request is served, or whose head is arriving, is never chosen.
// Of the others, those that have brought nothing go first: connections that never sent a
// byte, and heads that have stopped arriving. Connections whose callers have had an answer
// follow. Within both groups, the one that has waited longest goes first.
//
// The package decides only. It reads no clock and closes nothing.
//
// # Usage
//
//	c := evictor.Choose(now, connections, 8)
//	for _, i := range c.Evict {
//		// close connections[i]
//	}
package evictor

import (
	"slices"
	"time"
)

const (
	// SilentGrace is the minimum age of a connection without a byte. Callers send their
	// requests right after they have connected, within a few milliseconds of latency. A
	// longer grace lets fewer new connections through a crowd of silent ones.
	SilentGrace = 50 * time.Millisecond
	// HeadPause is the time without a byte after which a head is no longer arriving. It
	// leaves room for a segment that is lost twice.
	HeadPause = time.Second
)

// Activity is what a connection is used for at a moment.
type Activity int

// The activities.
const (
	// ActivityBusy means that a request is served, or that the connection is being closed.
	ActivityBusy Activity = iota
	// ActivitySilent means that the caller has never sent a byte.
	ActivitySilent
	// ActivityHead means that a part of the head of a request has arrived.
	ActivityHead
	// ActivityIdle means that the last answer has ended and no other request has begun to
	// arrive.
	ActivityIdle
)

// Connection is the state of a connection.
type Connection struct {
	Activity Activity
	// Since is the time of the last byte within a head, and else the start of the activity.
	Since time.Time
}

// Choice is the result of [Choose].
type Choice struct {
	// Evict holds the indexes of the connections to close, the first to go first.
	Evict []int
	// Next is the time at which another connection can be chosen if none changes, or zero
	// if there is none.
	Next time.Time
}

// Choose chooses up to n connections.
func Choose(now time.Time, connections []Connection, n int) Choice {
	var c Choice
	for i, conn := range connections {
		at, ok := evictableAt(conn)
		switch {
		case !ok:
		case !at.After(now):
			c.Evict = append(c.Evict, i)
		case c.Next.IsZero() || at.Before(c.Next):
			c.Next = at
		}
	}
	slices.SortStableFunc(c.Evict, func(i, j int) int { return compare(connections[i], connections[j]) })
	if len(c.Evict) > n {
		c.Evict, c.Next = c.Evict[:n], now
	}
	return c
}

// evictableAt returns the time from which a connection may be chosen, or false if it may
// not.
func evictableAt(c Connection) (time.Time, bool) {
	switch c.Activity {
	case ActivitySilent:
		return c.Since.Add(SilentGrace), true
	case ActivityHead:
		return c.Since.Add(HeadPause), true
	case ActivityIdle:
		return c.Since, true
	}
	return time.Time{}, false
}

// compare orders connections by when they go.
func compare(a, b Connection) int {
	if served := a.Activity == ActivityIdle; served != (b.Activity == ActivityIdle) {
		if served {
			return 1
		}
		return -1
	}
	return a.Since.Compare(b.Since)
}
