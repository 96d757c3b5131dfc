package meter

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// dutyInstruments are the instruments of the duties that one entry at a time has.
type dutyInstruments struct {
	// held is 1 for the holder of a duty, and token its fencing token.
	held  metric.Int64ObservableGauge
	token metric.Int64ObservableGauge
	// usageWindows counts what has happened to the windows of usage, and scaleOrders the
	// orders to scale.
	usageWindows metric.Int64Counter
	scaleOrders  metric.Int64Counter
}

func (d *dutyInstruments) create(m metric.Meter) error {
	var err error
	if d.held, err = m.Int64ObservableGauge("magnoliafront_duty_held", metric.WithDescription("1 if this entry holds the lease of a duty.")); err != nil {
		return err
	}
	if d.token, err = m.Int64ObservableGauge("magnoliafront_duty_token", metric.WithDescription("Fencing token of the holder of a duty, 0 if it is another entry.")); err != nil {
		return err
	}
	if d.usageWindows, err = m.Int64Counter("magnoliafront_usage_windows", metric.WithDescription("Windows of usage by what has happened to them.")); err != nil {
		return err
	}
	d.scaleOrders, err = m.Int64Counter("magnoliafront_scale_orders", metric.WithDescription("Orders to scale by their result."))
	return err
}

// WatchDuty exports whether this entry holds the lease of a duty, and its token. Each
// scrape calls held.
func (m *Meter) WatchDuty(duty string, held func() (int64, bool)) error {
	label := metric.WithAttributes(attribute.String("duty", duty))
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		token, isHeld := held()
		if !isHeld {
			o.ObserveInt64(m.duties.held, 0, label)
			o.ObserveInt64(m.duties.token, 0, label)
			return nil
		}
		o.ObserveInt64(m.duties.held, 1, label)
		o.ObserveInt64(m.duties.token, token, label)
		return nil
	}, m.duties.held, m.duties.token)
	if err != nil {
		return &Error{Op: "register callback for duties", Kind: ErrorInstrument, Err: err}
	}
	return nil
}

// UsageWindows counts windows of usage by result.
func (m *Meter) UsageWindows(result string, n int64) {
	m.duties.usageWindows.Add(context.Background(), n, metric.WithAttributes(attribute.String("result", result)))
}

// ScaleOrder counts an order to scale by result.
func (m *Meter) ScaleOrder(result string) {
	m.duties.scaleOrders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}
