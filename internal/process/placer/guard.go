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
	// LeaseName is the name of the lease whose holder sends orders.
	LeaseName = "placement"
	// maxWaitingOrders is the maximum number of orders that wait at one agent. A
	// controller has few orders for one agent, so a higher number indicates a
	// fault, and further orders are refused.
	maxWaitingOrders = 16
	// orderTimeout limits the total duration of the calls to the platform and to
	// the engine for one order.
	orderTimeout = 5 * time.Second
	// ordersPath is the path of the engine API that receives orders.
	ordersPath = "/v1/orders"
	// maxEngineStateBytes is the maximum size of an engine response.
	maxEngineStateBytes = 1 << 20
)

// The reasons with which an agent refuses an order.
const (
	ReasonStaleNumber       = "stale_number"
	ReasonNumberNotLearned  = "number_not_learned"
	ReasonEngineRefused     = "engine_refused"
	ReasonEngineUnreachable = "engine_unreachable"
	ReasonBusy              = "busy"
)

// Fence decides by fencing number and sequence number whether an order may be
// forwarded to the engine. The zero value has learned no fencing number and
// refuses all orders.
type Fence struct {
	// Learned is true once a fencing number was read from the platform.
	Learned bool
	// HighestNumber is the highest fencing number seen.
	HighestNumber int64
	// LastSequence is the sequence number of the last admitted order under
	// HighestNumber.
	LastSequence int64
}

// Learn records a fencing number that was read from the platform.
func (f *Fence) Learn(number int64) {
	f.Learned = true
	f.advance(number)
}

// Admit returns the reason for which the order is refused. It returns "" and
// records both numbers if the order may be forwarded.
func (f *Fence) Admit(number, sequence int64) string {
	switch {
	case !f.Learned:
		return ReasonNumberNotLearned
	case number < f.HighestNumber, number == f.HighestNumber && sequence <= f.LastSequence:
		return ReasonStaleNumber
	}
	f.advance(number)
	f.LastSequence = sequence
	return ""
}

// advance sets a higher fencing number, under which no order was admitted yet.
func (f *Fence) advance(number int64) {
	if number > f.HighestNumber {
		f.HighestNumber, f.LastSequence = number, 0
	}
}

// GuardOptions configures a [Guard].
type GuardOptions struct {
	// Upstream is the name of the engine in recorded events.
	Upstream string
	// URL is the base URL of the engine.
	URL      string
	Client   *http.Client
	Store    accessor.Store
	Clock    timer.Clock
	Recorder *recorder.Recorder
}

// Guard forwards the orders that an agent receives to its engine, one at a time,
// in a goroutine of its own. Before each order it reads the fencing number of the
// lease from the platform: a new holder may not have reached this agent yet, and a
// restarted agent has seen no fencing number at all. Orders are rare, so the reads
// are few. While the platform is unavailable, all orders are refused.
type Guard struct {
	options GuardOptions
	input   *buffer.Ring[pendingOrder, buffer.Reject]
	cancel  context.CancelFunc
	done    chan struct{}
	// fence is owned by the goroutine.
	fence Fence
}

// pendingOrder is an order whose caller waits for the answer.
type pendingOrder struct {
	order  messenger.Order
	answer chan messenger.OrderAnswer
}

// NewGuard returns a guard and starts its goroutine.
func NewGuard(o GuardOptions) *Guard {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Guard{options: o, input: buffer.New[pendingOrder, buffer.Reject]("placer_guard", maxWaitingOrders), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(g.done)
		for {
			in, ok := g.input.Take(ctx)
			if !ok {
				return
			}
			in.answer <- g.execute(ctx, in.order)
		}
	}()
	return g
}

// Handle handles a message with an order. It blocks until the engine has responded,
// so the sender must use a separate connection for orders.
func (g *Guard) Handle(_ *messenger.Conn, m messenger.Message) (any, error) {
	in := pendingOrder{answer: make(chan messenger.OrderAnswer, 1)}
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

// Stop ends the goroutine and waits for it.
func (g *Guard) Stop() {
	g.input.Close()
	g.cancel()
	<-g.done
}

// Stats returns the statistics of the ring of waiting orders.
func (g *Guard) Stats() buffer.Stats { return g.input.Stats() }

// execute forwards the order if the fence admits it, and records a refusal.
func (g *Guard) execute(ctx context.Context, m messenger.Order) messenger.OrderAnswer {
	ctx, cancel := withTimeout(ctx, g.options.Clock, orderTimeout)
	defer cancel()
	a := messenger.OrderAnswer{Reason: ReasonNumberNotLearned}
	if number, err := g.readFencingNumber(ctx); err == nil {
		g.fence.Learn(number)
		a.Reason = g.fence.Admit(m.Number, m.Sequence)
	}
	if a.Reason == "" {
		a = g.forward(ctx, m)
	}
	a.Accepted = a.Reason == ""
	a.Number = g.fence.HighestNumber
	if !a.Accepted {
		g.options.Recorder.Record(tracer.Event{Kind: tracer.KindOrderRefused, Upstream: g.options.Upstream, Reason: a.Reason})
	}
	a.Stamp = g.options.Recorder.Stamp()
	return a
}

// readFencingNumber reads the fencing number of the lease from the platform. It
// returns zero for a lease that was never held.
func (g *Guard) readFencingNumber(ctx context.Context) (int64, error) {
	o, err := g.options.Store.Get(ctx, elector.Key(LeaseName))
	if err != nil || o.Version == 0 {
		return 0, err
	}
	r, err := elector.DecodeRecord(o.Value)
	return r.FencingNumber, err
}

// forward sends the order to the engine and converts the response to an answer.
func (g *Guard) forward(ctx context.Context, m messenger.Order) messenger.OrderAnswer {
	state, reason, err := g.postOrder(ctx, m)
	if err != nil {
		reason = ReasonEngineUnreachable
	}
	return messenger.OrderAnswer{Reason: reason, Loaded: state.Loaded, Role: state.Role}
}

// engineState is the response of an engine to an order.
type engineState struct {
	Loaded []messenger.Item `json:"loaded"`
	Role   string           `json:"role"`
}

// postOrder returns the state of the engine, or the reason if the engine refused the
// order.
func (g *Guard) postOrder(ctx context.Context, m messenger.Order) (engineState, string, error) {
	var s engineState
	body, err := json.Marshal(m)
	if err != nil {
		return s, "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.options.URL+ordersPath, bytes.NewReader(body))
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
		return s, ReasonEngineRefused, nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEngineStateBytes)).Decode(&s); err != nil {
		return s, "", errors.Wrapf(err, "read state of engine %s", g.options.Upstream)
	}
	return s, "", nil
}

// withTimeout is [context.WithTimeout] on the clock c.
func withTimeout(ctx context.Context, c timer.Clock, d time.Duration) (context.Context, context.CancelFunc) {
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
