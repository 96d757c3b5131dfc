package carrier

import (
	"bytes"
	"strconv"
)

const (
	// maxEventBytes is the maximum size of an incomplete event that is buffered. The
	// budget of the process may end the buffering earlier.
	maxEventBytes = 128 << 10
	// maxKeptBytes is the capacity up to which the buffer for an incomplete event is kept
	// for the next one.
	maxKeptBytes = bodyReadBytes
	// maxEndBytes is the length of the longest sequence that ends an event.
	maxEndBytes = len("\r\n\r\n")
)

// splitter splits a stream into whole server-sent events. The zero value is ready
// for the start of a stream.
type splitter struct {
	// lastID is the ID of the last event that was returned, empty if no event had
	// an ID.
	lastID string
	// unnumbered is true once an event with content but without an ID was returned.
	unnumbered bool
	// partial holds the bytes after the last complete event.
	partial []byte
}

// split appends b to the stream and returns the bytes that are now complete and the
// number of events with content among them. It drops repeated events, whose ID is not
// newer than lastID. It reports false if the incomplete event exceeds maxEventBytes.
func (s *splitter) split(b []byte) (whole []byte, events int, ok bool) {
	data, start, scanned := b, 0, 0
	if len(s.partial) > 0 {
		// The earlier bytes hold no end of an event, but may hold the beginning of one.
		scanned = max(0, len(s.partial)-maxEndBytes+1)
		s.grow(len(b))
		s.partial = append(s.partial, b...)
		data = s.partial
	}
	for {
		end := eventEnd(data, scanned)
		if end < 0 {
			break
		}
		event := data[start:end]
		start, scanned = end, end
		id := eventID(event)
		if id != "" && !isNewer(id, s.lastID) {
			continue
		}
		if id != "" {
			s.lastID = id
		}
		whole = append(whole, event...)
		if hasContent(event) {
			events++
			s.unnumbered = s.unnumbered || id == ""
		}
	}
	switch {
	case start > 0 && cap(s.partial) > maxKeptBytes:
		s.partial = bytes.Clone(data[start:])
	case start > 0 || len(s.partial) == 0:
		s.partial = append(s.partial[:0], data[start:]...)
	}
	return whole, events, len(s.partial) <= maxEventBytes
}

// grow makes room for n bytes after the incomplete event. It at least doubles the buffer,
// which leaves less garbage than growing by what is read.
func (s *splitter) grow(n int) {
	if need := len(s.partial) + n; need > cap(s.partial) {
		s.partial = append(make([]byte, 0, max(need, 2*cap(s.partial))), s.partial...)
	}
}

// held returns the number of bytes that the incomplete event takes in memory. The buffer
// that is kept for small ones counts as far as it is used.
func (s *splitter) held() int {
	if cap(s.partial) > maxKeptBytes {
		return cap(s.partial)
	}
	return len(s.partial)
}

// eventEnd returns the index after the first blank line from the given index on, -1 if
// there is none.
func eventEnd(data []byte, from int) int {
	lf := bytes.Index(data[from:], []byte("\n\n"))
	crlf := bytes.Index(data[from:], []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case crlf < 0 || lf >= 0 && lf < crlf:
		return from + lf + 2
	}
	return from + crlf + 4
}

// eventID returns the id field of an event, empty if there is none.
func eventID(event []byte) string {
	for len(event) > 0 {
		line := event
		if i := bytes.IndexByte(event, '\n'); i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// hasContent reports whether an event has a field, and not only comments and empty
// lines.
func hasContent(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// isNewer reports whether the event with this ID follows the one with the ID
// last. IDs that are not integers have no order, so that only a repetition of
// last itself is recognised.
func isNewer(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
