package placer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/elector"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	// LeaseName is the name of the lease whose holder gives orders.
	LeaseName = "placement"
	// guardCapacity is the number of orders that may wait. Its author has few
	// orders for one agent, so more of them are a fault and refused.
	guardCapacity = 16
	// orderTimeout bounds the call of the platform and that of the engine for
	// one order.
	orderTimeout = 5 * time.Second
	// enginePath is the path at which an engine takes orders.
	enginePath = "/v1/orders"
	// maxState bounds the answer of an engine in bytes.
	maxState = 1 << 20
)

// The reasons for which an agent refuses an order.
const (
	ReasonStale       = "stale_number"
	ReasonNotLearned  = "number_not_learned"
	ReasonEngine      = "engine_refused"
	ReasonUnreachable = "engine_unreachable"
	ReasonBusy        = "busy"
)

// Fence decides whether an order may be passed on. The zero value has learned
// no number and refuses all.
type Fence struct {
	Learned bool
	Highest int64
	// Sequence is that of the last order under the highest number.
	Sequence int64
}

// Learn takes in a number that the platform holds.
func (f *Fence) Learn(number int64) {
	f.Learned = true
	f.raise(number)
}

// Admit returns why an order is refused, or "".
func (f *Fence) Admit(number, sequence int64) string {
	switch {
	case !f.Learned:
		return ReasonNotLearned
	case number < f.Highest, number == f.Highest && sequence <= f.Sequence:
		return ReasonStale
	}
	f.raise(number)
	f.Sequence = sequence
	return ""
}

func (f *Fence) raise(number int64) {
	if number > f.Highest {
		f.Highest, f.Sequence = number, 0
	}
}

// GuardOptions configures a guard.
type GuardOptions struct {
	Upstream string
	// URL is the address of the engine.
	URL      string
	Client   *http.Client
	Store    accessor.Store
	Clock    timer.Clock
	Recorder *recorder.Recorder
}

// Guard is the duty of an agent that passes orders on to its engine, one at a
// time. Before each of them it reads the number of the lease from the platform:
// a new holder may not have reached this agent yet, and a restarted agent has
// seen no number at all. Orders are rare, so that the reads are few; while the
// platform is down no order passes.
type Guard struct {
	options GuardOptions
	input   *buffer.Ring[guarded, buffer.Reject]
	cancel  context.CancelFunc
	done    chan struct{}
	// fence is owned by the duty.
	fence Fence
}

type guarded struct {
	order  messenger.Order
	answer chan messenger.OrderAnswer
}

// NewGuard starts a guard.
func NewGuard(o GuardOptions) *Guard {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Guard{options: o, input: buffer.New[guarded, buffer.Reject]("placer_guard", guardCapacity), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(g.done)
		for {
			in, ok := g.input.Take(ctx)
			if !ok {
				return
			}
			in.answer <- g.take(ctx, in.order)
		}
	}()
	return g
}

// Handle takes in the message order. It waits for the engine, so its author
// uses a connection for orders alone.
func (g *Guard) Handle(_ *messenger.Conn, m messenger.Message) (any, error) {
	in := guarded{answer: make(chan messenger.OrderAnswer, 1)}
	if err := m.Decode(&in.order); err != nil {
		return nil, err
	}
	g.options.Recorder.Merge(in.order.Stamp)
	if !g.input.Put(context.Background(), in) {
		return messenger.OrderAnswer{Reason: ReasonBusy, Stamp: g.options.Recorder.Stamp()}, nil
	}
	select {
	case a := <-in.answer:
		return a, nil
	case <-g.done:
		return messenger.OrderAnswer{Reason: ReasonBusy, Stamp: g.options.Recorder.Stamp()}, nil
	}
}

// Stop ends the duty.
func (g *Guard) Stop() {
	g.input.Close()
	g.cancel()
	<-g.done
}

// Stats returns the state of the ring.
func (g *Guard) Stats() buffer.Stats { return g.input.Stats() }

func (g *Guard) take(ctx context.Context, m messenger.Order) messenger.OrderAnswer {
	ctx, cancel := bounded(ctx, g.options.Clock, orderTimeout)
	defer cancel()
	a := messenger.OrderAnswer{Reason: ReasonNotLearned}
	if number, err := g.learn(ctx); err == nil {
		g.fence.Learn(number)
		a.Reason = g.fence.Admit(m.Number, m.Sequence)
	}
	if a.Reason == "" {
		a = g.pass(ctx, m)
	}
	a.Accepted = a.Reason == ""
	a.Number = g.fence.Highest
	if !a.Accepted {
		g.options.Recorder.Record(tracer.Event{Kind: tracer.KindOrderRefused, Upstream: g.options.Upstream, Reason: a.Reason})
	}
	a.Stamp = g.options.Recorder.Stamp()
	return a
}

// learn reads the number of the lease. A lease that nobody ever held has the
// number zero.
func (g *Guard) learn(ctx context.Context) (int64, error) {
	o, err := g.options.Store.Get(ctx, elector.Key(LeaseName))
	if err != nil || o.Version == 0 {
		return 0, err
	}
	r, err := elector.DecodeRecord(o.Value)
	return r.FencingNumber, err
}

// pass gives the order to the engine.
func (g *Guard) pass(ctx context.Context, m messenger.Order) messenger.OrderAnswer {
	state, reason, err := g.post(ctx, m)
	if err != nil {
		reason = ReasonUnreachable
	}
	return messenger.OrderAnswer{Reason: reason, Loaded: state.Loaded, Role: state.Role}
}

// state is what an engine answers to an order.
type state struct {
	Loaded []messenger.Item `json:"loaded"`
	Role   string           `json:"role"`
}

func (g *Guard) post(ctx context.Context, m messenger.Order) (state, string, error) {
	var s state
	body, err := json.Marshal(m)
	if err != nil {
		return s, "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.options.URL+enginePath, bytes.NewReader(body))
	if err != nil {
		return s, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := g.options.Client.Do(req)
	if err != nil {
		return s, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s, ReasonEngine, nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxState)).Decode(&s); err != nil {
		return s, "", errors.Wrap(err, "read state")
	}
	return s, "", nil
}

// bounded returns a context that ends after d on the clock.
func bounded(ctx context.Context, c timer.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	wake, stop := c.After(d)
	go func() {
		defer stop()
		select {
		case <-wake:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
