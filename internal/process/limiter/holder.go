package limiter

import "time"

// EventKind is the kind of an [Event].
type EventKind int

// The kinds of events.
const (
	// EventRequested asks for the admission of a request.
	EventRequested EventKind = iota
	// EventEnded reports that an admitted request has ended.
	EventEnded
	// EventShared delivers the share with which the owner answered a report.
	EventShared
	// EventUnanswered reports that the owner did not answer a report.
	EventUnanswered
	// EventTicked reports that the time returned by [Holder.Wake] was reached.
	EventTicked
)

// Event is an input of [Holder.Step].
type Event struct {
	Kind         EventKind
	Organisation string
	// Request identifies the request of an EventRequested.
	Request string
	// Limit is the current limit of the organisation in an EventRequested.
	Limit Limit
	// Share is the new share in an EventShared.
	Share Share
	// Entries is the number of live entries in an EventRequested.
	Entries int
}

// Decision is the result of [Holder.Step].
type Decision struct {
	// Admitted and Refused are the identities of the requests that were decided.
	Admitted []string
	Refused  []string
	// Report is the report to send to the owner, or nil.
	Report *Report
}

// maxWaiting is the largest number of requests of one organisation that wait for
// a valid share. Further requests are refused.
const maxWaiting = 256

// Holder admits the requests of one entry within its shares. The zero value has
// no shares.
type Holder struct {
	// Entry is the identity of this entry.
	Entry         string
	organisations map[string]*organisationState
}

// organisationState is the state of one organisation in a holder.
type organisationState struct {
	limit        Limit
	share        Share
	expires      time.Time
	bucketTokens float64
	refilledAt   time.Time
	inFlight     int
	// requested is the number of requests since the last report, and demand the
	// moving average of their rate per second.
	requested  int
	demand     float64
	reportedAt time.Time
	// reportPending is true while a report is unanswered.
	reportPending bool
	// waiting holds the requests that wait for a valid share.
	waiting []string
	entries int
}

// Step processes one event and returns the decided requests and the report to
// send.
func (h *Holder) Step(now time.Time, e Event) Decision {
	if h.organisations == nil {
		h.organisations = map[string]*organisationState{}
	}
	if e.Kind == EventTicked {
		return h.tick(now)
	}
	s := h.organisations[e.Organisation]
	if s == nil {
		s = &organisationState{refilledAt: now, reportedAt: now, bucketTokens: 1}
		h.organisations[e.Organisation] = s
	}
	var d Decision
	switch e.Kind {
	case EventRequested:
		s.limit, s.entries = e.Limit, max(1, e.Entries)
		s.requested++
		s.admitOrWait(now, e.Request, &d)
	case EventEnded:
		s.inFlight = max(0, s.inFlight-1)
	case EventShared:
		s.reportPending = false
		if s.share.Valid == 0 {
			// The first share may be used at once, as if it had accumulated.
			s.bucketTokens = max(1, e.Share.Rate*burstDuration.Seconds())
		}
		s.share, s.expires = e.Share, now.Add(e.Share.Valid)
		s.admitWaiting(now, &d)
	case EventUnanswered:
		s.reportPending = false
		s.fallBack(now)
		s.admitWaiting(now, &d)
	}
	h.report(now, e.Organisation, s, &d)
	return d
}

// Wake returns the time at which the caller has to send an [EventTicked], or zero
// if none is needed. A holder reports as long as it has requests in flight, since
// the owner would otherwise assign their share to other entries.
func (h *Holder) Wake() time.Time {
	var at time.Time
	for _, s := range h.organisations {
		if due := s.reportedAt.Add(s.reportInterval()); s.inFlight > 0 && !s.reportPending && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	return at
}

// tick returns the report of one organisation for which it is due. If there are
// more, Wake returns a time that has passed.
func (h *Holder) tick(now time.Time) Decision {
	var d Decision
	for name, s := range h.organisations {
		h.report(now, name, s, &d)
		if d.Report != nil {
			break
		}
	}
	return d
}

// InFlight returns the number of admitted requests of an organisation that have
// not ended.
func (h *Holder) InFlight(organisation string) int {
	if s := h.organisations[organisation]; s != nil {
		return s.inFlight
	}
	return 0
}

// admitOrWait decides a request if the share is valid. Otherwise the request
// waits, or is refused if too many wait.
func (s *organisationState) admitOrWait(now time.Time, request string, d *Decision) {
	if now.Before(s.expires) {
		s.admit(now, request, d)
		return
	}
	if len(s.waiting) >= maxWaiting {
		d.Refused = append(d.Refused, request)
		return
	}
	s.waiting = append(s.waiting, request)
}

// admitWaiting decides all waiting requests with a new share.
func (s *organisationState) admitWaiting(now time.Time, d *Decision) {
	waiting := s.waiting
	s.waiting = nil
	for _, request := range waiting {
		s.admit(now, request, d)
	}
}

// admit admits a request if the share allows it, and refuses it otherwise.
func (s *organisationState) admit(now time.Time, request string, d *Decision) {
	s.refill(now)
	rateFull := s.limit.Rate > 0 && s.bucketTokens < 1
	concurrencyFull := s.limit.Concurrency > 0 && s.inFlight >= s.share.Concurrency
	if rateFull || concurrencyFull {
		d.Refused = append(d.Refused, request)
		return
	}
	if s.limit.Rate > 0 {
		s.bucketTokens--
	}
	s.inFlight++
	d.Admitted = append(d.Admitted, request)
}

// refill adds the tokens since the last refill to the token bucket. Its size is
// the share of burstDuration, and at least one token, so that a small share can
// be used.
func (s *organisationState) refill(now time.Time) {
	size := max(1, s.share.Rate*burstDuration.Seconds())
	s.bucketTokens = min(size, s.bucketTokens+s.share.Rate*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
}

// fallBack replaces an expired share if the owner does not answer. The new share
// is the smaller of the last share and an equal part of the limit for each entry.
func (s *organisationState) fallBack(now time.Time) {
	if now.Before(s.expires) {
		return
	}
	equal := Share{
		Rate:        s.limit.Rate / float64(s.entries),
		Concurrency: max(1, s.limit.Concurrency/s.entries),
	}
	if s.share.Valid > 0 {
		equal.Rate = min(equal.Rate, s.share.Rate)
		equal.Concurrency = min(equal.Concurrency, max(1, s.share.Concurrency))
	}
	equal.Valid = minReportInterval
	s.share, s.expires = equal, now.Add(minReportInterval)
}

// reportInterval returns the time between two reports.
func (s *organisationState) reportInterval() time.Duration {
	return max(minReportInterval, s.share.ReportIn)
}

// report adds a report to d if requests wait, or if the report interval has passed
// and there were requests since the last report or are any in flight. There is at
// most one unanswered report.
func (h *Holder) report(now time.Time, organisation string, s *organisationState, d *Decision) {
	due := len(s.waiting) > 0 || (s.requested > 0 || s.inFlight > 0) && now.Sub(s.reportedAt) >= s.reportInterval()
	if s.reportPending || !due {
		return
	}
	elapsed := max(now.Sub(s.reportedAt), minReportInterval).Seconds()
	s.demand += demandWeight * (float64(s.requested)/elapsed - s.demand)
	if s.demand < 1 {
		s.demand = 1
	}
	d.Report = &Report{
		Organisation: organisation, Entry: h.Entry, Demand: s.demand,
		InFlight: s.inFlight, Waiting: max(s.requested, len(s.waiting)), Limit: s.limit, Entries: s.entries,
	}
	s.requested, s.reportedAt, s.reportPending = 0, now, true
}
