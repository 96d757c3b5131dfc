package starter

import (
	"context"
	"net/http"
	"net/url"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/connection/validator"
	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/allocator"
	"magnoliafront.dev/magnoliafront/internal/process/archiver"
	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/explainer"
	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/process/linker"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/internal/process/receiver"
	"magnoliafront.dev/magnoliafront/internal/process/recoverer"
	"magnoliafront.dev/magnoliafront/internal/process/reloader"
	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/process/resumer"
	"magnoliafront.dev/magnoliafront/internal/process/syncer"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/platform"
)

const (
	// gracePeriodMargin is how long before the end of the grace period a process
	// exits by itself.
	gracePeriodMargin = 700 * time.Millisecond
	// closeDelay is the time between the end of the notice period and the close of the
	// listener and of idle connections. Callers that have just connected still send their
	// requests within it.
	closeDelay = 500 * time.Millisecond
	// withdrawTimeout bounds the call that deletes a leaving entry from the store.
	withdrawTimeout = time.Second
	// maxIdleStoreConnections is the maximum number of idle connections to the
	// store: one for each of the three watched kinds of objects, and two for writes and
	// for reads on demand.
	maxIdleStoreConnections = 5
)

// SettingsFile is the settings file of a process, which is reloaded on a signal.
type SettingsFile struct {
	Path string
	// Changed delivers a signal when the file has changed. It may be nil.
	Changed <-chan os.Signal
}

// Gateway returns the fx options of an entry that calls its upstreams directly,
// without agents. The settings s were read from file.
func Gateway(s loader.Gateway, file SettingsFile) fx.Option {
	return fx.Options(
		fx.Supply(file),
		fx.Invoke(reloadSettings),
		fx.StopTimeout(s.GracePeriodDuration()),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s, messenger.Peer{Role: messenger.RoleEntry, Identity: s.Identity, AvailabilityZone: s.AvailabilityZone}),
		fx.Provide(
			func() timer.Clock { return timer.System{} },
			func() *syncerRef { return &syncerRef{} },
			func() *receiverRef { return &receiverRef{} },
			func() *recoverer.Recoverer { return &recoverer.Recoverer{} },
			func() *dutiesRef { return &dutiesRef{} },
			newAPI, newDuties, newProvisioning, newGatewayShares, newStore, newMeter, newForwarder, newPeering, newReceiver, newMemory,
		),
		fx.Invoke(serveGatewayMetrics),
		fx.Invoke(func(m *meter.Meter, memory reserver.Memory) error { return m.WatchAnswers(memory.Answers.Stats) }),
		fx.Invoke(func(m *meter.Meter, memory reserver.Memory, r *receiver.Receiver) error {
			return watchMemory(m, memory, r.Bodies)
		}),
		fx.Invoke(func(m *meter.Meter, r *recoverer.Recoverer) error { return m.WatchPanics(&r.Panics) }),
		fx.Invoke(func(m *meter.Meter, f *forwarder.Forwarder, p *peering, r *receiver.Receiver, d *duties, v *provisioning) error {
			return m.WatchRings(func() []buffer.Stats {
				return slices.Concat(f.Stats(), p.syncer.Stats(), p.archiver.Stats(), p.recaller.Stats(), d.stats(), v.stats(), r.Stats())
			})
		}),
		fx.Invoke(watchRequests, watchGatewayConnections),
		fx.Invoke(drainGateway),
		fx.Invoke(resignDuties, resignProvisioning),
	)
}

// watchRequests exports the numbers of requests. A request that the receiver holds for
// longer than the forwarder has lost its end.
func watchRequests(m *meter.Meter, f *forwarder.Forwarder, r *receiver.Receiver) error {
	return m.WatchRequests(func() meter.Requests {
		q := r.Requests()
		return meter.Requests{
			Received: q.Received, Ended: q.Ended,
			InFlight: map[string]uint64{"receiver": q.InFlight(), "forwarder": uint64(f.InFlight())},
		}
	})
}

func newStore(s loader.Gateway, shares allocator.Shares) (*platform.Store, error) {
	u, err := url.Parse(s.Platform)
	if err != nil {
		return nil, &Error{Op: "read the address of the platform", Kind: ErrorSettings, Err: err}
	}
	return &platform.Store{Address: u.Host, HTTPClient: &http.Client{Transport: &validator.Transport{Base: &http.Transport{
		DialContext:         carrier.Dialer().DialContext,
		MaxIdleConnsPerHost: maxIdleStoreConnections,
		MaxConnsPerHost:     shares.Store,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}}}, nil
}

// peering holds the components that connect the forwarder to the store and to
// other entries: the syncer, the archiver and the recaller, and the linker and acceptor for
// the dialled and the accepted connections.
type peering struct {
	syncer   *syncer.Syncer
	archiver *archiver.Archiver
	recaller *archiver.Recaller
	linker   *linker.Linker
	acceptor *acceptor.Acceptor
}

// syncerRef passes the calls of the forwarder to the syncer, the archiver and the recaller,
// which start after the forwarder. Calls before that are dropped.
type syncerRef struct {
	syncer   atomic.Pointer[syncer.Syncer]
	archiver atomic.Pointer[archiver.Archiver]
	recaller atomic.Pointer[archiver.Recaller]
}

func (r *syncerRef) recallVersions(ticket uint64) {
	if c := r.recaller.Load(); c != nil {
		c.Recall(ticket)
	}
}

func (r *syncerRef) shareVersions(streams []resumer.Stream) {
	if s := r.syncer.Load(); s != nil {
		s.ShareVersions(streams)
	}
}

func (r *syncerRef) fetchVersions(streams []uint64) {
	if s := r.syncer.Load(); s != nil {
		s.FetchVersions(streams)
	}
}

func (r *syncerRef) keepVersions(record resumer.Record) {
	if a := r.archiver.Load(); a != nil {
		a.Keep(record)
	}
}

func (r *syncerRef) sendStrikes(strikes []detector.Strike) {
	if s := r.syncer.Load(); s != nil {
		s.SendStrikes(strikes)
	}
}

func (r *syncerRef) sendLoad(report dispatcher.LoadReport) {
	if s := r.syncer.Load(); s != nil {
		s.SendLoad(report)
	}
}

func newForwarder(lc fx.Lifecycle, s loader.Gateway, c timer.Clock, ref *syncerRef, receiver *receiverRef, usage *dutiesRef, m *meter.Meter, rec *recoverer.Recoverer, shares allocator.Shares) *forwarder.Forwarder {
	f := forwarder.New(forwarder.Options{
		Clock: c, Codec: platform.Codec{}, Recoverer: rec, SendStrikes: ref.sendStrikes, SendLoad: ref.sendLoad, Versions: forwarder.Versions{Keep: ref.keepVersions, Recall: ref.recallVersions, Share: ref.shareVersions, Fetch: ref.fetchVersions}, CountUsage: usage.countUsage,
		Configured: receiver.refreshLimits, MaxConns: shares.Upstreams,
		Observe:       func(o forwarder.Observation) { observe(m, o) },
		ObserveAnswer: func(o forwarder.AnswerObservation) { m.Answer(o.Framing, o.End) },
		Dispatcher: dispatcher.Settings{
			AvailabilityZone: s.AvailabilityZone, Seed: uint64(c.Now().UnixNano()),
			RetryRatio: s.RetryShare, RetryCapacity: s.RetrySlack, StrikesWait: syncer.StrikesWait, KeepVersions: true,
			CountUsage: s.Duties != nil && bool(s.Duties.Usage), MeasureDemand: s.Duties != nil && bool(s.Duties.Scale),
		},
	})
	lc.Append(fx.StopHook(f.Stop))
	return f
}

// observe reports the end of a request to the metrics.
func observe(m *meter.Meter, o forwarder.Observation) {
	m.Request(o.Route, o.Result, o.Elapsed)
	if o.Sent && o.PromptTokens > 0 {
		m.Prompt(o.Route, o.PromptTokens-o.PrefillTokens, o.PrefillTokens)
	}
	if o.Deferred {
		m.Deferred(o.Route)
	}
	if o.TakeUp != "" {
		m.TakeUp(o.TakeUp)
	}
}

func newPeering(lc fx.Lifecycle, s loader.Gateway, self messenger.Peer, c timer.Clock, store *platform.Store, f *forwarder.Forwarder, ref *syncerRef, usage *dutiesRef, rec *recoverer.Recoverer, shares allocator.Shares) (*peering, error) {
	p := &peering{}
	ready := make(chan struct{})
	handle := func(conn *messenger.Conn, m messenger.Message) (any, error) {
		<-ready
		return p.syncer.Handle(conn, m)
	}
	members := func() map[string]string {
		<-ready
		return p.syncer.Members()
	}
	p.linker = linker.New(linker.Options{Self: self, Secret: []byte(s.SharedSecret), Clock: c, Members: members, Handle: handle, MaxLinks: shares.PeersDialled, Recoverer: rec})
	p.syncer = syncer.New(syncer.Options{
		Self: self, MaxDrainDelay: s.LeavingLimitDuration(), MaxStall: s.StallLimitDuration(), Address: s.PeerListen, Seeds: s.Peers, Store: store, Clock: c, Forwarder: f,
		Kinds: syncer.Kinds{Configuration: platform.KindConfiguration, Upstreams: platform.KindUpstreams, Entries: platform.KindEntries},
		Decoder: syncer.Decoder{
			Configuration: platform.DecodeConfiguration, Upstream: platform.DecodeUpstream, Name: platform.Name,
		},
		Send: p.linker.Send, ReceiveUsage: usage.receiveUsage, Recoverer: rec,
	})
	close(ready)
	p.archiver = archiver.New(archiver.Options{Store: store, Kind: platform.KindVersions, Identity: self.Identity, Clock: c, Kept: f.VersionsKept, Recoverer: rec})
	p.recaller = archiver.NewRecaller(archiver.RecallerOptions{Store: store, Kind: platform.KindVersions, Identity: self.Identity, Clock: c, Recalled: f.RecallVersions, Recoverer: rec})
	ref.archiver.Store(p.archiver)
	ref.recaller.Store(p.recaller)
	var err error
	p.acceptor, err = listenForPeers(s.PeerListen, messenger.Options{Self: self, Secret: []byte(s.SharedSecret), Recoverer: rec}, acceptor.Routes{
		messenger.MethodFetchState: handle, messenger.MethodStrike: handle, messenger.MethodLoad: handle, messenger.MethodFetchStrikes: handle,
		messenger.MethodFetchVersions: handle, messenger.MethodVersions: handle,
	}, c, shares)
	if err != nil {
		p.recaller.Stop()
		p.archiver.Stop()
		p.syncer.Stop()
		p.linker.Stop()
		return nil, err
	}
	ref.syncer.Store(p.syncer)
	lc.Append(fx.StopHook(func() {
		p.acceptor.Stop()
		p.recaller.Stop()
		p.archiver.Stop()
		p.syncer.Stop()
		p.linker.Stop()
	}))
	return p, nil
}

// reloadSettings applies changes of the retry budget in the settings file while
// the process runs. All other settings, such as the addresses and the identity,
// stay as they are until the process ends.
func reloadSettings(lc fx.Lifecycle, file SettingsFile, c timer.Clock, f *forwarder.Forwarder) {
	r := reloader.New(reloader.Options{Path: file.Path, Clock: c, Signals: file.Changed, Apply: func(contents []byte) error {
		s, err := loader.ParseGateway(contents)
		if err != nil {
			return err
		}
		f.SetRetryBudget(s.RetryShare, s.RetrySlack)
		return nil
	}})
	lc.Append(fx.StopHook(r.Stop))
}

// newMemory returns the budgets for what is held for callers. If the memory of the process
// is known, the Go runtime is told to stay within its part of it.
func newMemory(s loader.Gateway) reserver.Memory {
	limit := s.MemoryLimitBytes()
	if limit > 0 {
		debug.SetMemoryLimit(reserver.RuntimeBytes(limit))
	}
	return reserver.NewMemory(limit)
}

func newReceiver(s loader.Gateway, c timer.Clock, f *forwarder.Forwarder, memory reserver.Memory, ref *receiverRef, shares allocator.Shares) (*receiver.Receiver, error) {
	r, err := receiver.New(receiver.Options{
		Listen: s.Listen, ReadyListen: s.ReadyListen, ReadyPath: platform.ReadyPath,
		Codec: platform.Codec{}, Forwarder: f, Clock: c, Descriptors: shares, Memory: memory,
	})
	if err != nil {
		return nil, err
	}
	ref.set(r)
	return r, nil
}

// serveGatewayMetrics serves the metrics, and answers where a request would be sent.
func serveGatewayMetrics(lc fx.Lifecycle, s loader.Gateway, m *meter.Meter, f *forwarder.Forwarder, c timer.Clock, shares allocator.Shares) error {
	if s.Metrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/", m.Handler())
	mux.Handle(explainer.Path, explainer.NewHandler(explainer.Options{Clock: c, Parse: platform.Codec{}.ParseQuestion, Explain: f.Explain}))
	return listenForMetrics(lc, s.Metrics, mux, c, shares)
}

// drainGateway registers the first step of a graceful stop: the entry becomes
// unready, but still accepts requests during the notice period, while the load
// balancer detects that it leaves. The forwarder refuses requests that would not end
// within the grace period, and answers those that have not ended before it.
func drainGateway(lc fx.Lifecycle, s loader.Gateway, c timer.Clock, f *forwarder.Forwarder, r *receiver.Receiver, p *peering) {
	lc.Append(fx.StopHook(func(ctx context.Context) error {
		now := c.Now()
		exitDeadline, noticeEnd := now.Add(s.GracePeriodDuration()-gracePeriodMargin), now.Add(s.NoticePeriodDuration())
		klog.InfoS("stopping", "identity", s.Identity, "grace", s.GracePeriodDuration())
		r.Drain()
		f.BeginStop(dispatcher.Stop{NoticeEnd: noticeEnd, ExitDeadline: exitDeadline})
		withdrawCtx, cancel := context.WithTimeout(ctx, withdrawTimeout)
		if err := p.syncer.DeleteOwnEntry(withdrawCtx); err != nil {
			klog.InfoS("entry not withdrawn", "identity", s.Identity, "err", err)
		}
		cancel()
		sleep(ctx, c, noticeEnd.Add(closeDelay).Sub(c.Now()))
		finishCtx, cancel := withDeadline(ctx, c, exitDeadline)
		defer cancel()
		err := r.Stop(finishCtx)
		q := r.Requests()
		klog.InfoS("stopped", "identity", s.Identity, "received", q.Received, "in_flight", q.InFlight(), "err", err)
		return nil
	}))
}

// withDeadline returns a copy of ctx that is cancelled at the deadline on the clock c,
// with [context.DeadlineExceeded] as its cause.
func withDeadline(ctx context.Context, c timer.Clock, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		sleep(ctx, c, deadline.Sub(c.Now()))
		cancel(context.DeadlineExceeded)
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, c timer.Clock, d time.Duration) {
	wake, stop := c.After(max(0, d))
	defer stop()
	select {
	case <-wake:
	case <-ctx.Done():
	}
}
