package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/process/driver"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

type loadCommand struct {
	ctx      context.Context
	URLs     []string      `long:"url" default:"http://127.0.0.1:8080" value-name:"URL" description:"Entry to send to (repeatable; they take turns)"`
	Keys     []string      `long:"key" default:"demo-key" value-name:"KEY" description:"Key of callers, or ORGANISATION=KEY (repeatable)"`
	Rate     float64       `long:"rate" default:"20" description:"Requests a second of the built-in mix"`
	For      time.Duration `long:"for" default:"10s" description:"Time in which requests are sent"`
	Count    int           `long:"count" description:"Largest number of requests"`
	Seed     uint64        `long:"seed" default:"1" description:"Seed of the built-in mix"`
	InFlight int           `long:"in-flight" default:"2048" description:"Largest number of requests in flight"`
	JSON     bool          `long:"json" description:"Print the report as JSON"`
	Plot     string        `long:"plot" value-name:"FILE" description:"Draw attainment by class over time to a .png or .svg file"`
	Args     struct {
		Trace string `positional-arg-name:"TRACE" description:"Trace to replay (docs/TRACES.md) in place of the built-in mix"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	t, err := c.trace()
	if err != nil {
		return err
	}
	keys := map[string]string{}
	for _, k := range c.Keys {
		organisation, key, ok := strings.Cut(k, "=")
		if !ok {
			organisation, key = "", k
		}
		keys[organisation] = key
	}
	o := driver.Options{URLs: c.URLs, Keys: keys, Clock: timer.System{}, Trace: t, MaxRequests: c.Count, MaxInFlight: c.InFlight}
	if c.Args.Trace == "" {
		o.MaxDuration = c.For
	}
	r := c.runDriver(o)
	if c.Plot != "" {
		err = r.Plot(c.Plot)
	}
	if c.JSON {
		err = errors.Join(err, r.WriteJSON(os.Stdout))
	} else {
		err = errors.Join(err, r.WriteTable(os.Stdout))
	}
	if err != nil {
		return err
	}
	return r.Check(true)
}

// trace reads the trace file, or generates the built-in mix if none is given.
func (c *loadCommand) trace() (driver.Trace, error) {
	if c.Args.Trace == "" {
		return driver.MixedTrace(c.Seed, c.Rate, c.For)
	}
	f, err := os.Open(c.Args.Trace)
	if err != nil {
		return driver.Trace{}, err
	}
	defer func() { _ = f.Close() }()
	return driver.ReadTrace(f)
}

// runDriver sends the requests of o and waits for their end. It shows the progress
// if standard error is a terminal. An interrupt stops the driver early.
func (c *loadCommand) runDriver(o driver.Options) *driver.Report {
	var ended, answered atomic.Int64
	o.OnResult = func(r driver.Result) {
		ended.Add(1)
		if r.State == driver.StateAnswered {
			answered.Add(1)
		}
	}
	d := driver.New(o)
	done := make(chan *driver.Report, 1)
	go func() { done <- d.Wait() }()
	showProgress := isTerminal(os.Stderr)
	interrupted := c.ctx.Done()
	for {
		tick, stop := o.Clock.After(time.Second)
		select {
		case r := <-done:
			stop()
			if showProgress {
				fmt.Fprintln(os.Stderr)
			}
			return r
		case <-interrupted:
			interrupted = nil
			d.Stop()
		case <-tick:
			if showProgress {
				fmt.Fprintf(os.Stderr, "\r%d of %d requests ended, %d answered", ended.Load(), len(o.Trace.Requests), answered.Load())
			}
		}
		stop()
	}
}

func isTerminal(f *os.File) bool {
	s, err := f.Stat()
	return err == nil && s.Mode()&os.ModeCharDevice != 0
}
