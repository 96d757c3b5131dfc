package dispatcher

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// What two software versions of the upstreams write does not fit together, so that a stream
// goes on only at the version that began it, within one answer and where a caller takes it
// up; see package resumer.

// codeVersionUnknown is the code of the refusal of a request that takes up a stream of an
// unknown version.
const codeVersionUnknown = "version_unknown"

const (
	// minRecordInterval is the minimum time between two records of the streams of an entry in
	// the platform. Streams that begin within it are not known after the loss of all entries.
	minRecordInterval = 100 * time.Millisecond
	// recordSpacing bounds the rate at which all entries together write records.
	recordSpacing = 20 * time.Millisecond
)

// bindTakeUp binds a request that takes up a stream to the version that began it, as far as
// this entry knows. It returns the failure of a request whose version is not known.
func (d *Dispatcher) bindTakeUp(now time.Time, f *inFlightRequest) *admitter.Failure {
	if !f.request.TakesUp || f.admission.Route.Kind != matcher.Streaming {
		return nil
	}
	version, ok := d.resumer.Version(now, f.admission.Service.Name, f.request.Stream)
	if !ok {
		return versionUnknownFailure()
	}
	f.boundVersion, f.summary.TakeUp = version, "known"
	return nil
}

func versionUnknownFailure() *admitter.Failure {
	return unavailable(codeVersionUnknown, "the software version that began the stream is not known")
}

// bindVersion binds a request whose caller has a part of a stream to the version that wrote
// it.
func (d *Dispatcher) bindVersion(now time.Time, f *inFlightRequest) {
	if f.boundVersion != 0 || f.lastEvent == "" || f.version == 0 {
		return
	}
	f.boundVersion = f.version
	if f.isBeginning() {
		d.resumer.HandleEvent(now, resumer.Event{Kind: resumer.EventBegun, Streams: []resumer.Stream{{ID: f.request.Stream, Version: f.boundVersion}}})
	}
}

// isBeginning reports whether f began the stream of its answer, which may be taken up.
func (f *inFlightRequest) isBeginning() bool {
	return f.admission.Route.Resumable && !f.request.TakesUp && f.request.Stream != 0
}

// endStream records that the caller has the whole of the stream that f began.
func (d *Dispatcher) endStream(now time.Time, f *inFlightRequest) {
	if f.boundVersion != 0 && f.isBeginning() {
		d.resumer.HandleEvent(now, resumer.Event{Kind: resumer.EventEnded, Streams: []resumer.Stream{{ID: f.request.Stream}}})
	}
}

// candidates returns the instance IDs of the upstreams that may get f. A stream that may be
// taken up begins at an announced version if there is one, so that other entries can find
// out its version while this one is out of their reach.
func (d *Dispatcher) candidates(s *service, f *inFlightRequest) []string {
	if f.boundVersion != 0 {
		return s.filter(func(u registrar.Upstream) bool { return resumer.Digest(u.Version) == f.boundVersion })
	}
	if !d.settings.KeepVersions || f.admission.Route.Kind != matcher.Streaming || !f.isBeginning() {
		return s.instanceIDs
	}
	announced := s.filter(func(u registrar.Upstream) bool {
		return d.resumer.Announced(resumer.Served{Service: u.Service, Version: resumer.Digest(u.Version)})
	})
	if len(announced) == 0 {
		return s.instanceIDs
	}
	return announced
}

// filter returns the instance IDs of the upstreams that meet a condition.
func (s *service) filter(condition func(registrar.Upstream) bool) []string {
	var out []string
	for _, id := range s.instanceIDs {
		if condition(s.upstreams[id]) {
			out = append(out, id)
		}
	}
	return out
}

// listVersions records the software versions of all upstreams.
func (d *Dispatcher) listVersions(now time.Time, e Event) {
	var served []resumer.Served
	for _, all := range [][]registrar.Upstream{e.Upstreams, e.Registered} {
		for _, u := range all {
			served = append(served, resumer.Served{Service: u.Service, Version: resumer.Digest(u.Version)})
		}
	}
	d.resumer.HandleEvent(now, resumer.Event{Kind: resumer.EventListed, Served: served})
}

// shareVersions returns the action that tells a few other entries of the streams that this one
// has just begun, if there are any.
func (d *Dispatcher) shareVersions() []Action {
	begun := d.resumer.TakeShared()
	if len(begun) == 0 || !d.settings.KeepVersions {
		return nil
	}
	return []Action{{Kind: ActionShareVersions, Shared: begun}}
}

// keepVersions returns the action that keeps the versions of the streams of this entry in the
// platform, if a record is due.
func (d *Dispatcher) keepVersions(now time.Time) []Action {
	if !d.settings.KeepVersions || !d.versionsRecalled {
		return nil
	}
	r, ok := d.resumer.TakeRecord(now, max(minRecordInterval, time.Duration(d.entries)*recordSpacing))
	if !ok {
		return nil
	}
	return []Action{{Kind: ActionKeepVersions, Record: r}}
}
