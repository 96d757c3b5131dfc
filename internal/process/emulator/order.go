package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// OrdersPath is the HTTP path of an engine's order endpoint.
const OrdersPath = "/v1/orders"

// OrderState is the state of an engine that orders change, and the body of the
// answer to an order.
type OrderState struct {
	Loaded []messenger.Item `json:"loaded"`
	Role   string           `json:"role,omitempty"`
	// Number is the highest fencing number that the engine has accepted.
	Number int64 `json:"number"`
}

// OrderHandler is the order endpoint of a model engine. With checksFencing it
// rejects an order whose fencing number is lower than the highest one accepted;
// otherwise it ignores the number. One goroutine owns the state.
type OrderHandler struct {
	checksFencing bool
	calls         *buffer.Ring[func(*OrderState), buffer.Block]
	done          chan struct{}
}

// NewOrderHandler starts an order endpoint with nothing loaded. If checksFencing
// is true, it rejects orders with an old fencing number.
func NewOrderHandler(checksFencing bool) *OrderHandler {
	o := &OrderHandler{checksFencing: checksFencing, calls: buffer.New[func(*OrderState), buffer.Block]("orders_calls", 16), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		var s OrderState
		for {
			call, ok := o.calls.Take(context.Background())
			if !ok {
				return
			}
			call(&s)
		}
	}()
	return o
}

// Stop ends the goroutine. Later orders are answered with a conflict.
func (o *OrderHandler) Stop() {
	o.calls.Close()
	<-o.done
}

// State returns the current state, or a zero state after [OrderHandler.Stop].
func (o *OrderHandler) State() OrderState {
	s, _ := o.do(func(*OrderState) bool { return true })
	return s
}

// ServeHTTP implements [http.Handler]. It answers 409 Conflict to an order with
// an old fencing number if it checks them.
func (o *OrderHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m messenger.Order
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s, ok := o.do(func(s *OrderState) bool {
		if o.checksFencing && m.Number < s.Number {
			return false
		}
		s.Number = max(s.Number, m.Number)
		s.apply(m)
		return true
	})
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(s)
}

// apply loads or unloads an item or sets the role. Loading an item twice and
// unloading a missing one have no effect.
func (s *OrderState) apply(m messenger.Order) {
	loaded := slices.Contains(s.Loaded, m.Item)
	switch {
	case m.Kind == messenger.OrderLoad && !loaded:
		s.Loaded = append(slices.Clone(s.Loaded), m.Item)
	case m.Kind == messenger.OrderUnload && loaded:
		i := slices.Index(s.Loaded, m.Item)
		s.Loaded = slices.Delete(slices.Clone(s.Loaded), i, i+1)
	case m.Kind == messenger.OrderRole:
		s.Role = m.Role
	}
}

// do runs f on the handler's goroutine and returns a copy of the state and the
// result of f. After Stop it returns false.
func (o *OrderHandler) do(f func(*OrderState) bool) (OrderState, bool) {
	type result struct {
		state OrderState
		ok    bool
	}
	answer := make(chan result, 1)
	o.calls.Put(context.Background(), func(s *OrderState) {
		ok := f(s)
		answer <- result{*s, ok}
	})
	select {
	case r := <-answer:
		return r.state, r.ok
	case <-o.done:
		return OrderState{}, false
	}
}
