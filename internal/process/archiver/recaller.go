package archiver

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/recoverer"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// recallTimeout bounds a read for which a caller waits.
const recallTimeout = 150 * time.Millisecond

// RecallerOptions configures a recaller.
type RecallerOptions struct {
	Store accessor.Store
	// Kind is the kind of the objects, and Identity the name of that of this entry.
	Kind     string
	Identity string
	Clock    timer.Clock
	// Recalled is called with the outcome of each read, but for failed ones after the start,
	// which are repeated.
	Recalled func(resumer.Recall)
	// Recoverer handles panics. It may be nil.
	Recoverer *recoverer.Recoverer
}

// Recaller reads the records of all entries. Create it with [NewRecaller].
type Recaller struct {
	options RecallerOptions
	tickets *buffer.Ring[uint64, buffer.DropOldest]
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	// started is true once the records were read. It is owned by the goroutine.
	started bool
}

// NewRecaller starts a recaller, which reads the records.
func NewRecaller(o RecallerOptions) *Recaller {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recaller{
		options: o, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		tickets: buffer.New[uint64, buffer.DropOldest]("recaller_tickets", 1),
	}
	go func() {
		defer close(r.done)
		r.recall(0, callTimeout)
		for r.step() {
		}
	}()
	return r
}

// Recall asks for a read that begins after the call. It does not block. The last of several
// tickets that wait replaces the others.
func (r *Recaller) Recall(ticket uint64) { r.tickets.Put(r.ctx, ticket) }

// Stats returns the state of the ring.
func (r *Recaller) Stats() []buffer.Stats { return []buffer.Stats{r.tickets.Stats()} }

// Stop ends the goroutine and its call.
func (r *Recaller) Stop() {
	r.cancel()
	r.tickets.Close()
	<-r.done
}

// step waits for a ticket or the next try after the start and reads the records. It returns
// false after Stop.
func (r *Recaller) step() bool {
	var retry <-chan time.Time
	if !r.started {
		due, stop := r.options.Clock.After(RetryInterval)
		defer stop()
		retry = due
	}
	select {
	case ticket := <-r.tickets.C():
		r.recall(ticket, recallTimeout)
	case <-retry:
		r.recall(0, callTimeout)
	case <-r.tickets.Done():
		return false
	}
	return true
}

// recall reads the records of all entries and passes them on.
func (r *Recaller) recall(ticket uint64, timeout time.Duration) {
	out := resumer.Recall{Ticket: ticket, Failed: true}
	err := r.options.Recoverer.Run("recaller read", func() { out = r.read(ticket, timeout) })
	if err == nil && !out.Failed {
		r.started = true
	}
	if r.ctx.Err() == nil && (ticket > 0 || !out.Failed) {
		r.options.Recalled(out)
	}
}

func (r *Recaller) read(ticket uint64, timeout time.Duration) resumer.Recall {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	objects, err := r.options.Store.List(ctx, r.options.Kind+"/")
	if err != nil {
		klog.InfoS("software versions of streams not read", "kind", r.options.Kind, "ticket", ticket, "err", err)
		return resumer.Recall{Ticket: ticket, Failed: true}
	}
	records := decode(objects, r.options.Kind+"/", r.options.Identity)
	klog.InfoS("software versions of streams read", "entries", len(records), "ticket", ticket)
	return resumer.Recall{Ticket: ticket, Records: records}
}
