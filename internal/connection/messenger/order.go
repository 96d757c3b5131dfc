package messenger

import "magnoliafront.dev/magnoliafront/pkg/tracer"

// OrderKind is the operation that an [Order] requests.
type OrderKind string

// The order kinds.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
	// OrderReport changes nothing and requests the list of loaded items.
	OrderReport OrderKind = "report"
)

// Item identifies a model, an adapter of a model or a version of a model that
// an engine can load.
type Item struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// Order asks an agent to load or unload an item or to change the role of its
// engine. Number is the fencing number of the lease that the sender holds.
type Order struct {
	Stamp  tracer.Stamp `json:"stamp"`
	Number int64        `json:"number"`
	// Sequence increases with each order under one fencing number.
	Sequence int64     `json:"sequence"`
	Kind     OrderKind `json:"kind"`
	Item     Item      `json:"item"`
	// Role is the new role of the engine with OrderRole. It is unrelated to the
	// [Role] of a process.
	Role string `json:"role,omitempty"`
}

// OrderAnswer is the response to an [Order].
type OrderAnswer struct {
	Stamp tracer.Stamp `json:"stamp"`
	// Accepted is true if the engine executed the order.
	Accepted bool `json:"accepted"`
	// Reason is the cause if the order was not accepted.
	Reason string `json:"reason,omitempty"`
	// Number is the highest fencing number that the agent has seen.
	Number int64 `json:"number"`
	// Loaded lists the items that the engine has loaded after the order. It is
	// empty if the engine was not reached.
	Loaded []Item `json:"loaded,omitempty"`
	// Role is the role of the engine after the order.
	Role string `json:"role,omitempty"`
}
