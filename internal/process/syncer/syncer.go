// Package syncer synchronises an entry with the platform and with the other
// entries.
//
// The configuration and the upstreams come from the platform. An entry that cannot
// reach it fetches them from other entries, which reply with their configuration,
// if it is newer, and with their upstreams. An entry that reaches the platform
// sends no such requests, so that they cause no load in normal operation. Load
// reports, prefix placements and strikes, which entries always exchange, pass
// through this package between the connections to other entries and the forwarder.
//
// Each entry writes an object with its address to the platform, by which the
// others discover it. Until these objects can be read, the addresses in the
// settings are used.
//
// A [Syncer] is a goroutine that owns the list of entries and the reachability of
// the platform. It passes updates on to the forwarder.
//
// # Usage
//
//	s := syncer.New(syncer.Options{Self: self, Address: "10.0.0.5:9001", Store: store, Forwarder: f, Clock: c})
//	routes[messenger.MethodFetchState] = s.Handle
package syncer

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/accountant"
	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/process/recoverer"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/process/subscriber"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// inputCapacity is the capacity of the ring of updates and messages. When it is
	// full, their senders block.
	inputCapacity = 256
	// fetchInterval is the time between two fetches from other entries while the
	// platform is unreachable. Configurations must be in force within 2 s.
	fetchInterval = 400 * time.Millisecond
	// fetchPeers is the number of entries to which each fetch is sent, since one of
	// them may be down.
	fetchPeers = 2
	// peerStateLifetime is the time for which the reply of an entry that is synced
	// keeps this entry synced.
	peerStateLifetime = 1500 * time.Millisecond
	// writeTimeout is the maximum time for a write to the platform.
	writeTimeout = time.Second
)

// Kinds names the kinds of objects to subscribe to.
type Kinds struct {
	Configuration string
	Upstreams     string
	Entries       string
}

// Decoder decodes objects of the platform, and object names from their keys.
type Decoder struct {
	Configuration func(accessor.Object) (matcher.Configuration, error)
	Upstream      func(accessor.Object) (registrar.Upstream, error)
	Name          func(key string) string
}

// Store is the interface to the platform that a syncer needs.
type Store interface {
	accessor.Store
	accessor.Feed
}

// Options configures a syncer.
type Options struct {
	Self messenger.Peer
	// Address is the IP address and port of this entry for other entries. Seeds are
	// the configured addresses of entries that may be running.
	Address string
	Seeds   []string
	Store   Store
	Kinds   Kinds
	Decoder Decoder
	// MaxDrainDelay is the time after which a draining upstream must get no more
	// requests.
	MaxDrainDelay time.Duration
	// MaxStall is the time for which a wait for changes may be stalled unnoticed.
	MaxStall  time.Duration
	Clock     timer.Clock
	Forwarder *forwarder.Forwarder
	// Send sends a message to another entry by its identity. It must not block.
	Send func(identity, method string, params any) bool
	// ReceiveUsage adds the usage update of another entry. It may be nil.
	ReceiveUsage func(accountant.Update)
	// Recoverer handles panics while an update or a message is handled. It may be nil.
	Recoverer *recoverer.Recoverer
}

// Entry is the content of the object that an entry writes to the platform.
type Entry struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
}

// Syncer synchronises one entry. Create it with [New].
type Syncer struct {
	options Options
	input   *buffer.Ring[input, buffer.Block]
	// members holds the addresses of the other entries by identity. The map is
	// immutable.
	members atomic.Pointer[map[string]string]
	// listed holds the identities of the other entries that the platform lists. The slice
	// is immutable.
	listed atomic.Pointer[[]string]
	// pendingUsage is a packed usage update that the next load report takes along, and
	// organisations the names by which updates are unpacked.
	pendingUsage  atomic.Pointer[[]byte]
	organisations atomic.Pointer[organisationNames]
	// synced is true while the configuration and the upstreams are kept up to date,
	// by the platform or by an entry that reaches it.
	synced atomic.Bool
	// platformReachable is true while this entry itself reaches the platform.
	platformReachable atomic.Bool
	// routeNames are those of the last configuration for which a report was decoded.
	routeNames atomic.Pointer[routeNames]
	// ownEntryDeleted is true once the object of this entry must not be written
	// again.
	ownEntryDeleted atomic.Bool
	subscribers     []*subscriber.Subscriber
	ctx             context.Context
	cancel          context.CancelFunc
	done            chan struct{}

	// shares is the number of messages of ShareVersions, owned by its caller.
	shares int

	// The fields below are owned by the goroutine.
	entries map[string]Entry
	// reachableKinds holds for each kind whether the platform was reachable at the
	// last update.
	reachableKinds map[string]bool
	// inOutage is true from the time at which either the configuration or the
	// upstreams could not be read until both can.
	inOutage bool
	// configurationVersion is the version of the newest configuration.
	configurationVersion int64
	// fetches is the number of fetches sent. It selects the next entries in
	// round-robin order.
	fetches int
	// peerSyncedAt is the time of the last reply of an entry that is synced.
	peerSyncedAt time.Time
	// nextFetch is the time of the next fetch while the platform is unreachable.
	nextFetch time.Time
	// ignoredRevisions holds by key the revisions of the objects that could not be
	// decoded.
	ignoredRevisions map[string]int64
	strikes          strikesFetcher
}

// input is an update of a subscription, or the state or the strikes that the entry peer
// sent.
type input struct {
	update  subscriber.Update
	state   *State
	strikes *KnownStrikes
	peer    string
}

const (
	// batchDelayShare is the share of MaxDrainDelay for which changes of upstreams and
	// entries are batched. The rest allows for a slow platform.
	batchDelayShare = 0.4
	// entriesPollTimeout is the poll timeout for the entries. It bounds the time for
	// which a change goes undetected on a connection that has become unresponsive.
	entriesPollTimeout = 20 * time.Second
	// minPollTimeout is the minimum poll timeout of the configuration and the upstreams.
	// snapshotAllowance is the part of MaxStall for reading a snapshot after a stalled
	// poll.
	minPollTimeout    = 2 * time.Second
	snapshotAllowance = 200 * time.Millisecond
	// maxEntriesBackoff is the maximum backoff between two attempts to read the
	// entries. The known entries remain in use meanwhile.
	maxEntriesBackoff = 2 * time.Second
)

// New starts a syncer.
func New(o Options) *Syncer {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Syncer{
		options: o, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		input:   buffer.New[input, buffer.Block]("syncer_input", inputCapacity),
		entries: map[string]Entry{}, reachableKinds: map[string]bool{}, ignoredRevisions: map[string]int64{},
	}
	s.publishMembers()
	go func() {
		defer close(s.done)
		for s.step() {
		}
	}()
	batchDelay := time.Duration(batchDelayShare * float64(o.MaxDrainDelay))
	pollTimeout := max(minPollTimeout, o.MaxStall-subscriber.PollTimeoutMargin-snapshotAllowance)
	handleUpdate := func(u subscriber.Update) { s.input.Put(ctx, input{update: u}) }
	for _, k := range []subscriber.Options{
		{Kind: o.Kinds.Configuration, PollTimeout: pollTimeout},
		{Kind: o.Kinds.Upstreams, BatchDelay: batchDelay, PollTimeout: pollTimeout},
		{Kind: o.Kinds.Entries, BatchDelay: batchDelay, PollTimeout: entriesPollTimeout, MaxBackoff: maxEntriesBackoff},
	} {
		k.Feed, k.Clock, k.OnUpdate = o.Store, o.Clock, handleUpdate
		s.subscribers = append(s.subscribers, subscriber.New(k))
	}
	return s
}

// Members returns the addresses of the other entries by identity.
func (s *Syncer) Members() map[string]string { return *s.members.Load() }

// Listed returns the identities of the other entries that the platform lists.
func (s *Syncer) Listed() []string { return *s.listed.Load() }

// DeleteOwnEntry deletes the object of this entry from the platform and keeps it
// from being written again. It returns the error of the store.
func (s *Syncer) DeleteOwnEntry(ctx context.Context) error {
	s.ownEntryDeleted.Store(true)
	return s.options.Store.Delete(ctx, s.ownKey(), 0)
}

// Stop stops the goroutine and the subscriptions to the platform.
func (s *Syncer) Stop() {
	s.cancel()
	s.input.Close()
	for _, sub := range s.subscribers {
		sub.Stop()
	}
	<-s.done
}

// Stats returns the state of the ring.
func (s *Syncer) Stats() []buffer.Stats { return []buffer.Stats{s.input.Stats()} }

func (s *Syncer) ownKey() string { return s.options.Kinds.Entries + "/" + s.options.Self.Identity }

// step waits for one update, message or fetch time and handles it. It returns false
// after Stop.
func (s *Syncer) step() bool {
	var fetchDue <-chan time.Time
	if !s.isPlatformReachable() {
		c, stop := s.options.Clock.After(max(0, s.nextFetch.Sub(s.options.Clock.Now())))
		defer stop()
		fetchDue = c
	}
	strikesDue, stop := s.strikesFetchDue()
	defer stop()
	select {
	case i := <-s.input.C():
		_ = s.options.Recoverer.Run("syncer input", func() { s.handleInput(i) })
	case <-fetchDue:
		s.fetchStates()
	case <-strikesDue:
		s.fetchStrikes()
	case <-s.input.Done():
		return false
	}
	s.updateSynced()
	return true
}

// IsPlatformReachable reports whether this entry itself reaches the platform.
func (s *Syncer) IsPlatformReachable() bool { return s.platformReachable.Load() }

// isPlatformReachable reports whether both configuration and upstreams could be
// read from the platform.
func (s *Syncer) isPlatformReachable() bool {
	return s.reachableKinds[s.options.Kinds.Configuration] && s.reachableKinds[s.options.Kinds.Upstreams]
}

// updateSynced determines whether this entry is synced and passes a change to the
// forwarder.
func (s *Syncer) updateSynced() {
	now := s.options.Clock.Now()
	s.platformReachable.Store(s.isPlatformReachable())
	synced := s.isPlatformReachable() || !s.peerSyncedAt.IsZero() && now.Sub(s.peerSyncedAt) < peerStateLifetime
	if synced != s.synced.Load() {
		klog.InfoS("in step with the platform", "synced", synced, "version", s.configurationVersion, "in_reach", s.isPlatformReachable())
		s.synced.Store(synced)
		s.options.Forwarder.SetSynced(synced)
	}
}

// fetchStates requests the states of the next entries in round-robin order.
func (s *Syncer) fetchStates() {
	s.nextFetch = s.options.Clock.Now().Add(fetchInterval)
	members := s.Members()
	identities := make([]string, 0, len(members))
	for identity := range members {
		identities = append(identities, identity)
	}
	slices.Sort(identities)
	for range min(fetchPeers, len(identities)) {
		s.fetches++
		s.options.Send(identities[s.fetches%len(identities)], messenger.MethodFetchState, FetchState{Version: s.configurationVersion})
	}
}

func (s *Syncer) handleInput(i input) {
	switch {
	case i.state != nil:
		s.handleState(i)
		return
	case i.strikes != nil:
		s.handleKnownStrikes(*i.strikes)
		return
	}
	u := i.update
	s.reachableKinds[u.Kind] = u.Reachable
	if u.Kind != s.options.Kinds.Entries {
		s.trackOutage(u.Reachable)
	}
	switch u.Kind {
	case s.options.Kinds.Configuration:
		for _, o := range u.Objects {
			s.handleConfiguration(o)
		}
	case s.options.Kinds.Upstreams:
		s.updateUpstreams(u)
	case s.options.Kinds.Entries:
		s.updateEntries(u)
		if u.Reachable {
			s.endFetchWithoutOthers()
		}
	}
}

// handleState applies the state of another entry.
func (s *Syncer) handleState(i input) {
	if c := i.state.Configuration; c != nil {
		s.applyPeerConfiguration(*c, i.peer)
	}
	// A state without a list says nothing of the upstreams. It must not count as an empty one.
	if i.state.Synced && i.state.Upstreams != nil {
		s.peerSyncedAt = s.options.Clock.Now()
		if !s.reachableKinds[s.options.Kinds.Upstreams] {
			s.options.Forwarder.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventListed, Upstreams: i.state.Upstreams})
		}
	}
}

func (s *Syncer) handleConfiguration(o accessor.Object) {
	c, err := s.options.Decoder.Configuration(o)
	if err != nil {
		klog.ErrorS(err, "configuration ignored", "key", o.Key, "revision", o.Version)
		return
	}
	s.applyConfiguration(c, "platform")
}

// applyPeerConfiguration applies the configuration of another entry. An entry of older
// software does not state whether keys are needed. Without organisations, its configuration
// may be one of a deployment without keys or one whose last organisation was removed, and
// the entry waits for the platform.
func (s *Syncer) applyPeerConfiguration(c matcher.Configuration, peer string) {
	if c.Keys == matcher.KeysUnstated && len(c.Organisations) == 0 {
		klog.InfoS("configuration ignored", "version", c.Version, "source", peer, "reason", "key policy not stated")
		return
	}
	s.applyConfiguration(c, peer)
}

func (s *Syncer) applyConfiguration(c matcher.Configuration, source string) {
	if c.Version <= s.configurationVersion {
		return
	}
	s.configurationVersion = c.Version
	klog.InfoS("configuration in force", "version", c.Version, "source", source, "routes", len(c.Routes), "organisations", len(c.Organisations), "keys", c.Keys)
	s.options.Forwarder.Configure(matcher.New(c))
}

// trackOutage tells the registrar about the begin and the end of an outage. Any of
// the two kinds may notice it alone: a poll of the other one may wait until after
// the outage, and then returns the registrations that lapsed in it.
func (s *Syncer) trackOutage(reachable bool) {
	switch {
	case !reachable && !s.inOutage:
		s.inOutage = true
		s.options.Forwarder.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventOutageBegan})
	case s.inOutage && s.isPlatformReachable():
		s.inOutage = false
		s.options.Forwarder.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventOutageEnded})
	}
}

// updateUpstreams passes an update of the upstreams to the forwarder.
func (s *Syncer) updateUpstreams(u subscriber.Update) {
	if !u.Reachable {
		return
	}
	f := s.options.Forwarder
	e := registrar.Event{Kind: registrar.EventChanged}
	if u.Complete {
		e.Kind = registrar.EventListed
	}
	var invalid, removed []string
	for _, o := range u.Objects {
		up, err := s.options.Decoder.Upstream(o)
		if err != nil {
			s.ignoreObject(o, err)
			invalid = append(invalid, s.options.Decoder.Name(o.Key))
			continue
		}
		e.Upstreams = append(e.Upstreams, up)
	}
	for _, key := range u.Removed {
		removed = append(removed, s.options.Decoder.Name(key))
	}
	if len(invalid) > 0 {
		f.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventInvalidated, Names: invalid})
	}
	if u.Complete || len(e.Upstreams) > 0 {
		f.HandleRegistrarEvent(e)
	}
	if len(removed) > 0 && !u.Complete {
		klog.InfoS("upstream registrations removed", "names", removed, "version", u.Version)
		f.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventRemoved, Names: removed})
	}
}
