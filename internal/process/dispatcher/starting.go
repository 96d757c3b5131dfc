package dispatcher

import (
	"slices"
	"time"
)

// An entry that has just started knows neither the configuration nor the upstreams nor
// which content crashes them, nor the software versions of streams. All of it arrives within
// some tens of milliseconds, less than the time in which a refused caller comes back, so that
// requests are held until then.

// mustWait reports whether a request must wait until the entry knows what it needs.
func (d *Dispatcher) mustWait(now time.Time, r Request) bool {
	isStarting := !d.strikesLearned || d.table == nil || !d.upstreamsListed || r.TakesUp && !d.versionsRecalled
	return isStarting && now.Before(d.strikesDue) && d.stop.NoticeEnd.IsZero()
}

// arrive admits a request, or holds it while the entry is starting.
func (d *Dispatcher) arrive(now time.Time, r Request) []Action {
	isHeld := slices.ContainsFunc(d.held, func(h Request) bool { return h.ID == r.ID }) || d.takeUps.holds(r.ID)
	if !isHeld && d.mustWait(now, r) && len(d.held) < maxInFlight {
		d.held = append(d.held, r)
		return nil
	}
	if isHeld {
		f := &inFlightRequest{request: r, deadline: r.Deadline}
		return []Action{d.failAction(now, f, unavailable(codeDuplicateIdentity, "a request with this identity is in flight"))}
	}
	return d.admit(now, r)
}

// admitHeld admits the requests that were held and need not wait any more.
func (d *Dispatcher) admitHeld(now time.Time) []Action {
	held := d.held
	d.held = nil
	var out []Action
	for _, r := range held {
		if d.mustWait(now, r) {
			d.held = append(d.held, r)
			continue
		}
		out = append(out, d.admit(now, r)...)
	}
	return out
}
