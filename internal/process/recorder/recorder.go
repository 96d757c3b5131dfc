// Package recorder stores the latest events of one process for the timeline.
//
// The goroutine of a [Recorder] owns a circular buffer of the latest events.
// Other goroutines send it events over a ring that drops the oldest event when
// it is full, so that recording never blocks the request path. Every event is
// stamped with the hybrid logical clock of the process when it is recorded.
//
// # Usage
//
//	r := recorder.New(recorder.Options{Process: "entry-1", Clock: c})
//	r.Record(tracer.Event{Kind: tracer.KindAdmitted, Request: id})
//	events := r.Fetch(ctx, recorder.Query{Request: id})
//	page := r.Page(ctx, recorder.Query{After: last})
package recorder

import (
	"context"
	"slices"
	"sync/atomic"

	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	// inputCapacity is the capacity of the input ring in events.
	inputCapacity = 4096
	// defaultMaxEvents is the default number of retained events. At about 200
	// bytes each they use some 13 MB of the control plane's limit of 128 MB per
	// node.
	defaultMaxEvents = 65536
	// maxReasonBytes limits the Reason of an event; the rest is cut off.
	maxReasonBytes = 512
	// maxPageBytes limits the estimated size of a page. A message between processes
	// has at most 1 MB.
	maxPageBytes = 256 << 10
	// eventBaseBytes is the JSON size of an event, rounded up, without the strings
	// whose lengths Page adds.
	eventBaseBytes = 700
)

// Options configures a recorder.
type Options struct {
	Process          string
	AvailabilityZone string
	Clock            timer.Clock
	// MaxEvents is the number of retained events. Zero means the default of 65,536.
	MaxEvents int
	// Observe is called by the recorder's goroutine with each event. It may be nil.
	Observe func(tracer.Event)
}

// Query filters events. A zero field matches all events.
type Query struct {
	Request      string `json:"request,omitempty"`
	Class        string `json:"class,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Upstream     string `json:"upstream,omitempty"`
	// After matches the events with a later stamp.
	After tracer.Stamp `json:"after"`
	// Limit is the maximum number of events; the latest ones are returned. Zero
	// means no limit.
	Limit int `json:"limit,omitempty"`
	// Agent is the name of an upstream. If it is set, an entry returns the events
	// of the upstream's agent instead of its own.
	Agent string `json:"agent,omitempty"`
}

// Page is the response to a query over a connection. It contains the oldest
// matching events, as many as fit into one message.
type Page struct {
	Events []tracer.Event `json:"events"`
	// More is true if later events match. To get them, set Query.After to the
	// stamp of the last event of this page.
	More bool `json:"more,omitempty"`
	// Agents lists the upstreams whose agents the responding entry can query.
	Agents []string `json:"agents,omitempty"`
}

// Matches reports whether e matches all fields of q except Limit and Agent.
func (q Query) Matches(e *tracer.Event) bool {
	return (q.Request == "" || q.Request == e.Request) &&
		(q.Class == "" || q.Class == e.Class) &&
		(q.Organisation == "" || q.Organisation == e.Organisation) &&
		(q.Upstream == "" || q.Upstream == e.Upstream) &&
		e.Stamp.Compare(q.After) > 0
}

// Recorder stamps events and stores the latest ones.
type Recorder struct {
	options   Options
	lastStamp atomic.Pointer[tracer.Stamp]
	input     *buffer.Ring[tracer.Event, buffer.DropOldest]
	queries   *buffer.Ring[fetchRequest, buffer.Block]
	done      chan struct{}
	// events is a circular buffer whose oldest event has the index oldest. Both
	// fields are owned by the recorder's goroutine.
	events []tracer.Event
	oldest int
}

type fetchRequest struct {
	query Query
	reply chan []tracer.Event
}

// New returns a recorder whose goroutine is running.
func New(o Options) *Recorder {
	if o.MaxEvents == 0 {
		o.MaxEvents = defaultMaxEvents
	}
	r := &Recorder{
		options: o,
		input:   buffer.New[tracer.Event, buffer.DropOldest]("recorder_input", inputCapacity),
		queries: buffer.New[fetchRequest, buffer.Block]("recorder_queries", 16),
		done:    make(chan struct{}),
	}
	r.lastStamp.Store(&tracer.Stamp{})
	go func() {
		defer close(r.done)
		for r.processNext() {
		}
	}()
	return r
}

// Stop stores the events that are left in the input ring and ends the goroutine.
func (r *Recorder) Stop() {
	r.input.Close()
	r.queries.Close()
	<-r.done
}

// Record stamps e and queues it for storage without blocking.
func (r *Recorder) Record(e tracer.Event) {
	e.Stamp = r.Stamp()
	e.Process = r.options.Process
	e.AvailabilityZone = r.options.AvailabilityZone
	e.Reason = e.Reason[:min(len(e.Reason), maxReasonBytes)]
	r.input.Put(context.Background(), e)
}

// Stamp advances the clock and returns the stamp for a message to be sent.
func (r *Recorder) Stamp() tracer.Stamp {
	return r.advanceClock(tracer.Stamp{})
}

// Merge advances the clock past s, the stamp of a received message.
func (r *Recorder) Merge(s tracer.Stamp) {
	r.advanceClock(s)
}

func (r *Recorder) advanceClock(s tracer.Stamp) tracer.Stamp {
	now := r.options.Clock.Now()
	for {
		last := r.lastStamp.Load()
		next := last.Merge(s, now)
		if r.lastStamp.CompareAndSwap(last, &next) {
			return next
		}
	}
}

// Fetch returns the stored events that match q, oldest first, also after
// [Recorder.Stop]. It returns nil when ctx is done.
func (r *Recorder) Fetch(ctx context.Context, q Query) []tracer.Event {
	f := fetchRequest{query: q, reply: make(chan []tracer.Event, 1)}
	r.queries.Put(ctx, f)
	select {
	case events := <-f.reply:
		return events
	case <-ctx.Done():
		return nil
	case <-r.done:
		// The goroutine has ended, so the events no longer change.
		return r.matching(q)
	}
}

// Page returns the oldest stored events that match q: at least one, and no more than
// fit into maxPageBytes.
func (r *Recorder) Page(ctx context.Context, q Query) Page {
	p := Page{Events: r.Fetch(ctx, q)}
	size := 0
	for i, e := range p.Events {
		size += eventBaseBytes + len(e.Reason) + len(e.Request) + len(e.Cause) + len(e.Class) + len(e.Organisation) + len(e.Upstream) + len(e.Service)
		if size > maxPageBytes && i > 0 {
			p.Events, p.More = p.Events[:i], true
			return p
		}
	}
	return p
}

// Stats returns the statistics of the input ring.
func (r *Recorder) Stats() buffer.Stats { return r.input.Stats() }

func (r *Recorder) processNext() bool {
	select {
	case e := <-r.input.C():
		r.store(e)
	case f := <-r.queries.C():
		r.drainInput()
		f.reply <- r.matching(f.query)
	case <-r.input.Done():
		r.drainInput()
		return false
	}
	return true
}

// drainInput stores all events of the input ring. It runs before a query is
// answered, so that a goroutine's query finds the events that it has recorded.
func (r *Recorder) drainInput() {
	for {
		e, ok := r.input.TryTake()
		if !ok {
			return
		}
		r.store(e)
	}
}

func (r *Recorder) store(e tracer.Event) {
	if r.options.Observe != nil {
		r.options.Observe(e)
	}
	if len(r.events) < r.options.MaxEvents {
		r.events = append(r.events, e)
		return
	}
	r.events[r.oldest] = e
	r.oldest = (r.oldest + 1) % len(r.events)
}

func (r *Recorder) matching(q Query) []tracer.Event {
	var out []tracer.Event
	for i := range r.events {
		e := &r.events[(r.oldest+i)%len(r.events)]
		if q.Matches(e) {
			out = append(out, *e)
		}
	}
	slices.SortStableFunc(out, func(a, b tracer.Event) int { return a.Stamp.Compare(b.Stamp) })
	if q.Limit > 0 && len(out) > q.Limit {
		out = out[len(out)-q.Limit:]
	}
	return out
}
