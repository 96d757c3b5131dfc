package placer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/elector"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/placer"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// An order of an earlier holder of the lease must not reach the engine, whether or
// not the engine checks fencing numbers.
func TestOrderOfEarlierHolderIsRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		checks bool
	}{{"engine checks fencing numbers", true}, {"engine ignores fencing numbers", false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Run("holder paused past its lease is refused", func(t *testing.T) {
				a := newAgent(t, c.checks)
				a.writeLease(1)
				a.assertOrder(1, 1, "")
				a.writeLease(2) // the new holder has not reached this agent
				a.assertOrder(1, 2, placer.ReasonStaleNumber)
				a.assertOrder(2, 1, "")
				a.assertOrder(1, 3, placer.ReasonStaleNumber)
			})
			t.Run("restarted agent refuses until it has read the lease", func(t *testing.T) {
				a := newAgent(t, c.checks)
				a.writeLease(2)
				a.assertOrder(2, 1, "")
				a.restart(unavailableStore{a.platform})
				a.assertOrder(1, 2, placer.ReasonNumberNotLearned)
				a.assertOrder(2, 2, placer.ReasonNumberNotLearned)
				a.restart(a.platform)
				a.assertOrder(1, 2, placer.ReasonStaleNumber)
				a.assertOrder(2, 2, "")
			})
		})
	}
}

// A controller must load a model in demand, and only while it holds the lease.
func TestControllerLoadsDemandedModelOnlyWithLease(t *testing.T) {
	for _, c := range []struct {
		name  string
		lease fixedLease
		want  int
	}{
		{"loads with the lease", fixedLease{1, true}, 1},
		{"does not load without the lease", fixedLease{1, false}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAgent(t, false)
			a.writeLease(1)
			checks := make(chan struct{}, 64)
			controller := placer.NewController(placer.ControllerOptions{
				Self: messenger.Peer{Role: messenger.RoleEntry, Identity: "entry-1"}, Secret: secret, Clock: a.clock, Recorder: a.recorder,
				Lease: countingLease{c.lease, checks},
				Engines: func() []placer.EngineAddress {
					return []placer.EngineAddress{{Engine: placer.Engine{Name: "desk-1"}, Address: a.address}}
				},
				Demand: func() []placer.Demand {
					return []placer.Demand{{Class: "renter-chat", Tier: 2, Item: item(1)}}
				},
			})
			t.Cleanup(controller.Stop)
			for end := time.Now().Add(30 * time.Second); len(a.orders.State().Loaded) < 1 && time.Now().Before(end); {
				if c.want == 0 && len(checks) > 3 {
					break
				}
				a.clock.Advance(time.Second)
				time.Sleep(time.Millisecond)
			}
			a.is.Equal(len(a.orders.State().Loaded), c.want)
		})
	}
}

// fixedLease is a lease whose state does not change.
type fixedLease struct {
	number int64
	held   bool
}

// countingLease sends to checks on each call of Held.
type countingLease struct {
	fixedLease
	checks chan struct{}
}

// Held implements [placer.Lease].
func (l countingLease) Held() (int64, bool) {
	select {
	case l.checks <- struct{}{}:
	default:
	}
	return l.number, l.held
}

// agent is a guard with an emulated engine and platform.
type agent struct {
	is       *is.I
	t        *testing.T
	clock    *timer.Manual
	recorder *recorder.Recorder
	platform *emulator.Platform
	orders   *emulator.OrderHandler
	url      string
	address  string
	conn     *messenger.Conn
	// loadOrders is the number of load orders that were executed.
	loadOrders int
}

// secret authenticates the processes of the tests.
var secret = []byte("secret-of-the-tests")

func newAgent(t *testing.T, checks bool) *agent {
	t.Helper()
	a := &agent{
		is: is.New(t), t: t, clock: timer.NewManual(time.Unix(1_800_000_000, 0)),
		platform: emulator.NewPlatform(), orders: emulator.NewOrderHandler(checks),
	}
	a.recorder = recorder.New(recorder.Options{Process: "test", Clock: a.clock, MaxEvents: 16})
	t.Cleanup(a.recorder.Stop)
	t.Cleanup(a.platform.Stop)
	t.Cleanup(a.orders.Stop)
	mux := http.NewServeMux()
	mux.Handle(emulator.OrdersPath, a.orders)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	a.url = s.URL
	a.restart(a.platform)
	return a
}

// restart starts a guard that has seen no fencing number on the same engine.
func (a *agent) restart(store accessor.Store) {
	g := placer.NewGuard(placer.GuardOptions{
		Upstream: "desk-1", URL: a.url, Client: http.DefaultClient, Store: store, Clock: a.clock, Recorder: a.recorder,
	})
	a.t.Cleanup(g.Stop)
	acc, err := acceptor.New("127.0.0.1:0", messenger.Options{Secret: secret}, acceptor.Routes{messenger.MethodOrder: g.Handle})
	a.is.NoErr(err)
	a.t.Cleanup(acc.Stop)
	a.address = acc.Address()
	a.conn, err = messenger.Dial(a.t.Context(), a.address, messenger.Options{Secret: secret, Handle: func(*messenger.Conn, messenger.Message) (any, error) {
		return nil, nil
	}})
	a.is.NoErr(err)
}

// writeLease writes a lease with the given fencing number to the platform.
func (a *agent) writeLease(number int64) {
	a.t.Helper()
	value, err := elector.Record{Holder: "entry", FencingNumber: number, Duration: elector.DefaultDuration}.Encode()
	a.is.NoErr(err)
	o, err := a.platform.Get(a.t.Context(), elector.Key(placer.LeaseName))
	a.is.NoErr(err)
	_, err = a.platform.Put(a.t.Context(), o.Key, value, o.Version)
	a.is.NoErr(err)
}

func item(n int) messenger.Item { return messenger.Item{Model: string(rune('a' + n))} }

// assertOrder sends an order to load another model. It checks the reason of the
// refusal, and that the engine loaded the model only if reason is empty.
func (a *agent) assertOrder(number, sequence int64, reason string) {
	a.t.Helper()
	var answer messenger.OrderAnswer
	a.is.NoErr(a.conn.Call(a.t.Context(), messenger.MethodOrder, messenger.Order{
		Number: number, Sequence: sequence, Kind: messenger.OrderLoad, Item: item(a.loadOrders),
	}, &answer))
	a.is.Equal(answer.Reason, reason)
	a.is.Equal(answer.Accepted, reason == "")
	if reason == "" {
		a.loadOrders++
	}
	a.is.Equal(len(a.orders.State().Loaded), a.loadOrders)
}

// unavailableStore is a store whose reads fail.
type unavailableStore struct{ accessor.Store }

// Get implements [accessor.Store].
func (unavailableStore) Get(ctx context.Context, key string) (accessor.Object, error) {
	return accessor.Object{}, &accessor.Error{Op: "get " + key, Kind: accessor.ErrorUnavailable, Err: http.ErrServerClosed}
}
