package dispatcher

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// fleet simulates entries that exchange strikes, and upstreams, in virtual time.
type fleet struct {
	random   *rand.Rand
	elapsed  time.Duration
	timers   timers
	sequence int
	// starts is the number of restarts of entries.
	starts    int
	entries   [entryCount]*Dispatcher
	upstreams [upstreamCount]*fleetUpstream
	requests  map[string]*fleetRequest
	// crashes and poisonSends are the times of crashes by the poison part, and of the
	// sends of requests with it to live upstreams.
	crashes     []time.Duration
	poisonSends []time.Duration
	sound       []*fleetRequest
	// refusals counts by code the failures of requests that were not sent.
	refusals map[string]int
	// maxDelay is the maximum delay of a message between two entries, and downtime the
	// time after which another instance replaces a lost upstream.
	maxDelay time.Duration
	downtime time.Duration
	// contentSends and contentCrashes are by digest the times of the sends of content to
	// live upstreams and of the crashes that it caused.
	contentSends   map[string][]time.Duration
	contentCrashes map[string][]time.Duration
	// inStep is true if all upstreams take the same time for each answer.
	inStep bool
	// contentPath is the path of the route of content that comes again.
	contentPath string
	// lost is the number of attempts that were lost with their upstreams.
	lost int
}

type fleetRequest struct {
	at    time.Duration
	parts []uint64
	// begun is true if an answer began at the first attempt.
	begun bool
	// digest is the content of a request that comes again, and deadly is true if the
	// content crashes each upstream that runs it.
	digest string
	deadly bool
	// ended is called once the request has ended. It may be nil.
	ended func(Action)
}

type fleetUpstream struct {
	registrar.Upstream
	down    bool
	running map[*fleetAttempt]struct{}
}

type fleetAttempt struct {
	entry  int
	sender *Dispatcher
	id     string
	number int
	begun  bool
}

type timerEntry struct {
	at       time.Duration
	sequence int
	run      func()
}

type timers []timerEntry

func (q timers) Len() int { return len(q) }

func (q timers) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *timers) Push(x any) { *q = append(*q, x.(timerEntry)) }

func (q *timers) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 24)), requests: map[string]*fleetRequest{}, refusals: map[string]int{},
		contentPath: "/popular/", maxDelay: 2 * ms, downtime: 3 * time.Second, contentSends: map[string][]time.Duration{}, contentCrashes: map[string][]time.Duration{}}
	for i := range f.upstreams {
		f.upstreams[i] = &fleetUpstream{
			Upstream: registrar.Upstream{Name: fmt.Sprint("desk-", i), Service: "desk", Address: fmt.Sprint("10.0.0.", i, ":80"), Slots: 96},
			running:  map[*fleetAttempt]struct{}{},
		}
	}
	for i := range f.entries {
		f.startEntry(i)
	}
	return f
}

// restartEntry replaces an entry by one that learns the strikes of another entry.
func (f *fleet) restartEntry(i int) {
	f.starts++
	f.startEntryWith(i, Settings{Seed: uint64(f.starts * 100), RetryRatio: 0.2, RetryCapacity: 50, StrikesWait: time.Second})
	d := f.entries[i]
	f.at(f.elapsed+f.delay(), func() {
		strikes, learned := f.entries[(i+1)%entryCount].KnownStrikes(f.now())
		f.at(f.elapsed+f.delay(), func() {
			d.Step(f.now(), Event{Kind: EventStrikesLearned, Strikes: strikes, Complete: learned})
		})
	})
}

// startEntry replaces an entry by one that knows nothing.
func (f *fleet) startEntry(i int) {
	f.startEntryWith(i, Settings{Seed: uint64(i), RetryRatio: 0.2, RetryCapacity: 50})
}

func (f *fleet) startEntryWith(i int, s Settings) {
	d := New(s)
	d.Step(f.now(), Event{Kind: EventSynced, Synced: true})
	d.Step(f.now(), Event{Kind: EventConfigured, Table: matcher.New(matcher.Configuration{
		Version: 1, Routes: routes(), Services: []matcher.Service{{Name: "desk"}},
		Organisations: []matcher.Organisation{{Name: "guides", Keys: []string{"key"}}},
	})})
	d.Step(f.now(), Event{Kind: EventEntryCount, Entries: entryCount})
	f.entries[i] = d
	d.Step(f.now(), Event{Kind: EventUpstreams, Upstreams: f.registered()})
	f.tick(i, d)
}

func (f *fleet) tick(i int, d *Dispatcher) {
	if f.entries[i] != d {
		return
	}
	f.execute(i, d, d.Step(f.now(), Event{Kind: EventTick}))
	f.at(f.elapsed+LoadReportInterval, func() { f.tick(i, d) })
}

func (f *fleet) now() time.Time { return testTime().Add(f.elapsed) }

func (f *fleet) registered() []registrar.Upstream {
	var out []registrar.Upstream
	for _, u := range f.upstreams {
		out = append(out, u.Upstream)
	}
	return out
}

func (f *fleet) at(at time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.timers, timerEntry{at, f.sequence, run})
}

func (f *fleet) run(until time.Duration) {
	for len(f.timers) > 0 && f.timers[0].at <= until {
		next := heap.Pop(&f.timers).(timerEntry)
		f.elapsed = next.at
		next.run()
	}
}

// firstDocument is the first of the parts that only some sound requests hold.
const firstDocument = 100

// sendTraffic sends 40 requests a second at random entries. They share a first part and
// hold one of many documents. The share of them that holds the poison part begins after
// 2 s and uses the first of documents only.
func (f *fleet) sendTraffic(until time.Duration, share float64, documents int) {
	const interval = 25 * ms
	for i := range int(until / interval) {
		r := &fleetRequest{at: time.Duration(i) * interval, parts: []uint64{1, uint64(firstDocument + f.random.IntN(40))}}
		path := fmt.Sprint([]string{"/chat/", "/brief/"}[f.random.IntN(2)], i)
		id, poison := fmt.Sprint("r", i), r.at > 2*time.Second && f.random.Float64() < share
		if poison {
			r.parts = []uint64{1, uint64(firstDocument + f.random.IntN(documents)), poisonPart}
		} else {
			f.sound = append(f.sound, r)
		}
		f.requests[id] = r
		entry := f.random.IntN(entryCount)
		f.at(r.at, func() {
			q := request(path)
			q.ID, q.Received, q.Deadline, q.Parts, q.Query.RequestID = id, f.now(), f.now().Add(10*time.Second), r.parts, id
			d := f.entries[entry]
			f.execute(entry, d, d.Step(f.now(), Event{Kind: EventArrived, Request: q}))
		})
	}
}

func (f *fleet) execute(entry int, d *Dispatcher, all []Action) {
	for _, a := range all {
		switch a.Kind {
		case ActionSend:
			f.send(&fleetAttempt{entry, d, a.ID, a.Attempt, false}, a.Upstream)
		case ActionFail, ActionFinish:
			if a.Kind == ActionFail && a.Summary.Attempts == 0 {
				f.refusals[a.Failure.Code]++
			}
			if ended := f.requests[a.ID].ended; ended != nil {
				ended(a)
			}
		case ActionSendStrikes:
			for i := range f.entries {
				if i != entry {
					f.at(f.elapsed+f.delay(), func() {
						to := f.entries[i]
						f.execute(i, to, to.Step(f.now(), Event{Kind: EventStrikesReceived, Strikes: a.Strikes}))
					})
				}
			}
		}
	}
}

// end ends an attempt, unless its entry was replaced.
func (f *fleet) end(a *fleetAttempt, o AttemptOutcome) {
	if f.entries[a.entry] != a.sender {
		return
	}
	e := Event{Kind: EventEnded, ID: a.id, Attempt: a.number, Outcome: o, Begun: a.begun}
	f.execute(a.entry, a.sender, a.sender.Step(f.now(), e))
}

func (f *fleet) send(a *fleetAttempt, target registrar.Upstream) {
	u := f.upstreams[slices.IndexFunc(f.upstreams[:], func(u *fleetUpstream) bool { return u.Name == target.Name })]
	if u.down || u.StartUnixMilli != target.StartUnixMilli {
		f.at(f.elapsed+ms, func() { f.end(a, OutcomeNotSent) })
		return
	}
	r := f.requests[a.id]
	poison := slices.Contains(r.parts, poisonPart)
	if r.digest != "" {
		f.contentSends[r.digest] = append(f.contentSends[r.digest], f.elapsed)
	}
	if poison {
		f.poisonSends = append(f.poisonSends, f.elapsed)
	}
	u.running[a] = struct{}{}
	first := 50*ms + time.Duration(f.random.IntN(300))*ms
	if f.inStep {
		first = 100 * ms
	}
	f.at(f.elapsed+first, func() { f.begin(u, a, r, poison) })
}

// begin writes the first event of an answer, or crashes the upstream.
func (f *fleet) begin(u *fleetUpstream, a *fleetAttempt, r *fleetRequest, poison bool) {
	if _, ok := u.running[a]; !ok {
		return
	}
	if poison {
		f.crashes = append(f.crashes, f.elapsed)
	}
	if r.deadly {
		f.contentCrashes[r.digest] = append(f.contentCrashes[r.digest], f.elapsed)
	}
	if poison || r.deadly {
		f.crash(u)
		return
	}
	a.begun = true
	r.begun = r.begun || a.number == 1
	f.progress(u, a, 10)
}

// progress sends the next events of an answer, which ends after the given number of
// them.
func (f *fleet) progress(u *fleetUpstream, a *fleetAttempt, left int) {
	if _, ok := u.running[a]; !ok {
		return
	}
	if left == 0 {
		delete(u.running, a)
		f.end(a, OutcomeAnswered)
		return
	}
	if f.entries[a.entry] == a.sender {
		e := Event{Kind: EventProgress, ID: a.id, Attempt: a.number, First: left == 10, Events: 1, Elapsed: 100 * ms, Begun: true}
		f.execute(a.entry, a.sender, a.sender.Step(f.now(), e))
	}
	f.at(f.elapsed+100*ms, func() { f.progress(u, a, left-1) })
}

func (f *fleet) forEach(upstreams int, do func(*fleetUpstream)) {
	for _, i := range f.random.Perm(upstreamCount)[:upstreams] {
		do(f.upstreams[i])
	}
}

// reset ends all attempts on u as if it had crashed, in random order within 10 ms.
func (f *fleet) reset(u *fleetUpstream) {
	var all []*fleetAttempt
	for a := range u.running {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *fleetAttempt) int { return slices.Compare([]byte(a.id), []byte(b.id)) })
	f.lost += len(all)
	for _, a := range all {
		delete(u.running, a)
		f.at(f.elapsed+time.Duration(f.random.IntN(10))*ms, func() { f.end(a, OutcomeCrashed) })
	}
}

// loseAnswer resets one attempt on u.
func (f *fleet) loseAnswer(u *fleetUpstream) {
	var lost *fleetAttempt
	for a := range u.running {
		if lost == nil || a.id < lost.id {
			lost = a
		}
	}
	if lost != nil {
		delete(u.running, lost)
		f.end(lost, OutcomeCrashed)
	}
}

// delay returns the delay of the next message between two entries.
func (f *fleet) delay() time.Duration {
	if f.maxDelay <= 2*ms {
		return f.maxDelay
	}
	return time.Duration(f.random.Int64N(int64(f.maxDelay)))
}

// crash ends all attempts on u, which comes back as another instance after the downtime.
func (f *fleet) crash(u *fleetUpstream) {
	if u.down {
		return
	}
	u.down = true
	f.reset(u)
	f.at(f.elapsed+f.downtime, func() {
		u.down = false
		u.StartUnixMilli++
		for _, d := range f.entries {
			d.Step(f.now(), Event{Kind: EventUpstreams, Upstreams: f.registered()})
		}
	})
}
