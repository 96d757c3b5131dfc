// Package syncer keeps an entry in step with the platform and with the other
// entries.
//
// What is in force comes from the platform. An entry that cannot reach it asks
// other entries, which may: they answer with a newer configuration, if they have
// one, and with the upstreams. An entry in step with the platform asks nobody,
// so that neighbours cost nothing for that on an ordinary day. What entries tell
// each other in any case, their load, the places of prefixes and strikes, passes
// through here between the links and the forwarder.
//
// Entries find each other by objects that each writes about itself in the
// platform, and, until these can be read, by the addresses in the settings.
//
// A [Syncer] is the duty that owns the members and what is known of the
// platform's reach. It hands the news on to the forwarder.
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
	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/process/subscriber"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// inputCapacity is the number of updates and messages that may wait for the
	// duty. When it is full, their senders wait.
	inputCapacity = 256
	// askInterval is the time between two questions to other entries while the
	// platform cannot be reached. Configurations must be in force within 2 s.
	askInterval = 400 * time.Millisecond
	// askedPeers is the number of entries asked at once. One of them may be down.
	askedPeers = 2
	// freshTime is the time for which the answer of another entry that is in step
	// keeps this one in step.
	freshTime = 1500 * time.Millisecond
	// writeTimeout bounds a write to the platform.
	writeTimeout = time.Second
)

// Kinds names the kinds of objects to follow.
type Kinds struct {
	Configuration string
	Upstreams     string
	Entries       string
}

// Decoder translates objects of the platform.
type Decoder struct {
	Configuration func(accessor.Object) (matcher.Configuration, error)
	Upstream      func(accessor.Object) (registrar.Upstream, error)
	Name          func(key string) string
}

// Store is what a syncer needs of the platform.
type Store interface {
	accessor.Store
	accessor.Feed
}

// Options configures a syncer.
type Options struct {
	Self messenger.Peer
	// Address is the IP address and port of this entry for others, and Seeds are
	// those of entries that may be there.
	Address string
	Seeds   []string
	Store   Store
	Kinds   Kinds
	Decoder Decoder
	// LeavingLimit is the time after which an upstream that leaves must get no
	// more requests.
	LeavingLimit time.Duration
	Clock        timer.Clock
	Forwarder    *forwarder.Forwarder
	// Send sends a message to another entry by its identity. It must not wait.
	Send func(identity, method string, params any) bool
}

// Entry is what an entry writes about itself in the platform.
type Entry struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
}

// Syncer keeps one entry in step.
type Syncer struct {
	options Options
	input   *buffer.Ring[input, buffer.Block]
	// members holds the addresses of the other entries by identity. The map is
	// replaced and never changed.
	members atomic.Pointer[map[string]string]
	synced  atomic.Bool
	// reached is true while this entry itself reaches the platform.
	reached     atomic.Bool
	leaving     atomic.Bool
	subscribers []*subscriber.Subscriber
	ctx         context.Context
	cancel      context.CancelFunc
	done        chan struct{}

	// The fields below are owned by the duty.
	entries map[string]Entry
	// reach tells for each kind whether the platform could be reached last.
	reach map[string]bool
	// version is that of the newest configuration that was taken in.
	version int64
	asked   int
	// told is the time of the last answer of an entry in step.
	told    time.Time
	nextAsk time.Time
	// ignored holds the revisions of the objects that could not be read.
	ignored map[string]int64
}

type input struct {
	update subscriber.Update
	state  *State
	peer   string
}

const (
	// pauseShare is the part of the time for the news that an upstream leaves for
	// which renewals of upstreams are gathered. The rest is for a slow platform.
	pauseShare = 0.4
	// entriesWait is the longest time that a change of the entries goes unnoticed
	// on a connection that has gone silent.
	entriesWait = 20 * time.Second
	// entriesRetry is the longest pause between two tries to read the entries.
	// Those that are known go on to be used.
	entriesRetry = 2 * time.Second
)

// New starts a syncer.
func New(o Options) *Syncer {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Syncer{
		options: o, ctx: ctx, cancel: cancel, done: make(chan struct{}),
		input:   buffer.New[input, buffer.Block]("syncer_input", inputCapacity),
		entries: map[string]Entry{}, reach: map[string]bool{}, ignored: map[string]int64{},
	}
	s.publish()
	go func() {
		defer close(s.done)
		for s.step() {
		}
	}()
	pause := time.Duration(pauseShare * float64(o.LeavingLimit))
	take := func(u subscriber.Update) { s.input.Put(ctx, input{update: u}) }
	for _, k := range []subscriber.Options{
		{Kind: o.Kinds.Configuration},
		{Kind: o.Kinds.Upstreams, BatchDelay: pause},
		{Kind: o.Kinds.Entries, BatchDelay: pause, PollTimeout: entriesWait, MaxBackoff: entriesRetry},
	} {
		k.Feed, k.Clock, k.OnUpdate = o.Store, o.Clock, take
		s.subscribers = append(s.subscribers, subscriber.New(k))
	}
	return s
}

// Members returns the addresses of the other entries by identity.
func (s *Syncer) Members() map[string]string { return *s.members.Load() }

// Leave withdraws this entry from the platform. The errors are those of the
// store.
func (s *Syncer) Leave(ctx context.Context) error {
	s.leaving.Store(true)
	return s.options.Store.Delete(ctx, s.key(), 0)
}

// Stop ends the duty and those that follow the platform.
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

func (s *Syncer) key() string { return s.options.Kinds.Entries + "/" + s.options.Self.Identity }

// step takes in one update or message, or asks other entries.
func (s *Syncer) step() bool {
	var wake <-chan time.Time
	if !s.inReach() {
		c, stop := s.options.Clock.After(max(0, s.nextAsk.Sub(s.options.Clock.Now())))
		defer stop()
		wake = c
	}
	select {
	case i := <-s.input.C():
		s.take(i)
	case <-wake:
		s.ask()
	case <-s.input.Done():
		return false
	}
	s.judge()
	return true
}

// inReach reports whether the platform gives both configuration and upstreams.
func (s *Syncer) inReach() bool {
	return s.reach[s.options.Kinds.Configuration] && s.reach[s.options.Kinds.Upstreams]
}

// judge tells the forwarder whether this entry is in step.
func (s *Syncer) judge() {
	now := s.options.Clock.Now()
	s.reached.Store(s.inReach())
	synced := s.inReach() || !s.told.IsZero() && now.Sub(s.told) < freshTime
	if synced != s.synced.Load() {
		klog.InfoS("in step with the platform", "synced", synced, "version", s.version, "in_reach", s.inReach())
		s.synced.Store(synced)
		s.options.Forwarder.SetSynced(synced)
	}
}

// ask asks the next entries for what they know.
func (s *Syncer) ask() {
	s.nextAsk = s.options.Clock.Now().Add(askInterval)
	members := s.Members()
	identities := make([]string, 0, len(members))
	for identity := range members {
		identities = append(identities, identity)
	}
	slices.Sort(identities)
	for range min(askedPeers, len(identities)) {
		s.asked++
		s.options.Send(identities[s.asked%len(identities)], messenger.MethodFetchState, FetchState{Version: s.version})
	}
}

func (s *Syncer) take(i input) {
	if i.state != nil {
		s.learn(i)
		return
	}
	u := i.update
	s.reach[u.Kind] = u.Reachable
	switch u.Kind {
	case s.options.Kinds.Configuration:
		for _, o := range u.Objects {
			s.configure(o)
		}
	case s.options.Kinds.Upstreams:
		s.register(u)
	case s.options.Kinds.Entries:
		s.meet(u)
	}
}

// learn takes in what another entry knows.
func (s *Syncer) learn(i input) {
	if i.state.Configuration != nil {
		s.putInForce(*i.state.Configuration, i.peer)
	}
	if i.state.Synced {
		s.told = s.options.Clock.Now()
		if !s.reach[s.options.Kinds.Upstreams] {
			s.options.Forwarder.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventListed, Upstreams: i.state.Upstreams})
		}
	}
}

func (s *Syncer) configure(o accessor.Object) {
	c, err := s.options.Decoder.Configuration(o)
	if err != nil {
		klog.ErrorS(err, "configuration ignored", "key", o.Key, "revision", o.Version)
		return
	}
	s.putInForce(c, "platform")
}

func (s *Syncer) putInForce(c matcher.Configuration, source string) {
	if c.Version <= s.version {
		return
	}
	s.version = c.Version
	klog.InfoS("configuration in force", "version", c.Version, "source", source, "routes", len(c.Routes), "organisations", len(c.Organisations))
	s.options.Forwarder.Configure(matcher.New(c))
}

// register hands an update of the upstreams on.
func (s *Syncer) register(u subscriber.Update) {
	f := s.options.Forwarder
	if !u.Reachable {
		f.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventOutageBegan})
		return
	}
	if u.Complete {
		f.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventOutageEnded})
	}
	e := registrar.Event{Kind: registrar.EventChanged}
	if u.Complete {
		e.Kind = registrar.EventListed
	}
	var removed []string
	for _, o := range u.Objects {
		up, err := s.options.Decoder.Upstream(o)
		if err != nil {
			s.ignore(o, err)
			// An entry that cannot be read names no upstream any more.
			removed = append(removed, s.options.Decoder.Name(o.Key))
			continue
		}
		e.Upstreams = append(e.Upstreams, up)
	}
	for _, key := range u.Removed {
		removed = append(removed, s.options.Decoder.Name(key))
	}
	if u.Complete || len(e.Upstreams) > 0 {
		f.HandleRegistrarEvent(e)
	}
	if len(removed) > 0 && !u.Complete {
		klog.InfoS("entries of upstreams removed", "names", removed, "version", u.Version)
		f.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventRemoved, Names: removed})
	}
}

// ignore logs an object that cannot be read, once for each of its revisions.
func (s *Syncer) ignore(o accessor.Object, err error) {
	if s.ignored[o.Key] == o.Version {
		return
	}
	if len(s.ignored) >= maxIgnored {
		clear(s.ignored)
	}
	s.ignored[o.Key] = o.Version
	klog.InfoS("entry of an upstream ignored", "key", o.Key, "revision", o.Version, "err", err)
}

// maxIgnored bounds the memory of objects that cannot be read.
const maxIgnored = 256
