// Package registrar determines which registered upstreams are eligible for
// requests.
//
// It makes decisions only and does no I/O. Upstreams register themselves in the
// platform and renew their registrations. The removal of a registration means
// that the upstream shuts down, and it gets no more requests. There is one
// exception: while the platform is unreachable no registration can be renewed,
// so registrations expire although their upstreams are healthy. Registrations
// that are missing after such an outage count as lapsed: they are kept for
// [ReregistrationPeriod], unless the upstream was draining.
//
// An upstream may announce in an answer that it is shutting down, before the platform
// knows or while it is unreachable. It then gets no more requests, even if its
// registration still says that it is ready.
//
// An upstream that restarts under the same name counts as a new upstream,
// since its state in memory is lost; [Upstream.InstanceID] distinguishes the
// two.
//
// # Usage
//
//	var r registrar.Registrar
//	r.HandleEvent(now, registrar.Event{Kind: registrar.EventListed, Upstreams: all})
//	for _, u := range r.Eligible(now) {
//	}
package registrar

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// ReregistrationPeriod is the time after the end of an outage within which
	// upstreams whose registration lapsed register again. The platform guarantees
	// about 2 s.
	ReregistrationPeriod = 2200 * time.Millisecond
	// postOutageLapsePeriod is the time after the end of an outage in which a
	// removed registration is taken to have lapsed because of the outage.
	postOutageLapsePeriod = 3 * time.Second
)

// Upstream is the registered description of one upstream instance.
type Upstream struct {
	// Name is unique among the running upstreams. StartUnixMilli is the start of
	// the upstream in Unix milliseconds, or zero if it is unknown.
	Name             string `json:"name"`
	StartUnixMilli   int64  `json:"born"`
	Service          string `json:"service"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	// Version is the version of its software, empty if it is unknown.
	Version string `json:"version,omitempty"`
	// Slots is the number of requests that the upstream processes concurrently,
	// or zero if it is unknown.
	Slots int `json:"slots,omitempty"`
	// Draining is true if the upstream accepts no new requests.
	Draining bool `json:"leaving"`
}

// InstanceID returns an identifier that is unique to one start of an
// upstream.
func (u Upstream) InstanceID() string {
	if u.StartUnixMilli == 0 {
		return u.Name
	}
	return u.Name + "@" + strconv.FormatInt(u.StartUnixMilli, 10)
}

// EventKind is the kind of an [Event].
type EventKind int

// Kinds of events.
const (
	// EventListed carries the complete list of registered upstreams.
	EventListed EventKind = iota
	// EventChanged carries new and changed upstreams.
	EventChanged
	// EventRemoved carries the names of upstreams whose registration was removed.
	EventRemoved
	// EventInvalidated carries the names of objects that describe no upstream. An
	// upstream that was registered under such a name is removed, in an outage too.
	EventInvalidated
	// EventDraining carries upstreams that announced in an answer that they are
	// shutting down.
	EventDraining
	// EventOutageBegan means that the platform is unreachable.
	EventOutageBegan
	// EventOutageEnded means that the platform is reachable again.
	EventOutageEnded
)

// Event is a change of the registrations or of the reachability of the
// platform.
// Upstreams is set for EventListed, EventChanged and EventDraining, Names for
// EventRemoved and EventInvalidated.
type Event struct {
	Kind      EventKind
	Upstreams []Upstream
	Names     []string
}

// Registrar holds the registered upstreams. The zero value has none.
type Registrar struct {
	registrations map[string]registration
	inOutage      bool
	outageEndedAt time.Time
	// announced holds the instance IDs of the upstreams that announced in an answer
	// that they are shutting down, with the time of the announcement.
	announced map[string]time.Time
}

// registration is a current or lapsed registration.
type registration struct {
	upstream Upstream
	// lapsed is true if the registration expired because of an outage.
	lapsed bool
}

// HandleEvent applies e to the registered upstreams.
func (r *Registrar) HandleEvent(now time.Time, e Event) {
	if r.registrations == nil {
		r.registrations = map[string]registration{}
	}
	switch e.Kind {
	case EventListed:
		r.replaceAll(now, e.Upstreams)
	case EventChanged:
		for _, u := range e.Upstreams {
			r.register(u)
		}
	case EventRemoved:
		for _, name := range e.Names {
			r.remove(now, name)
		}
	case EventInvalidated:
		for _, name := range e.Names {
			r.invalidate(name)
		}
	case EventDraining:
		for _, u := range e.Upstreams {
			r.recordAnnouncement(now, u)
		}
	case EventOutageBegan:
		r.inOutage = true
	case EventOutageEnded:
		if r.inOutage {
			r.inOutage, r.outageEndedAt = false, now
		}
	}
	r.removeLapsed(now)
}

// NextChange returns the time at which the set of eligible upstreams changes
// without an event, or the zero time if it does not.
func (r *Registrar) NextChange() time.Time {
	if r.inOutage {
		return time.Time{}
	}
	for _, reg := range r.registrations {
		if reg.lapsed {
			return r.outageEndedAt.Add(ReregistrationPeriod)
		}
	}
	return time.Time{}
}

// Eligible returns the upstreams that may get requests, sorted by name.
// Upstreams with a lapsed registration are included only while they are at
// least half of the upstreams of their service; otherwise the remaining
// upstreams suffice.
func (r *Registrar) Eligible(now time.Time) []Upstream {
	r.removeLapsed(now)
	lapsed, all := map[string]int{}, map[string]int{}
	for _, reg := range r.registrations {
		all[reg.upstream.Service]++
		if reg.lapsed {
			lapsed[reg.upstream.Service]++
		}
	}
	var out []Upstream
	for _, reg := range r.registrations {
		s := reg.upstream.Service
		if reg.upstream.Draining || reg.lapsed && 2*lapsed[s] < all[s] {
			continue
		}
		out = append(out, reg.upstream)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Registered returns the upstreams with a current registration, sorted by
// name, for a peer that cannot reach the platform.
func (r *Registrar) Registered() []Upstream {
	out := make([]Upstream, 0, len(r.registrations))
	for _, reg := range r.registrations {
		if !reg.lapsed {
			out = append(out, reg.upstream)
		}
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (r *Registrar) replaceAll(now time.Time, all []Upstream) {
	listed := map[string]struct{}{}
	for _, u := range all {
		listed[u.Name] = struct{}{}
		r.register(u)
	}
	for name := range r.registrations {
		if _, ok := listed[name]; !ok {
			r.remove(now, name)
		}
	}
}

// register stores a current registration. An upstream that announced that it is
// shutting down stays draining, whatever its registration says.
func (r *Registrar) register(u Upstream) {
	u.Draining = u.Draining || r.AnnouncedDraining(u)
	r.registrations[u.Name] = registration{upstream: u}
}

func (r *Registrar) remove(now time.Time, name string) {
	reg, ok := r.registrations[name]
	if !ok || reg.lapsed {
		return
	}
	r.forgetAnnouncement(reg.upstream)
	dueToOutage := r.inOutage || !r.outageEndedAt.IsZero() && now.Sub(r.outageEndedAt) < postOutageLapsePeriod
	if reg.upstream.Draining || !dueToOutage {
		delete(r.registrations, name)
		return
	}
	reg.lapsed = true
	r.registrations[name] = reg
}

// invalidate removes the registration under a name that describes no upstream.
func (r *Registrar) invalidate(name string) {
	r.forgetAnnouncement(r.registrations[name].upstream)
	delete(r.registrations, name)
}

// forgetAnnouncement forgets the announcement of an upstream whose next start could not
// be told apart from this one.
func (r *Registrar) forgetAnnouncement(u Upstream) {
	if u.StartUnixMilli == 0 {
		delete(r.announced, u.InstanceID())
	}
}

// removeLapsed removes the lapsed registrations whose upstreams did not register
// again within ReregistrationPeriod.
func (r *Registrar) removeLapsed(now time.Time) {
	if r.inOutage || r.outageEndedAt.IsZero() || now.Sub(r.outageEndedAt) < ReregistrationPeriod {
		return
	}
	for name, reg := range r.registrations {
		if reg.lapsed {
			delete(r.registrations, name)
		}
	}
}
