// Package driver is a load generator that replays a trace against gateway entries
// and measures the answers.
//
// A [Trace] lists the requests with their send times. The load is open loop:
// arrivals don't wait for answers, so that a slow system gets the same load as a
// fast one. Every answer is checked token by token against the text that the
// emulated engine generates for the prompt. The [Report] holds attainment by
// class, goodput and wasted tokens.
//
// One goroutine sends requests at the times of the trace, and another owns the
// report. Each request in flight has its own goroutine, as in an entry, which
// passes the result to the report through a ring.
//
// # Usage
//
//	t, err := driver.ReadTrace(file)
//	d := driver.New(driver.Options{URLs: urls, Keys: keys, Clock: c, Trace: t})
//	report := d.Wait()
//	err = report.WriteTable(os.Stdout)
package driver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	resultRingCapacity = 1024
	// defaultMaxInFlight bounds the requests in flight, each of which has a
	// connection.
	defaultMaxInFlight = 2048
	// defaultTimeout exceeds the duration of the longest answer, 2,000 tokens at
	// 33 ms each.
	defaultTimeout = 2 * time.Minute
)

// Options configures a [Driver].
type Options struct {
	// URLs are the base URLs of the entries. Requests are sent to them in turn.
	URLs []string
	// Keys maps organisations to their API keys. The key of the empty name is
	// used for organisations that aren't listed.
	Keys  map[string]string
	Clock timer.Clock
	Trace Trace
	// MaxRequests bounds the number of requests and MaxDuration the time in which
	// they are sent. Zero means no bound.
	MaxRequests int
	MaxDuration time.Duration
	// MaxInFlight bounds the requests in flight, 2,048 if zero. A request over
	// the bound is counted as unsent.
	MaxInFlight int
	// Timeout bounds the duration of one request, two minutes if zero.
	Timeout time.Duration
	// OnResult is called with each result by the goroutine that owns the report.
	// It may be nil.
	OnResult func(Result)
}

// Driver replays one trace.
type Driver struct {
	options  Options
	cancel   context.CancelFunc
	results  *buffer.Ring[Result, buffer.Block]
	inFlight chan struct{}
	done     chan struct{}
	// report is owned by the goroutine that runs collect until done is closed.
	report *Report
}

// New starts sending the trace.
func New(o Options) *Driver {
	if o.MaxInFlight == 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{
		options: o, cancel: cancel,
		results:  buffer.New[Result, buffer.Block]("driver_results", resultRingCapacity),
		inFlight: make(chan struct{}, o.MaxInFlight),
		done:     make(chan struct{}),
		report:   newReport(o.Trace.Header),
	}
	go func() {
		d.send(ctx)
		d.results.Close()
	}()
	go func() {
		defer close(d.done)
		d.collect()
	}()
	return d
}

// Stop ends sending and cancels the requests in flight.
func (d *Driver) Stop() { d.cancel() }

// Wait waits until all requests have ended and returns the report.
func (d *Driver) Wait() *Report {
	<-d.done
	d.cancel()
	return d.report
}

// send sends the requests of the trace at their times and waits for the last
// result.
func (d *Driver) send(ctx context.Context) {
	o := d.options
	client := &http.Client{Timeout: o.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: o.MaxInFlight}}
	defer client.CloseIdleConnections()
	var sending sync.WaitGroup
	defer sending.Wait()
	start := o.Clock.Now()
	for i, q := range o.Trace.Requests {
		if (o.MaxRequests > 0 && i >= o.MaxRequests) || (o.MaxDuration > 0 && time.Duration(q.At) > o.MaxDuration) {
			return
		}
		if !d.sleep(ctx, start.Add(time.Duration(q.At)).Sub(o.Clock.Now())) {
			return
		}
		select {
		case d.inFlight <- struct{}{}:
		default:
			d.results.Put(ctx, Result{Class: q.Class, At: time.Duration(q.At), State: StateUnsent})
			continue
		}
		sender := requestSender{client: client, clock: o.Clock, baseURL: o.URLs[i%len(o.URLs)], apiKey: d.apiKey(q.Organisation)}
		sending.Go(func() {
			r := sender.send(ctx, q)
			<-d.inFlight
			// collect takes results until the ring is closed, which happens after
			// the last one.
			d.results.Put(context.Background(), r)
		})
	}
}

func (d *Driver) apiKey(organisation string) string {
	if k, ok := d.options.Keys[organisation]; ok {
		return k
	}
	return d.options.Keys[""]
}

// sleep returns false if ctx ends before the pause.
func (d *Driver) sleep(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	wake, stop := d.options.Clock.After(pause)
	defer stop()
	select {
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// collect adds the results to the report until the ring is closed.
func (d *Driver) collect() {
	start := d.options.Clock.Now()
	for {
		r, ok := d.results.Take(context.Background())
		if !ok {
			break
		}
		d.report.add(r)
		if d.options.OnResult != nil {
			d.options.OnResult(r)
		}
	}
	d.report.finish(d.options.Clock.Now().Sub(start))
}
