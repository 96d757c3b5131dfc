package dispatcher

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
)

// Entries tell each other what they have in flight and where prompt prefixes are
// cached, since an engine that is called directly tells nobody how busy it is.
// What an entry was told is a few hundred milliseconds old; its own part it knows
// exactly.

const (
	// ShareInterval is the time between two reports of an entry to the others. It
	// is short against an answer, which takes seconds.
	ShareInterval = 200 * time.Millisecond
	// shareExpiry is the age at which the report of another entry no longer
	// counts. The entry may be gone.
	shareExpiry = 4 * ShareInterval
)

// Load is what an entry has in flight at one upstream.
type Load struct {
	// Upstream is the identity of the upstream.
	Upstream string
	// Runs is the number of requests, and PendingTokens that of the prompt tokens
	// that wait to be read.
	Runs          int
	PendingTokens int
}

// Placement says that an upstream has got a request with a prompt prefix, and
// keeps that in its cache for a while.
type Placement struct {
	// Upstream is the identity of the upstream.
	Upstream string
	Prefix   uint64
}

const (
	// placedTokens is the length of a prefix in tokens from which entries tell
	// each other where it is. Shorter ones are read in less time than a copy of
	// them takes.
	placedTokens = 1024
	// maxPlaced bounds the placements of one report.
	maxPlaced = 512
)

// shared is what the entries have told each other. The zero value knows nothing.
type shared struct {
	reports map[string]report
	// told is true if this entry's last report had loads in it, so that the
	// others must learn when they are gone.
	told bool
	// placed are the placements since the last report.
	placed []Placement
}

type report struct {
	at    time.Time
	loads []Load
}

// place notes where a request with a prefix goes.
func (d *Dispatcher) place(f *flight) {
	if f.request.Prefix != 0 && f.request.PrefixTokens >= placedTokens && len(d.shared.placed) < maxPlaced {
		d.shared.placed = append(d.shared.placed, Placement{f.upstream, f.request.Prefix})
	}
}

// share takes in the report of another entry in place of its last one.
func (d *Dispatcher) share(now time.Time, entry string, loads []Load, placed []Placement) {
	if d.shared.reports == nil {
		d.shared.reports = map[string]report{}
	}
	d.count(now, d.shared.reports[entry].loads, -1)
	d.shared.reports[entry] = report{now, d.count(now, loads, 1)}
	for _, p := range placed {
		for _, s := range d.services {
			if _, ok := s.upstreams[p.Upstream]; ok {
				s.picker.Step(now, picker.Event{Kind: picker.EventCached, Upstream: p.Upstream, Prefix: p.Prefix})
			}
		}
	}
}

// count adds loads to what is known of the upstreams, or takes them off. It
// returns those of upstreams that this entry knows.
func (d *Dispatcher) count(now time.Time, loads []Load, sign int) (counted []Load) {
	for _, l := range loads {
		for _, s := range d.services {
			if _, ok := s.upstreams[l.Upstream]; ok {
				s.picker.Step(now, picker.Event{
					Kind: picker.EventShared, Upstream: l.Upstream, RunsDelta: sign * l.Runs, PromptTokens: sign * l.PendingTokens,
				})
				counted = append(counted, l)
			}
		}
	}
	return counted
}

// SharedRuns returns the number of requests that the other entries have in
// flight, as far as they have told.
func (d *Dispatcher) SharedRuns() int {
	n := 0
	for _, r := range d.shared.reports {
		for _, l := range r.loads {
			n += l.Runs
		}
	}
	return n
}

// tick drops the reports of entries that went silent, and reports to the others.
func (d *Dispatcher) tick(now time.Time) []Action {
	for entry, r := range d.shared.reports {
		if now.Sub(r.at) >= shareExpiry {
			d.count(now, r.loads, -1)
			delete(d.shared.reports, entry)
		}
	}
	var loads []Load
	for _, s := range d.services {
		for _, name := range s.names {
			if u := s.picker.Upstream(name); u != nil && u.Outstanding > 0 {
				loads = append(loads, Load{name, u.Outstanding, u.PendingTokens})
			}
		}
	}
	placed := d.shared.placed
	if len(loads)+len(placed) == 0 && !d.shared.told {
		return nil
	}
	d.shared.told, d.shared.placed = len(loads) > 0, nil
	return []Action{{Kind: ActionShare, Loads: loads, Placed: placed}}
}
