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
	// zoneLatency is the minimum one-way latency within a zone. Between zones it is
	// twice as long.
	zoneLatency = time.Millisecond
	// platformLatency is the latency of a call of the platform.
	platformLatency = 5 * time.Millisecond
	// watchTimeout is the time after which the platform ends a watch without a
	// change.
	watchTimeout = 30 * time.Second
)

// fleet simulates many processes, each with an exchanger.Decision and a
// watcher.Decision, on a virtual clock.
type fleet struct {
	t          *testing.T
	now        time.Time
	start      time.Time
	queue      queue
	sequence   int
	random     *rand.Rand
	nodes      []*node
	nodeByAddr map[string]*node
	zones      int

	// recordSets holds the accepted record sets by revision, starting with the empty set.
	recordSets []*cataloger.Catalog
	// lists holds the platform's list of VMs of each zone.
	lists map[string]tracker.List
	// platformDown makes the platform unreachable for all processes, and
	// platformCut for some.
	platformDown bool
	platformCut  func(n *node) bool
	// staleRate is the rate of watches that return the head before the last, and
	// missedRate the rate of watches that report no change until they time out.
	staleRate, missedRate float64
	platformCalls         int
	// partitioned reports whether a and b cannot reach each other.
	partitioned func(a, b *node) bool
	// duplicateRate is the rate of messages that are delivered twice, the second
	// time up to 5 s later.
	duplicateRate float64
	// propagation holds for each revision the time that each process took to put it
	// in force.
	propagation map[int64][]time.Duration
	// changedAt holds the time at which each revision was accepted.
	changedAt map[int64]time.Time
}

// node is one simulated process.
type node struct {
	self      messenger.Peer
	addr      string
	seeds     []int
	alive     bool
	exchanger *exchanger.Decision
	watcher   *watcher.Decision
	conns     map[string]*conn
	dialled   map[string]bool
	accepted  int
	// watchGeneration changes when the current watch of the platform ends.
	watchGeneration int
	// wake is the time of the scheduled wake-up, or zero.
	wake time.Time
	// bytes counts the bytes of control traffic sent and received.
	bytes   int
	relay   bool
	refused int
	// states holds the state of each member by identity, and a key for each revision
	// that recordPropagation has recorded.
	states map[string]tracker.State
}

// conn is one end of a connection. link is its name at this end and peerLink its
// name at the other end.
type conn struct {
	peer     *node
	link     string
	peerLink string
}

// item is a function that is run at a time of the virtual clock.
type item struct {
	at    time.Time
	order int
	run   func()
}

// queue is a heap of items, ordered by time and then by insertion.
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
		t: t, now: start, start: start, random: rand.New(rand.NewPCG(seed, 1)), nodeByAddr: map[string]*node{}, zones: zones,
		recordSets: []*cataloger.Catalog{{}}, lists: map[string]tracker.List{},
		partitioned: func(_, _ *node) bool { return false }, platformCut: func(*node) bool { return false }, propagation: map[int64][]time.Duration{}, changedAt: map[int64]time.Time{},
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
		f.nodeByAddr[n.addr] = n
		f.nodes = append(f.nodes, n)
		f.boot(n)
	}
	return f
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:9001", i/250, i%250+1) }

// boot starts or restarts the process of n without state.
func (f *fleet) boot(n *node) {
	s := exchanger.Settings{Self: n.self, Incarnation: f.now.UnixMilli()}
	for _, i := range n.seeds {
		s.Seeds = append(s.Seeds, address(i))
	}
	if n.self.Role == messenger.RoleEntry {
		s.Address = n.addr
	}
	n.alive, n.relay, n.watchGeneration = true, false, n.watchGeneration+1
	n.exchanger, n.watcher = exchanger.NewDecision(f.now, s), &watcher.Decision{}
	n.conns, n.dialled, n.states, n.wake = map[string]*conn{}, map[string]bool{}, map[string]tracker.State{}, time.Time{}
	f.after(time.Duration(f.random.IntN(1000))*time.Millisecond, n, func() { f.stepExchanger(n, exchanger.Event{Kind: exchanger.EventTicked}) })
}

func (f *fleet) crash(n *node) {
	n.alive = false
	for link := range n.conns {
		f.close(n, link)
	}
}

// after schedules a function of n. It is not run if n has crashed or restarted by
// then.
func (f *fleet) after(d time.Duration, n *node, run func()) {
	incarnation := n.exchanger
	f.sequence++
	heap.Push(&f.queue, item{f.now.Add(d), f.sequence, func() {
		if n.alive && n.exchanger == incarnation {
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
	d := zoneLatency
	if a.self.AvailabilityZone != b.self.AvailabilityZone {
		d = 2 * zoneLatency
	}
	return d + time.Duration(f.random.IntN(int(zoneLatency)))
}

func (f *fleet) stepExchanger(n *node, e exchanger.Event) {
	for _, a := range n.exchanger.Step(f.now, e) {
		f.executeExchanger(n, a)
	}
	f.schedule(n)
}

func (f *fleet) stepWatcher(n *node, e watcher.Event) {
	for _, a := range n.watcher.Step(f.now, e) {
		f.executeWatcher(n, a)
	}
	f.schedule(n)
}

// schedule schedules the next wake-up of n, the earlier one of its two decisions.
func (f *fleet) schedule(n *node) {
	at := n.exchanger.Wake()
	if w := n.watcher.Wake(); !w.IsZero() && w.Before(at) {
		at = w
	}
	if !at.After(f.now) && n.wake.IsZero() {
		// With a wake time in the past, the goroutine of a real process would spin.
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
		f.stepExchanger(n, exchanger.Event{Kind: exchanger.EventTicked})
		f.stepWatcher(n, watcher.Event{Kind: watcher.EventTicked})
	})
}

func (f *fleet) executeExchanger(n *node, a exchanger.Action) {
	switch a.Kind {
	case exchanger.ActionDial:
		n.dialled[a.Address] = true
		f.dial(n, a.Address)
	case exchanger.ActionDisconnect:
		delete(n.dialled, a.Address)
		f.close(n, "to "+a.Address)
	case exchanger.ActionSend:
		f.send(n, n.conns[a.Link], a.Message)
	case exchanger.ActionSetRelay:
		n.relay = a.Relay
		f.stepWatcher(n, watcher.Event{Kind: watcher.EventRelayChanged, Relay: a.Relay})
	case exchanger.ActionPeerRevision:
		f.stepWatcher(n, watcher.Event{Kind: watcher.EventPeerRevision, Link: a.Link, Identity: a.Identity, Revision: a.Revision, KnownEntries: a.KnownEntries})
	case exchanger.ActionLinkClosed:
		f.stepWatcher(n, watcher.Event{Kind: watcher.EventLinkClosed, Link: a.Link})
	case exchanger.ActionReadList:
		f.platformCalls++
		if l, ok := f.lists[n.self.AvailabilityZone]; ok && !f.platformDown && !f.platformCut(n) {
			f.after(platformLatency, n, func() { f.stepExchanger(n, exchanger.Event{Kind: exchanger.EventListRead, List: l}) })
		}
	case exchanger.ActionWriteStatus:
		f.platformCalls += 2
	case exchanger.ActionMemberChanged:
		n.states[a.Member.Member.Identity] = a.Member.Member.State
	}
}

func (f *fleet) dial(n *node, addr string) {
	if !n.dialled[addr] || n.conns["to "+addr] != nil {
		return
	}
	p := f.nodeByAddr[addr]
	if p == nil || !p.alive || f.partitioned(n, p) {
		f.after(time.Second, n, func() { f.dial(n, addr) })
		return
	}
	p.accepted++
	link, peerLink := "to "+addr, fmt.Sprintf("from %s %d", n.self.Identity, p.accepted)
	n.conns[link], p.conns[peerLink] = &conn{p, link, peerLink}, &conn{n, peerLink, link}
	f.after(f.latency(n, p), n, func() { f.stepExchanger(n, exchanger.Event{Kind: exchanger.EventLinkOpened, Link: link, Peer: p.self}) })
}

func (f *fleet) close(n *node, link string) {
	c := n.conns[link]
	if c == nil {
		return
	}
	delete(n.conns, link)
	f.after(0, n, func() { f.stepExchanger(n, exchanger.Event{Kind: exchanger.EventLinkClosed, Link: link}) })
	p := c.peer
	if p.conns[c.peerLink] == nil {
		return
	}
	delete(p.conns, c.peerLink)
	f.after(f.latency(n, p), p, func() {
		f.stepExchanger(p, exchanger.Event{Kind: exchanger.EventLinkClosed, Link: c.peerLink})
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
	if f.partitioned(n, c.peer) {
		return
	}
	p := c.peer
	deliver := func() {
		if p.conns[c.peerLink] == nil {
			return
		}
		p.bytes += size(m)
		f.stepExchanger(p, exchanger.Event{Kind: exchanger.EventMessageReceived, Link: c.peerLink, Peer: n.self, Message: m})
	}
	f.after(f.latency(n, p), p, deliver)
	if f.random.Float64() < f.duplicateRate {
		f.after(time.Duration(f.random.IntN(5000))*time.Millisecond, p, deliver)
	}
}

// size returns the size of a message in bytes: its JSON and about 60 bytes of
// JSON-RPC envelope.
func size(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(data) + 60
}

func (f *fleet) executeWatcher(n *node, a watcher.Action) {
	switch a.Kind {
	case watcher.ActionWatch:
		n.watchGeneration++
		f.watch(n, n.watchGeneration, -1)
	case watcher.ActionUnwatch:
		n.watchGeneration++
	case watcher.ActionReadRecordSet:
		f.read(n, a.Head)
	case watcher.ActionFetchRecords:
		f.fetch(n, a)
	case watcher.ActionActivate:
		f.inForce(n, a)
	case watcher.ActionReportRefusal:
		n.refused++
	}
}

func (f *fleet) latest() *cataloger.Catalog { return f.recordSets[len(f.recordSets)-1] }

// watch makes one watch call for n. It does nothing if the watch of this generation
// has been cancelled.
func (f *fleet) watch(n *node, generation int, seen int64) {
	if n.watchGeneration != generation {
		return
	}
	f.platformCalls++
	if f.platformDown || f.platformCut(n) {
		f.after(500*time.Millisecond, n, func() { f.watch(n, generation, -1) })
		return
	}
	c := f.latest()
	if f.random.Float64() < f.staleRate && len(f.recordSets) > 1 {
		c = f.recordSets[len(f.recordSets)-2]
	}
	if c.Revision != seen {
		f.after(platformLatency, n, func() {
			if n.watchGeneration == generation {
				f.stepWatcher(n, watcher.Event{Kind: watcher.EventHeadChanged, Head: cataloger.Head{Revision: c.Revision, Buckets: c.Hashes}})
				f.watch(n, generation, c.Revision)
			}
		})
		return
	}
	f.poll(n, generation, seen, f.now.Add(watchTimeout), f.random.Float64() < f.missedRate)
}

// poll simulates the platform's side of a watch: it checks for a change every 10 ms
// of virtual time. If missed is true, it ignores changes until end.
func (f *fleet) poll(n *node, generation int, seen int64, end time.Time, missed bool) {
	f.after(10*time.Millisecond, n, func() {
		switch {
		case n.watchGeneration != generation:
		case f.platformDown, f.platformCut(n), !f.now.Before(end), f.latest().Revision != seen && !missed:
			f.watch(n, generation, seen)
		default:
			f.poll(n, generation, seen, end, missed)
		}
	})
}

func (f *fleet) read(n *node, h cataloger.Head) {
	have := n.watcher.Active.RecordSet
	count := 0
	for i, hash := range h.Buckets {
		if hash != "" && (have == nil || have.Hashes[i] != hash) {
			count++
		}
	}
	f.platformCalls += count
	var set *cataloger.Catalog
	if !f.platformDown && !f.platformCut(n) {
		set = f.recordSets[h.Revision]
	}
	f.after(time.Duration(count)*platformLatency, n, func() {
		f.stepWatcher(n, watcher.Event{Kind: watcher.EventRecordSetRead, Head: h, RecordSet: set})
	})
}

func (f *fleet) fetch(n *node, a watcher.Action) {
	c := n.conns[a.Link]
	if c == nil {
		f.after(0, n, func() { f.stepWatcher(n, watcher.Event{Kind: watcher.EventRecordsFetched, Link: a.Link}) })
		return
	}
	p := c.peer
	n.bytes += size(a.Query)
	f.after(f.latency(n, p), p, func() {
		if f.partitioned(n, p) {
			return
		}
		r := watcher.BuildRecords(p.watcher.Active, a.Query)
		p.bytes += size(a.Query) + size(r)
		f.after(f.latency(n, p), n, func() {
			n.bytes += size(r)
			f.stepWatcher(n, watcher.Event{Kind: watcher.EventRecordsFetched, Link: a.Link, Records: &r})
		})
	})
}

func (f *fleet) inForce(n *node, a watcher.Action) {
	// P8: only an accepted record set comes into force.
	if want := f.recordSets[a.Revision]; a.RecordSet.Root() != want.Root() {
		f.t.Errorf("%s: the root of revision %d is %s, want the accepted %s", n.self.Identity, a.Revision, a.RecordSet.Root(), want.Root())
	}
	for r, at := range f.changedAt {
		if r <= a.Revision {
			f.recordPropagation(n, r, at)
		}
	}
	f.stepExchanger(n, exchanger.Event{Kind: exchanger.EventRevisionInForce, Revision: a.Revision})
}

// recordPropagation records the time that n took to put a revision in force, once
// for each revision.
func (f *fleet) recordPropagation(n *node, r int64, at time.Time) {
	key := fmt.Sprint("seen ", r)
	if _, ok := n.states[key]; !ok {
		n.states[key] = tracker.StateLive
		f.propagation[r] = append(f.propagation[r], f.now.Sub(at))
	}
}

// change accepts a new record set with one changed class and returns its revision.
func (f *fleet) change() int64 {
	c := f.latest()
	r := descriptor.Record{SchemaVersion: 2, Kind: descriptor.KindClass, Name: fmt.Sprint("class-", len(f.recordSets)%7), Class: &descriptor.Class{Tier: 1 + len(f.recordSets)%8}}
	next, err := c.Update(c.Revision+1, []descriptor.Record{r}, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	f.recordSets = append(f.recordSets, next)
	f.changedAt[next.Revision] = f.now
	return next.Revision
}

// seedRecords accepts a record set with n upstreams.
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
	f.recordSets = append(f.recordSets, next)
}

// assertInForce checks that every running process has the latest revision in force.
func (f *fleet) assertInForce() {
	f.t.Helper()
	want := f.latest().Revision
	for _, n := range f.nodes {
		if n.alive && n.watcher.Revision() != want {
			f.t.Errorf("%s has revision %d, want %d", n.self.Identity, n.watcher.Revision(), want)
		}
	}
}

// relays returns the number of relays of a zone.
func (f *fleet) relays(zone string) int {
	count := 0
	for _, n := range f.nodes {
		if n.alive && n.relay && n.self.AvailabilityZone == zone {
			count++
		}
	}
	return count
}

// propagationTimes returns the median and the maximum of the times that the
// processes took to put revision r in force.
func (f *fleet) propagationTimes(r int64) (median, worst time.Duration) {
	d := slices.Sorted(slices.Values(f.propagation[r]))
	if len(d) == 0 {
		return 0, 0
	}
	return d[len(d)/2], d[len(d)-1]
}
