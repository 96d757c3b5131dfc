package soaker

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// process is a program that the test runs, one process after another.
type process struct {
	t       *testing.T
	name    string
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// logPath is the path of the output of the current process.
	logPath string
	// expectExit is true while the test itself terminates or restarts the process.
	expectExit bool
	outages    []outage
}

// outage is a time in which a process may break answers off.
type outage struct{ start, end time.Time }

// run starts a process that writes to log. The test fails if it exits although
// expectExit is false.
func (p *process) run(c *exec.Cmd, log *os.File) {
	p.mu.Lock()
	defer p.mu.Unlock()
	is.New(p.t).NoErr(c.Start())
	exited := make(chan struct{})
	p.command, p.exited, p.logPath, p.expectExit = c, exited, log.Name(), false
	go func() {
		defer close(exited)
		err := c.Wait()
		_ = log.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.expectExit {
			p.t.Errorf("%s exited unexpectedly: %v, see %s", p.name, err, log.Name())
		}
	}()
}

// signal sends a signal to the current process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// terminate sends a signal that ends the process and waits for its exit.
func (p *process) terminate(s syscall.Signal) {
	p.mu.Lock()
	p.expectExit = true
	_ = p.command.Process.Signal(s)
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(waitTimeout):
		p.t.Errorf("%s did not exit within %v after signal %v", p.name, waitTimeout, s)
	}
}

func (p *process) kill() { p.terminate(syscall.SIGKILL) }

// beginOutage records the start of an outage and returns the function that records its end.
func (p *process) beginOutage(start time.Time) (end func()) {
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.outages = append(p.outages, outage{start, time.Now()})
	}
}

// hadOutage reports whether an outage overlaps the time from start to end.
func (p *process) hadOutage(start, end time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.outages {
		if !o.start.After(end) && !o.end.Before(start) {
			return true
		}
	}
	return false
}
