// Package meter exports the metrics of a process.
//
// Metrics are OpenTelemetry instruments, and a Prometheus exporter serves them at
// /metrics. The state of the rings is read during a scrape, so that the
// goroutines that use the rings spend no time on metrics.
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

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// Meter holds the instruments of one process.
type Meter struct {
	registry     *prometheus.Registry
	provider     *sdk.MeterProvider
	meter        metric.Meter
	events       metric.Int64Counter
	controlBytes metric.Int64Counter
	ringDepth    metric.Int64ObservableGauge
	ringCapacity metric.Int64ObservableGauge
	ringRefused  metric.Int64ObservableCounter
	ringDropped  metric.Int64ObservableCounter
	// violations counts violations of the promises, the guarantees P1 to P8 of the
	// system.
	violations metric.Int64Counter
	// requestSeconds is the distribution of the time from the arrival of a request
	// to its end.
	requestSeconds metric.Float64Histogram
	// answers counts the answers of upstreams that have ended.
	answers metric.Int64Counter
	// promptTokens counts the prompt tokens of requests that were sent, deferredRequests
	// those requests that ran after all others, and takeUps the streams that were taken up.
	promptTokens     metric.Int64Counter
	deferredRequests metric.Int64Counter
	takeUps          metric.Int64Counter
	// requestsReceived and requestsEnded count the requests of callers, and
	// requestsInFlight is the number of those that a stage has not ended.
	requestsReceived metric.Int64ObservableCounter
	requestsEnded    metric.Int64ObservableCounter
	requestsInFlight metric.Int64ObservableGauge
	// panics counts the recovered panics.
	panics metric.Int64ObservableCounter
	// peerRefused counts the refused connections and messages of peers.
	peerRefused metric.Int64ObservableCounter
	// answerBytes, answerLimit and answerRefused are the state of the budget for answers.
	answerBytes   metric.Int64ObservableGauge
	answerLimit   metric.Int64ObservableGauge
	answerRefused metric.Int64ObservableCounter
	duties        dutyInstruments
}

// New returns a meter with a registry of its own.
func New() (*Meter, error) {
	registry := prometheus.NewRegistry()
	e, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return nil, &Error{Op: "create Prometheus exporter", Kind: ErrorInstrument, Err: err}
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(e))
	m := &Meter{registry: registry, provider: provider, meter: provider.Meter("magnoliafront")}
	if err := m.createInstruments(); err != nil {
		return nil, &Error{Op: "create instruments", Kind: ErrorInstrument, Err: err}
	}
	return m, nil
}

// Handler returns the HTTP handler of /metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Event counts one trace event by kind, class and reason.
func (m *Meter) Event(e tracer.Event) {
	m.events.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", string(e.Kind)),
		attribute.String("class", e.Class),
		attribute.String("reason", reasonLabel(e)),
	))
}

// Request records the end of a request. The elapsed time is measured from the
// arrival of the request.
func (m *Meter) Request(route, result string, elapsed time.Duration) {
	m.requestSeconds.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(
		attribute.String("route", route), attribute.String("result", result),
	))
}

// Prompt counts the prompt tokens of a request that was sent: those that its upstream was
// expected to have cached or to copy, and those to prefill.
func (m *Meter) Prompt(route string, cached, prefill int) {
	ctx := context.Background()
	m.promptTokens.Add(ctx, int64(cached), metric.WithAttributes(attribute.String("route", route), attribute.String("source", "cache")))
	m.promptTokens.Add(ctx, int64(prefill), metric.WithAttributes(attribute.String("route", route), attribute.String("source", "prefill")))
}

// Deferred counts a request that ran after all others.
func (m *Meter) Deferred(route string) {
	m.deferredRequests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("route", route)))
}

// TakeUp counts a stream that a caller took up. The basis is what its software version rested
// on, or why that was not known, of a fixed set of values.
func (m *Meter) TakeUp(basis string) {
	m.takeUps.Add(context.Background(), 1, metric.WithAttributes(attribute.String("basis", basis)))
}

// Answer counts the end of an answer of an upstream. Both labels have a fixed set of values.
func (m *Meter) Answer(framing, end string) {
	m.answers.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("framing", framing), attribute.String("end", end),
	))
}

// Control adds the size of one control plane message. The direction is "sent" or
// "received".
func (m *Meter) Control(method, direction string, bytes int) {
	m.controlBytes.Add(context.Background(), int64(bytes), metric.WithAttributes(
		attribute.String("method", method), attribute.String("direction", direction),
	))
}

// reasonLabel returns the reason of an event if its kind has a fixed set of
// reasons, otherwise the empty string. Free text as a label would give the metric
// an unbounded number of series.
func reasonLabel(e tracer.Event) string {
	switch e.Kind {
	case tracer.KindShed, tracer.KindRefused:
		return e.Reason
	}
	return ""
}

// WatchRings exports the depth, the capacity and the counters of rings. Each
// scrape calls stats.
func (m *Meter) WatchRings(stats func() []buffer.Stats) error {
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, s := range stats() {
			name := metric.WithAttributes(attribute.String("ring", s.Name))
			o.ObserveInt64(m.ringDepth, int64(s.Depth), name)
			o.ObserveInt64(m.ringCapacity, int64(s.Capacity), name)
			o.ObserveInt64(m.ringRefused, int64(s.Refused), name)
			o.ObserveInt64(m.ringDropped, int64(s.Dropped), name)
		}
		return nil
	}, m.ringDepth, m.ringCapacity, m.ringRefused, m.ringDropped)
	if err != nil {
		return &Error{Op: "register callback for rings", Kind: ErrorInstrument, Err: err}
	}
	return nil
}

// WatchAnswers exports the state of the budget for answers that are held for callers.
// Each scrape calls stats.
func (m *Meter) WatchAnswers(stats func() reserver.Stats) error {
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := stats()
		o.ObserveInt64(m.answerBytes, s.Held)
		o.ObserveInt64(m.answerLimit, s.Limit)
		o.ObserveInt64(m.answerRefused, int64(s.Refused))
		return nil
	}, m.answerBytes, m.answerLimit, m.answerRefused)
	if err != nil {
		return &Error{Op: "register callback for answers", Kind: ErrorInstrument, Err: err}
	}
	return nil
}

// Violation counts a violation of a promise, one of P1 to P8.
func (m *Meter) Violation(promise string) {
	m.violations.Add(context.Background(), 1, metric.WithAttributes(attribute.String("promise", promise)))
}

// WatchPeerRefused exports count as the number of refused connections and
// messages of peers. Each scrape reads it.
func (m *Meter) WatchPeerRefused(count *atomic.Uint64) error {
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(m.peerRefused, int64(count.Load()))
		return nil
	}, m.peerRefused)
	if err != nil {
		return &Error{Op: "register callback for refused peers", Kind: ErrorInstrument, Err: err}
	}
	return nil
}

// WatchPanics exports count as the number of recovered panics. Each scrape reads it.
func (m *Meter) WatchPanics(count *atomic.Uint64) error {
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(m.panics, int64(count.Load()))
		return nil
	}, m.panics)
	if err != nil {
		return &Error{Op: "register callback for panics", Kind: ErrorInstrument, Err: err}
	}
	return nil
}

// Requests holds the numbers of the requests of callers in a process: those received, those
// ended by how they ended, and those in flight by the stage that has not ended them.
type Requests struct {
	Received uint64
	Ended    map[string]uint64
	InFlight map[string]uint64
}

// WatchRequests exports the numbers of requests. Each scrape calls requests.
func (m *Meter) WatchRequests(requests func() Requests) error {
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		r := requests()
		o.ObserveInt64(m.requestsReceived, int64(r.Received))
		for result, n := range r.Ended {
			o.ObserveInt64(m.requestsEnded, int64(n), metric.WithAttributes(attribute.String("result", result)))
		}
		for stage, n := range r.InFlight {
			o.ObserveInt64(m.requestsInFlight, int64(n), metric.WithAttributes(attribute.String("stage", stage)))
		}
		return nil
	}, m.requestsReceived, m.requestsEnded, m.requestsInFlight)
	if err != nil {
		return &Error{Op: "register callback for requests", Kind: ErrorInstrument, Err: err}
	}
	return nil
}

// Stop shuts down the export. Later scrapes get no metrics.
func (m *Meter) Stop(ctx context.Context) error {
	if err := m.provider.Shutdown(ctx); err != nil {
		return &Error{Op: "shut down meter provider", Kind: ErrorInstrument, Err: err}
	}
	return nil
}

// requestSecondsBuckets returns the bounds of the histogram buckets in seconds.
// They range from a call of a plain service to the longest stream.
func requestSecondsBuckets() []float64 {
	return []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20}
}

func (m *Meter) createPromptInstruments() error {
	var err error
	if m.promptTokens, err = m.meter.Int64Counter("magnoliafront_prompt_tokens", metric.WithDescription("Prompt tokens of requests that were sent, by where they were expected to come from.")); err != nil {
		return err
	}
	if m.deferredRequests, err = m.meter.Int64Counter("magnoliafront_deferred_requests", metric.WithDescription("Requests that upstreams ran after all others.")); err != nil {
		return err
	}
	m.takeUps, err = m.meter.Int64Counter("magnoliafront_streams_taken_up", metric.WithDescription("Streams that callers took up, by what their software version rested on."))
	return err
}

func (m *Meter) createInstruments() error {
	var err error
	if m.violations, err = m.meter.Int64Counter("magnoliafront_violations", metric.WithDescription("Broken promises.")); err != nil {
		return err
	}
	// A counter with the value zero is exported for each promise before its first
	// violation, which shows that the promise is checked.
	for i := 1; i <= 8; i++ {
		m.violations.Add(context.Background(), 0, metric.WithAttributes(attribute.String("promise", fmt.Sprintf("P%d", i))))
	}
	if m.requestSeconds, err = m.meter.Float64Histogram("magnoliafront_request_seconds",
		metric.WithDescription("Time from the arrival of a request to its end."),
		metric.WithExplicitBucketBoundaries(requestSecondsBuckets()...)); err != nil {
		return err
	}
	if m.answers, err = m.meter.Int64Counter("magnoliafront_answers", metric.WithDescription("Answers of upstreams that have ended.")); err != nil {
		return err
	}
	if err := m.createPromptInstruments(); err != nil {
		return err
	}
	if m.requestsReceived, err = m.meter.Int64ObservableCounter("magnoliafront_requests_received", metric.WithDescription("Requests of callers that have arrived.")); err != nil {
		return err
	}
	if m.requestsEnded, err = m.meter.Int64ObservableCounter("magnoliafront_requests_ended", metric.WithDescription("Requests of callers that have ended.")); err != nil {
		return err
	}
	if m.requestsInFlight, err = m.meter.Int64ObservableGauge("magnoliafront_requests_in_flight", metric.WithDescription("Requests that a stage has not ended.")); err != nil {
		return err
	}
	if m.panics, err = m.meter.Int64ObservableCounter("magnoliafront_panics", metric.WithDescription("Panics that ended the handling of one message.")); err != nil {
		return err
	}
	if m.peerRefused, err = m.meter.Int64ObservableCounter("magnoliafront_peer_refused", metric.WithDescription("Connections and messages of peers that were refused.")); err != nil {
		return err
	}
	if m.answerBytes, err = m.meter.Int64ObservableGauge("magnoliafront_answer_held_bytes", metric.WithDescription("Bytes of answers that are reserved in the budget for answers.")); err != nil {
		return err
	}
	if m.answerLimit, err = m.meter.Int64ObservableGauge("magnoliafront_answer_held_bytes_limit", metric.WithDescription("Budget for answers in bytes.")); err != nil {
		return err
	}
	if m.answerRefused, err = m.meter.Int64ObservableCounter("magnoliafront_answer_reservations_refused", metric.WithDescription("Reservations that did not fit into the budget for answers.")); err != nil {
		return err
	}
	if err = m.duties.create(m.meter); err != nil {
		return err
	}
	if m.events, err = m.meter.Int64Counter("magnoliafront_events", metric.WithDescription("Events of the time line.")); err != nil {
		return err
	}
	if m.controlBytes, err = m.meter.Int64Counter("magnoliafront_control_bytes", metric.WithDescription("Bytes of messages of the control plane.")); err != nil {
		return err
	}
	if m.ringDepth, err = m.meter.Int64ObservableGauge("magnoliafront_ring_depth", metric.WithDescription("Values that wait in a ring.")); err != nil {
		return err
	}
	if m.ringCapacity, err = m.meter.Int64ObservableGauge("magnoliafront_ring_capacity", metric.WithDescription("Values that a ring can hold.")); err != nil {
		return err
	}
	if m.ringRefused, err = m.meter.Int64ObservableCounter("magnoliafront_ring_refused", metric.WithDescription("Values that a ring did not accept.")); err != nil {
		return err
	}
	m.ringDropped, err = m.meter.Int64ObservableCounter("magnoliafront_ring_dropped", metric.WithDescription("Values that a ring discarded to make room."))
	return err
}
