// Package provisioner is the duty that orders upstreams: it sends the orders of package
// scaler to the platform while this entry holds the lease of the duty.
//
// The [Core] is a decision without I/O. It passes observations to the scaler and decides
// which order is sent when: rises first, then other changes, then repeats. An order is
// repeated at intervals, since a call may have been lost, or an older one may have been
// executed after it. All calls share a pace, and back off after failures.
//
// The [Provisioner] owns the core in one goroutine. Further goroutines send the calls, so
// that a slow call delays no decision. They are joined by two rings. Before each call the
// lease is checked again, and the call ends before the lease does. An order that is
// refused because of its fencing token ends the term, and so do several failures in a
// row: another entry may reach the API.
//
// The state is soft. A term begins without orders, and with the upstreams that are there.
//
// # Usage
//
//	p := provisioner.New(provisioner.Options{
//		Clock: c, Lease: lease, Sender: api, Pace: pace,
//		Snapshot: func(held bool) provisioner.Snapshot { return snapshot },
//	})
//	defer p.Stop()
package provisioner

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/leaser"
	"magnoliafront.dev/magnoliafront/internal/process/recoverer"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// heldStepInterval is the time between two observations of a holder. The demand is
	// computed every 400 ms.
	heldStepInterval = 500 * time.Millisecond
	// idleStepInterval is the time between two observations of other entries. They only
	// remember the zones of the services.
	idleStepInterval = time.Second
	// senderCount is the maximum number of calls at once.
	senderCount = 4
	// ringCapacity is the capacity of each ring, which is at least senderCount.
	ringCapacity = 8
	// callTimeout is the maximum duration of a call, and leaseMargin the time by which it
	// must end before the lease.
	callTimeout = time.Second
	leaseMargin = 100 * time.Millisecond
)

// Lease is the lease under which orders are sent.
type Lease interface {
	// Held returns the fencing token and whether this entry holds the lease now.
	Held() (token int64, held bool)
	// Remaining returns the time for which this entry holds the lease.
	Remaining() time.Duration
	// GiveUp ends the lease of this entry at once.
	GiveUp(cause string)
}

// Sender sends an order to the platform, under a fencing token.
type Sender interface {
	Order(ctx context.Context, token int64, o Target) Outcome
}

// Options configures a provisioner.
type Options struct {
	Clock  timer.Clock
	Lease  Lease
	Sender Sender
	Pace   leaser.Pace
	// Snapshot returns the state on which orders are based. The demand is needed only if
	// this entry holds the lease. It must not block.
	Snapshot func(held bool) Snapshot
	// Observe is called at the end of each call. It must not block. It may be nil.
	Observe func(Outcome)
	// Recoverer handles panics. It may be nil.
	Recoverer *recoverer.Recoverer
}

// Provisioner sends the orders of one entry. Create it with [New].
type Provisioner struct {
	options Options
	calls   *buffer.Ring[Call, buffer.Reject]
	results *buffer.Ring[Result, buffer.Block]
	cancel  context.CancelFunc
	done    chan struct{}
	senders [senderCount]chan struct{}
	// core is owned by the goroutine of step.
	core Core
}

// New starts a provisioner.
func New(o Options) *Provisioner {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Provisioner{
		options: o, cancel: cancel, done: make(chan struct{}),
		calls:   buffer.New[Call, buffer.Reject]("provisioner_calls", ringCapacity),
		results: buffer.New[Result, buffer.Block]("provisioner_results", ringCapacity),
		core:    Core{Pace: o.Pace, MaxPending: senderCount},
	}
	for i := range p.senders {
		p.senders[i] = make(chan struct{})
		go func() {
			defer close(p.senders[i])
			for p.send(ctx) {
			}
		}()
	}
	go func() {
		defer close(p.done)
		for p.step(ctx) {
		}
	}()
	return p
}

// Stop ends the goroutines and waits for them. Calls in flight are cancelled.
func (p *Provisioner) Stop() {
	p.cancel()
	<-p.done
	for _, s := range p.senders {
		<-s
	}
}

// Stats returns the states of the rings.
func (p *Provisioner) Stats() []buffer.Stats {
	return []buffer.Stats{p.calls.Stats(), p.results.Stats()}
}

// step waits for a result or for the next observation, and starts the calls that are
// due. It returns false once ctx has ended.
func (p *Provisioner) step(ctx context.Context) bool {
	wake, stop := p.options.Clock.After(p.core.NextStep(p.options.Clock.Now()))
	defer stop()
	select {
	case r := <-p.results.C():
		_ = p.options.Recoverer.Run("provisioner result", func() { p.handleResult(r) })
	case <-wake:
		_ = p.options.Recoverer.Run("provisioner step", p.observe)
	case <-ctx.Done():
		return false
	}
	for {
		c, ok := p.core.Next(p.options.Clock.Now())
		if !ok {
			return true
		}
		if c.Changed {
			klog.InfoS("scale order", "service", c.Target.Service, "availability_zone", c.Target.AvailabilityZone,
				"desired", c.Target.Desired, "previous", c.Previous, "reason", c.Reason.String(), "token", c.Token)
		}
		if !p.calls.Put(ctx, c) {
			p.core.HandleResult(p.options.Clock.Now(), Result{Call: c, Outcome: OutcomeNotSent})
		}
	}
}

// observe passes the state to the core if an observation is due.
func (p *Provisioner) observe() {
	if !p.core.MustObserve(p.options.Clock.Now()) {
		return
	}
	token, held := p.options.Lease.Held()
	wasKnown := p.core.DemandKnown()
	p.core.Observe(p.options.Clock.Now(), Term{Token: token, Held: held}, p.options.Snapshot(held))
	if known := p.core.DemandKnown(); held && known != wasKnown {
		klog.InfoS("demand of services", "known", known, "token", token)
	}
}

func (p *Provisioner) handleResult(r Result) {
	if p.options.Observe != nil {
		p.options.Observe(r.Outcome)
	}
	if r.Outcome != OutcomeConfirmed {
		klog.InfoS("scale order not confirmed", "service", r.Call.Target.Service, "availability_zone", r.Call.Target.AvailabilityZone,
			"desired", r.Call.Target.Desired, "result", r.Outcome.String(), "token", r.Call.Token)
	}
	if cause := p.core.HandleResult(p.options.Clock.Now(), r); cause != "" {
		p.options.Lease.GiveUp(cause)
	}
}

// send takes one call and makes it. It returns false once ctx has ended.
func (p *Provisioner) send(ctx context.Context) bool {
	c, ok := p.calls.Take(ctx)
	if !ok {
		return false
	}
	r := Result{Call: c, Outcome: OutcomeUnknown}
	_ = p.options.Recoverer.Run("provisioner call", func() { r.Outcome = p.call(ctx, c) })
	p.results.Put(ctx, r)
	return true
}

// call makes a call if this entry still holds the lease with the token of the call.
func (p *Provisioner) call(ctx context.Context, c Call) Outcome {
	timeout := min(callTimeout, p.options.Lease.Remaining()-leaseMargin)
	token, held := p.options.Lease.Held()
	if !held || token != c.Token || timeout <= 0 {
		return OutcomeNotSent
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wake, stop := p.options.Clock.After(timeout)
	defer stop()
	go func() {
		select {
		case <-wake:
			cancel()
		case <-ctx.Done():
		}
	}()
	return p.options.Sender.Order(ctx, c.Token, c.Target)
}
