package syncer

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// scriptedStore is a store whose answers the test sends, one for each call that
// reads a kind.
type scriptedStore struct {
	accessor.Store
	answers map[string]chan storeAnswer
}

// storeAnswer is the answer to a snapshot or to a poll for changes.
type storeAnswer struct {
	objects []accessor.Object
	changes []accessor.Change
	err     error
}

func (s *scriptedStore) next(ctx context.Context, kind string) storeAnswer {
	select {
	case a := <-s.answers[kind]:
		return a
	case <-ctx.Done():
		return storeAnswer{err: ctx.Err()}
	}
}

func (s *scriptedStore) Snapshot(ctx context.Context, kind string) ([]accessor.Object, int64, error) {
	// Only the test ends a call, not the time-out of the subscriber.
	a := s.next(context.WithoutCancel(ctx), kind)
	return a.objects, 1, a.err
}

func (s *scriptedStore) Changes(ctx context.Context, kind string, _ int64, _ time.Duration) ([]accessor.Change, int64, error) {
	a := s.next(context.WithoutCancel(ctx), kind)
	return a.changes, 2, a.err
}

const (
	configurationKind = "configuration"
	upstreamsKind     = "upstreams"
	entriesKind       = "entries"
)

// outageFixture is a syncer with a scripted store.
type outageFixture struct {
	t         *testing.T
	clock     *timer.Manual
	store     *scriptedStore
	forwarder *forwarder.Forwarder
	syncer    *Syncer
	version   int64
}

func newOutageFixture(t *testing.T) *outageFixture {
	t.Helper()
	f := &outageFixture{t: t, clock: timer.NewManual(time.Unix(1000, 0)), store: &scriptedStore{answers: map[string]chan storeAnswer{}}}
	for _, kind := range []string{configurationKind, upstreamsKind, entriesKind} {
		f.store.answers[kind] = make(chan storeAnswer)
	}
	f.forwarder = forwarder.New(forwarder.Options{Clock: f.clock})
	f.syncer = New(Options{
		Self: messenger.Peer{Identity: "entry-1"}, Store: f.store, Clock: f.clock, Forwarder: f.forwarder, MaxDrainDelay: 2 * time.Second,
		Kinds: Kinds{Configuration: configurationKind, Upstreams: upstreamsKind, Entries: entriesKind},
		Send:  func(string, string, any) bool { return true },
		Decoder: Decoder{
			Configuration: func(o accessor.Object) (matcher.Configuration, error) {
				return matcher.Configuration{Version: o.Version}, nil
			},
			Upstream: func(o accessor.Object) (registrar.Upstream, error) {
				var u registrar.Upstream
				return u, json.Unmarshal(o.Value, &u)
			},
			Name: func(key string) string { return key },
		},
	})
	t.Cleanup(func() {
		// The calls that wait return an error once the test has ended.
		for _, answers := range f.store.answers {
			close(answers)
		}
		f.syncer.Stop()
		f.forwarder.Stop()
	})
	return f
}

func (f *outageFixture) answer(kind string, a storeAnswer) { f.store.answers[kind] <- a }

// configure answers a snapshot with a new configuration and waits until it is in
// force, and with it all earlier updates.
func (f *outageFixture) configure() {
	f.version++
	f.answer(configurationKind, storeAnswer{objects: []accessor.Object{{Key: "main", Version: f.version}}})
	f.awaitVersion(f.version)
}

// awaitVersion waits until a configuration is in force.
func (f *outageFixture) awaitVersion(version int64) {
	for f.forwarder.State().Table == nil || f.forwarder.State().Table.Configuration.Version < version {
		time.Sleep(time.Millisecond)
	}
}

// awaitEligible waits until n upstreams may get requests.
func (f *outageFixture) awaitEligible(n int) {
	for f.forwarder.State().EligibleCount != n {
		time.Sleep(time.Millisecond)
	}
}

// afterBackoff runs call, which answers a subscriber that waits for its backoff.
func (f *outageFixture) afterBackoff(call func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		call()
	}()
	for {
		select {
		case <-ended:
			return
		default:
			f.clock.Advance(50 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
	}
}

var errStoreDown = errors.New("store is down")

// The wait for the upstreams may outlive an outage that the wait for the
// configuration has noticed. The upstreams whose registrations lapsed meanwhile were
// dropped at once when the store returned, and requests got 503 no_upstream until
// they had registered again.
func TestOutageSeenByOneKindKeepsLapsedUpstreams(t *testing.T) {
	f := newOutageFixture(t)
	f.answer(upstreamsKind, storeAnswer{objects: []accessor.Object{{Key: "desk-1", Value: []byte(`{"name":"desk-1","service":"desk"}`)}}})
	f.configure()
	f.awaitEligible(1)
	f.answer(configurationKind, storeAnswer{err: errStoreDown}) // the poll
	f.answer(configurationKind, storeAnswer{err: errStoreDown}) // the snapshot after it
	for f.syncer.synced.Load() {
		time.Sleep(time.Millisecond)
	}
	f.afterBackoff(f.configure)
	f.answer(upstreamsKind, storeAnswer{changes: []accessor.Change{{Object: accessor.Object{Key: "desk-1"}, Deleted: true}}})
	t.Run("lapsed upstream is kept", func(t *testing.T) {
		for len(f.forwarder.State().Upstreams) != 0 {
			time.Sleep(time.Millisecond)
		}
		is.New(t).Equal(f.forwarder.State().EligibleCount, 1)
	})
	t.Run("it is dropped after the time to register again", func(t *testing.T) {
		for f.forwarder.State().EligibleCount != 0 {
			f.clock.Advance(registrar.ReregistrationPeriod)
			time.Sleep(time.Millisecond)
		}
	})
}

// A panic in the decoder of an object ended the process. The next object must be
// applied.
func TestPanicInDecoderSkipsUpdate(t *testing.T) {
	f := newOutageFixture(t)
	f.syncer.options.Decoder.Upstream = func(accessor.Object) (registrar.Upstream, error) { panic("fault") }
	f.answer(upstreamsKind, storeAnswer{objects: []accessor.Object{{Key: "desk-1"}}})
	f.configure()
	is.New(t).Equal(f.forwarder.State().EligibleCount, 0)
}

// An upstream whose object another writer had replaced during an outage counted as one
// whose registration had lapsed, and got requests for two more seconds.
func TestObjectReplacedInOutageNamesNoUpstream(t *testing.T) {
	f := newOutageFixture(t)
	f.answer(upstreamsKind, storeAnswer{objects: []accessor.Object{{Key: "desk-1", Value: []byte(`{"name":"desk-1","service":"desk"}`)}}})
	f.configure()
	f.awaitEligible(1)
	f.answer(upstreamsKind, storeAnswer{err: errStoreDown}) // the poll
	f.answer(upstreamsKind, storeAnswer{err: errStoreDown}) // the snapshot after it
	f.afterBackoff(func() {
		f.answer(upstreamsKind, storeAnswer{objects: []accessor.Object{{Key: "desk-1", Value: []byte(`7`)}}})
	})
	for len(f.forwarder.State().Upstreams) != 0 {
		time.Sleep(time.Millisecond)
	}
	is.New(t).Equal(f.forwarder.State().EligibleCount, 0)
}
