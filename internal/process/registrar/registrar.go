// Package registrar decides which upstreams may get requests.
//
// It is a decision package. Upstreams register themselves in the platform and
// renew their entries. An entry that goes away means that the upstream leaves,
// and it gets nothing more. There is one exception: while the platform is out
// of reach no entry can be renewed, and entries lapse although their upstreams
// are well. What is missing after such an outage is therefore kept for
// [ReturnTime], unless the upstream had said that it leaves.
//
// An upstream that has started again under its old name is another one, since
// it has none of the memory of the first; [Upstream.Identity] tells them apart.
//
// # Usage
//
//	var r registrar.Registrar
//	r.Step(now, registrar.Event{Kind: registrar.EventListed, Upstreams: all})
//	for _, u := range r.Usable(now) {
//	}
package registrar

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// ReturnTime is the time after the return of the platform in which entries
	// that lapsed meanwhile come back. The platform promises about 2 s.
	ReturnTime = 2200 * time.Millisecond
	// outageMemory is the time for which a removal after the return of the
	// platform may still be due to the outage.
	outageMemory = 3 * time.Second
)

// Upstream is one start of an upstream, as it registered itself.
type Upstream struct {
	// Name is unique among the upstreams that run. Born is the start of the
	// upstream in Unix milliseconds, zero if it does not say.
	Name             string `json:"name"`
	Born             int64  `json:"born"`
	Service          string `json:"service"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	// Slots is the number of requests that it works on at once, zero if it does
	// not say.
	Slots int `json:"slots,omitempty"`
	// Leaving is true if it takes no new requests.
	Leaving bool `json:"leaving"`
}

// Identity tells one start of an upstream from all others.
func (u Upstream) Identity() string {
	if u.Born == 0 {
		return u.Name
	}
	return u.Name + "@" + strconv.FormatInt(u.Born, 10)
}

// EventKind says what happened.
type EventKind int

// The kinds of events.
const (
	// EventListed brings all entries that there are.
	EventListed EventKind = iota
	// EventChanged brings new and changed entries.
	EventChanged
	// EventRemoved names entries that were removed.
	EventRemoved
	// EventOutage means that the platform cannot be reached.
	EventOutage
	// EventReturned means that the platform can be reached again.
	EventReturned
)

// Event is one thing that happened.
type Event struct {
	Kind      EventKind
	Upstreams []Upstream
	Names     []string
}

// Registrar keeps the upstreams that are registered. The zero value knows none.
type Registrar struct {
	known    map[string]known
	outage   bool
	returned time.Time
}

// known is an entry, or what is left of it.
type known struct {
	upstream Upstream
	// missing is true once the entry has lapsed in an outage.
	missing bool
}

// Step takes in one event.
func (r *Registrar) Step(now time.Time, e Event) {
	if r.known == nil {
		r.known = map[string]known{}
	}
	switch e.Kind {
	case EventListed:
		r.list(now, e.Upstreams)
	case EventChanged:
		for _, u := range e.Upstreams {
			r.known[u.Name] = known{upstream: u}
		}
	case EventRemoved:
		for _, name := range e.Names {
			r.remove(now, name)
		}
	case EventOutage:
		r.outage = true
	case EventReturned:
		if r.outage {
			r.outage, r.returned = false, now
		}
	}
	r.forget(now)
}

// Next returns the time at which the set of usable upstreams changes by itself,
// the zero time if it does not.
func (r *Registrar) Next() time.Time {
	if r.outage {
		return time.Time{}
	}
	for _, k := range r.known {
		if k.missing {
			return r.returned.Add(ReturnTime)
		}
	}
	return time.Time{}
}

// Usable returns the upstreams that may get requests, in the order of their
// names. Those whose entries lapsed are among them only while at least half of
// their service is in that state: otherwise the others can do without them.
func (r *Registrar) Usable(now time.Time) []Upstream {
	r.forget(now)
	missing, all := map[string]int{}, map[string]int{}
	for _, k := range r.known {
		all[k.upstream.Service]++
		if k.missing {
			missing[k.upstream.Service]++
		}
	}
	var out []Upstream
	for _, k := range r.known {
		s := k.upstream.Service
		if k.upstream.Leaving || k.missing && 2*missing[s] < all[s] {
			continue
		}
		out = append(out, k.upstream)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// All returns all entries that are in force, for a neighbour that cannot reach
// the platform.
func (r *Registrar) All() []Upstream {
	out := make([]Upstream, 0, len(r.known))
	for _, k := range r.known {
		if !k.missing {
			out = append(out, k.upstream)
		}
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (r *Registrar) list(now time.Time, all []Upstream) {
	listed := map[string]struct{}{}
	for _, u := range all {
		listed[u.Name] = struct{}{}
		r.known[u.Name] = known{upstream: u}
	}
	for name := range r.known {
		if _, ok := listed[name]; !ok {
			r.remove(now, name)
		}
	}
}

func (r *Registrar) remove(now time.Time, name string) {
	k, ok := r.known[name]
	if !ok || k.missing {
		return
	}
	lapsed := r.outage || !r.returned.IsZero() && now.Sub(r.returned) < outageMemory
	if k.upstream.Leaving || !lapsed {
		delete(r.known, name)
		return
	}
	k.missing = true
	r.known[name] = k
}

// forget drops the entries that have not come back.
func (r *Registrar) forget(now time.Time) {
	if r.outage || r.returned.IsZero() || now.Sub(r.returned) < ReturnTime {
		return
	}
	for name, k := range r.known {
		if k.missing {
			delete(r.known, name)
		}
	}
}
