package carrier

import (
	"bytes"
	"strconv"
)

// maxEventBytes is the maximum size of an incomplete event that is buffered.
const maxEventBytes = 1 << 20

// splitter splits a stream into whole server-sent events. The zero value is ready
// for the start of a stream.
type splitter struct {
	// lastID is the ID of the last event that was returned, empty if no event had
	// an ID.
	lastID string
	// partial holds the bytes after the last complete event.
	partial []byte
}

// split appends b to the stream and returns the bytes that are now complete and the
// number of events with content among them. It drops repeated events, whose ID is not
// newer than lastID. It reports false if the incomplete event exceeds maxEventBytes.
func (s *splitter) split(b []byte) (whole []byte, events int, ok bool) {
	data := b
	if len(s.partial) > 0 {
		s.partial = append(s.partial, b...)
		data, s.partial = s.partial, nil
	}
	for {
		end := eventEnd(data)
		if end < 0 {
			break
		}
		event := data[:end]
		data = data[end:]
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
		}
	}
	if len(data) > 0 {
		s.partial = append([]byte(nil), data...)
	}
	return whole, events, len(s.partial) <= maxEventBytes
}

// eventEnd returns the index after the blank line that ends the first event, -1
// if the event is incomplete.
func eventEnd(data []byte) int {
	lf := bytes.Index(data, []byte("\n\n"))
	crlf := bytes.Index(data, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case crlf < 0 || lf >= 0 && lf < crlf:
		return lf + 2
	}
	return crlf + 4
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
