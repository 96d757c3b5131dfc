// Package reloader reloads a settings file when it changes.
//
// The goroutine of a [Reloader] reads the file on each signal. It also polls the
// file, since files may change without a signal. If the contents differ from the
// last ones, it applies them. If the file can't be read, it logs the error, and
// the applied contents stay in force.
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

// pollInterval is the time between two reads of the file without a signal.
const pollInterval = 2 * time.Second

// Options configures a reloader.
type Options struct {
	// Path is the path of the settings file.
	Path  string
	Clock timer.Clock
	// Signals delivers a signal when the file has changed. It may be nil.
	Signals <-chan os.Signal
	// Apply applies new contents of the file. The goroutine of the reloader calls
	// it.
	Apply func(contents []byte) error
}

// Reloader watches one settings file.
type Reloader struct {
	options Options
	stop    chan struct{}
	done    chan struct{}

	// The fields below are owned by the goroutine.
	// contents are the last contents that were read, even if Apply rejected them.
	contents []byte
	// readFailed is true if the last read failed. Only the first failure in a row
	// is logged.
	readFailed bool
}

// New starts a reloader. It assumes that the present contents of the file have
// been applied already.
func New(o Options) *Reloader {
	r := &Reloader{options: o, stop: make(chan struct{}), done: make(chan struct{})}
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

// Stop ends the goroutine.
func (r *Reloader) Stop() {
	close(r.stop)
	<-r.done
}

// step waits for a signal or the next poll and checks the file. It returns false
// after Stop.
func (r *Reloader) step() bool {
	pollDue, stop := r.options.Clock.After(pollInterval)
	defer stop()
	select {
	case <-pollDue:
		r.checkFile("")
	case s := <-r.options.Signals:
		r.checkFile(s.String())
	case <-r.stop:
		return false
	}
	return true
}

// checkFile reads the file and applies its contents if they have changed. The name
// of the signal is logged; it is empty for a poll.
func (r *Reloader) checkFile(signal string) {
	contents, err := os.ReadFile(r.options.Path)
	if err != nil {
		if !r.readFailed {
			klog.ErrorS(err, "settings file could not be read", "path", r.options.Path)
		}
		r.readFailed = true
		return
	}
	r.readFailed = false
	if bytes.Equal(contents, r.contents) {
		if signal != "" {
			klog.InfoS("settings unchanged", "path", r.options.Path, "signal", signal)
		}
		return
	}
	r.contents = contents
	if err := r.options.Apply(contents); err != nil {
		klog.ErrorS(err, "settings could not be applied", "path", r.options.Path)
		return
	}
	klog.InfoS("settings applied", "path", r.options.Path, "signal", signal)
}
