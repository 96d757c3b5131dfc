package merger

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// WriteJSON writes each event as a line of JSON.
func WriteJSON(w io.Writer, events []tracer.Event) error {
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return &Error{Op: "write", Kind: ErrorWrite, Err: err}
		}
	}
	return flush(b)
}

// WriteText writes each event as a line of text that begins with the time since
// the first event in seconds.
func WriteText(w io.Writer, events []tracer.Event) error {
	b := bufio.NewWriter(w)
	if len(events) > 0 {
		_, _ = fmt.Fprintf(b, "events from %s\n", timeOf(events[0]).UTC().Format("2006-01-02T15:04:05.000Z"))
	}
	for _, e := range events {
		_, _ = fmt.Fprintf(b, "%+10.4f  %-16s %-17s %s\n", timeOf(e).Sub(timeOf(events[0])).Seconds(), e.Process, e.Kind, formatFields(e))
	}
	return flush(b)
}

func flush(b *bufio.Writer) error {
	if err := b.Flush(); err != nil {
		return &Error{Op: "write", Kind: ErrorWrite, Err: err}
	}
	return nil
}

// formatFields returns the fields of an event that are set, as key=value pairs.
func formatFields(e tracer.Event) string {
	out := ""
	add := func(key string, value any, set bool) {
		if set {
			out += fmt.Sprintf("%s=%v ", key, value)
		}
	}
	add("request", e.Request, e.Request != "")
	add("attempt", e.Attempt, e.Attempt != 0)
	add("class", e.Class, e.Class != "")
	add("tier", e.Tier, e.Tier != 0)
	add("organisation", e.Organisation, e.Organisation != "")
	add("upstream", e.Upstream, e.Upstream != "")
	add("tokens", e.Tokens, e.Tokens != 0)
	add("revision", e.Revision, e.Revision != 0)
	add("promise", e.Promise, e.Promise != "")
	add("cause", e.Cause, e.Cause != "")
	add("outcome", e.Outcome, e.Outcome != "")
	add("reason", fmt.Sprintf("%q", e.Reason), e.Reason != "")
	return out
}
