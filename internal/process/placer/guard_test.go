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

// An order of an earlier holder must load nothing, whether or not the engine
// checks numbers.
func TestOldHolder(t *testing.T) {
	for _, flavour := range []struct {
		name   string
		checks bool
	}{{"engine checks numbers", true}, {"engine ignores numbers", false}} {
		t.Run(flavour.name, func(t *testing.T) {
			t.Run("paused past its lease", func(t *testing.T) {
				a := newAgent(t, flavour.checks)
				a.elect(1)
				a.assertOrder(1, 1, "")
				a.elect(2) // the new holder has not reached this agent
				a.assertOrder(1, 2, placer.ReasonStale)
				a.assertOrder(2, 1, "")
				a.assertOrder(1, 3, placer.ReasonStale)
			})
			t.Run("before a restarted agent", func(t *testing.T) {
				a := newAgent(t, flavour.checks)
				a.elect(2)
				a.assertOrder(2, 1, "")
				a.restart(down{a.platform})
				a.assertOrder(1, 2, placer.ReasonNotLearned)
				a.assertOrder(2, 2, placer.ReasonNotLearned)
				a.restart(a.platform)
				a.assertOrder(1, 2, placer.ReasonStale)
				a.assertOrder(2, 2, "")
			})
		})
	}
}

// A director must bring a model in demand onto an engine, and only while it
// holds the lease.
func TestDirector(t *testing.T) {
	for _, c := range []struct {
		name  string
		lease holder
		want  int
	}{
		{"with the lease", holder{1, true}, 1},
		{"without the lease", holder{1, false}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAgent(t, false)
			a.elect(1)
			looks := make(chan struct{}, 64)
			d := placer.NewDirector(placer.DirectorOptions{
				Self: messenger.Peer{Role: messenger.RoleEntry, Identity: "entry-1"}, Secret: secret, Clock: a.clock, Recorder: a.recorder,
				Lease: lease{c.lease, looks},
				Engines: func() []placer.Target {
					return []placer.Target{{Engine: placer.Engine{Name: "desk-1"}, Address: a.address}}
				},
				Demand: func() []placer.Demand {
					return []placer.Demand{{Class: "renter-chat", Tier: 2, Item: item(1)}}
				},
			})
			t.Cleanup(d.Stop)
			for end := time.Now().Add(30 * time.Second); len(a.orders.State().Loaded) < 1 && time.Now().Before(end); {
				if c.want == 0 && len(looks) > 3 {
					break
				}
				a.clock.Advance(time.Second)
				time.Sleep(time.Millisecond)
			}
			a.is.Equal(len(a.orders.State().Loaded), c.want)
		})
	}
}

type holder struct {
	number int64
	held   bool
}

// lease tells when it is looked at.
type lease struct {
	holder
	looks chan struct{}
}

// Held implements [placer.Holder].
func (l lease) Held() (int64, bool) {
	select {
	case l.looks <- struct{}{}:
	default:
	}
	return l.number, l.held
}

// agent is a guard beside an engine.
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
	// loaded counts the orders that were carried out.
	loaded int
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

// restart starts the agent, which has seen no number, before the same engine.
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

// elect writes the lease of a holder with the number.
func (a *agent) elect(number int64) {
	a.t.Helper()
	value, err := elector.Record{Holder: "entry", FencingNumber: number, Duration: elector.DefaultDuration}.Encode()
	a.is.NoErr(err)
	o, err := a.platform.Get(a.t.Context(), elector.Key(placer.LeaseName))
	a.is.NoErr(err)
	_, err = a.platform.Put(a.t.Context(), o.Key, value, o.Version)
	a.is.NoErr(err)
}

func item(n int) messenger.Item { return messenger.Item{Model: string(rune('a' + n))} }

// assertOrder gives an order to load one more model and checks why it was
// refused, and that the engine loaded it only if it was not.
func (a *agent) assertOrder(number, sequence int64, reason string) {
	a.t.Helper()
	var answer messenger.OrderAnswer
	a.is.NoErr(a.conn.Call(a.t.Context(), messenger.MethodOrder, messenger.Order{
		Number: number, Sequence: sequence, Kind: messenger.OrderLoad, Item: item(a.loaded),
	}, &answer))
	a.is.Equal(answer.Reason, reason)
	a.is.Equal(answer.Accepted, reason == "")
	if reason == "" {
		a.loaded++
	}
	a.is.Equal(len(a.orders.State().Loaded), a.loaded)
}

// down is a platform that does not answer reads.
type down struct{ accessor.Store }

// Get implements [accessor.Store].
func (down) Get(ctx context.Context, key string) (accessor.Object, error) {
	return accessor.Object{}, &accessor.Error{Op: "get " + key, Kind: accessor.ErrorUnavailable, Err: http.ErrServerClosed}
}
