package main

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// Only an RFC 3339 time, a duration before now or an empty text must be accepted.
func TestParseTimeAcceptsTimeOrDurationBeforeNow(t *testing.T) {
	now := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		text string
		want time.Time
		ok   bool
	}{
		{"", time.Time{}, true},
		{"5m", now.Add(-5 * time.Minute), true},
		{"2s ago", now.Add(-2 * time.Second), true},
		{"2026-03-01T09:00:00Z", now.Add(-time.Hour), true},
		{"yesterday", time.Time{}, false},
	} {
		t.Run(c.text, func(t *testing.T) {
			got, err := parseTime(c.text, now)
			is.New(t).Equal(got, c.want)
			is.New(t).Equal(err == nil, c.ok)
		})
	}
}

// A violation must make the command fail, so that scripts detect it by the exit
// code.
func TestCheckPromisesFailsOnViolation(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	e := tracer.Event{Process: "a", Kind: tracer.KindStarted, Request: "r", Attempt: 1, NotRepeatable: true}
	is.NoErr(checkPromises(&out, []tracer.Event{e}))
	is.True(checkPromises(&out, []tracer.Event{e, e}) != nil)
	is.True(strings.Contains(out.String(), "P5 broken by started at a"))
}
