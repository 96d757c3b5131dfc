// Package limiter enforces the request rate and concurrency limits of
// organisations across all entries.
//
// It is a decision package with two sides. For each organisation one entry is
// the owner; its [Owner] divides the limit among the entries that report demand.
// Every entry has a [Holder], which admits requests within the share that the
// owner assigned. A share expires after a short time, so that the share of a
// failed entry becomes available to the others.
//
// The sum of the valid shares that an owner has assigned never exceeds the limit.
// When the owner changes, the new owner does not know the shares that the
// previous one assigned. Until those have expired, it assigns no entry more than
// the limit divided by the number of entries. During that time, at most
// [ShareValid], all entries together may use up to twice the limit. Since an
// entry accumulates its share for up to a second and its token bucket holds at
// least one request, N entries admit at most Rate * (T + 1 s) + N requests in any
// time T.
//
// # Usage
//
//	var h limiter.Holder
//	d := h.Step(now, limiter.Event{Kind: limiter.EventRequested, Organisation: "notch-guides", Limit: l})
//	if d.Report != nil {
//		// Send it to the owner and pass its answer to Step as an EventShared.
//	}
package limiter

import (
	"time"
)

const (
	// ShareValid is the minimum time for which an assigned share is valid.
	ShareValid = 3 * time.Second
	// minReportInterval is the minimum interval between two reports of a holder.
	minReportInterval = time.Second
	// reportIntervalPerEntry is multiplied by the number of entries that share a
	// limit to get their report interval, unless minReportInterval is longer. The
	// owner then gets at most 50 reports per second for the limit.
	reportIntervalPerEntry = 20 * time.Millisecond
	// burstDuration is the time for which an unused share accumulates.
	burstDuration = time.Second
	// demandHeadroom is the multiple of its demand that an entry may get while
	// part of the limit is unused.
	demandHeadroom = 2
	// demandWeight is the weight of the last report interval in the moving average
	// of the demand.
	demandWeight = 0.5
)

// Limit is the limit of an organisation across all entries.
type Limit struct {
	// Rate is the number of requests per second. Zero means no limit.
	Rate float64 `json:"rate,omitempty"`
	// Concurrency is the number of requests in flight. Zero means no limit.
	Concurrency int `json:"concurrency,omitempty"`
}

// Unlimited reports whether l limits neither the rate nor the concurrency.
func (l Limit) Unlimited() bool { return l.Rate <= 0 && l.Concurrency <= 0 }

// Report is the demand of an entry for the limit of an organisation. The entry
// sends it to the owner.
type Report struct {
	Organisation string `json:"organisation"`
	Entry        string `json:"entry"`
	// Demand is the moving average of the requests per second at the entry,
	// including refused ones. It is at least 1.
	Demand float64 `json:"demand"`
	// InFlight is the number of admitted requests that have not ended. Waiting is
	// the larger of the number of requests since the last report and the number of
	// requests that wait for a share.
	InFlight int   `json:"in_flight"`
	Waiting  int   `json:"waiting"`
	Limit    Limit `json:"limit"`
	// Entries is the number of live entries that the reporting entry knows of.
	Entries int `json:"entries"`
}

// Share is the part of a limit that an entry may use.
type Share struct {
	Organisation string  `json:"organisation"`
	Rate         float64 `json:"rate"`
	Concurrency  int     `json:"concurrency"`
	// Valid is the time for which the share is valid. Zero means that the holder
	// has no share yet.
	Valid time.Duration `json:"valid"`
	// ReportIn is the interval until the holder reports again.
	ReportIn time.Duration `json:"report_in"`
}

// Owner divides the limits of organisations among entries. The zero value has
// assigned no shares.
type Owner struct {
	// Started is the time at which this entry became an owner. Shares of a
	// previous owner may be valid until ShareValid later.
	Started       time.Time
	organisations map[string]*allocation
}

// allocation holds the state of the entries that share the limit of one
// organisation.
type allocation struct {
	entries map[string]*entryState
}

// entryState is the last report of an entry and the share that it was assigned.
type entryState struct {
	demandRate        float64
	demandConcurrency int
	// inFlight is the reported number of requests in flight. They count against the
	// concurrency limit even if the share has become smaller.
	inFlight int
	share    Share
	expires  time.Time
}

// Divide records a report and returns the new share of the entry.
func (o *Owner) Divide(now time.Time, r Report) Share {
	if o.organisations == nil {
		o.organisations = map[string]*allocation{}
	}
	a := o.organisations[r.Organisation]
	if a == nil {
		a = &allocation{entries: map[string]*entryState{}}
		o.organisations[r.Organisation] = a
	}
	for name, e := range a.entries {
		if !now.Before(e.expires) {
			delete(a.entries, name)
		}
	}
	e := a.entries[r.Entry]
	if e == nil {
		e = &entryState{}
		a.entries[r.Entry] = e
	}
	e.demandRate, e.demandConcurrency, e.inFlight = r.Demand, r.InFlight+r.Waiting, r.InFlight
	interval := max(minReportInterval, time.Duration(len(a.entries))*reportIntervalPerEntry)
	// A share stays valid for two report intervals, since a report may be lost.
	valid := max(ShareValid, 2*interval+time.Second)
	s := Share{Organisation: r.Organisation, Valid: valid, ReportIn: interval}
	s.Rate, s.Concurrency = a.shareOf(r.Entry, r.Limit)
	if now.Sub(o.Started) < ShareValid {
		s.Rate = min(s.Rate, r.Limit.Rate/float64(max(1, r.Entries)))
		s.Concurrency = min(s.Concurrency, max(1, r.Limit.Concurrency/max(1, r.Entries)))
	}
	e.share, e.expires = s, now.Add(valid)
	return s
}

// RemoveExpired removes all shares that have expired without a new report.
func (o *Owner) RemoveExpired(now time.Time) {
	for name, a := range o.organisations {
		for entry, e := range a.entries {
			if !now.Before(e.expires) {
				delete(a.entries, entry)
			}
		}
		if len(a.entries) == 0 {
			delete(o.organisations, name)
		}
	}
}

// shareOf returns the rate and the concurrency that entry may use: the limit in
// proportion to its demand, and at most the part that is not assigned to other
// entries with valid shares.
func (a *allocation) shareOf(entry string, l Limit) (float64, int) {
	totalDemand, totalConcurrency, assignedRate, assignedConcurrency := 0.0, 0, 0.0, 0
	for name, e := range a.entries {
		totalDemand += e.demandRate
		totalConcurrency += e.demandConcurrency
		if name != entry {
			assignedRate += e.share.Rate
			assignedConcurrency += max(e.share.Concurrency, e.inFlight)
		}
	}
	own := a.entries[entry]
	rate := l.Rate / float64(len(a.entries))
	if totalDemand > 0 {
		rate = l.Rate * own.demandRate / totalDemand
	}
	// Half of the unassigned limit is kept in reserve, so that an entry with new
	// demand need not wait for the next reports of the others.
	rate = min(rate, max((l.Rate-assignedRate)/2, demandHeadroom*own.demandRate))
	concurrency := l.Concurrency / len(a.entries)
	if totalConcurrency > 0 {
		concurrency = l.Concurrency * own.demandConcurrency / totalConcurrency
	}
	concurrency = min(concurrency, max((l.Concurrency-assignedConcurrency)/2, demandHeadroom*own.demandConcurrency, 1))
	return max(0, min(rate, l.Rate-assignedRate)), max(0, min(concurrency, l.Concurrency-assignedConcurrency))
}
