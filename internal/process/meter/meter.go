// Package meter exports the metrics of a process.
//
// Metrics are OpenTelemetry instruments; a Prometheus exporter serves them at
// /metrics. The state of the rings is read when it is asked for, so that
// counting costs the duties nothing.
//
// # Usage
//
//	m, err := meter.New()
//	m.WatchRings(router.Stats)
//	m.Event(tracer.Event{Kind: tracer.KindShed})
//	http.Handle("/metrics", m.Handler())
package meter

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// Meter holds the instruments of one process.
type Meter struct {
	registry *prometheus.Registry
	provider *sdk.MeterProvider
	meter    metric.Meter
	events   metric.Int64Counter
	control  metric.Int64Counter
	depth    metric.Int64ObservableGauge
	capacity metric.Int64ObservableGauge
	refused  metric.Int64ObservableCounter
	dropped  metric.Int64ObservableCounter
	// violations counts broken promises and peerRefused the connections and
	// messages of peers that were refused.
	violations metric.Int64Counter
	// requests holds the times from the arrival of a request to its end.
	requests    metric.Float64Histogram
	peerRefused metric.Int64ObservableCounter
}

// New returns a meter with its own registry.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	e, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, &Error{Op: "make exporter", Kind: ErrorInstrument, Err: err}
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(e))
	m := &Meter{registry: registry, provider: provider, meter: provider.Meter("magnoliafront")}
	if err := m.instruments(); err != nil {
		return nil, &Error{Op: "make instruments", Kind: ErrorInstrument, Err: err}
	}
	return m, nil
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Event counts one event of the time line.
func (m *Meter) Event(e tracer.Event) {
	m.events.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", string(e.Kind)),
		attribute.String("class", e.Class),
		attribute.String("reason", reason(e)),
	))
}

// Request counts the end of one request, with the time since its arrival.
func (m *Meter) Request(route, result string, elapsed time.Duration) {
	m.requests.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(
		attribute.String("route", route), attribute.String("result", result),
	))
}

// Control counts the bytes of one message of the control plane. The direction
// is sent or received.
func (m *Meter) Control(method, direction string, bytes int) {
	m.control.Add(context.Background(), int64(bytes), metric.WithAttributes(
		attribute.String("method", method), attribute.String("direction", direction),
	))
}

// reason returns the reason of an event if it is one of a fixed set. Free text
// would give the metric an unbounded number of series.
func reason(e tracer.Event) string {
	switch e.Kind {
	case tracer.KindShed, tracer.KindRefused:
		return e.Reason
	}
	return ""
}

// WatchRings exports the states of rings.
func (m *Meter) WatchRings(stats func() []buffer.Stats) error {
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, s := range stats() {
			name := metric.WithAttributes(attribute.String("ring", s.Name))
			o.ObserveInt64(m.depth, int64(s.Depth), name)
			o.ObserveInt64(m.capacity, int64(s.Capacity), name)
			o.ObserveInt64(m.refused, int64(s.Refused), name)
			o.ObserveInt64(m.dropped, int64(s.Dropped), name)
		}
		return nil
	}, m.depth, m.capacity, m.refused, m.dropped)
	if err != nil {
		return &Error{Op: "watch rings", Kind: ErrorInstrument, Err: err}
	}
	return nil
}

// Violation counts a broken promise, such as P1.
func (m *Meter) Violation(promise string) {
	m.violations.Add(context.Background(), 1, metric.WithAttributes(attribute.String("promise", promise)))
}

// WatchPeerRefused exports the number of refused connections and messages of
// peers.
func (m *Meter) WatchPeerRefused(count *atomic.Uint64) error {
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(m.peerRefused, int64(count.Load()))
		return nil
	}, m.peerRefused)
	if err != nil {
		return &Error{Op: "watch refused peers", Kind: ErrorInstrument, Err: err}
	}
	return nil
}

// Stop ends the export.
func (m *Meter) Stop(ctx context.Context) error {
	if err := m.provider.Shutdown(ctx); err != nil {
		return &Error{Op: "stop", Kind: ErrorInstrument, Err: err}
	}
	return nil
}

// latencyBuckets are bounds in seconds, from a call of a plain service to the
// longest stream.
func latencyBuckets() []float64 {
	return []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20}
}

func (m *Meter) instruments() error {
	var err error
	if m.violations, err = m.meter.Int64Counter("magnoliafront_violations", metric.WithDescription("Broken promises.")); err != nil {
		return err
	}
	// A counter that stands at zero shows that the promises are checked.
	for i := 1; i <= 8; i++ {
		m.violations.Add(context.Background(), 0, metric.WithAttributes(attribute.String("promise", fmt.Sprintf("P%d", i))))
	}
	if m.requests, err = m.meter.Float64Histogram("magnoliafront_request_seconds",
		metric.WithDescription("Time from the arrival of a request to its end."),
		metric.WithExplicitBucketBoundaries(latencyBuckets()...)); err != nil {
		return err
	}
	if m.peerRefused, err = m.meter.Int64ObservableCounter("magnoliafront_peer_refused", metric.WithDescription("Connections and messages of peers that were refused.")); err != nil {
		return err
	}
	if m.events, err = m.meter.Int64Counter("magnoliafront_events", metric.WithDescription("Events of the time line.")); err != nil {
		return err
	}
	if m.control, err = m.meter.Int64Counter("magnoliafront_control_bytes", metric.WithDescription("Bytes of messages of the control plane.")); err != nil {
		return err
	}
	if m.depth, err = m.meter.Int64ObservableGauge("magnoliafront_ring_depth", metric.WithDescription("Values that wait in a ring.")); err != nil {
		return err
	}
	if m.capacity, err = m.meter.Int64ObservableGauge("magnoliafront_ring_capacity", metric.WithDescription("Values that a ring can hold.")); err != nil {
		return err
	}
	if m.refused, err = m.meter.Int64ObservableCounter("magnoliafront_ring_refused", metric.WithDescription("Values that a ring did not accept.")); err != nil {
		return err
	}
	m.dropped, err = m.meter.Int64ObservableCounter("magnoliafront_ring_dropped", metric.WithDescription("Values that a ring discarded to make room."))
	return err
}
