package meter

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
)

// Memory is the state of what a process holds for its callers: the budgets by name, and the
// number of bodies that were not read to their end by cause.
type Memory struct {
	Parts         map[string]reserver.Stats
	RefusedBodies map[string]uint64
}

// memoryInstruments are the instruments of [Meter.WatchMemory].
type memoryInstruments struct {
	held    metric.Int64ObservableGauge
	limit   metric.Int64ObservableGauge
	refused metric.Int64ObservableCounter
	bodies  metric.Int64ObservableCounter
}

// WatchMemory exports the state of the memory for callers. Each scrape calls memory.
func (m *Meter) WatchMemory(memory func() Memory) error {
	i, err := m.createMemoryInstruments()
	if err != nil {
		return &Error{Op: "create instruments", Kind: ErrorInstrument, Err: err}
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := memory()
		for name, part := range s.Parts {
			label := metric.WithAttributes(attribute.String("part", name))
			o.ObserveInt64(i.held, part.Held, label)
			o.ObserveInt64(i.limit, part.Limit, label)
			o.ObserveInt64(i.refused, int64(part.Refused), label)
		}
		for cause, n := range s.RefusedBodies {
			o.ObserveInt64(i.bodies, int64(n), metric.WithAttributes(attribute.String("cause", cause)))
		}
		return nil
	}, i.held, i.limit, i.refused, i.bodies)
	if err != nil {
		return &Error{Op: "register callback for memory", Kind: ErrorInstrument, Err: err}
	}
	return nil
}

func (m *Meter) createMemoryInstruments() (i memoryInstruments, err error) {
	if i.held, err = m.meter.Int64ObservableGauge("magnoliafront_memory_held_bytes", metric.WithDescription("Bytes that are reserved for callers.")); err != nil {
		return i, err
	}
	if i.limit, err = m.meter.Int64ObservableGauge("magnoliafront_memory_held_bytes_limit", metric.WithDescription("Budget in bytes for callers.")); err != nil {
		return i, err
	}
	if i.refused, err = m.meter.Int64ObservableCounter("magnoliafront_memory_reservations_refused", metric.WithDescription("Reservations that did not fit into a budget.")); err != nil {
		return i, err
	}
	i.bodies, err = m.meter.Int64ObservableCounter("magnoliafront_bodies_refused", metric.WithDescription("Bodies of requests that were not read to their end."))
	return i, err
}
