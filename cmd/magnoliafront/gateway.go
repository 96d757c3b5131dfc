package main

import (
	"context"
	"fmt"
	"os"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/starter"
)

type gatewayCommand struct {
	ctx      context.Context
	reload   <-chan os.Signal
	Settings string `long:"settings" env:"MAGNOLIAFRONT_SETTINGS" required:"true" value-name:"FILE" description:"JSON file with the settings"`
}

// Execute implements flags.Commander.
func (c *gatewayCommand) Execute([]string) error {
	s, err := loader.ReadGateway(c.Settings)
	if err != nil {
		return err
	}
	klog.InfoS("starting", "identity", s.Identity, "availability_zone", s.AvailabilityZone, "platform", s.Platform, "peers", len(s.Peers))
	return serve(c.ctx, starter.Gateway(s, starter.SettingsFile{Path: c.Settings, Changed: c.reload}), func() string {
		return fmt.Sprintf("ready gateway http://%s peers %s", s.Listen, s.PeerListen)
	})
}
