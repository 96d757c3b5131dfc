package carrier

import (
	"bytes"
	"strconv"
)

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

// splitter cuts a stream into whole server-sent events. The zero value is at
// the start of a stream.
type splitter struct {
	// last is the identity of the last event that was taken, empty if there was
	// none with an identity.
	last string
	rest []byte
}

// add takes in bytes of the stream and returns those of all events that are
// now complete, without the ones at or before the last identity, and their
// number. It reports false if an event is too long.
func (s *splitter) add(b []byte) (whole []byte, events int, ok bool) {
	data := b
	if len(s.rest) > 0 {
		s.rest = append(s.rest, b...)
		data, s.rest = s.rest, nil
	}
	for {
		end := eventEnd(data)
		if end < 0 {
			break
		}
		event := data[:end]
		data = data[end:]
		id := eventID(event)
		if id != "" && !after(id, s.last) {
			continue
		}
		if id != "" {
			s.last = id
		}
		whole = append(whole, event...)
		events++
	}
	if len(data) > 0 {
		s.rest = append([]byte(nil), data...)
	}
	return whole, events, len(s.rest) <= maxEvent
}

// eventEnd returns the index behind the blank line that ends the first event,
// or -1.
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

// eventID returns the identity of an event, empty if it has none.
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

// after reports whether an event comes after the last one. Identities that are
// not numbers have no order; only a repetition of the last is known then.
func after(id, last string) bool {
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
