package starter

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/driver"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// While a leaving agent finishes a long answer, no entry may send it a new attempt
// later than 3 s after it began to leave, whether or not that entry has sent it
// attempts before.
func TestLeavingAgentGetsNoNewAttempt(t *testing.T) {
	is := is.New(t)
	h := driver.Header{
		Classes: []driver.Class{{Name: "renter-chat", Tier: 2, Repeatable: true}},
		Systems: driver.Systems{Entries: 2, Engines: 2, Slots: 4, Gap: driver.Duration(25 * time.Millisecond)},
	}
	f := startFleet(t, timer.System{}, h)
	urls := f.urls()
	run := func(url string, requests ...driver.Request) *driver.Driver {
		return driver.New(driver.Options{URLs: []string{url}, Keys: map[string]string{"": DemoKey}, Clock: timer.System{}, Trace: driver.Trace{Header: h, Requests: requests}})
	}
	// Answers of 190 tokens take 4.75 s.
	long := driver.Request{Class: "renter-chat", Model: "desk", Stream: true, AnswerTokens: 190}
	first, second := long, long
	first.Content, second.Content = 1, 2
	busy := run(urls[0], first, second)
	f.waitFor(func() bool {
		return f.countEvents(tracer.KindStarted, "desk-1") > 0 && f.countEvents(tracer.KindStarted, "desk-2") > 0
	})
	stopped := make(chan error, 1)
	go func() { stopped <- f.agents["desk-1"].stop(context.Background()) }()
	f.waitFor(func() bool { return f.countEvents(tracer.KindMemberLeaving, "desk-1") > 0 })
	var late []driver.Request
	for i := range 20 {
		late = append(late, driver.Request{Class: "renter-chat", Model: "desk", AnswerTokens: 1, Content: 10 + i, At: driver.Duration(3100*time.Millisecond) + driver.Duration(i)*driver.Duration(20*time.Millisecond)})
	}
	is.Equal(run(urls[1], late...).Wait().Total.Answered, len(late))
	is.Equal(busy.Wait().Total.Answered, 2)
	is.NoErr(<-stopped)
	assertPromises(t, f.events())
}

// countEvents returns the number of events of kind k that name an upstream.
func (f *fleet) countEvents(k tracer.Kind, upstream string) int {
	n := 0
	for _, e := range f.events() {
		if e.Kind == k && e.Upstream == upstream {
			n++
		}
	}
	return n
}
