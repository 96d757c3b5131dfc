package dispatcher

import (
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/resumer"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// A request that takes up a stream whose version this entry does not know waits until the
// records of all entries have been read and, if these do not tell, the other entries asked;
// see [resumer.Inquiry].

// takeUpWait is the longest time for which such a request waits. Another entry may serve the
// caller after a refusal.
const takeUpWait = 300 * time.Millisecond

// takeUp is a request that waits for the version of the stream that it takes up.
type takeUp struct {
	request Request
	// ticket is the number of the first read of the records that begins after the request.
	ticket  uint64
	dueAt   time.Time
	inquiry resumer.Inquiry
}

// takeUpQueue holds the requests that wait, in the order of their arrival. The zero value
// is empty.
type takeUpQueue struct {
	waiting []*takeUp
	// ticket is the number of the last read of the records, which began at readAt, and reading
	// is true until its result is known. One read runs at a time, for all requests that wait.
	ticket  uint64
	reading bool
	readAt  time.Time
}

// handleVersions handles what is found out of the software versions of streams.
func (d *Dispatcher) handleVersions(now time.Time, e Event) []Action {
	switch e.Kind {
	case EventVersionsRecalled:
		return d.recallVersions(now, e.Recall)
	case EventVersionsKept:
		d.resumer.HandleEvent(now, resumer.Event{Kind: resumer.EventKept, Served: e.Record.Served})
	case EventVersionsReceived:
		return d.receiveVersions(now, e.Entry, e.Reply)
	case EventTakeUpDue:
		return d.judgeTakeUps(now)
	}
	return nil
}

// holds reports whether the request with an identity waits.
func (q *takeUpQueue) holds(id string) bool {
	return slices.ContainsFunc(q.waiting, func(t *takeUp) bool { return t.request.ID == id })
}

// take removes and returns the requests that meet a condition.
func (q *takeUpQueue) take(condition func(*takeUp) bool) []*takeUp {
	var out, rest []*takeUp
	for _, t := range q.waiting {
		if condition(t) {
			out = append(out, t)
			continue
		}
		rest = append(rest, t)
	}
	q.waiting = rest
	return out
}

// isUnknownTakeUp reports whether f takes up a stream whose version only the other entries
// may know.
func (d *Dispatcher) isUnknownTakeUp(now time.Time, f *inFlightRequest) bool {
	if !d.settings.KeepVersions || !f.request.TakesUp || f.admission.Route.Kind != matcher.Streaming {
		return false
	}
	_, known := d.resumer.Lookup(now, f.request.Stream)
	return !known
}

// holdTakeUp holds a request until the version of its stream is known.
func (d *Dispatcher) holdTakeUp(now time.Time, f *inFlightRequest) []Action {
	q := &d.takeUps
	q.waiting = append(q.waiting, &takeUp{
		request: f.request, ticket: q.ticket + 1, dueAt: now.Add(takeUpWait),
		inquiry: resumer.Inquiry{Service: f.admission.Service.Name, Stream: f.request.Stream, Replies: map[string][]resumer.Served{}},
	})
	return d.readRecords(now)
}

// readRecords begins a read of the records if a request needs one and none runs. One whose
// result has not come while its requests waited is lost.
func (d *Dispatcher) readRecords(now time.Time) []Action {
	q := &d.takeUps
	isRunning := q.reading && now.Sub(q.readAt) < takeUpWait
	if isRunning || !slices.ContainsFunc(q.waiting, func(t *takeUp) bool { return t.ticket > q.ticket }) {
		return nil
	}
	q.ticket++
	q.reading, q.readAt = true, now
	return []Action{{Kind: ActionRecallVersions, Ticket: q.ticket}}
}

// recallVersions adds what all entries have kept.
func (d *Dispatcher) recallVersions(now time.Time, r resumer.Recall) []Action {
	q := &d.takeUps
	q.reading = q.reading && r.Ticket < q.ticket
	state := resumer.ReadFailed
	if !r.Failed {
		state = resumer.ReadDone
		d.addRecords(now, r.Records)
	}
	for _, t := range q.waiting {
		if t.ticket <= r.Ticket && t.inquiry.Read == resumer.ReadPending {
			t.inquiry.Read, t.inquiry.Records = state, r.Records
		}
	}
	return append(d.judgeTakeUps(now), d.readRecords(now)...)
}

// addRecords adds the streams of records and, after the start, the versions that were in use
// before it.
func (d *Dispatcher) addRecords(now time.Time, records []resumer.EntryRecord) {
	merged := resumer.Merge(records)
	if d.versionsRecalled {
		d.resumer.HandleEvent(now, resumer.Event{Kind: resumer.EventLearned, Streams: merged.Streams})
		return
	}
	d.versionsRecalled = true
	d.resumer.HandleEvent(now, resumer.Event{Kind: resumer.EventRecalled, Served: merged.Served, Streams: merged.Streams})
}

// receiveVersions adds the reply of another entry that was asked for streams.
func (d *Dispatcher) receiveVersions(now time.Time, entry string, r resumer.Reply) []Action {
	d.resumer.HandleEvent(now, resumer.Event{Kind: resumer.EventLearned, Streams: r.Known})
	for _, t := range d.takeUps.waiting {
		if slices.Contains(r.Unknown, t.request.Stream) {
			t.inquiry.Replies[entry] = r.Served
		}
	}
	return d.judgeTakeUps(now)
}

// judgeTakeUps admits or refuses the requests whose version is decided, and asks the other
// entries for the streams of those for which that is the next step.
func (d *Dispatcher) judgeTakeUps(now time.Time) []Action {
	judgements := map[*takeUp]resumer.Judgement{}
	var asked []uint64
	for _, t := range d.takeUps.waiting {
		t.inquiry.Others, t.inquiry.Expired = d.entries-1, !now.Before(t.dueAt)
		j := d.resumer.Judge(now, t.inquiry)
		if j.Verdict == resumer.VerdictAsk {
			t.inquiry.Asked = true
			asked = append(asked, t.request.Stream)
			// The records may tell without any reply.
			j = d.resumer.Judge(now, t.inquiry)
		}
		judgements[t] = j
	}
	decided := d.takeUps.take(func(t *takeUp) bool { return judgements[t].Verdict != resumer.VerdictWait })
	var out []Action
	if len(asked) > 0 {
		out = append(out, Action{Kind: ActionFetchVersions, Streams: asked})
	}
	for _, t := range decided {
		out = append(out, d.endTakeUp(now, t, judgements[t])...)
	}
	return out
}

// endTakeUp admits a request at the version of its stream, or refuses it.
func (d *Dispatcher) endTakeUp(now time.Time, t *takeUp, j resumer.Judgement) []Action {
	f, failure := d.check(now, t.request)
	f.summary.TakeUp = j.Reason
	if failure == nil && j.Verdict == resumer.VerdictRefuse {
		failure = versionUnknownFailure()
	}
	if failure != nil {
		return []Action{d.failAction(now, f, failure)}
	}
	f.boundVersion = j.Version
	return d.start(now, f)
}

// refuseTakeUps refuses all requests that wait.
func (d *Dispatcher) refuseTakeUps(now time.Time) []Action {
	var out []Action
	for _, t := range d.takeUps.take(func(*takeUp) bool { return true }) {
		out = append(out, d.endTakeUp(now, t, resumer.Judgement{Verdict: resumer.VerdictRefuse, Reason: "stopping"})...)
	}
	return out
}

// abortTakeUp forgets a request that waits. It returns false if there is none with the
// identity.
func (d *Dispatcher) abortTakeUp(id string) bool {
	return len(d.takeUps.take(func(t *takeUp) bool { return t.request.ID == id })) > 0
}

// TakeUpDueAt returns the time at which EventTakeUpDue is due, or the zero time if no request
// waits for the version of its stream.
func (d *Dispatcher) TakeUpDueAt() time.Time {
	if len(d.takeUps.waiting) == 0 {
		return time.Time{}
	}
	return d.takeUps.waiting[0].dueAt
}

// KnownVersions returns the reply of this entry to one that asks for streams.
func (d *Dispatcher) KnownVersions(now time.Time, streams []uint64) resumer.Reply {
	return d.resumer.Reply(now, streams)
}
