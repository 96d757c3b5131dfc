package registrar

import "time"

// maxAnnouncements is the maximum number of instances whose announcement is
// remembered. It is above the number of upstreams that are replaced in a day.
const maxAnnouncements = 4096

// AnnouncedDraining reports whether u announced in an answer that it is shutting
// down.
func (r *Registrar) AnnouncedDraining(u Upstream) bool {
	_, ok := r.announced[u.InstanceID()]
	return ok
}

// recordAnnouncement makes u ineligible for good. The announcement outlasts the
// registration, since an upstream that shuts down may register again as ready.
func (r *Registrar) recordAnnouncement(now time.Time, u Upstream) {
	reg, ok := r.registrations[u.Name]
	registered := ok && reg.upstream.InstanceID() == u.InstanceID()
	if registered {
		reg.upstream.Draining = true
		r.registrations[u.Name] = reg
	}
	if u.StartUnixMilli == 0 && !registered {
		// A later start under the same name could not be told apart.
		return
	}
	if r.announced == nil {
		r.announced = map[string]time.Time{}
	}
	r.announced[u.InstanceID()] = now
	if len(r.announced) > maxAnnouncements {
		r.forgetOldestAnnouncement()
	}
}

func (r *Registrar) forgetOldestAnnouncement() {
	oldest := ""
	for id, at := range r.announced {
		if oldest == "" || at.Before(r.announced[oldest]) {
			oldest = id
		}
	}
	delete(r.announced, oldest)
}
