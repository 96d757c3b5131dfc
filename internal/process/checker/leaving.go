package checker

import (
	"time"

	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	// leavingGrace is the time after which a leaving upstream gets no new work.
	leavingGrace = 3 * time.Second
	// maxObservers bounds the entries that know of one leaving upstream.
	maxObservers = 64
)

// upstream is what is known of the leaving of one upstream.
type upstream struct {
	// left is the time at which its agent began to leave, or zero.
	left time.Time
	// seen holds the times at which entries learned of it.
	seen map[string]time.Time
}

func (c *Checker) upstream(name string) *upstream {
	u := c.upstreams.get(name)
	if u == nil {
		u, _ = c.upstreams.add(name, maxProcesses)
		u.seen = map[string]time.Time{}
	}
	return u
}

// checkLeaving checks P6: no entry sends work to an upstream 3 s after its
// agent began to leave or after the entry itself learned of it.
func (c *Checker) checkLeaving(e tracer.Event) {
	if e.Upstream == "" {
		return
	}
	switch e.Kind {
	case tracer.KindProcessStarted:
		*c.upstream(e.Upstream) = upstream{seen: map[string]time.Time{}}
	case tracer.KindMemberLeaving:
		u := c.upstream(e.Upstream)
		if len(u.seen) < maxObservers {
			u.seen[e.Process] = at(e)
		}
		if u.left.IsZero() {
			u.left = at(e)
		}
	case tracer.KindMemberGone:
		u := c.upstream(e.Upstream)
		delete(u.seen, e.Process)
		if len(u.seen) == 0 {
			// Nobody is left who could tell it from a new process at its place.
			u.left = time.Time{}
		}
	case tracer.KindSent:
		u := c.upstreams.get(e.Upstream)
		if u == nil || u.left.IsZero() {
			return
		}
		if late := at(e).Sub(u.left); late > leavingGrace {
			c.reportf(P6, e, "sent to %s %v after it began to leave", e.Upstream, late)
		}
	}
}

// checkStop checks P7: a process that stops gracefully has nothing in flight,
// and no entry loses an answer that an agent finished while it was leaving.
func (c *Checker) checkStop(e tracer.Event, p *process) {
	switch e.Kind {
	case tracer.KindProcessStopped:
		if p.blind {
			return
		}
		for k := range p.runs {
			c.reportf(P7, e, "stopped with attempt %d of %s", k.number, k.request)
			return
		}
		for id := range p.flights {
			c.reportf(P7, e, "stopped with %s in flight", id)
			return
		}
	case tracer.KindCancelled:
		if p.stopping && e.Reason == tracer.ReasonConnectionClosed {
			c.reportf(P7, e, "cancelled since the stopping agent lost its entry")
		}
	case tracer.KindLost:
		r, u := c.requests.get(e.Request), c.upstreams.get(e.Upstream)
		if c.atEntry(e) && u != nil && !u.left.IsZero() && r.finished == e.Attempt {
			c.reportf(P7, e, "the entry lost the answer that %s finished while leaving", e.Upstream)
		}
	}
}
