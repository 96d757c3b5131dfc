package recorder

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

func newRecorderWithEvents(t *testing.T, maxEvents, n int) *Recorder {
	t.Helper()
	r := New(Options{Process: "p", Clock: timer.NewManual(time.Unix(1, 0)), MaxEvents: maxEvents})
	for i := range n {
		r.Record(tracer.Event{Kind: tracer.KindQueued, Request: fmt.Sprint(i), Reason: strings.Repeat("x", 2000)})
	}
	return r
}

// The pages together must contain every event once and in order, and each page
// must fit into one message.
func TestPagesContainAllEventsAndFitIntoMessage(t *testing.T) {
	is := is.New(t)
	r := newRecorderWithEvents(t, 0, 1000)
	defer r.Stop()
	var q Query
	var got []string
	for more := true; more; {
		p := r.Page(t.Context(), q)
		data, err := json.Marshal(p)
		is.NoErr(err)
		is.True(len(data) < 1<<20)
		for _, e := range p.Events {
			got = append(got, e.Request)
		}
		q.After, more = p.Events[len(p.Events)-1].Stamp, p.More
	}
	is.Equal(len(got), 1000)
	for i, id := range got {
		is.Equal(id, fmt.Sprint(i))
	}
}

// When the buffer is full, the oldest events must be overwritten. The latest
// events must remain readable after the recorder has stopped.
func TestFullRecorderRetainsLatestEvents(t *testing.T) {
	is := is.New(t)
	r := newRecorderWithEvents(t, 10, 25)
	assertStored(t, r, 15, 10)
	is.Equal(len(r.Fetch(t.Context(), Query{Limit: 3})), 3)
	is.Equal(len(r.Fetch(t.Context(), Query{Request: "20"})), 1)
	r.Stop()
	assertStored(t, r, 15, 10)
}

func assertStored(t *testing.T, r *Recorder, first, n int) {
	t.Helper()
	events := r.Fetch(t.Context(), Query{})
	is.New(t).Equal(len(events), n)
	for i, e := range events {
		is.New(t).Equal(e.Request, fmt.Sprint(first+i))
		is.New(t).Equal(len(e.Reason), maxReasonBytes)
	}
}
