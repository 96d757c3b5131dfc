// Package reloader notices when a settings file has changed.
//
// A [Reloader] is a duty. It reads the file again when a signal says that it has
// changed, and looks from time to time in any case, since files may change
// without a signal. Contents that differ from the last ones are handed on; what
// cannot be read is logged and leaves everything as it was.
//
// # Usage
//
//	r := reloader.New(reloader.Options{Path: path, Clock: c, Signals: signals, Apply: apply})
//	defer r.Stop()
package reloader

import (
	"bytes"
	"os"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// interval is the time between two looks without a signal.
const interval = 2 * time.Second

// Options configures a reloader.
type Options struct {
	Path  string
	Clock timer.Clock
	// Signals brings a value when the file has changed. It may be nil.
	Signals <-chan os.Signal
	// Apply puts new contents in force. It is called on the duty.
	Apply func(contents []byte) error
}

// Reloader watches one file.
type Reloader struct {
	options Options
	closing chan struct{}
	done    chan struct{}

	// The fields below are owned by the duty.
	contents []byte
	failed   bool
}

// New starts a reloader. What the file holds now counts as in force.
func New(o Options) *Reloader {
	r := &Reloader{options: o, closing: make(chan struct{}), done: make(chan struct{})}
	contents, err := os.ReadFile(o.Path)
	if err == nil {
		r.contents = contents
	}
	go func() {
		defer close(r.done)
		for r.step() {
		}
	}()
	return r
}

// Stop ends the duty.
func (r *Reloader) Stop() {
	close(r.closing)
	<-r.done
}

func (r *Reloader) step() bool {
	wake, stop := r.options.Clock.After(interval)
	defer stop()
	select {
	case <-wake:
		r.look("")
	case s := <-r.options.Signals:
		r.look(s.String())
	case <-r.closing:
		return false
	}
	return true
}

// look reads the file and puts it in force if it has changed.
func (r *Reloader) look(signal string) {
	contents, err := os.ReadFile(r.options.Path)
	if err != nil {
		if !r.failed {
			klog.ErrorS(err, "settings not read", "path", r.options.Path)
		}
		r.failed = true
		return
	}
	r.failed = false
	if bytes.Equal(contents, r.contents) {
		if signal != "" {
			klog.InfoS("settings unchanged", "path", r.options.Path, "signal", signal)
		}
		return
	}
	r.contents = contents
	if err := r.options.Apply(contents); err != nil {
		klog.ErrorS(err, "settings not in force", "path", r.options.Path)
		return
	}
	klog.InfoS("settings in force", "path", r.options.Path, "signal", signal)
}
