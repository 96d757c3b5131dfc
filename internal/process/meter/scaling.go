package meter

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// CountScaleOrders creates the counter of scale orders, and returns the function that
// counts one by its result. Results have a fixed set of values.
func (m *Meter) CountScaleOrders() (func(result string), error) {
	c, err := m.meter.Int64Counter("magnoliafront_scale_orders", metric.WithDescription("Calls that order upstreams."))
	if err != nil {
		return nil, &Error{Op: "create the counter of scale orders", Kind: ErrorInstrument, Err: err}
	}
	return func(result string) {
		c.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
	}, nil
}
