package starter

import (
	"context"
	"errors"
	"sync/atomic"

	"go.uber.org/fx"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/allocator"
	"magnoliafront.dev/magnoliafront/internal/process/claimer"
	"magnoliafront.dev/magnoliafront/internal/process/detector"
	"magnoliafront.dev/magnoliafront/internal/process/exchanger"
	"magnoliafront.dev/magnoliafront/internal/process/limiter"
	"magnoliafront.dev/magnoliafront/internal/process/linker"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/process/router"
	"magnoliafront.dev/magnoliafront/internal/process/server"
	"magnoliafront.dev/magnoliafront/internal/process/sharer"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

func newLinker(lc fx.Lifecycle, s loader.Common, self messenger.Peer, c timer.Clock, x *exchanger.Exchanger, refs *entryRefs, shares allocator.Shares) *linker.Linker {
	l := linker.New(linker.Options{Self: self, Secret: []byte(s.SharedSecret), Clock: c, Members: x.Members, Handle: refs.handleShare, MaxLinks: shares.PeersDialled})
	lc.Append(fx.StopHook(l.Stop))
	return l
}

// entryRefs resolves two circular dependencies: the linker calls the sharer, and
// the sharer calls the router, but each starts before the component that it
// calls. A call waits on sharerReady or routerReady until that component is set.
type entryRefs struct {
	sharerReady chan struct{}
	sharer      *sharer.Sharer
	routerReady chan struct{}
	router      *router.Router
}

func newEntryRefs() *entryRefs {
	return &entryRefs{sharerReady: make(chan struct{}), routerReady: make(chan struct{})}
}

// handleShare handles the share that the owner of a limit sends in response to a
// report.
func (r *entryRefs) handleShare(_ *messenger.Conn, m messenger.Message) (any, error) {
	if m.Method != messenger.MethodShare {
		return nil, &Error{Op: "serve " + m.Method, Kind: ErrorMethod, Err: errors.New("the method is not known")}
	}
	var s limiter.Share
	if err := m.Decode(&s); err != nil {
		return nil, err
	}
	<-r.sharerReady
	r.sharer.Share(s)
	return nil, nil
}

func newSharer(lc fx.Lifecycle, self messenger.Peer, c timer.Clock, x *exchanger.Exchanger, l *linker.Linker, refs *entryRefs, m *meter.Meter) (*sharer.Sharer, error) {
	s := sharer.New(sharer.Options{
		Entry: self.Identity, Clock: c,
		EntryCount: x.EntryCount, OwnerCandidates: x.OwnerCandidates,
		SendReport: func(entry string, r limiter.Report) bool { return l.Send(entry, messenger.MethodReport, r) },
		OnDecision: func(d sharer.Decision) {
			<-refs.routerReady
			refs.router.LimitDecided(d)
		},
	})
	refs.sharer = s
	close(refs.sharerReady)
	lc.Append(fx.StopHook(s.Stop))
	return s, m.WatchRings(func() []buffer.Stats { return append(s.Stats(), l.Stats()...) })
}

func newClaimer(lc fx.Lifecycle, s loader.Common, self messenger.Peer, store accessor.Store, c timer.Clock, rec *recorder.Recorder, x *exchanger.Exchanger) *claimer.Claimer {
	cl := claimer.New(claimer.Options{
		Self: self, Secret: []byte(s.SharedSecret), Store: store, Clock: c, Recorder: rec,
		Peers: func() []claimer.Peer {
			var peers []claimer.Peer
			members := x.Members()
			for _, identity := range x.OwnerCandidates() {
				if address, ok := members[identity]; ok {
					peers = append(peers, claimer.Peer{Identity: identity, Address: address})
				}
			}
			return peers
		},
	})
	lc.Append(fx.StopHook(cl.Stop))
	return cl
}

// routerParams are the dependencies of newRouter.
type routerParams struct {
	fx.In
	Lifecycle  fx.Lifecycle
	Settings   loader.Common
	Self       messenger.Peer
	Clock      timer.Clock
	Recorder   *recorder.Recorder
	Exchanger  *exchanger.Exchanger
	Sharer     *sharer.Sharer
	WatcherRef *watcherRef
	EntryRefs  *entryRefs
	// PeerRefused counts refused peers and refused messages of peers.
	PeerRefused *atomic.Uint64
	Claimer     *claimer.Claimer
}

func newRouter(p routerParams) *router.Router {
	r := router.New(router.Options{
		Self: p.Self, Secret: []byte(p.Settings.SharedSecret), Clock: p.Clock, Recorder: p.Recorder,
		Seed: uint64(p.Clock.Now().UnixNano()), OnNewerRevision: p.Exchanger.HintRevision, Limits: p.Sharer, PeerRefused: p.PeerRefused, Claimer: p.Claimer,
		SendStrikes: func(strikes []detector.Strike) { p.Exchanger.Broadcast(messenger.MethodStrike, strikes) },
	})
	p.EntryRefs.router = r
	close(p.EntryRefs.routerReady)
	handler := newStrikeHandler(r)
	p.WatcherRef.strikeHandler.Store(&handler)
	// An entry that has just started learns the strikes that its peers know.
	p.Exchanger.Broadcast(messenger.MethodFetchStrikes, struct{}{})
	p.Lifecycle.Append(fx.StopHook(r.Stop))
	return r
}

// newStrikeHandler returns a handler that passes the strikes of another entry to
// the router, and sends those that the router knows to an entry that asks for them.
func newStrikeHandler(r *router.Router) messenger.Handler {
	return func(c *messenger.Conn, m messenger.Message) (any, error) {
		if m.Method == messenger.MethodFetchStrikes {
			r.FetchStrikes(func(strikes []detector.Strike) { c.Notify(messenger.MethodStrike, strikes) })
			return nil, nil
		}
		var strikes []detector.Strike
		if err := m.Decode(&strikes); err != nil {
			return nil, err
		}
		r.ReceiveStrikes(strikes)
		return nil, nil
	}
}

func newServer(lc fx.Lifecycle, s loader.Entry, c timer.Clock, r *router.Router, m *meter.Meter, shares allocator.Shares) (*server.Server, error) {
	memory := reserver.NewMemory(0)
	srv, err := server.New(server.Options{
		Listen: s.Listen, Identity: s.Identity, Clock: c, Router: r, Metrics: m.Handler(), Memory: memory, MaxConns: shares.Callers,
	})
	if err != nil {
		return nil, err
	}
	if err := watchMemory(m, memory, srv.Bodies); err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(func(ctx context.Context) error {
		deadline, ok := ctx.Deadline()
		if !ok {
			return srv.Stop(ctx)
		}
		return srv.StopBefore(ctx, deadline.Add(-gracePeriodMargin))
	}))
	return srv, nil
}

// drainEntry registers the first step of a graceful stop: the entry becomes
// unready, but still accepts requests during the leaving pause, while the load
// balancer detects that it leaves.
func drainEntry(lc fx.Lifecycle, s loader.Entry, c timer.Clock, rec *recorder.Recorder, srv *server.Server, x *exchanger.Exchanger) {
	lc.Append(fx.StopHook(func(ctx context.Context) {
		srv.Leave()
		x.Leave()
		rec.Record(tracer.Event{Kind: tracer.KindMemberLeaving})
		sleep(ctx, c, s.LeavingPauseDuration())
	}))
}
