package starter

import (
	"encoding/json"
	"errors"
	"sync/atomic"

	"go.uber.org/fx"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/allocator"
	"magnoliafront.dev/magnoliafront/internal/process/exchanger"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/watcher"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// recordsParams are the dependencies of newExchanger and newWatcher, which
// receive the records from the peers and from the platform.
type recordsParams struct {
	fx.In
	Lifecycle fx.Lifecycle
	Settings  loader.Common
	Self      messenger.Peer
	Store     accessor.Store
	Clock     timer.Clock
	Recorder  *recorder.Recorder
	Meter     *meter.Meter
}

// newExchanger starts the exchanger, which gossips record revisions and membership
// with peers. The watcher needs the components that apply snapshots and starts
// later, so the exchanger calls it through ref.
func newExchanger(p recordsParams, ref *watcherRef) *exchanger.Exchanger {
	x := exchanger.New(exchanger.Options{
		Settings: exchanger.Settings{Self: p.Self, Incarnation: p.Clock.Now().UnixMilli(), Seeds: p.Settings.Peers},
		Secret:   []byte(p.Settings.SharedSecret), Store: p.Store, Clock: p.Clock, Recorder: p.Recorder,
		OnRelayChange: func(on bool) { ref.withWatcher(func(w *watcher.Watcher) { w.SetRelay(on) }) },
		OnPeerRevision: func(link, identity string, revision int64, knownEntries int) {
			ref.withWatcher(func(w *watcher.Watcher) { w.SetPeerRevision(link, identity, revision, knownEntries) })
		},
		OnLinkClosed: func(link string) { ref.withWatcher(func(w *watcher.Watcher) { w.RemoveLink(link) }) },
		Handle:       ref.handleMessage, Count: p.Meter.Control,
		OnDialled: func(c *messenger.Conn) {
			// Until the router has started, strikes cannot be handled. It asks for them
			// then.
			if ref.strikeHandler.Load() != nil {
				c.Notify(messenger.MethodFetchStrikes, struct{}{})
			}
		},
	})
	p.Lifecycle.Append(fx.StopHook(x.Stop))
	return x
}

// watcherRef resolves a circular dependency: the exchanger calls the watcher, but
// starts before it. A call waits on watcherReady until the watcher is set.
type watcherRef struct {
	meter        *meter.Meter
	watcherReady chan struct{}
	watcher      *watcher.Watcher
	// strikeHandler handles the strikes of other entries and their requests for those
	// that this entry knows. It is set in an entry only.
	strikeHandler atomic.Pointer[messenger.Handler]
}

func newWatcherRef(m *meter.Meter) *watcherRef {
	return &watcherRef{meter: m, watcherReady: make(chan struct{})}
}

func (r *watcherRef) withWatcher(f func(*watcher.Watcher)) {
	<-r.watcherReady
	f(r.watcher)
}

// handleMessage answers fetch_records and counts the bytes of the answer. In an
// entry it also handles the strikes of other entries.
func (r *watcherRef) handleMessage(c *messenger.Conn, m messenger.Message) (any, error) {
	if handler := r.strikeHandler.Load(); handler != nil && (m.Method == messenger.MethodStrike || m.Method == messenger.MethodFetchStrikes) {
		return (*handler)(c, m)
	}
	if m.Method != messenger.MethodFetchRecords {
		return nil, &Error{Op: "serve " + m.Method, Kind: ErrorMethod, Err: errors.New("the method is not known")}
	}
	<-r.watcherReady
	answer, err := r.watcher.Handle(c, m)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return nil, &Error{Op: "serve " + m.Method, Kind: ErrorMethod, Err: err}
	}
	r.meter.Control(m.Method, "sent", len(data))
	return json.RawMessage(data), nil
}

func newWatcher(p recordsParams, ref *watcherRef, x *exchanger.Exchanger, apply []func(*compiler.Snapshot)) (*watcher.Watcher, error) {
	w := watcher.New(watcher.Options{
		Store: p.Store, Clock: p.Clock, Recorder: p.Recorder, Apply: apply, Announce: x.SetRevision, Fetch: x.FetchRecords,
	})
	p.Lifecycle.Append(fx.StopHook(w.Stop))
	ref.watcher = w
	close(ref.watcherReady)
	return w, p.Meter.WatchRings(func() []buffer.Stats { return append(x.Stats(), w.Stats()) })
}

// newPeerRefusedCounter returns the counter of refused peers and refused messages
// of peers, on accepted and on dialled connections, and exports it as a metric.
func newPeerRefusedCounter(m *meter.Meter) (*atomic.Uint64, error) {
	refused := new(atomic.Uint64)
	return refused, m.WatchPeerRefused(refused)
}

func newAcceptor(lc fx.Lifecycle, s loader.Common, self messenger.Peer, refused *atomic.Uint64, routes acceptor.Routes, x *exchanger.Exchanger, c timer.Clock, shares allocator.Shares) (*acceptor.Acceptor, error) {
	a, err := listenForPeers(s.PeerListen, messenger.Options{Self: self, Secret: []byte(s.SharedSecret), Refused: refused}, routes, c, shares)
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(a.Stop))
	x.SetListenAddress(a.Address())
	return a, nil
}
