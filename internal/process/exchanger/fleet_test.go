package exchanger_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/exchanger"
	"magnoliafront.dev/magnoliafront/internal/process/tracker"
	"magnoliafront.dev/magnoliafront/internal/process/watcher"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

const (
	near         = time.Millisecond
	platformTime = 5 * time.Millisecond
	// watchLimit is the time after which the platform ends a waiting watch.
	watchLimit = 30 * time.Second
)

// fleet drives the decisions of many processes on a virtual clock.
type fleet struct {
	t      *testing.T
	now    time.Time
	start  time.Time
	queue  queue
	order  int
	random *rand.Rand
	nodes  []*node
	byAddr map[string]*node
	zones  int

	// sets are the accepted sets by revision, from the empty one on.
	sets  []*cataloger.Catalog
	lists map[string]tracker.List
	// down takes the platform away, apart from some processes only; stale and skip are rates of watches that
	// give the head before the last and of changes of which a watch tells
	// nothing until its end.
	down        bool
	apart       func(n *node) bool
	stale, skip float64
	calls       int
	// cut tells which pairs cannot reach each other. repeat is the rate of
	// messages that come twice, the second time seconds later.
	cut    func(a, b *node) bool
	repeat float64
	// reached holds for each revision the times that processes took.
	reached map[int64][]time.Duration
	changed map[int64]time.Time
}

type node struct {
	self     messenger.Peer
	addr     string
	seeds    []int
	alive    bool
	x        *exchanger.Decision
	w        *watcher.Decision
	conns    map[string]*conn
	dialled  map[string]bool
	accepted int
	watching int
	wake     time.Time
	bytes    int
	relay    bool
	refused  int
	states   map[string]tracker.State
}

// conn is one end of a connection.
type conn struct {
	peer *node
	link string
	far  string
}

type item struct {
	at    time.Time
	order int
	run   func()
}

type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(v any)   { *q = append(*q, v.(item)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newFleet(t *testing.T, seed uint64, entries, agents, zones int) *fleet {
	t.Helper()
	start := time.Unix(1_800_000_000, 0)
	f := &fleet{
		t: t, now: start, start: start, random: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*node{}, zones: zones,
		sets: []*cataloger.Catalog{{}}, lists: map[string]tracker.List{},
		cut: func(_, _ *node) bool { return false }, apart: func(*node) bool { return false }, reached: map[int64][]time.Duration{}, changed: map[int64]time.Time{},
	}
	for i := range entries + agents {
		n := &node{seeds: []int{i * 7 % entries, (i*7 + 1) % entries}, self: messenger.Peer{Role: messenger.RoleEntry, Identity: fmt.Sprintf("entry-%d", i), AvailabilityZone: fmt.Sprintf("zone-%d", i%zones)}}
		n.addr = address(i)
		if i >= entries {
			n.self.Role, n.self.Identity = messenger.RoleAgent, fmt.Sprintf("agent-%d", i)
		} else {
			l := f.lists[n.self.AvailabilityZone]
			l.AvailabilityZone = n.self.AvailabilityZone
			l.Live = append(l.Live, tracker.VM{Identity: n.self.Identity, Address: n.addr})
			f.lists[l.AvailabilityZone] = l
		}
		f.byAddr[n.addr] = n
		f.nodes = append(f.nodes, n)
		f.boot(n)
	}
	return f
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:9001", i/250, i%250+1) }

// boot starts a process without any state.
func (f *fleet) boot(n *node) {
	s := exchanger.Settings{Self: n.self, Incarnation: f.now.UnixMilli()}
	for _, i := range n.seeds {
		s.Seeds = append(s.Seeds, address(i))
	}
	if n.self.Role == messenger.RoleEntry {
		s.Address = n.addr
	}
	n.alive, n.relay, n.watching = true, false, n.watching+1
	n.x, n.w = exchanger.NewDecision(f.now, s), &watcher.Decision{}
	n.conns, n.dialled, n.states, n.wake = map[string]*conn{}, map[string]bool{}, map[string]tracker.State{}, time.Time{}
	f.after(time.Duration(f.random.IntN(1000))*time.Millisecond, n, func() { f.stepX(n, exchanger.Event{Kind: exchanger.EventTicked}) })
}

func (f *fleet) crash(n *node) {
	n.alive = false
	for link := range n.conns {
		f.close(n, link)
	}
}

// after runs a function of n unless n has been started anew by then.
func (f *fleet) after(d time.Duration, n *node, run func()) {
	life := n.x
	f.order++
	heap.Push(&f.queue, item{f.now.Add(d), f.order, func() {
		if n.alive && n.x == life {
			run()
		}
	}})
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		i := heap.Pop(&f.queue).(item)
		f.now = i.at
		i.run()
	}
	f.now = end
}

func (f *fleet) latency(a, b *node) time.Duration {
	d := near
	if a.self.AvailabilityZone != b.self.AvailabilityZone {
		d = 2 * near
	}
	return d + time.Duration(f.random.IntN(int(near)))
}

func (f *fleet) stepX(n *node, e exchanger.Event) {
	for _, a := range n.x.Step(f.now, e) {
		f.actX(n, a)
	}
	f.schedule(n)
}

func (f *fleet) stepW(n *node, e watcher.Event) {
	for _, a := range n.w.Step(f.now, e) {
		f.actW(n, a)
	}
	f.schedule(n)
}

// schedule wakes n at the time that its decisions want.
func (f *fleet) schedule(n *node) {
	at := n.x.Wake()
	if w := n.w.Wake(); !w.IsZero() && w.Before(at) {
		at = w
	}
	if !at.After(f.now) && n.wake.IsZero() {
		// A duty with a wake time in the past would spin.
		f.t.Fatalf("%s wants to wake at %v, it is %v", n.self.Identity, at.Sub(f.start), f.now.Sub(f.start))
	}
	if !n.wake.IsZero() && !at.Before(n.wake) {
		return
	}
	n.wake = at
	f.after(at.Sub(f.now), n, func() {
		if !n.wake.Equal(at) {
			return
		}
		n.wake = time.Time{}
		f.stepX(n, exchanger.Event{Kind: exchanger.EventTicked})
		f.stepW(n, watcher.Event{Kind: watcher.EventTicked})
	})
}

func (f *fleet) actX(n *node, a exchanger.Action) {
	switch a.Kind {
	case exchanger.ActionDial:
		n.dialled[a.Address] = true
		f.dial(n, a.Address)
	case exchanger.ActionHang:
		delete(n.dialled, a.Address)
		f.close(n, "to "+a.Address)
	case exchanger.ActionSend:
		f.send(n, n.conns[a.Link], a.Message)
	case exchanger.ActionRelay:
		n.relay = a.Relay
		f.stepW(n, watcher.Event{Kind: watcher.EventRelay, Relay: a.Relay})
	case exchanger.ActionHeard:
		f.stepW(n, watcher.Event{Kind: watcher.EventHeard, Peer: a.Link, Identity: a.Identity, Revision: a.Revision, Known: a.Known})
	case exchanger.ActionGone:
		f.stepW(n, watcher.Event{Kind: watcher.EventGone, Peer: a.Link})
	case exchanger.ActionReadList:
		f.calls++
		if l, ok := f.lists[n.self.AvailabilityZone]; ok && !f.down && !f.apart(n) {
			f.after(platformTime, n, func() { f.stepX(n, exchanger.Event{Kind: exchanger.EventListed, List: l}) })
		}
	case exchanger.ActionReport:
		f.calls += 2
	case exchanger.ActionMember:
		n.states[a.Member.Member.Identity] = a.Member.Member.State
	}
}

func (f *fleet) dial(n *node, addr string) {
	if !n.dialled[addr] || n.conns["to "+addr] != nil {
		return
	}
	p := f.byAddr[addr]
	if p == nil || !p.alive || f.cut(n, p) {
		f.after(time.Second, n, func() { f.dial(n, addr) })
		return
	}
	p.accepted++
	near, far := "to "+addr, fmt.Sprintf("from %s %d", n.self.Identity, p.accepted)
	n.conns[near], p.conns[far] = &conn{p, near, far}, &conn{n, far, near}
	f.after(f.latency(n, p), n, func() { f.stepX(n, exchanger.Event{Kind: exchanger.EventOpened, Link: near, Peer: p.self}) })
}

func (f *fleet) close(n *node, link string) {
	c := n.conns[link]
	if c == nil {
		return
	}
	delete(n.conns, link)
	f.after(0, n, func() { f.stepX(n, exchanger.Event{Kind: exchanger.EventClosed, Link: link}) })
	p := c.peer
	if p.conns[c.far] == nil {
		return
	}
	delete(p.conns, c.far)
	f.after(f.latency(n, p), p, func() {
		f.stepX(p, exchanger.Event{Kind: exchanger.EventClosed, Link: c.far})
		for addr := range p.dialled {
			f.after(100*time.Millisecond, p, func() { f.dial(p, addr) })
		}
	})
}

func (f *fleet) send(n *node, c *conn, m messenger.Exchange) {
	if c == nil {
		return
	}
	m.Stamp.Wall = f.now.UnixNano()
	n.bytes += size(m)
	if f.cut(n, c.peer) {
		return
	}
	p := c.peer
	deliver := func() {
		if p.conns[c.far] == nil {
			return
		}
		p.bytes += size(m)
		f.stepX(p, exchanger.Event{Kind: exchanger.EventReceived, Link: c.far, Peer: n.self, Message: m})
	}
	f.after(f.latency(n, p), p, deliver)
	if f.random.Float64() < f.repeat {
		f.after(time.Duration(f.random.IntN(5000))*time.Millisecond, p, deliver)
	}
}

// size is the number of bytes of a message. The frame of JSON-RPC adds about
// 60.
func size(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(data) + 60
}

func (f *fleet) actW(n *node, a watcher.Action) {
	switch a.Kind {
	case watcher.ActionWatch:
		n.watching++
		f.watch(n, n.watching, -1)
	case watcher.ActionUnwatch:
		n.watching++
	case watcher.ActionRead:
		f.read(n, a.Head)
	case watcher.ActionFetch:
		f.fetch(n, a)
	case watcher.ActionInForce:
		f.inForce(n, a)
	case watcher.ActionRefused:
		n.refused++
	}
}

func (f *fleet) latest() *cataloger.Catalog { return f.sets[len(f.sets)-1] }

// watch is one call of a watch of n. The generation ends when n stops to watch.
func (f *fleet) watch(n *node, generation int, seen int64) {
	if n.watching != generation {
		return
	}
	f.calls++
	if f.down || f.apart(n) {
		f.after(500*time.Millisecond, n, func() { f.watch(n, generation, -1) })
		return
	}
	c := f.latest()
	if f.random.Float64() < f.stale && len(f.sets) > 1 {
		c = f.sets[len(f.sets)-2]
	}
	if c.Revision != seen {
		f.after(platformTime, n, func() {
			if n.watching == generation {
				f.stepW(n, watcher.Event{Kind: watcher.EventHead, Head: cataloger.Head{Revision: c.Revision, Buckets: c.Hashes}})
				f.watch(n, generation, c.Revision)
			}
		})
		return
	}
	f.poll(n, generation, seen, f.now.Add(watchLimit), f.random.Float64() < f.skip)
}

// poll stands for the platform's own wait: it looks every 10 ms of virtual time.
func (f *fleet) poll(n *node, generation int, seen int64, end time.Time, deaf bool) {
	f.after(10*time.Millisecond, n, func() {
		switch {
		case n.watching != generation:
		case f.down, f.apart(n), !f.now.Before(end), f.latest().Revision != seen && !deaf:
			f.watch(n, generation, seen)
		default:
			f.poll(n, generation, seen, end, deaf)
		}
	})
}

func (f *fleet) read(n *node, h cataloger.Head) {
	have := n.w.Holding.Set
	count := 0
	for i, hash := range h.Buckets {
		if hash != "" && (have == nil || have.Hashes[i] != hash) {
			count++
		}
	}
	f.calls += count
	var set *cataloger.Catalog
	if !f.down && !f.apart(n) {
		set = f.sets[h.Revision]
	}
	f.after(time.Duration(count)*platformTime, n, func() {
		f.stepW(n, watcher.Event{Kind: watcher.EventRead, Head: h, Set: set})
	})
}

func (f *fleet) fetch(n *node, a watcher.Action) {
	c := n.conns[a.Peer]
	if c == nil {
		f.after(0, n, func() { f.stepW(n, watcher.Event{Kind: watcher.EventAnswered, Peer: a.Peer}) })
		return
	}
	p := c.peer
	n.bytes += size(a.Query)
	f.after(f.latency(n, p), p, func() {
		if f.cut(n, p) {
			return
		}
		r := watcher.Answer(p.w.Holding, a.Query)
		p.bytes += size(a.Query) + size(r)
		f.after(f.latency(n, p), n, func() {
			n.bytes += size(r)
			f.stepW(n, watcher.Event{Kind: watcher.EventAnswered, Peer: a.Peer, Answer: &r})
		})
	})
}

func (f *fleet) inForce(n *node, a watcher.Action) {
	// P8: what is in force is one of the accepted sets.
	if want := f.sets[a.Revision]; a.Set.Root() != want.Root() {
		f.t.Errorf("%s: revision %d has another root than was accepted", n.self.Identity, a.Revision)
	}
	for r, at := range f.changed {
		if r <= a.Revision {
			f.note(n, r, at)
		}
	}
	f.stepX(n, exchanger.Event{Kind: exchanger.EventInForce, Revision: a.Revision})
}

func (f *fleet) note(n *node, r int64, at time.Time) {
	key := fmt.Sprint("seen ", r)
	if _, ok := n.states[key]; !ok {
		n.states[key] = tracker.StateLive
		f.reached[r] = append(f.reached[r], f.now.Sub(at))
	}
}

// change accepts a new set in which one class has changed.
func (f *fleet) change() int64 {
	c := f.latest()
	r := descriptor.Record{SchemaVersion: 2, Kind: descriptor.KindClass, Name: fmt.Sprint("class-", len(f.sets)%7), Class: &descriptor.Class{Tier: 1 + len(f.sets)%8}}
	next, err := c.Update(c.Revision+1, []descriptor.Record{r}, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	f.sets = append(f.sets, next)
	f.changed[next.Revision] = f.now
	return next.Revision
}

// seedRecords accepts a first set of the size of n upstreams.
func (f *fleet) seedRecords(n int) {
	var records []descriptor.Record
	for i := range n {
		records = append(records, descriptor.Record{SchemaVersion: 2, Kind: descriptor.KindUpstream, Name: fmt.Sprint("desk-", i), Upstream: &descriptor.Upstream{
			Service: "desk-assistant", Type: descriptor.TypeEngine, Address: fmt.Sprintf("10.1.%d.%d:9001", i/250, i%250+1),
			AvailabilityZone: "zone-1", Models: []string{"desk"}, Slots: 16, KVTokens: 262144,
		}})
	}
	next, err := f.latest().Update(f.latest().Revision+1, records, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	f.sets = append(f.sets, next)
}

// assertInForce checks that every live process has the latest set.
func (f *fleet) assertInForce() {
	f.t.Helper()
	want := f.latest().Revision
	for _, n := range f.nodes {
		if n.alive && n.w.Revision() != want {
			f.t.Errorf("%s has revision %d, want %d", n.self.Identity, n.w.Revision(), want)
		}
	}
}

// relays counts the entries of a zone that watch the platform.
func (f *fleet) relays(zone string) int {
	count := 0
	for _, n := range f.nodes {
		if n.alive && n.relay && n.self.AvailabilityZone == zone {
			count++
		}
	}
	return count
}

func (f *fleet) times(r int64) (median, worst time.Duration) {
	d := slices.Sorted(slices.Values(f.reached[r]))
	if len(d) == 0 {
		return 0, 0
	}
	return d[len(d)/2], d[len(d)-1]
}
