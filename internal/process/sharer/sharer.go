// Package sharer executes the decisions of package limiter in an entry.
//
// One goroutine of a [Sharer] owns the [limiter.Holder] of its entry, and the
// [limiter.Owner] for the limits that the entry divides; another one delivers the
// decisions. Requests come from the router through a ring. Reports and shares are
// asynchronous messages between entries, so that a slow or failed entry delays no
// other: a report times out after [AnswerTimeout] without an answer.
//
// The owner of an organisation's limit is selected among the live entries by
// rendezvous hashing, so that all entries select the same one without
// communicating.
//
// # Usage
//
//	s := sharer.New(sharer.Options{
//		Entry: "entry-1", Clock: c, EntryCount: x.EntryCount, OwnerCandidates: x.OwnerCandidates,
//		SendReport: send, OnDecision: router.LimitDecided,
//	})
//	s.Ask(sharer.Request{ID: id, Organisation: "notch-guides", Limit: l})
//	s.End("notch-guides")
package sharer

import (
	"context"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/limiter"
	"magnoliafront.dev/magnoliafront/internal/process/picker"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// AnswerTimeout is the time after which an owner that has not answered a report
	// is considered unreachable. It is a few times the network delay between
	// regions and a small part of the first token target of 1 s.
	AnswerTimeout = 100 * time.Millisecond
	// cleanupInterval is the interval at which the owner removes expired shares.
	cleanupInterval = 10 * time.Second
	// inputCapacity is the maximum number of queued events. A full ring blocks the
	// router.
	inputCapacity = 1024
	// decisionsCapacity is at least the number of requests that can wait for a
	// decision, so that the sharer never blocks on a full ring.
	decisionsCapacity = 4096
)

// Options configures a sharer.
type Options struct {
	// Entry is the identity of this entry.
	Entry string
	Clock timer.Clock
	// EntryCount returns the number of live entries, and OwnerCandidates the
	// identities of the entries among which the owner of a limit is selected.
	EntryCount      func() int
	OwnerCandidates func() []string
	// SendReport sends a report to another entry without blocking. It returns false
	// if that entry cannot be reached.
	SendReport func(entry string, r limiter.Report) bool
	// OnDecision is called with each decision from one dedicated goroutine, so that
	// it may block on a goroutine that is blocked on the sharer.
	OnDecision func(Decision)
}

// Decision is the admission decision for a request.
type Decision struct {
	Request      string
	Organisation string
	Admitted     bool
}

// Request is a request that needs an admission decision.
type Request struct {
	ID           string
	Organisation string
	Limit        limiter.Limit
}

// Sharer enforces the limits of organisations together with the other entries.
type Sharer struct {
	options Options
	input   *buffer.Ring[event, buffer.Block]
	// decisions carries the decisions to the goroutine that calls OnDecision.
	decisions    *buffer.Ring[Decision, buffer.Block]
	loopDone     chan struct{}
	deliveryDone chan struct{}

	// The fields below are accessed only by the goroutine that calls step.
	holder limiter.Holder
	owner  limiter.Owner
	// reportDeadlines holds the time at which the unanswered report of each
	// organisation times out.
	reportDeadlines map[string]time.Time
	cleanupAt       time.Time
}

type eventKind int

const (
	eventRequest eventKind = iota
	eventEnd
	eventReport
	eventShare
)

type event struct {
	kind         eventKind
	request      Request
	organisation string
	report       limiter.Report
	share        limiter.Share
	// reply sends the share to the entry that sent the report.
	reply func(limiter.Share)
}

// New starts a sharer.
func New(o Options) *Sharer {
	now := o.Clock.Now()
	s := &Sharer{
		options:         o,
		input:           buffer.New[event, buffer.Block]("sharer_input", inputCapacity),
		decisions:       buffer.New[Decision, buffer.Block]("sharer_decisions", decisionsCapacity),
		loopDone:        make(chan struct{}),
		deliveryDone:    make(chan struct{}),
		holder:          limiter.Holder{Entry: o.Entry},
		owner:           limiter.Owner{Started: now},
		reportDeadlines: map[string]time.Time{},
		cleanupAt:       now.Add(cleanupInterval),
	}
	go func() {
		defer close(s.loopDone)
		for s.step() {
		}
	}()
	go func() {
		defer close(s.deliveryDone)
		for {
			d, ok := s.decisions.Take(context.Background())
			if !ok {
				return
			}
			o.OnDecision(d)
		}
	}()
	return s
}

// Ask requests an admission decision, which is passed to OnDecision. It blocks
// while the input ring is full.
func (s *Sharer) Ask(r Request) {
	s.input.Put(context.Background(), event{kind: eventRequest, request: r})
}

// End reports the end of an admitted request of an organisation.
func (s *Sharer) End(organisation string) {
	s.input.Put(context.Background(), event{kind: eventEnd, organisation: organisation})
}

// Report processes a report of another entry and passes the share of that entry to
// reply, which must not block.
func (s *Sharer) Report(r limiter.Report, reply func(limiter.Share)) {
	s.input.Put(context.Background(), event{kind: eventReport, report: r, reply: reply})
}

// Share processes the share that an owner sent in answer to a report.
func (s *Sharer) Share(share limiter.Share) {
	s.input.Put(context.Background(), event{kind: eventShare, share: share})
}

// Stop stops the goroutines of the sharer and waits until they have ended.
func (s *Sharer) Stop() {
	s.input.Close()
	s.decisions.Close()
	<-s.loopDone
	<-s.deliveryDone
}

// Stats returns the statistics of the rings.
func (s *Sharer) Stats() []buffer.Stats {
	return []buffer.Stats{s.input.Stats(), s.decisions.Stats()}
}

// step processes the next event or due timer. It returns false once the sharer is
// stopped.
func (s *Sharer) step() bool {
	wake, stop := s.options.Clock.After(s.nextWake().Sub(s.options.Clock.Now()))
	defer stop()
	select {
	case e := <-s.input.C():
		s.handle(s.options.Clock.Now(), e)
	case <-wake:
		s.handleTimers(s.options.Clock.Now())
	case <-s.input.Done():
		return false
	}
	return true
}

// nextWake returns the time of the earliest timer.
func (s *Sharer) nextWake() time.Time {
	at := s.cleanupAt
	if due := s.holder.Wake(); !due.IsZero() && due.Before(at) {
		at = due
	}
	for _, deadline := range s.reportDeadlines {
		if deadline.Before(at) {
			at = deadline
		}
	}
	return at
}

func (s *Sharer) handle(now time.Time, e event) {
	switch e.kind {
	case eventRequest:
		s.stepHolder(now, limiter.Event{
			Kind: limiter.EventRequested, Organisation: e.request.Organisation,
			Request: e.request.ID, Limit: e.request.Limit, Entries: s.options.EntryCount(),
		})
	case eventEnd:
		s.stepHolder(now, limiter.Event{Kind: limiter.EventEnded, Organisation: e.organisation})
	case eventReport:
		e.reply(s.owner.Divide(now, e.report))
	case eventShare:
		delete(s.reportDeadlines, e.share.Organisation)
		s.stepHolder(now, limiter.Event{Kind: limiter.EventShared, Organisation: e.share.Organisation, Share: e.share})
	}
}

// stepHolder passes an event to the holder, delivers the decisions and sends the
// report that result from it.
func (s *Sharer) stepHolder(now time.Time, e limiter.Event) {
	d := s.holder.Step(now, e)
	for _, id := range d.Admitted {
		s.deliver(Decision{Request: id, Organisation: e.Organisation, Admitted: true})
	}
	for _, id := range d.Refused {
		s.deliver(Decision{Request: id, Organisation: e.Organisation})
	}
	if d.Report == nil {
		return
	}
	owner := s.ownerOf(d.Report.Organisation)
	if owner == s.options.Entry {
		share := s.owner.Divide(now, *d.Report)
		s.stepHolder(now, limiter.Event{Kind: limiter.EventShared, Organisation: share.Organisation, Share: share})
		return
	}
	if !s.options.SendReport(owner, *d.Report) {
		s.stepHolder(now, limiter.Event{Kind: limiter.EventUnanswered, Organisation: d.Report.Organisation})
		return
	}
	s.reportDeadlines[d.Report.Organisation] = now.Add(AnswerTimeout)
}

func (s *Sharer) deliver(d Decision) { s.decisions.Put(context.Background(), d) }

// ownerOf returns the entry that owns the limit of an organisation.
func (s *Sharer) ownerOf(organisation string) string {
	if entries := picker.Subset(organisation, s.options.OwnerCandidates(), 1); len(entries) > 0 {
		return entries[0]
	}
	return s.options.Entry
}

// handleTimers processes the timers that are due: unanswered reports, the holder's
// next wake-up and the removal of expired shares.
func (s *Sharer) handleTimers(now time.Time) {
	for organisation, deadline := range s.reportDeadlines {
		if !deadline.After(now) {
			delete(s.reportDeadlines, organisation)
			s.stepHolder(now, limiter.Event{Kind: limiter.EventUnanswered, Organisation: organisation})
		}
	}
	if due := s.holder.Wake(); !due.IsZero() && !due.After(now) {
		s.stepHolder(now, limiter.Event{Kind: limiter.EventTicked})
	}
	if !s.cleanupAt.After(now) {
		s.owner.RemoveExpired(now)
		s.cleanupAt = now.Add(cleanupInterval)
	}
}
