package dispatcher

import (
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/picker"
)

// Entries tell each other what they have in flight, since an engine that is
// called directly tells nobody how busy it is. What an entry was told is a few
// hundred milliseconds old; its own part it knows exactly.

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
	Upstream string `json:"upstream"`
	// Runs is the number of requests, and PendingTokens that of the prompt tokens
	// that wait to be read.
	Runs          int `json:"runs"`
	PendingTokens int `json:"pending_tokens,omitempty"`
}

// shared is what the entries have told each other. The zero value knows nothing.
type shared struct {
	reports map[string]report
	// told is true if this entry's last report had loads in it, so that the
	// others must learn when they are gone.
	told bool
}

type report struct {
	at    time.Time
	loads []Load
}

// share takes in the report of another entry in place of its last one.
func (d *Dispatcher) share(now time.Time, entry string, loads []Load) {
	if d.shared.reports == nil {
		d.shared.reports = map[string]report{}
	}
	d.count(now, d.shared.reports[entry].loads, -1)
	d.shared.reports[entry] = report{now, d.count(now, loads, 1)}
}

// count adds loads to what is known of the upstreams, or takes them off. It
// returns those of upstreams that this entry knows.
func (d *Dispatcher) count(now time.Time, loads []Load, sign int) (counted []Load) {
	for _, l := range loads {
		for _, s := range d.services {
			if _, ok := s.upstreams[l.Upstream]; ok {
				s.picker.Step(now, picker.Event{
					Kind: picker.EventShared, Upstream: l.Upstream, Runs: sign * l.Runs, PromptTokens: sign * l.PendingTokens,
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
				loads = append(loads, Load{name, u.Outstanding, u.Pending})
			}
		}
	}
	if len(loads) == 0 && !d.shared.told {
		return nil
	}
	d.shared.told = len(loads) > 0
	return []Action{{Kind: ActionShare, Loads: loads}}
}
