package main

import (
	"context"
	"fmt"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/starter"
)

type demoCommand struct {
	ctx     context.Context
	Listen  string        `long:"listen" default:"127.0.0.1:8080" value-name:"ADDRESS" description:"Address for callers"`
	Prefill time.Duration `long:"prefill" default:"50ms" description:"Time of an engine to the first token"`
	Gap     time.Duration `long:"gap" default:"10ms" description:"Time of an engine between two tokens"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	d, err := starter.StartDemo(c.ctx, starter.DemoOptions{Listen: c.Listen, Prefill: c.Prefill, Gap: c.Gap})
	if err != nil {
		return err
	}
	fmt.Printf("ready http://%s platform %s peer %s secret %s\n", d.Address, d.Platform, d.Peer, starter.DemoSecret)
	for name, url := range d.EngineURLs {
		fmt.Printf("engine %s %s/switches\n", name, url)
	}
	<-c.ctx.Done()
	return stopGracefully(d.Stop)
}
