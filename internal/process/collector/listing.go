package collector

import (
	"sync/atomic"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/shedder"
)

// eventKind is the type of an [event].
type eventKind int

const (
	// eventWanted means that a body waits for room. It is listed from then on.
	eventWanted eventKind = iota
	// eventEnded means that a body is not read any more.
	eventEnded
)

// event is an input of the goroutine of a collector. Only the fields of its kind are set.
type event struct {
	kind    eventKind
	listing *listing
	large   bool
	bytes   int64
}

// The states of the reader of a listed body.
const (
	readerActive int32 = iota
	readerEnded
	readerInterrupted
)

// listing is an unfinished body that is known to the goroutine of the collector. The
// reader writes the atomic fields; the others belong to the goroutine.
type listing struct {
	id   uint64
	body *Body
	// received is the number of bytes that have arrived, and progress the time of the last
	// in nanoseconds since 1970.
	received atomic.Int64
	progress atomic.Int64
	state    atomic.Int32
	// setReadDeadline sets the deadline of the connection.
	setReadDeadline func(time.Time) error
	// hasUnread is that of the [Source].
	hasUnread func() bool
	// replies gets a value for each event eventWanted: whether the bytes are reserved.
	replies chan bool

	large        bool
	wanted       int64
	waitingSince time.Time
}

// view returns the body as the shedder sees it.
func (l *listing) view() shedder.Body {
	return shedder.Body{
		ID: l.id, Large: l.large, Held: l.body.held.Load(), Received: l.received.Load(),
		Progress: time.Unix(0, l.progress.Load()), Wanted: l.wanted, WaitingSince: l.waitingSince,
	}
}

// isUnread reports whether a body that is read has bytes that its reader has not taken yet.
func (l *listing) isUnread() bool { return l.wanted == 0 && l.hasUnread != nil && l.hasUnread() }

// interrupt ends the read of a body unless it has ended. The deadline of the connection is
// changed only before the reader has ended, since another request may follow on it.
func (l *listing) interrupt() {
	if l.state.CompareAndSwap(readerActive, readerInterrupted) {
		_ = l.setReadDeadline(time.Unix(1, 0))
	}
}

// end marks the reader as ended. It reports false if it was interrupted.
func (l *listing) end() bool { return l.state.CompareAndSwap(readerActive, readerEnded) }

// isInterrupted reports whether the body was given up while it was read.
func (l *listing) isInterrupted() bool { return l.state.Load() == readerInterrupted }
