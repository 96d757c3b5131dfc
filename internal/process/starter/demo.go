package starter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/fx"

	"magnoliafront.dev/magnoliafront/examples"
	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/server"
	"magnoliafront.dev/magnoliafront/internal/process/writer"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// DemoKey is the API key that the demo adds to one organisation of the example
// records. It is public.
const DemoKey = "demo-key"

// demoOrganisation is the name of the organisation that gets [DemoKey].
const demoOrganisation = "notch-guides"

// DemoSecret is the shared secret with which the processes of the demo
// authenticate each other. It is public.
const DemoSecret = "demo-shared-secret" //nolint:gosec // not a secret

// demoReadyTimeout bounds the wait for the entry and the agents of the demo to
// become ready.
const demoReadyTimeout = 20 * time.Second

// DemoOptions configures a demo.
type DemoOptions struct {
	// Listen is the address on which the entry accepts callers.
	Listen string
	// Prefill is the delay of the engines before the prefill of a run, and Gap is
	// the base time of each decoding iteration.
	Prefill time.Duration
	Gap     time.Duration
	// Observe is called with each event of the entry. It must not block. It may be
	// nil.
	Observe Observer
}

// Demo runs the whole system in one process: an entry and the agents, against
// stand-ins for the platform and the upstreams.
type Demo struct {
	// Address is the address on which the entry accepts callers. Platform is the
	// URL of the object API.
	Address  string
	Platform string
	// Engines are the stand-ins for the model engines. They can inject faults.
	Engines []*emulator.Engine
	// Peer is the address on which the entry accepts other processes.
	Peer string
	// EngineURLs are the URLs of the engines, by the name of the upstream.
	EngineURLs map[string]string
	// Service is the stand-in for the plain service.
	Service *emulator.Service
	// progress receives the name of each upstream that the entry has connected to
	// and of each process that has put records in force. waitReady ignores the empty
	// names that other events send.
	progress chan string
	// peers are the seed addresses of the agents. The only one is the peer address
	// of the entry.
	peers []string
	// stopFuncs stop the started parts. They are called in reverse order.
	stopFuncs []func(context.Context) error
}

// StartDemo starts the stand-ins, an entry and the agents, and returns once the
// demo serves requests.
func StartDemo(ctx context.Context, o DemoOptions) (*Demo, error) {
	d := &Demo{EngineURLs: map[string]string{}, Service: emulator.NewService(), progress: make(chan string, 1024)}
	d.onStop(func(context.Context) error { d.Service.Stop(); return nil })
	if err := d.start(ctx, o); err != nil {
		return nil, errors.Wrap(errors.Join(err, d.Stop(ctx)), "start demo")
	}
	return d, nil
}

// Stop stops all parts in the reverse order of their start.
func (d *Demo) Stop(ctx context.Context) error {
	var all error
	for _, stop := range slices.Backward(d.stopFuncs) {
		all = errors.Join(all, stop(ctx))
	}
	d.stopFuncs = nil
	return all
}

func (d *Demo) start(ctx context.Context, o DemoOptions) error {
	platform := emulator.NewPlatform()
	d.onStop(func(context.Context) error { platform.Stop(); return nil })
	url, err := d.serve(emulator.PlatformHandler(platform))
	if err != nil {
		return err
	}
	d.Platform = url
	records, err := demoRecords()
	if err != nil {
		return err
	}
	if err := d.startEntry(ctx, o); err != nil {
		return err
	}
	for i := range records {
		if u := records[i].Upstream; u != nil {
			if err := d.startUpstream(ctx, o, records[i].Name, u); err != nil {
				return err
			}
		}
	}
	if err := writeRecords(ctx, platform, records); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

// startUpstream starts the stand-in for an upstream and its agent if the demo
// runs that upstream, and sets the address in its record: to the agent, or to
// unreachableAddress if the demo does not run the upstream.
func (d *Demo) startUpstream(ctx context.Context, o DemoOptions, name string, u *descriptor.Upstream) error {
	u.Address = unreachableAddress
	if !slices.Contains(demoUpstreams(), name) {
		return nil
	}
	var handler http.Handler
	if u.Type == descriptor.TypeService {
		handler = d.Service
	} else {
		handler = d.startEngine(o, u)
	}
	url, err := d.serve(handler)
	if err != nil {
		return err
	}
	if u.Type == descriptor.TypeEngine {
		d.EngineURLs[name] = url
	}
	s := loader.Agent{Common: d.commonSettings("agent-"+name, u.AvailabilityZone), Upstream: name, UpstreamURL: url}
	var a *acceptor.Acceptor
	if err := d.startApp(ctx, Agent(s), fx.Supply(d.newObserver(nil)), fx.Populate(&a)); err != nil {
		return err
	}
	u.Address = a.Address()
	return nil
}

func (d *Demo) startEngine(o DemoOptions, u *descriptor.Upstream) *emulator.Engine {
	e := emulator.NewEngine(emulator.EngineOptions{Clock: timer.System{}, Batch: emulator.BatchOptions{
		Slots: u.Slots, KVTokens: u.KVTokens, PrefixTokens: u.KVTokens / 4,
		// An iteration of a full batch takes 1.5 times the base time.
		PromptDelay: o.Prefill, DecodeTime: o.Gap, DecodeTimePerRun: o.Gap / time.Duration(2*u.Slots),
	}})
	d.Engines = append(d.Engines, e)
	d.onStop(func(context.Context) error { e.Stop(); return nil })
	return e
}

func (d *Demo) startEntry(ctx context.Context, o DemoOptions) error {
	var srv *server.Server
	var a *acceptor.Acceptor
	s := loader.Entry{Common: d.commonSettings("entry-1", "north-conway"), Listen: o.Listen}
	if err := d.startApp(ctx, Entry(s), fx.Supply(d.newObserver(o.Observe)), fx.Populate(&srv, &a)); err != nil {
		return err
	}
	d.Address, d.Peer, d.peers = srv.Address(), a.Address(), []string{a.Address()}
	return nil
}

// newObserver returns an observer that passes each event to next, which may be
// nil, and sends to progress, without blocking, the name that waitReady waits for.
func (d *Demo) newObserver(next Observer) Observer {
	return func(e tracer.Event) {
		if next != nil {
			next(e)
		}
		name := ""
		switch e.Kind {
		case tracer.KindMemberJoined:
			name = e.Upstream
		case tracer.KindRevisionInForce:
			name = e.Process
		}
		select {
		case d.progress <- name:
		default:
		}
	}
}

// waitReady waits until the entry is connected to all upstreams that the demo
// runs and their agents have the records in force.
func (d *Demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	missing := map[string]bool{}
	for _, name := range demoUpstreams() {
		missing[name], missing["agent-"+name] = true, true
	}
	for len(missing) > 0 {
		select {
		case name := <-d.progress:
			delete(missing, name)
		case <-ctx.Done():
			names := strings.Join(slices.Sorted(maps.Keys(missing)), ", ")
			return &Error{Op: "start entry", Kind: ErrorNotReady, Err: errors.Wrapf(ctx.Err(), "wait up to %v for %s", demoReadyTimeout, names)}
		}
	}
	return nil
}

func (d *Demo) commonSettings(identity, zone string) loader.Common {
	return loader.Common{
		Identity: identity, AvailabilityZone: zone, PeerListen: "127.0.0.1:0",
		Platform: d.Platform, SharedSecret: DemoSecret, Peers: d.peers,
	}
}

func (d *Demo) onStop(f func(context.Context) error) { d.stopFuncs = append(d.stopFuncs, f) }

func (d *Demo) startApp(ctx context.Context, options ...fx.Option) error {
	app := fx.New(options...)
	if err := app.Err(); err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	d.onStop(app.Stop)
	return nil
}

// serve serves h on a free loopback port and returns the URL.
func (d *Demo) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", &Error{Op: "listen", Kind: ErrorListen, Err: err}
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }()
	d.onStop(func(context.Context) error { return srv.Close() })
	return "http://" + l.Addr().String(), nil
}

// unreachableAddress is the address of upstreams that the demo does not run.
// Nothing listens on port 1.
const unreachableAddress = "127.0.0.1:1"

// demoUpstreams returns the names of the upstreams that the demo runs: three
// engines and one plain service.
func demoUpstreams() []string { return []string{"desk-1", "desk-2", "racik-1", "booking-1"} }

// demoRecords returns the example records, in which demoOrganisation gets
// [DemoKey], all classes, and neither a rate limit nor a concurrency limit.
func demoRecords() ([]descriptor.Record, error) {
	records, err := examples.Records()
	if err != nil {
		return nil, &Error{Op: "read examples", Kind: ErrorRecords, Err: err}
	}
	sum := sha256.Sum256([]byte(DemoKey))
	for _, r := range records {
		if r.Name == demoOrganisation {
			r.Organisation.KeyHashes = append(r.Organisation.KeyHashes, hex.EncodeToString(sum[:]))
			r.Organisation.Classes = nil
			// A single caller sends all requests of the demo, as fast as it likes, so its
			// organisation gets no limits.
			r.Organisation.RequestRate, r.Organisation.Concurrency = 0, 0
		}
	}
	return records, nil
}

// writeRecords writes records as the first revision.
func writeRecords(ctx context.Context, s accessor.Store, records []descriptor.Record) error {
	w := writer.Writer{Store: s, Clock: timer.System{}, Name: "demo"}
	if _, err := w.Change(ctx, writer.Change{Put: records}); err != nil {
		return &Error{Op: "write records", Kind: ErrorRecords, Err: err}
	}
	return nil
}
