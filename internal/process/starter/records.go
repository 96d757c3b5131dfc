package starter

import (
	"encoding/json"
	"errors"
	"sync/atomic"

	"go.uber.org/fx"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/exchanger"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/watcher"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// recordsParams is what the duties that bring in the records need.
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

// newExchanger starts the exchange with peers. Its watcher is started later,
// since it needs the duties that read snapshots, and is reached over links.
func newExchanger(p recordsParams, l *watcherRef) *exchanger.Exchanger {
	x := exchanger.New(exchanger.Options{
		Settings: exchanger.Settings{Self: p.Self, Incarnation: p.Clock.Now().UnixMilli(), Seeds: p.Settings.Peers},
		Secret:   []byte(p.Settings.SharedSecret), Store: p.Store, Clock: p.Clock, Recorder: p.Recorder,
		OnRelayChange: func(on bool) { l.withWatcher(func(w *watcher.Watcher) { w.SetRelay(on) }) },
		OnPeerRevision: func(link, identity string, revision int64, known int) {
			l.withWatcher(func(w *watcher.Watcher) { w.SetPeerRevision(link, identity, revision, known) })
		},
		OnLinkClosed: func(link string) { l.withWatcher(func(w *watcher.Watcher) { w.RemoveLink(link) }) },
		Handle:       l.handleMessage, Count: p.Meter.Control,
	})
	p.Lifecycle.Append(fx.StopHook(x.Stop))
	return x
}

// recordsLink joins the exchanger to the watcher, which is started after it.
type watcherRef struct {
	meter        *meter.Meter
	watcherReady chan struct{}
	watcher      *watcher.Watcher
	// learn takes in strikes of other entries. It is set in an entry.
	strikeHandler atomic.Pointer[messenger.Handler]
}

func newWatcherRef(m *meter.Meter) *watcherRef {
	return &watcherRef{meter: m, watcherReady: make(chan struct{})}
}

func (l *watcherRef) withWatcher(f func(*watcher.Watcher)) {
	<-l.watcherReady
	f(l.watcher)
}

// serve answers fetch_records and counts the bytes of the answer.
func (l *watcherRef) handleMessage(c *messenger.Conn, m messenger.Message) (any, error) {
	if learn := l.strikeHandler.Load(); learn != nil && m.Method == messenger.MethodStrike {
		return (*learn)(c, m)
	}
	if m.Method != messenger.MethodFetchRecords {
		return nil, &Error{Op: "serve " + m.Method, Kind: ErrorMethod, Err: errors.New("the method is not known")}
	}
	<-l.watcherReady
	answer, err := l.watcher.Handle(c, m)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return nil, &Error{Op: "serve " + m.Method, Kind: ErrorMethod, Err: err}
	}
	l.meter.Control(m.Method, "sent", len(data))
	return json.RawMessage(data), nil
}

func newWatcher(p recordsParams, l *watcherRef, x *exchanger.Exchanger, apply []func(*compiler.Snapshot)) (*watcher.Watcher, error) {
	w := watcher.New(watcher.Options{
		Store: p.Store, Clock: p.Clock, Recorder: p.Recorder, Apply: apply, Announce: x.SetRevision, Fetch: x.FetchRecords,
	})
	p.Lifecycle.Append(fx.StopHook(w.Stop))
	l.watcher = w
	close(l.watcherReady)
	return w, p.Meter.WatchRings(func() []buffer.Stats { return append(x.Stats(), w.Stats()) })
}

// newPeerRefused returns the count of what peers sent and was refused, on
// accepted and on dialled connections.
func newPeerRefusedCounter(m *meter.Meter) (*atomic.Uint64, error) {
	refused := new(atomic.Uint64)
	return refused, m.WatchPeerRefused(refused)
}

func newAcceptor(lc fx.Lifecycle, s loader.Common, self messenger.Peer, refused *atomic.Uint64, routes acceptor.Routes, x *exchanger.Exchanger) (*acceptor.Acceptor, error) {
	a, err := acceptor.New(s.PeerListen, messenger.Options{Self: self, Secret: []byte(s.SharedSecret), Refused: refused}, routes)
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(a.Stop))
	x.SetListenAddress(a.Address())
	return a, nil
}
