package starter

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"

	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/driver"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/executor"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/merger"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/router"
	"magnoliafront.dev/magnoliafront/internal/process/server"
	"magnoliafront.dev/magnoliafront/internal/process/watcher"
	"magnoliafront.dev/magnoliafront/internal/process/writer"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// callTime is the additional time that each call of the plain service takes.
const callTime = 30 * time.Millisecond

// fleet runs the whole system against stand-ins. It can inject faults, and replace
// or crash entries and agents behind proxies.
type fleet struct {
	t        *testing.T
	clock    timer.Clock
	platform *emulator.Platform
	// service is the plain service behind the agents of the upstreams booking-1 and
	// booking-2. It counts its calls.
	service       *emulator.Service
	platformDown  atomic.Bool
	platformURL   string
	entries       map[string]*entry
	upstreamNames []string
	agents        map[string]*agent
	// recorders are the recorders of all processes, also of stopped and crashed
	// ones, whose events a test checks too.
	recorders []*recorder.Recorder
	faults    []tracer.Event
}

// agent is the agent of one upstream. Its process can be replaced behind the
// proxy, which keeps the address in the record valid.
type agent struct {
	upstream descriptor.Record
	proxy    *tcpProxy
	engine   *faultyEngine
	url      string
	// starts counts the processes started so far. It is part of the identity.
	starts int
	stop   func(context.Context) error
	crash  func()
}

// entry is an entry that callers reach through a proxy, as through a load
// balancer. Its process can be replaced behind the proxy.
type entry struct {
	proxy *tcpProxy
	// starts counts the processes started so far. It is part of the identity.
	starts int
	stop   func(context.Context) error
	crash  func()
}

func startFleet(t *testing.T, c timer.Clock, h driver.Header) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{t: t, clock: c, platform: emulator.NewPlatform(), service: emulator.NewService(), agents: map[string]*agent{}, entries: map[string]*entry{}}
	objects := emulator.PlatformHandler(f.platform)
	f.platformURL = f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.platformDown.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		objects.ServeHTTP(w, r)
	}))
	t.Cleanup(f.platform.Stop)
	t.Cleanup(f.service.Stop)
	// The organisation comes from the demo, the classes come from the trace.
	records := systemRecords()[1:2]
	records[0].Organisation.DefaultClass = h.Classes[0].Name
	for _, c := range h.Classes {
		records = append(records, c.Record())
	}
	for i := range h.Systems.Engines {
		records = append(records, f.addUpstream(fmt.Sprintf("desk-%d", i+1), h.Systems))
	}
	for i := range 2 {
		records = append(records, f.addUpstream(fmt.Sprintf("booking-%d", i+1), h.Systems))
	}
	is.NoErr(writeRecords(t.Context(), f.platform, records))
	for i := range h.Systems.Entries {
		name := fmt.Sprintf("entry-%d", i+1)
		f.entries[name] = &entry{proxy: newTCPProxy(t)}
		f.startEntry(name)
	}
	return f
}

func (f *fleet) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	f.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.URL
}

func (f *fleet) addUpstream(name string, s driver.Systems) descriptor.Record {
	a := &agent{proxy: newTCPProxy(f.t)}
	u := &descriptor.Upstream{
		Service: "desk-assistant", Type: descriptor.TypeEngine, AvailabilityZone: "stowe", Models: []string{"desk"},
		Address: a.proxy.listener.Addr().String(), Slots: s.Slots, KVTokens: 65536,
	}
	if strings.HasPrefix(name, "booking") {
		u.Service, u.Type, u.Models = "booking", descriptor.TypeService, nil
		a.url = f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The delays give faults time to hit a call before and after it runs.
			f.sleep(callTime / 2)
			f.service.ServeHTTP(w, r)
			f.sleep(callTime / 2)
		}))
	} else {
		a.engine = newFaultyEngine(f.t, f.clock, time.Duration(s.Prefill), time.Duration(s.Gap))
		a.url = f.serve(a.engine)
	}
	a.upstream = descriptor.Record{SchemaVersion: descriptor.SchemaVersion, Kind: descriptor.KindUpstream, Name: name, Upstream: u}
	f.agents[name] = a
	f.upstreamNames = append(f.upstreamNames, name)
	f.startAgent(name)
	return a.upstream
}

// startAgent starts a process for the agent of an upstream, which must have none.
func (f *fleet) startAgent(name string) {
	a := f.agents[name]
	a.starts++
	var (
		acc *acceptor.Acceptor
		x   *executor.Executor
		w   *watcher.Watcher
		rec *recorder.Recorder
	)
	s := loader.Agent{Common: f.commonSettings(fmt.Sprintf("agent-%s.%d", name, a.starts)), Upstream: name, UpstreamURL: a.url}
	app := f.startApp(Agent(s), fx.Populate(&acc, &x, &w, &rec))
	a.proxy.setTarget(acc.Address())
	f.recorders = append(f.recorders, rec)
	stopped := false
	a.stop = func(ctx context.Context) error {
		stopped = true
		return app.Stop(ctx)
	}
	// A crash stops the goroutines without any step of a graceful stop.
	a.crash = func() {
		stopped = true
		x.Stop()
		acc.Stop()
		w.Stop()
	}
	f.t.Cleanup(func() {
		if !stopped {
			is.New(f.t).NoErr(app.Stop(context.Background()))
		}
	})
}

// startEntry starts an entry and returns once it is connected to all agents.
func (f *fleet) startEntry(name string) {
	e := f.entries[name]
	e.starts++
	var (
		srv *server.Server
		acc *acceptor.Acceptor
		r   *router.Router
		w   *watcher.Watcher
		rec *recorder.Recorder
	)
	s := loader.Entry{Common: f.commonSettings(fmt.Sprintf("%s.%d", name, e.starts)), Listen: "127.0.0.1:0"}
	app := f.startApp(Entry(s), fx.Populate(&srv, &acc, &r, &w, &rec))
	f.recorders = append(f.recorders, rec)
	stopped := false
	e.stop = func(ctx context.Context) error {
		stopped = true
		return app.Stop(ctx)
	}
	e.crash = func() {
		stopped = true
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = srv.Stop(cancelled)
		r.Stop()
		acc.Stop()
		w.Stop()
	}
	f.t.Cleanup(func() {
		if !stopped {
			is.New(f.t).NoErr(app.Stop(context.Background()))
		}
	})
	<-r.Ready()
	f.waitFor(func() bool { return len(r.AgentConns(f.t.Context())) == len(f.agents) })
	e.proxy.setTarget(srv.Address())
}

func (f *fleet) startApp(options ...fx.Option) *fx.App {
	clock := fx.Decorate(func(timer.Clock) timer.Clock { return f.clock })
	app := fx.New(append(options, clock)...)
	is.New(f.t).NoErr(app.Start(f.t.Context()))
	return app
}

// sleep waits until d has passed on the clock of the fleet.
func (f *fleet) sleep(d time.Duration) {
	wake, stop := f.clock.After(d)
	defer stop()
	<-wake
}

// waitFor polls a condition that no event reports until it holds or the test
// ends.
func (f *fleet) waitFor(ok func() bool) {
	for !ok() && f.t.Context().Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fleet) commonSettings(identity string) loader.Common {
	return loader.Common{Identity: identity, AvailabilityZone: "stowe", PeerListen: "127.0.0.1:0", Platform: f.platformURL, SharedSecret: DemoSecret}
}

// replaceAgent stops the agent of an upstream gracefully and starts a new process
// for it.
func (f *fleet) replaceAgent(name string) {
	is.New(f.t).NoErr(f.agents[name].stop(context.Background()))
	f.startAgent(name)
}

// crashAgent crashes the agent of an upstream and starts a new process for it.
func (f *fleet) crashAgent(name string) {
	f.agents[name].crash()
	f.startAgent(name)
}

// replaceEntry starts a new process for an entry, directs new connections to it
// and stops the old process gracefully.
func (f *fleet) replaceEntry(name string) {
	stop := f.entries[name].stop
	f.startEntry(name)
	is.New(f.t).NoErr(stop(context.Background()))
}

// crashEntry crashes an entry and starts a new process for it.
func (f *fleet) crashEntry(name string) {
	f.entries[name].crash()
	f.startEntry(name)
}

// setPlatformDown makes the platform fail all calls or serve them again, and
// records the start or the end of the fault.
func (f *fleet) setPlatformDown(down bool) {
	f.platformDown.Store(down)
	kind := tracer.KindFaultEnded
	if down {
		kind = tracer.KindFaultBegan
	}
	f.faults = append(f.faults, tracer.Event{
		Stamp: tracer.Stamp{Wall: f.clock.Now().UnixNano()}, Process: "test", Kind: kind, Reason: "platform_down",
	})
}

// writeRevision writes a new revision of the records, whose only change is a new
// class, unused-n, that no request uses.
func (f *fleet) writeRevision(ctx context.Context, n int) error {
	unused := descriptor.Record{SchemaVersion: descriptor.SchemaVersion, Kind: descriptor.KindClass, Name: fmt.Sprintf("unused-%d", n), Class: &descriptor.Class{Tier: 8}}
	w := writer.Writer{Store: f.platform, Clock: f.clock}
	_, err := w.Change(ctx, writer.Change{Put: []descriptor.Record{unused}})
	return err
}

// urls returns the URLs at which callers reach the entries.
func (f *fleet) urls() []string {
	var out []string
	for _, e := range f.entries {
		out = append(out, "http://"+e.proxy.listener.Addr().String())
	}
	return out
}

// events returns the merged events of all processes and of the faults.
func (f *fleet) events() []tracer.Event {
	lists := [][]tracer.Event{f.faults}
	for _, r := range f.recorders {
		lists = append(lists, r.Fetch(context.Background(), recorder.Query{}))
	}
	return merger.Merge(lists...)
}
