// Package placer decides which models, adapters and versions are loaded on which
// engines, and sends load and unload orders to them.
//
// The [Placer] is the state machine. Its input is the demand of each class for
// each item, the live engines and the items that they have loaded; its output is
// orders. It loads within the rate limit of the weight store, from which engines
// read the weights of models, the item of the most urgent class first. It unloads a
// copy only to make room for a load: never the last copy of an item that a class
// with demand needs, and not before the demand has been low for some time.
//
// The [Controller] of an entry sends the orders while the entry holds the lease
// "placement". Each order contains the fencing number of the lease. The [Guard]
// of an agent forwards orders to the engine, one at a time, and refuses
// those of an earlier holder of the lease, even if the engine ignores fencing
// numbers.
//
// # Usage
//
//	p := placer.New(placer.Policy{})
//	p.Step(now, placer.Event{Kind: placer.EventEngines, Engines: engines})
//	for _, o := range p.Step(now, placer.Event{Kind: placer.EventDemand, Demand: demand}) {
//		// send o to o.Engine, then pass the result to Step as EventAnswered
//	}
package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
)

// Item is a model, adapter and version that an engine can load.
type Item = messenger.Item

// The defaults of [Policy] and the limits that it does not contain.
const (
	defaultRatePerCopy        = 0.5
	defaultItemsPerEngine     = 2
	defaultMinLoadInterval    = 5 * time.Second
	defaultMaxConcurrentLoads = 8
	defaultUnloadDelay        = 5 * time.Minute
	// maxReportsPerStep is the maximum number of engines that one step asks for
	// their loaded items. A new holder of the lease thus spreads the reports of
	// 3,500 engines over many steps.
	maxReportsPerStep = 32
	// answerTimeout is the time after which an unanswered order counts as lost and
	// its engine is asked for its loaded items.
	answerTimeout = 30 * time.Second
)

// Policy holds the limits of a [Placer]. A zero field means its default.
type Policy struct {
	// RatePerCopy is the number of requests per second that one copy serves within
	// the latency targets. The default of 0.5 is the peak of 3,500 requests per
	// second over two models on each of 3,500 engines.
	RatePerCopy float64
	// ItemsPerEngine is the number of items that one engine can have loaded.
	ItemsPerEngine int
	// MinLoadInterval is the minimum time between two load orders, which keeps the
	// rate limit of the weight store. MaxConcurrentLoads is the maximum number of
	// loads in progress.
	MinLoadInterval    time.Duration
	MaxConcurrentLoads int
	// UnloadDelay is the time for which an item must have had surplus copies before
	// one of them is unloaded, so that a short drop in demand causes no transfer of
	// weights.
	UnloadDelay time.Duration
}

// Demand is the demand of one class for one item.
type Demand struct {
	Class string
	Tier  int
	Item  Item
	// Rate is the number of requests per second. An item in demand needs one copy
	// even at rate zero.
	Rate float64
}

// Engine is a live engine.
type Engine struct {
	Name string
	// Leaving is true while the engine drains. It gets no orders, and its copies do
	// not count.
	Leaving bool
}

// Order asks one engine to load or unload an item or to report its loaded items.
type Order struct {
	Engine string
	Kind   messenger.OrderKind
	Item   Item
	// Sequence increases with each order. An order that timed out can still reach
	// its agent, which refuses it once it has admitted a later one.
	Sequence int64
}

// EventKind selects the type of an [Event].
type EventKind int

// The kinds of events.
const (
	// EventTicked reports that time has passed.
	EventTicked EventKind = iota
	// EventEngines contains all live engines.
	EventEngines
	// EventDemand contains the demand of all classes.
	EventDemand
	// EventAnswered contains the answer to an order.
	EventAnswered
	// EventElected reports that this process has acquired the lease. Its state of
	// the engines may be out of date and is discarded.
	EventElected
)

// Event is one input to [Placer.Step]. Only the fields of its kind are set.
type Event struct {
	Kind    EventKind
	Engines []Engine
	Demand  []Demand
	Order   Order
	// LoadedKnown is true if Loaded lists the items that the engine has loaded after
	// the order.
	LoadedKnown bool
	Loaded      []Item
}

// engine is the state of one engine.
type engine struct {
	leaving bool
	// loadedKnown is true if loaded is up to date.
	loadedKnown bool
	loaded      []Item
	// busy is true while order, issued at orderedAt, is unanswered.
	busy      bool
	order     Order
	orderedAt time.Time
}

// Placer decides on the orders to the engines. Create it with [New].
type Placer struct {
	policy  Policy
	engines map[string]*engine
	demand  []Demand
	// surplusSince holds the time since which an item has had surplus copies.
	surplusSince map[Item]time.Time
	nextLoadAt   time.Time
	// lastSequence is the sequence number of the last order.
	lastSequence int64
}

// requirement is the number of copies that one item needs for all classes.
type requirement struct {
	item Item
	// tier is the lowest tier number, which is the most urgent, of its classes.
	tier   int
	copies int
}

// New returns a placer with the policy p, whose zero fields get their defaults.
func New(p Policy) *Placer {
	p.RatePerCopy = cmp.Or(p.RatePerCopy, defaultRatePerCopy)
	p.ItemsPerEngine = cmp.Or(p.ItemsPerEngine, defaultItemsPerEngine)
	p.MinLoadInterval = cmp.Or(p.MinLoadInterval, defaultMinLoadInterval)
	p.MaxConcurrentLoads = cmp.Or(p.MaxConcurrentLoads, defaultMaxConcurrentLoads)
	p.UnloadDelay = cmp.Or(p.UnloadDelay, defaultUnloadDelay)
	return &Placer{policy: p, engines: map[string]*engine{}, surplusSince: map[Item]time.Time{}}
}

// Step applies an event and returns the orders to send.
func (p *Placer) Step(now time.Time, e Event) []Order {
	switch e.Kind {
	case EventEngines:
		p.updateEngines(e.Engines)
	case EventDemand:
		p.demand = e.Demand
	case EventAnswered:
		if g := p.engines[e.Order.Engine]; g != nil && g.busy && g.order == e.Order {
			g.busy, g.loadedKnown = false, e.LoadedKnown
			g.loaded = slices.Clone(e.Loaded)
		}
	case EventElected:
		for _, g := range p.engines {
			*g = engine{leaving: g.leaving}
		}
		p.surplusSince = map[Item]time.Time{}
	}
	for _, g := range p.engines {
		if g.busy && now.Sub(g.orderedAt) >= answerTimeout {
			g.busy, g.loadedKnown = false, false
		}
	}
	return p.decide(now)
}

// updateEngines adds new engines and removes those that are no longer live.
func (p *Placer) updateEngines(engines []Engine) {
	live := map[string]bool{}
	for _, e := range engines {
		live[e.Name] = true
		if p.engines[e.Name] == nil {
			p.engines[e.Name] = &engine{}
		}
		p.engines[e.Name].leaving = e.Leaving
	}
	maps.DeleteFunc(p.engines, func(name string, _ *engine) bool { return !live[name] })
}

// decide issues reports, and loads and unloads once enough engines have reported.
func (p *Placer) decide(now time.Time) []Order {
	orders := p.orderReports(now)
	if len(p.demand) == 0 || !p.enoughEnginesKnown() {
		return orders
	}
	required := p.requirements()
	p.updateSurplus(now, required)
	for _, r := range required {
		for p.countCopies(r.item, true) < r.copies {
			o, ok := p.nextOrder(now, r)
			if !ok {
				break
			}
			orders = append(orders, p.issue(now, o))
			if o.Kind == messenger.OrderUnload {
				// The load follows once the unload was answered.
				break
			}
		}
	}
	return orders
}

// orderReports issues report orders to engines whose loaded items are unknown.
func (p *Placer) orderReports(now time.Time) []Order {
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(p.engines)) {
		if g := p.engines[name]; !g.loadedKnown && !g.busy && !g.leaving && len(orders) < maxReportsPerStep {
			o := Order{Engine: name, Kind: messenger.OrderReport}
			orders = append(orders, p.issue(now, o))
		}
	}
	return orders
}

// enoughEnginesKnown reports whether the loaded items of at least half of the
// engines are known. With fewer, existing copies would be loaded again.
func (p *Placer) enoughEnginesKnown() bool {
	known := 0
	for _, g := range p.engines {
		if g.loadedKnown {
			known++
		}
	}
	return 2*known >= len(p.engines)
}

// issue assigns the sequence number to o and marks its engine as busy.
func (p *Placer) issue(now time.Time, o Order) Order {
	p.lastSequence++
	o.Sequence = p.lastSequence
	g := p.engines[o.Engine]
	g.busy, g.order, g.orderedAt = true, o, now
	if o.Kind == messenger.OrderLoad {
		p.nextLoadAt = now.Add(p.policy.MinLoadInterval)
	}
	return o
}

// requirements returns the required copies of each item, the most urgent first.
// Each item gets one copy before any item gets a second, so that every class has a
// copy; the remaining capacity is assigned by tier.
func (p *Placer) requirements() []requirement {
	rates, tiers := map[Item]float64{}, map[Item]int{}
	for _, d := range p.demand {
		rates[d.Item] += d.Rate
		if t, ok := tiers[d.Item]; !ok || d.Tier < t {
			tiers[d.Item] = d.Tier
		}
	}
	var required []requirement
	for item, rate := range rates {
		copies := max(1, int(math.Ceil(rate/p.policy.RatePerCopy)))
		required = append(required, requirement{item, tiers[item], min(copies, len(p.engines))})
	}
	slices.SortFunc(required, func(a, b requirement) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), compareItems(a.item, b.item))
	})
	spareCapacity := max(0, p.policy.ItemsPerEngine*len(p.engines)-len(required))
	for i := range required {
		extra := min(required[i].copies-1, spareCapacity)
		required[i].copies = 1 + max(0, extra)
		spareCapacity -= max(0, extra)
	}
	return required
}

func compareItems(a, b Item) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
}

// countCopies returns the number of loaded copies of an item that are not being
// unloaded, and if includeLoading is true also those that are being loaded.
func (p *Placer) countCopies(i Item, includeLoading bool) int {
	n := 0
	for _, g := range p.engines {
		if g.leaving {
			continue
		}
		ordered := g.busy && g.order.Item == i
		switch {
		case ordered && g.order.Kind == messenger.OrderUnload:
		case g.loadedKnown && slices.Contains(g.loaded, i),
			includeLoading && ordered && g.order.Kind == messenger.OrderLoad:
			n++
		}
	}
	return n
}

// updateSurplus records in surplusSince which items have more copies than required.
func (p *Placer) updateSurplus(now time.Time, required []requirement) {
	items := map[Item]bool{}
	for _, g := range p.engines {
		for _, i := range g.loaded {
			items[i] = true
		}
	}
	maps.DeleteFunc(p.surplusSince, func(i Item, _ time.Time) bool { return !items[i] })
	for i := range items {
		if p.countCopies(i, false) <= requiredCopies(required, i) {
			delete(p.surplusSince, i)
		} else if _, ok := p.surplusSince[i]; !ok {
			p.surplusSince[i] = now
		}
	}
}

// requiredCopies returns zero for an item without demand.
func requiredCopies(required []requirement, i Item) int {
	for _, r := range required {
		if r.item == i {
			return r.copies
		}
	}
	return 0
}

// nextOrder returns the next order towards one more copy of r.item: a load on the
// available engine with the fewest items or, if all are full, an unload of a surplus
// copy. It returns false if no order is possible now.
func (p *Placer) nextOrder(now time.Time, r requirement) (Order, bool) {
	if p.activeLoads() >= p.policy.MaxConcurrentLoads || now.Before(p.nextLoadAt) {
		return Order{}, false
	}
	best, fewest := "", p.policy.ItemsPerEngine
	for _, name := range slices.Sorted(maps.Keys(p.engines)) {
		g := p.engines[name]
		if p.available(g) && !slices.Contains(g.loaded, r.item) && len(g.loaded) < fewest {
			best, fewest = name, len(g.loaded)
		}
	}
	if best != "" {
		return Order{Engine: best, Kind: messenger.OrderLoad, Item: r.item}, true
	}
	if p.unloadActive() {
		// Only one unload is in progress at a time. Two could otherwise each rely on
		// the copy that the other one removes.
		return Order{}, false
	}
	for _, name := range slices.Sorted(maps.Keys(p.engines)) {
		g := p.engines[name]
		if !p.available(g) || slices.Contains(g.loaded, r.item) {
			continue
		}
		for _, i := range g.loaded {
			if since, ok := p.surplusSince[i]; ok && now.Sub(since) >= p.policy.UnloadDelay {
				return Order{Engine: name, Kind: messenger.OrderUnload, Item: i}, true
			}
		}
	}
	return Order{}, false
}

// available reports whether g can execute a load or an unload now.
func (p *Placer) available(g *engine) bool { return g.loadedKnown && !g.busy && !g.leaving }

func (p *Placer) activeLoads() int { return p.activeOrders(messenger.OrderLoad) }

// unloadActive reports whether an unload is in progress.
func (p *Placer) unloadActive() bool { return p.activeOrders(messenger.OrderUnload) > 0 }

// activeOrders returns the number of unanswered orders of the given kind.
func (p *Placer) activeOrders(kind messenger.OrderKind) int {
	n := 0
	for _, g := range p.engines {
		if g.busy && g.order.Kind == kind {
			n++
		}
	}
	return n
}
