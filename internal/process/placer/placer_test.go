package placer

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
)

// TestMain fixes the seed of rapid, so that the random test is reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// While answers are lost and the lease changes, the last copy of a needed item must
// stay loaded, and loads must keep the rate limit of the weight store. Once no
// answer is lost any more, each needed item must be loaded.
func TestLastCopyAndLoadRateHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: time.Unix(1_800_000_000, 0), placer: New(Policy{UnloadDelay: time.Minute}), loaded: map[string][]Item{}, lastSequence: map[string]int64{}}
		for i := range rapid.IntRange(2, 4).Draw(t, "engines") {
			f.loaded[fmt.Sprintf("e%d", i)] = nil
		}
		f.sendEngines()
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			f.step()
		}
		for range 200 {
			for len(f.orders) > 0 {
				o := f.orders[0]
				f.orders = f.orders[1:]
				f.execute(o, true)
			}
			f.now = f.now.Add(10 * time.Second)
			f.send(Event{Kind: EventTicked})
		}
		for _, d := range f.demand {
			if f.countCopies(d.Item) == 0 {
				t.Fatalf("%v has no copy: %v", d.Item, f.loaded)
			}
		}
	})
}

// fleet emulates engines that execute orders. Their answers can be lost.
type fleet struct {
	t        *rapid.T
	now      time.Time
	placer   *Placer
	loaded   map[string][]Item
	demand   []Demand
	orders   []Order
	lastLoad time.Time
	// lastSequence holds the sequence number of the last executed order by engine.
	lastSequence map[string]int64
}

// sendEngines passes all engines to the placer.
func (f *fleet) sendEngines() {
	var engines []Engine
	for name := range f.loaded {
		engines = append(engines, Engine{Name: name})
	}
	f.send(Event{Kind: EventEngines, Engines: engines})
}

// step applies one random event and advances the time.
func (f *fleet) step() {
	switch rapid.SampledFrom([]string{"answer", "answer", "answer", "answer", "answer", "answer", "demand", "elected"}).Draw(f.t, "step") {
	case "demand":
		f.demand = nil
		for i := range rapid.IntRange(1, 3).Draw(f.t, "items") {
			f.demand = append(f.demand, Demand{Class: "c", Tier: i + 1, Item: Item{Model: fmt.Sprintf("m%d", rapid.IntRange(0, 4).Draw(f.t, "model"))}, Rate: rapid.Float64Range(0, 2).Draw(f.t, "rate")})
		}
		f.send(Event{Kind: EventDemand, Demand: f.demand})
	case "elected":
		f.send(Event{Kind: EventElected})
	case "answer":
		if len(f.orders) > 0 {
			// Orders to different engines can arrive in any order.
			n := rapid.IntRange(0, len(f.orders)-1).Draw(f.t, "order")
			o := f.orders[n]
			f.orders = slices.Delete(f.orders, n, n+1)
			f.execute(o, rapid.IntRange(0, 4).Draw(f.t, "answered") > 0)
		}
	}
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(f.t, "seconds")) * time.Second)
	f.send(Event{Kind: EventTicked})
}

// execute executes an order as an agent and its engine do. Unless answered is true,
// the answer is lost.
func (f *fleet) execute(o Order, answered bool) {
	if o.Sequence <= f.lastSequence[o.Engine] {
		return
	}
	f.lastSequence[o.Engine] = o.Sequence
	items := f.loaded[o.Engine]
	i := slices.Index(items, o.Item)
	switch {
	case o.Kind == messenger.OrderLoad && i < 0:
		f.loaded[o.Engine] = append(items, o.Item)
	case o.Kind == messenger.OrderUnload && i >= 0:
		f.loaded[o.Engine] = slices.Delete(slices.Clone(items), i, i+1)
	}
	if answered {
		f.send(Event{Kind: EventAnswered, Order: o, LoadedKnown: true, Loaded: slices.Clone(f.loaded[o.Engine])})
	}
}

// send passes an event to the placer and checks its orders.
func (f *fleet) send(e Event) {
	for _, o := range f.placer.Step(f.now, e) {
		f.orders = append(f.orders, o)
		switch o.Kind {
		case messenger.OrderLoad:
			if f.now.Sub(f.lastLoad) < defaultMinLoadInterval {
				f.t.Fatalf("two loads within %v, the minimum interval is %v", f.now.Sub(f.lastLoad), defaultMinLoadInterval)
			}
			f.lastLoad = f.now
		case messenger.OrderUnload:
			f.assertCopyRemains(o)
		}
	}
}

// assertCopyRemains checks that an unload leaves a copy of an item that a class
// needs, not counting the copies with pending unloads.
func (f *fleet) assertCopyRemains(o Order) {
	unloading := 0
	for _, pending := range f.orders {
		if pending.Kind == messenger.OrderUnload && pending.Item == o.Item && pending.Sequence > f.lastSequence[pending.Engine] && slices.Contains(f.loaded[pending.Engine], o.Item) {
			unloading++
		}
	}
	needed := slices.ContainsFunc(f.demand, func(d Demand) bool { return d.Item == o.Item })
	if needed && f.countCopies(o.Item)-unloading < 1 {
		f.t.Fatalf("%v unloads the last copy of %v", o.Engine, o.Item)
	}
}

func (f *fleet) countCopies(i Item) int {
	n := 0
	for _, items := range f.loaded {
		if slices.Contains(items, i) {
			n++
		}
	}
	return n
}

// A placer must not load items while the loaded items of most engines are unknown,
// or may have been changed by another holder of the lease. It would load copies that
// already exist.
func TestLoadsWaitForReportsOfHalfTheEngines(t *testing.T) {
	item := Item{Model: "m"}
	start := func(t *testing.T) (*is.I, *Placer, []Order, time.Time) {
		p, now := New(Policy{}), time.Unix(0, 0)
		p.Step(now, Event{Kind: EventDemand, Demand: []Demand{{Class: "c", Tier: 1, Item: item}}})
		return is.New(t), p, p.Step(now, Event{Kind: EventEngines, Engines: []Engine{{Name: "e1"}, {Name: "e2"}, {Name: "e3"}}}), now
	}
	t.Run("no load before half of the engines have reported", func(t *testing.T) {
		is, p, reports, now := start(t)
		is.Equal(len(reports), 3)
		is.Equal(len(p.Step(now, Event{Kind: EventAnswered, Order: reports[0], LoadedKnown: true})), 0)
		orders := p.Step(now, Event{Kind: EventAnswered, Order: reports[1], LoadedKnown: true})
		is.Equal(len(orders), 1)
		is.Equal(orders[0].Kind, messenger.OrderLoad)
	})
	t.Run("new holder asks for reports again", func(t *testing.T) {
		is, p, reports, now := start(t)
		for _, o := range reports {
			is.Equal(len(p.Step(now, Event{Kind: EventAnswered, Order: o, LoadedKnown: true, Loaded: []Item{item}})), 0)
		}
		orders := p.Step(now, Event{Kind: EventElected})
		is.Equal(len(orders), 3)
		is.Equal(orders[0].Kind, messenger.OrderReport)
	})
}

// The fence must refuse orders of an earlier holder of the lease, repeated orders,
// and all orders before it has learned a fencing number.
func TestFenceRefusesStaleAndUnlearnedNumbers(t *testing.T) {
	is := is.New(t)
	var f Fence
	is.Equal(f.Admit(7, 1), ReasonNumberNotLearned)
	f.Learn(5)
	is.Equal(f.Admit(4, 9), ReasonStaleNumber)
	is.Equal(f.Admit(5, 8), "")
	is.Equal(f.Admit(5, 8), ReasonStaleNumber) // the same order again
	is.Equal(f.Admit(6, 1), "")
	is.Equal(f.Admit(5, 9), ReasonStaleNumber)
}
