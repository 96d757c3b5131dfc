package merger

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// contentionEvents returns events in which request a waits 300 ms for request b
// and misses its first token target of 1 s.
func contentionEvents() []tracer.Event {
	event := func(milliseconds int64, process string, k tracer.Kind, id string, change func(*tracer.Event)) tracer.Event {
		e := tracer.Event{Stamp: tracer.Stamp{Wall: milliseconds * int64(time.Millisecond)}, Process: process, Kind: k, Request: id, Attempt: 1, Class: "chat", Tier: 2}
		if process == "agent" || k == tracer.KindSent {
			e.Upstream = "desk-1"
		}
		if change != nil {
			change(&e)
		}
		return e
	}
	events := []tracer.Event{
		event(1000, "agent", tracer.KindQueued, "b", nil),
		event(1000, "agent", tracer.KindStarted, "b", nil),
		event(1100, "entry", tracer.KindAdmitted, "a", func(e *tracer.Event) { e.FirstTokenTarget = time.Second; e.Attempt = 0 }),
		event(1100, "entry", tracer.KindSent, "a", nil),
		event(1200, "agent", tracer.KindQueued, "a", nil),
		event(1500, "agent", tracer.KindFinished, "b", nil),
		event(1500, "agent", tracer.KindStarted, "a", nil),
		event(2300, "agent", tracer.KindFirstToken, "a", nil),
		event(2301, "entry", tracer.KindFirstToken, "a", nil),
		event(2700, "agent", tracer.KindFinished, "a", func(e *tracer.Event) { e.Tokens = 5 }),
		event(2701, "entry", tracer.KindAnswered, "a", func(e *tracer.Event) { e.Tokens = 5; e.Gap = 100 * time.Millisecond }),
	}
	for i := range events {
		events[i].Stamp.Logical = int64(i)
	}
	return events
}

// TestMergeRemovesDuplicates checks that overlapping lists, such as those of a file
// and a process, are merged in causal order with each event once.
func TestMergeRemovesDuplicates(t *testing.T) {
	is := is.New(t)
	all := contentionEvents()
	merged := Merge(all[4:], all[:6])
	is.Equal(merged, all)
}

func TestSelectReturnsMatchingRequests(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Filter{Request: "b"}.Select(contentionEvents())), 3)
	is.Equal(len(Filter{Upstream: "desk-1"}.Select(contentionEvents())), 11)
	is.Equal(len(Filter{Since: time.Unix(2, 0)}.Select(contentionEvents())), 4)
	is.Equal(len(Filter{Class: "none"}.Select(contentionEvents())), 0)
}

// TestExplainReportsMissedTarget checks that an explanation contains the missed
// target, the duration of each phase and the contender.
func TestExplainReportsMissedTarget(t *testing.T) {
	is := is.New(t)
	s, ok := Explain(contentionEvents(), "a")
	is.True(ok)
	is.Equal(s.Missed, []string{"first token took 1.201s of 1s"})
	is.Equal(s.Queue, 300*time.Millisecond)
	is.Equal(s.Prefill, 800*time.Millisecond)
	is.Equal(s.Tokens, 400*time.Millisecond)
	is.Equal(s.RetryTime, time.Duration(0))
	is.Equal(s.BlockedBy, []Contender{{Request: "b", Class: "chat", Tier: 2, Overlap: 300 * time.Millisecond}})
	var b bytes.Buffer
	_, err := s.WriteTo(&b)
	is.NoErr(err)
	is.True(strings.Contains(b.String(), "waited for b of class chat (tier 2) for 300ms"))
	_, ok = Explain(contentionEvents(), "b")
	is.True(!ok)
}

// TestWriteContainsAllEvents checks that each format contains all events, and that
// the HTML page escapes them and refers to no external resource.
func TestWriteContainsAllEvents(t *testing.T) {
	t.Run("JSON lines are read back unchanged", func(t *testing.T) {
		is := is.New(t)
		var b bytes.Buffer
		is.NoErr(WriteJSON(&b, contentionEvents()))
		back, err := Read(&b)
		is.NoErr(err)
		is.Equal(back, contentionEvents())
	})
	t.Run("text has one line for each event", func(t *testing.T) {
		is := is.New(t)
		var b bytes.Buffer
		is.NoErr(WriteText(&b, contentionEvents()))
		is.Equal(strings.Count(b.String(), "\n"), 12)
	})
	t.Run("HTML page escapes events and is self-contained", func(t *testing.T) {
		is := is.New(t)
		events := contentionEvents()
		events[0].Reason = "<script>alert(1)</script>"
		s, _ := Explain(events, "a")
		var b bytes.Buffer
		is.NoErr(WriteHTML(&b, "time line", events, &s))
		is.Equal(strings.Count(b.String(), "<tr>"), 12)
		is.Equal(strings.Count(b.String(), "<rect class=\"queue\""), 2)
		is.True(!strings.Contains(b.String(), "<script>"))
		is.True(!strings.Contains(b.String(), "http"))
	})
}

func TestReadErrorNamesLine(t *testing.T) {
	_, err := Read(strings.NewReader("{}\n{\n"))
	is.New(t).True(strings.Contains(err.Error(), "line 2"))
}
