package collector

import (
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
)

// deadlineInterval is the minimum time between two changes of the read deadline of one
// body, so that the bodies of ordinary requests set it once.
const deadlineInterval = time.Second

// Source is a body that is to be read.
type Source struct {
	Reader io.Reader
	// Length is the announced length, negative if there is none. MaxBytes is the largest
	// length that is allowed.
	Length   int64
	MaxBytes int64
	// SetReadDeadline sets the deadline for reads from the connection. It must be safe to
	// call while a read is blocked.
	SetReadDeadline func(time.Time) error
	// HasUnread reports whether bytes of the body have arrived that were not read, as after
	// a freeze of the process. It may be nil.
	HasUnread func() bool
	// Caller is the address of the caller, for log lines.
	Caller string
}

// reading is the state of a body while it is read.
type reading struct {
	collector *Collector
	source    Source
	body      *Body
	segments  [][]byte
	received  int64
	// start is the time at which the body began, later by the time for which it has waited.
	start       time.Time
	deadlineSet time.Time
	// listing is set once the body is listed.
	listing *listing
}

// Read reads a body to its end. It returns nil for an empty one. Its errors have the type
// [*Error]. After one, the rest of the body is unread and the connection must be closed.
func (c *Collector) Read(s Source) (*Body, error) {
	r := &reading{collector: c, source: s, body: &Body{}, start: c.options.Clock.Now()}
	err := r.run()
	if r.listing != nil {
		if !r.listing.end() && err == nil {
			err = &Error{Op: "read", Kind: ErrorNoRoom, Err: errors.New("given up for others")}
		}
		c.put(event{kind: eventEnded, listing: r.listing})
	}
	if err != nil {
		r.body.Release()
		c.countRefusal(c.options.Clock.Now(), s, r.received, err)
		return nil, err
	}
	_ = s.SetReadDeadline(time.Time{})
	r.body.set(r.segments)
	return r.body, nil
}

// run reads segments until the end of the body.
func (r *reading) run() *Error {
	if r.source.Length > r.source.MaxBytes {
		return &Error{Op: "begin", Kind: ErrorTooLarge, Err: errors.Errorf("%d bytes are announced", r.source.Length)}
	}
	r.setDeadline(r.start)
	for {
		size := r.nextSize()
		if size == 0 {
			return r.expectEnd()
		}
		if err := r.reserve(size); err != nil {
			return err
		}
		segment := make([]byte, size)
		n, ended, err := r.fill(segment)
		if err != nil {
			return err
		}
		if n > 0 {
			r.segments = append(r.segments, segment[:n])
		}
		if ended {
			return nil
		}
	}
}

// nextSize returns the size of the next segment: as much as has arrived, within bounds.
func (r *reading) nextSize() int64 {
	left := r.source.MaxBytes - r.received
	if r.source.Length >= 0 {
		left = r.source.Length - r.received
	}
	return min(left, max(reserver.ShareBytes, min(r.received, maxSegmentBytes)))
}

// expectEnd checks that a body of the largest length has ended.
func (r *reading) expectEnd() *Error {
	if r.source.Length >= 0 {
		return nil
	}
	n, ended, err := r.fill(make([]byte, 1))
	switch {
	case err != nil:
		return err
	case n > 0 || !ended:
		return &Error{Op: "read", Kind: ErrorTooLarge, Err: errors.Errorf("more than %d bytes", r.source.MaxBytes)}
	}
	return nil
}

// fill reads until the segment is full or the body has ended.
func (r *reading) fill(segment []byte) (n int, ended bool, failure *Error) {
	for n < len(segment) {
		k, err := r.source.Reader.Read(segment[n:])
		n += k
		if failure := r.recordRead(k); failure != nil {
			return n, false, failure
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && (r.source.Length < 0 || r.received == r.source.Length):
			return n, true, nil
		default:
			return n, false, r.readError(err)
		}
	}
	return n, r.received == r.source.Length, nil
}

// recordRead counts bytes that have arrived. It returns an error if the body is too slow or
// was given up.
func (r *reading) recordRead(n int) *Error {
	r.received += int64(n)
	if n == 0 {
		return nil
	}
	now := r.collector.options.Clock.Now()
	if l := r.listing; l != nil {
		l.received.Store(r.received)
		l.progress.Store(now.UnixNano())
		if l.isInterrupted() {
			return &Error{Op: "read", Kind: ErrorNoRoom, Err: errors.New("given up for others")}
		}
	}
	if r.received == r.source.Length || now.Sub(r.deadlineSet) < deadlineInterval {
		return nil
	}
	if r.collector.options.Limits.IsTooSlow(now.Sub(r.start), r.received) {
		return &Error{Op: "read", Kind: ErrorSlow, Err: errors.Errorf("%d bytes arrived in %v", r.received, now.Sub(r.start))}
	}
	r.setDeadline(now)
	return nil
}

// setDeadline gives the next bytes time until they count as stalled. An interruption after
// that sets it again, so that none is lost: the state is looked at last.
func (r *reading) setDeadline(now time.Time) {
	r.deadlineSet = now
	_ = r.source.SetReadDeadline(now.Add(r.collector.options.Limits.Stall))
	if r.listing != nil && r.listing.isInterrupted() {
		_ = r.source.SetReadDeadline(time.Unix(1, 0))
	}
}

// readError returns the error of a read that failed.
func (r *reading) readError(err error) *Error {
	switch {
	case r.listing != nil && r.listing.isInterrupted():
		return &Error{Op: "read", Kind: ErrorNoRoom, Err: errors.New("given up for others")}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &Error{Op: "read", Kind: ErrorSlow, Err: err}
	}
	return &Error{Op: "read", Kind: ErrorIncomplete, Err: err}
}

// reserve reserves the bytes of the next segment. It waits if there is no room.
func (r *reading) reserve(size int64) *Error {
	c := r.collector
	large := r.source.Length > SmallBytes || r.received+size > SmallBytes
	if c.options.Budget == nil || r.received+size <= reserver.ShareBytes {
		return nil
	}
	if r.listing == nil && !large && r.body.reserve(c.unlisted, size) {
		return nil
	}
	if limit := c.large.Stats().Limit; large && r.body.held.Load()+size > limit {
		// It would have others given up and never fit.
		return &Error{Op: "reserve", Kind: ErrorNoRoom, Err: errors.Errorf("the budget for large bodies is %d bytes", limit)}
	}
	if r.listing == nil {
		r.list()
	}
	asked := c.options.Clock.Now()
	if !c.put(event{kind: eventWanted, listing: r.listing, large: large, bytes: size}) || !r.awaitReply() {
		return &Error{Op: "reserve", Kind: ErrorNoRoom, Err: errors.Errorf("%d more bytes do not fit", size)}
	}
	now := c.options.Clock.Now()
	r.start = r.start.Add(now.Sub(asked))
	r.setDeadline(now)
	return nil
}

// list gives the body a listing.
func (r *reading) list() {
	l := &listing{
		id: r.collector.nextID.Add(1), body: r.body,
		setReadDeadline: r.source.SetReadDeadline, hasUnread: r.source.HasUnread, replies: make(chan bool, 1),
	}
	l.received.Store(r.received)
	l.progress.Store(r.collector.options.Clock.Now().UnixNano())
	r.listing = l
}

// awaitReply waits until the goroutine of the collector has reserved what the body wants.
func (r *reading) awaitReply() bool {
	select {
	case granted := <-r.listing.replies:
		return granted
	case <-r.collector.done:
		return false
	}
}
