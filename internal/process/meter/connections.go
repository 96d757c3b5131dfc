package meter

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Connections is the state of the connections of one use of descriptors.
type Connections struct {
	// Use is the name of the share of the descriptors.
	Use string
	// Open is the number of connections, and Limit its maximum, zero if there is none.
	Open  int64
	Limit int64
	// Closed counts the connections that a limit has closed or refused, by the limit.
	Closed map[string]uint64
	// AcceptFailures counts the failed attempts to accept a connection.
	AcceptFailures uint64
}

// WatchConnections exports the numbers of connections. Each scrape calls connections.
func (m *Meter) WatchConnections(connections func() []Connections) error {
	open, err := m.meter.Int64ObservableGauge("magnoliafront_connections", metric.WithDescription("Open connections by use."))
	if err != nil {
		return &Error{Op: "create instruments", Kind: ErrorInstrument, Err: err}
	}
	limit, err := m.meter.Int64ObservableGauge("magnoliafront_connections_limit", metric.WithDescription("Maximum of open connections by use."))
	if err != nil {
		return &Error{Op: "create instruments", Kind: ErrorInstrument, Err: err}
	}
	closed, err := m.meter.Int64ObservableCounter("magnoliafront_connections_closed", metric.WithDescription("Connections that a limit has closed or refused."))
	if err != nil {
		return &Error{Op: "create instruments", Kind: ErrorInstrument, Err: err}
	}
	failures, err := m.meter.Int64ObservableCounter("magnoliafront_accept_failures", metric.WithDescription("Failed attempts to accept a connection."))
	if err != nil {
		return &Error{Op: "create instruments", Kind: ErrorInstrument, Err: err}
	}
	_, err = m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, c := range connections() {
			use := attribute.String("use", c.Use)
			o.ObserveInt64(open, c.Open, metric.WithAttributes(use))
			o.ObserveInt64(limit, c.Limit, metric.WithAttributes(use))
			o.ObserveInt64(failures, int64(c.AcceptFailures), metric.WithAttributes(use))
			for name, n := range c.Closed {
				o.ObserveInt64(closed, int64(n), metric.WithAttributes(use, attribute.String("limit", name)))
			}
		}
		return nil
	}, open, limit, closed, failures)
	if err != nil {
		return &Error{Op: "register callback for connections", Kind: ErrorInstrument, Err: err}
	}
	return nil
}
