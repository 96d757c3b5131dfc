package placer

import (
	"context"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	// reconcileInterval is the time between two reads of the demand and the
	// engines.
	reconcileInterval = 5 * time.Second
	// senderCount is the maximum number of orders that are sent concurrently.
	senderCount = 8
	// ringCapacity is the capacity of each ring. It is sufficient for the orders of
	// one step: reports, loads and one unload.
	ringCapacity = 128
)

// Lease is the lease under which orders are sent.
type Lease interface {
	// Held returns the fencing number and whether this process holds the lease now.
	Held() (int64, bool)
}

// EngineAddress is a live engine with the address of its agent.
type EngineAddress struct {
	Engine
	// Address is the network address of the agent.
	Address string
}

// ControllerOptions configures a [Controller].
type ControllerOptions struct {
	Self     messenger.Peer
	Secret   []byte
	Clock    timer.Clock
	Recorder *recorder.Recorder
	Lease    Lease
	Policy   Policy
	// Engines returns all live engines, and Demand the demand of all classes.
	// The goroutine of the controller calls them, so they must not block.
	Engines func() []EngineAddress
	Demand  func() []Demand
}

// Controller sends the orders of a [Placer] to the agents while this entry holds
// the lease. One goroutine owns the placer, and senderCount goroutines send the
// orders.
type Controller struct {
	options    ControllerOptions
	orders     *buffer.Ring[outgoingOrder, buffer.Reject]
	answers    *buffer.Ring[Event, buffer.Block]
	cancel     context.CancelFunc
	done       chan struct{}
	senderDone [senderCount]chan struct{}

	// The fields below are owned by the goroutine of [Controller.step].
	placer *Placer
	// fencingNumber is the fencing number under which the placer last ran.
	fencingNumber   int64
	addressByEngine map[string]string
}

// outgoingOrder is an order with the address of its agent.
type outgoingOrder struct {
	order   Order
	address string
}

// NewController returns a controller and starts its goroutines.
func NewController(o ControllerOptions) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		options: o, cancel: cancel, done: make(chan struct{}), placer: New(o.Policy),
		orders:  buffer.New[outgoingOrder, buffer.Reject]("placer_orders", ringCapacity),
		answers: buffer.New[Event, buffer.Block]("placer_answers", ringCapacity),
	}
	for i := range c.senderDone {
		c.senderDone[i] = make(chan struct{})
		go func() {
			defer close(c.senderDone[i])
			for {
				s, ok := c.orders.Take(ctx)
				if !ok {
					return
				}
				c.answers.Put(ctx, c.send(ctx, s))
			}
		}()
	}
	go func() {
		defer close(c.done)
		for c.step(ctx) {
		}
	}()
	return c
}

// Stop ends the goroutines and waits for them.
func (c *Controller) Stop() {
	c.cancel()
	<-c.done
	for _, s := range c.senderDone {
		<-s
	}
}

// Stats returns the statistics of the rings of orders and of answers.
func (c *Controller) Stats() []buffer.Stats {
	return []buffer.Stats{c.orders.Stats(), c.answers.Stats()}
}

// step waits for one answer or for the interval. It returns false once ctx has
// ended.
func (c *Controller) step(ctx context.Context) bool {
	wake, stop := c.options.Clock.After(reconcileInterval)
	defer stop()
	select {
	case e := <-c.answers.C():
		c.decide(e)
	case <-wake:
		c.reconcile()
	case <-ctx.Done():
		return false
	}
	return true
}

// reconcile passes the current engines and demand to the placer if this process
// holds the lease.
func (c *Controller) reconcile() {
	number, held := c.options.Lease.Held()
	if !held {
		return
	}
	c.addressByEngine = map[string]string{}
	var engines []Engine
	for _, e := range c.options.Engines() {
		engines = append(engines, e.Engine)
		c.addressByEngine[e.Name] = e.Address
	}
	if number != c.fencingNumber {
		c.fencingNumber = number
		c.decide(Event{Kind: EventElected})
	}
	c.decide(Event{Kind: EventEngines, Engines: engines})
	c.decide(Event{Kind: EventDemand, Demand: c.options.Demand()})
}

// decide passes an event to the placer and queues its orders. Without the lease it
// drops the event.
func (c *Controller) decide(e Event) {
	if _, held := c.options.Lease.Held(); !held {
		return
	}
	for _, o := range c.placer.Step(c.options.Clock.Now(), e) {
		// If the ring is full, the order is lost. The placer issues it again after
		// answerTimeout.
		c.orders.Put(context.Background(), outgoingOrder{order: o, address: c.addressByEngine[o.Engine]})
	}
}

// send sends one order to its agent and returns the answer as an event. It checks
// the lease after the connection is established, immediately before the call, so
// that a controller that was paused past its lease does not send.
func (c *Controller) send(ctx context.Context, s outgoingOrder) Event {
	e := Event{Kind: EventAnswered, Order: s.order}
	ctx, cancel := withTimeout(ctx, c.options.Clock, 2*orderTimeout)
	defer cancel()
	conn, err := messenger.Dial(ctx, s.address, messenger.Options{
		Self: c.options.Self, Secret: c.options.Secret,
		Handle: func(*messenger.Conn, messenger.Message) (any, error) { return nil, nil },
	})
	if err != nil {
		return e
	}
	defer conn.Close()
	number, held := c.options.Lease.Held()
	if !held {
		return e
	}
	m := messenger.Order{Stamp: c.options.Recorder.Stamp(), Number: number, Sequence: s.order.Sequence, Kind: s.order.Kind, Item: s.order.Item}
	if m.Kind != messenger.OrderReport {
		c.options.Recorder.Record(tracer.Event{Kind: tracer.KindOrderGiven, Upstream: s.order.Engine, Reason: string(m.Kind) + " " + m.Item.Model})
	}
	var a messenger.OrderAnswer
	if conn.Call(ctx, messenger.MethodOrder, m, &a) != nil {
		return e
	}
	c.options.Recorder.Merge(a.Stamp)
	e.LoadedKnown, e.Loaded = a.Accepted, a.Loaded
	return e
}
