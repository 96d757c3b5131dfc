// Package sharer carries out the decisions of package limiter in an entry.
//
// A [Sharer] is a duty that owns the shares of this entry and the divisions of
// the limits that this entry owns. Requests come from the router over a ring;
// reports and shares are messages between entries without a wait for an
// answer, so that one entry that is slow or gone holds up nobody: a report
// without an answer is given up after [AnswerTimeout].
//
// The owner of an organisation's limit is chosen among the live entries by
// rendezvous hashing, so that all entries agree without asking each other.
//
// # Usage
//
//	s := sharer.New(sharer.Options{Entry: "entry-1", Clock: c, Owners: x.OwnerCandidates, Decided: router.Limited})
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
	// AnswerTimeout is the time after which an owner is taken to be gone. It is
	// a few times the delay between regions and a small part of the target of 1 s
	// for the first token.
	AnswerTimeout = 100 * time.Millisecond
	// forgetPause is the time between two clean-ups of the owned limits.
	forgetPause = 10 * time.Second
	// inputCapacity is the number of events that may wait. A full ring makes the
	// router wait.
	inputCapacity     = 1024
	decisionsCapacity = 4096
)

// Options configures a sharer.
type Options struct {
	Entry string
	Clock timer.Clock
	// Entries returns the number of live entries, and Owners the identities among
	// which the owner of a limit is chosen.
	Entries func() int
	Owners  func() []string
	// SendReport sends a message to another entry and reports false if that
	// cannot be reached. It does not wait.
	SendReport func(entry string, r limiter.Report) bool
	// Decided is called with each decision by a duty of its own, so that it may
	// wait for somebody who waits for the sharer.
	Decided func(Decision)
}

// Decision says whether a request may enter.
type Decision struct {
	Request      string
	Organisation string
	Entered      bool
}

// Request asks whether a request may enter.
type Request struct {
	ID           string
	Organisation string
	Limit        limiter.Limit
}

// Sharer shares the limits of organisations with other entries.
type Sharer struct {
	options Options
	input   *buffer.Ring[event, buffer.Block]
	// decisions carries decisions to the duty that hands them on. Its capacity
	// is that of all requests that can wait, so that the sharer never waits.
	decisions *buffer.Ring[Decision, buffer.Block]
	done      chan struct{}
	handed    chan struct{}

	// The fields below are owned by the duty.
	holder limiter.Holder
	owner  limiter.Owner
	// unanswered holds the time at which the report of an organisation is given
	// up.
	unanswered map[string]time.Time
	forgetAt   time.Time
}

type eventKind int

const (
	eventAsk eventKind = iota
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
	// answer sends the share to the author of the report.
	answer func(limiter.Share)
}

// New starts a sharer.
func New(o Options) *Sharer {
	now := o.Clock.Now()
	s := &Sharer{
		options:    o,
		input:      buffer.New[event, buffer.Block]("sharer_input", inputCapacity),
		decisions:  buffer.New[Decision, buffer.Block]("sharer_decisions", decisionsCapacity),
		done:       make(chan struct{}),
		handed:     make(chan struct{}),
		holder:     limiter.Holder{Entry: o.Entry},
		owner:      limiter.Owner{Started: now},
		unanswered: map[string]time.Time{},
		forgetAt:   now.Add(forgetPause),
	}
	go func() {
		defer close(s.done)
		for s.step() {
		}
	}()
	go func() {
		defer close(s.handed)
		for {
			d, ok := s.decisions.Take(context.Background())
			if !ok {
				return
			}
			o.Decided(d)
		}
	}()
	return s
}

// Ask asks for the entry of a request. The answer comes through Decided.
func (s *Sharer) Ask(r Request) {
	s.input.Put(context.Background(), event{kind: eventAsk, request: r})
}

// End tells that a request which had entered has ended.
func (s *Sharer) End(organisation string) {
	s.input.Put(context.Background(), event{kind: eventEnd, organisation: organisation})
}

// Report takes in the report of another entry, which gets its share by answer.
// That must not wait.
func (s *Sharer) Report(r limiter.Report, answer func(limiter.Share)) {
	s.input.Put(context.Background(), event{kind: eventReport, report: r, answer: answer})
}

// Share takes in the answer of an owner.
func (s *Sharer) Share(share limiter.Share) {
	s.input.Put(context.Background(), event{kind: eventShare, share: share})
}

// Stop ends the duty.
func (s *Sharer) Stop() {
	s.input.Close()
	s.decisions.Close()
	<-s.done
	<-s.handed
}

// Stats returns the states of the rings.
func (s *Sharer) Stats() []buffer.Stats {
	return []buffer.Stats{s.input.Stats(), s.decisions.Stats()}
}

func (s *Sharer) step() bool {
	wake, stop := s.options.Clock.After(s.wakeAt().Sub(s.options.Clock.Now()))
	defer stop()
	select {
	case e := <-s.input.C():
		s.take(s.options.Clock.Now(), e)
	case <-wake:
		s.expire(s.options.Clock.Now())
	case <-s.input.Done():
		return false
	}
	return true
}

func (s *Sharer) wakeAt() time.Time {
	at := s.forgetAt
	if due := s.holder.Wake(); !due.IsZero() && due.Before(at) {
		at = due
	}
	for _, t := range s.unanswered {
		if t.Before(at) {
			at = t
		}
	}
	return at
}

func (s *Sharer) take(now time.Time, e event) {
	switch e.kind {
	case eventAsk:
		s.hold(now, limiter.Event{
			Kind: limiter.EventRequested, Organisation: e.request.Organisation,
			Request: e.request.ID, Limit: e.request.Limit, Entries: s.options.Entries(),
		})
	case eventEnd:
		s.hold(now, limiter.Event{Kind: limiter.EventEnded, Organisation: e.organisation})
	case eventReport:
		e.answer(s.owner.Divide(now, e.report))
	case eventShare:
		delete(s.unanswered, e.share.Organisation)
		s.hold(now, limiter.Event{Kind: limiter.EventShared, Organisation: e.share.Organisation, Share: e.share})
	}
}

// hold gives an event to the holder and carries out what follows.
func (s *Sharer) hold(now time.Time, e limiter.Event) {
	d := s.holder.Step(now, e)
	for _, id := range d.Admitted {
		s.decide(Decision{Request: id, Organisation: e.Organisation, Entered: true})
	}
	for _, id := range d.Refused {
		s.decide(Decision{Request: id, Organisation: e.Organisation})
	}
	if d.Report == nil {
		return
	}
	owner := s.ownerOf(d.Report.Organisation)
	if owner == s.options.Entry {
		share := s.owner.Divide(now, *d.Report)
		s.hold(now, limiter.Event{Kind: limiter.EventShared, Organisation: share.Organisation, Share: share})
		return
	}
	if !s.options.SendReport(owner, *d.Report) {
		s.hold(now, limiter.Event{Kind: limiter.EventUnanswered, Organisation: d.Report.Organisation})
		return
	}
	s.unanswered[d.Report.Organisation] = now.Add(AnswerTimeout)
}

func (s *Sharer) decide(d Decision) { s.decisions.Put(context.Background(), d) }

func (s *Sharer) ownerOf(organisation string) string {
	if entries := picker.Subset(organisation, s.options.Owners(), 1); len(entries) > 0 {
		return entries[0]
	}
	return s.options.Entry
}

func (s *Sharer) expire(now time.Time) {
	for organisation, at := range s.unanswered {
		if !at.After(now) {
			delete(s.unanswered, organisation)
			s.hold(now, limiter.Event{Kind: limiter.EventUnanswered, Organisation: organisation})
		}
	}
	if due := s.holder.Wake(); !due.IsZero() && !due.After(now) {
		s.hold(now, limiter.Event{Kind: limiter.EventTicked})
	}
	if !s.forgetAt.After(now) {
		s.owner.RemoveExpired(now)
		s.forgetAt = now.Add(forgetPause)
	}
}
