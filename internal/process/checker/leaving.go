package checker

import (
	"time"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	// leavingGrace is the period after which a leaving upstream must get no new
	// requests.
	leavingGrace = 3 * time.Second
	// maxObservers limits the processes that are tracked for one leaving upstream.
	maxObservers = 64
)

// upstream is the leaving state of one upstream.
type upstream struct {
	// leavingSince is the time of its first leaving event, which its agent or an
	// entry recorded, or zero.
	leavingSince time.Time
	// observedAt maps each process that has recorded a leaving event of the upstream
	// to the time of that event.
	observedAt map[string]time.Time
}

func (c *Checker) upstream(name string) *upstream {
	u := c.upstreams.get(name)
	if u == nil {
		u, _ = c.upstreams.add(name, maxProcesses)
		u.observedAt = map[string]time.Time{}
	}
	return u
}

// checkLeaving checks P6: no entry sends a request to an upstream later than 3 s
// after the first leaving event of that upstream. In the merged timeline this is the
// event of its agent, in the timeline of an entry the entry's own.
func (c *Checker) checkLeaving(e tracer.Event) {
	if e.Upstream == "" {
		return
	}
	switch e.Kind {
	case tracer.KindProcessStarted:
		*c.upstream(e.Upstream) = upstream{observedAt: map[string]time.Time{}}
	case tracer.KindMemberLeaving:
		u := c.upstream(e.Upstream)
		if len(u.observedAt) < maxObservers {
			u.observedAt[e.Process] = wallTime(e)
		}
		if u.leavingSince.IsZero() {
			u.leavingSince = wallTime(e)
		}
	case tracer.KindMemberGone:
		u := c.upstream(e.Upstream)
		delete(u.observedAt, e.Process)
		if len(u.observedAt) == 0 {
			// All processes that recorded the leaving have dropped the upstream, so a
			// request may go to its successor of the same name.
			u.leavingSince = time.Time{}
		}
	case tracer.KindSent:
		u := c.upstreams.get(e.Upstream)
		if u == nil || u.leavingSince.IsZero() {
			return
		}
		if late := wallTime(e).Sub(u.leavingSince); late > leavingGrace {
			c.reportf(P6, e, "sent to %s %v after it began to leave", e.Upstream, late)
		}
	}
}

// checkStop checks P7: a process that stops gracefully has no runs and no requests
// in flight, no stopping agent cancels a run because a connection was closed, and no
// entry loses an answer that an agent finished while leaving.
func (c *Checker) checkStop(e tracer.Event, p *process) {
	switch e.Kind {
	case tracer.KindProcessStopped:
		if p.incomplete {
			return
		}
		for k := range p.runs {
			c.reportf(P7, e, "stopped with attempt %d of %s", k.number, k.request)
			return
		}
		for id := range p.inFlight {
			c.reportf(P7, e, "stopped with %s in flight", id)
			return
		}
	case tracer.KindCancelled:
		if p.stopping && e.Reason == tracer.ReasonConnectionClosed {
			c.reportf(P7, e, "cancelled since the stopping agent lost its entry")
		}
	case tracer.KindLost:
		r, u := c.requests.get(e.Request), c.upstreams.get(e.Upstream)
		if c.atEntry(e) && u != nil && !u.leavingSince.IsZero() && r.finishedAttempt == e.Attempt {
			c.reportf(P7, e, "the entry lost the answer that %s finished while leaving", e.Upstream)
		}
	}
}
