package limiter

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// cluster is a set of holders and the owner of the limit of one organisation.
type cluster struct {
	now        time.Time
	limit      Limit
	owner      Owner
	holders    []*Holder
	admittedAt []time.Time
	// inFlight is the number of requests in flight of each holder.
	inFlight    []int
	lastRequest int
}

func newCluster(entries int, l Limit) *cluster {
	c := &cluster{now: time.Unix(1000, 0), limit: l, inFlight: make([]int, entries)}
	for i := range entries {
		c.holders = append(c.holders, &Holder{Entry: fmt.Sprint("entry-", i)})
	}
	return c
}

// request sends one request to holder i and reports whether it was admitted. The
// owner does not answer reports if ownerLost is true.
func (c *cluster) request(i int, ownerLost bool) bool {
	c.lastRequest++
	return c.handleDecision(i, c.holders[i].Step(c.now, Event{
		Kind: EventRequested, Organisation: "o", Request: fmt.Sprint(c.lastRequest), Limit: c.limit, Entries: len(c.holders),
	}), ownerLost)
}

// handleDecision records the admitted requests of holder i, passes its report to
// the owner and reports whether any request was admitted.
func (c *cluster) handleDecision(i int, d Decision, ownerLost bool) bool {
	admitted := len(d.Admitted) > 0
	for range d.Admitted {
		c.admittedAt = append(c.admittedAt, c.now)
		c.inFlight[i]++
	}
	if d.Report == nil {
		return admitted
	}
	e := Event{Kind: EventUnanswered, Organisation: "o", Entries: len(c.holders)}
	if !ownerLost {
		e.Kind, e.Share = EventShared, c.owner.Divide(c.now, *d.Report)
	}
	return c.handleDecision(i, c.holders[i].Step(c.now, e), ownerLost) || admitted
}

// advance moves the time and sends an EventTicked to each holder that is due.
func (c *cluster) advance(d time.Duration) {
	c.now = c.now.Add(d)
	for i, h := range c.holders {
		if at := h.Wake(); !at.IsZero() && !at.After(c.now) {
			c.handleDecision(i, h.Step(c.now, Event{Kind: EventTicked, Organisation: "o"}), false)
		}
	}
}

func (c *cluster) end(i int) {
	if c.inFlight[i] > 0 {
		c.inFlight[i]--
		c.handleDecision(i, c.holders[i].Step(c.now, Event{Kind: EventEnded, Organisation: "o"}), false)
	}
}

// TestAdmittedRequestsStayWithinLimit checks that all entries together stay
// within the limit for random requests. They would exceed it if the owner did not
// subtract the valid shares of the other entries.
func TestAdmittedRequestsStayWithinLimit(t *testing.T) {
	if c := flag.Lookup("rapid.seed"); c.Value.String() == c.DefValue {
		is.New(t).NoErr(flag.Set("rapid.seed", "20261204"))
	}
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Rate: float64(rapid.IntRange(1, 50).Draw(t, "rate")), Concurrency: rapid.IntRange(1, 40).Draw(t, "concurrency")}
		c := newCluster(rapid.IntRange(1, 8).Draw(t, "entries"), l)
		start := c.now
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			i := rapid.IntRange(0, len(c.holders)-1).Draw(t, "entry")
			if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				c.end(i)
			} else {
				c.request(i, false)
			}
			c.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			assertWithinLimit(t, c, start)
		}
	})
}

// TestHolderAdmission checks how many requests a holder admits with and without
// an owner.
func TestHolderAdmission(t *testing.T) {
	t.Run("one of many entries admits a request under a small limit", func(t *testing.T) {
		c := newCluster(410, Limit{Rate: 5})
		is.New(t).True(c.request(17, false))
	})
	t.Run("a burst within the limit is admitted", func(t *testing.T) {
		c := newCluster(1, Limit{Rate: 40})
		for range 15 {
			assertAdmits(t, c, 0, true)
		}
	})
	t.Run("a request over the limit is refused at once", func(t *testing.T) {
		c := newCluster(1, Limit{Rate: 1})
		assertAdmits(t, c, 0, true, false)
	})
	t.Run("a holder without an owner admits its equal part of the limit", func(t *testing.T) {
		c := newCluster(2, Limit{Concurrency: 4})
		for _, want := range []bool{true, true, false} {
			is.New(t).Equal(c.request(0, true), want)
		}
	})
	t.Run("requests in flight count against the limit after the share shrinks", func(t *testing.T) {
		c := newCluster(2, Limit{Concurrency: 10})
		c.now = c.now.Add(ShareValid)
		for range 100 {
			c.request(0, false)
			c.request(1, false)
			c.now = c.now.Add(200 * time.Millisecond)
		}
		is.New(t).True(c.inFlight[0]+c.inFlight[1] <= 10)
	})
	t.Run("the share of a failed entry becomes available to others", func(t *testing.T) {
		c := newCluster(2, Limit{Rate: 10})
		c.now = c.now.Add(ShareValid)
		assertAdmittedRate(t, c, 0, 20*time.Second, 9)
		// Entry 0 sends no reports from here on.
		assertAdmittedRate(t, c, 1, 20*time.Second, 8)
	})
}

// assertAdmits sends one request to holder i for each value of want, which says
// whether it must be admitted.
func assertAdmits(t *testing.T, c *cluster, i int, want ...bool) {
	t.Helper()
	for _, w := range want {
		is.New(t).Equal(c.request(i, false), w)
	}
}

// assertAdmittedRate sends 20 requests per second to holder i for the duration d
// and checks that at least minRate per second are admitted.
func assertAdmittedRate(t *testing.T, c *cluster, i int, d time.Duration, minRate float64) {
	t.Helper()
	before, until := len(c.admittedAt), c.now.Add(d)
	for c.now.Before(until) {
		c.request(i, false)
		c.now = c.now.Add(50 * time.Millisecond)
	}
	is.New(t).True(float64(len(c.admittedAt)-before)/d.Seconds() >= minRate)
}

// assertWithinLimit checks the requests in flight, and the requests admitted since
// start, against the limit.
func assertWithinLimit(t *rapid.T, c *cluster, start time.Time) {
	running := 0
	for _, n := range c.inFlight {
		running += n
	}
	if running > c.limit.Concurrency {
		t.Fatalf("%d requests in flight, limit %d", running, c.limit.Concurrency)
	}
	bound := c.limit.Rate*(c.now.Sub(start)+burstDuration).Seconds() + float64(len(c.holders))
	if float64(len(c.admittedAt)) > bound {
		t.Fatalf("%d requests admitted, bound %.1f", len(c.admittedAt), bound)
	}
}
