package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// emulateCommand runs one stand-in as a separate process, so that the system can
// be tried on one machine.
type emulateCommand struct {
	ctx     context.Context
	Listen  string        `long:"listen" default:"127.0.0.1:0" value-name:"ADDRESS" description:"Address of the stand-in"`
	Prefill time.Duration `long:"prefill" default:"50ms" description:"Time of an engine to the first token"`
	Gap     time.Duration `long:"gap" default:"10ms" description:"Time of an engine between two tokens"`
	Args    struct {
		Kind string `positional-arg-name:"KIND" description:"platform, engine or service"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *emulateCommand) Execute([]string) error {
	var h http.Handler
	switch c.Args.Kind {
	case "platform":
		p := emulator.NewPlatform()
		defer p.Stop()
		h = emulator.PlatformHandler(p)
	case "engine":
		e := emulator.NewEngine(emulator.EngineOptions{Clock: timer.System{}, Batch: emulator.BatchOptions{
			PromptDelay: c.Prefill, DecodeTime: c.Gap,
		}})
		defer e.Stop()
		h = e
	case "service":
		s := emulator.NewService()
		defer s.Stop()
		h = s
	default:
		return errors.Errorf("%q is not platform, engine or service", c.Args.Kind)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }()
	fmt.Printf("ready %s http://%s\n", c.Args.Kind, l.Addr())
	<-c.ctx.Done()
	return srv.Close()
}
